// Package recruiter decides the next change of a replicated log's members: new
// incarnations of admitted instances join as learners and get the vote of the one
// that they replace once they have caught up. It is pure.
package membershipplanner

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

// ClusterState is what a leader knows when it looks for a change to make.
type ClusterState struct {
	Configuration *wire.Configuration
	// Joining are the members that have lately asked to join.
	Joining []*wire.Member
	// Admitted reports whether an instance may be a member.
	Admitted func(name string) bool
	// CaughtUp reports whether a member holds nearly all of the log.
	CaughtUp func(id string) bool
	// Leader is the id of the leader, which never removes itself.
	Leader string
	// MaxVoters bounds the voters; 0 makes every member a voter.
	MaxVoters int
	// Silent reports whether a member has not been heard for so long that a member
	// without a vote may take its place. Nil means never.
	Silent func(id string) bool
}

// NextConfiguration returns the next configuration, which differs in one member, or nil when
// nothing is to be done. An incarnation that has lost its disk is removed only when
// its successor has caught up, and before the successor is promoted: two of three
// voters then decide, never a lost one.
func NextConfiguration(f ClusterState) *wire.Configuration {
	steps := []func(ClusterState) *wire.Configuration{
		removeUnadmitted, removeReplaced, promote, removeSilent, addLearner, removeLearner,
	}
	for _, step := range steps {
		if next := step(f); next != nil {
			return next
		}
	}
	return nil
}

func removeUnadmitted(f ClusterState) *wire.Configuration {
	for _, m := range members(f.Configuration) {
		if !f.Admitted(m.GetName()) && m.GetId() != f.Leader {
			return without(f.Configuration, m.GetId())
		}
	}
	return nil
}

// removeReplaced takes out a voter whose instance has come back with another disk.
func removeReplaced(f ClusterState) *wire.Configuration {
	for _, learner := range f.Configuration.GetLearners() {
		if !f.CaughtUp(learner.GetId()) || !joining(f, learner.GetId()) {
			continue
		}
		for _, voter := range f.Configuration.GetVoters() {
			replaced := voter.GetName() == learner.GetName()
			if replaced && voter.GetId() != f.Leader {
				return without(f.Configuration, voter.GetId())
			}
		}
	}
	return nil
}

func promote(f ClusterState) *wire.Configuration {
	if f.MaxVoters > 0 && len(f.Configuration.GetVoters()) >= f.MaxVoters {
		return nil
	}
	for _, learner := range f.Configuration.GetLearners() {
		if !f.CaughtUp(learner.GetId()) || hasName(f.Configuration.GetVoters(), learner.GetName()) {
			continue
		}
		next := without(f.Configuration, learner.GetId())
		next.Voters = append(next.Voters, learner)
		return next
	}
	return nil
}

// removeSilent takes the vote of a member that is silent, if another stands by to get
// it. Without one, the silent member may still come back.
func removeSilent(f ClusterState) *wire.Configuration {
	if f.Silent == nil || !standsBy(f) {
		return nil
	}
	for _, voter := range f.Configuration.GetVoters() {
		if voter.GetId() != f.Leader && f.Silent(voter.GetId()) {
			return without(f.Configuration, voter.GetId())
		}
	}
	return nil
}

// standsBy reports whether a learner could be promoted if there were room.
func standsBy(f ClusterState) bool {
	return slices.ContainsFunc(f.Configuration.GetLearners(), func(l *wire.Member) bool {
		return f.CaughtUp(l.GetId()) && joining(f, l.GetId()) && !f.Silent(l.GetId()) &&
			!hasName(f.Configuration.GetVoters(), l.GetName())
	})
}

// removeLearner takes out a learner that is silent and does not ask to join any more.
func removeLearner(f ClusterState) *wire.Configuration {
	if f.Silent == nil {
		return nil
	}
	for _, l := range f.Configuration.GetLearners() {
		if f.Silent(l.GetId()) && !joining(f, l.GetId()) {
			return without(f.Configuration, l.GetId())
		}
	}
	return nil
}

func addLearner(f ClusterState) *wire.Configuration {
	for _, m := range f.Joining {
		if !f.Admitted(m.GetName()) || hasID(members(f.Configuration), m.GetId()) {
			continue
		}
		next := proto.CloneOf(f.Configuration)
		// An earlier incarnation that never got to vote is of no use any more.
		next.Learners = slices.DeleteFunc(next.GetLearners(), func(l *wire.Member) bool {
			return l.GetName() == m.GetName()
		})
		next.Learners = append(next.Learners, m)
		return next
	}
	return nil
}

func joining(f ClusterState, id string) bool { return hasID(f.Joining, id) }

func members(c *wire.Configuration) []*wire.Member {
	return slices.Concat(c.GetVoters(), c.GetLearners())
}

func hasID(list []*wire.Member, id string) bool {
	return slices.ContainsFunc(list, func(m *wire.Member) bool { return m.GetId() == id })
}

func hasName(list []*wire.Member, name string) bool {
	return slices.ContainsFunc(list, func(m *wire.Member) bool { return m.GetName() == name })
}

func without(c *wire.Configuration, id string) *wire.Configuration {
	next := proto.CloneOf(c)
	other := func(m *wire.Member) bool { return m.GetId() == id }
	next.Voters = slices.DeleteFunc(next.GetVoters(), other)
	next.Learners = slices.DeleteFunc(next.GetLearners(), other)
	return next
}
