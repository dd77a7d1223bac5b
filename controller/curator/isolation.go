package curator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"bronzelead.example/pkg/quarantiner"
	"bronzelead.example/pkg/ranker"
	"bronzelead.example/pkg/recorder"
	"bronzelead.example/pkg/wire"
)

// verdictTimeout bounds the wait for a verdict to be committed; it is given again then.
const verdictTimeout = 900 * time.Millisecond

// suspectsEvery is the time between two looks at suspects when no report has come: some are
// forgotten, and holds come to their end.
const suspectsEvery = time.Second

// isolation is a controller's part in keeping requests away that end backend servers. All
// controllers hear of runs that were lost, so that the next leader goes on where the one
// before it was; only the leader judges, and its verdicts are committed.
type isolation struct {
	judge *quarantiner.Quarantiner
	// heldRevision is that of the state which the judge knows.
	heldRevision uint64
	// list is what gateways are told, by the leader alone. The number of a later list is
	// higher, also that of a later leader.
	list     []*wire.Suspect
	revision uint64
	stale    bool
	madeAt   time.Time
}

// revisionsPerTerm is how many lists a leader may make.
const revisionsPerTerm = 1 << 32

// toldBy reports whether the list is that of the leader of a term, which may be told.
func (i *isolation) toldBy(term uint64) bool { return term != 0 && i.revision/revisionsPerTerm == term }

// hasNews reports whether a gateway must be told soon that knows a list. That there is none
// is no news to one that knows none.
func (i *isolation) hasNews(term, known uint64) bool {
	return i.toldBy(term) && known < i.revision && (known != 0 || len(i.list) > 0)
}

// hearRuns takes the reports of a gateway, and those that it passes on.
func (c *Curator) hearRuns(now time.Time, reports []*wire.RunReport) {
	if len(reports) == 0 {
		return
	}
	for _, r := range reports {
		c.isolation.judge.Note(now, r)
	}
	c.isolation.stale = true
}

// takeHeld lets the judge know what is held in the replicated state.
func (c *Curator) takeHeld() {
	if revision := c.state.HeldRevision(); revision != c.isolation.heldRevision {
		c.isolation.heldRevision = revision
		c.isolation.judge.SetHeld(c.state.Held())
		c.isolation.stale = true
		c.Log.Info("the requests that are held back have changed", "Held", len(c.state.Held()))
	}
}

// isolate judges, and tells the gateways what has changed.
func (c *Curator) isolate(now time.Time) {
	c.isolation.judge.Tick(now)
	if !c.leads(now) {
		return
	}
	for _, verdict := range c.isolation.judge.Judge(now) {
		c.Log.Warn("a request is held back: backend servers end when they run it", "Fingerprint", verdict.GetFingerprint(),
			"Service", verdict.GetService(), "Model", verdict.GetModel(), "Place", verdict.GetPlace(), "Caller", verdict.GetCaller(),
			"Ended", verdict.GetBackends(), "Forgotten", c.isolation.judge.Dropped())
		c.propose(&wire.Command{Body: &wire.Command_HoldRequest{HoldRequest: verdict}})
	}
	for _, fingerprint := range c.isolation.judge.TakeCleared() {
		c.Log.Info("a request is held back no longer: a run of it was completed", "Fingerprint", fingerprint)
		c.propose(&wire.Command{Body: &wire.Command_ReleaseHeld{
			ReleaseHeld: &wire.ReleaseHeld{Fingerprint: fingerprint, Reason: "a run was completed"},
		}})
	}
	c.tellSuspects(now)
}

// propose commits a change in the background.
func (c *Curator) propose(cmd *wire.Command) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), verdictTimeout)
		defer cancel()
		if _, err := c.Keeper.Propose(ctx, cmd); err != nil {
			c.Log.Warn("a verdict was not committed", "Change", fmt.Sprintf("%T", cmd.GetBody()), "Error", err.Error())
		}
	}()
}

// tellSuspects makes the list for the gateways anew, if it may have changed.
func (c *Curator) tellSuspects(now time.Time) {
	i := &c.isolation
	if !i.stale && now.Sub(i.madeAt) < suspectsEvery {
		return
	}
	i.stale, i.madeAt = false, now
	list := c.suspects(now)
	first := !i.toldBy(c.term)
	if !first && slices.EqualFunc(list, i.list, sameSuspect) {
		return
	}
	if first {
		i.revision = c.term * revisionsPerTerm
	}
	i.revision++
	i.list = list
}

// sameSuspect reports whether two entries tell gateways the same to do.
func sameSuspect(a, b *wire.Suspect) bool {
	return a.GetFingerprint() == b.GetFingerprint() && a.GetHeld() == b.GetHeld() && a.GetTrialAt() == b.GetTrialAt()
}

// suspects returns what gateways are to know.
func (c *Curator) suspects(now time.Time) []*wire.Suspect {
	var list []*wire.Suspect
	held := map[string]bool{}
	for _, h := range c.state.Held() {
		held[h.GetFingerprint()] = true
		age := max(0, now.Sub(time.Unix(0, h.GetHeldAtNs())))
		s := &wire.Suspect{Fingerprint: h.GetFingerprint(), Held: true, LeftS: uint32(max(1, (recorder.HoldFor - age).Seconds()))}
		if h.GetOnTrial() {
			s.TrialAt = c.trialAt(h.GetPlace())
		}
		list = append(list, s)
	}
	for _, fingerprint := range c.isolation.judge.Suspects() {
		if !held[fingerprint] {
			list = append(list, &wire.Suspect{Fingerprint: fingerprint})
		}
	}
	return list
}

// trialAt returns the one gateway that may try again what is asked for at a place, so that
// there are no two, by whichever fingerprint it is held.
func (c *Curator) trialAt(place string) string {
	var addresses []string
	for _, g := range c.roster.list {
		addresses = append(addresses, g.GetAddress())
	}
	if len(addresses) == 0 {
		return ""
	}
	ranker.Sort(addresses, place)
	return addresses[0]
}

// Held returns the requests that are held back in the state here.
func (c *Curator) Held(ctx context.Context) (*wire.ListHeldResponse, error) {
	// The call may still run after ctx has ended, and must not write what is read here.
	held := make(chan []*wire.HeldRequest, 1)
	if err := c.Call(ctx, func(time.Time) { held <- c.state.Held() }); err != nil {
		return nil, err
	}
	return &wire.ListHeldResponse{Held: <-held}, nil
}
