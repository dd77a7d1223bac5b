package disseminator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

func begin() time.Time { return time.Unix(1000, 0) }

func newDisseminator() *Disseminator {
	d := &Disseminator{Self: &wire.GatewayEntry{Address: "relay", Zone: "z"}, Epoch: 7}
	d.Init()
	return d
}

const term1 = 1 << termShift

// fromLeader is a response of the leader of term 1 at a revision.
func fromLeader(revision uint64, holdings ...*wire.Holding) *wire.SyncResponse {
	return &wire.SyncResponse{Leads: true, Term: 1, HoldingRevision: term1 + revision, Holdings: holdings, HasLoads: true}
}

func call(gateway string, loads ...*wire.Load) *wire.SyncRequest {
	return &wire.SyncRequest{Gateway: gateway, Address: gateway, Zone: "z", Loads: loads, Epoch: 7}
}

func load(backend string, n uint32, adapters ...string) *wire.Load {
	return &wire.Load{Backend: backend, Requests: n, Adapters: adapters}
}

// The loads sent to a follower are those of all others: of the gateways elsewhere as the leader
// sent them, of the relay itself, and of the other followers.
func TestLoadsOfOthers(t *testing.T) {
	c := qt.New(t)
	d := newDisseminator()
	received := fromLeader(0)
	received.Loads = []*wire.Load{load("e", 10)}
	d.Receive(begin(), received)
	d.ObserveFollower(begin(), call("a", load("e", 1), load("f", 2)))
	d.ObserveFollower(begin(), call("b", load("e", 3)))
	own := []*wire.Load{load("e", 100)}
	for name, want := range map[string]map[string]uint32{
		"a": {"e": 113}, "b": {"e": 111, "f": 2},
	} {
		got := map[string]uint32{}
		for _, l := range d.Answer(begin(), call(name), own).GetLoads() {
			got[l.GetBackend()] = l.GetRequests()
		}
		c.Check(got, qt.DeepEquals, want)
	}
	up := map[string]uint32{}
	for _, l := range d.Loads(begin(), own) {
		up[l.GetBackend()] = l.GetRequests()
	}
	c.Check(up, qt.DeepEquals, map[string]uint32{"e": 104, "f": 2})
}

// The adapters that followers' requests use are reported upwards as long as any uses them, so
// that the leader does not unload them; a silent follower no longer counts.
func TestAdapterUsesAreAggregated(t *testing.T) {
	c := qt.New(t)
	d := newDisseminator()
	d.ObserveFollower(begin(), call("a", load("e", 1, "m/x", "m/y")))
	d.ObserveFollower(begin(), call("b", load("e", 1, "m/x")))
	d.ObserveFollower(begin(), call("b"))
	c.Assert(d.Loads(begin(), nil), qt.HasLen, 1)
	c.Check(d.Loads(begin(), nil)[0].GetAdapters(), qt.ContentEquals, []string{"m/x", "m/y"})
	d.Tick(begin().Add(FollowerLease + time.Millisecond))
	c.Check(d.Loads(begin(), nil), qt.HasLen, 0)
	members, revision := d.Members()
	c.Check(members, qt.HasLen, 0)
	c.Check(revision, qt.Equals, uint64(0))
}

// A follower whose requests wait for an adapter is notified of it immediately, others after an
// interval, and everybody immediately of backend servers.
func TestUrgentUpdatesAreDueFirst(t *testing.T) {
	for name, test := range map[string]struct {
		wants  []string
		after  time.Duration
		update *wire.SyncResponse
		due    bool
	}{
		"its adapter is loaded":                {[]string{"m/x"}, 0, fromLeader(2, &wire.Holding{Backend: "e", Adapters: []string{"m/x@0"}}), true},
		"another follower's adapter is loaded": {[]string{"m/y"}, 0, fromLeader(2, &wire.Holding{Backend: "e", Adapters: []string{"m/x@0"}}), false},
		"the interval has passed":              {nil, holdingsInterval, fromLeader(2, &wire.Holding{Backend: "e", Adapters: []string{"m/x@0"}}), true},
		"a backend server":                     {nil, 0, &wire.SyncResponse{Announcements: []*wire.Announcement{{Id: "e"}}}, true},
		"nothing new":                          {nil, time.Second, fromLeader(1), false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := newDisseminator()
			d.Receive(begin(), fromLeader(1))
			d.ObserveFollower(begin(), call("a"))
			known := d.Answer(begin(), call("a"), nil)
			for _, adapter := range test.wants {
				d.ObserveWants(begin(), "a", []*wire.Want{{Adapter: adapter}})
			}
			d.Receive(begin(), test.update)
			req := call("a")
			req.HoldingRevision, req.AnnouncementRevision = known.GetHoldingRevision(), known.GetAnnouncementRevision()
			c.Check(d.Due(begin().Add(test.after), req), qt.Equals, test.due)
		})
	}
}

