package replicator

import (
	"time"

	"bronzelead.example/pkg/wire"
)

// Tick lets time pass: elections, heartbeats, and a leader that has lost its
// quorum steps down.
func (r *Replicator) Tick(now time.Time) {
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if now.Before(r.electionAt) {
		return
	}
	r.resetElection(now)
	if r.isVoter(r.ID) {
		r.campaign(now, PreCandidate, false)
	}
}

func (r *Replicator) tickLeader(now time.Time) {
	if r.transferTo != "" && now.After(r.transferEnd) {
		// A TimeoutNow may still arrive late. Leading on with a lease would then
		// allow two leaders, so this term ends here.
		r.becomeFollower(now, r.term, "")
		return
	}
	if now.Sub(r.quorumContact(now)) > r.ElectionTimeout && now.Sub(r.leaderSince) > r.ElectionTimeout {
		r.becomeFollower(now, r.term, "")
		return
	}
	if !now.Before(r.nextBeat) {
		r.beat(now)
	}
}

// resetElection sets the time of the next attempt to lead. Until a leader has been heard
// since the start there is probably none, and only the quiet time has to pass; the spread
// keeps members apart that started together.
func (r *Replicator) resetElection(now time.Time) {
	least, spread := r.ElectionTimeout, r.ElectionTimeout
	if !r.leaderMet {
		least, spread = r.StartupVoteDelay, max(r.StartupVoteDelay, r.ElectionTimeout/startSpread)
	}
	r.electionAt = now.Add(least + time.Duration(r.Random(int64(spread))))
}

// startSpread divides the election timeout into the spread of the first attempts after a
// start: some ten times a round trip and a disk's sync.
const startSpread = 2

func (r *Replicator) becomeFollower(now time.Time, term uint64, leader string) {
	if term > r.term {
		r.term, r.vote = term, ""
		r.hardDirty = true
	}
	r.role, r.leader = Follower, leader
	r.progress, r.votes = nil, nil
	r.transferTo, r.handedOver = "", false
	r.resetElection(now)
}

// campaign asks for votes. A pre-candidate asks for the next term without
// entering it.
func (r *Replicator) campaign(now time.Time, role Role, transfer bool) {
	r.role, r.leader = role, ""
	r.votes = map[string]bool{r.ID: true}
	kind, term := wire.MessageKind_MESSAGE_KIND_PRE_VOTE, r.term+1
	if role == Candidate {
		r.term++
		r.vote = r.ID
		r.hardDirty = true
		kind = wire.MessageKind_MESSAGE_KIND_VOTE
	}
	r.resetElection(now)
	last := r.lastIndex()
	for _, m := range r.Configuration().GetVoters() {
		if m.GetId() == r.ID {
			continue
		}
		r.send(&wire.Message{
			Kind: kind, To: m.GetId(), Term: term,
			LogIndex: last, LogTerm: r.termOf(last), Transfer: transfer,
		})
	}
	r.countVotes(now)
}

// stepVote answers a request for a vote or a pre-vote.
func (r *Replicator) stepVote(now time.Time, m *wire.Message) {
	pre := m.GetKind() == wire.MessageKind_MESSAGE_KIND_PRE_VOTE
	answer := wire.MessageKind_MESSAGE_KIND_VOTE_ANSWER
	if pre {
		answer = wire.MessageKind_MESSAGE_KIND_PRE_VOTE_ANSWER
	}
	if r.hearsLeader(now) && !m.GetTransfer() {
		// A member that was cut off must not depose a leader that works, and the
		// leader's lease rests on this refusal.
		r.send(&wire.Message{Kind: answer, To: m.GetFrom(), Reject: true})
		return
	}
	if !pre && m.GetTerm() > r.term {
		r.becomeFollower(now, m.GetTerm(), "")
	}
	granted := r.isCurrent(m) && r.mayVote(m, pre)
	if granted && !pre {
		r.vote = m.GetFrom()
		r.hardDirty = true
		r.resetElection(now)
	}
	term := r.term
	if pre && granted {
		term = m.GetTerm()
	}
	r.send(&wire.Message{Kind: answer, To: m.GetFrom(), Term: term, Reject: !granted})
}

// isCurrent reports whether a candidate's log is at least as new as this one
// (section 5.4.1 of the paper).
func (r *Replicator) isCurrent(m *wire.Message) bool {
	last := r.lastIndex()
	if m.GetLogTerm() != r.termOf(last) {
		return m.GetLogTerm() > r.termOf(last)
	}
	return m.GetLogIndex() >= last
}

// mayVote reports whether this member's vote for the term is still to be had.
func (r *Replicator) mayVote(m *wire.Message, pre bool) bool {
	if pre {
		return m.GetTerm() > r.term
	}
	unused := r.vote == "" || r.vote == m.GetFrom()
	return m.GetTerm() == r.term && unused && r.role == Follower
}

// hearsLeader reports whether a leader is known to have worked within the least
// election timeout.
func (r *Replicator) hearsLeader(now time.Time) bool {
	if r.role == Leader {
		return !r.handedOver && now.Sub(r.quorumContact(now)) < r.ElectionTimeout
	}
	return now.Sub(r.lastContact) < r.ElectionTimeout
}

func (r *Replicator) stepVoteAnswer(now time.Time, m *wire.Message) {
	pre := m.GetKind() == wire.MessageKind_MESSAGE_KIND_PRE_VOTE_ANSWER
	if m.GetReject() {
		if m.GetTerm() > r.term {
			r.becomeFollower(now, m.GetTerm(), "")
		}
		return
	}
	expected := pre && r.role == PreCandidate && m.GetTerm() == r.term+1 ||
		!pre && r.role == Candidate && m.GetTerm() == r.term
	if !expected {
		return
	}
	r.votes[m.GetFrom()] = true
	r.countVotes(now)
}

func (r *Replicator) countVotes(now time.Time) {
	granted := 0
	voters := r.Configuration().GetVoters()
	for _, m := range voters {
		if r.votes[m.GetId()] {
			granted++
		}
	}
	if granted <= len(voters)/2 {
		return
	}
	if r.role == PreCandidate {
		r.campaign(now, Candidate, false)
		return
	}
	r.becomeLeader(now)
}

func (r *Replicator) becomeLeader(now time.Time) {
	r.leaderMet = true
	r.role, r.leader = Leader, r.ID
	r.leaderSince = now
	r.roundSentAt = map[uint64]time.Time{}
	r.progress = map[string]*progress{}
	r.handedOver = false
	r.trackMembers()
	r.appendEntry(wire.EntryKind_ENTRY_KIND_COMMAND, nil)
	r.termStart = r.lastIndex()
	r.beat(now)
}

// trackMembers keeps a progress for each other member of the configuration.
func (r *Replicator) trackMembers() {
	members := map[string]bool{}
	for _, m := range r.others() {
		members[m.GetId()] = true
		if r.progress[m.GetId()] == nil {
			r.progress[m.GetId()] = &progress{next: r.lastIndex() + 1}
		}
	}
	for id := range r.progress {
		if !members[id] {
			delete(r.progress, id)
		}
	}
}
