package replicator

import (
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

// quorumContact returns the send time of the latest messages that a majority of the voters has
// acknowledged.
func (r *Replicator) quorumContact(now time.Time) time.Time {
	voters := r.Configuration().GetVoters()
	times := make([]time.Time, 0, len(voters))
	for _, m := range voters {
		switch p := r.progress[m.GetId()]; {
		case m.GetId() == r.ID:
			times = append(times, now)
		case p != nil:
			times = append(times, p.ackedAt)
		default:
			times = append(times, time.Time{})
		}
	}
	if len(times) == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[(len(times)-1)/2]
}

// LeaseUntil returns the time up to which no other member can have been elected: each of a
// majority refuses its vote for one election timeout after a message from this leader. A tenth
// is subtracted for clock drift.
func (r *Replicator) LeaseUntil(now time.Time) time.Time {
	if r.role != Leader || r.timeoutNowSent || r.commit < r.termStart {
		return time.Time{}
	}
	return r.quorumContact(now).Add(r.ElectionTimeout - r.ElectionTimeout/clockDriftDivisor)
}

// Leads reports whether this member may answer reads and issue orders at now: it leads, has
// committed an entry of its own term, and holds its lease.
func (r *Replicator) Leads(now time.Time) bool {
	return now.Before(r.LeaseUntil(now))
}

// Transfer transfers leadership to the other voter that has the most of the log. New proposals
// are refused from then on.
func (r *Replicator) Transfer(now time.Time) error {
	if r.role != Leader {
		return fail("Transfer", KindNotLeader, "member %s is a %s", r.ID, r.role)
	}
	best, match := "", uint64(0)
	for _, m := range r.Configuration().GetVoters() {
		if p := r.progress[m.GetId()]; p != nil && (best == "" || p.match > match) {
			best, match = m.GetId(), p.match
		}
	}
	if best == "" {
		return fail("Transfer", KindMember, "there is no other voter")
	}
	r.transferTo = best
	r.transferDeadline = now.Add(r.ElectionTimeout)
	r.continueTransfer(now)
	return nil
}

// continueTransfer sends the chosen voter a TimeoutNow once it holds the whole log. The lease
// is given up before the message is sent.
func (r *Replicator) continueTransfer(now time.Time) {
	if r.transferTo == "" || r.timeoutNowSent {
		return
	}
	p := r.progress[r.transferTo]
	if p == nil || p.match < r.lastIndex() {
		return
	}
	r.timeoutNowSent = true
	r.transferDeadline = now.Add(r.ElectionTimeout)
	r.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: r.transferTo})
}
