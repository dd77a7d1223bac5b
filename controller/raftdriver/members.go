package raftdriver

import (
	"slices"
	"strings"
	"time"

	"bronzelead.example/pkg/membershipplanner"
	"bronzelead.example/pkg/replicator"
	"bronzelead.example/pkg/wire"
)

// Join notes a member that asks to take part.
func (k *Driver) Join(m *wire.Member) {
	k.request(func(now time.Time) {
		k.joined[m.GetName()] = joinedMember{member: m, at: now}
	})
}

// recruit proposes the next change of members, if this instance leads.
func (k *Driver) recruit() {
	if k.Replicator.Role() != replicator.Leader {
		return
	}
	admitted, ok := k.admitted()
	if !ok {
		return
	}
	now := k.Clock.Now()
	name, _, _ := strings.Cut(k.Replicator.ID, "/")
	if !admitted(name) {
		// A leader can't remove itself; its successor does.
		if err := k.Replicator.Transfer(now); err == nil {
			k.Log.Info("this instance is no member any more, and hands leadership over")
		}
		return
	}
	facts := membershipplanner.ClusterState{
		Configuration: k.Replicator.Configuration(),
		Joining:       k.joining(now),
		Admitted:      admitted,
		CaughtUp:      k.Replicator.CaughtUp,
		Leader:        k.Replicator.ID,
		MaxVoters:     k.MaxVoters,
	}
	if k.SilentAfter > 0 {
		facts.Silent = func(id string) bool { return now.Sub(k.Replicator.LastContact(id)) > k.SilentAfter }
	}
	next := membershipplanner.NextConfiguration(facts)
	if next == nil {
		return
	}
	if _, err := k.Replicator.ChangeMembers(next); err == nil {
		k.Log.Info("the members change", "Voters", ids(next.GetVoters()), "Learners", ids(next.GetLearners()))
	}
}

// admitted returns who may be a member, or false while that is not known.
func (k *Driver) admitted() (func(name string) bool, bool) {
	if k.OpenMembership {
		return func(string) bool { return true }, true
	}
	admission := k.Admission()
	if admission == nil || admission.Applied < k.Replicator.TermStart() {
		// A state that lags behind could take a member for one that was removed.
		return nil, false
	}
	return func(name string) bool { return slices.Contains(admission.Names, name) }, true
}

// joining returns the members that have lately asked to take part.
func (k *Driver) joining(now time.Time) []*wire.Member {
	var joining []*wire.Member
	for name, j := range k.joined {
		if now.Sub(j.at) > joinRemember {
			delete(k.joined, name)
			continue
		}
		joining = append(joining, j.member)
	}
	return joining
}

func ids(members []*wire.Member) []string {
	list := make([]string, len(members))
	for i, m := range members {
		list[i] = m.GetId()
	}
	return list
}
