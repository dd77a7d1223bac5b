package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

// count is how much speaks against a request.
type count struct {
	ends []*end
	// silent is how many of them came before any part of the answer.
	silent int
}

// against returns what no other request explains.
func (q *Quarantiner) against(fingerprint string, known *record) count {
	var c count
	for _, e := range known.ends {
		if explained(e, fingerprint) {
			continue
		}
		c.ends = append(c.ends, e)
		if !e.lost[fingerprint].begun {
			c.silent++
		}
	}
	return c
}

// explained reports whether another request is held for an end.
func explained(e *end, fingerprint string) bool {
	return len(e.culprits) > 0 && !e.culprits[fingerprint]
}

// accused is a request with enough ends against it.
type accused struct {
	fingerprint string
	known       *record
	count
}

// Evaluate returns the requests that are to be refused from now on.
func (q *Quarantiner) Evaluate(now time.Time) []*wire.HeldRequest {
	var verdicts []*wire.HeldRequest
	for {
		list := q.accused(now)
		if len(list) == 0 {
			return verdicts
		}
		// What speaks as much against several requests is no reason to let one of them go on.
		for _, a := range list {
			if len(a.ends) == len(list[0].ends) && a.silent == list[0].silent {
				verdicts = append(verdicts, q.blame(now, a))
			}
		}
	}
}

// accused returns the requests with enough against them, those with most first.
func (q *Quarantiner) accused(now time.Time) []*accused {
	var list []*accused
	for fingerprint, known := range q.runs {
		if len(known.ends) < q.enough(fingerprint) || !q.given[fingerprint].IsZero() {
			continue
		}
		a := &accused{fingerprint: fingerprint, known: known, count: q.against(fingerprint, known)}
		if len(a.ends) >= q.enough(fingerprint) && now.Sub(known.enoughAt) >= a.settleTime(q.held[fingerprint]) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *accused) int {
		return cmp.Or(cmp.Compare(len(b.ends), len(a.ends)), cmp.Compare(b.silent, a.silent), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	return list
}

// enough returns how many ends speak for holding a request: one for a request on trial,
// which has cost enough already.
func (q *Quarantiner) enough(fingerprint string) int {
	switch h := q.held[fingerprint]; {
	case h == nil:
		return QuarantineThreshold
	case h.GetOnTrial():
		return 1
	}
	return maxEnds + 1
}

// settleTime returns how long what speaks against a request has to stand.
func (a *accused) settleTime(held *wire.HeldRequest) time.Duration {
	switch {
	case held != nil:
		return 0
	case a.oneAfterTheOther():
		return settle
	}
	return settleTogether
}

// oneAfterTheOther reports whether enough runs began after the end of the one before.
func (a *accused) oneAfterTheOther() bool {
	slices.SortFunc(a.ends, func(x, y *end) int { return x.at.Compare(y.at) })
	chain, last := 0, time.Time{}
	for _, e := range a.ends {
		began := e.at.Add(-e.lost[a.fingerprint].ran)
		if chain == 0 || !began.Before(last.Add(-reportSkew)) {
			chain++
			last = e.at
		}
	}
	return chain >= QuarantineThreshold
}

// blame makes a request the cause of what speaks against it.
func (q *Quarantiner) blame(now time.Time, a *accused) *wire.HeldRequest {
	q.given[a.fingerprint] = now
	verdict := &wire.HeldRequest{
		Fingerprint: a.fingerprint, Service: a.known.about.GetService(), Model: a.known.about.GetModel(),
		Place: a.known.about.GetPlace(), Caller: a.known.about.GetCaller(),
	}
	for _, e := range a.ends {
		e.culprits[a.fingerprint] = true
		verdict.Backends = append(verdict.Backends, e.backend)
	}
	slices.Sort(verdict.Backends)
	return verdict
}
