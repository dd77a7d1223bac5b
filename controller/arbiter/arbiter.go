// Package arbiter is a controller's part in keeping requests away from backend servers that
// end when they run them. All controllers may hear of runs that were lost, so that the next
// leader goes on where the one before it was; only the leader judges, its verdicts are
// committed, and it tells the gateways. It belongs to the goroutine that owns the state.
package arbiter

import (
	"log/slog"
	"slices"
	"time"

	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/quarantiner"
	"bronzelead.example/pkg/ranker"
	"bronzelead.example/pkg/wire"
)

const (
	// suspectsEvery is the time between two looks at suspects when no report has come: some
	// are forgotten, and holds come to their end.
	suspectsEvery = time.Second
	// revisionsPerTerm is how many lists a leader may make.
	revisionsPerTerm = 1 << 32
)

// Arbiter judges for one controller. Set the exported fields, then call Init.
type Arbiter struct {
	Log *slog.Logger
	// State returns the replicated state.
	State func() *applier.StateMachine
	// Propose commits a change in the background.
	Propose func(cmd *wire.Command)
	// Gateways returns where all gateways are reached.
	Gateways func() []string
	// Count counts what is held back and released; nil counts nothing.
	Count func(change string)

	judge *quarantiner.Quarantiner
	// known is the state that the judge knows, as of heldRevision. A snapshot brings another.
	known        *applier.StateMachine
	heldRevision uint64
	// dropped is how many that state has let go for want of room.
	dropped int
	// list is what gateways are told, by the leader alone. The number of a later list is
	// higher, also that of a later leader.
	list     []*wire.Suspect
	revision uint64
	stale    bool
	madeAt   time.Time
}

// Init prepares the arbiter for use.
func (a *Arbiter) Init() { a.judge = quarantiner.New() }

// Invalidate lets the list be made anew soon, by a leader that has just begun.
func (a *Arbiter) Invalidate() { a.stale = true }

// toldBy reports whether the list is that of the leader of a term, which may be told.
func (a *Arbiter) toldBy(term uint64) bool { return term != 0 && a.revision/revisionsPerTerm == term }

// HasUpdate reports whether a gateway must be told soon that knows a list. That there is none
// is no news to one that knows none.
func (a *Arbiter) HasUpdate(term, known uint64) bool {
	return a.toldBy(term) && known < a.revision && (known != 0 || len(a.list) > 0)
}

// SuspectsFor returns the list for a gateway that knows another one, and its number; 0 if there is
// none of the leader of a term.
func (a *Arbiter) SuspectsFor(term, known uint64) ([]*wire.Suspect, uint64) {
	switch {
	case !a.toldBy(term):
		return nil, 0
	case known >= a.revision:
		return nil, a.revision
	}
	return a.list, a.revision
}

// ReceiveReports takes the reports of a gateway, and those that it passes on.
func (a *Arbiter) ReceiveReports(now time.Time, reports []*wire.RunReport) {
	if len(reports) == 0 {
		return
	}
	for _, r := range reports {
		a.judge.Observe(now, r)
	}
	a.stale = true
}

// SyncState lets the judge know what is held in the replicated state.
func (a *Arbiter) SyncState(now time.Time) {
	state := a.State()
	if state == a.known && state.QuarantineRevision() == a.heldRevision {
		return
	}
	first := a.known == nil
	a.countDropped(state)
	a.known, a.heldRevision = state, state.QuarantineRevision()
	held := state.Quarantined()
	a.judge.SetHeld(now, held)
	a.stale = true
	if !first || len(held) > 0 {
		a.Log.Info("the requests that are held back have changed", "Held", len(held))
	}
}

// countDropped counts the requests that have made room for others.
func (a *Arbiter) countDropped(state *applier.StateMachine) {
	if state != a.known {
		a.dropped = 0
	}
	for ; a.dropped < state.QuarantineEvictions(); a.dropped++ {
		a.count("MadeRoom")
		a.Log.Warn("a request is held back no longer: too many are", "Most", applier.MaxQuarantined)
	}
}

// Tick lets time pass.
func (a *Arbiter) Tick(now time.Time) { a.judge.Tick(now) }

// LeaderTick judges as the leader of a term, and makes the list for the gateways anew if it may
// have changed.
func (a *Arbiter) LeaderTick(now time.Time, term uint64) {
	for _, verdict := range a.judge.Evaluate(now) {
		a.Log.Warn("a request is held back: backend servers end when they run it", "Fingerprint", verdict.GetFingerprint(),
			"Service", verdict.GetService(), "Model", verdict.GetModel(), "Place", verdict.GetPlace(), "Caller", verdict.GetCaller(),
			"Ended", verdict.GetBackends(), "Forgotten", a.judge.Dropped())
		a.count("Held")
		a.Propose(&wire.Command{Body: &wire.Command_HoldRequest{HoldRequest: verdict}})
	}
	for _, fingerprint := range a.judge.TakeCleared() {
		a.Log.Info("a request is held back no longer: a run of it was completed", "Fingerprint", fingerprint)
		a.count("Cleared")
		a.Propose(&wire.Command{Body: &wire.Command_ReleaseHeld{
			ReleaseHeld: &wire.ReleaseHeld{Fingerprint: fingerprint, Reason: "a run was completed"},
		}})
	}
	a.makeList(now, term)
}

func (a *Arbiter) count(change string) {
	if a.Count != nil {
		a.Count(change)
	}
}

func (a *Arbiter) makeList(now time.Time, term uint64) {
	if !a.stale && now.Sub(a.madeAt) < suspectsEvery {
		return
	}
	a.stale, a.madeAt = false, now
	list := a.suspects(now)
	first := !a.toldBy(term)
	if !first && slices.EqualFunc(list, a.list, sameSuspect) {
		return
	}
	if first {
		a.revision = term * revisionsPerTerm
	}
	a.revision++
	a.list = list
}

// sameSuspect reports whether two entries tell gateways the same to do.
func sameSuspect(a, b *wire.Suspect) bool {
	return a.GetFingerprint() == b.GetFingerprint() && a.GetHeld() == b.GetHeld() && a.GetTrialAt() == b.GetTrialAt()
}

// suspects returns what gateways are to know.
func (a *Arbiter) suspects(now time.Time) []*wire.Suspect {
	var list []*wire.Suspect
	held := map[string]bool{}
	for _, h := range a.State().Quarantined() {
		held[h.GetFingerprint()] = true
		age := max(0, now.Sub(time.Unix(0, h.GetHeldAtNs())))
		s := &wire.Suspect{Fingerprint: h.GetFingerprint(), Held: true, LeftS: uint32(max(1, (applier.QuarantinePeriod - age).Seconds()))}
		if h.GetOnTrial() {
			s.TrialAt = a.trialAt(h.GetPlace())
		}
		list = append(list, s)
	}
	for _, fingerprint := range a.judge.Suspects() {
		if !held[fingerprint] {
			list = append(list, &wire.Suspect{Fingerprint: fingerprint})
		}
	}
	return list
}

// trialAt returns the one gateway that may try again what is asked for at a place, so that
// there are no two, by whichever fingerprint it is held.
func (a *Arbiter) trialAt(place string) string {
	addresses := a.Gateways()
	if len(addresses) == 0 {
		return ""
	}
	ranker.Sort(addresses, place)
	return addresses[0]
}