// The ages of state that two gateways relay to each other keep growing, so that neither takes
// the other's response for a contact with a controller.
func TestAgeGrowsAlongTheUpdatePath(t *testing.T) {
	c := qt.New(t)
	a, b := newDisseminator(), newDisseminator()
	a.Receive(begin(), fromLeader(1))
	now := begin()
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		b.Receive(now, a.Answer(now, call("b"), nil))
		now = now.Add(100 * time.Millisecond)
		a.Receive(now, b.Answer(now, call("a"), nil))
	}
	c.Check(a.ContactAge(now), qt.Equals, time.Second)
	c.Check(b.LeaderAge(now), qt.Equals, time.Second)
	later := now.Add(leaderLease)
	c.Check(b.Answer(later, call("a"), nil).GetLeads(), qt.IsFalse)
}

// An engine's holdings may arrive before its announcement; they count once it is announced.
func TestHoldingsBeforeTheAnnouncement(t *testing.T) {
	c := qt.New(t)
	d := newDisseminator()
	d.Receive(begin(), fromLeader(1, &wire.Holding{Backend: "e", Adapters: []string{"m/x@0"}}))
	update, _ := d.Receive(begin(), &wire.SyncResponse{Announcements: []*wire.Announcement{{Id: "e"}}})
	c.Assert(update.GetHoldings(), qt.HasLen, 1)
	c.Check(update.GetHoldings()[0].GetAdapters(), qt.DeepEquals, []string{"m/x@0"})
	c.Check(update.GetTerm(), qt.Equals, uint64(1))
}

// The delayed state of an earlier leader changes neither loads nor holdings.
func TestEarlierLeaderIsIgnored(t *testing.T) {
	c := qt.New(t)
	d := newDisseminator()
	later := fromLeader(0, &wire.Holding{Backend: "e", Adapters: []string{"m/x@0"}})
	later.Term, later.HoldingRevision, later.Loads = 2, 2*term1+1, []*wire.Load{load("e", 5)}
	d.Receive(begin(), later)
	update, ok := d.Receive(begin(), fromLeader(9, &wire.Holding{Backend: "e"}))
	c.Check(ok, qt.IsTrue)
	c.Check(update.GetLeads(), qt.IsFalse)
	c.Check(update.GetHoldings(), qt.HasLen, 0)
	c.Assert(d.externalLoads, qt.HasLen, 1)
	c.Check(d.externalLoads[0].GetRequests(), qt.Equals, uint32(5))
}

// The list of members includes the followers of followers, and each gateway once.
func TestMembers(t *testing.T) {
	c := qt.New(t)
	d := newDisseminator()
	req := call("a")
	req.Members = []*wire.GatewayEntry{{Address: "b", Zone: "z"}, {Address: "c", Zone: "z"}, {Address: "relay", Zone: "z"}}
	req.MembersRevision = 5
	d.ObserveFollower(begin(), req)
	d.ObserveFollower(begin(), call("b"))
	members, revision := d.Members()
	c.Check(fmt.Sprint(members), qt.Equals, fmt.Sprint([]*wire.GatewayEntry{
		{Address: "a", Zone: "z"}, {Address: "b", Zone: "z"}, {Address: "c", Zone: "z"},
	}))
	c.Check(revision, qt.Not(qt.Equals), uint64(0))
	// An unchanged list is not sent again.
	again := call("a")
	again.MembersRevision = 5
	d.ObserveFollower(begin(), again)
	members, _ = d.Members()
	c.Check(members, qt.HasLen, 3)
}

