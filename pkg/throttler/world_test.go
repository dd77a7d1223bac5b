package throttler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bronzelead.example/pkg/ranker"
)

// world is gateways that send to one backend server with a limit, in virtual time. It sees
// all sends.
type world struct {
	random   *rand.Rand
	now      time.Time
	began    time.Time
	gateways []*gatewayModel
	// weights are the sums of the gateways' weights.
	weights []float64
	// news is the latest change that any gateway has seen, and looked when it spread last.
	news   Observation
	looked time.Time
	// limit is what the backend server names.
	limit Limit
	// sends are the requests that it got, in their order.
	sends []sendEvent
	// asked counts the requests that came to gateways.
	asked int
	// delay is the time of a call, and lost the part of calls that are lost.
	delay time.Duration
	lost  float64
	// roster is the list of gateways by the leader; each gateway knows it later.
	rosterChangedAt time.Time
	roster          []string
	before          []string
	way             way
}

type sendEvent struct {
	at      time.Time
	gateway int
}

// way is how a gateway gets leave to send.
type way interface {
	mayBeSent(w *world, g *gatewayModel) (granted bool, by string, retryIn time.Duration)
	// tick lets time pass.
	tick(w *world)
}

type gatewayModel struct {
	n       int
	address string
	weight  float64
	up      bool
	// lag is how long it takes to hear of news.
	lag  time.Duration
	book Registry
	// heard is which news it has heard.
	heard       time.Time
	sent        Sends
	pausedUntil time.Time
	// toldAt is when it has passed on an answer with a limit first.
	toldAt time.Time
	owned  map[Role]*Allocator
}

const backendID = "b"

func newWorld(seed uint64, gateways int, w way) *world {
	random := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1e9, 0)
	y := &world{random: random, now: start, began: start, way: w, delay: time.Duration(1+random.IntN(8)) * time.Millisecond}
	total := 0.0
	for n := range gateways {
		g := &gatewayModel{
			n: n, address: fmt.Sprintf("10.0.%d.%d:80", n/200, n%200), up: true, weight: random.ExpFloat64() + 0.05,
			lag: time.Duration(50+random.IntN(350)) * time.Millisecond, owned: map[Role]*Allocator{},
		}
		y.gateways = append(y.gateways, g)
		y.roster = append(y.roster, g.address)
		total += g.weight
		y.weights = append(y.weights, total)
	}
	y.before = y.roster
	return y
}

// step is the time between two looks at the world.
const step = 5 * time.Millisecond

// lookEvery is the time between two looks at what happens without requests.
const lookEvery = 25 * time.Millisecond

// run lets requests come for a time.
func (w *world) run(d time.Duration, perSecond float64) {
	for until := w.now.Add(d); w.now.Before(until); w.now = w.now.Add(step) {
		if w.now.Sub(w.looked) >= lookEvery {
			w.looked = w.now
			w.spread()
			w.way.tick(w)
		}
		for expected := perSecond * step.Seconds(); expected > 0; expected-- {
			if w.random.Float64() < expected {
				w.request(w.pick())
			}
		}
	}
}

// pick returns the gateway that a request comes to.
func (w *world) pick() *gatewayModel {
	total := w.weights[len(w.weights)-1]
	n, _ := slices.BinarySearch(w.weights, w.random.Float64()*total)
	return w.gateways[min(n, len(w.gateways)-1)]
}

// request lets a request come to a gateway, which sends it here or elsewhere.
func (w *world) request(g *gatewayModel) {
	w.asked++
	if !g.up {
		return
	}
	by := ""
	if _, limited := g.book.Rate(w.now, backendID); limited {
		if w.now.Before(g.pausedUntil) {
			return
		}
		granted, granter, retryIn := w.way.mayBeSent(w, g)
		if !granted {
			g.pausedUntil = w.now.Add(retryIn)
			return
		}
		by = granter
	}
	g.sent.Add(w.now, by)
	w.sends = append(w.sends, sendEvent{w.now, g.n})
	said := Observation{Backend: backendID, Limit: w.limit, At: w.now, Source: Answer}
	if _, changed := g.book.Observe(said); changed && said.Limit != w.news.Limit {
		said.Source = News
		w.news = said
	}
	if w.limit.Named && g.toldAt.IsZero() {
		g.toldAt = w.now
	}
}

// spread brings each gateway the news of a change, after its lag.
func (w *world) spread() {
	for _, g := range w.gateways {
		if w.news.Backend != "" && g.heard != w.news.At && w.now.Sub(w.news.At) >= g.lag {
			g.heard = w.news.At
			g.book.Observe(w.news)
		}
	}
}

// kill ends a gateway; the leader takes it off the roster after a while.
func (w *world) kill(n int) {
	w.gateways[n].up = false
	w.before, w.rosterChangedAt = w.roster, w.now.Add(1500*time.Millisecond)
	w.roster = nil
	for _, g := range w.gateways {
		if g.up {
			w.roster = append(w.roster, g.address)
		}
	}
}

// restart starts a gateway again, which knows nothing.
func (w *world) restart(n int) {
	old := w.gateways[n]
	w.gateways[n] = &gatewayModel{n: n, address: old.address, weight: old.weight, up: true, lag: old.lag, owned: map[Role]*Allocator{}}
	w.before, w.rosterChangedAt = w.roster, w.now.Add(200*time.Millisecond)
	w.roster = append([]string{old.address}, w.roster...)
}

// ranked returns the owner and the deputy by the roster that a gateway knows.
func (w *world) ranked(g *gatewayModel) []string {
	roster := w.roster
	if w.now.Sub(w.rosterChangedAt) < g.lag {
		roster = w.before
	}
	list := append([]string{}, roster...)
	ranker.Sort(list, backendID)
	return list[:min(2, len(list))]
}

func (w *world) at(address string) *gatewayModel {
	for _, g := range w.gateways {
		if g.address == address {
			return g
		}
	}
	return nil
}

// byOwner asks the owner of the limit, and its deputy.
type byOwner struct{}

func (byOwner) mayBeSent(w *world, g *gatewayModel) (granted bool, by string, retryIn time.Duration) {
	for role, address := range w.ranked(g) {
		owner := w.at(address)
		if !owner.up || owner != g && w.random.Float64() < w.lost {
			continue
		}
		rate, limited := owner.book.Rate(w.now, backendID)
		if !limited {
			rate, _ = g.book.Rate(w.now, backendID)
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

func (byOwner) tick(*world) {}

// worst returns the most requests in a window that ends between two times, of gateways that
// had been told half a second before.
func (w *world) worst(from, until time.Time) int {
	most := 0
	for i, end := range w.sends {
		if end.at.Before(from) || end.at.After(until) {
			continue
		}
		n := 0
		for j := i; j >= 0 && end.at.Sub(w.sends[j].at) <= Window; j-- {
			told := w.gateways[w.sends[j].gateway].toldAt
			if !told.IsZero() && end.at.Sub(told) >= 500*time.Millisecond {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// sentBetween returns how many requests the backend server got in a time.
func (w *world) sentBetween(from, until time.Time) int {
	n := 0
	for _, s := range w.sends {
		if s.at.After(from) && !s.at.After(until) {
			n++
		}
	}
	return n
}
