package applier

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

const (
	// MaxQuarantined bounds the requests that are held back, and with them the state and what each
	// gateway keeps. Each has cost some backend servers, so that there are few; of more the
	// one that was held first gives way.
	MaxQuarantined = 1024
	// QuarantinePeriod is how long a request is refused that ends what runs it: those who look after
	// the models see it on the next working day.
	QuarantinePeriod = 24 * time.Hour
	// forgetHeldAfter is how long a request that was held may wait for its trial: callers
	// that come back after a week are taken for new ones.
	forgetHeldAfter = 7 * 24 * time.Hour
)

// hold takes up a request that is refused from here on.
func (r *StateMachine) hold(h *wire.HeldRequest) {
	if h.GetFingerprint() == "" {
		return
	}
	h = proto.CloneOf(h)
	h.HeldAtNs, h.OnTrial = r.now, false
	r.heldRevision++
	r.held[h.GetFingerprint()] = h
	for len(r.held) > MaxQuarantined {
		delete(r.held, r.Quarantined()[0].GetFingerprint())
		r.heldDropped++
	}
}

// QuarantineEvictions returns how many requests have made room for others in this process.
func (r *StateMachine) QuarantineEvictions() int { return r.heldDropped }

// tryHeldAgain lets requests be tried again whose adapter or model has a new version.
func (r *StateMachine) tryHeldAgain(v *wire.AdapterVersion) {
	for fingerprint, h := range r.held {
		if isOf(h.GetModel(), v) && !h.GetOnTrial() {
			r.setOnTrial(fingerprint, h)
		}
	}
}

// isOf reports whether a model or adapter has changed with a version: that of the adapter
// itself, or of its base model.
func isOf(model string, v *wire.AdapterVersion) bool {
	base, _, _ := strings.Cut(model, "/")
	if v.GetAdapter() == "" {
		return base == v.GetModel()
	}
	return model == v.GetModel()+"/"+v.GetAdapter()
}

func (r *StateMachine) setOnTrial(fingerprint string, h *wire.HeldRequest) {
	h = proto.CloneOf(h)
	h.OnTrial = true
	r.heldRevision++
	r.held[fingerprint] = h
}

// expireHeld lets requests be tried again that were held for long, and forgets older ones. It
// looks at them only when the time of one has come, since it is called for each entry.
func (r *StateMachine) expireHeld() {
	if r.dueRevision != r.heldRevision {
		r.heldDue, r.dueRevision = r.nextHeldDue(), r.heldRevision
	}
	if r.heldDue == 0 || r.now < r.heldDue {
		return
	}
	for fingerprint, h := range r.held {
		switch age := time.Duration(r.now - h.GetHeldAtNs()); {
		case age >= forgetHeldAfter:
			r.releaseHeld(fingerprint)
		case age >= QuarantinePeriod && !h.GetOnTrial():
			r.setOnTrial(fingerprint, h)
		}
	}
}

// nextHeldDue returns when the time of the next request comes, 0 if there is none.
func (r *StateMachine) nextHeldDue() int64 {
	next := int64(0)
	for _, h := range r.held {
		if due := heldDue(h); next == 0 || due < next {
			next = due
		}
	}
	return next
}

// heldDue returns when a request that is held is to be tried again, or one on trial forgotten.
func heldDue(h *wire.HeldRequest) int64 {
	if h.GetOnTrial() {
		return h.GetHeldAtNs() + int64(forgetHeldAfter)
	}
	return h.GetHeldAtNs() + int64(QuarantinePeriod)
}

func (r *StateMachine) releaseHeld(fingerprint string) {
	if r.held[fingerprint] != nil {
		delete(r.held, fingerprint)
		r.heldRevision++
	}
}

// QuarantineRevision changes in this process with each change of the requests that are held back.
func (r *StateMachine) QuarantineRevision() uint64 { return r.heldRevision }

// Quarantined returns the requests that are held back, those first that were held first.
func (r *StateMachine) Quarantined() []*wire.HeldRequest {
	return slices.SortedFunc(maps.Values(r.held), func(a, b *wire.HeldRequest) int {
		return cmp.Or(cmp.Compare(a.GetHeldAtNs(), b.GetHeldAtNs()), cmp.Compare(a.GetFingerprint(), b.GetFingerprint()))
	})
}
