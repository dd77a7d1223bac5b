package app

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzelead.example/pkg/planner"
	"bronzelead.example/pkg/retrier"
	"bronzelead.example/pkg/router"
	"bronzelead.example/pkg/wire"
)

type policyCommand struct {
	Engines  int     `default:"18" help:"Model engines."`
	Slots    int     `default:"8" help:"Adapters that fit into an engine."`
	Adapters int     `default:"3000" help:"Adapters."`
	Rate     float64 `default:"60" help:"Requests a second."`
	Minutes  float64 `default:"20" help:"Virtual minutes. Popularity shifts in the middle."`
	Loads    float64 `default:"10" help:"Loads a second that the weight store allows."`
	Skew     float64 `default:"1.1" help:"Exponent of the popularity; larger is more uneven."`
	Seed     uint64  `default:"1" help:"Seed of all random numbers."`
}

// variant is one selection and eviction policy.
type variant struct {
	name   string
	choose func(random *rand.Rand) func([]*router.Candidate) *router.Candidate
	evict  func([]*planner.Placement) *planner.Placement
}

// Run simulates each variant in virtual time with the same requests.
func (c *policyCommand) Run(out io.Writer) error {
	variants := []variant{
		{name: "policy: fuller batch, least popular out", evict: planner.LeastPopular},
		{name: "least recently used out", evict: planner.LeastRecentlyUsed},
		{name: "random engine", choose: chooseRandom, evict: planner.LeastPopular},
		{name: "least loaded engine", choose: chooseLeastLoaded, evict: planner.LeastPopular},
		{name: "rendezvous hashing", choose: chooseRendezvous, evict: planner.LeastPopular},
	}
	for _, v := range variants {
		m := newSimulation(c, v)
		m.run()
		_, _ = fmt.Fprintf(out, "%-42s %s\n", v.name, m.report())
	}
	return nil
}

func chooseRandom(random *rand.Rand) func([]*router.Candidate) *router.Candidate {
	return func(all []*router.Candidate) *router.Candidate { return all[random.IntN(len(all))] }
}

func chooseLeastLoaded(*rand.Rand) func([]*router.Candidate) *router.Candidate {
	return func(all []*router.Candidate) *router.Candidate {
		return slices.MinFunc(all, func(a, b *router.Candidate) int { return a.Load - b.Load })
	}
}

func chooseRendezvous(random *rand.Rand) func([]*router.Candidate) *router.Candidate {
	return func(all []*router.Candidate) *router.Candidate {
		request := random.Uint64()
		return slices.MaxFunc(all, func(a, b *router.Candidate) int {
			return int(int64(weight(a, request)>>1) - int64(weight(b, request)>>1))
		})
	}
}

func weight(c *router.Candidate, request uint64) uint64 {
	return xxhash.Sum64String(fmt.Sprint(c.Backend.GetName(), request))
}

const (
	tickDuration     = 20 * time.Millisecond
	loadDuration     = 300 * time.Millisecond
	announceInterval = time.Second
	batchSize        = 16
	tokensPerRequest = 50
	gatewayID        = planner.SessionID(1)
)

// simulation connects engines, requests and the real planner and router in virtual time.
type simulation struct {
	command         *policyCommand
	random          *rand.Rand
	now             time.Time
	planner         *planner.Planner
	router          *router.Router
	engines         []*simulatedEngine
	waiting         map[string][]time.Time
	ranks           []int
	zipf            *rand.Zipf
	pendingArrivals float64
	pendingOrders   []pendingOrder

	stalls  []time.Duration
	steps   int
	filled  int
	arrived int
	served  int
}

type pendingOrder struct {
	dueAt time.Time
	order planner.Order
}

type simulatedEngine struct {
	name    string
	loaded  map[string]bool
	running []*simulatedRequest
}

type simulatedRequest struct {
	adapter    string
	tokensLeft int
	candidate  *router.Candidate
}

func newSimulation(c *policyCommand, v variant) *simulation {
	random := rand.New(rand.NewPCG(c.Seed, c.Seed))
	m := &simulation{
		command: c, random: random, now: time.Unix(1_000_000, 0), waiting: map[string][]time.Time{},
		planner: &planner.Planner{Policy: planner.Policy{
			LoadsPerSecond: c.Loads, MaxConcurrentLoads: 3, StallWeight: 1, BatchWeight: 0.1, StarveAfter: time.Second,
			MinResidence: 2 * time.Second, BackendLease: 3 * time.Second, OrderTimeout: 10 * time.Second,
			FailureBackoff: retrier.Backoff{Initial: time.Second, Max: time.Minute}, Evict: v.evict,
		}},
		router: &router.Router{Zone: "here", Policy: router.Policy{
			BatchWeight: 1, StallWeight: 1, MaxLeaseIdle: 10 * time.Second, SuspectPeriod: time.Second,
		}},
		zipf: rand.NewZipf(random, c.Skew, 1, uint64(c.Adapters-1)),
	}
	if v.choose != nil {
		m.router.Choose = v.choose(rand.New(rand.NewPCG(c.Seed, c.Seed+1)))
	}
	for i := range c.Adapters {
		m.ranks = append(m.ranks, i)
	}
	for i := range c.Engines {
		m.engines = append(m.engines, &simulatedEngine{name: fmt.Sprintf("engine-%02d", i), loaded: map[string]bool{}})
	}
	m.planner.Start(m.now, 1)
	m.planner.SetSynced(true)
	return m
}

