package replicator

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

// Step processes a message from another member. Messages to another incarnation of this
// instance are ignored.
func (r *Replicator) Step(now time.Time, m *wire.Message) {
	if m.GetTo() != r.ID {
		return
	}
	switch m.GetKind() {
	case wire.MessageKind_MESSAGE_KIND_PRE_VOTE, wire.MessageKind_MESSAGE_KIND_VOTE:
		r.stepVote(now, m)
	case wire.MessageKind_MESSAGE_KIND_PRE_VOTE_ANSWER, wire.MessageKind_MESSAGE_KIND_VOTE_ANSWER:
		r.stepVoteAnswer(now, m)
	case wire.MessageKind_MESSAGE_KIND_APPEND:
		r.stepAppend(now, m)
	case wire.MessageKind_MESSAGE_KIND_SNAPSHOT:
		r.stepSnapshot(now, m)
	case wire.MessageKind_MESSAGE_KIND_APPEND_ANSWER:
		r.stepAppendAnswer(now, m)
	case wire.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		if m.GetTerm() == r.term && r.isVoter(r.ID) && r.role != Leader {
			r.campaign(now, Candidate, true)
		}
	}
}

// Propose appends a command on a leader and returns its index.
func (r *Replicator) Propose(data []byte) (uint64, error) {
	if r.role != Leader {
		return 0, fail("Propose", KindNotLeader, "member %s is a %s", r.ID, r.role)
	}
	if r.transferTo != "" {
		return 0, fail("Propose", KindBusy, "leadership is being transferred")
	}
	r.appendEntry(wire.EntryKind_ENTRY_KIND_COMMAND, data)
	return r.lastIndex(), nil
}

// Flush sends new entries to the others. Call it after a batch of proposals.
func (r *Replicator) Flush(now time.Time) {
	if r.role == Leader {
		r.broadcast(now)
	}
}

func (r *Replicator) appendEntry(kind wire.EntryKind, data []byte) {
	e := &wire.Entry{Index: r.lastIndex() + 1, Term: r.term, Kind: kind, Data: data}
	r.log = append(r.log, e)
	if kind == wire.EntryKind_ENTRY_KIND_CONFIGURATION {
		r.addConfig(e)
	}
}

// sendHeartbeats starts a new round, from whose send time the lease is counted.
func (r *Replicator) sendHeartbeats(now time.Time) {
	r.round++
	r.roundSentAt[r.round] = now
	delete(r.roundSentAt, r.round-maxTrackedRounds)
	r.nextHeartbeat = now.Add(r.Heartbeat)
	for _, m := range r.otherMembers() {
		r.sendAppend(now, m.GetId(), true)
	}
}

func (r *Replicator) broadcast(now time.Time) {
	for _, m := range r.otherMembers() {
		r.sendAppend(now, m.GetId(), false)
	}
}

// sendAppend sends the entries that the member lacks, or a snapshot where the
// log no longer has them.
func (r *Replicator) sendAppend(now time.Time, to string, allowEmpty bool) {
	p := r.progress[to]
	last := r.lastIndex()
	if p.next > last && !allowEmpty {
		return
	}
	if p.next <= r.base.GetIndex() {
		r.sendSnapshot(now, to, p)
		return
	}
	previous := p.next - 1
	end := min(last+1, p.next+uint64(r.MaxEntries))
	entries := r.boundedSlice(p.next, end)
	p.next += uint64(len(entries))
	r.send(&wire.Message{
		Kind: wire.MessageKind_MESSAGE_KIND_APPEND, To: to,
		LogIndex: previous, LogTerm: r.termOf(previous),
		Commit: r.commit, Entries: entries, Round: r.round,
	})
}

// boundedSlice returns entries up to the size of one message, at least one.
func (r *Replicator) boundedSlice(from, to uint64) []*wire.Entry {
	if from >= to {
		return nil
	}
	entries := r.slice(from, to)
	size := 0
	for i, e := range entries {
		size += len(e.GetData())
		if i > 0 && size > defaultMaxAppendBytes {
			return entries[:i]
		}
	}
	return entries
}

func (r *Replicator) sendSnapshot(now time.Time, to string, p *progress) {
	if now.Sub(p.snapshotAt) < snapshotRetryTimeouts*r.ElectionTimeout {
		// One snapshot is in flight at a time, but the member still needs heartbeats.
		r.send(&wire.Message{
			Kind: wire.MessageKind_MESSAGE_KIND_APPEND, To: to,
			LogIndex: r.lastIndex(), LogTerm: r.termOf(r.lastIndex()), Round: r.round,
		})
		return
	}
	p.snapshotAt = now
	r.send(&wire.Message{
		Kind: wire.MessageKind_MESSAGE_KIND_SNAPSHOT, To: to, Snapshot: r.base, Round: r.round,
	})
}

// acceptLeader records contact with a leader. It returns false for an old term.
func (r *Replicator) acceptLeader(now time.Time, m *wire.Message) bool {
	if m.GetTerm() < r.term {
		r.send(&wire.Message{
			Kind: wire.MessageKind_MESSAGE_KIND_APPEND_ANSWER, To: m.GetFrom(),
			Reject: true, LastIndex: r.lastIndex(),
		})
		return false
	}
	if m.GetTerm() > r.term || r.role != Follower {
		r.becomeFollower(now, m.GetTerm(), m.GetFrom())
	}
	r.leader = m.GetFrom()
	r.lastContact, r.leaderSeen = now, true
	r.resetElectionTimer(now)
	return true
}

