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
	// MaxQuarantined bounds the quarantined requests, and with them the state and the memory of
	// each gateway. Each has cost some backend servers, so there are few; beyond the bound the
	// oldest is dropped.
	MaxQuarantined = 1024
	// QuarantinePeriod is how long a request that crashes backend servers is refused: the
	// operators of the models see it on the next working day.
	QuarantinePeriod = 24 * time.Hour
	// ambiguousPeriod is the time until the trial of one that others may account for, so that those
	// refused wrongly are served again soon.
	ambiguousPeriod = 10 * time.Second
	// quarantineRetention is how long after its quarantine a request may wait for its trial:
	// callers that return after a week are treated as new.
	quarantineRetention = 7 * 24 * time.Hour
)

// quarantine adds a request that is refused from now on.
func (sm *StateMachine) quarantine(h *wire.HeldRequest) {
	if h.GetFingerprint() == "" {
		return
	}
	h = proto.CloneOf(h)
	h.HeldAtNs, h.OnTrial = sm.now, false
	sm.quarantineRevision++
	sm.quarantined[h.GetFingerprint()] = h
	for len(sm.quarantined) > MaxQuarantined {
		delete(sm.quarantined, sm.Quarantined()[0].GetFingerprint())
		sm.quarantineEvictions++
	}
}

// QuarantineEvictions returns how many requests were dropped for newer ones in this process.
func (sm *StateMachine) QuarantineEvictions() int { return sm.quarantineEvictions }

// startTrials puts requests on trial whose adapter or model has a new version.
func (sm *StateMachine) startTrials(v *wire.AdapterVersion) {
	for fingerprint, h := range sm.quarantined {
		if affectedBy(h.GetModel(), v) && !h.GetOnTrial() {
			sm.setOnTrial(fingerprint, h)
		}
	}
}

// affectedBy reports whether a new version concerns a model or adapter: that of the adapter
// itself, or of its base model.
func affectedBy(model string, v *wire.AdapterVersion) bool {
	base, _, _ := strings.Cut(model, "/")
	if v.GetAdapter() == "" {
		return base == v.GetModel()
	}
	return model == v.GetModel()+"/"+v.GetAdapter()
}

func (sm *StateMachine) setOnTrial(fingerprint string, h *wire.HeldRequest) {
	h = proto.CloneOf(h)
	h.OnTrial = true
	sm.quarantineRevision++
	sm.quarantined[fingerprint] = h
}

// expireQuarantine puts requests on trial after QuarantinePeriod, and removes older ones. It
// scans them only when one is due, since it is called for each entry.
func (sm *StateMachine) expireQuarantine() {
	if !sm.QuarantineDue(time.Unix(0, sm.now)) {
		return
	}
	for fingerprint, h := range sm.quarantined {
		switch age := time.Duration(sm.now - h.GetHeldAtNs()); {
		case age >= quarantineRetention:
			sm.releaseQuarantined(fingerprint)
		case age >= PeriodOf(h) && !h.GetOnTrial():
			sm.setOnTrial(fingerprint, h)
		}
	}
}

// QuarantineDue reports whether the next entry in the log puts a request on trial or removes one.
func (sm *StateMachine) QuarantineDue(now time.Time) bool {
	if sm.dueAtRevision != sm.quarantineRevision {
		sm.quarantineDueAt, sm.dueAtRevision = sm.nextQuarantineDue(), sm.quarantineRevision
	}
	return sm.quarantineDueAt != 0 && now.UnixNano() >= sm.quarantineDueAt
}

// nextQuarantineDue returns when the next request is due, 0 if there is none.
func (sm *StateMachine) nextQuarantineDue() int64 {
	next := int64(0)
	for _, h := range sm.quarantined {
		if due := quarantineDue(h); next == 0 || due < next {
			next = due
		}
	}
	return next
}

// quarantineDue returns when a request is to be put on trial, or one on trial removed.
func quarantineDue(h *wire.HeldRequest) int64 {
	if h.GetOnTrial() {
		return h.GetHeldAtNs() + int64(quarantineRetention)
	}
	return h.GetHeldAtNs() + int64(PeriodOf(h))
}

// PeriodOf returns how long a request is refused until its trial.
func PeriodOf(h *wire.HeldRequest) time.Duration {
	if h.GetAmbiguous() {
		return ambiguousPeriod
	}
	return QuarantinePeriod
}

func (sm *StateMachine) releaseQuarantined(fingerprint string) {
	if sm.quarantined[fingerprint] != nil {
		delete(sm.quarantined, fingerprint)
		sm.quarantineRevision++
	}
}

// QuarantineRevision changes in this process with each change of the quarantined requests.
func (sm *StateMachine) QuarantineRevision() uint64 { return sm.quarantineRevision }

// Quarantined returns the quarantined requests, oldest first.
func (sm *StateMachine) Quarantined() []*wire.HeldRequest {
	return slices.SortedFunc(maps.Values(sm.quarantined), func(a, b *wire.HeldRequest) int {
		return cmp.Or(cmp.Compare(a.GetHeldAtNs(), b.GetHeldAtNs()), cmp.Compare(a.GetFingerprint(), b.GetFingerprint()))
	})
}
