package throttler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

var start = time.Unix(1e9, 0)

func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

// The backend server's latest announcement wins, in whatever order observations arrive.
func TestLatestObservationWins(t *testing.T) {
	type observed struct {
		limit  Limit
		at     int
		source Source
	}
	for name, test := range map[string]struct {
		observed []observed
		want     Limit
		changes  uint64
	}{
		"nothing":                      {nil, Limit{}, 0},
		"no limit":                     {[]observed{{Limit{}, 0, Answer}}, Limit{}, 0},
		"a limit":                      {[]observed{{LimitOf(5), 0, Answer}}, LimitOf(5), 1},
		"announced again":              {[]observed{{LimitOf(5), 0, Answer}, {LimitOf(5), 10, Answer}}, LimitOf(5), 1},
		"another value":                {[]observed{{LimitOf(5), 0, Answer}, {LimitOf(4), 10, News}}, LimitOf(4), 2},
		"a little different":           {[]observed{{LimitOf(5), 0, Answer}, {LimitOf(5.1), 10, Answer}}, LimitOf(5.1), 1},
		"an older value later":         {[]observed{{LimitOf(5), 10, Answer}, {LimitOf(4), 0, News}}, LimitOf(5), 1},
		"ended":                        {[]observed{{LimitOf(5), 0, Answer}, {Limit{}, 10, Follower}}, Limit{}, 2},
		"ended, then an older update":  {[]observed{{LimitOf(5), 0, Answer}, {Limit{}, 10, Answer}, {LimitOf(5), 5, News}}, Limit{}, 2},
		"updates do not make it newer": {[]observed{{LimitOf(5), 0, Answer}, {LimitOf(5), 20, News}, {Limit{}, 10, Answer}}, Limit{}, 2},
		"from zero to little":          {[]observed{{LimitOf(0), 0, Answer}, {LimitOf(1), 10, Answer}}, LimitOf(1), 2},
		"zero is a limit, not ended":   {[]observed{{LimitOf(5), 0, Answer}, {LimitOf(0), 10, Answer}}, LimitOf(0), 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var b Registry
			for _, s := range test.observed {
				b.Observe(Observation{Backend: "b", Limit: s.limit, At: at(s.at), Source: s.source})
			}
			status, _ := b.Status("b")
			c.Check(status.Limit, qt.Equals, test.want)
			c.Check(b.Revision(), qt.Equals, test.changes)
		})
	}
}

// After a limit ends, the rate ramps up until nothing is limited.
func TestRateRampsUpAfterLimit(t *testing.T) {
	c := qt.New(t)
	var b Registry
	b.Observe(Observation{Backend: "b", Limit: LimitOf(5), At: at(0), Source: Answer})
	b.Observe(Observation{Backend: "b", Limit: Limit{}, At: at(1000), Source: Answer})
	for ms, want := range map[int]RequestRate{1000: 5, 1500: 10, 2000: 20, 3500: 160} {
		rate, limited := b.Rate(at(ms), "b")
		c.Check(limited, qt.IsTrue)
		c.Check(rate, qt.Equals, want)
	}
	_, limited := b.Rate(at(4000), "b")
	c.Check(limited, qt.IsFalse)
	b.Prune(at(10_900), nil)
	c.Check(b.Empty(), qt.IsFalse)
	b.Prune(at(11_100), nil)
	c.Check(b.Empty(), qt.IsTrue)
}

// Limits pass between instances with their ages; those from updates are not sent back.
func TestLimitsPassBetweenInstances(t *testing.T) {
	c := qt.New(t)
	var gateway, controller Registry
	gateway.Observe(Observation{Backend: "own", Limit: LimitOf(5), At: at(0), Source: Answer})
	gateway.Observe(Observation{Backend: "told", Limit: LimitOf(6), At: at(0), Source: News})
	report := gateway.Report(at(300))
	c.Assert(report, qt.HasLen, 1)
	o, ok := Decode(at(310), report[0], Follower)
	c.Assert(ok, qt.IsTrue)
	c.Check(o, qt.Equals, Observation{Backend: "own", Limit: LimitOf(5), At: at(10), Source: Follower})
	controller.Observe(o)
	c.Check(controller.Limits(at(400)), qt.HasLen, 1)
	c.Check(gateway.Limits(at(400)), qt.HasLen, 2)
	controller.Prune(at(400), func(id string) bool { return id != "own" })
	c.Check(controller.Empty(), qt.IsTrue)
	for name, l := range map[string]*wire.RequestLimit{
		"no backend server": {RequestsPerSecond: 1}, "negative rate": {Backend: "b", RequestsPerSecond: -1},
	} {
		_, ok := Decode(at(0), l, News)
		c.Check(ok, qt.IsFalse, qt.Commentf(name))
	}
}
