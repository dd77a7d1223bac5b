// Package pathtracker tracks which backend servers a gateway can open connections to, and decides
// which of them it reaches through other gateways. A failed connection says something about the
// path or about the backend server: what another gateway sees of the same backend server tells
// them apart. It is pure: events and the time are passed in.
package pathtracker

import (
	"slices"
	"strings"
	"time"
)

const (
	// partitionQuorum is how many backend servers of a service must be unreachable, none
	// reached since, before the gateway counts as partitioned from the service. One or two
	// often fail together.
	partitionQuorum = 3
	// retention is how long an outcome counts: what was unreachable that long ago may have
	// recovered.
	retention = 10 * time.Second
	// downRetention is how long the failure of another gateway to reach a backend server
	// counts. That gateway may be partitioned itself and not know it yet.
	downRetention = time.Second
	// checkInterval is the minimum time between two checks of a path through other gateways.
	checkInterval = time.Second
)

// Failure classifies why a connection could not be opened.
type Failure string

// The classes of failures, as logged.
const (
	// TimedOut means that nothing answered.
	TimedOut Failure = "TimedOut"
	// Refused means that the connection was refused or reset.
	Refused Failure = "Refused"
	// OtherFailure is any other cause.
	OtherFailure Failure = "Other"
)

// Tracker tracks the paths to the backend servers of a gateway. The zero value is ready for use.
type Tracker struct {
	services map[string]*service
}

// service is what is known of the paths to the backend servers of a service.
type service struct {
	paths map[string]*path
	// connectedAt is when a direct connection to any of them was last opened, and
	// partitionedAt since when the gateway is partitioned from all; zero if it is not.
	connectedAt   time.Time
	partitionedAt time.Time
	// counts are since they were last taken.
	counts Counts
}

// path is what is known of a backend server that no connection could be opened to.
type path struct {
	failedAt time.Time
	failure  Failure
	// detoured is set once another gateway has reached it, and downAt is when one could not
	// either.
	detoured bool
	downAt   time.Time
	// checkedAt is when other gateways were last asked, and probedAt when a direct connection
	// was last attempted.
	checkedAt time.Time
	probedAt  time.Time
}

// Counts counts attempts to open connections, and answers.
type Counts struct {
	Connected int
	Failed    map[Failure]int
	// OnKept counts the answers on connections that were open before.
	OnKept int
}

// Summary is what is known of the paths to a service's backend servers.
type Summary struct {
	Service string
	Counts  Counts
	// Unreachable is how many backend servers no connection could be opened to, and Detoured
	// how many of them other gateways reach.
	Unreachable int
	Detoured    int
	// PartitionedAt is since when the gateway reaches none of them, as far as it knows; zero if
	// that is not so.
	PartitionedAt time.Time
}

func (t *Tracker) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{paths: map[string]*path{}, counts: newCounts()}
		if t.services == nil {
			t.services = map[string]*service{}
		}
		t.services[name] = s
	}
	return s
}

func newCounts() Counts { return Counts{Failed: map[Failure]int{}} }

// path returns the state of a path, or nil if no connection failed lately.
func (t *Tracker) path(serviceName, backend string) *path {
	if s := t.services[serviceName]; s != nil {
		return s.paths[backend]
	}
	return nil
}

// RecordConnected records that a direct connection to a backend server was opened. It reports
// whether connections to it were opened through other gateways before.
func (t *Tracker) RecordConnected(now time.Time, serviceName, backend string) (returned bool) {
	s := t.service(serviceName)
	s.counts.Connected++
	s.connectedAt, s.partitionedAt = now, time.Time{}
	p := s.paths[backend]
	delete(s.paths, backend)
	return p != nil && p.detoured
}

// RecordFailed records that no direct connection to a backend server could be opened. Known is the
// number of backend servers of the service.
func (t *Tracker) RecordFailed(now time.Time, serviceName, backend string, known int, why Failure) {
	s := t.service(serviceName)
	s.counts.Failed[why]++
	p := s.paths[backend]
	if p == nil {
		p = &path{}
		s.paths[backend] = p
	}
	p.failedAt, p.failure, p.probedAt = now, why, now
	if s.partitionedAt.IsZero() && s.failing(now) >= min(partitionQuorum, known) {
		s.partitionedAt = now
	}
}

// failing returns how many paths have failed since a backend server was last reached, apart from
// those that other gateways could not reach either.
func (s *service) failing(now time.Time) int {
	n := 0
	for _, p := range s.paths {
		down := !p.downAt.IsZero() && now.Sub(p.downAt) < downRetention
		if p.failedAt.After(s.connectedAt) && now.Sub(p.failedAt) < retention && !down {
			n++
		}
	}
	return n
}

// RecordKept records an answer on a connection that was open before. It does not show that a
// new one can be opened: open connections may outlive a partition.
func (t *Tracker) RecordKept(serviceName string) { t.service(serviceName).counts.OnKept++ }

