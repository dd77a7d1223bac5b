// Package membershipplanner decides the next membership change of a replicated log: new
// incarnations of admitted instances join as learners and get the vote of the one that they
// replace once they have caught up. It is pure.
package membershipplanner

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

// ClusterState is the input of a membership decision.
type ClusterState struct {
	Configuration *wire.Configuration
	// Joining are the members that have lately requested to join.
	Joining []*wire.Member
	// Admitted reports whether an instance may be a member.
	Admitted func(name string) bool
	// CaughtUp reports whether a member holds nearly all of the log.
	CaughtUp func(id string) bool
	// Leader is the id of the leader, which never removes itself.
	Leader string
	// MaxVoters bounds the voters; 0 makes every member a voter.
	MaxVoters int
	// Silent reports whether a member has been silent for so long that a member without a vote
	// may replace it. Nil means never.
	Silent func(id string) bool
}

// NextConfiguration returns the next configuration, which differs in one member, or nil if
// there is no change to make. An incarnation that has lost its disk is removed only when its
// successor has caught up, and before the successor is promoted: two of three voters then
// decide, never a lost one.
func NextConfiguration(state ClusterState) *wire.Configuration {
	steps := []func(ClusterState) *wire.Configuration{
		removeUnadmitted, removeReplacedVoter, promoteLearner, removeSilentVoter, addLearner, removeSilentLearner,
	}
	for _, step := range steps {
		if next := step(state); next != nil {
			return next
		}
	}
	return nil
}

func removeUnadmitted(state ClusterState) *wire.Configuration {
	for _, m := range members(state.Configuration) {
		if !state.Admitted(m.GetName()) && m.GetId() != state.Leader {
			return without(state.Configuration, m.GetId())
		}
	}
	return nil
}

// removeReplacedVoter removes a voter whose instance has restarted with another disk.
func removeReplacedVoter(state ClusterState) *wire.Configuration {
	for _, learner := range state.Configuration.GetLearners() {
		if !state.CaughtUp(learner.GetId()) || !isJoining(state, learner.GetId()) {
			continue
		}
		for _, voter := range state.Configuration.GetVoters() {
			replaced := voter.GetName() == learner.GetName()
			if replaced && voter.GetId() != state.Leader {
				return without(state.Configuration, voter.GetId())
			}
		}
	}
	return nil
}

func promoteLearner(state ClusterState) *wire.Configuration {
	if state.MaxVoters > 0 && len(state.Configuration.GetVoters()) >= state.MaxVoters {
		return nil
	}
	for _, learner := range state.Configuration.GetLearners() {
		if !state.CaughtUp(learner.GetId()) || hasName(state.Configuration.GetVoters(), learner.GetName()) {
			continue
		}
		next := without(state.Configuration, learner.GetId())
		next.Voters = append(next.Voters, learner)
		return next
	}
	return nil
}

// removeSilentVoter removes a silent voter if a learner can replace it. Without one, the silent
// voter may still come back.
func removeSilentVoter(state ClusterState) *wire.Configuration {
	if state.Silent == nil || !hasPromotableLearner(state) {
		return nil
	}
	for _, voter := range state.Configuration.GetVoters() {
		if voter.GetId() != state.Leader && state.Silent(voter.GetId()) {
			return without(state.Configuration, voter.GetId())
		}
	}
	return nil
}

// hasPromotableLearner reports whether a learner could be promoted if a vote were free.
func hasPromotableLearner(state ClusterState) bool {
	return slices.ContainsFunc(state.Configuration.GetLearners(), func(l *wire.Member) bool {
		return state.CaughtUp(l.GetId()) && isJoining(state, l.GetId()) && !state.Silent(l.GetId()) &&
			!hasName(state.Configuration.GetVoters(), l.GetName())
	})
}

// removeSilentLearner removes a learner that is silent and no longer requests to join.
func removeSilentLearner(state ClusterState) *wire.Configuration {
	if state.Silent == nil {
		return nil
	}
	for _, l := range state.Configuration.GetLearners() {
		if state.Silent(l.GetId()) && !isJoining(state, l.GetId()) {
			return without(state.Configuration, l.GetId())
		}
	}
	return nil
}

func addLearner(state ClusterState) *wire.Configuration {
	for _, m := range state.Joining {
		if !state.Admitted(m.GetName()) || hasID(members(state.Configuration), m.GetId()) {
			continue
		}
		next := proto.CloneOf(state.Configuration)
		// An earlier incarnation that never became a voter is obsolete.
		next.Learners = slices.DeleteFunc(next.GetLearners(), func(l *wire.Member) bool {
			return l.GetName() == m.GetName()
		})
		next.Learners = append(next.Learners, m)
		return next
	}
	return nil
}

func isJoining(state ClusterState, id string) bool { return hasID(state.Joining, id) }

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
	matches := func(m *wire.Member) bool { return m.GetId() == id }
	next.Voters = slices.DeleteFunc(next.GetVoters(), matches)
	next.Learners = slices.DeleteFunc(next.GetLearners(), matches)
	return next
}
