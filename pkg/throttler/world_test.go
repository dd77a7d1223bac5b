package throttler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bronzelead.example/pkg/ranker"
)

// simulation is a backend server with a limit and the gateways that send to it, in virtual
// time. It records all sends.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	began    time.Time
	gateways []*gatewayModel
	// weights are the sums of the gateways' weights.
	weights []float64
	// update is the latest change that any gateway has observed, and lastTickAt the latest
	// tick.
	update     Observation
	lastTickAt time.Time
	// limit is what the backend server announces.
	limit Limit
	// sends are the requests that it received, in order.
	sends []sendEvent
	// requested counts the requests that came to gateways.
	requested int
	// delay is the duration of a call, and lost the share of calls that are lost.
	delay time.Duration
	lost  float64
	// gatewayList is the leader's list of gateways; each gateway receives it after its lag.
	listChangedAt time.Time
	gatewayList   []string
	previousList  []string
	strategy      strategy
}

type sendEvent struct {
	at      time.Time
	gateway int
}

// strategy decides whether a gateway may send.
type strategy interface {
	requestGrant(w *simulation, g *gatewayModel) (granted bool, by string, retryIn time.Duration)
	// tick runs periodic work.
	tick(w *simulation)
}

type gatewayModel struct {
	n       int
	address string
	weight  float64
	up      bool
	// lag is the time until it receives an update.
	lag      time.Duration
	registry Registry
	// receivedUpdateAt identifies the latest update received.
	receivedUpdateAt time.Time
	sent             Sends
	pausedUntil      time.Time
	// announcedAt is when it first received an answer with a limit.
	announcedAt time.Time
	owned       map[Role]*Allocator
}

const backendID = "b"

func newSimulation(seed uint64, gateways int, w strategy) *simulation {
	random := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1e9, 0)
	y := &simulation{random: random, now: start, began: start, strategy: w, delay: time.Duration(1+random.IntN(8)) * time.Millisecond}
	total := 0.0
	for n := range gateways {
		g := &gatewayModel{
			n: n, address: fmt.Sprintf("10.0.%d.%d:80", n/200, n%200), up: true, weight: random.ExpFloat64() + 0.05,
			lag: time.Duration(50+random.IntN(350)) * time.Millisecond, owned: map[Role]*Allocator{},
		}
		y.gateways = append(y.gateways, g)
		y.gatewayList = append(y.gatewayList, g.address)
		total += g.weight
		y.weights = append(y.weights, total)
	}
	y.previousList = y.gatewayList
	return y
}

// step is the resolution of the virtual time.
const step = 5 * time.Millisecond

// tickInterval is the time between two ticks.
const tickInterval = 25 * time.Millisecond

// run generates requests for a time.
func (w *simulation) run(d time.Duration, perSecond float64) {
	for until := w.now.Add(d); w.now.Before(until); w.now = w.now.Add(step) {
		if w.now.Sub(w.lastTickAt) >= tickInterval {
			w.lastTickAt = w.now
			w.spreadUpdate()
			w.strategy.tick(w)
		}
		for expected := perSecond * step.Seconds(); expected > 0; expected-- {
			if w.random.Float64() < expected {
				w.request(w.pick())
			}
		}
	}
}

// pick returns the gateway that receives the next request.
func (w *simulation) pick() *gatewayModel {
	total := w.weights[len(w.weights)-1]
	n, _ := slices.BinarySearch(w.weights, w.random.Float64()*total)
	return w.gateways[min(n, len(w.gateways)-1)]
}

// request adds a request at a gateway, which sends it if it is granted.
func (w *simulation) request(g *gatewayModel) {
	w.requested++
	if !g.up {
		return
	}
	by := ""
	if _, limited := g.registry.Rate(w.now, backendID); limited {
		if w.now.Before(g.pausedUntil) {
			return
		}
		granted, granter, retryIn := w.strategy.requestGrant(w, g)
		if !granted {
			g.pausedUntil = w.now.Add(retryIn)
			return
		}
		by = granter
	}
	g.sent.Add(w.now, by)
	w.sends = append(w.sends, sendEvent{w.now, g.n})
	observation := Observation{Backend: backendID, Limit: w.limit, At: w.now, Source: Answer}
	if _, changed := g.registry.Observe(observation); changed && observation.Limit != w.update.Limit {
		observation.Source = News
		w.update = observation
	}
	if w.limit.Named && g.announcedAt.IsZero() {
		g.announcedAt = w.now
	}
}

