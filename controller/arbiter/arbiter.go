// Package arbiter is a controller's part in quarantining requests that make backend servers
// exit. Every controller may receive reports of lost runs, so that the next leader continues
// from the same evidence. Only the leader decides; its decisions are committed, and it sends
// them to the gateways. An Arbiter belongs to the goroutine that owns the state.
package arbiter

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/quarantiner"
	"bronzelead.example/pkg/ranker"
	"bronzelead.example/pkg/wire"
)

const (
	// suspectsInterval is the time between two checks of suspects without new reports, as some
	// are dropped and quarantine periods end.
	suspectsInterval = time.Second
	// revisionsPerTerm is the maximum number of lists that a leader may build.
	revisionsPerTerm = 1 << 32
)

// Arbiter decides for one controller. Set the exported fields, then call Init.
type Arbiter struct {
	Log *slog.Logger
	// State returns the replicated state.
	State func() *applier.StateMachine
	// Propose commits a change in the background.
	Propose func(cmd *wire.Command)
	// Gateways returns the addresses of all gateways.
	Gateways func() []string
	// Count counts quarantines and releases; nil counts nothing.
	Count func(change string)

	quarantiner *quarantiner.Quarantiner
	// syncedState is the state that the quarantiner has, as of syncedRevision. A snapshot
	// replaces it.
	syncedState    *applier.StateMachine
	syncedRevision uint64
	// evictions counts the requests that syncedState has released for lack of room.
	evictions int
	// list is what the leader sends to gateways. A later list has a higher revision, also under
	// a later leader.
	list     []*wire.Suspect
	revision uint64
	stale    bool
	listedAt time.Time
	// advancedAt is when an entry was last proposed to advance the time of the replicated state.
	advancedAt time.Time
}

// Init prepares the arbiter for use.
func (a *Arbiter) Init() { a.quarantiner = quarantiner.New() }

// Invalidate lets a new leader rebuild the list soon.
func (a *Arbiter) Invalidate() { a.stale = true }

// isListOf reports whether the list is that of the leader of a term, and so may be sent.
func (a *Arbiter) isListOf(term uint64) bool { return term != 0 && a.revision/revisionsPerTerm == term }

// HasUpdate reports whether a gateway that knows a list must soon get another. An empty list is
// no update for a gateway that has none.
func (a *Arbiter) HasUpdate(term, known uint64) bool {
	return a.isListOf(term) && known < a.revision && (known != 0 || len(a.list) > 0)
}

// SuspectsFor returns the list for a gateway that knows another one, and its revision; 0 if the
// leader of the term has none.
func (a *Arbiter) SuspectsFor(term, known uint64) ([]*wire.Suspect, uint64) {
	switch {
	case !a.isListOf(term):
		return nil, 0
	case known >= a.revision:
		return nil, a.revision
	}
	return a.list, a.revision
}

// ReceiveReports processes the reports of a gateway, and those that it relays.
func (a *Arbiter) ReceiveReports(now time.Time, reports []*wire.RunReport) {
	if len(reports) == 0 {
		return
	}
	for _, r := range reports {
		a.quarantiner.Observe(now, r)
	}
	a.stale = true
}

// SyncState updates the quarantiner from the replicated state.
func (a *Arbiter) SyncState(now time.Time) {
	state := a.State()
	if state == a.syncedState && state.QuarantineRevision() == a.syncedRevision {
		return
	}
	first := a.syncedState == nil
	a.countEvictions(state)
	a.syncedState, a.syncedRevision = state, state.QuarantineRevision()
	held := state.Quarantined()
	a.quarantiner.SetHeld(now, held)
	a.stale = true
	if !first || len(held) > 0 {
		a.Log.Info("the quarantined requests have changed", "Held", len(held))
	}
}

// countEvictions counts the requests that were released to make room for others.
func (a *Arbiter) countEvictions(state *applier.StateMachine) {
	if state != a.syncedState {
		a.evictions = 0
	}
	for ; a.evictions < state.QuarantineEvictions(); a.evictions++ {
		a.count("MadeRoom")
		a.Log.Warn("a request was released from quarantine: too many are quarantined", "Most", applier.MaxQuarantined)
	}
}

// Tick advances the time.
func (a *Arbiter) Tick(now time.Time) { a.quarantiner.Tick(now) }

