package disseminator

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

// follower is a gateway that asks this one for news.
type follower struct {
	entry   *wire.GatewayEntry
	members []*wire.GatewayEntry
	// membersRevision is the number of the list of members that it sent.
	membersRevision uint64
	loads           []*wire.Load
	seen            time.Time
	// answered is when it was last told of news.
	answered time.Time
	// wants are the adapters that its requests wait for, and when it said so last; urgent
	// is set once one of them is there.
	wants  map[string]time.Time
	urgent bool
	// declined are adapters that it asked for and that it is to be told do not come.
	declined []string
}

// ObserveFollower takes a follower's call.
func (s *Disseminator) ObserveFollower(now time.Time, req *wire.SyncRequest) {
	f := s.followers[req.GetGateway()]
	if f == nil {
		f = &follower{wants: map[string]time.Time{}}
		s.followers[req.GetGateway()] = f
	}
	f.seen = now
	s.inside.Remove(f.loads)
	f.loads = req.GetLoads()
	s.inside.Add(f.loads)
	isNew := f.entry.GetAddress() != req.GetAddress() || f.entry.GetZone() != req.GetZone()
	f.entry = &wire.GatewayEntry{Address: req.GetAddress(), Zone: req.GetZone()}
	if len(req.GetMembers()) > 0 || req.GetMembersRevision() == 0 {
		isNew = isNew || f.membersRevision != req.GetMembersRevision()
		f.members, f.membersRevision = req.GetMembers(), req.GetMembersRevision()
	}
	if isNew {
		s.countMembers()
	}
}

// ObserveWants notes that a follower's requests wait for adapters.
func (s *Disseminator) ObserveWants(now time.Time, gateway string, wants []*wire.Want) {
	f := s.followers[gateway]
	if f == nil {
		return
	}
	for _, w := range wants {
		f.wants[w.GetAdapter()] = now
	}
}

// Tick forgets followers that have not called for long.
func (s *Disseminator) Tick(now time.Time) {
	for name, f := range s.followers {
		if now.Sub(f.seen) > FollowerLease {
			s.inside.Remove(f.loads)
			delete(s.followers, name)
			s.countMembers()
			continue
		}
		for adapter, said := range f.wants {
			if now.Sub(said) > wantLease {
				delete(f.wants, adapter)
			}
		}
	}
}

// countMembers makes the list of members anew.
func (s *Disseminator) countMembers() {
	byAddress := map[string]*wire.GatewayEntry{}
	for _, f := range s.followers {
		for _, g := range append([]*wire.GatewayEntry{f.entry}, f.members...) {
			if g.GetAddress() != "" && g.GetAddress() != s.Self.GetAddress() {
				byAddress[g.GetAddress()] = g
			}
		}
	}
	s.members, s.membersRevision = SortedGateways(byAddress), 0
	if len(s.members) > 0 {
		s.membersRevision = GatewaysRevision(s.members)
	}
}

// SortedGateways returns gateways in the order of their addresses.
func SortedGateways(byAddress map[string]*wire.GatewayEntry) []*wire.GatewayEntry {
	list := make([]*wire.GatewayEntry, 0, len(byAddress))
	for _, g := range byAddress {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *wire.GatewayEntry) int { return cmp.Compare(a.GetAddress(), b.GetAddress()) })
	return list
}

// Members returns the followers and theirs, with a number that differs between two lists;
// 0 is the empty one.
func (s *Disseminator) Members() ([]*wire.GatewayEntry, uint64) { return s.members, s.membersRevision }

// Loads returns the loads of this gateway and of its followers together.
func (s *Disseminator) Loads(own []*wire.Load) []*wire.Load {
	if len(s.followers) == 0 {
		return own
	}
	return s.inside.With(own)
}

// decline notes that adapters do not come in time, for the followers that asked for them.
func (s *Disseminator) decline(adapters []string) {
	for _, adapter := range adapters {
		for _, f := range s.followers {
			if _, ok := f.wants[adapter]; ok {
				f.declined = append(f.declined, adapter)
				delete(f.wants, adapter)
			}
		}
	}
}

// wake marks the followers whose requests wait for adapters that have come.
func (s *Disseminator) wake(now time.Time, engines []string) {
	for _, f := range s.followers {
		if len(f.wants) == 0 {
			continue
		}
		for _, backend := range engines {
			for qualified := range s.holdings.engines[backend] {
				adapter := unversioned(qualified)
				if said, ok := f.wants[adapter]; ok {
					f.urgent = f.urgent || now.Sub(said) < wantLease
					delete(f.wants, adapter)
				}
			}
		}
	}
}

