package replicator

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

// ChangeMembers proposes a configuration. It must differ from the present one in at most one
// voter, and only one change may be in progress.
func (r *Replicator) ChangeMembers(next *wire.Configuration) (uint64, error) {
	if r.role != Leader {
		return 0, fail("ChangeMembers", KindNotLeader, "member %s is a %s", r.ID, r.role)
	}
	if r.transferTo != "" || r.commit < r.termStart || r.configs[len(r.configs)-1].index > r.commit {
		return 0, fail("ChangeMembers", KindBusy, "an earlier change has not been committed")
	}
	if len(next.GetVoters()) == 0 {
		return 0, fail("ChangeMembers", KindMember, "the configuration has no voter")
	}
	if n := votersChanged(r.Configuration(), next); n > 1 {
		return 0, fail("ChangeMembers", KindMember, "%d voters would change in one step", n)
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return 0, errors.Wrap(err, "replicator: ChangeMembers")
	}
	r.appendEntry(wire.EntryKind_ENTRY_KIND_CONFIGURATION, data)
	r.trackMembers()
	return r.lastIndex(), nil
}

// CaughtUp reports whether a member holds nearly all of the leader's log.
func (r *Replicator) CaughtUp(id string) bool {
	p := r.progress[id]
	return p != nil && p.match >= r.termStart && p.match+uint64(r.MaxEntries) >= r.lastIndex()
}

func votersChanged(a, b *wire.Configuration) int {
	n := 0
	for _, m := range a.GetVoters() {
		if !containsMember(b.GetVoters(), m.GetId()) {
			n++
		}
	}
	for _, m := range b.GetVoters() {
		if !containsMember(a.GetVoters(), m.GetId()) {
			n++
		}
	}
	return n
}

func containsMember(members []*wire.Member, id string) bool {
	return slices.ContainsFunc(members, func(m *wire.Member) bool { return m.GetId() == id })
}

func (r *Replicator) isVoter(id string) bool {
	return containsMember(r.Configuration().GetVoters(), id)
}

// otherMembers returns all members of the configuration except this one.
func (r *Replicator) otherMembers() []*wire.Member {
	config := r.Configuration()
	all := make([]*wire.Member, 0, len(config.GetVoters())+len(config.GetLearners()))
	for _, m := range slices.Concat(config.GetVoters(), config.GetLearners()) {
		if m.GetId() != r.ID {
			all = append(all, m)
		}
	}
	return all
}

// addConfig makes a configuration take effect as soon as it is in the log.
func (r *Replicator) addConfig(e *wire.Entry) {
	config := &wire.Configuration{}
	if err := proto.Unmarshal(e.GetData(), config); err != nil {
		// The entry was marshalled by ChangeMembers and carries a checksum.
		panic(errors.Wrapf(err, "replicator: entry %d is no configuration", e.GetIndex()))
	}
	r.configs = append(r.configs, configAt{index: e.GetIndex(), config: config})
	if r.role == Leader {
		r.trackMembers()
	}
}

func (r *Replicator) rebuildConfigs() {
	r.configs = []configAt{{index: r.base.GetIndex(), config: r.base.GetConfiguration()}}
	for _, e := range r.log {
		if e.GetKind() == wire.EntryKind_ENTRY_KIND_CONFIGURATION {
			r.addConfig(e)
		}
	}
}

// configBefore returns the configuration in effect at an index.
func (r *Replicator) configBefore(index uint64) *wire.Configuration {
	config := r.configs[0].config
	for _, c := range r.configs {
		if c.index <= index {
			config = c.config
		}
	}
	return config
}

// LastContact returns when the leader sent the latest message that a member has answered, or
// the start of the term if it has answered none.
func (r *Replicator) LastContact(id string) time.Time {
	p := r.progress[id]
	if p == nil || p.ackedAt.Before(r.leaderSince) {
		return r.leaderSince
	}
	return p.ackedAt
}
