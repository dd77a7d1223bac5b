package versiontracker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

func begin() time.Time { return time.Unix(1000, 0) }

func at(id, version string, change ...func(*wire.Announcement)) *wire.Announcement {
	a := &wire.Announcement{Id: id, Service: "s", SoftwareVersion: version}
	for _, f := range change {
		f(a)
	}
	return a
}

func gone(a *wire.Announcement)     { a.Gone = true }
func silent(a *wire.Announcement)   { a.Silent = true }
func draining(a *wire.Announcement) { a.Draining = true }

// unknown is the departure of an incarnation of which only the id is known.
func unknown(a *wire.Announcement) { a.Service, a.Gone = "", true }

const life = 10 * time.Second

// A version counts until no stream can be left that it began.
func TestVersions(t *testing.T) {
	for name, test := range map[string]struct {
		steps []*wire.Announcement
		// since are the versions in the life of a stream one second after the last step, and later those
		// after twice that life.
		since, later []string
	}{
		"one":                      {[]*wire.Announcement{at("a", "v1"), at("b", "v1")}, []string{"v1"}, []string{"v1"}},
		"two":                      {[]*wire.Announcement{at("a", "v1"), at("b", "v2")}, []string{"v1", "v2"}, []string{"v1", "v2"}},
		"one that states none":     {[]*wire.Announcement{at("a", "v1"), at("b", "")}, []string{"", "v1"}, []string{"", "v1"}},
		"one that left":            {[]*wire.Announcement{at("a", "v1"), at("b", "v2"), at("a", "v1", gone)}, []string{"v1", "v2"}, []string{"v2"}},
		"one that left and is new": {[]*wire.Announcement{at("b", "v2"), at("a", "v1", gone)}, []string{"v1", "v2"}, []string{"v2"}},
		"one that fell silent":     {[]*wire.Announcement{at("a", "v1"), at("b", "v2"), at("a", "v1", silent)}, []string{"v1", "v2"}, []string{"v2"}},
		"one that is back":         {[]*wire.Announcement{at("a", "v1", silent), at("a", "v1"), at("b", "v2")}, []string{"v1", "v2"}, []string{"v1", "v2"}},
		"one that drains":          {[]*wire.Announcement{at("a", "v1"), at("b", "v2"), at("a", "v1", draining)}, []string{"v1", "v2"}, []string{"v1", "v2"}},
		"announced twice, left":    {[]*wire.Announcement{at("a", "v1"), at("a", "v1"), at("a", "v1", gone), at("a", "v1", gone)}, []string{"v1"}, nil},
		"another under one id":     {[]*wire.Announcement{at("a", "v1"), at("a", "v2")}, []string{"v1", "v2"}, []string{"v2"}},
		"an unknown departure":     {[]*wire.Announcement{at("a", "v1"), at("a", "", unknown), at("b", "", unknown)}, []string{"v1"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			y := &Tracker{}
			for _, a := range test.steps {
				y.Observe(begin(), a)
			}
			c.Check(y.Since("s", begin().Add(time.Second-life)), qt.DeepEquals, test.since)
			c.Check(y.Since("s", begin().Add(life)), qt.DeepEquals, test.later)
			c.Check(y.Mixed(begin(), "s"), qt.Equals, len(test.since) > 1)
			y.Prune(begin().Add(Retention + time.Second))
			c.Check(y.Mixed(begin(), "s"), qt.Equals, len(test.later) > 1)
			c.Check(y.Since("other", begin()), qt.HasLen, 0)
		})
	}
}

// A version that is no longer announced counts from the last stream that one of its backend servers
// began.
func TestUseOfSilentVersionsCounts(t *testing.T) {
	c := qt.New(t)
	y := &Tracker{}
	y.Observe(begin(), at("a", "v1"))
	y.Observe(begin(), at("b", "v2"))
	y.Observe(begin(), at("b", "v2", silent))
	y.RecordUse(begin().Add(time.Hour), "s", "v2")
	y.Prune(begin().Add(time.Hour))
	c.Check(y.Mixed(begin().Add(time.Hour), "s"), qt.IsTrue)
	c.Check(y.Services(begin().Add(time.Hour)), qt.DeepEquals, []string{"s"})
	c.Check(y.Present("s", "v1"), qt.Equals, 1)
	c.Check(y.Present("s", "v2"), qt.Equals, 0)
	y.Prune(begin().Add(2 * time.Hour))
	c.Check(y.Services(begin().Add(2*time.Hour)), qt.HasLen, 0)
}

// All versions are known since the leader observes them, or since an
// earlier leader did from which it has heard until now.
func TestVersionsAreKnownSince(t *testing.T) {
	type update struct {
		after    time.Duration
		term     uint64
		observed time.Duration
	}
	for name, test := range map[string]struct {
		updates []update
		// want is since when they are known, before the latest update.
		want time.Duration
	}{
		"one leader":                    {[]update{{0, 1, 10 * time.Second}, {time.Second, 1, 11 * time.Second}}, 11 * time.Second},
		"as long as it remembers":       {[]update{{0, 1, time.Minute}, {time.Second, 1, time.Minute}}, 61 * time.Second},
		"a leader that was interrupted": {[]update{{0, 1, time.Minute}, {time.Second, 1, 0}}, 0},
		"another leader at once":        {[]update{{0, 1, time.Minute}, {time.Second, 2, time.Second}}, 61 * time.Second},
		"another leader after a while":  {[]update{{0, 1, time.Minute}, {4 * time.Second, 2, time.Second}}, time.Second},
		"one that has observed longer":  {[]update{{0, 1, time.Second}, {time.Second, 2, time.Minute}}, time.Minute},
		"one that does not say":         {[]update{{0, 1, 0}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			y := &Tracker{}
			now := begin()
			for _, u := range test.updates {
				now = now.Add(u.after)
				y.ObserveLeader(now, u.term, u.observed)
			}
			c.Check(y.CompleteFor(now), qt.Equals, test.want)
		})
	}
}