func (m *simulation) run() {
	ticks := int(m.command.Minutes * float64(time.Minute) / float64(tickDuration))
	for tick := range ticks {
		m.now = m.now.Add(tickDuration)
		if tick == ticks/2 {
			// Popularity shift: other adapters become the popular ones.
			m.random.Shuffle(len(m.ranks), func(i, j int) { m.ranks[i], m.ranks[j] = m.ranks[j], m.ranks[i] })
		}
		m.addArrivals()
		m.step()
		if tick%int(announceInterval/tickDuration) == 0 {
			m.announce()
		}
		m.plan()
		m.dispatch()
	}
}

func (m *simulation) addArrivals() {
	m.pendingArrivals += m.command.Rate * tickDuration.Seconds()
	for ; m.pendingArrivals >= 1; m.pendingArrivals-- {
		name := fmt.Sprintf("a%d@1", m.ranks[m.zipf.Uint64()])
		m.waiting[name] = append(m.waiting[name], m.now)
		m.router.AddWaiting(name, "base")
		m.arrived++
	}
}

// step generates one token for each request in the engines' batches.
func (m *simulation) step() {
	for _, e := range m.engines {
		if len(e.running) == 0 {
			continue
		}
		m.steps++
		for _, r := range e.running[:min(batchSize, len(e.running))] {
			r.tokensLeft--
			m.filled++
			if r.tokensLeft == 0 {
				m.router.End(m.now, r.candidate, false)
				m.router.RecordEnd(r.adapter)
				m.served++
			}
		}
		e.running = slices.DeleteFunc(e.running, func(r *simulatedRequest) bool { return r.tokensLeft == 0 })
	}
}

func (m *simulation) announce() {
	var all []*wire.Backend
	for _, e := range m.engines {
		running := min(batchSize, len(e.running))
		b := &wire.Backend{
			Name: e.name, Incarnation: "1", Kind: wire.BackendKind_BACKEND_KIND_ENGINE, Zone: "here", BaseModel: "base",
			Slots: uint32(m.command.Slots), Batch: batchSize, ChecksFencing: true,
			Running: uint32(running), Waiting: uint32(len(e.running) - running),
		}
		for name := range e.loaded {
			b.Loaded = append(b.Loaded, name)
		}
		all = append(all, b)
		m.planner.UpdateEngine(m.now, b, false)
	}
	m.router.Update(all, nil, nil, true)
}

func (m *simulation) plan() {
	for _, lease := range m.router.TakeReleased() {
		m.planner.Release(gatewayID, planner.LeaseID(lease))
	}
	for _, d := range m.router.TakeDemands(false) {
		m.planner.RecordDemand(m.now, gatewayID, d)
		if d.GetWaiting() > 0 || d.GetRunning() > 0 {
			m.router.Grant(m.now, m.planner.GrantLeases(m.now, gatewayID, d.GetAdapter()))
		}
	}
	m.router.Recall(m.planner.Recalls(gatewayID))
	m.router.ReleaseIdle(m.now)
	m.completeOrders()
	for _, o := range m.planner.Plan(m.now) {
		took := tickDuration
		if o.Kind == planner.Load {
			took = loadDuration
		}
		m.pendingOrders = append(m.pendingOrders, pendingOrder{dueAt: m.now.Add(took), order: o})
	}
}

func (m *simulation) completeOrders() {
	m.pendingOrders = slices.DeleteFunc(m.pendingOrders, func(d pendingOrder) bool {
		if d.dueAt.After(m.now) {
			return false
		}
		for _, e := range m.engines {
			if e.name == d.order.Backend {
				e.apply(d.order)
			}
		}
		m.planner.RecordOutcome(m.now, d.order.ID, planner.Completed)
		return true
	})
}

func (e *simulatedEngine) apply(o planner.Order) {
	if o.Kind == planner.Load {
		e.loaded[o.Adapter] = true
		return
	}
	delete(e.loaded, o.Adapter)
}

func (m *simulation) dispatch() {
	for name, arrivals := range m.waiting {
		for len(arrivals) > 0 {
			want := router.Request{Adapter: name}
			candidate := m.router.Pick(m.now, want)
			if candidate == nil {
				break
			}
			m.stalls = append(m.stalls, m.now.Sub(arrivals[0]))
			arrivals = arrivals[1:]
			m.router.Begin(m.now, want, candidate)
			m.router.RemoveWaiting(name)
			m.router.RecordStart(name, "base")
			m.start(name, candidate)
		}
		m.waiting[name] = arrivals
		if len(arrivals) == 0 {
			delete(m.waiting, name)
		}
	}
}

func (m *simulation) start(name string, candidate *router.Candidate) {
	for _, e := range m.engines {
		if e.name == candidate.Backend.GetName() {
			e.running = append(e.running, &simulatedRequest{adapter: name, tokensLeft: tokensPerRequest, candidate: candidate})
		}
	}
}

func (m *simulation) report() string {
	fill := float64(m.filled) / float64(max(1, m.steps*batchSize))
	var sum time.Duration
	for _, stall := range m.stalls {
		sum += stall
	}
	mean := sum / time.Duration(max(1, len(m.stalls)))
	slices.Sort(m.stalls)
	at := func(q float64) time.Duration { return m.stalls[int(q*float64(len(m.stalls)-1))] }
	return fmt.Sprintf("stall mean %6s p95 %7s p99 %7s  batch %2.0f%%  served %d of %d",
		mean.Round(time.Millisecond), at(0.95), at(0.99), 100*fill, m.served, m.arrived)
}
