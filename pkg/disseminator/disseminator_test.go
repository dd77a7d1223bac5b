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

func newSpreader() *Disseminator {
	s := &Disseminator{Self: &wire.GatewayEntry{Address: "relay", Zone: "z"}, Epoch: 7}
	s.Init()
	return s
}

const term1 = 1 << termShift

// fromLeader is an answer of the leader of term 1 at a revision.
func fromLeader(revision uint64, holdings ...*wire.Holding) *wire.SyncResponse {
	return &wire.SyncResponse{Leads: true, Term: 1, HoldingRevision: term1 + revision, Holdings: holdings, HasLoads: true}
}

func call(gateway string, loads ...*wire.Load) *wire.SyncRequest {
	return &wire.SyncRequest{Gateway: gateway, Address: gateway, Zone: "z", Loads: loads, Epoch: 7}
}

func load(backend string, n uint32, adapters ...string) *wire.Load {
	return &wire.Load{Backend: backend, Requests: n, Adapters: adapters}
}

// The loads that a follower is told are those of all others: the leader's word on the
// gateways outside, the relay's own, and the other followers'.
func TestLoadsOfOthers(t *testing.T) {
	c := qt.New(t)
	s := newSpreader()
	heard := fromLeader(0)
	heard.Loads = []*wire.Load{load("e", 10)}
	s.Receive(begin(), heard)
	s.ObserveFollower(begin(), call("a", load("e", 1), load("f", 2)))
	s.ObserveFollower(begin(), call("b", load("e", 3)))
	own := []*wire.Load{load("e", 100)}
	for name, want := range map[string]map[string]uint32{
		"a": {"e": 113}, "b": {"e": 111, "f": 2},
	} {
		got := map[string]uint32{}
		for _, l := range s.Answer(begin(), call(name), own).GetLoads() {
			got[l.GetBackend()] = l.GetRequests()
		}
		c.Check(got, qt.DeepEquals, want)
	}
	up := map[string]uint32{}
	for _, l := range s.Loads(own) {
		up[l.GetBackend()] = l.GetRequests()
	}
	c.Check(up, qt.DeepEquals, map[string]uint32{"e": 104, "f": 2})
}

// The adapters that followers' requests use are told upwards as long as any uses them, so
// that the leader does not give them up; a follower that is silent counts no longer.
func TestUsesAreAddedUp(t *testing.T) {
	c := qt.New(t)
	s := newSpreader()
	s.ObserveFollower(begin(), call("a", load("e", 1, "m/x", "m/y")))
	s.ObserveFollower(begin(), call("b", load("e", 1, "m/x")))
	s.ObserveFollower(begin(), call("b"))
	c.Assert(s.Loads(nil), qt.HasLen, 1)
	c.Check(s.Loads(nil)[0].GetAdapters(), qt.ContentEquals, []string{"m/x", "m/y"})
	s.Tick(begin().Add(FollowerLease + time.Millisecond))
	c.Check(s.Loads(nil), qt.HasLen, 0)
	members, revision := s.Members()
	c.Check(members, qt.HasLen, 0)
	c.Check(revision, qt.Equals, uint64(0))
}

// A follower whose requests wait for an adapter is told at once that it is there, others
// after a while, and everybody at once of backend servers.
func TestWhoIsToldFirst(t *testing.T) {
	for name, test := range map[string]struct {
		wants []string
		after time.Duration
		news  *wire.SyncResponse
		due   bool
	}{
		"its adapter has come":     {[]string{"m/x"}, 0, fromLeader(2, &wire.Holding{Backend: "e", Adapters: []string{"m/x@0"}}), true},
		"another's has come":       {[]string{"m/y"}, 0, fromLeader(2, &wire.Holding{Backend: "e", Adapters: []string{"m/x@0"}}), false},
		"and some time has passed": {nil, tellEvery, fromLeader(2, &wire.Holding{Backend: "e", Adapters: []string{"m/x@0"}}), true},
		"a backend server":         {nil, 0, &wire.SyncResponse{Announcements: []*wire.Announcement{{Id: "e"}}}, true},
		"nothing new":              {nil, time.Second, fromLeader(1), false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newSpreader()
			s.Receive(begin(), fromLeader(1))
			s.ObserveFollower(begin(), call("a"))
			told := s.Answer(begin(), call("a"), nil)
			for _, adapter := range test.wants {
				s.ObserveWants(begin(), "a", []*wire.Want{{Adapter: adapter}})
			}
			s.Receive(begin(), test.news)
			req := call("a")
			req.HoldingRevision, req.AnnouncementRevision = told.GetHoldingRevision(), told.GetAnnouncementRevision()
			c.Check(s.Due(begin().Add(test.after), req), qt.Equals, test.due)
		})
	}
}