// No response causes a panic or lowers a revision.
func FuzzHear(f *testing.F) {
	for _, res := range []*wire.SyncResponse{
		fromLeader(3, &wire.Holding{Backend: "e", Adapters: []string{"m/x@0"}}),
		{Leads: true, Term: 9, HoldingRevision: 1, HoldingsSince: 77, Holdings: []*wire.Holding{{Difference: true, Gone: []string{"?"}}}},
		{Announcements: []*wire.Announcement{{Id: "e", Gone: true}, {}}, Versions: []*wire.AdapterVersion{{}}},
	} {
		data, err := proto.Marshal(res)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		res := &wire.SyncResponse{}
		if proto.Unmarshal(data, res) != nil {
			return
		}
		d := newDisseminator()
		d.Receive(begin(), fromLeader(1, &wire.Holding{Backend: "e", Adapters: []string{"m/x@0"}}))
		before := d.HoldingRevision()
		d.Receive(begin(), res)
		if d.HoldingRevision() < before {
			t.Fatalf("the holdings revision falls from %d to %d", before, d.HoldingRevision())
		}
		d.Answer(begin(), call("a"), nil)
	})
}

// A follower that requested an adapter is notified immediately, and once, that it is declined.
func TestDeclinedAdaptersAreReportedOnce(t *testing.T) {
	c := qt.New(t)
	d := newDisseminator()
	d.Receive(begin(), fromLeader(1))
	for _, name := range []string{"a", "b"} {
		d.ObserveFollower(begin(), call(name))
	}
	d.ObserveWants(begin(), "a", []*wire.Want{{Adapter: "m/x"}})
	d.ObserveWants(begin(), "b", []*wire.Want{{Adapter: "m/y"}})
	res := fromLeader(1)
	res.Declined = []string{"m/x"}
	update, _ := d.Receive(begin(), res)
	c.Check(update.GetDeclined(), qt.DeepEquals, []string{"m/x"})
	known := call("a")
	known.HoldingRevision = term1 + 1
	c.Check(d.Due(begin(), known), qt.IsTrue)
	c.Check(d.Answer(begin(), known, nil).GetDeclined(), qt.DeepEquals, []string{"m/x"})
	c.Check(d.Due(begin(), known), qt.IsFalse)
	c.Check(d.Answer(begin(), call("b"), nil).GetDeclined(), qt.HasLen, 0)
}

// Nothing waits for a spare replica: a follower that asked for one must not refuse requests for its
// adapter when the leader declines a load for another one.
func TestDeclinesDoNotConcernSpareReplicas(t *testing.T) {
	c := qt.New(t)
	d := newDisseminator()
	d.Receive(begin(), fromLeader(1))
	d.ObserveFollower(begin(), call("a"))
	d.ObserveWants(begin(), "a", []*wire.Want{{Adapter: "m/x", Spare: true}})
	res := fromLeader(1)
	res.Declined = []string{"m/x"}
	d.Receive(begin(), res)
	c.Check(d.Answer(begin(), call("a"), nil).GetDeclined(), qt.HasLen, 0)
}

// A gateway without followers kept the figures of each incarnation of which it had received any.
func TestOldFiguresAreDropped(t *testing.T) {
	c := qt.New(t)
	d := newDisseminator()
	now := begin()
	for i := range 100 {
		now = now.Add(time.Minute)
		d.receiveLoads(now, &wire.SyncResponse{HasLoads: true, Loads: []*wire.Load{{Backend: fmt.Sprint("b", i), Requests: 1, MachineLoad: 100}}})
		d.Tick(now)
	}
	c.Check(len(d.allLoads.backends) <= 2, qt.IsTrue, qt.Commentf("%d", len(d.allLoads.backends)))
}

