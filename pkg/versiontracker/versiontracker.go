// Package versiontracker tracks which software versions the backend servers of each service have, and
// had. Streams of two versions do not fit together, so that a stream of unknown origin may go on only
// where a single version can have begun it. It is pure.
package versiontracker

import (
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

// Retention is how long a version is remembered after its last backend server has left or fallen
// silent: longer than streams last.
const Retention = 10 * time.Minute

const (
	// maxLeaderAge is the age of the leader's state up to which the versions in it count as all that there
	// are: longer than a change of leaders takes.
	maxLeaderAge = 3 * time.Second
	// observationTolerance is by how much the time for which the leader has observed backend servers may
	// seem to shrink by the latency of updates.
	observationTolerance = 500 * time.Millisecond
)

// Tracker holds the versions that one gateway knows. The zero value is ready for use.
type Tracker struct {
	services map[string]map[string]*version
	// incarnations are the backend servers that are present, with the versions that they count for.
	incarnations map[string]*version
	// completeSince is since when all versions are known; zero if no leader is.
	completeSince time.Time
	leader        observer
}

// observer is what was last received of the leader's observation of backend servers.
type observer struct {
	seenAt time.Time
	term   uint64
	// observed is for how long it has received all announcements.
	observed time.Duration
}

// version is one software version of a service.
type version struct {
	name string
	// present counts its backend servers, and seenAt is when it was last present, or began a stream.
	present int
	seenAt  time.Time
}

// Observe records an announcement. One that is gone or silent counts as having left now.
func (t *Tracker) Observe(now time.Time, a *wire.Announcement) {
	if a.GetService() == "" {
		t.leave(now, a.GetId())
		return
	}
	v := t.version(now, a.GetService(), a.GetSoftwareVersion())
	if a.GetGone() || a.GetSilent() {
		t.leave(now, a.GetId())
		v.seenAt = now
		return
	}
	if t.incarnations[a.GetId()] == v {
		return
	}
	t.leave(now, a.GetId())
	t.incarnations[a.GetId()] = v
	v.present++
}

// ObserveLeader records for how long the leader of a term has received all announcements. All versions are
// known since then, or since an earlier leader had from which updates have come until now.
func (t *Tracker) ObserveLeader(now time.Time, term uint64, observed time.Duration) {
	since := now.Add(-observed)
	continuous := !t.completeSince.IsZero() && now.Sub(t.leader.seenAt) <= maxLeaderAge
	interrupted := term == t.leader.term && observed < t.leader.observed-observationTolerance
	if !continuous || interrupted || since.Before(t.completeSince) {
		t.completeSince = since
	}
	t.leader = observer{seenAt: now, term: term, observed: observed}
}

// CompleteFor returns for how long all versions are known.
func (t *Tracker) CompleteFor(now time.Time) time.Duration {
	if t.completeSince.IsZero() {
		return 0
	}
	return now.Sub(t.completeSince)
}

// Only returns the only version of a service that can have begun a stream that is no older than
// maxAge, if it is certain that there is only one.
func (t *Tracker) Only(now time.Time, service string, maxAge, leaderAge time.Duration) (version string, certain bool) {
	if leaderAge > maxLeaderAge || t.CompleteFor(now) < maxAge {
		return "", false
	}
	versions := t.Since(service, now.Add(-maxAge))
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// RecordUse records that a backend server of a version, which may be silent, has begun a stream.
func (t *Tracker) RecordUse(now time.Time, service, name string) {
	t.version(now, service, name).seenAt = now
}

// leave records that an incarnation no longer counts for its version.
func (t *Tracker) leave(now time.Time, id string) {
	if v := t.incarnations[id]; v != nil {
		v.present--
		v.seenAt = now
		delete(t.incarnations, id)
	}
}

func (t *Tracker) version(now time.Time, service, name string) *version {
	if t.services == nil {
		t.services, t.incarnations = map[string]map[string]*version{}, map[string]*version{}
	}
	known := t.services[service]
	if known == nil {
		known = map[string]*version{}
		t.services[service] = known
	}
	v := known[name]
	if v == nil {
		v = &version{name: name, seenAt: now}
		known[name] = v
	}
	return v
}

// Since returns the versions of a service that were present after a time, sorted.
func (t *Tracker) Since(service string, after time.Time) []string {
	var list []string
	for _, v := range t.services[service] {
		if v.present > 0 || !v.seenAt.Before(after) {
			list = append(list, v.name)
		}
	}
	slices.Sort(list)
	return list
}

// Mixed reports whether a service has, or recently had, backend servers of several versions.
func (t *Tracker) Mixed(now time.Time, service string) bool {
	return len(t.services[service]) > 1 && len(t.Since(service, now.Add(-Retention))) > 1
}

// Present returns how many backend servers of a version a service has.
func (t *Tracker) Present(service, name string) int {
	if v := t.services[service][name]; v != nil {
		return v.present
	}
	return 0
}

// Services returns the services with several versions, sorted.
func (t *Tracker) Services(now time.Time) []string {
	var list []string
	for service := range t.services {
		if t.Mixed(now, service) {
			list = append(list, service)
		}
	}
	slices.Sort(list)
	return list
}

// Prune forgets versions that were last present longer ago than the retention.
func (t *Tracker) Prune(now time.Time) {
	for service, known := range t.services {
		for name, v := range known {
			if v.present == 0 && now.Sub(v.seenAt) > Retention {
				delete(known, name)
			}
		}
		if len(known) == 0 {
			delete(t.services, service)
		}
	}
}
