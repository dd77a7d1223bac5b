package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

const termShift = 32

// announce takes in what backend servers told of themselves.
func (c *Coordinator) announce(now time.Time, announced []*wire.Backend) {
	drained := c.state.Drained()
	for _, b := range announced {
		switch b.GetKind() {
		case wire.BackendKind_BACKEND_KIND_ENGINE:
			c.planner.UpdateEngine(now, b, slices.Contains(drained, b.GetName()))
			if c.ObserveBatchFill != nil && b.GetRunning() > 0 {
				c.ObserveBatchFill(float64(b.GetRunning()) / float64(b.GetBatch()))
			}
		case wire.BackendKind_BACKEND_KIND_SERVICE:
			c.services[b.GetName()] = &service{info: b, seen: now}
		default:
			continue
		}
		c.backends.put(b)
	}
}

// forgetBackends takes out those that have not announced themselves for too long.
func (c *Coordinator) forgetBackends(now time.Time) {
	for name, s := range c.services {
		if now.Sub(s.seen) > c.Policy.BackendLease {
			delete(c.services, name)
			c.backends.remove(name)
		}
	}
	for _, name := range c.planner.TakeRemovedEngines() {
		if c.planner.Backend(name) == nil {
			c.backends.remove(name)
		}
	}
	c.backends.setDrained(c.state.Drained())
}

// backendList is what gateways are told of the backend servers. Each change has a
// version, so that only changes are sent.
type backendList struct {
	version uint64
	first   uint64
	known   map[string]*wire.Backend
	// changes are in the order of their versions; a server's last one counts.
	changes []backendChange
	drained []string
}

type backendChange struct {
	version uint64
	name    string
}

// A list of changes that is this many times longer than the servers is shortened.
const changesPerBackend = 8

func newBackendList(term uint64) *backendList {
	first := term<<termShift + 1
	return &backendList{version: first, first: first, known: map[string]*wire.Backend{}}
}

func (l *backendList) put(b *wire.Backend) {
	if old := l.known[b.GetName()]; old != nil && sameForGateways(old, b) {
		return
	}
	l.known[b.GetName()] = b
	l.change(b.GetName())
}

func (l *backendList) remove(name string) {
	delete(l.known, name)
	l.change(name)
}

func (l *backendList) setDrained(drained []string) {
	if slices.Equal(drained, l.drained) {
		return
	}
	l.drained = drained
	l.version++
}

func (l *backendList) change(name string) {
	l.version++
	l.changes = append(l.changes, backendChange{version: l.version, name: name})
	if len(l.changes) > changesPerBackend*(len(l.known)+1) {
		// Whoever knows only what is older gets the whole list.
		l.changes = slices.Clone(l.changes[len(l.changes)/2:])
		l.first = l.changes[0].version
	}
}

// sameForGateways tells whether a gateway needs to hear of a new announcement. Loads
// are hints, and told in steps of a quarter of a batch.
func sameForGateways(a, b *wire.Backend) bool {
	return a.GetIncarnation() == b.GetIncarnation() &&
		a.GetAddress() == b.GetAddress() && a.GetLeaving() == b.GetLeaving() &&
		a.GetZone() == b.GetZone() && a.GetService() == b.GetService() &&
		loadStep(a) == loadStep(b)
}

const stepsPerBatch = 4

func loadStep(b *wire.Backend) uint32 {
	return (b.GetRunning() + b.GetWaiting()) * stepsPerBatch / max(1, b.GetBatch())
}

// addTo adds what changed since a version. A version of an earlier leader is answered
// with the whole list. A leader that is new has not heard of all servers: until it
// is warm it takes nothing from what a gateway knows from its predecessor.
func (l *backendList) addTo(res *wire.RenewResponse, since uint64, warming bool) {
	res.BackendsVersion = l.version
	if since == l.version {
		return
	}
	res.Drained = l.drained
	if since >= l.first && since < l.version {
		l.addChanges(res, since)
		return
	}
	res.BackendsWhole = !warming
	if warming && since != 0 {
		res.BackendsVersion = since
	}
	for _, name := range slices.Sorted(maps.Keys(l.known)) {
		res.Backends = append(res.Backends, forGateways(l.known[name]))
	}
}

func (l *backendList) addChanges(res *wire.RenewResponse, since uint64) {
	from, _ := slices.BinarySearchFunc(l.changes, since+1, func(c backendChange, version uint64) int {
		return cmp.Compare(c.version, version)
	})
	told := map[string]bool{}
	for _, change := range l.changes[from:] {
		if told[change.name] {
			continue
		}
		told[change.name] = true
		if b := l.known[change.name]; b != nil {
			res.Backends = append(res.Backends, forGateways(b))
		} else {
			res.Gone = append(res.Gone, change.name)
		}
	}
}

// forGateways leaves out what gateways don't use.
func forGateways(b *wire.Backend) *wire.Backend {
	if len(b.GetLoaded()) == 0 {
		return b
	}
	short := proto.CloneOf(b)
	short.Loaded = nil
	return short
}
