// Package isolator keeps requests away from backend servers that end them: it tells the
// controllers of runs that were lost with their process, and knows which requests are held
// back by the leader's word, or by its own while no leader is heard.
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
	"bronzelead.example/pkg/wire"
)

const (
	// tickEvery is the time between two looks at what is too old, and at what to hold here: a
	// small part of the time that a verdict waits for reports.
	tickEvery = 200 * time.Millisecond
	// staleWord is the age from which the leader's word is not waited for: longer than a
	// change of leaders takes.
	staleWord = 2 * time.Second
	// heldHereFor is the retry time of a caller whose request is held by this
	// gateway's word alone, which ends with the next word of a leader.
	heldHereFor = 10 * time.Second
	// trialAgainAfter is how long after a trial that was not answered whole there is no other
	// here. If the process has ended, the leader says within that time that there is none.
	trialAgainAfter = time.Minute
)

// Isolator is one gateway's part. Set the exported fields, call Init, then Run.
type Isolator struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	// Self is where other gateways reach this one.
	Self string
	// LeaderAge returns how old the leader's word is; nil if nobody asks.
	LeaderAge func() time.Duration
	// ConnectionRefused reports whether nothing listens any more where a start of a backend server was.
	ConnectionRefused func(ctx context.Context, backend, address string) bool

	// active is set while any request is known here, so that all others cost nothing.
	active atomic.Bool

	mu      sync.Mutex
	witness *quarantiner.CrashReporter
	// judge has the reports that pass here, up to fed.
	judge *quarantiner.Quarantiner
	fed   uint64
	// suspects are the leader's, of the list with that number.
	suspects map[string]*wire.Suspect
	revision uint64
	// heldHere are held by this gateway's word.
	heldHere map[string]bool
	// trials are on trial here now, and failed is when the trial of others was lost.
	trials  map[string]bool
	failed  map[string]time.Time
	probing map[string]bool
}

// Decision says what is to become of a request.
type Decision struct {
	// Quarantined is set if it must not be sent; Left is for how long.
	Quarantined bool
	Remaining   time.Duration
	// Trial is the fingerprint by which it is held, if it may be sent once to see whether it
	// still ends what runs it. End the trial with EndTrial.
	Trial string
}

// Init prepares the isolator for use.
func (i *Isolator) Init() {
	i.witness, i.judge = quarantiner.NewCrashReporter(), quarantiner.New()
	i.suspects, i.heldHere = map[string]*wire.Suspect{}, map[string]bool{}
	i.trials, i.failed, i.probing = map[string]bool{}, map[string]time.Time{}, map[string]bool{}
}

// Run lets time pass until ctx ends.
func (i *Isolator) Run(ctx context.Context) {
	ticker := i.Clock.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			i.tick()
		}
	}
}

func (i *Isolator) tick() {
	now := i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.witness.Tick(now)
	i.judge.Tick(now)
	maps.DeleteFunc(i.failed, func(_ string, at time.Time) bool { return now.Sub(at) >= trialAgainAfter })
	i.active.Store(len(i.suspects) > 0 || !i.witness.Empty() || !i.judge.Empty())
	if !i.alone() {
		clear(i.heldHere)
		return
	}
	for _, verdict := range i.judge.Evaluate(now) {
		if i.heldHere[verdict.GetFingerprint()] {
			continue
		}
		i.heldHere[verdict.GetFingerprint()] = true
		i.Log.Warn("a request is held back here, since no leader is heard", "Fingerprint", verdict.GetFingerprint(),
			"Service", verdict.GetService(), "Place", verdict.GetPlace(), "Caller", verdict.GetCaller(), "Ended", verdict.GetBackends())
	}
}

// alone reports whether this gateway has to go by what it knows itself.
func (i *Isolator) alone() bool { return i.LeaderAge != nil && i.LeaderAge() > staleWord }

// Check says what is to become of a request that is about to be sent. Its fingerprints are
// asked for only while any request is known here.
func (i *Isolator) Check(prints func() []string) Decision {
	if !i.active.Load() {
		return Decision{}
	}
	list := prints()
	i.mu.Lock()
	defer i.mu.Unlock()
	verdict := Decision{}
	for _, fingerprint := range list {
		if v := i.check(fingerprint); v.Quarantined || v.Trial != "" {
			verdict = v
		}
		if verdict.Quarantined {
			return verdict
		}
	}
	if verdict.Trial != "" {
		i.trials[verdict.Trial] = true
	}
	return verdict
}