// LeaderTick decides as the leader of a term, and rebuilds the list for the gateways if it may
// have changed.
func (a *Arbiter) LeaderTick(now time.Time, term uint64) {
	for _, decision := range a.quarantiner.Evaluate(now) {
		a.Log.Warn("a request was quarantined: backend servers exit when they run it", "Fingerprint", decision.GetFingerprint(),
			"Service", decision.GetService(), "Model", decision.GetModel(), "Place", decision.GetPlace(), "Caller", decision.GetCaller(),
			"Ended", decision.GetBackends(), "Forgotten", a.quarantiner.Dropped())
		a.count("Held")
		a.Propose(&wire.Command{Body: &wire.Command_HoldRequest{HoldRequest: decision}})
	}
	for _, fingerprint := range a.quarantiner.TakeCleared() {
		a.Log.Info("a request was released from quarantine: it is not the cause", "Fingerprint", fingerprint)
		a.count("Cleared")
		a.Propose(&wire.Command{Body: &wire.Command_ReleaseHeld{
			ReleaseHeld: &wire.ReleaseHeld{Fingerprint: fingerprint, Reason: "it is not the cause"},
		}})
	}
	a.startDueTrials(now)
	a.buildList(now, term)
}

// startDueTrials commits an empty entry if requests are due for a trial, since the time of the
// replicated state advances with its entries only.
func (a *Arbiter) startDueTrials(now time.Time) {
	if now.Sub(a.advancedAt) < suspectsInterval || !a.State().QuarantineDue(now) {
		return
	}
	a.advancedAt = now
	a.Propose(&wire.Command{})
}

func (a *Arbiter) count(change string) {
	if a.Count != nil {
		a.Count(change)
	}
}

func (a *Arbiter) buildList(now time.Time, term uint64) {
	if !a.stale && now.Sub(a.listedAt) < suspectsInterval {
		return
	}
	a.stale, a.listedAt = false, now
	list := a.suspects(now)
	first := !a.isListOf(term)
	if !first && slices.EqualFunc(list, a.list, equalSuspects) {
		return
	}
	if first {
		a.revision = term * revisionsPerTerm
	}
	a.revision++
	a.list = list
	a.logSuspects()
}

// maxLoggedSuspects bounds the suspects on a log line.
const maxLoggedSuspects = 8

// logSuspects logs the requests under which several backend servers have exited and that are not
// quarantined, with the number of exits.
func (a *Arbiter) logSuspects() {
	var suspects []string
	for _, s := range a.list {
		if !s.GetHeld() && len(suspects) < maxLoggedSuspects {
			suspects = append(suspects, fmt.Sprintf("%s %d", s.GetFingerprint(), a.quarantiner.Crashes(s.GetFingerprint())))
		}
	}
	a.Log.Info("suspected requests have changed", "Listed", len(a.list), "Suspects", suspects)
}

// equalSuspects reports whether two entries mean the same for gateways.
func equalSuspects(a, b *wire.Suspect) bool {
	return a.GetFingerprint() == b.GetFingerprint() && a.GetHeld() == b.GetHeld() && a.GetTrialAt() == b.GetTrialAt()
}

// suspects returns the list for the gateways.
func (a *Arbiter) suspects(now time.Time) []*wire.Suspect {
	var list []*wire.Suspect
	held := map[string]bool{}
	for _, h := range a.State().Quarantined() {
		held[h.GetFingerprint()] = true
		age := max(0, now.Sub(time.Unix(0, h.GetHeldAtNs())))
		s := &wire.Suspect{Fingerprint: h.GetFingerprint(), Held: true, LeftS: uint32(max(1, (applier.PeriodOf(h) - age).Seconds()))}
		if h.GetOnTrial() {
			s.TrialAt = a.trialAt(h.GetPlace())
		}
		list = append(list, s)
	}
	for _, fingerprint := range a.quarantiner.Suspects() {
		if !held[fingerprint] {
			list = append(list, &wire.Suspect{Fingerprint: fingerprint})
		}
	}
	return list
}

// trialAt returns the only gateway that may retry requests for a place, so that there is one
// trial at most, whichever fingerprint they are quarantined by.
func (a *Arbiter) trialAt(place string) string {
	addresses := a.Gateways()
	if len(addresses) == 0 {
		return ""
	}
	ranker.Sort(addresses, place)
	return addresses[0]
}
