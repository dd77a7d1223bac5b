package pathtracker

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// What gateways conclude from the connections that they could open and could not.
func TestPartitions(t *testing.T) {
	type event struct {
		backend   string
		connected bool
	}
	for name, test := range map[string]struct {
		backends    int
		events      []event
		after       time.Duration
		partitioned bool
	}{
		"nothing was tried":              {backends: 9},
		"two of many fail":               {backends: 9, events: []event{{"a", false}, {"b", false}}},
		"one of many fails repeatedly":   {backends: 9, events: []event{{"a", false}, {"a", false}, {"a", false}}},
		"three of many fail":             {backends: 9, events: []event{{"a", false}, {"b", false}, {"c", false}}, partitioned: true},
		"all of two fail":                {backends: 2, events: []event{{"a", false}, {"b", false}}, partitioned: true},
		"one was reached in between":     {backends: 9, events: []event{{"a", false}, {"b", false}, {"d", true}, {"c", false}}},
		"one was reached since":          {backends: 9, events: []event{{"a", false}, {"b", false}, {"c", false}, {"d", true}}},
		"reached before the failures":    {backends: 9, events: []event{{"d", true}, {"a", false}, {"b", false}, {"c", false}}, partitioned: true},
		"the failures are too long past": {backends: 9, events: []event{{"a", false}, {"b", false}, {"c", false}}, after: retention},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			var tracker Tracker
			for _, e := range test.events {
				now = now.Add(time.Millisecond)
				if e.connected {
					tracker.RecordConnected(now, "s", e.backend)
				} else {
					tracker.RecordFailed(now, "s", e.backend, test.backends, TimedOut)
				}
			}
			now = now.Add(test.after)
			c.Check(tracker.Partitioned(now, "s"), qt.Equals, test.partitioned)
			c.Check(tracker.Partitioned(now, "other"), qt.IsFalse)
		})
	}
}

func TestSummariesCountWhatHappenedSinceTheLast(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var tracker Tracker
	tracker.RecordConnected(now, "s", "a")
	tracker.RecordFailed(now.Add(1), "s", "b", 3, Refused)
	tracker.RecordKept("s")
	c.Check(tracker.TakeSummaries(now), qt.DeepEquals, []Summary{{
		Service: "s", Unreachable: 1, Counts: Counts{Connected: 1, Failed: map[Failure]int{Refused: 1}, OnKept: 1},
	}})
	tracker.Forget("s", "b")
	c.Check(tracker.TakeSummaries(now), qt.DeepEquals, []Summary{{Service: "s", Counts: Counts{Failed: map[Failure]int{}}}})
}

// What another gateway sees of a backend server tells a failed path from a failed backend server.
func TestSecondObservers(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var tracker Tracker
	tracker.RecordFailed(now, "s", "a", 9, TimedOut)
	c.Check(tracker.TakeCheck(now, "s", "a"), qt.IsTrue)
	c.Check(tracker.TakeCheck(now, "s", "a"), qt.IsFalse)
	tracker.RecordDown(now, "s", "a")
	for _, id := range []string{"b", "c"} {
		tracker.RecordFailed(now, "s", id, 9, TimedOut)
	}
	// One is down for others too, and the two others are not enough.
	c.Check(tracker.Partitioned(now, "s"), qt.IsFalse)
	c.Check(tracker.Detoured(now, "s", "b"), qt.IsFalse)
	c.Check(tracker.RecordDetour("s", "b"), qt.IsTrue)
	c.Check(tracker.RecordDetour("s", "b"), qt.IsFalse)
	c.Check(tracker.Detoured(now, "s", "b"), qt.IsTrue)
	c.Check(tracker.Detoured(now, "s", "c"), qt.IsFalse)
	c.Check(tracker.TakeProbe(now, "s"), qt.Equals, "b")
	c.Check(tracker.RecordConnected(now, "s", "b"), qt.IsTrue)
	c.Check(tracker.Detoured(now, "s", "b"), qt.IsFalse)
	c.Check(tracker.TakeProbe(now, "s"), qt.Equals, "")
}

// While a gateway is partitioned from a service, all its backend servers are reached through
// others, also those not tried yet; the first direct connection ends that.
func TestPartitionedServiceIsProbedInTurn(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var tracker Tracker
	for _, id := range []string{"a", "b", "c"} {
		now = now.Add(time.Millisecond)
		tracker.RecordFailed(now, "s", id, 9, Refused)
	}
	c.Check(tracker.Detoured(now, "s", "never tried"), qt.IsTrue)
	for _, id := range []string{"a", "b", "c", "a"} {
		now = now.Add(time.Millisecond)
		c.Check(tracker.TakeProbe(now, "s"), qt.Equals, id)
		tracker.RecordFailed(now, "s", id, 9, Refused)
	}
	now = now.Add(time.Millisecond)
	tracker.RecordConnected(now, "s", "b")
	c.Check(tracker.Detoured(now, "s", "never tried"), qt.IsFalse)
}

// Backend servers that nobody reaches are no partition.
func TestServiceThatIsDownIsNoPartition(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var tracker Tracker
	for _, id := range []string{"a", "b", "c"} {
		tracker.RecordFailed(now, "s", id, 3, Refused)
	}
	c.Check(tracker.Partitioned(now, "s"), qt.IsTrue)
	for _, id := range []string{"a", "b", "c"} {
		tracker.RecordDown(now, "s", id)
	}
	c.Check(tracker.Partitioned(now, "s"), qt.IsFalse)
}

// The gateways that open connections for others share them, and those that open none are left
// alone for a time.
func TestPeersShareConnections(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	list := []Peer{{"a", "z"}, {"b", "z"}, {"c", "z"}, {"far", "y"}}
	p := &Peers{Rand: rand.New(rand.NewPCG(1, 2))}
	opened := map[string]int{}
	for range 300 {
		peer, ok := p.Choose(now, list, []string{"z"}, nil)
		c.Assert(ok, qt.IsTrue)
		p.RecordOpened(peer.Address)
		opened[peer.Address]++
	}
	c.Check(opened["far"], qt.Equals, 0)
	for _, address := range []string{"a", "b", "c"} {
		c.Check(opened[address] >= 95 && opened[address] <= 105, qt.IsTrue, qt.Commentf("%v", opened))
	}
	for _, address := range []string{"a", "b", "c"} {
		p.RecordFailed(now, address)
	}
	peer, ok := p.Choose(now, list, []string{"z"}, nil)
	c.Check(ok && peer.Address == "far", qt.IsTrue)
	_, ok = p.Choose(now, list, []string{"z"}, []string{"far"})
	c.Check(ok, qt.IsFalse)
	_, ok = p.Choose(now.Add(minPeerBackoff), list, []string{"z"}, []string{"far"})
	c.Check(ok, qt.IsTrue)
}
