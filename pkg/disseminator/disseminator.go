// Package spreader keeps what a gateway knows of the system and decides what it tells the
// gateways that follow it, and what it tells upwards of them. It is pure: answers and
// calls of others go in with the time, answers come out.
//
// Loads, demand and uses are added up on the way up, so that a controller hears of a zone
// from a few gateways. On the way down only what has changed is told. The revisions are
// those of the leader, so that a gateway may go on with any other one that knows as much.
package disseminator

import (
	"hash/fnv"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

const (
	// FollowerLease is how long a follower's loads count after its last call: a few calls
	// of 150 ms each.
	FollowerLease = 700 * time.Millisecond
	// tellEvery is the least time between two answers to one follower that only tell where
	// adapters are, unless its requests wait for one of them. It is a small part of the time
	// of a load, and keeps an instance with 16 followers below 2% of a core.
	tellEvery = 50 * time.Millisecond
	// leaderLease is how long a leader's word is passed on as one: longer than a change of
	// leaders takes.
	leaderLease = 2 * time.Second
	// wantLease is how long a follower is told at once of an adapter that it asked for.
	wantLease = 3 * time.Second
	// maxGone bounds the backend servers that have left and are still told of, so that
	// nobody who is behind keeps them.
	maxGone = 4096
)

// Disseminator holds what one gateway knows. Set the exported fields, then call Init.
type Disseminator struct {
	Self *wire.GatewayEntry
	// Epoch differs from that of any other process, and of any other start of this one.
	Epoch uint64

	holdings      *Holdings
	announcements map[string]*announced
	// announcing is the revision of the latest change of the announcements.
	announcing uint64
	gone       int
	versions   map[string]*wire.AdapterVersion
	versionSum uint64
	// suspects are the leader's list with that number; a higher number is later.
	suspects         []*wire.Suspect
	suspectsRevision uint64
	table            *wire.RoutingTable

	controllers         []string
	controllersRevision uint64
	gateways            []*wire.GatewayEntry
	gatewaysRevision    uint64
	gatewayCount        uint32

	// term is that of the leader that was heard last, whose word is as of leaderAt;
	// contactAt is when any controller was heard.
	term      uint64
	leaderAt  time.Time
	contactAt time.Time
	// outside are the loads of all gateways but this one and its followers.
	outside map[string]uint32
	// inside are the loads of the followers.
	inside    *LoadTotals
	followers map[string]*follower
	// members are the followers, and theirs.
	members         []*wire.GatewayEntry
	membersRevision uint64
}

type announced struct {
	info     *wire.Announcement
	revision uint64
}

// Init prepares the spreader for use.
func (s *Disseminator) Init() {
	s.holdings = NewHoldings()
	s.announcements = map[string]*announced{}
	s.versions = map[string]*wire.AdapterVersion{}
	s.outside = map[string]uint32{}
	s.inside = NewLoadTotals()
	s.followers = map[string]*follower{}
}

// SuspectsRevision returns the number of the list of suspects that is known, 0 for none.
func (s *Disseminator) SuspectsRevision() uint64 { return s.suspectsRevision }

func (s *Disseminator) hearSuspects(res *wire.SyncResponse) {
	if res.GetSuspectsRevision() > s.suspectsRevision {
		s.suspects, s.suspectsRevision = res.GetSuspects(), res.GetSuspectsRevision()
	}
}

// HoldingRevision returns up to which revision the holdings are known.
func (s *Disseminator) HoldingRevision() uint64 { return s.holdings.Revision() }

// Gateways returns all gateways, by the word of the leader.
func (s *Disseminator) Gateways() []*wire.GatewayEntry { return s.gateways }

// Controllers returns the addresses of all controllers that were told of.
func (s *Disseminator) Controllers() []string { return s.controllers }

// ContactAge returns how long ago any controller was heard, directly or through others.
func (s *Disseminator) ContactAge(now time.Time) time.Duration { return now.Sub(s.contactAt) }

// LeaderAge returns how old the leader's word is that is known.
func (s *Disseminator) LeaderAge(now time.Time) time.Duration { return now.Sub(s.leaderAt) }

// Receive takes an answer of a controller or of another gateway. It returns the same answer
// with whole holdings in place of differences, and those of backend servers that it tells
// of for the first time. It reports false if a difference left a gap: then everything has
// to be asked for.
func (s *Disseminator) Receive(now time.Time, res *wire.SyncResponse) (*wire.SyncResponse, bool) {
	s.contactAt = latest(s.contactAt, now.Add(-milliseconds(res.GetContactAgeMs())))
	news := withoutHoldings(res)
	changed := s.hearAnnouncements(res.GetAnnouncements())
	for _, v := range res.GetVersions() {
		s.hearVersion(v)
	}
	if t := res.GetTable(); t.GetVersion() > s.table.GetVersion() {
		s.table = t
	}
	if list := res.GetControllers(); len(list) > 0 {
		s.controllers, s.controllersRevision = list, ListRevision(list)
	}
	s.hearGateways(res)
	whole := true
	if res.GetLeads() && res.GetTerm() >= s.term {
		s.term = res.GetTerm()
		s.leaderAt = latest(s.leaderAt, now.Add(-milliseconds(res.GetLeaderAgeMs())))
		var engines []string
		engines, whole = s.holdings.Apply(res.GetHoldingRevision(), res.GetHoldingsSince(), res.GetHoldings())
		s.wake(now, engines)
		s.decline(res.GetDeclined())
		s.hearSuspects(res)
		changed = append(changed, engines...)
		s.hearLoads(res)
	} else {
		news.Leads, news.HasLoads, news.Loads = false, false, nil
	}
	news.Term = s.holdings.Term()
	news.Holdings = s.wholeOf(changed)
	return news, whole
}

func withoutHoldings(res *wire.SyncResponse) *wire.SyncResponse {
	return &wire.SyncResponse{
		Epoch: res.GetEpoch(), Table: res.GetTable(), TableVersion: res.GetTableVersion(), Announcements: res.GetAnnouncements(),
		Versions: res.GetVersions(), Leads: res.GetLeads(), Term: res.GetTerm(), Loads: res.GetLoads(), HasLoads: res.GetHasLoads(),
		Gateways: res.GetGateways(), GatewayList: res.GetGatewayList(), GatewaysRevision: res.GetGatewaysRevision(),
		Declined: res.GetDeclined(), Suspects: res.GetSuspects(), SuspectsRevision: res.GetSuspectsRevision(),
		RequestLimits: res.GetRequestLimits(),
	}
}

// hearAnnouncements takes announcements and returns the backend servers that are new.
func (s *Disseminator) hearAnnouncements(list []*wire.Announcement) []string {
	var fresh []string
	for _, a := range list {
		known := s.announcements[a.GetId()]
		switch {
		case a.GetId() == "":
			continue
		case known == nil:
			known = &announced{}
			s.announcements[a.GetId()] = known
			fresh = append(fresh, a.GetId())
		case a.GetSequence() < known.info.GetSequence() || proto.Equal(a, known.info):
			continue
		}
		if a.GetGone() && !known.info.GetGone() {
			s.gone++
			s.holdings.Drop(a.GetId())
		}
		s.announcing++
		known.info, known.revision = a, s.announcing
	}
	s.forgetGone()
	return fresh
}

// forgetGone forgets the backend servers that left first, when there are too many.
func (s *Disseminator) forgetGone() {
	if s.gone <= maxGone {
		return
	}
	var revisions []uint64
	for _, a := range s.announcements {
		if a.info.GetGone() {
			revisions = append(revisions, a.revision)
		}
	}
	slices.Sort(revisions)
	limit := revisions[len(revisions)/2]
	for id, a := range s.announcements {
		if a.info.GetGone() && a.revision <= limit {
			delete(s.announcements, id)
			s.gone--
		}
	}
}

func (s *Disseminator) hearVersion(v *wire.AdapterVersion) {
	key := v.GetModel() + "/" + v.GetAdapter()
	if known := s.versions[key]; v.GetVersion() > known.GetVersion() {
		s.versionSum += v.GetVersion() - known.GetVersion()
		s.versions[key] = v
	}
}

// hearGateways takes the list of gateways of a leader, or of anybody before one is known.
func (s *Disseminator) hearGateways(res *wire.SyncResponse) {
	fromLeader := res.GetLeads() && res.GetTerm() >= s.term
	if list := res.GetGatewayList(); len(list) > 0 && (fromLeader || s.term == 0) {
		s.gateways, s.gatewaysRevision = list, res.GetGatewaysRevision()
	}
	if fromLeader {
		s.gatewayCount = res.GetGateways()
	}
}

func (s *Disseminator) hearLoads(res *wire.SyncResponse) {
	if !res.GetHasLoads() {
		return
	}
	clear(s.outside)
	for _, l := range res.GetLoads() {
		s.outside[l.GetBackend()] = l.GetRequests()
	}
}

// wholeOf returns all that engines hold of which something is known.
func (s *Disseminator) wholeOf(engines []string) []*wire.Holding {
	var list []*wire.Holding
	told := map[string]bool{}
	for _, backend := range engines {
		held, known := s.holdings.Get(backend)
		if known && !told[backend] {
			list = append(list, &wire.Holding{Backend: backend, Adapters: held})
		}
		told[backend] = true
	}
	return list
}

// ListRevision returns a number that differs between two lists of texts.
func ListRevision(list []string) uint64 {
	sum := fnv.New64a()
	for _, text := range list {
		_, _ = sum.Write([]byte(text + "\n"))
	}
	return sum.Sum64()
}

// GatewaysRevision returns a number that differs between two lists of gateways.
func GatewaysRevision(list []*wire.GatewayEntry) uint64 {
	texts := make([]string, 0, len(list))
	for _, g := range list {
		texts = append(texts, g.GetAddress()+" "+g.GetZone())
	}
	return ListRevision(texts)
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