func (i *Isolator) check(fingerprint string) Decision {
	if i.heldHere[fingerprint] && i.alone() {
		return Decision{Quarantined: true, Remaining: heldHereFor}
	}
	s := i.suspects[fingerprint]
	switch {
	case !s.GetHeld():
		return Decision{}
	case s.GetTrialAt() == "" || s.GetTrialAt() != i.Self || i.trials[fingerprint] || i.failedLately(fingerprint):
		return Decision{Quarantined: true, Remaining: time.Duration(s.GetLeftS()) * time.Second}
	}
	return Decision{Trial: fingerprint}
}

func (i *Isolator) failedLately(fingerprint string) bool {
	return i.Clock.Since(i.failed[fingerprint]) < trialAgainAfter
}

// EndTrial ends the trial of a request; lost says that it was sent and not answered whole.
func (i *Isolator) EndTrial(fingerprint string, lost bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.trials, fingerprint)
	if lost {
		i.failed[fingerprint] = i.Clock.Now()
	}
}

// Suspected reports whether backend servers have ended under a request more than once.
func (i *Isolator) Suspected(prints func() []string) bool {
	if !i.active.Load() {
		return false
	}
	list := prints()
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.ContainsFunc(list, func(fingerprint string) bool {
		return i.suspects[fingerprint] != nil || i.judge.Crashes(fingerprint) >= quarantiner.SuspectThreshold
	})
}

// RecordLoss notes that a run was lost, and finds out whether the process has ended. The report
// is of each of the request's fingerprints.
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
		i.witness.RecordLoss(now, r)
	}
	i.feed(now)
	if !i.witness.Unconfirmed(backend) || i.probing[backend] {
		return
	}
	i.probing[backend] = true
	go i.probe(backend, address)
}

// probe asks the address of a start at which runs were lost, once for all of them.
func (i *Isolator) probe(backend, address string) {
	ended := i.ConnectionRefused(context.Background(), backend, address)
	i.mu.Lock()
	delete(i.probing, backend)
	i.mu.Unlock()
	if ended {
		i.RecordExit(backend)
	}
}

// RecordExit notes that the process of a start has ended without notice.
func (i *Isolator) RecordExit(backend string) {
	if !i.active.Load() {
		return
	}
	now := i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.witness.RecordExit(now, backend)
	i.feed(now)
}

// feed lets the judge here know the reports that it does not. The caller holds the lock.
func (i *Isolator) feed(now time.Time) {
	for {
		reports, last := i.witness.Reports(now, i.fed)
		if len(reports) == 0 {
			return
		}
		i.fed = last
		for _, r := range reports {
			i.judge.Observe(now, r)
		}
	}
}

// ObserveAnnouncement takes what a backend server or a controller says of a start.
func (i *Isolator) ObserveAnnouncement(a *wire.Announcement) {
	switch {
	case a.GetDraining():
		i.mu.Lock()
		i.witness.RecordLeaving(i.Clock.Now(), a.GetId())
		i.mu.Unlock()
	case a.GetGone():
		i.RecordExit(a.GetId())
	}
}

// RecordCompletion notes a run that was answered whole, if anything speaks against its request.
func (i *Isolator) RecordCompletion(prints func() []string, backend string) {
	if !i.active.Load() {
		return
	}
	list, now := prints(), i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, fingerprint := range list {
		if i.suspects[fingerprint] == nil && i.judge.Crashes(fingerprint) == 0 {
			continue
		}
		delete(i.heldHere, fingerprint)
		i.witness.RecordCompletion(now, &wire.RunReport{Fingerprint: fingerprint, Backend: backend})
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
	i.witness.Receive(now, reports)
	i.feed(now)
}

// Reports returns what the controllers have to know after the report with a number, and the
// number of the last.
func (i *Isolator) Reports(after uint64) ([]*wire.RunReport, uint64) {
	if !i.active.Load() {
		return nil, 0
	}
	now := i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.witness.Reports(now, after)
}

// IncarnationID names one start of a backend server that keeps its name.
func IncarnationID(name, incarnation string) string { return name + "/" + incarnation }

// SuspectsRevision returns the number of the leader's list that is known, 0 for none.
func (i *Isolator) SuspectsRevision() uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.revision
}

// SetSuspects takes the leader's list.
func (i *Isolator) SetSuspects(revision uint64, list []*wire.Suspect) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.active.Store(i.active.Load() || len(list) > 0)
	if revision <= i.revision {
		return
	}
	i.revision = revision
	clear(i.suspects)
	clear(i.heldHere)
	for _, s := range list {
		i.suspects[s.GetFingerprint()] = s
	}
}
