package app

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/framer"
	"bronzelead.example/platform"
)

const (
	// runTime is how long each request takes at a backend server with a room.
	runTime = 100 * time.Millisecond
	// usualQueue is how many requests may wait there, and brittleQueue how many while it is brittle.
	usualQueue   = 24
	brittleQueue = 2
	// maxRejections is how many rejections within a second a brittle backend server bears.
	maxRejections = 10
	// downTime is how long one that has crashed is down.
	downTime = 2 * time.Second
)

// room is the room for requests of a backend server, which may be brittle.
type room struct {
	slots chan struct{}

	mu sync.Mutex
	// brittleAt is since when it is brittle; zero if it is not.
	brittleAt time.Time
	present   int
	// rejections are when requests were rejected.
	rejections []time.Time
	downUntil  time.Time
	crashes    int
}

func newRoom(slots int) *room { return &room{slots: make(chan struct{}, slots)} }

// setBrittle makes the backend server brittle, or ends that.
func (o *room) setBrittle(brittle bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.brittleAt = time.Time{}
	if brittle {
		o.brittleAt = time.Now()
	}
}

// enter waits for a slot and runs a request, or rejects it.
func (o *room) enter(w http.ResponseWriter, r *http.Request, id string) bool {
	accepted, down := o.admit(w)
	switch {
	case down:
		panic(http.ErrAbortHandler)
	case !accepted:
		for _, field := range platform.StandInRefusal(id) {
			w.Header().Set(field.Name, field.Value)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.present--
	}()
	select {
	case o.slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	defer func() { <-o.slots }()
	select {
	case <-time.After(runTime):
	case <-r.Context().Done():
	}
	return true
}

// admit decides on a request by the room that is left.
func (o *room) admit(w http.ResponseWriter) (accepted, down bool) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Before(o.downUntil) {
		return false, true
	}
	queue := usualQueue
	if !o.brittleAt.IsZero() {
		setField(w, platform.StandInBrittle(maxRejections))
		if now.Sub(o.brittleAt) > contactTime {
			queue = brittleQueue
		}
	}
	if o.present < cap(o.slots)+queue {
		o.present++
		return true, false
	}
	o.rejections = append(o.rejections, now)
	recent := o.rejections[:0]
	for _, at := range o.rejections {
		if now.Sub(at) <= time.Second {
			recent = append(recent, at)
		}
	}
	o.rejections = recent
	if queue == brittleQueue && len(recent) > maxRejections {
		o.crashes++
		o.downUntil, o.rejections = now.Add(downTime), nil
		return false, true
	}
	return false, false
}

func setField(w http.ResponseWriter, field framer.Field) { w.Header().Set(field.Name, field.Value) }

// Gateways sent backend servers that had become brittle more than these had room for, and they crashed
// one after the other. The same test of the balancer, in virtual time, checks what is served.
func TestBrittleBackendServersStayUp(t *testing.T) {
	const (
		slots      = 4
		brittleFor = 8 * time.Second
	)
	perSecond := float64(siteBackends*slots) / runTime.Seconds()
	for name, test := range map[string]struct {
		// load is what is asked for, as a part of the capacity, in bunches of so many requests at
		// each gateway.
		load  float64
		bunch int
	}{
		"half of the capacity":                       {0.5, 1},
		"one and a half times the capacity":          {1.5, 1},
		"three times the capacity":                   {3, 1},
		"bunches, one and a half times the capacity": {1.5, 40},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			y := startPartitionSite(c, slots)
			interval := time.Duration(float64(siteGateways*test.bunch) / (test.load * perSecond) * float64(time.Second))
			y.loadFor(time.Second, interval, test.bunch)
			for _, b := range y.backends {
				b.room.setBrittle(true)
			}
			y.loadFor(contactTime, interval, test.bunch)
			s := y.loadFor(brittleFor, interval, test.bunch)
			crashes := 0
			for _, b := range y.backends {
				b.room.mu.Lock()
				crashes += b.room.crashes
				b.room.mu.Unlock()
			}
			c.Check(crashes <= 2+siteBackends/10, qt.IsTrue, qt.Commentf("%d crashes", crashes))
			possible := min(float64(s.sent.Load()), perSecond*brittleFor.Seconds())
			c.Logf("%s: %d of %d served, %.0f possible, %d crashes", name, s.served.Load(), s.sent.Load(), possible, crashes)
		})
	}
}

// loadFor calls all gateways for a time, each with a bunch of requests in each interval.
func (y *partitionSite) loadFor(d, interval time.Duration, bunch int) *served {
	s := &served{}
	var callers sync.WaitGroup
	for _, g := range y.gateways {
		callers.Go(func() { y.callEvery(interval, bunch, d, g, s) })
	}
	callers.Wait()
	return s
}
