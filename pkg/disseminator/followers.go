package disseminator

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

// follower is a gateway that receives its updates from this one.
type follower struct {
	entry   *wire.GatewayEntry
	members []*wire.GatewayEntry
	// membersRevision is the revision of the member list that it sent.
	membersRevision uint64
	loads           []*wire.Load
	lastCallAt      time.Time
	// answeredAt is when it was last sent an update.
	answeredAt time.Time
	// wants are the adapters that its requests wait for, with the time of its last request for
	// them; urgent is set once one of them is loaded.
	wants  map[string]time.Time
	urgent bool
	// declined are adapters that it requested and that will not be loaded in time, not yet
	// reported to it.
	declined []string
}

// ObserveFollower records a follower's call.
func (d *Disseminator) ObserveFollower(now time.Time, req *wire.SyncRequest) {
	f := d.followers[req.GetGateway()]
	if f == nil {
		f = &follower{wants: map[string]time.Time{}}
		d.followers[req.GetGateway()] = f
	}
	f.lastCallAt = now
	d.followerLoads.Remove(f.loads)
	d.allLoads.Remove(f.loads)
	f.loads = req.GetLoads()
	d.followerLoads.Add(now, f.loads)
	d.allLoads.Add(now, f.loads)
	isNew := f.entry.GetAddress() != req.GetAddress() || f.entry.GetZone() != req.GetZone()
	f.entry = &wire.GatewayEntry{Address: req.GetAddress(), Zone: req.GetZone()}
	if len(req.GetMembers()) > 0 || req.GetMembersRevision() == 0 {
		isNew = isNew || f.membersRevision != req.GetMembersRevision()
		f.members, f.membersRevision = req.GetMembers(), req.GetMembersRevision()
	}
	if isNew {
		d.rebuildMembers()
	}
}

// ObserveWants records that a follower's requests wait for adapters.
func (d *Disseminator) ObserveWants(now time.Time, gateway string, wants []*wire.Want) {
	f := d.followers[gateway]
	if f == nil {
		return
	}
	for _, w := range wants {
		// Nothing waits for a spare replica, so that a decline does not concern it.
		if !w.GetSpare() {
			f.wants[w.GetAdapter()] = now
		}
	}
}

// Tick removes followers whose lease has expired, and figures that are too old.
func (d *Disseminator) Tick(now time.Time) {
	d.followerLoads.prune(now)
	d.allLoads.prune(now)
	for name, f := range d.followers {
		if now.Sub(f.lastCallAt) > FollowerLease {
			d.followerLoads.Remove(f.loads)
			d.allLoads.Remove(f.loads)
			delete(d.followers, name)
			d.rebuildMembers()
			continue
		}
		for adapter, at := range f.wants {
			if now.Sub(at) > wantLease {
				delete(f.wants, adapter)
			}
		}
	}
}

// rebuildMembers rebuilds the list of members.
func (d *Disseminator) rebuildMembers() {
	byAddress := map[string]*wire.GatewayEntry{}
	for _, f := range d.followers {
		for _, g := range append([]*wire.GatewayEntry{f.entry}, f.members...) {
			if g.GetAddress() != "" && g.GetAddress() != d.Self.GetAddress() {
				byAddress[g.GetAddress()] = g
			}
		}
	}
	d.members, d.membersRevision = SortedGateways(byAddress), 0
	if len(d.members) > 0 {
		d.membersRevision = GatewaysRevision(d.members)
	}
}

// SortedGateways returns gateways sorted by address.
func SortedGateways(byAddress map[string]*wire.GatewayEntry) []*wire.GatewayEntry {
	list := make([]*wire.GatewayEntry, 0, len(byAddress))
	for _, g := range byAddress {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *wire.GatewayEntry) int { return cmp.Compare(a.GetAddress(), b.GetAddress()) })
	return list
}

// Members returns the followers and theirs, with a revision that differs between two lists; 0
// is the empty one.
func (d *Disseminator) Members() ([]*wire.GatewayEntry, uint64) { return d.members, d.membersRevision }

// Loads returns the loads of this gateway and of its followers together.
func (d *Disseminator) Loads(now time.Time, own []*wire.Load) []*wire.Load {
	if len(d.followers) == 0 {
		return own
	}
	return d.followerLoads.With(now, own)
}

// markDeclined records adapters that will not be loaded in time, for the followers that
// requested them.
func (d *Disseminator) markDeclined(adapters []string) {
	for _, adapter := range adapters {
		for _, f := range d.followers {
			if _, ok := f.wants[adapter]; ok {
				f.declined = append(f.declined, adapter)
				delete(f.wants, adapter)
			}
		}
	}
}

