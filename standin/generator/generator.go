// Package generator is a stand-in for a model engine. It batches in steps, has few
// adapter slots, resumes and cancels by request id, and can be told to fail.
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
	keepRequests  = 20_000
	// A request that nobody reads is cancelled after this.
	unreadFor = 5 * time.Second
)

// Fault is what the engine is told to do wrong.
type Fault struct {
	// FailLoads fails this many loads.
	FailLoads int
	// FreezeMs stops all steps and answers for a while.
	FreezeMs int
	// Restart empties the engine and gives it a new incarnation.
	Restart bool
	// DelayMs is added to each step.
	DelayMs int
	// Cross answers this many requests with another's id.
	Cross int
	// Truncate cuts this many answers in the middle.
	Truncate int
	// Lose forgets this many arriving requests after their connection was cut.
	Lose int
	// IgnoreFencing takes orders with old fencing numbers.
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

// What an Entry tells.
const (
	Ran      = "Ran"
	Finished = "Finished"
	Loaded   = "Loaded"
	Unloaded = "Unloaded"
	// UnloadedInUse is what must never happen.
	UnloadedInUse = "UnloadedInUse"
	Cancelled     = "Cancelled"
)

// Generator is one engine. Set the exported fields, call Init, then Run.
type Generator struct {
	BaseModel     string
	Slots         int
	Batch         int
	StepDuration  time.Duration
	ChecksFencing bool
	// Weights fetches an adapter's weights.
	Weights func(path string) error
	// ExitText is a text in a request's body under which the engine ends, by End; "" is none.
	ExitText string
	Exit     func()

	mu          sync.Mutex
	changed     *sync.Cond
	incarnation string
	loaded      map[string]bool
	loading     map[string]bool
	requests    map[string]*request
	order       []string
	queue       []*request
	fault       Fault
	frozenUntil time.Time
	fencing     string
	log         []Entry
	steps       int
	filled      int
}

// request is one request at the engine.
type request struct {
	id       string
	answerID string
	model    string
	chat     bool
	stream   bool
	priority int
	tokens   int
	events   []string
	done     bool
	// tombstone is set when the request was cancelled; it never runs again.
	tombstone bool
	ran       bool
	readers   int
	unreadAt  time.Time
	cross     bool
	truncate  bool
}

// Init prepares the engine for calls before Run.
func (g *Generator) Init(incarnation string) {
	g.changed = sync.NewCond(&g.mu)
	g.incarnation = incarnation
	g.loaded, g.loading = map[string]bool{}, map[string]bool{}
	g.requests = map[string]*request{}
}

// Run makes steps until done is closed.
func (g *Generator) Run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(g.pause()):
			g.step(time.Now())
		}
	}
}

func (g *Generator) pause() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.StepDuration + time.Duration(g.fault.DelayMs)*time.Millisecond
}

// step gives each request of the batch one token.
func (g *Generator) step(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.frozenUntil) {
		return
	}
	g.dropUnread(now)
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
		g.note(Entry{What: Ran, RequestID: r.id, Adapter: r.model})
	}
	r.events = append(r.events, fmt.Sprintf("%s#%d ", r.model, len(r.events)))
	if len(r.events) >= r.tokens {
		r.done = true
		g.note(Entry{What: Finished, RequestID: r.id, Adapter: r.model})
	}
}

func (g *Generator) dropUnread(now time.Time) {
	for _, r := range g.queue {
		if r.readers == 0 && now.Sub(r.unreadAt) > unreadFor {
			g.cancel(r)
		}
	}
}

func (g *Generator) cancel(r *request) {
	r.tombstone = true
	g.note(Entry{What: Cancelled, RequestID: r.id, Adapter: r.model})
	g.queue = slices.DeleteFunc(g.queue, func(q *request) bool { return q == r })
	g.changed.Broadcast()
}

func (g *Generator) note(e Entry) {
	e.At = time.Now()
	g.log = append(g.log, e)
}

// add takes a request in. It returns a status other than 200 when it does not run.
func (g *Generator) add(r *request) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.requests[r.id] != nil:
		return http.StatusConflict
	case !g.loaded[r.model]:
		return http.StatusNotFound
	}
	if g.fault.Cross > 0 {
		g.fault.Cross--
		r.cross = true
	}
	if g.fault.Truncate > 0 {
		g.fault.Truncate--
		r.truncate = true
	}
	g.remember(r)
	g.queue = append(g.queue, r)
	return http.StatusOK
}

func (g *Generator) remember(r *request) {
	g.requests[r.id] = r
	g.order = append(g.order, r.id)
	if len(g.order) > keepRequests {
		delete(g.requests, g.order[0])
		g.order = g.order[1:]
	}
}

// Announcement returns what the engine tells of itself.
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
