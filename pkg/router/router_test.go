package router_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/router"
	"bronzelead.example/pkg/wire"
)

func now() time.Time { return time.Unix(1000, 0) }

func engine(name, zone string, running uint32) *wire.Backend {
	return &wire.Backend{
		Name: name, Incarnation: "1", Kind: wire.BackendKind_BACKEND_KIND_ENGINE, Zone: zone,
		BaseModel: "base", Batch: 8, Running: running,
	}
}

func grant(id uint64, backend string) *wire.LeaseGrant {
	return &wire.LeaseGrant{Id: id, Backend: backend, Incarnation: "1", Adapter: "a@1"}
}

func newRouter(backends ...*wire.Backend) *router.Router {
	r := &router.Router{Zone: "here", Policy: router.Policy{
		BatchWeight: 1, StallWeight: 1, PrefixWeight: 0.3, ZoneWeight: 0.1, SuspectPeriod: time.Second, MaxLeaseIdle: time.Second,
	}}
	r.Update(backends, nil, nil, true)
	for i, b := range backends {
		r.Grant(now(), []*wire.LeaseGrant{grant(uint64(i+1), b.GetName())})
	}
	return r
}

func TestPick(t *testing.T) {
	want := router.Request{Adapter: "a@1"}
	cases := map[string]struct {
		set  func(r *router.Router)
		want router.Request
		pick string
	}{
		"the fuller batch, while it has room": {
			set:  func(r *router.Router) { r.Update([]*wire.Backend{engine("e2", "here", 5)}, nil, nil, false) },
			want: want, pick: "e2",
		},
		"not behind a full one": {
			set:  func(r *router.Router) { r.Update([]*wire.Backend{engine("e2", "here", 40)}, nil, nil, false) },
			want: want, pick: "e1",
		},
		"its own zone first": {
			set:  func(r *router.Router) { r.Update([]*wire.Backend{engine("e1", "there", 0)}, nil, nil, false) },
			want: want, pick: "e2",
		},
		"not one that is leaving": {
			set: func(r *router.Router) {
				e := engine("e1", "here", 0)
				e.Leaving = true
				r.Update([]*wire.Backend{e}, nil, nil, false)
			},
			want: want, pick: "e2",
		},
		"not one that is drained": {
			set:  func(r *router.Router) { r.Update(nil, nil, []string{"e1"}, false) },
			want: want, pick: "e2",
		},
		"not one that has restarted": {
			set: func(r *router.Router) {
				e := engine("e1", "here", 0)
				e.Incarnation = "2"
				r.Update([]*wire.Backend{e}, nil, nil, false)
			},
			want: want, pick: "e2",
		},
		"not under a recalled lease": {
			set: func(r *router.Router) { r.Recall([]uint64{1}) }, want: want, pick: "e2",
		},
		"not one that failed this request": {
			set: func(*router.Router) {}, want: router.Request{Adapter: "a@1", Avoid: []string{"e1"}}, pick: "e2",
		},
		"one that failed lately comes last": {
			set: func(r *router.Router) {
				c := r.Pick(now(), want)
				r.Begin(now(), want, c)
				r.End(now(), c, true)
			},
			want: want, pick: "e2",
		},
		"nobody has the version": {
			set: func(*router.Router) {}, want: router.Request{Adapter: "a@2"},
		},
		"without a lease nobody": {
			set: func(r *router.Router) { r.DropLeases() }, want: want,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newRouter(engine("e1", "here", 0), engine("e2", "here", 0))
			tc.set(r)
			got := r.Pick(now(), tc.want)
			if tc.pick == "" {
				c.Assert(got, qt.IsNil)
				return
			}
			c.Assert(got.Backend.GetName(), qt.Equals, tc.pick)
		})
	}
}

func TestRecalledLeaseIsReleasedAfterItsLastRequest(t *testing.T) {
	c := qt.New(t)
	r := newRouter(engine("e1", "here", 0))
	want := router.Request{Adapter: "a@1"}
	first, second := r.Pick(now(), want), r.Pick(now(), want)
	r.Begin(now(), want, first)
	r.Begin(now(), want, second)
	r.Recall([]uint64{1})
	c.Assert(r.Pick(now(), want), qt.IsNil)
	c.Assert(r.TakeReleased(), qt.HasLen, 0)
	r.End(now(), first, false)
	c.Assert(r.TakeReleased(), qt.HasLen, 0)
	r.End(now(), second, false)
	c.Assert(r.TakeReleased(), qt.DeepEquals, []uint64{1})
	c.Assert(r.HeldLeases(), qt.HasLen, 0)
}

func TestLaggedReportIsCorrected(t *testing.T) {
	c := qt.New(t)
	r := newRouter(engine("e1", "here", 6), engine("e2", "here", 6))
	want := router.Request{Adapter: "a@1"}
	picked := map[string]int{}
	for range 10 {
		candidate := r.Pick(now(), want)
		picked[candidate.Backend.GetName()]++
		r.Begin(now(), want, candidate)
	}
	// Neither report has changed, yet the second gets its part once the first is full.
	c.Assert(picked["e1"] >= 2 && picked["e2"] >= 2, qt.IsTrue, qt.Commentf("%v", picked))
}
