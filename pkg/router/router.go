// Package router chooses the backend server for a request, among those that the gateway may
// use: engines on which it holds a lease for the adapter, and the replicas of a plain service.
//
// It is pure: it performs no I/O and receives the time as an argument. Loads are hints; a
// gateway corrects each lagged report by what it has itself sent since. It is not safe for
// concurrent use.
package router

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

// LeaseID identifies a lease on an adapter at an engine.
type LeaseID uint64

// Policy holds the weights of a choice.
type Policy struct {
	// BatchWeight weights the slots that stay empty in an engine's batch.
	BatchWeight float64
	// StallWeight weights the work that waits before a request.
	StallWeight float64
	// PrefixWeight weights a prompt prefix that the engine has cached.
	PrefixWeight float64
	// ZoneWeight weights leaving the gateway's availability zone.
	ZoneWeight float64
	// SuspectPeriod is how long a backend server that failed is chosen last.
	SuspectPeriod time.Duration
	// MaxLeaseIdle is how long an unused lease is kept.
	MaxLeaseIdle time.Duration
}

// Router holds the backend servers and leases of one gateway. Set the exported fields before
// use.
type Router struct {
	Policy Policy
	// Zone is the gateway's availability zone.
	Zone string
	// Choose overrides the policy's choice among candidates; benchmark baselines use it.
	Choose func(candidates []*Candidate) *Candidate

	backends map[string]*backend
	leases   map[LeaseID]*lease
	adapters map[string]map[LeaseID]*lease
	released []uint64
	demand   map[string]*demand
	prefixes prefixCache
}

type backend struct {
	info    *wire.Backend
	drained bool
	// inFlight counts the gateway's requests there; sentSinceReport those since the last
	// report.
	inFlight        int
	sentSinceReport int
	suspectedUntil  time.Time
}

type lease struct {
	grant    *wire.LeaseGrant
	inUse    int
	recalled bool
	lastUsed time.Time
}

// demand is a gateway's use of one adapter.
type demand struct {
	base    string
	waiting uint32
	running uint32
	started uint32
	changed bool
}

// Candidate is a backend server that could serve a request.
type Candidate struct {
	Backend *wire.Backend
	Lease   LeaseID
	// Load is the estimated number of requests there.
	Load int
	// Score is better when lower.
	Score        float64
	PrefixCached bool
	Suspected    bool
	SameZone     bool
}

// Request holds the routing requirements of a request.
type Request struct {
	// Adapter is the model name with its version; empty for a plain service.
	Adapter string
	Service string
	// Prefix is a digest of the prompt's beginning, or 0.
	Prefix uint64
	// Avoid names backend servers that failed this request.
	Avoid []string
}

// Update applies the known state of backend servers. With whole set, those that aren't listed
// are removed.
func (r *Router) Update(list []*wire.Backend, removed, drained []string, whole bool) {
	if r.backends == nil {
		r.backends = map[string]*backend{}
	}
	named := map[string]bool{}
	for _, info := range list {
		named[info.GetName()] = true
		b := r.backends[info.GetName()]
		if b == nil || b.info.GetIncarnation() != info.GetIncarnation() {
			b = &backend{}
			r.backends[info.GetName()] = b
		}
		b.info = info
		b.sentSinceReport = 0
	}
	for name, b := range r.backends {
		if whole && !named[name] || slices.Contains(removed, name) {
			delete(r.backends, name)
			continue
		}
		b.drained = slices.Contains(drained, name)
	}
}

// Grant adds leases.
func (r *Router) Grant(now time.Time, grants []*wire.LeaseGrant) {
	if r.leases == nil {
		r.leases = map[LeaseID]*lease{}
		r.adapters = map[string]map[LeaseID]*lease{}
	}
	for _, g := range grants {
		id := LeaseID(g.GetId())
		if r.leases[id] != nil {
			continue
		}
		l := &lease{grant: g, lastUsed: now}
		r.leases[id] = l
		if r.adapters[g.GetAdapter()] == nil {
			r.adapters[g.GetAdapter()] = map[LeaseID]*lease{}
		}
		r.adapters[g.GetAdapter()][id] = l
	}
}

// Recall starts to release leases: no new request uses them, and each is released when its last
// request has ended.
func (r *Router) Recall(ids []uint64) {
	for _, id := range ids {
		l := r.leases[LeaseID(id)]
		if l == nil {
			// It was released, or never arrived; the leader must be notified either way.
			r.released = append(r.released, id)
			continue
		}
		l.recalled = true
		r.releaseIfUnused(LeaseID(id), l)
	}
}

// ReleaseIdle releases leases that were not used for a while.
func (r *Router) ReleaseIdle(now time.Time) {
	for id, l := range r.leases {
		if l.inUse == 0 && now.Sub(l.lastUsed) > r.Policy.MaxLeaseIdle {
			l.recalled = true
			r.releaseIfUnused(id, l)
		}
	}
}

// DropLeases drops all leases when the session that held them has ended.
func (r *Router) DropLeases() {
	r.leases, r.adapters, r.released = nil, nil, nil
}

