package keeper

import (
	"slices"
	"strings"
	"time"

	"bronzelead.example/pkg/recruiter"
	"bronzelead.example/pkg/replicator"
	"bronzelead.example/pkg/wire"
)

// Join notes a member that asks to take part.
func (k *Keeper) Join(m *wire.Member) {
	k.request(func(now time.Time) {
		k.joined[m.GetName()] = joinedMember{member: m, at: now}
	})
}

// recruit proposes the next change of members, if this instance leads.
func (k *Keeper) recruit() {
	admission := k.Admission()
	if k.Replicator.Role() != replicator.Leader || admission == nil || admission.Applied < k.Replicator.TermStart() {
		// A state that lags behind could take a member for one that was removed.
		return
	}
	now := k.Clock.Now()
	name, _, _ := strings.Cut(k.Replicator.ID, "/")
	if !slices.Contains(admission.Names, name) {
		// A leader can't remove itself; its successor does.
		if err := k.Replicator.Transfer(now); err == nil {
			k.Log.Info("this instance is no member any more, and hands leadership over")
		}
		return
	}
	var joining []*wire.Member
	for name, j := range k.joined {
		if now.Sub(j.at) > joinRemember {
			delete(k.joined, name)
			continue
		}
		joining = append(joining, j.member)
	}
	next := recruiter.Next(recruiter.Facts{
		Configuration: k.Replicator.Configuration(),
		Joining:       joining,
		Admitted:      func(name string) bool { return slices.Contains(admission.Names, name) },
		CaughtUp:      k.Replicator.CaughtUp,
		Leader:        k.Replicator.ID,
	})
	if next == nil {
		return
	}
	if _, err := k.Replicator.ChangeMembers(next); err == nil {
		k.Log.Info("the members change", "Voters", len(next.GetVoters()), "Learners", len(next.GetLearners()))
	}
}
