package pathtracker

import (
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
		"no backend servers":             {backends: 0, events: []event{{"a", false}}},
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
					tracker.RecordFailed(now, "s", e.backend, TimedOut)
				}
			}
			now = now.Add(test.after)
			c.Check(tracker.Partitioned(now, "s", test.backends), qt.Equals, test.partitioned)
			c.Check(tracker.Partitioned(now, "other", test.backends), qt.IsFalse)
		})
	}
}

func TestSummariesCountWhatHappenedSinceTheLast(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var tracker Tracker
	tracker.RecordConnected(now, "s", "a")
	tracker.RecordFailed(now, "s", "b", Refused)
	tracker.RecordKept("s")
	count := func(string) int { return 3 }
	c.Check(tracker.TakeSummaries(now, count), qt.DeepEquals, []Summary{{
		Service: "s", Unreachable: 1, Counts: Counts{Connected: 1, Failed: map[Failure]int{Refused: 1}, OnKept: 1},
	}})
	tracker.Forget("s", "b")
	c.Check(tracker.TakeSummaries(now, count), qt.DeepEquals, []Summary{{Service: "s", Counts: Counts{Failed: map[Failure]int{}}}})
}