// RecordDetour records that another gateway has reached a backend server that this one could
// not. It reports whether that was not known before.
func (t *Tracker) RecordDetour(serviceName, backend string) bool {
	p := t.path(serviceName, backend)
	if p == nil {
		// It was reached directly since.
		return false
	}
	p.downAt = time.Time{}
	known := p.detoured
	p.detoured = true
	return !known
}

// RecordDown records that another gateway could not reach a backend server either.
func (t *Tracker) RecordDown(now time.Time, serviceName, backend string) {
	if p := t.path(serviceName, backend); p != nil {
		p.downAt, p.detoured = now, false
		if s := t.services[serviceName]; s.failing(now) == 0 {
			s.partitionedAt = time.Time{}
		}
	}
}

// Failure returns why the latest direct connection to a backend server failed; empty if none did.
func (t *Tracker) Failure(serviceName, backend string) Failure {
	if p := t.path(serviceName, backend); p != nil {
		return p.failure
	}
	return ""
}

// Partitioned reports whether the gateway is partitioned from all backend servers of a service.
func (t *Tracker) Partitioned(now time.Time, serviceName string) bool {
	return !t.PartitionedSince(now, serviceName).IsZero()
}

// PartitionedSince returns since when that is so; zero if it is not.
func (t *Tracker) PartitionedSince(now time.Time, serviceName string) time.Time {
	s := t.services[serviceName]
	if s == nil || s.failing(now) == 0 {
		return time.Time{}
	}
	return s.partitionedAt
}

// Failed reports whether the latest direct connection to a backend server failed.
func (t *Tracker) Failed(serviceName, backend string) bool {
	return t.path(serviceName, backend) != nil
}

// Detoured reports whether connections to a backend server are to be opened through another
// gateway: one has reached it, or the gateway is partitioned from its service.
func (t *Tracker) Detoured(now time.Time, serviceName, backend string) bool {
	p := t.path(serviceName, backend)
	return p != nil && p.detoured || t.Partitioned(now, serviceName)
}

// DetouredBackends returns the backend servers that are reached through other gateways only.
func (t *Tracker) DetouredBackends() []string {
	var list []string
	for _, s := range t.services {
		for id, p := range s.paths {
			if p.detoured {
				list = append(list, id)
			}
		}
	}
	return list
}

// TakeCheck reports whether other gateways are to be asked for a backend server now, and notes it.
func (t *Tracker) TakeCheck(now time.Time, serviceName, backend string) bool {
	p := t.path(serviceName, backend)
	if p == nil || now.Sub(p.checkedAt) < checkInterval {
		return false
	}
	p.checkedAt = now
	return true
}

// TakeProbe returns the backend server of a service to which a direct connection is to be attempted
// next, and notes the attempt: of those that are reached through other gateways, or all that failed if
// the gateway is partitioned from the service, the one with the oldest attempt; empty if there is none.
func (t *Tracker) TakeProbe(now time.Time, serviceName string) string {
	s := t.services[serviceName]
	if s == nil {
		return ""
	}
	partitioned := t.Partitioned(now, serviceName)
	best := ""
	for id, p := range s.paths {
		if !p.detoured && !partitioned {
			continue
		}
		if best == "" || p.probedAt.Before(s.paths[best].probedAt) || p.probedAt.Equal(s.paths[best].probedAt) && id < best {
			best = id
		}
	}
	if best != "" {
		s.paths[best].probedAt = now
	}
	return best
}

// TakeSummaries returns what is known of each service, clears the counts, and forgets failures
// that are long past.
func (t *Tracker) TakeSummaries(now time.Time) []Summary {
	list := make([]Summary, 0, len(t.services))
	for name, s := range t.services {
		detoured := 0
		for backend, p := range s.paths {
			switch {
			case p.detoured:
				detoured++
			case now.Sub(p.failedAt) >= retention:
				delete(s.paths, backend)
			}
		}
		if !s.partitionedAt.IsZero() && !t.Partitioned(now, name) {
			s.partitionedAt = time.Time{}
		}
		list = append(list, Summary{
			Service: name, Counts: s.counts, Unreachable: len(s.paths), Detoured: detoured, PartitionedAt: s.partitionedAt,
		})
		s.counts = newCounts()
	}
	slices.SortFunc(list, func(a, b Summary) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// RecordAnnounced records that a backend server was announced. While the gateway is partitioned from
// its service, it is probed next: it may be reachable where earlier incarnations are not.
func (t *Tracker) RecordAnnounced(now time.Time, serviceName, backend string) {
	if t.Partitioned(now, serviceName) && t.path(serviceName, backend) == nil {
		t.services[serviceName].paths[backend] = &path{failedAt: t.services[serviceName].connectedAt}
	}
}

// Forget removes a backend server that no longer exists.
func (t *Tracker) Forget(serviceName, backend string) {
	if s := t.services[serviceName]; s != nil {
		delete(s.paths, backend)
	}
}
