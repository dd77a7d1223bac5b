package coordinator

import (
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
			c.planner.Announce(now, b, slices.Contains(drained, b.GetName()))
		case wire.BackendKind_BACKEND_KIND_SERVICE:
			c.services[b.GetName()] = &service{info: b, seen: now}
		}
	}
	if len(announced) > 0 {
		c.refreshBackends()
	}
}

func (c *Coordinator) expireServices(now time.Time) {
	for name, s := range c.services {
		if now.Sub(s.seen) > c.Policy.BackendLease {
			delete(c.services, name)
		}
	}
}

func (c *Coordinator) refreshBackends() {
	current := map[string]*wire.Backend{}
	for _, b := range c.planner.Engines() {
		current[b.GetName()] = b
	}
	for name, s := range c.services {
		current[name] = s.info
	}
	c.backends.update(current, c.state.Drained())
}

// backendList is what gateways are told of the backend servers, with the version
// at which each of them last changed, so that only changes are sent.
type backendList struct {
	version uint64
	first   uint64
	known   map[string]versioned
	gone    map[string]uint64
	drained []string
}

type versioned struct {
	info    *wire.Backend
	version uint64
}

func newBackendList(term uint64) *backendList {
	first := term<<termShift + 1
	return &backendList{version: first, first: first, known: map[string]versioned{}, gone: map[string]uint64{}}
}

func (l *backendList) update(current map[string]*wire.Backend, drained []string) {
	next := l.version + 1
	changed := !slices.Equal(drained, l.drained)
	for name, b := range current {
		if old, ok := l.known[name]; ok && sameForGateways(old.info, b) {
			continue
		}
		l.known[name] = versioned{info: b, version: next}
		delete(l.gone, name)
		changed = true
	}
	for name := range l.known {
		if current[name] == nil {
			delete(l.known, name)
			l.gone[name] = next
			changed = true
		}
	}
	if changed {
		l.version = next
		l.drained = drained
	}
}

// sameForGateways tells whether a gateway needs to hear of a new announcement.
func sameForGateways(a, b *wire.Backend) bool {
	return a == b || a.GetIncarnation() == b.GetIncarnation() &&
		a.GetAddress() == b.GetAddress() && a.GetLeaving() == b.GetLeaving() &&
		a.GetZone() == b.GetZone() && a.GetService() == b.GetService() &&
		a.GetRunning() == b.GetRunning() && a.GetWaiting() == b.GetWaiting()
}

// addTo adds what changed since a version. A version of an earlier leader is answered
// with the whole list. A leader that is new has not heard of all servers: until it
// is warm it takes nothing from what a gateway knows from its predecessor.
func (l *backendList) addTo(res *wire.RenewResponse, since uint64, warming bool) {
	res.BackendsVersion = l.version
	if since == l.version {
		return
	}
	foreign := since < l.first || since > l.version
	res.BackendsWhole = foreign && !warming
	if foreign && warming && since != 0 {
		res.BackendsVersion = since
	}
	res.Drained = l.drained
	for _, name := range slices.Sorted(maps.Keys(l.known)) {
		if b := l.known[name]; foreign || b.version > since {
			res.Backends = append(res.Backends, forGateways(b.info))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.gone)) {
		if !foreign && l.gone[name] > since {
			res.Gone = append(res.Gone, name)
		}
	}
}

// forGateways leaves out what gateways don't use.
func forGateways(b *wire.Backend) *wire.Backend {
	short := proto.CloneOf(b)
	short.Loaded = nil
	return short
}
