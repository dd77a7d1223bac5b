package replicator

import (
	"time"

	"bronzelead.example/pkg/wire"
)

// Tick advances time: it starts elections, sends heartbeats, and lets a leader that has lost
// its quorum step down.
func (r *Replicator) Tick(now time.Time) {
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if now.Before(r.electionAt) {
		return
	}
	r.resetElectionTimer(now)
	if r.isVoter(r.ID) {
		r.campaign(now, PreCandidate, false)
	}
}

func (r *Replicator) tickLeader(now time.Time) {
	if r.transferTo != "" && now.After(r.transferDeadline) {
		// A delayed TimeoutNow may still arrive. Continuing to lead with a lease would then
		// allow two leaders, so this term ends here.
		r.becomeFollower(now, r.term, "")
		return
	}
	if now.Sub(r.quorumContact(now)) > r.ElectionTimeout && now.Sub(r.leaderSince) > r.ElectionTimeout {
		r.becomeFollower(now, r.term, "")
		return
	}
	if !now.Before(r.nextHeartbeat) {
		r.sendHeartbeats(now)
	}
}

// resetElectionTimer schedules the next attempt to lead. Until a leader has been seen since the
// start there is probably none, and only StartupVoteDelay has to pass; the random spread
// separates members that started together.
func (r *Replicator) resetElectionTimer(now time.Time) {
	minWait, spread := r.ElectionTimeout, r.ElectionTimeout
	if !r.leaderSeen {
		minWait, spread = r.StartupVoteDelay, max(r.StartupVoteDelay, r.ElectionTimeout/startupSpreadDivisor)
	}
	r.electionAt = now.Add(minWait + time.Duration(r.Random(int64(spread))))
}

// startupSpreadDivisor divides the election timeout into the spread of the first attempts after
// a start: some ten times a round trip and a disk sync.
const startupSpreadDivisor = 2

func (r *Replicator) becomeFollower(now time.Time, term uint64, leader string) {
	if term > r.term {
		r.term, r.vote = term, ""
		r.hardStateDirty = true
	}
	r.role, r.leader = Follower, leader
	r.progress, r.votes = nil, nil
	r.transferTo, r.timeoutNowSent = "", false
	r.resetElectionTimer(now)
}

// campaign requests votes. A pre-candidate requests them for the next term without entering it.
func (r *Replicator) campaign(now time.Time, role Role, transfer bool) {
	r.role, r.leader = role, ""
	r.votes = map[string]bool{r.ID: true}
	kind, term := wire.MessageKind_MESSAGE_KIND_PRE_VOTE, r.term+1
	if role == Candidate {
		r.term++
		r.vote = r.ID
		r.hardStateDirty = true
		kind = wire.MessageKind_MESSAGE_KIND_VOTE
	}
	r.resetElectionTimer(now)
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
	preVote := m.GetKind() == wire.MessageKind_MESSAGE_KIND_PRE_VOTE
	answer := wire.MessageKind_MESSAGE_KIND_VOTE_ANSWER
	if preVote {
		answer = wire.MessageKind_MESSAGE_KIND_PRE_VOTE_ANSWER
	}
	if r.leaderActive(now) && !m.GetTransfer() {
		// A member that was partitioned must not depose a working leader, and the leader's
		// lease depends on this refusal.
		r.send(&wire.Message{Kind: answer, To: m.GetFrom(), Reject: true})
		return
	}
	if !preVote && m.GetTerm() > r.term {
		r.becomeFollower(now, m.GetTerm(), "")
	}
	granted := r.isUpToDate(m) && r.canGrantVote(m, preVote)
	if granted && !preVote {
		r.vote = m.GetFrom()
		r.hardStateDirty = true
		r.resetElectionTimer(now)
	}
	term := r.term
	if preVote && granted {
		term = m.GetTerm()
	}
	r.send(&wire.Message{Kind: answer, To: m.GetFrom(), Term: term, Reject: !granted})
}

// isUpToDate reports whether a candidate's log is at least as up-to-date as this one (section
// 5.4.1 of the paper).
func (r *Replicator) isUpToDate(m *wire.Message) bool {
	last := r.lastIndex()
	if m.GetLogTerm() != r.termOf(last) {
		return m.GetLogTerm() > r.termOf(last)
	}
	return m.GetLogIndex() >= last
}

// canGrantVote reports whether this member can still grant its vote for the term.
func (r *Replicator) canGrantVote(m *wire.Message, preVote bool) bool {
	if preVote {
		return m.GetTerm() > r.term
	}
	available := r.vote == "" || r.vote == m.GetFrom()
	return m.GetTerm() == r.term && available && r.role == Follower
}

// leaderActive reports whether there was contact with a leader (for a leader, with a quorum)
// within the minimum election timeout.
func (r *Replicator) leaderActive(now time.Time) bool {
	if r.role == Leader {
		return !r.timeoutNowSent && now.Sub(r.quorumContact(now)) < r.ElectionTimeout
	}
	return now.Sub(r.lastContact) < r.ElectionTimeout
}

func (r *Replicator) stepVoteAnswer(now time.Time, m *wire.Message) {
	preVote := m.GetKind() == wire.MessageKind_MESSAGE_KIND_PRE_VOTE_ANSWER
	if m.GetReject() {
		if m.GetTerm() > r.term {
			r.becomeFollower(now, m.GetTerm(), "")
		}
		return
	}
	expected := preVote && r.role == PreCandidate && m.GetTerm() == r.term+1 ||
		!preVote && r.role == Candidate && m.GetTerm() == r.term
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
	r.leaderSeen = true
	r.role, r.leader = Leader, r.ID
	r.leaderSince = now
	r.roundSentAt = map[uint64]time.Time{}
	r.progress = map[string]*progress{}
	r.timeoutNowSent = false
	r.trackMembers()
	r.appendEntry(wire.EntryKind_ENTRY_KIND_COMMAND, nil)
	r.termStart = r.lastIndex()
	r.sendHeartbeats(now)
}

// trackMembers keeps a progress for each other member of the configuration.
func (r *Replicator) trackMembers() {
	members := map[string]bool{}
	for _, m := range r.otherMembers() {
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
