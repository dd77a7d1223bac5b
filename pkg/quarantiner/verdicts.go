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
		if attributedToOther(e, fingerprint) {
			continue
		}
		c.crashes = append(c.crashes, e)
		if !e.lost[fingerprint].begun {
			c.beforeAnswer++
		}
	}
	return c
}

// attributedToOther reports whether only other requests are quarantined for a crash.
func attributedToOther(e *crash, fingerprint string) bool {
	return len(e.culprits) > 0 && !e.culprits[fingerprint]
}

// candidate is a request with enough crashes for a quarantine.
type candidate struct {
	fingerprint string
	known       *record
	evidence
}

// Evaluate returns the requests to quarantine from now on.
func (q *Quarantiner) Evaluate(now time.Time) []*wire.HeldRequest {
	var decisions []*wire.HeldRequest
	for {
		list := q.candidates(now)
		if len(list) == 0 {
			return decisions
		}
		// Requests with equal evidence are all quarantined, as any of them may be the cause.
		for _, a := range list {
			if len(a.crashes) == len(list[0].crashes) && a.beforeAnswer == list[0].beforeAnswer {
				decisions = append(decisions, q.decide(now, a))
			}
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
		if len(a.crashes) >= q.threshold(fingerprint) && now.Sub(known.thresholdAt) >= a.requiredDelay(q.held[fingerprint]) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(b.beforeAnswer, a.beforeAnswer), cmp.Compare(a.fingerprint, b.fingerprint))
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

// requiredDelay returns how long the evidence against a request must have stood.
func (a *candidate) requiredDelay(held *wire.HeldRequest) time.Duration {
	switch {
	case held != nil:
		return 0
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

// decide attributes the crashes to a request and returns the quarantine decision.
func (q *Quarantiner) decide(now time.Time, a *candidate) *wire.HeldRequest {
	q.decided[a.fingerprint] = now
	decision := &wire.HeldRequest{
		Fingerprint: a.fingerprint, Service: a.known.lastReport.GetService(), Model: a.known.lastReport.GetModel(),
		Place: a.known.lastReport.GetPlace(), Caller: a.known.lastReport.GetCaller(),
	}
	for _, e := range a.crashes {
		e.culprits[a.fingerprint] = true
		decision.Backends = append(decision.Backends, e.backend)
	}
	slices.Sort(decision.Backends)
	return decision
}
