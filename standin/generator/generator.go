// Package generator simulates a model engine. It batches requests in steps, has few adapter
// slots, resumes and cancels requests by id, and injects faults on request.
package generator

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"bronzelead.example/pkg/translator"
)

const (
	defaultTokens = 8
	maxTokens     = 4096
	maxRequests   = 20_000
	// Tombstones outlive the longest deadline, 10 minutes, after which no gateway sends the request any more.
	tombstoneRetention = 20 * time.Minute
	// A queued request without readers is cancelled after this time.
	unreadTimeout = 5 * time.Second
)

// Fault lists the faults to inject.
type Fault struct {
	// FailLoads makes this many loads fail.
	FailLoads int
	// FreezeMs suspends all steps and responses for this time.
	FreezeMs int
	// Restart clears the engine's state and gives it a new incarnation.
	Restart bool
	// DelayMs is added to each step.
	DelayMs int
	// Cross answers this many requests with the id of another request.
	Cross int
	// Truncate cuts this many responses off in the middle.
	Truncate int
	// Lose discards this many incoming requests and breaks their connections.
	Lose int
	// IgnoreFencing accepts orders with outdated fencing numbers.
	IgnoreFencing bool
}

// Entry is one line of the engine's log.
type Entry struct {
	At        time.Time
	What      string
	RequestID string `json:",omitempty"`
	Adapter   string `json:",omitempty"`
	Fencing   string `json:",omitempty"`
}

// Values of Entry.What.
const (
	Ran      = "Ran"
	Finished = "Finished"
	Loaded   = "Loaded"
	Unloaded = "Unloaded"
	// UnloadedInUse marks a violation: an adapter was unloaded while requests needed it.
	UnloadedInUse = "UnloadedInUse"
	Cancelled     = "Cancelled"
)

// Generator simulates one engine. Set the exported fields, call Init, then Run.
type Generator struct {
	BaseModel     string
	Slots         int
	Batch         int
	StepDuration  time.Duration
	ChecksFencing bool
	// Weights fetches an adapter's weights.
	Weights func(path string) error
	// ExitText in a request's body makes the engine call Exit; "" disables this.
	ExitText string
	Exit     func()

	mu          sync.Mutex
	changed     *sync.Cond
	incarnation string
	loaded      map[string]bool
	loading     map[string]bool
	requests    map[string]*request
	requestIDs  []string
	// forgotten is when the newest of the requests arrived that are not known any more; zero if all are known.
	forgotten time.Time
	// tombstones are forgotten requests that must not run if they arrive, the oldest first.
	tombstones   map[string]*request
	tombstoneIDs []string
	queue        []*request
	fault        Fault
	frozenUntil  time.Time
	fencing      string
	log          []Entry
	steps        int
	filled       int
}

// request is one request that the engine knows.
type request struct {
	id         string
	responseID string
	// incarnation is the one that the request is meant for; "" is any.
	incarnation string
	model       string
	chat        bool
	stream      bool
	priority    int
	tokens      int
	events      []string
	done        bool
	// tombstone is set if the request was cancelled; it never runs again.
	tombstone bool
	ran       bool
	readers   int
	unreadAt  time.Time
	arrivedAt time.Time
	wrongID   bool
	truncate  bool
}

// Init prepares the engine. It must be called before Run.
func (g *Generator) Init(incarnation string) {
	g.changed = sync.NewCond(&g.mu)
	g.incarnation = incarnation
	g.loaded, g.loading = map[string]bool{}, map[string]bool{}
	g.requests, g.tombstones = map[string]*request{}, map[string]*request{}
}

// Run executes steps until done is closed.
func (g *Generator) Run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(g.stepInterval()):
			g.step(time.Now())
		}
	}
}

func (g *Generator) stepInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.StepDuration + time.Duration(g.fault.DelayMs)*time.Millisecond
}

// step generates one token for each request of the batch.
func (g *Generator) step(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.frozenUntil) {
		return
	}
	g.cancelUnread(now)
	if len(g.queue) == 0 {
		return
	}
	slices.SortStableFunc(g.queue, func(a, b *request) int { return b.priority - a.priority })
	batch := g.queue[:min(g.Batch, len(g.queue))]
	g.steps++
	g.filled += len(batch)
	for _, r := range batch {
		g.advance(r)
	}
	g.queue = slices.DeleteFunc(g.queue, func(r *request) bool { return r.done || r.tombstone })
	g.changed.Broadcast()
}