func (r *Replicator) stepAppend(now time.Time, m *wire.Message) {
	if !r.acceptLeader(now, m) {
		return
	}
	previous := m.GetLogIndex()
	answer := &wire.Message{
		Kind: wire.MessageKind_MESSAGE_KIND_APPEND_ANSWER, To: m.GetFrom(), Round: m.GetRound(),
	}
	matches := previous < r.base.GetIndex() ||
		previous <= r.lastIndex() && r.termOf(previous) == m.GetLogTerm()
	if !matches {
		answer.Reject = true
		answer.LastIndex = min(r.lastIndex(), previous-1)
		r.send(answer)
		return
	}
	r.merge(m.GetEntries())
	matched := previous + uint64(len(m.GetEntries()))
	matched = max(matched, r.base.GetIndex())
	r.commitTo(min(m.GetCommit(), matched))
	answer.LogIndex = matched
	answer.LastIndex = r.lastIndex()
	r.send(answer)
}

// merge appends entries, and truncates the log where it differs from them.
func (r *Replicator) merge(entries []*wire.Entry) {
	for i, e := range entries {
		if e.GetIndex() <= r.base.GetIndex() {
			continue
		}
		if e.GetIndex() <= r.lastIndex() && r.termOf(e.GetIndex()) == e.GetTerm() {
			continue
		}
		r.truncate(e.GetIndex())
		r.log = append(r.log, entries[i:]...)
		for _, added := range entries[i:] {
			if added.GetKind() == wire.EntryKind_ENTRY_KIND_CONFIGURATION {
				r.addConfig(added)
			}
		}
		return
	}
}

func (r *Replicator) truncate(index uint64) {
	if index > r.lastIndex() {
		return
	}
	r.log = slices.Clone(r.slice(r.base.GetIndex()+1, index))
	r.unstable = min(r.unstable, index)
	r.synced = min(r.synced, index-1)
	r.rebuildConfigs()
}

func (r *Replicator) stepSnapshot(now time.Time, m *wire.Message) {
	if !r.acceptLeader(now, m) {
		return
	}
	s := m.GetSnapshot()
	switch {
	case s.GetIndex() <= r.commit:
	case s.GetIndex() <= r.lastIndex() && r.termOf(s.GetIndex()) == s.GetTerm():
		// A delayed snapshot: the log entries after it were acknowledged and must stay (section
		// 7 of the paper).
		r.commitTo(s.GetIndex())
	default:
		r.base = proto.CloneOf(s)
		r.log = nil
		r.commit, r.emitted, r.synced = s.GetIndex(), s.GetIndex(), s.GetIndex()
		r.unstable = s.GetIndex() + 1
		r.rebuildConfigs()
		r.pendingSnapshot = r.base
	}
	r.send(&wire.Message{
		Kind: wire.MessageKind_MESSAGE_KIND_APPEND_ANSWER, To: m.GetFrom(), Round: m.GetRound(),
		LogIndex: max(r.commit, s.GetIndex()), LastIndex: r.lastIndex(),
	})
}

func (r *Replicator) stepAppendAnswer(now time.Time, m *wire.Message) {
	if m.GetTerm() > r.term {
		r.becomeFollower(now, m.GetTerm(), "")
		return
	}
	p := r.progress[m.GetFrom()]
	if r.role != Leader || m.GetTerm() < r.term || p == nil {
		return
	}
	if sent, ok := r.roundSentAt[m.GetRound()]; ok && sent.After(p.ackedAt) {
		p.ackedAt = sent
	}
	if m.GetReject() {
		if next := m.GetLastIndex() + 1; next < p.next {
			p.next = max(next, p.match+1)
			r.sendAppend(now, m.GetFrom(), false)
		}
		return
	}
	p.snapshotAt = time.Time{}
	if m.GetLogIndex() > p.match {
		p.match = m.GetLogIndex()
		p.next = max(p.next, p.match+1)
		r.advanceCommit()
	}
	r.continueTransfer(now)
	if p.next <= r.lastIndex() {
		r.sendAppend(now, m.GetFrom(), false)
	}
}

// advanceCommit commits what a majority of the voters holds on disk, and only
// through an entry of the current term (section 5.4.2 of the paper).
func (r *Replicator) advanceCommit() {
	voters := r.Configuration().GetVoters()
	matches := make([]uint64, 0, len(voters))
	for _, m := range voters {
		matches = append(matches, r.matchOf(m.GetId()))
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if index > r.commit && r.termOf(index) == r.term {
		r.commitTo(index)
	}
}

func (r *Replicator) matchOf(id string) uint64 {
	if id == r.ID {
		return r.synced
	}
	if p := r.progress[id]; p != nil {
		return p.match
	}
	return 0
}

func (r *Replicator) commitTo(index uint64) {
	r.commit = max(r.commit, min(index, r.lastIndex()))
}