func (r *Router) releaseIfUnused(id LeaseID, l *lease) {
	if !l.recalled || l.inUse > 0 {
		return
	}
	r.removeLease(id, l)
	r.released = append(r.released, uint64(id))
}

func (r *Router) removeLease(id LeaseID, l *lease) {
	delete(r.leases, id)
	delete(r.adapters[l.grant.GetAdapter()], id)
	if len(r.adapters[l.grant.GetAdapter()]) == 0 {
		delete(r.adapters, l.grant.GetAdapter())
	}
}

// Pick returns the best backend server for a request, or nil when none may be used.
func (r *Router) Pick(now time.Time, req Request) *Candidate {
	candidates := r.candidates(now, req)
	if len(candidates) == 0 {
		return nil
	}
	if r.Choose != nil {
		return r.Choose(candidates)
	}
	return slices.MinFunc(candidates, func(a, b *Candidate) int {
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.Backend.GetName(), b.Backend.GetName()))
	})
}

func (r *Router) candidates(now time.Time, req Request) []*Candidate {
	var candidates []*Candidate
	add := func(b *backend, id LeaseID) {
		if b == nil || b.info.GetLeaving() || b.drained || slices.Contains(req.Avoid, b.info.GetName()) {
			return
		}
		candidates = append(candidates, r.candidate(now, req, b, id))
	}
	if req.Service != "" {
		for _, name := range slices.Sorted(maps.Keys(r.backends)) {
			if b := r.backends[name]; b.info.GetService() == req.Service {
				add(b, 0)
			}
		}
		return candidates
	}
	for id, l := range r.adapters[req.Adapter] {
		b := r.backends[l.grant.GetBackend()]
		if !l.recalled && b != nil && b.info.GetIncarnation() == l.grant.GetIncarnation() {
			add(b, id)
		}
	}
	return candidates
}

func (r *Router) candidate(now time.Time, req Request, b *backend, id LeaseID) *Candidate {
	c := &Candidate{
		Backend: b.info, Lease: id, Load: b.load(),
		Suspected: now.Before(b.suspectedUntil), SameZone: b.info.GetZone() == r.Zone,
		PrefixCached: req.Prefix != 0 && r.prefixes.has(b.info.GetName(), req.Prefix),
	}
	c.Score = r.score(c)
	return c
}

const suspectPenalty = 1000

// score weighs empty batch slots against waiting behind a full batch.
func (r *Router) score(c *Candidate) float64 {
	batch := float64(max(1, c.Backend.GetBatch()))
	fill := float64(c.Load) / batch
	score := r.Policy.StallWeight * max(0, fill-1)
	score += r.Policy.BatchWeight * max(0, 1-fill)
	if r.Policy.BatchWeight == 0 {
		score = r.Policy.StallWeight * fill
	}
	if c.PrefixCached {
		score -= r.Policy.PrefixWeight
	}
	if !c.SameZone {
		score += r.Policy.ZoneWeight
	}
	if c.Suspected {
		score += suspectPenalty
	}
	return score
}

// load is the last report plus what this gateway has sent since, and at least its own requests.
func (b *backend) load() int {
	reported := int(b.info.GetRunning() + b.info.GetWaiting())
	return max(reported+b.sentSinceReport, b.inFlight)
}

// Begin records that a request is sent to a candidate.
func (r *Router) Begin(now time.Time, req Request, c *Candidate) {
	if b := r.backends[c.Backend.GetName()]; b != nil {
		b.inFlight++
		b.sentSinceReport++
	}
	if l := r.leases[c.Lease]; l != nil {
		l.inUse++
		l.lastUsed = now
	}
	if req.Prefix != 0 {
		r.prefixes.add(c.Backend.GetName(), req.Prefix)
	}
}

// End records that a request at a candidate has ended. With failed set, the backend server is
// chosen last for a while.
func (r *Router) End(now time.Time, c *Candidate, failed bool) {
	b := r.backends[c.Backend.GetName()]
	if b != nil && b.info.GetIncarnation() == c.Backend.GetIncarnation() {
		b.inFlight--
		b.sentSinceReport--
		if failed {
			b.suspectedUntil = now.Add(r.Policy.SuspectPeriod)
		}
	}
	if l := r.leases[c.Lease]; l != nil {
		l.inUse--
		l.lastUsed = now
		r.releaseIfUnused(c.Lease, l)
	}
}

// RecordMissing records that an engine reported an adapter missing despite the lease.
func (r *Router) RecordMissing(c *Candidate) {
	if l := r.leases[c.Lease]; l != nil {
		l.recalled = true
		r.releaseIfUnused(c.Lease, l)
	}
}

// HasBackend reports whether any backend server accepts new work for a base model or, if that
// is empty, for a service.
func (r *Router) HasBackend(baseModel, service string) bool {
	for _, b := range r.backends {
		accepts := !b.info.GetLeaving() && !b.drained
		matches := baseModel != "" && b.info.GetBaseModel() == baseModel ||
			baseModel == "" && b.info.GetService() == service
		if accepts && matches {
			return true
		}
	}
	return false
}
