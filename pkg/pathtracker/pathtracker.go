// Package pathtracker records which backend servers a gateway can open connections to, and tells
// a gateway that is partitioned from them apart from backend servers that fail one by one. It is
// pure: events and the time are passed in.
package pathtracker

import "time"

const (
	// partitionQuorum is how many backend servers of a service must be unreachable, none
	// reached since, before the service counts as unreachable. One or two often fail together.
	partitionQuorum = 3
	// retention is how long an outcome counts: what was unreachable that long ago may have
	// recovered.
	retention = 10 * time.Second
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
	// failedAt is when the latest attempt to open a connection to a backend server failed, for
	// those with no successful attempt since.
	failedAt map[string]time.Time
	// connectedAt is when a connection to any of them was last opened.
	connectedAt time.Time
	// counts are since they were last taken.
	counts Counts
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
	// Unreachable is how many backend servers no connection could be opened to.
	Unreachable int
	// Partitioned is set if the gateway reaches none of them, as far as it knows.
	Partitioned bool
}

func (t *Tracker) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{failedAt: map[string]time.Time{}, counts: Counts{Failed: map[Failure]int{}}}
		if t.services == nil {
			t.services = map[string]*service{}
		}
		t.services[name] = s
	}
	return s
}

// RecordConnected records that a connection to a backend server was opened.
func (t *Tracker) RecordConnected(now time.Time, serviceName, backend string) {
	s := t.service(serviceName)
	delete(s.failedAt, backend)
	s.connectedAt = now
	s.counts.Connected++
}

// RecordFailed records that no connection to a backend server could be opened.
func (t *Tracker) RecordFailed(now time.Time, serviceName, backend string, why Failure) {
	s := t.service(serviceName)
	s.failedAt[backend] = now
	s.counts.Failed[why]++
}

// RecordKept records an answer on a connection that was open before. It does not show that a
// new one can be opened: open connections may outlive a partition.
func (t *Tracker) RecordKept(serviceName string) { t.service(serviceName).counts.OnKept++ }

// Partitioned reports whether a service's backend servers, of which there are so many, can't be
// reached: several could not, and none has been reached since.
func (t *Tracker) Partitioned(now time.Time, serviceName string, backends int) bool {
	s := t.services[serviceName]
	if s == nil || backends == 0 {
		return false
	}
	failed := 0
	for _, at := range s.failedAt {
		if at.After(s.connectedAt) && now.Sub(at) < retention {
			failed++
		}
	}
	return failed >= min(partitionQuorum, backends)
}

// TakeSummaries returns what is known of each service and clears the counts. Backends returns the
// number of backend servers of a service.
func (t *Tracker) TakeSummaries(now time.Time, backends func(service string) int) []Summary {
	list := make([]Summary, 0, len(t.services))
	for name, s := range t.services {
		for backend, at := range s.failedAt {
			if now.Sub(at) >= retention {
				delete(s.failedAt, backend)
			}
		}
		list = append(list, Summary{
			Service: name, Counts: s.counts, Unreachable: len(s.failedAt), Partitioned: t.Partitioned(now, name, backends(name)),
		})
		s.counts = Counts{Failed: map[Failure]int{}}
	}
	return list
}

// Forget removes a backend server that no longer exists.
func (t *Tracker) Forget(serviceName, backend string) {
	if s := t.services[serviceName]; s != nil {
		delete(s.failedAt, backend)
	}
}
