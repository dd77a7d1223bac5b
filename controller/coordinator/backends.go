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

// handleAnnouncements processes announcements of backend servers.
func (c *Coordinator) handleAnnouncements(now time.Time, announced []*wire.Backend) {
	drained := c.state.Drained()
	for _, b := range announced {
		switch b.GetKind() {
		case wire.BackendKind_BACKEND_KIND_ENGINE:
			c.planner.UpdateEngine(now, b, slices.Contains(drained, b.GetName()))
			if c.ObserveBatchFill != nil && b.GetRunning() > 0 {
				c.ObserveBatchFill(float64(b.GetRunning()) / float64(b.GetBatch()))
			}
		case wire.BackendKind_BACKEND_KIND_SERVICE:
			c.services[b.GetName()] = &service{info: b, lastSeen: now}
		default:
			continue
		}
		c.backends.put(b)
	}
}

// expireBackends removes services without a recent announcement, and engines that the planner
// dropped.
func (c *Coordinator) expireBackends(now time.Time) {
	for name, s := range c.services {
		if now.Sub(s.lastSeen) > c.Policy.BackendLease {
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

// backendList is the list of backend servers that gateways receive. Each change has a version,
// so that only changes are sent.
type backendList struct {
	version      uint64
	firstVersion uint64
	known        map[string]*wire.Backend
	// changes are sorted by version; of a server's changes the last one counts.
	changes []backendChange
	drained []string
}

type backendChange struct {
	version uint64
	name    string
}

// A list with more changes than this per server is shortened.
const changesPerBackend = 8

func newBackendList(term uint64) *backendList {
	first := term<<termShift + 1
	return &backendList{version: first, firstVersion: first, known: map[string]*wire.Backend{}}
}

func (l *backendList) put(b *wire.Backend) {
	if old := l.known[b.GetName()]; old != nil && equalForGateways(old, b) {
		return
	}
	l.known[b.GetName()] = b
	l.recordChange(b.GetName())
}

func (l *backendList) remove(name string) {
	delete(l.known, name)
	l.recordChange(name)
}

func (l *backendList) setDrained(drained []string) {
	if slices.Equal(drained, l.drained) {
		return
	}
	l.drained = drained
	l.version++
}

func (l *backendList) recordChange(name string) {
	l.version++
	l.changes = append(l.changes, backendChange{version: l.version, name: name})
	if len(l.changes) > changesPerBackend*(len(l.known)+1) {
		// A gateway with an older version gets the whole list.
		l.changes = slices.Clone(l.changes[len(l.changes)/2:])
		l.firstVersion = l.changes[0].version
	}
}

// equalForGateways reports whether gateways need no update for a new announcement. Loads are
// hints, and sent in steps of a quarter of a batch.
func equalForGateways(a, b *wire.Backend) bool {
	return a.GetIncarnation() == b.GetIncarnation() &&
		a.GetAddress() == b.GetAddress() && a.GetLeaving() == b.GetLeaving() &&
		a.GetZone() == b.GetZone() && a.GetService() == b.GetService() &&
		loadStep(a) == loadStep(b)
}

const loadStepsPerBatch = 4

func loadStep(b *wire.Backend) uint32 {
	return (b.GetRunning() + b.GetWaiting()) * loadStepsPerBatch / max(1, b.GetBatch())
}

// addTo adds the changes since a version. For a version of an earlier leader it sends the whole
// list. A new leader doesn't know all servers yet: until its warm-up is over, it removes none
// that a gateway knows from its predecessor.
func (l *backendList) addTo(res *wire.RenewResponse, since uint64, warmingUp bool) {
	res.BackendsVersion = l.version
	if since == l.version {
		return
	}
	res.Drained = l.drained
	if since >= l.firstVersion && since < l.version {
		l.addChanges(res, since)
		return
	}
	res.BackendsWhole = !warmingUp
	if warmingUp && since != 0 {
		res.BackendsVersion = since
	}
	for _, name := range slices.Sorted(maps.Keys(l.known)) {
		res.Backends = append(res.Backends, trimForGateways(l.known[name]))
	}
}

func (l *backendList) addChanges(res *wire.RenewResponse, since uint64) {
	from, _ := slices.BinarySearchFunc(l.changes, since+1, func(c backendChange, version uint64) int {
		return cmp.Compare(c.version, version)
	})
	sent := map[string]bool{}
	for _, change := range l.changes[from:] {
		if sent[change.name] {
			continue
		}
		sent[change.name] = true
		if b := l.known[change.name]; b != nil {
			res.Backends = append(res.Backends, trimForGateways(b))
		} else {
			res.Gone = append(res.Gone, change.name)
		}
	}
}

// trimForGateways removes what gateways don't use.
func trimForGateways(b *wire.Backend) *wire.Backend {
	if len(b.GetLoaded()) == 0 {
		return b
	}
	trimmed := proto.CloneOf(b)
	trimmed.Loaded = nil
	return trimmed
}
