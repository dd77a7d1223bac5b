// Package disseminator keeps a gateway's view of the system and decides what it sends to the
// gateways that follow it, and what it reports upwards about them. It is pure: responses and
// calls of others go in with the time, responses come out.
//
// Loads, demand and uses are aggregated on the way up, so that a controller receives those of a
// zone from a few gateways. On the way down only changes are sent. The revisions are those of
// the leader, so that a gateway can switch to any other one that is as up to date.
package disseminator

import (
	"hash/fnv"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

const (
	// FollowerLease is how long a follower's loads count after its last call: a few calls of
	// 150 ms each.
	FollowerLease = 700 * time.Millisecond
	// holdingsInterval is the minimum time between two answers to one follower that contain
	// only holdings, unless its requests wait for one of them. It is a small part of the time
	// of a load, and keeps an instance with 16 followers below 2% of a core.
	holdingsInterval = 50 * time.Millisecond
	// leaderLease is how long a leader's state is forwarded as current: longer than a change of
	// leaders takes.
	leaderLease = 2 * time.Second
	// wantLease is how long a follower is notified immediately of an adapter that it requested.
	wantLease = 3 * time.Second
	// maxDeparted bounds the departed backend servers that are still announced, so that
	// gateways that lag behind drop them too.
	maxDeparted = 4096
)

// Disseminator holds one gateway's view. Set the exported fields, then call Init.
type Disseminator struct {
	Self *wire.GatewayEntry
	// Epoch differs between any two processes, also between incarnations of this one.
	Epoch uint64

	holdings      *Holdings
	announcements map[string]*announcementEntry
	// announcementRevision is the revision of the latest change of the announcements.
	announcementRevision uint64
	departed             int
	versions             map[string]*wire.AdapterVersion
	versionSum           uint64
	// suspects are the leader's list at suspectsRevision; a higher revision is later.
	suspects         []*wire.Suspect
	suspectsRevision uint64
	table            *wire.RoutingTable

	controllers         []string
	controllersRevision uint64
	gateways            []*wire.GatewayEntry
	gatewaysRevision    uint64
	gatewayCount        uint32

	// term is that of the last known leader, whose state is as of leaderAt; contactAt is when
	// any controller last answered.
	term      uint64
	leaderAt  time.Time
	contactAt time.Time
	// observedSince is since when the leader knows all software versions of backend servers.
	observedSince time.Time
	// earlierVersions are the software versions that no backend server has which the leader knows.
	earlierVersions []*wire.SoftwareVersion
	// externalLoads are the loads of all gateways except this one and its followers.
	externalLoads []*wire.Load
	// followerLoads are the loads of the followers.
	followerLoads *LoadTotals
	// allLoads are externalLoads and followerLoads together.
	allLoads  *LoadTotals
	followers map[string]*follower
	// members are the followers, and theirs.
	members         []*wire.GatewayEntry
	membersRevision uint64
}

type announcementEntry struct {
	info     *wire.Announcement
	revision uint64
}

// Init prepares the disseminator for use.
func (d *Disseminator) Init() {
	d.holdings = NewHoldings()
	d.announcements = map[string]*announcementEntry{}
	d.versions = map[string]*wire.AdapterVersion{}
	d.followerLoads, d.allLoads = NewLoadTotals(), NewLoadTotals()
	d.followers = map[string]*follower{}
}

// SuspectsRevision returns the revision of the known list of suspects, 0 for none.
func (d *Disseminator) SuspectsRevision() uint64 { return d.suspectsRevision }

func (d *Disseminator) receiveSuspects(res *wire.SyncResponse) {
	if res.GetSuspectsRevision() > d.suspectsRevision {
		d.suspects, d.suspectsRevision = res.GetSuspects(), res.GetSuspectsRevision()
	}
}

// HoldingRevision returns the revision up to which the holdings are known.
func (d *Disseminator) HoldingRevision() uint64 { return d.holdings.Revision() }

// GatewaysRevision returns the revision of the list that Gateways returns.
func (d *Disseminator) GatewaysRevision() uint64 { return d.gatewaysRevision }

// Gateways returns all gateways, as listed by the leader.
func (d *Disseminator) Gateways() []*wire.GatewayEntry { return d.gateways }

// Table returns the latest known table, nil for none.
func (d *Disseminator) Table() *wire.RoutingTable { return d.table }

// SetTable takes a table, unless a later one is known, and reports whether it did.
func (d *Disseminator) SetTable(table *wire.RoutingTable) bool {
	if table.GetVersion() <= d.table.GetVersion() {
		return false
	}
	d.table = table
	return true
}

// Controllers returns the addresses of all known controllers.
func (d *Disseminator) Controllers() []string { return d.controllers }

// ContactAge returns the time since any controller answered, directly or through others.
func (d *Disseminator) ContactAge(now time.Time) time.Duration { return now.Sub(d.contactAt) }

// LeaderAge returns the age of the known state of the leader.
func (d *Disseminator) LeaderAge(now time.Time) time.Duration { return now.Sub(d.leaderAt) }

// Receive takes a response of a controller or of another gateway. It returns the same response
// with complete holdings in place of differences, and with those of newly announced backend
// servers. It reports false if a difference left a gap: then the complete state must be
// requested.
func (d *Disseminator) Receive(now time.Time, res *wire.SyncResponse) (*wire.SyncResponse, bool) {
	d.contactAt = latest(d.contactAt, now.Add(-milliseconds(res.GetContactAgeMs())))
	update := withoutHoldings(res)
	changed, current := d.receiveAnnouncements(res.GetAnnouncements())
	update.Announcements = current
	for _, v := range res.GetVersions() {
		d.receiveVersion(v)
	}
	d.SetTable(res.GetTable())
	if list := res.GetControllers(); len(list) > 0 {
		d.controllers, d.controllersRevision = list, ListRevision(list)
	}
	d.receiveGateways(res)
	complete := true
	if res.GetLeads() && res.GetTerm() >= d.term {
		d.term = res.GetTerm()
		d.leaderAt = latest(d.leaderAt, now.Add(-milliseconds(res.GetLeaderAgeMs())))
		d.observedSince, d.earlierVersions = now.Add(-milliseconds(res.GetObservedMs())), res.GetEarlierVersions()
		var engines []string
		engines, complete = d.holdings.Apply(res.GetHoldingRevision(), res.GetHoldingsSince(), res.GetHoldings())
		d.markUrgent(now, engines)
		d.markDeclined(res.GetDeclined())
		d.receiveSuspects(res)
		changed = append(changed, engines...)
		d.receiveLoads(now, res)
	} else {
		update.Leads, update.HasLoads, update.Loads = false, false, nil
	}
	update.Term = d.holdings.Term()
	update.Holdings = d.fullHoldings(changed)
	return update, complete
}

func withoutHoldings(res *wire.SyncResponse) *wire.SyncResponse {
	return &wire.SyncResponse{
		Epoch: res.GetEpoch(), Table: res.GetTable(), TableVersion: res.GetTableVersion(), Announcements: res.GetAnnouncements(),
		Versions: res.GetVersions(), Leads: res.GetLeads(), Term: res.GetTerm(), Loads: res.GetLoads(), HasLoads: res.GetHasLoads(),
		Gateways: res.GetGateways(), GatewayList: res.GetGatewayList(), GatewaysRevision: res.GetGatewaysRevision(),
		Declined: res.GetDeclined(), Suspects: res.GetSuspects(), SuspectsRevision: res.GetSuspectsRevision(),
		RequestLimits: res.GetRequestLimits(), ObservedMs: res.GetObservedMs(),
		EarlierVersions: res.GetEarlierVersions(),
	}
}

// receiveAnnouncements takes announcements and returns the new backend servers, and the announcements that no later
// one is known of.
func (d *Disseminator) receiveAnnouncements(list []*wire.Announcement) (added []string, current []*wire.Announcement) {
	for _, a := range list {
		known := d.announcements[a.GetId()]
		if a.GetId() == "" || known != nil && a.GetSequence() < known.info.GetSequence() {
			continue
		}
		current = append(current, a)
		switch {
		case known == nil:
			known = &announcementEntry{}
			d.announcements[a.GetId()] = known
			added = append(added, a.GetId())
		case proto.Equal(a, known.info):
			continue
		}
		if a.GetGone() && !known.info.GetGone() {
			d.departed++
			d.holdings.Drop(a.GetId())
		}
		d.announcementRevision++
		known.info, known.revision = a, d.announcementRevision
	}
	d.pruneDeparted()
	return added, current
}

// pruneDeparted drops the backend servers that left first, when there are too many.
func (d *Disseminator) pruneDeparted() {
	if d.departed <= maxDeparted {
		return
	}
	var revisions []uint64
	for _, a := range d.announcements {
		if a.info.GetGone() {
			revisions = append(revisions, a.revision)
		}
	}
	slices.Sort(revisions)
	limit := revisions[len(revisions)/2]
	for id, a := range d.announcements {
		if a.info.GetGone() && a.revision <= limit {
			delete(d.announcements, id)
			d.departed--
		}
	}
}

func (d *Disseminator) receiveVersion(v *wire.AdapterVersion) {
	key := v.GetModel() + "/" + v.GetAdapter()
	if known := d.versions[key]; v.GetVersion() > known.GetVersion() {
		d.versionSum += v.GetVersion() - known.GetVersion()
		d.versions[key] = v
	}
}

// receiveGateways takes the leader's list of gateways, or anybody's before a leader is known.
func (d *Disseminator) receiveGateways(res *wire.SyncResponse) {
	fromLeader := res.GetLeads() && res.GetTerm() >= d.term
	if list := res.GetGatewayList(); len(list) > 0 && (fromLeader || d.term == 0) {
		d.gateways, d.gatewaysRevision = list, res.GetGatewaysRevision()
	}
	if fromLeader {
		d.gatewayCount = res.GetGateways()
	}
}

func (d *Disseminator) receiveLoads(now time.Time, res *wire.SyncResponse) {
	if !res.GetHasLoads() {
		return
	}
	d.allLoads.Remove(d.externalLoads)
	d.externalLoads = res.GetLoads()
	d.allLoads.Add(now, d.externalLoads)
}

// fullHoldings returns the complete holdings of the engines for which they are known.
func (d *Disseminator) fullHoldings(engines []string) []*wire.Holding {
	var list []*wire.Holding
	listed := map[string]bool{}
	for _, backend := range engines {
		held, known := d.holdings.Get(backend)
		if known && !listed[backend] {
			list = append(list, &wire.Holding{Backend: backend, Adapters: held})
		}
		listed[backend] = true
	}
	return list
}

// ListRevision returns a hash that differs between two lists of texts.
func ListRevision(list []string) uint64 {
	sum := fnv.New64a()
	for _, text := range list {
		_, _ = sum.Write([]byte(text + "\n"))
	}
	return sum.Sum64()
}

// GatewaysRevision returns a hash that differs between two lists of gateways.
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
