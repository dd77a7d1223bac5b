package quarantiner

import (
	"time"

	"bronzelead.example/pkg/wire"
)

const (
	// confirmTimeout is how long a loss waits for confirmation that the process exited: a
	// following incarnation announces itself within a few announcements.
	confirmTimeout = 10 * time.Second
	// maxLosses bounds the losses that await confirmation; further ones are ignored. maxReports
	// bounds the stored reports; beyond it the oldest are dropped.
	maxLosses  = 4096
	maxReports = 4096
	// maxReportsPerCall bounds the reports in one call, some 130 bytes each.
	maxReportsPerCall = 256
	// completionInterval is the minimum time between two reports of completed runs of a
	// request: a caller may send it many times a second.
	completionInterval = 500 * time.Millisecond
)

// CrashReporter holds the lost runs that one gateway has seen until it is known whether the
// process that ran them has exited, and the confirmed reports, which are sent to all
// controllers. A lost answer alone is no evidence: connections are reset, networks are
// partitioned, and backend servers that shut down cancel their remaining runs. Make one with
// NewCrashReporter.
type CrashReporter struct {
	losses    map[string][]*pendingLoss
	lossCount int
	// leaving are incarnations that have announced that they shut down.
	leaving map[string]time.Time
	// exited holds when the exit of an incarnation was confirmed.
	exited  map[string]time.Time
	reports []storedReport
	// next is the number of the next report.
	next uint64
	// reported holds the lost runs that have a report, and whether it says that the answer had begun.
	reported  map[reportKey]bool
	completed map[string]time.Time
}

type pendingLoss struct {
	report *wire.RunReport
	at     time.Time
}

type storedReport struct {
	report *wire.RunReport
	// at is when the run ended.
	at time.Time
}

type reportKey struct{ fingerprint, backend string }

// NewCrashReporter returns an empty reporter.
func NewCrashReporter() *CrashReporter {
	return &CrashReporter{
		losses: map[string][]*pendingLoss{}, leaving: map[string]time.Time{}, exited: map[string]time.Time{},
		reported: map[reportKey]bool{}, completed: map[string]time.Time{},
	}
}

// RecordLoss records a lost run at the incarnation named in its report.
func (c *CrashReporter) RecordLoss(now time.Time, report *wire.RunReport) {
	backend := report.GetBackend()
	if !c.leaving[backend].IsZero() {
		return
	}
	if !c.exited[backend].IsZero() {
		c.store(report, now)
		return
	}
	if c.lossCount >= maxLosses {
		return
	}
	c.lossCount++
	c.losses[backend] = append(c.losses[backend], &pendingLoss{report: report, at: now})
}

// Unconfirmed reports whether lost runs await confirmation that an incarnation has exited.
func (c *CrashReporter) Unconfirmed(backend string) bool { return len(c.losses[backend]) > 0 }

// RecordLeaving records that an incarnation has announced that it shuts down.
func (c *CrashReporter) RecordLeaving(now time.Time, backend string) {
	c.leaving[backend] = now
	c.drop(backend)
}

// RecordExit records that the process of an incarnation has exited without notice, as a refused
// connection or another incarnation at its address shows.
func (c *CrashReporter) RecordExit(now time.Time, backend string) {
	if !c.leaving[backend].IsZero() || !c.exited[backend].IsZero() {
		return
	}
	if len(c.losses[backend]) == 0 {
		return
	}
	c.exited[backend] = now
	for _, l := range c.losses[backend] {
		c.store(l.report, l.at)
	}
	c.drop(backend)
}

func (c *CrashReporter) drop(backend string) {
	c.lossCount -= len(c.losses[backend])
	delete(c.losses, backend)
}

// RecordCompletion records a run that was answered completely at a time.
func (c *CrashReporter) RecordCompletion(at time.Time, report *wire.RunReport) {
	if at.Sub(c.completed[report.GetFingerprint()]) < completionInterval {
		return
	}
	c.completed[report.GetFingerprint()] = at
	report.Completed = true
	c.store(report, at)
}

// Receive takes reports of the gateways that follow this one.
func (c *CrashReporter) Receive(now time.Time, reports []*wire.RunReport) {
	for _, r := range reports {
		c.store(r, now.Add(-time.Duration(r.GetAgoMs())*time.Millisecond))
	}
}

func (c *CrashReporter) store(r *wire.RunReport, at time.Time) {
	key := reportKey{r.GetFingerprint(), r.GetBackend()}
	if !r.GetCompleted() {
		// Several requests with a part may be lost in one crash.
		if begun, ok := c.reported[key]; ok && (begun || !r.GetBegun()) {
			return
		}
		c.reported[key] = r.GetBegun()
	}
	c.next++
	c.reports = append(c.reports, storedReport{report: r, at: at})
	if len(c.reports) > maxReports {
		c.dropOldest()
	}
}

func (c *CrashReporter) dropOldest() {
	r := c.reports[0].report
	delete(c.reported, reportKey{r.GetFingerprint(), r.GetBackend()})
	c.reports = c.reports[1:]
}

// Reports returns the reports after the one with a number, and the number of the last of them.
func (c *CrashReporter) Reports(now time.Time, after uint64) ([]*wire.RunReport, uint64) {
	first := c.next - uint64(len(c.reports))
	from := max(after, first) - first
	if after > c.next || from >= uint64(len(c.reports)) {
		return nil, c.next
	}
	page := c.reports[from:]
	page = page[:min(len(page), maxReportsPerCall)]
	list := make([]*wire.RunReport, len(page))
	for i, k := range page {
		list[i] = withAge(k.report, now.Sub(k.at))
	}
	return list, first + from + uint64(len(page))
}

// withAge returns a copy of a report with its current age.
func withAge(r *wire.RunReport, age time.Duration) *wire.RunReport {
	return &wire.RunReport{
		Fingerprint: r.GetFingerprint(), Service: r.GetService(), Model: r.GetModel(), Place: r.GetPlace(), Caller: r.GetCaller(),
		Backend: r.GetBackend(), Completed: r.GetCompleted(), Begun: r.GetBegun(), RanMs: r.GetRanMs(),
		AgoMs: uint32(max(0, age.Milliseconds())), Request: r.GetRequest(),
	}
}

// Empty reports whether there are neither unconfirmed losses nor reports.
func (c *CrashReporter) Empty() bool { return len(c.losses) == 0 && len(c.reports) == 0 }

// Tick drops expired losses and reports.
func (c *CrashReporter) Tick(now time.Time) {
	for backend, list := range c.losses {
		if now.Sub(list[len(list)-1].at) > confirmTimeout {
			c.drop(backend)
		}
	}
	for len(c.reports) > 0 && now.Sub(c.reports[0].at) > retention {
		c.dropOldest()
	}
	dropExpired(c.leaving, now)
	dropExpired(c.exited, now)
	dropExpired(c.completed, now)
}

func dropExpired(times map[string]time.Time, now time.Time) {
	for key, at := range times {
		if now.Sub(at) > retention {
			delete(times, key)
		}
	}
}