// markUrgent marks the followers whose requests wait for adapters that are now loaded.
func (d *Disseminator) markUrgent(now time.Time, engines []string) {
	for _, f := range d.followers {
		if len(f.wants) == 0 {
			continue
		}
		for _, backend := range engines {
			for qualified := range d.holdings.engines[backend] {
				adapter := unversioned(qualified)
				if at, ok := f.wants[adapter]; ok {
					f.urgent = f.urgent || now.Sub(at) < wantLease
					delete(f.wants, adapter)
				}
			}
		}
	}
}

// Due reports whether a follower's call is to be answered before its wait is over.
func (d *Disseminator) Due(now time.Time, req *wire.SyncRequest) bool {
	f := d.followers[req.GetGateway()]
	if d.hasUrgentUpdate(req) || f != nil && len(f.declined) > 0 {
		return true
	}
	if req.GetHoldingRevision() >= d.holdings.Revision() {
		return false
	}
	return f == nil || f.urgent || now.Sub(f.answeredAt) >= holdingsInterval
}

// hasUrgentUpdate reports whether there is something that all gateways must know soon.
func (d *Disseminator) hasUrgentUpdate(req *wire.SyncRequest) bool {
	return req.GetEpoch() != d.Epoch || req.GetAnnouncementRevision() != d.announcementRevision ||
		req.GetVersionRevision() != d.versionSum || max(req.GetTableVersion(), req.GetAnnouncedTableVersion()) < d.table.GetVersion() ||
		req.GetSuspectsRevision() < d.suspectsRevision && (req.GetSuspectsRevision() != 0 || len(d.suspects) > 0)
}

// Answer returns the update for a follower; own are the loads of this gateway itself.
func (d *Disseminator) Answer(now time.Time, req *wire.SyncRequest, own []*wire.Load) *wire.SyncResponse {
	res := &wire.SyncResponse{
		Epoch: d.Epoch, AnnouncementRevision: d.announcementRevision, VersionRevision: d.versionSum, TableVersion: d.table.GetVersion(),
		ControllersRevision: d.controllersRevision, Gateways: d.gatewayCount, GatewaysRevision: d.gatewaysRevision,
		Leads: d.term > 0 && d.LeaderAge(now) < leaderLease, Term: d.term,
		ContactAgeMs: ageMs(d.ContactAge(now)), LeaderAgeMs: ageMs(d.LeaderAge(now)),
	}
	if res.GetLeads() {
		res.ObservedMs, res.EarlierVersions = ageMs(now.Sub(d.observedSince)), d.earlierVersions
	}
	if f := d.followers[req.GetGateway()]; f != nil {
		f.answeredAt, f.urgent = now, false
		res.MembersRevision = f.membersRevision
		res.Declined, f.declined = f.declined, nil
		res.Loads, res.HasLoads = d.loadsFor(now, f, own), res.GetLeads()
	}
	since := req.GetAnnouncementRevision()
	if req.GetEpoch() != d.Epoch {
		since = 0
	}
	res.Announcements = d.announcedSince(since)
	if req.GetVersionRevision() != d.versionSum {
		for _, v := range d.versions {
			res.Versions = append(res.Versions, v)
		}
	}
	res.SuspectsRevision = d.suspectsRevision
	if req.GetSuspectsRevision() < d.suspectsRevision {
		res.Suspects = d.suspects
	}
	if req.GetWantTable() && d.table.GetVersion() > req.GetTableVersion() {
		res.Table = d.table
	}
	if req.GetControllersRevision() != d.controllersRevision {
		res.Controllers = d.controllers
	}
	if req.GetGatewaysRevision() != d.gatewaysRevision {
		res.GatewayList = d.gateways
	}
	res.Holdings, res.HoldingsSince = d.holdings.Since(req.GetHoldingRevision())
	res.HoldingRevision = max(req.GetHoldingRevision(), d.holdings.Revision())
	return res
}

// ageMs returns an age for the wire; an unknown one is capped at the maximum.
func ageMs(age time.Duration) uint32 {
	const maxAgeMs = 1 << 31
	return uint32(min(max(0, age.Milliseconds()), maxAgeMs))
}

func (d *Disseminator) announcedSince(revision uint64) []*wire.Announcement {
	if revision >= d.announcementRevision {
		return nil
	}
	var changed []*announcementEntry
	for _, a := range d.announcements {
		if a.revision > revision {
			changed = append(changed, a)
		}
	}
	slices.SortFunc(changed, func(a, b *announcementEntry) int { return cmp.Compare(a.revision, b.revision) })
	list := make([]*wire.Announcement, len(changed))
	for i, a := range changed {
		list[i] = a.info
	}
	return list
}

// loadsFor returns the loads of all gateways except a follower and its own followers.
func (d *Disseminator) loadsFor(now time.Time, f *follower, own []*wire.Load) []*wire.Load {
	d.allLoads.Add(now, own)
	defer d.allLoads.Remove(own)
	return d.allLoads.Without(now, f.loads)
}
