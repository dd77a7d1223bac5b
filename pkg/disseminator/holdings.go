package disseminator

import (
	"bronzelead.example/pkg/wire"
)

const (
	// maxLog bounds the changes that are kept for differences: at 600 changes a second those
	// of some seven seconds, many times what a gateway may be behind.
	maxLog = 4096
	// termShift is where a revision has the term of its leader, so that those of a later
	// leader are higher than all of an earlier one.
	termShift = 32
)

// Holdings are the adapters that engines hold, by the word of one leader, and the latest
// changes of them. Make one with NewHoldings.
type Holdings struct {
	revision uint64
	engines  map[string]map[string]bool
	// log holds the changes after the revision since, in order.
	log   []change
	since uint64
}

// change says that something about an adapter at an engine has changed; without an
// adapter all that is known of the engine is new.
type change struct {
	revision uint64
	backend  string
	adapter  string
}

// NewHoldings returns holdings of which nothing is known.
func NewHoldings() *Holdings { return &Holdings{engines: map[string]map[string]bool{}} }

// Revision returns the revision of the latest change, 0 if nothing is known.
func (h *Holdings) Revision() uint64 { return h.revision }

// Term returns the term of the leader whose word the holdings are.
func (h *Holdings) Term() uint64 { return h.revision >> termShift }

// Reset forgets everything: a leader begins at a revision.
func (h *Holdings) Reset(revision uint64) {
	clear(h.engines)
	h.log, h.revision, h.since = nil, revision, revision
}

// Set takes all that an engine holds, as MODEL/NAME@VERSION, as of a revision.
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
			h.note(backend, adapter)
		}
	}
	for adapter := range now {
		if !before[adapter] {
			h.note(backend, adapter)
		}
	}
	h.engines[backend] = now
}

// Advance notes that nothing else has changed up to a revision.
func (h *Holdings) Advance(revision uint64) { h.revision = max(h.revision, revision) }

// Drop forgets an engine that has left. Nobody is told: that it has left is news enough.
func (h *Holdings) Drop(backend string) { delete(h.engines, backend) }

// Get returns what an engine holds, and false if nothing is known of it.
func (h *Holdings) Get(backend string) ([]string, bool) {
	held, ok := h.engines[backend]
	return listOf(held), ok
}

// Since returns what a caller has to be told that knows a revision, and the revision from
// which on this is a difference; 0 if it is all that is known. For each adapter that has
// changed the latest state is told, also if the caller knows it: callers at different
// revisions then end with the same.
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

// differences sums changes up, one holding for each engine.
func (h *Holdings) differences(changes []change) []*wire.Holding {
	var list []*wire.Holding
	byBackend := map[string]*wire.Holding{}
	told := map[change]bool{}
	for _, c := range changes {
		held, known := h.engines[c.backend]
		c.revision = 0
		if !known || told[c] {
			continue
		}
		told[c] = true
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

// Apply takes what another instance has told, up to a revision and as a difference from
// another one, and returns the engines of which something is new. What is not newer than
// what is known changes nothing. It reports false for a difference from more than is
// known, which leaves a gap: then all has to be asked for.
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
	for _, told := range list {
		if told.GetDifference() {
			h.merge(told)
		} else {
			h.replace(told.GetBackend(), told.GetAdapters())
		}
		changed = append(changed, told.GetBackend())
	}
	return changed, true
}

// merge takes a difference of one engine.
func (h *Holdings) merge(told *wire.Holding) {
	held := h.engines[told.GetBackend()]
	if held == nil {
		held = map[string]bool{}
		h.engines[told.GetBackend()] = held
	}
	for _, adapter := range told.GetGone() {
		delete(held, adapter)
		h.note(told.GetBackend(), adapter)
	}
	for _, adapter := range told.GetAdapters() {
		held[adapter] = true
		h.note(told.GetBackend(), adapter)
	}
}

func (h *Holdings) replace(backend string, adapters []string) {
	h.engines[backend] = setOf(adapters)
	h.note(backend, "")
}

// note keeps a change for differences, and forgets the oldest half of them when there are
// too many.
func (h *Holdings) note(backend, adapter string) {
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