// spreadUpdate delivers the latest update to each gateway after its lag.
func (w *simulation) spreadUpdate() {
	for _, g := range w.gateways {
		if w.update.Backend != "" && g.receivedUpdateAt != w.update.At && w.now.Sub(w.update.At) >= g.lag {
			g.receivedUpdateAt = w.update.At
			g.registry.Observe(w.update)
		}
	}
}

// kill stops a gateway; the leader removes it from the list after a delay.
func (w *simulation) kill(n int) {
	w.gateways[n].up = false
	w.previousList, w.listChangedAt = w.gatewayList, w.now.Add(1500*time.Millisecond)
	w.gatewayList = nil
	for _, g := range w.gateways {
		if g.up {
			w.gatewayList = append(w.gatewayList, g.address)
		}
	}
}

// restart starts a gateway again, without state.
func (w *simulation) restart(n int) {
	old := w.gateways[n]
	w.gateways[n] = &gatewayModel{n: n, address: old.address, weight: old.weight, up: true, lag: old.lag, owned: map[Role]*Allocator{}}
	w.previousList, w.listChangedAt = w.gatewayList, w.now.Add(200*time.Millisecond)
	w.gatewayList = append([]string{old.address}, w.gatewayList...)
}

// ranked returns the owner and the deputy by the list that a gateway knows.
func (w *simulation) ranked(g *gatewayModel) []string {
	known := w.gatewayList
	if w.now.Sub(w.listChangedAt) < g.lag {
		known = w.previousList
	}
	list := append([]string{}, known...)
	ranker.Sort(list, backendID)
	return list[:min(2, len(list))]
}

func (w *simulation) at(address string) *gatewayModel {
	for _, g := range w.gateways {
		if g.address == address {
			return g
		}
	}
	return nil
}

// ownerGrants requests a grant of the limit's owner, or of its deputy.
type ownerGrants struct{}

func (ownerGrants) requestGrant(w *simulation, g *gatewayModel) (granted bool, by string, retryIn time.Duration) {
	for role, address := range w.ranked(g) {
		owner := w.at(address)
		if !owner.up || owner != g && w.random.Float64() < w.lost {
			continue
		}
		rate, limited := owner.registry.Rate(w.now, backendID)
		if !limited {
			rate, _ = g.registry.Rate(w.now, backendID)
		}
		a := owner.owned[Role(role)]
		if a == nil {
			a = &Allocator{Role: Role(role)}
			owner.owned[Role(role)] = a
		}
		a.SetRate(w.now, rate)
		a.RecordSends(w.now, g.address, g.sent.Excluding(w.now, address))
		v := a.Submit(w.now, GrantRequest{Key: "k", ReceivedAt: w.now, Deadline: w.now.Add(time.Second)})
		return v.Granted, address, v.RetryIn
	}
	return false, "", 250 * time.Millisecond
}

func (ownerGrants) tick(*simulation) {}

// worst returns the maximum number of requests in a window that ends between two times, of
// gateways that had received the limit at least half a second before.
func (w *simulation) worst(from, until time.Time) int {
	worst := 0
	for i, end := range w.sends {
		if end.at.Before(from) || end.at.After(until) {
			continue
		}
		n := 0
		for j := i; j >= 0 && end.at.Sub(w.sends[j].at) <= Window; j-- {
			announcedAt := w.gateways[w.sends[j].gateway].announcedAt
			if !announcedAt.IsZero() && end.at.Sub(announcedAt) >= 500*time.Millisecond {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}

// sentBetween returns how many requests the backend server received in a period.
func (w *simulation) sentBetween(from, until time.Time) int {
	n := 0
	for _, s := range w.sends {
		if s.at.After(from) && !s.at.After(until) {
			n++
		}
	}
	return n
}
