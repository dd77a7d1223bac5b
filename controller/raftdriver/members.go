package raftdriver

import (
	"slices"
	"strings"
	"time"

	"bronzelead.example/pkg/membershipplanner"
	"bronzelead.example/pkg/replicator"
	"bronzelead.example/pkg/wire"
)

// Join records a member's request to join.
func (d *Driver) Join(m *wire.Member) {
	d.enqueue(func(now time.Time) {
		d.joinRequests[m.GetName()] = joinRequest{member: m, at: now}
	})
}

// proposeMembership proposes the next change of members, if this instance leads.
func (d *Driver) proposeMembership() {
	if d.Replicator.Role() != replicator.Leader {
		return
	}
	admitted, ok := d.admitted()
	if !ok {
		return
	}
	now := d.Clock.Now()
	name, _, _ := strings.Cut(d.Replicator.ID, "/")
	if !admitted(name) {
		// A leader can't remove itself; its successor removes it.
		if err := d.Replicator.Transfer(now); err == nil {
			d.Log.Info("this instance is no longer admitted; transferring leadership")
		}
		return
	}
	facts := membershipplanner.ClusterState{
		Configuration: d.Replicator.Configuration(),
		Joining:       d.joining(now),
		Admitted:      admitted,
		CaughtUp:      d.Replicator.CaughtUp,
		Leader:        d.Replicator.ID,
		MaxVoters:     d.MaxVoters,
	}
	if d.SilentAfter > 0 {
		facts.Silent = func(id string) bool { return now.Sub(d.Replicator.LastContact(id)) > d.SilentAfter }
	}
	next := membershipplanner.NextConfiguration(facts)
	if next == nil {
		return
	}
	if _, err := d.Replicator.ChangeMembers(next); err == nil {
		d.Log.Info("proposed a membership change", "Voters", memberIDs(next.GetVoters()), "Learners", memberIDs(next.GetLearners()))
	}
}

// admitted returns which names may be members, or false while that is unknown.
func (d *Driver) admitted() (func(name string) bool, bool) {
	if d.OpenMembership {
		return func(string) bool { return true }, true
	}
	admission := d.Admission()
	if admission == nil || admission.Applied < d.Replicator.TermStart() {
		// In a state that lags behind, an admitted member could look like a removed one.
		return nil, false
	}
	return func(name string) bool { return slices.Contains(admission.Names, name) }, true
}

// joining returns the members that have recently requested to join.
func (d *Driver) joining(now time.Time) []*wire.Member {
	var joining []*wire.Member
	for name, j := range d.joinRequests {
		if now.Sub(j.at) > joinRetention {
			delete(d.joinRequests, name)
			continue
		}
		joining = append(joining, j.member)
	}
	return joining
}

func memberIDs(members []*wire.Member) []string {
	list := make([]string, len(members))
	for i, m := range members {
		list[i] = m.GetId()
	}
	return list
}