// The leader's list of suspects is sent to all followers, soon and once; a delayed older one
// changes nothing.
func TestSuspectsAreForwarded(t *testing.T) {
	c := qt.New(t)
	d := newDisseminator()
	callAt := func(known uint64) *wire.SyncRequest {
		req := call("a")
		req.SuspectsRevision = known
		d.ObserveFollower(begin(), req)
		return req
	}
	c.Check(d.hasUrgentUpdate(callAt(0)), qt.IsFalse)
	receive := func(revision uint64, names ...string) {
		received := fromLeader(0)
		received.SuspectsRevision = revision
		for _, name := range names {
			received.Suspects = append(received.Suspects, &wire.Suspect{Fingerprint: name, Held: true})
		}
		d.Receive(begin(), received)
	}
	receive(5, "f", "g")
	c.Check(d.hasUrgentUpdate(callAt(0)), qt.IsTrue)
	c.Check(d.Answer(begin(), callAt(0), nil).GetSuspects(), qt.HasLen, 2)
	receive(4, "f")
	c.Check(d.SuspectsRevision(), qt.Equals, uint64(5))
	c.Check(d.hasUrgentUpdate(callAt(5)), qt.IsFalse)
	c.Check(d.Answer(begin(), callAt(5), nil).GetSuspects(), qt.HasLen, 0)
	receive(6)
	c.Check(d.hasUrgentUpdate(callAt(5)), qt.IsTrue)
	c.Check(d.Answer(begin(), callAt(5), nil).GetSuspects(), qt.HasLen, 0)
	c.Check(d.hasUrgentUpdate(callAt(0)), qt.IsFalse, qt.Commentf("an empty list is no update for a follower without suspects"))
}

// Followers learn for how long the leader has observed backend servers, and nothing while the relay does
// not know a leader.
func TestObservationGrowsAlongTheUpdatePath(t *testing.T) {
	c := qt.New(t)
	d := newDisseminator()
	res := fromLeader(0)
	res.ObservedMs = 5000
	update, _ := d.Receive(begin(), res)
	c.Check(update.GetObservedMs(), qt.Equals, uint32(5000))
	c.Check(d.Answer(begin().Add(time.Second), call("a"), nil).GetObservedMs(), qt.Equals, uint32(6000))
	c.Check(d.Answer(begin().Add(leaderLease), call("a"), nil).GetObservedMs(), qt.Equals, uint32(0))
}

// Versions that no backend server has any more are forwarded with the leader's state.
func TestEarlierVersionsAreForwarded(t *testing.T) {
	c := qt.New(t)
	d := newDisseminator()
	res := fromLeader(0)
	res.EarlierVersions = []*wire.SoftwareVersion{{Service: "s", Version: "v1"}}
	update, _ := d.Receive(begin(), res)
	c.Check(update.GetEarlierVersions(), qt.HasLen, 1)
	c.Check(d.Answer(begin(), call("a"), nil).GetEarlierVersions(), qt.HasLen, 1)
	d.Receive(begin(), fromLeader(0))
	c.Check(d.Answer(begin(), call("a"), nil).GetEarlierVersions(), qt.HasLen, 0)
}

// A controller that had restarted took the late announcement of a departed backend server for a new one's, and gateways
// sent requests there again.
func TestOutdatedAnnouncementsAreNotApplied(t *testing.T) {
	c := qt.New(t)
	d := newDisseminator()
	final := uint64(1) << 63
	for _, a := range []*wire.Announcement{
		{Id: "e", Address: "a", Sequence: 3}, {Id: "f", Address: "b", Sequence: 9}, {Id: "e", Address: "a", Gone: true, Sequence: final},
	} {
		update, _ := d.Receive(begin(), &wire.SyncResponse{Announcements: []*wire.Announcement{a}})
		c.Check(update.GetAnnouncements(), qt.HasLen, 1)
	}
	update, _ := d.Receive(begin(), &wire.SyncResponse{Epoch: 2, Announcements: []*wire.Announcement{
		{Id: "e", Address: "a", Sequence: 4}, {Id: "f", Address: "b", Sequence: 8}, {Id: "f", Address: "b", Sequence: 10}, {Id: "g", Address: "c", Sequence: 1},
	}})
	var applied []string
	for _, a := range update.GetAnnouncements() {
		applied = append(applied, fmt.Sprintf("%s %d", a.GetId(), a.GetSequence()))
	}
	c.Check(applied, qt.DeepEquals, []string{"f 10", "g 1"})
}
