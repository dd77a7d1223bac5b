package disseminator

import (
	"bronzelead.example/pkg/wire"
)

const (
	// maxLog bounds the changes that are stored for differences: at 600 changes a second, some
	// seven seconds, many times what a gateway may lag behind.
	maxLog = 4096
	// termShift is the bit position of the leader's term in a revision, so that the revisions
	// of a later leader are higher than all of an earlier one.
	termShift = 32
)

// Holdings are the adapters that engines hold, as known to one leader, and the latest changes
// of them. Make one with NewHoldings.
type Holdings struct {
	revision uint64
	engines  map[string]map[string]bool
	// log holds the changes after the revision since, in order.
	log   []change
	since uint64
}

// change records a change of an adapter at an engine; without an adapter, all holdings of the
// engine were replaced.
type change struct {
	revision uint64
	backend  string
	adapter  string
}

// NewHoldings returns empty holdings.
func NewHoldings() *Holdings { return &Holdings{engines: map[string]map[string]bool{}} }

// Revision returns the revision of the latest change, 0 if nothing is known.
func (h *Holdings) Revision() uint64 { return h.revision }

// Term returns the term of the leader that the holdings come from.
func (h *Holdings) Term() uint64 { return h.revision >> termShift }

// Reset clears the holdings and starts a leader's history at a revision.
func (h *Holdings) Reset(revision uint64) {
	clear(h.engines)
	h.log, h.revision, h.since = nil, revision, revision
}

// Set sets all that an engine holds, as MODEL/NAME@VERSION, as of a revision.
func (h *Holdings) Set(revision uint64, backend string, adapters []string) {
	h.revision = max(h.revision, revision)
	before, known := h.engines[backend]
	if !known {
		h.replace(backend, adapters)
		return
	}
	now := setOf(adapters)
	for adapter := range before {
		if !now[adapter] {
			h.logChange(backend, adapter)
		}
	}
	for adapter := range now {
		if !before[adapter] {
			h.logChange(backend, adapter)
		}
	}
	h.engines[backend] = now
}

// Advance raises the revision when nothing else has changed up to it.
func (h *Holdings) Advance(revision uint64) { h.revision = max(h.revision, revision) }

// Drop removes an engine that has left. It is not logged as a change, since the announcement of
// the departure suffices.
func (h *Holdings) Drop(backend string) { delete(h.engines, backend) }

// Get returns what an engine holds, and false if it is unknown.
func (h *Holdings) Get(backend string) ([]string, bool) {
	held, ok := h.engines[backend]
	return listOf(held), ok
}

// Since returns the changes after a caller's revision, and the revision that they are a
// difference from; 0 if the list is complete. Each changed adapter is listed in its latest
// state, even if the caller knows it: callers at different revisions then converge.
func (h *Holdings) Since(revision uint64) (list []*wire.Holding, from uint64) {
	switch {
	case revision >= h.revision:
		return nil, revision
	case revision < h.since:
		return h.all(), 0
	}
	first := len(h.log)
	for first > 0 && h.log[first-1].revision > revision {
		first--
	}
	return h.differences(h.log[first:]), revision
}

func (h *Holdings) all() []*wire.Holding {
	list := make([]*wire.Holding, 0, len(h.engines))
	for backend, held := range h.engines {
		list = append(list, &wire.Holding{Backend: backend, Adapters: listOf(held)})
	}
	return list
}

// differences merges changes into one holding for each engine.
func (h *Holdings) differences(changes []change) []*wire.Holding {
	var list []*wire.Holding
	byBackend := map[string]*wire.Holding{}
	listed := map[change]bool{}
	for _, c := range changes {
		held, known := h.engines[c.backend]
		c.revision = 0
		if !known || listed[c] {
			continue
		}
		listed[c] = true
		d := byBackend[c.backend]
		if d == nil {
			d = &wire.Holding{Backend: c.backend, Difference: true}
			byBackend[c.backend] = d
			list = append(list, d)
		}
		switch {
		case !d.GetDifference():
		case c.adapter == "":
			d.Difference, d.Adapters, d.Gone = false, listOf(held), nil
		case held[c.adapter]:
			d.Adapters = append(d.Adapters, c.adapter)
		default:
			d.Gone = append(d.Gone, c.adapter)
		}
	}
	return list
}

// Apply applies what another instance sent, up to a revision and as a difference from another
// one, and returns the changed engines. Outdated input is ignored. It reports false for a
// difference from a revision that is not known here, which leaves a gap: then the complete
// holdings must be requested.
func (h *Holdings) Apply(revision, from uint64, list []*wire.Holding) (changed []string, ok bool) {
	if revision <= h.revision {
		return nil, true
	}
	switch {
	case from == 0:
		h.Reset(revision)
	case from > h.revision || from < h.since&^(1<<termShift-1):
		return nil, false
	}
	h.revision = revision
	for _, holding := range list {
		if holding.GetDifference() {
			h.merge(holding)
		} else {
			h.replace(holding.GetBackend(), holding.GetAdapters())
		}
		changed = append(changed, holding.GetBackend())
	}
	return changed, true
}

// merge applies the difference of one engine.
func (h *Holdings) merge(holding *wire.Holding) {
	held := h.engines[holding.GetBackend()]
	if held == nil {
		held = map[string]bool{}
		h.engines[holding.GetBackend()] = held
	}
	for _, adapter := range holding.GetGone() {
		delete(held, adapter)
		h.logChange(holding.GetBackend(), adapter)
	}
	for _, adapter := range holding.GetAdapters() {
		held[adapter] = true
		h.logChange(holding.GetBackend(), adapter)
	}
}

func (h *Holdings) replace(backend string, adapters []string) {
	h.engines[backend] = setOf(adapters)
	h.logChange(backend, "")
}

// logChange stores a change for differences, and drops the older half of the log when it is
// full.
func (h *Holdings) logChange(backend, adapter string) {
	if len(h.log) >= maxLog {
		forgotten := len(h.log) / 2
		h.since = h.log[forgotten-1].revision
		h.log = append([]change(nil), h.log[forgotten:]...)
	}
	h.log = append(h.log, change{h.revision, backend, adapter})
}

func setOf(list []string) map[string]bool {
	set := make(map[string]bool, len(list))
	for _, item := range list {
		set[item] = true
	}
	return set
}

func listOf(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for item := range set {
		list = append(list, item)
	}
	return list
}