// Two that know only each other's word: it grows old on the way, so that neither takes the
// other's for news from a controller.
func TestTheAgeOfNewsGrowsOnTheWay(t *testing.T) {
	c := qt.New(t)
	a, b := newSpreader(), newSpreader()
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

// An engine's holdings may be told before the engine itself is known; they count once it is.
func TestHoldingsOfAnEngineThatIsToldOfLater(t *testing.T) {
	c := qt.New(t)
	s := newSpreader()
	s.Receive(begin(), fromLeader(1, &wire.Holding{Backend: "e", Adapters: []string{"m/x@0"}}))
	news, _ := s.Receive(begin(), &wire.SyncResponse{Announcements: []*wire.Announcement{{Id: "e"}}})
	c.Assert(news.GetHoldings(), qt.HasLen, 1)
	c.Check(news.GetHoldings()[0].GetAdapters(), qt.DeepEquals, []string{"m/x@0"})
	c.Check(news.GetTerm(), qt.Equals, uint64(1))
}

// The word of an earlier leader comes late: its loads and holdings change nothing.
func TestAnEarlierLeadersWordChangesNothing(t *testing.T) {
	c := qt.New(t)
	s := newSpreader()
	later := fromLeader(0, &wire.Holding{Backend: "e", Adapters: []string{"m/x@0"}})
	later.Term, later.HoldingRevision, later.Loads = 2, 2*term1+1, []*wire.Load{load("e", 5)}
	s.Receive(begin(), later)
	news, ok := s.Receive(begin(), fromLeader(9, &wire.Holding{Backend: "e"}))
	c.Check(ok, qt.IsTrue)
	c.Check(news.GetLeads(), qt.IsFalse)
	c.Check(news.GetHoldings(), qt.HasLen, 0)
	c.Check(s.outside["e"], qt.Equals, uint32(5))
}

// A follower's own followers belong to the list of gateways too; nobody stands there twice.
func TestMembers(t *testing.T) {
	c := qt.New(t)
	s := newSpreader()
	req := call("a")
	req.Members = []*wire.GatewayEntry{{Address: "b", Zone: "z"}, {Address: "c", Zone: "z"}, {Address: "relay", Zone: "z"}}
	req.MembersRevision = 5
	s.ObserveFollower(begin(), req)
	s.ObserveFollower(begin(), call("b"))
	members, revision := s.Members()
	c.Check(fmt.Sprint(members), qt.Equals, fmt.Sprint([]*wire.GatewayEntry{
		{Address: "a", Zone: "z"}, {Address: "b", Zone: "z"}, {Address: "c", Zone: "z"},
	}))
	c.Check(revision, qt.Not(qt.Equals), uint64(0))
	// The list is not sent again as long as it stands.
	again := call("a")
	again.MembersRevision = 5
	s.ObserveFollower(begin(), again)
	members, _ = s.Members()
	c.Check(members, qt.HasLen, 3)
}

// Whatever another instance tells, nothing panics and no revision goes back.
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
		s := newSpreader()
		s.Receive(begin(), fromLeader(1, &wire.Holding{Backend: "e", Adapters: []string{"m/x@0"}}))
		before := s.HoldingRevision()
		s.Receive(begin(), res)
		if s.HoldingRevision() < before {
			t.Fatalf("the holdings go back from %d to %d", before, s.HoldingRevision())
		}
		s.Answer(begin(), call("a"), nil)
	})
}

// A follower that asked for an adapter is told at once, and once, that it does not come.
func TestDeclinedAdaptersAreToldToWhoAsked(t *testing.T) {
	c := qt.New(t)
	s := newSpreader()
	s.Receive(begin(), fromLeader(1))
	for _, name := range []string{"a", "b"} {
		s.ObserveFollower(begin(), call(name))
	}
	s.ObserveWants(begin(), "a", []*wire.Want{{Adapter: "m/x"}})
	s.ObserveWants(begin(), "b", []*wire.Want{{Adapter: "m/y"}})
	res := fromLeader(1)
	res.Declined = []string{"m/x"}
	news, _ := s.Receive(begin(), res)
	c.Check(news.GetDeclined(), qt.DeepEquals, []string{"m/x"})
	known := call("a")
	known.HoldingRevision = term1 + 1
	c.Check(s.Due(begin(), known), qt.IsTrue)
	c.Check(s.Answer(begin(), known, nil).GetDeclined(), qt.DeepEquals, []string{"m/x"})
	c.Check(s.Due(begin(), known), qt.IsFalse)
	c.Check(s.Answer(begin(), call("b"), nil).GetDeclined(), qt.HasLen, 0)
}

// The leader's list of suspects goes to all followers, soon and once; an older one, which
// comes late by another way, changes nothing.
func TestSuspectsArePassedOn(t *testing.T) {
	c := qt.New(t)
	s := newSpreader()
	asks := func(known uint64) *wire.SyncRequest {
		req := call("a")
		req.SuspectsRevision = known
		s.ObserveFollower(begin(), req)
		return req
	}
	c.Check(s.hasUrgentNews(asks(0)), qt.IsFalse)
	hear := func(revision uint64, names ...string) {
		heard := fromLeader(0)
		heard.SuspectsRevision = revision
		for _, name := range names {
			heard.Suspects = append(heard.Suspects, &wire.Suspect{Fingerprint: name, Held: true})
		}
		s.Receive(begin(), heard)
	}
	hear(5, "f", "g")
	c.Check(s.hasUrgentNews(asks(0)), qt.IsTrue)
	c.Check(s.Answer(begin(), asks(0), nil).GetSuspects(), qt.HasLen, 2)
	hear(4, "f")
	c.Check(s.SuspectsRevision(), qt.Equals, uint64(5))
	c.Check(s.hasUrgentNews(asks(5)), qt.IsFalse)
	c.Check(s.Answer(begin(), asks(5), nil).GetSuspects(), qt.HasLen, 0)
	hear(6)
	c.Check(s.hasUrgentNews(asks(5)), qt.IsTrue)
	c.Check(s.Answer(begin(), asks(5), nil).GetSuspects(), qt.HasLen, 0)
	c.Check(s.hasUrgentNews(asks(0)), qt.IsFalse, qt.Commentf("that there are none is no news to one that knows none"))
}
