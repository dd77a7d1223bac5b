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
	req := router.Request{Adapter: "a@1"}
	cases := map[string]struct {
		set  func(r *router.Router)
		req  router.Request
		pick string
	}{
		"the fuller batch, while it has room": {
			set: func(r *router.Router) { r.Update([]*wire.Backend{engine("e2", "here", 5)}, nil, nil, false) },
			req: req, pick: "e2",
		},
		"not behind a full one": {
			set: func(r *router.Router) { r.Update([]*wire.Backend{engine("e2", "here", 40)}, nil, nil, false) },
			req: req, pick: "e1",
		},
		"its own zone first": {
			set: func(r *router.Router) { r.Update([]*wire.Backend{engine("e1", "there", 0)}, nil, nil, false) },
			req: req, pick: "e2",
		},
		"not one that is leaving": {
			set: func(r *router.Router) {
				e := engine("e1", "here", 0)
				e.Leaving = true
				r.Update([]*wire.Backend{e}, nil, nil, false)
			},
			req: req, pick: "e2",
		},
		"not one that is drained": {
			set: func(r *router.Router) { r.Update(nil, nil, []string{"e1"}, false) },
			req: req, pick: "e2",
		},
		"not one that has restarted": {
			set: func(r *router.Router) {
				e := engine("e1", "here", 0)
				e.Incarnation = "2"
				r.Update([]*wire.Backend{e}, nil, nil, false)
			},
			req: req, pick: "e2",
		},
		"not under a recalled lease": {
			set: func(r *router.Router) { r.Recall([]uint64{1}) }, req: req, pick: "e2",
		},
		"not one that failed this request": {
			set: func(*router.Router) {}, req: router.Request{Adapter: "a@1", Avoid: []string{"e1"}}, pick: "e2",
		},
		"one that failed recently comes last": {
			set: func(r *router.Router) {
				c := r.Pick(now(), req)
				r.Begin(now(), req, c)
				r.End(now(), c, true)
			},
			req: req, pick: "e2",
		},
		"no engine has the version": {
			set: func(*router.Router) {}, req: router.Request{Adapter: "a@2"},
		},
		"no engine without a lease": {
			set: func(r *router.Router) { r.DropLeases() }, req: req,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newRouter(engine("e1", "here", 0), engine("e2", "here", 0))
			tc.set(r)
			got := r.Pick(now(), tc.req)
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
	req := router.Request{Adapter: "a@1"}
	first, second := r.Pick(now(), req), r.Pick(now(), req)
	r.Begin(now(), req, first)
	r.Begin(now(), req, second)
	r.Recall([]uint64{1})
	c.Assert(r.Pick(now(), req), qt.IsNil)
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
	req := router.Request{Adapter: "a@1"}
	picked := map[string]int{}
	for range 10 {
		candidate := r.Pick(now(), req)
		picked[candidate.Backend.GetName()]++
		r.Begin(now(), req, candidate)
	}
	// Neither report has changed, yet the second gets its share once the first is full.
	c.Assert(picked["e1"] >= 2 && picked["e2"] >= 2, qt.IsTrue, qt.Commentf("%v", picked))
}
