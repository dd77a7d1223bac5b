// Package isolator keeps requests away from backend servers that they crash: it reports runs
// that were lost with their process to the controllers, and knows the quarantined requests, as
// decided by the leader, or locally while no leader is reachable.
package isolator

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/quarantiner"
	"bronzelead.example/pkg/repeater"
	"bronzelead.example/pkg/wire"
)

const (
	// tickInterval is the interval of expiry checks and of local quarantine decisions: shorter
	// than the time that a decision waits for reports.
	tickInterval = 200 * time.Millisecond
	// leaderTimeout is the age of the leader's state from which this gateway decides locally:
	// longer than a change of leaders takes.
	leaderTimeout = 2 * time.Second
	// localRetryAfter is the retry time of a caller whose request only this gateway has
	// quarantined, which ends with the next state of a leader.
	localRetryAfter = 10 * time.Second
	// trialRetryDelay is the minimum time between a trial without a complete answer and the
	// next one here. If the process has exited, the leader ends the trial within that time.
	trialRetryDelay = time.Minute
)

// Isolator is one gateway's part. Set the exported fields, call Init, then Run.
type Isolator struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	// Self is the address at which other gateways reach this one.
	Self string
	// LeaderAge returns the age of the leader's state; nil disables local decisions.
	LeaderAge func() time.Duration
	// ConnectionRefused reports whether nothing listens any more at the address of an
	// incarnation.
	ConnectionRefused func(ctx context.Context, backend, address string) bool

	// active is set while any suspect, loss or crash is known here; otherwise requests skip all
	// checks.
	active atomic.Bool

	mu       sync.Mutex
	reporter *quarantiner.CrashReporter
	// quarantiner has the reports that pass through this gateway, up to lastFed.
	quarantiner *quarantiner.Quarantiner
	lastFed     uint64
	// suspects are the leader's list at suspectsRevision.
	suspects         map[string]*wire.Suspect
	suspectsRevision uint64
	// locallyHeld are the requests that this gateway has quarantined.
	locallyHeld map[string]bool
	// trials are the requests on trial here now, and failedTrials holds when the trials of
	// others were lost.
	trials       map[string]bool
	failedTrials map[string]time.Time
	probing      map[string]bool

	completionsMu sync.Mutex
	// completions holds when runs with parts of prompts were completed through this gateway.
	completions quarantiner.Completions
}

// Decision says how a request is to be handled.
type Decision struct {
	// Quarantined is set if the request must not be sent for the time Remaining.
	Quarantined bool
	Remaining   time.Duration
	// Trial is the fingerprint under which the request is quarantined, if it may be sent once
	// to test whether it still crashes servers. End the trial with EndTrial.
	Trial string
}

// Init prepares the isolator for use.
func (i *Isolator) Init() {
	i.reporter, i.quarantiner = quarantiner.NewCrashReporter(), quarantiner.New()
	i.suspects, i.locallyHeld = map[string]*wire.Suspect{}, map[string]bool{}
	i.trials, i.failedTrials, i.probing = map[string]bool{}, map[string]time.Time{}, map[string]bool{}
}

// Run does the periodic work until ctx ends.
func (i *Isolator) Run(ctx context.Context) {
	repeater.Run(ctx, i.Clock, tickInterval, i.tick)
}

func (i *Isolator) tick() {
	now := i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reporter.Tick(now)
	i.quarantiner.Tick(now)
	maps.DeleteFunc(i.failedTrials, func(_ string, at time.Time) bool { return now.Sub(at) >= trialRetryDelay })
	i.active.Store(len(i.suspects) > 0 || !i.reporter.Empty() || !i.quarantiner.Empty())
	if !i.leaderless() {
		clear(i.locallyHeld)
		return
	}
	for _, held := range i.quarantiner.Evaluate(now) {
		if i.locallyHeld[held.GetFingerprint()] {
			continue
		}
		i.locallyHeld[held.GetFingerprint()] = true
		i.Log.Warn("quarantined a request locally, since no leader is reachable", "Fingerprint", held.GetFingerprint(),
			"Service", held.GetService(), "Place", held.GetPlace(), "Caller", held.GetCaller(), "Ended", held.GetBackends())
	}
}

// leaderless reports whether this gateway has to decide by its own reports.
func (i *Isolator) leaderless() bool { return i.LeaderAge != nil && i.LeaderAge() > leaderTimeout }