func (g *Generator) advance(r *request) {
	if !r.ran {
		r.ran = true
		g.appendLog(Entry{What: Ran, RequestID: r.id, Adapter: r.model})
	}
	r.events = append(r.events, fmt.Sprintf("%s#%d ", r.model, len(r.events)))
	if len(r.events) >= r.tokens {
		r.done = true
		g.appendLog(Entry{What: Finished, RequestID: r.id, Adapter: r.model})
	}
}

func (g *Generator) cancelUnread(now time.Time) {
	// cancel removes requests from the queue.
	for _, r := range slices.Clone(g.queue) {
		if r.readers == 0 && now.Sub(r.unreadAt) > unreadTimeout {
			g.cancel(r)
		}
	}
}

func (g *Generator) cancel(r *request) {
	r.tombstone = true
	g.appendLog(Entry{What: Cancelled, RequestID: r.id, Adapter: r.model})
	g.queue = slices.DeleteFunc(g.queue, func(q *request) bool { return q == r })
	g.changed.Broadcast()
}

func (g *Generator) appendLog(e Entry) {
	e.At = time.Now()
	g.log = append(g.log, e)
}

// submit queues a request. With a status other than 200 it is not queued; neverRuns states that no request of this id has
// run or will.
func (g *Generator) submit(r *request) (status int, neverRuns bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.find(r.id)
	switch {
	case r.incarnation != "" && r.incarnation != g.incarnation:
		return http.StatusMisdirectedRequest, true
	case known != nil:
		return http.StatusConflict, known.tombstone && !known.ran
	case !g.loaded[r.model]:
		return http.StatusNotFound, true
	}
	if g.fault.Cross > 0 {
		g.fault.Cross--
		r.wrongID = true
	}
	if g.fault.Truncate > 0 {
		g.fault.Truncate--
		r.truncate = true
	}
	g.store(r)
	g.queue = append(g.queue, r)
	return http.StatusOK, false
}

// find returns what the engine knows of a request, or nil.
func (g *Generator) find(id string) *request {
	if r := g.requests[id]; r != nil {
		return r
	}
	return g.tombstones[id]
}

func (g *Generator) store(r *request) {
	r.arrivedAt = time.Now()
	g.requests[r.id] = r
	g.requestIDs = append(g.requestIDs, r.id)
	if len(g.requestIDs) > maxRequests {
		g.forgetOldest(r.arrivedAt)
	}
}

// forgetOldest forgets the oldest request. One that has yet to run is kept, and of a cancelled one the tombstone.
func (g *Generator) forgetOldest(now time.Time) {
	oldest := g.requests[g.requestIDs[0]]
	g.requestIDs = g.requestIDs[1:]
	if !oldest.done && !oldest.tombstone {
		g.requestIDs = append(g.requestIDs, oldest.id)
		return
	}
	delete(g.requests, oldest.id)
	if oldest.arrivedAt.After(g.forgotten) {
		g.forgotten = oldest.arrivedAt
	}
	if oldest.tombstone {
		g.tombstones[oldest.id] = oldest
		g.tombstoneIDs = append(g.tombstoneIDs, oldest.id)
	}
	for len(g.tombstoneIDs) > 0 && now.Sub(g.tombstones[g.tombstoneIDs[0]].arrivedAt) > tombstoneRetention {
		delete(g.tombstones, g.tombstoneIDs[0])
		g.tombstoneIDs = g.tombstoneIDs[1:]
	}
}

// Announcement returns the engine's current state.
func (g *Generator) Announcement() translator.Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	running := min(len(g.queue), g.Batch)
	a := translator.Announcement{
		Kind: translator.KindEngine, Incarnation: g.incarnation, BaseModel: g.BaseModel,
		Slots: uint32(g.Slots), Batch: uint32(g.Batch), ChecksFencing: g.ChecksFencing,
		Running: uint32(running), Waiting: uint32(len(g.queue) - running),
	}
	for name := range g.loaded {
		a.Loaded = append(a.Loaded, name)
	}
	slices.Sort(a.Loaded)
	return a
}
