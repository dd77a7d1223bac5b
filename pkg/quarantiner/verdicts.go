package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

// evidence is what counts against a request.
type evidence struct {
	crashes []*crash
	// beforeAnswer is how many of them came before any part of the answer.
	beforeAnswer int
}

// evidenceAgainst returns the crashes that are not attributed to another request.
func (q *Quarantiner) evidenceAgainst(fingerprint string, known *record) evidence {
	var c evidence
	for _, e := range known.crashes {
		if attributedToOther(e, fingerprint) || IsPart(fingerprint) && isOutage(e, fingerprint) {
			continue
		}
		c.crashes = append(c.crashes, e)
		if !e.lost[fingerprint].begun {
			c.beforeAnswer++
		}
	}
	return c
}

// attributedToOther reports whether only others are quarantined for a crash. A request does not explain
// it for a part, which the request may hold as well, and the next one with the part is another request.
func attributedToOther(e *crash, fingerprint string) bool {
	if e.culprits[fingerprint] {
		return false
	}
	for culprit := range e.culprits {
		if IsPart(culprit) || !IsPart(fingerprint) {
			return true
		}
	}
	return false
}

// candidate is a request or a part with enough crashes for a quarantine.
type candidate struct {
	fingerprint string
	known       *record
	// completed is set for a part with runs that were completed a short time before.
	completed bool
	evidence
}

// compare orders candidates by the evidence against them, the strongest first.
func (a *candidate) compare(b *candidate) int {
	return cmp.Or(compareFlags(a.completed, b.completed), cmp.Compare(len(b.crashes), len(a.crashes)),
		cmp.Compare(b.beforeAnswer, a.beforeAnswer), compareFlags(!IsPart(a.fingerprint), !IsPart(b.fingerprint)))
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Evaluate returns the requests to quarantine from now on.
func (q *Quarantiner) Evaluate(now time.Time) []*wire.HeldRequest {
	var decisions []*wire.HeldRequest
	for {
		list := q.candidates(now)
		if len(list) == 0 {
			return decisions
		}
		// Those with equal evidence are all quarantined, as any of them may be the cause.
		equal := slices.IndexFunc(list, func(a *candidate) bool { return a.compare(list[0]) != 0 })
		if equal >= 0 {
			list = list[:equal]
		}
		for _, a := range list {
			decisions = append(decisions, q.decide(now, a, len(list) > 1))
		}
	}
}

// candidates returns the requests with enough evidence against them, strongest first.
func (q *Quarantiner) candidates(now time.Time) []*candidate {
	var list []*candidate
	for fingerprint, known := range q.records {
		if len(known.crashes) < q.threshold(fingerprint) || !q.decided[fingerprint].IsZero() {
			continue
		}
		a := &candidate{fingerprint: fingerprint, known: known, evidence: q.evidenceAgainst(fingerprint, known)}
		a.completed = IsPart(fingerprint) && q.completions.recent(now, fingerprint)
		if !a.explains(q.held[fingerprint]) {
			continue
		}
		if len(a.crashes) >= q.threshold(fingerprint) && now.Sub(known.thresholdAt) >= a.requiredDelay(q.held[fingerprint]) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *candidate) int {
		return cmp.Or(a.compare(b), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	return list
}

// threshold returns how many crashes quarantine a request: one for a request on trial, which
// has crashed enough servers already.
func (q *Quarantiner) threshold(fingerprint string) int {
	switch h := q.held[fingerprint]; {
	case h == nil:
		return QuarantineThreshold
	case h.GetOnTrial():
		return 1
	}
	return maxCrashes + 1
}

// explains reports whether a part explains crashes that no single request does. Where the evidence is weak
// it takes more of them: if runs with the part were completed a short time before, answers had begun before
// some of the crashes, or others crashed without the part at the same time. A part with completed runs
// must have crashed backend servers one after the other since, each before any part of an answer.
func (a *candidate) explains(held *wire.HeldRequest) bool {
	switch {
	case held != nil || !IsPart(a.fingerprint):
		return true
	case len(a.known.requests) < requestsPerPart:
		return false
	case a.completed && (a.beforeAnswer < len(a.crashes) || !a.sequential()):
		return false
	case a.completed || a.beforeAnswer < QuarantineThreshold || a.coincides():
		return len(a.crashes) >= weakEvidenceThreshold
	}
	return true
}

// requiredDelay returns how long the evidence must have stood.
func (a *candidate) requiredDelay(held *wire.HeldRequest) time.Duration {
	switch {
	case held != nil:
		return 0
	case a.completed:
		return completedPartSettleDelay
	case a.sequential() && IsPart(a.fingerprint):
		return partSettleDelay
	case a.sequential():
		return settleDelay
	}
	return concurrentSettleDelay
}

// sequential reports whether enough runs began after the crash of the one before.
func (a *candidate) sequential() bool {
	slices.SortFunc(a.crashes, func(x, y *crash) int { return x.at.Compare(y.at) })
	chain, last := 0, time.Time{}
	for _, e := range a.crashes {
		began := e.at.Add(-e.lost[a.fingerprint].ran)
		if chain == 0 || !began.Before(last.Add(-reportSkew)) {
			chain++
			last = e.at
		}
	}
	return chain >= QuarantineThreshold
}

// coincides reports whether a backend server crashed without a part at the same time as one with it.
func (a *candidate) coincides() bool {
	return slices.ContainsFunc(a.crashes, func(e *crash) bool { return unexplainedNear(e, a.fingerprint) > 0 })
}

// decide attributes the crashes to a request or a part and returns the quarantine decision. tied means
// that others have the same evidence against them.
func (q *Quarantiner) decide(now time.Time, a *candidate, tied bool) *wire.HeldRequest {
	q.decided[a.fingerprint] = now
	decision := &wire.HeldRequest{
		Fingerprint: a.fingerprint, Service: a.known.lastReport.GetService(), Model: a.known.lastReport.GetModel(),
		Place: a.known.lastReport.GetPlace(), Caller: a.known.lastReport.GetCaller(),
	}
	if IsPart(a.fingerprint) {
		// It crashes backend servers whatever else a request holds.
		decision.Model, decision.Caller = "", ""
		decision.Ambiguous = q.held[a.fingerprint] == nil && (tied || a.completed || a.coincides())
	}
	for _, e := range a.crashes {
		e.culprits[a.fingerprint] = true
		decision.Backends = append(decision.Backends, e.backend)
	}
	slices.Sort(decision.Backends)
	q.clearExplained(decision)
	return decision
}

// clearExplained clears the quarantined requests for whose crashes a part accounts: they were lost with it.
func (q *Quarantiner) clearExplained(part *wire.HeldRequest) {
	if !IsPart(part.GetFingerprint()) || part.GetAmbiguous() {
		return
	}
	for fingerprint, h := range q.held {
		unexplained := func(backend string) bool { return !slices.Contains(part.GetBackends(), backend) }
		if !IsPart(fingerprint) && len(h.GetBackends()) > 0 && !slices.ContainsFunc(h.GetBackends(), unexplained) {
			q.cleared[fingerprint] = true
		}
	}
}