// Check decides how a request that is about to be sent is handled. prints is called only while
// any suspect, loss or crash is known here.
func (i *Isolator) Check(prints func() []string) Decision {
	if !i.active.Load() {
		return Decision{}
	}
	list := prints()
	i.mu.Lock()
	defer i.mu.Unlock()
	decision := Decision{}
	for _, fingerprint := range list {
		d := i.check(fingerprint)
		switch {
		case d.Quarantined:
			return d
		case d.Trial != "" && decision.Trial != "" && quarantiner.IsPart(fingerprint):
			// A run with another one that is quarantined would not show which of them it is.
			return Decision{Quarantined: true, Remaining: i.remaining(fingerprint)}
		case d.Trial != "":
			decision = d
		}
	}
	if decision.Trial != "" {
		i.trials[decision.Trial] = true
	}
	return decision
}

func (i *Isolator) check(fingerprint string) Decision {
	if i.locallyHeld[fingerprint] && i.leaderless() {
		return Decision{Quarantined: true, Remaining: localRetryAfter}
	}
	s := i.suspects[fingerprint]
	switch {
	case !s.GetHeld():
		return Decision{}
	case s.GetTrialAt() == "" || s.GetTrialAt() != i.Self || i.trials[fingerprint] || i.trialFailedRecently(fingerprint):
		return Decision{Quarantined: true, Remaining: i.remaining(fingerprint)}
	}
	return Decision{Trial: fingerprint}
}

// Restricted reports whether a request that Check permitted is quarantined or on trial by now.
func (i *Isolator) Restricted(prints func() []string) bool {
	if !i.active.Load() {
		return false
	}
	list := prints()
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.ContainsFunc(list, func(fingerprint string) bool { return i.check(fingerprint) != Decision{} })
}

// remaining returns how long a request is still refused by the leader's list.
func (i *Isolator) remaining(fingerprint string) time.Duration {
	return time.Duration(i.suspects[fingerprint].GetLeftS()) * time.Second
}

func (i *Isolator) trialFailedRecently(fingerprint string) bool {
	return i.Clock.Since(i.failedTrials[fingerprint]) < trialRetryDelay
}

// EndTrial ends the trial of a request; lost means that it was sent and not answered
// completely.
func (i *Isolator) EndTrial(fingerprint string, lost bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.trials, fingerprint)
	if lost {
		i.failedTrials[fingerprint] = i.Clock.Now()
	}
}

// Suspected reports whether backend servers have crashed under a request more than once, or under a
// part of its prompt with which no run was completed here a short time before.
func (i *Isolator) Suspected(prints func() []string) bool {
	if !i.active.Load() {
		return false
	}
	list := prints()
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.ContainsFunc(list, func(fingerprint string) bool {
		crashed := i.suspects[fingerprint] != nil || i.quarantiner.Crashes(fingerprint) >= quarantiner.SuspectThreshold
		return crashed && i.lastCompletion(fingerprint).IsZero()
	})
}

// lastCompletion returns when a run with a part was completed last, if it is remembered.
func (i *Isolator) lastCompletion(fingerprint string) time.Time {
	if !quarantiner.IsPart(fingerprint) {
		return time.Time{}
	}
	i.completionsMu.Lock()
	defer i.completionsMu.Unlock()
	return i.completions.Last(fingerprint)
}

// RecordAnswering records that a run with some parts of prompts was completed, or has been answering for
// so long that none of them crashes what begins to answer.
func (i *Isolator) RecordAnswering(parts []string, backend string) {
	if len(parts) == 0 {
		return
	}
	i.rememberCompletion(parts)
	i.RecordCompletion(func() []string { return parts }, backend)
}

func (i *Isolator) rememberCompletion(parts []string) {
	now := i.Clock.Now()
	i.completionsMu.Lock()
	defer i.completionsMu.Unlock()
	for _, part := range parts {
		i.completions.Record(now, part)
	}
}

// reportEarlierCompletion reports the last completed run with a part, so that a part of many requests
// is distinguished from one that crashes backend servers. The caller holds the lock.
func (i *Isolator) reportEarlierCompletion(fingerprint string) {
	if at := i.lastCompletion(fingerprint); !at.IsZero() {
		i.reporter.RecordCompletion(at, &wire.RunReport{Fingerprint: fingerprint})
	}
}

