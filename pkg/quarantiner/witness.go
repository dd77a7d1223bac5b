package quarantiner

import (
	"time"

	"bronzelead.example/pkg/wire"
)

const (
	// confirmWithin is how long after its loss a request is remembered, until it is known
	// whether the process that ran it has ended: a start that follows announces itself
	// within a few announcements.
	confirmWithin = 10 * time.Second
	// maxLosses bounds the losses that wait to be confirmed, and maxReports the reports that
	// are kept; of more the oldest are forgotten.
	maxLosses  = 4096
	maxReports = 4096
	// maxTold bounds the reports in one call, some 130 bytes each.
	maxTold = 256
	// completedAgainAfter is the least time between two reports that runs of a request are
	// completed: a caller may send it many times a second.
	completedAgainAfter = 500 * time.Millisecond
)

// CrashReporter holds what one gateway has seen of runs that were lost, until it is known whether
// the process that ran them has ended, and the reports of those where it has, which are told
// to all controllers. A lost answer alone says nothing: connections are reset and cut, and
// backend servers that leave end what still runs. Make one with NewWitness.
type CrashReporter struct {
	losses map[string][]*lossSeen
	waits  int
	// leaving are starts that have said that they leave.
	leaving map[string]time.Time
	// ended are starts that ended, and when that was confirmed.
	ended   map[string]time.Time
	reports []reportKept
	// next numbers the next report.
	next uint64
	// told holds which ends and completions have a report.
	told      map[reportKey]bool
	completed map[string]time.Time
}

type lossSeen struct {
	report *wire.RunReport
	at     time.Time
}

type reportKept struct {
	report *wire.RunReport
	// at is when the run ended.
	at time.Time
}

type reportKey struct{ fingerprint, backend string }

// NewCrashReporter returns a witness that has seen nothing.
func NewCrashReporter() *CrashReporter {
	return &CrashReporter{
		losses: map[string][]*lossSeen{}, leaving: map[string]time.Time{}, ended: map[string]time.Time{},
		told: map[reportKey]bool{}, completed: map[string]time.Time{},
	}
}

// RecordLoss notes that a run was lost at a start that is named in its report.
func (w *CrashReporter) RecordLoss(now time.Time, report *wire.RunReport) {
	backend := report.GetBackend()
	if !w.leaving[backend].IsZero() {
		return
	}
	if !w.ended[backend].IsZero() {
		w.keep(report, now)
		return
	}
	if w.waits >= maxLosses {
		return
	}
	w.waits++
	w.losses[backend] = append(w.losses[backend], &lossSeen{report: report, at: now})
}

// Unconfirmed reports whether it is open if a start has ended at which runs were lost.
func (w *CrashReporter) Unconfirmed(backend string) bool { return len(w.losses[backend]) > 0 }

// RecordLeaving notes that a start has said that it leaves.
func (w *CrashReporter) RecordLeaving(now time.Time, backend string) {
	w.leaving[backend] = now
	w.drop(backend)
}

// RecordExit notes that the process of a start has ended without notice, as its address says or
// another start there.
func (w *CrashReporter) RecordExit(now time.Time, backend string) {
	if !w.leaving[backend].IsZero() || !w.ended[backend].IsZero() {
		return
	}
	if len(w.losses[backend]) == 0 {
		return
	}
	w.ended[backend] = now
	for _, l := range w.losses[backend] {
		w.keep(l.report, l.at)
	}
	w.drop(backend)
}

func (w *CrashReporter) drop(backend string) {
	w.waits -= len(w.losses[backend])
	delete(w.losses, backend)
}

// RecordCompletion notes that a run was answered whole.
func (w *CrashReporter) RecordCompletion(now time.Time, report *wire.RunReport) {
	if now.Sub(w.completed[report.GetFingerprint()]) < completedAgainAfter {
		return
	}
	w.completed[report.GetFingerprint()] = now
	report.Completed = true
	w.keep(report, now)
}

// Receive takes reports of gateways that follow this one.
func (w *CrashReporter) Receive(now time.Time, reports []*wire.RunReport) {
	for _, r := range reports {
		w.keep(r, now.Add(-time.Duration(r.GetAgoMs())*time.Millisecond))
	}
}

func (w *CrashReporter) keep(r *wire.RunReport, at time.Time) {
	key := reportKey{r.GetFingerprint(), r.GetBackend()}
	if !r.GetCompleted() {
		if w.told[key] {
			return
		}
		w.told[key] = true
	}
	w.next++
	w.reports = append(w.reports, reportKept{report: r, at: at})
	if len(w.reports) > maxReports {
		w.forgetFirst()
	}
}

func (w *CrashReporter) forgetFirst() {
	r := w.reports[0].report
	delete(w.told, reportKey{r.GetFingerprint(), r.GetBackend()})
	w.reports = w.reports[1:]
}

// Reports returns what was reported after the report with a number, and the number of the
// last of them.
func (w *CrashReporter) Reports(now time.Time, after uint64) ([]*wire.RunReport, uint64) {
	first := w.next - uint64(len(w.reports))
	from := max(after, first) - first
	if after > w.next || from >= uint64(len(w.reports)) {
		return nil, w.next
	}
	kept := w.reports[from:]
	kept = kept[:min(len(kept), maxTold)]
	list := make([]*wire.RunReport, len(kept))
	for i, k := range kept {
		list[i] = withAge(k.report, now.Sub(k.at))
	}
	return list, first + from + uint64(len(kept))
}

// withAge returns a report as it is told now.
func withAge(r *wire.RunReport, age time.Duration) *wire.RunReport {
	return &wire.RunReport{
		Fingerprint: r.GetFingerprint(), Service: r.GetService(), Model: r.GetModel(), Place: r.GetPlace(), Caller: r.GetCaller(),
		Backend: r.GetBackend(), Completed: r.GetCompleted(), Begun: r.GetBegun(), RanMs: r.GetRanMs(),
		AgoMs: uint32(max(0, age.Milliseconds())),
	}
}

// Empty reports whether nothing waits to be confirmed or told.
func (w *CrashReporter) Empty() bool { return len(w.losses) == 0 && len(w.reports) == 0 }

// Tick forgets what is too old to count.
func (w *CrashReporter) Tick(now time.Time) {
	for backend, list := range w.losses {
		if now.Sub(list[len(list)-1].at) > confirmWithin {
			w.drop(backend)
		}
	}
	for len(w.reports) > 0 && now.Sub(w.reports[0].at) > memory {
		w.forgetFirst()
	}
	forgetOld(w.leaving, now)
	forgetOld(w.ended, now)
	forgetOld(w.completed, now)
}

func forgetOld(times map[string]time.Time, now time.Time) {
	for key, at := range times {
		if now.Sub(at) > memory {
			delete(times, key)
		}
	}
}
