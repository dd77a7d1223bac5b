package retrylimiter

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// gatewaySeeds is the number of seeds that TestGatewaysTogetherKeepToTheBudget runs for each size.
var gatewaySeeds = flag.Int("gateways.seeds", 3, "number of seeds that the gateways of one budget run")

const (
	simulatedStep   = 10 * time.Millisecond
	simulatedLength = 60 * time.Second
	// calmTime is the time before the first disruption.
	calmTime = 2 * time.Second
	// ruleSlack is the slack of all gateways, usedShare the part of it and of the ratio that they use.
	ruleSlack = 54.0
	usedShare = 0.9
	// restartTime is how long a killed gateway is away.
	restartTime = 300 * time.Millisecond
)

// simulatedGateway is one of the gateways that share a budget.
type simulatedGateway struct {
	limiter *Limiter
	// perStep is the mean number of its requests in a step.
	perStep float64
	// awayUntil is when a kill is over, and stalledSince and stalledUntil bound a stall.
	awayUntil, stalledSince, stalledUntil time.Time
	// unread are the requests that were sent to it while it was stalled, and waiting are its retries that
	// wait for a backend server.
	unread, waiting int
}

// simulatedCluster is gateways under a load that fails, and what callers and backend servers observe.
type simulatedCluster struct {
	random            *rand.Rand
	now               time.Time
	gateways          []*simulatedGateway
	requests, retries []time.Time
	// blockedUntil is until when no backend server is free.
	blockedUntil time.Time
}

func newSimulatedCluster(seed uint64, gateways int) *simulatedCluster {
	y := &simulatedCluster{random: rand.New(rand.NewPCG(seed, uint64(gateways))), now: begin()}
	for range gateways {
		// The load is uneven: the busiest gateway has several times that of others.
		perSecond := (20 + 100*y.random.ExpFloat64()) / float64(gateways)
		y.gateways = append(y.gateways, &simulatedGateway{limiter: y.newLimiter(begin().Add(-time.Hour)), perStep: perSecond * simulatedStep.Seconds()})
	}
	return y
}

func (y *simulatedCluster) newLimiter(since time.Time) *Limiter {
	return &Limiter{Window: window, Ratio: usedShare * ratio, Since: since}
}

// some returns one gateway, most of them, or all.
func (y *simulatedCluster) some() []*simulatedGateway {
	chosen := slices.Clone(y.gateways)
	y.random.Shuffle(len(chosen), func(i, k int) { chosen[i], chosen[k] = chosen[k], chosen[i] })
	return chosen[:[]int{1, (2*len(chosen) + 2) / 3, len(chosen)}[y.random.IntN(3)]]
}

// disrupt begins a disruption: a kill, a stall, or a time without a free backend server.
func (y *simulatedCluster) disrupt() {
	d := time.Duration(1+y.random.IntN(5)) * time.Second
	switch y.random.IntN(3) {
	case 0:
		for _, g := range y.some() {
			*g = simulatedGateway{limiter: y.newLimiter(y.now.Add(restartTime)), perStep: g.perStep, awayUntil: y.now.Add(restartTime)}
		}
	case 1:
		for _, g := range y.some() {
			if y.now.After(g.stalledUntil) && y.now.After(g.awayUntil) {
				g.stalledSince, g.stalledUntil = y.now, y.now.Add(d)
			}
		}
	default:
		y.blockedUntil = y.now.Add(d)
	}
}

// step lets time pass, in which callers send requests of which all fail.
func (y *simulatedCluster) step() {
	y.now = y.now.Add(simulatedStep)
	for _, g := range y.gateways {
		arrived := 0
		for p := g.perStep; p > 0 && (p >= 1 || y.random.Float64() < p); p-- {
			arrived++
			y.requests = append(y.requests, y.now)
		}
		switch {
		case y.now.Before(g.awayUntil):
			continue
		case y.now.Before(g.stalledUntil):
			g.unread += arrived
			continue
		}
		y.read(g, g.unread, g.stalledSince)
		g.unread = 0
		y.read(g, arrived, y.now)
		y.send(g)
	}
}

// read lets a gateway read requests and decide on their retries.
func (y *simulatedCluster) read(g *simulatedGateway, requests int, sentAt time.Time) {
	for range requests {
		g.limiter.RecordRequest(y.now, sentAt)
		for range y.random.IntN(4) {
			if g.limiter.AllowRetry(y.now, usedShare*ruleSlack/float64(len(y.gateways))) {
				g.waiting++
			}
		}
	}
}

// send sends the retries that wait, unless no backend server is free.
func (y *simulatedCluster) send(g *simulatedGateway) {
	if y.now.Before(y.blockedUntil) {
		return
	}
	for ; g.waiting > 0; g.waiting-- {
		g.limiter.RecordSent(y.now)
		y.retries = append(y.retries, y.now)
	}
}

// All gateways together keep to the budget in every window, whichever of them are killed or stalled and
// however long retries wait for a backend server.
func TestGatewaysTogetherKeepToTheBudget(t *testing.T) {
	for _, gateways := range []int{1, 7, 40, 300} {
		for seed := range uint64(*gatewaySeeds) {
			t.Run(fmt.Sprint(gateways, " gateways, seed ", seed), func(t *testing.T) {
				c := qt.New(t)
				y := newSimulatedCluster(seed, gateways)
				calmUntil, end := y.now.Add(calmTime), y.now.Add(simulatedLength)
				for y.now.Before(end) {
					y.step()
					if y.now.After(calmUntil) && y.random.IntN(200) == 0 {
						y.disrupt()
					}
				}
				c.Assert(len(y.retries) > 0, qt.IsTrue)
				checkWindows(c, y.requests, y.retries, ruleSlack)
			})
		}
	}
}