// RecordLoss records a lost run, and checks whether the process has exited. The report applies
// to each of the request's fingerprints.
func (i *Isolator) RecordLoss(prints func() []string, report *wire.RunReport, address string) {
	list := prints()
	backend := report.GetBackend()
	now := i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.active.Store(true)
	for _, fingerprint := range list {
		r := proto.CloneOf(report)
		r.Fingerprint = fingerprint
		if quarantiner.IsPart(fingerprint) {
			r.Request = list[0]
			i.reportEarlierCompletion(fingerprint)
		}
		i.reporter.RecordLoss(now, r)
	}
	i.feed(now)
	if !i.reporter.Unconfirmed(backend) || i.probing[backend] {
		return
	}
	i.probing[backend] = true
	go i.probe(backend, address)
}

// probe probes the address of an incarnation once for all runs that were lost there.
func (i *Isolator) probe(backend, address string) {
	exited := i.ConnectionRefused(context.Background(), backend, address)
	i.mu.Lock()
	delete(i.probing, backend)
	i.mu.Unlock()
	if exited {
		i.RecordExit(backend)
	}
}

// RecordExit records that the process of an incarnation has exited without notice.
func (i *Isolator) RecordExit(backend string) {
	if !i.active.Load() {
		return
	}
	now := i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reporter.RecordExit(now, backend)
	i.feed(now)
}

// feed passes new reports to the local quarantiner. The caller holds the lock.
func (i *Isolator) feed(now time.Time) {
	for {
		reports, last := i.reporter.Reports(now, i.lastFed)
		if len(reports) == 0 {
			return
		}
		i.lastFed = last
		for _, r := range reports {
			i.quarantiner.Observe(now, r)
		}
	}
}

// ObserveAnnouncement takes the announced state of an incarnation.
func (i *Isolator) ObserveAnnouncement(a *wire.Announcement) {
	switch {
	case a.GetDraining():
		i.mu.Lock()
		i.reporter.RecordLeaving(i.Clock.Now(), a.GetId())
		i.mu.Unlock()
	case a.GetGone():
		i.RecordExit(a.GetId())
	}
}

// RecordFailure records a run that ended with an error of the backend server, if there is evidence against
// its request. It says nothing on the parts of its prompt: no answer to them had begun.
func (i *Isolator) RecordFailure(prints func() []string, backend string) {
	i.RecordCompletion(func() []string { return slices.DeleteFunc(slices.Clone(prints()), quarantiner.IsPart) }, backend)
}

// RecordCompletion records a completed run, if there is evidence against its request.
func (i *Isolator) RecordCompletion(prints func() []string, backend string) {
	if !i.active.Load() {
		return
	}
	list, now := prints(), i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, fingerprint := range list {
		if i.suspects[fingerprint] == nil && i.quarantiner.Crashes(fingerprint) == 0 {
			continue
		}
		delete(i.locallyHeld, fingerprint)
		i.reporter.RecordCompletion(now, &wire.RunReport{Fingerprint: fingerprint, Backend: backend})
	}
	i.feed(now)
}

// ReceiveReports takes reports of gateways that follow this one.
func (i *Isolator) ReceiveReports(reports []*wire.RunReport) {
	if len(reports) == 0 {
		return
	}
	now := i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.active.Store(true)
	i.reporter.Receive(now, reports)
	i.feed(now)
}

// Reports returns the reports for the controllers after the one with a number, and the number
// of the last.
func (i *Isolator) Reports(after uint64) ([]*wire.RunReport, uint64) {
	if !i.active.Load() {
		return nil, 0
	}
	now := i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reporter.Reports(now, after)
}

// IncarnationID names one incarnation of a backend server that keeps its name.
func IncarnationID(name, incarnation string) string { return name + "/" + incarnation }

// SuspectsRevision returns the revision of the known list of the leader, 0 for none.
func (i *Isolator) SuspectsRevision() uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.suspectsRevision
}

// SetSuspects sets the leader's list.
func (i *Isolator) SetSuspects(revision uint64, list []*wire.Suspect) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.active.Store(i.active.Load() || len(list) > 0)
	if revision <= i.suspectsRevision {
		return
	}
	i.suspectsRevision = revision
	clear(i.suspects)
	clear(i.locallyHeld)
	for _, s := range list {
		i.suspects[s.GetFingerprint()] = s
		if !s.GetHeld() {
			i.reportEarlierCompletion(s.GetFingerprint())
		}
	}
	i.feed(i.Clock.Now())
}