// Due reports whether a follower's call is to be answered before its wait is over.
func (s *Disseminator) Due(now time.Time, req *wire.SyncRequest) bool {
	f := s.followers[req.GetGateway()]
	if s.hasUrgentNews(req) || f != nil && len(f.declined) > 0 {
		return true
	}
	if req.GetHoldingRevision() >= s.holdings.Revision() {
		return false
	}
	return f == nil || f.urgent || now.Sub(f.answered) >= tellEvery
}

// hasUrgentNews reports whether there is something that all gateways must know soon.
func (s *Disseminator) hasUrgentNews(req *wire.SyncRequest) bool {
	return req.GetEpoch() != s.Epoch || req.GetAnnouncementRevision() != s.announcing ||
		req.GetVersionRevision() != s.versionSum || req.GetTableVersion() < s.table.GetVersion() ||
		req.GetSuspectsRevision() < s.suspectsRevision && (req.GetSuspectsRevision() != 0 || len(s.suspects) > 0)
}

// Answer returns what a follower is told. Own are the loads of this gateway itself.
func (s *Disseminator) Answer(now time.Time, req *wire.SyncRequest, own []*wire.Load) *wire.SyncResponse {
	res := &wire.SyncResponse{
		Epoch: s.Epoch, AnnouncementRevision: s.announcing, VersionRevision: s.versionSum, TableVersion: s.table.GetVersion(),
		ControllersRevision: s.controllersRevision, Gateways: s.gatewayCount, GatewaysRevision: s.gatewaysRevision,
		Leads: s.term > 0 && s.LeaderAge(now) < leaderLease, Term: s.term,
		ContactAgeMs: ageMs(s.ContactAge(now)), LeaderAgeMs: ageMs(s.LeaderAge(now)),
	}
	if f := s.followers[req.GetGateway()]; f != nil {
		f.answered, f.urgent = now, false
		res.MembersRevision = f.membersRevision
		res.Declined, f.declined = f.declined, nil
		res.Loads, res.HasLoads = s.loadsFor(f, own), res.GetLeads()
	}
	since := req.GetAnnouncementRevision()
	if req.GetEpoch() != s.Epoch {
		since = 0
	}
	res.Announcements = s.announcedSince(since)
	if req.GetVersionRevision() != s.versionSum {
		for _, v := range s.versions {
			res.Versions = append(res.Versions, v)
		}
	}
	res.SuspectsRevision = s.suspectsRevision
	if req.GetSuspectsRevision() < s.suspectsRevision {
		res.Suspects = s.suspects
	}
	if req.GetWantTable() && s.table.GetVersion() > req.GetTableVersion() {
		res.Table = s.table
	}
	if req.GetControllersRevision() != s.controllersRevision {
		res.Controllers = s.controllers
	}
	if req.GetGatewaysRevision() != s.gatewaysRevision {
		res.GatewayList = s.gateways
	}
	res.Holdings, res.HoldingsSince = s.holdings.Since(req.GetHoldingRevision())
	res.HoldingRevision = max(req.GetHoldingRevision(), s.holdings.Revision())
	return res
}

// ageMs returns an age for the wire; one that is not known is the highest.
func ageMs(age time.Duration) uint32 {
	const most = 1 << 31
	return uint32(min(max(0, age.Milliseconds()), most))
}

func (s *Disseminator) announcedSince(revision uint64) []*wire.Announcement {
	if revision >= s.announcing {
		return nil
	}
	var changed []*announced
	for _, a := range s.announcements {
		if a.revision > revision {
			changed = append(changed, a)
		}
	}
	slices.SortFunc(changed, func(a, b *announced) int { return cmp.Compare(a.revision, b.revision) })
	list := make([]*wire.Announcement, len(changed))
	for i, a := range changed {
		list[i] = a.info
	}
	return list
}

// loadsFor returns the loads of all gateways but a follower and those that follow it.
func (s *Disseminator) loadsFor(f *follower, own []*wire.Load) []*wire.Load {
	total := make(map[string]uint32, len(s.outside))
	for backend, n := range s.outside {
		total[backend] = n
	}
	for _, l := range own {
		total[l.GetBackend()] += l.GetRequests()
	}
	s.inside.Each(func(backend string, n uint32, _ map[string]int) { total[backend] += n })
	for _, l := range f.loads {
		total[l.GetBackend()] -= l.GetRequests()
	}
	loads := make([]*wire.Load, 0, len(total))
	for backend, n := range total {
		if n > 0 {
			loads = append(loads, &wire.Load{Backend: backend, Requests: n})
		}
	}
	return loads
}
