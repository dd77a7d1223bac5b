package quarantiner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

func begin() time.Time { return time.Unix(1000, 0) }

func lostAt(fingerprint, backend string) *wire.RunReport {
	return &wire.RunReport{Fingerprint: fingerprint, Backend: backend, RanMs: 100}
}

// Only a process that has ended without notice is reported, and each run there once.
func TestWhatIsReported(t *testing.T) {
	for name, test := range map[string]struct {
		happens func(w *CrashReporter)
		reports int
	}{
		"a lost answer alone": {func(w *CrashReporter) { w.RecordLoss(begin(), lostAt("f", "b")) }, 0},
		"an end alone":        {func(w *CrashReporter) { w.RecordExit(begin(), "b") }, 0},
		"two runs and the end": {func(w *CrashReporter) {
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordLoss(begin(), lostAt("g", "b"))
			w.RecordExit(begin(), "b")
		}, 2},
		"the end of another start": {func(w *CrashReporter) { w.RecordLoss(begin(), lostAt("f", "b")); w.RecordExit(begin(), "c") }, 0},
		"the end is told twice": {func(w *CrashReporter) {
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordExit(begin(), "b")
			w.RecordExit(begin(), "b")
		}, 1},
		"a run is lost twice": {func(w *CrashReporter) {
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordExit(begin(), "b")
		}, 1},
		"a loss is noticed late": {func(w *CrashReporter) {
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordExit(begin(), "b")
			w.RecordLoss(begin(), lostAt("g", "b"))
		}, 2},
		"it had said that it leaves": {func(w *CrashReporter) {
			w.RecordLeaving(begin(), "b")
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordExit(begin(), "b")
		}, 0},
		"it says so after the loss": {func(w *CrashReporter) {
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordLeaving(begin(), "b")
			w.RecordExit(begin(), "b")
		}, 0},
		"the end is known long after the loss": {func(w *CrashReporter) {
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.Tick(begin().Add(time.Minute))
			w.RecordExit(begin(), "b")
		}, 0},
		"a follower tells the same": {func(w *CrashReporter) {
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordExit(begin(), "b")
			w.Receive(begin(), []*wire.RunReport{lostAt("f", "b")})
		}, 1},
		"a run is completed again and again": {func(w *CrashReporter) {
			w.RecordCompletion(begin(), lostAt("f", "b"))
			w.RecordCompletion(begin(), lostAt("f", "b"))
		}, 1},
		"all of it is old": {func(w *CrashReporter) {
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordExit(begin(), "b")
			w.Tick(begin().Add(time.Hour))
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := NewCrashReporter()
			test.happens(w)
			reports, last := w.Reports(begin(), 0)
			c.Check(reports, qt.HasLen, test.reports)
			again, _ := w.Reports(begin(), last)
			c.Check(again, qt.HasLen, 0)
		})
	}
}

// Whoever asks for what came after what it knows misses nothing, in parts that a call can
// carry, and of more than is kept the latest.
func TestReportsComeInParts(t *testing.T) {
	for name, n := range map[string]int{"few": 3, "more than a call carries": maxTold + 7, "more than are kept": maxReports + 100} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := NewCrashReporter()
			w.RecordLoss(begin(), lostAt("first", "b"))
			w.RecordExit(begin(), "b")
			for i := range n - 1 {
				w.RecordLoss(begin(), lostAt(fmt.Sprint(i), "b"))
			}
			known, seen := uint64(0), 0
			for {
				reports, last := w.Reports(begin().Add(time.Second), known)
				if len(reports) == 0 {
					break
				}
				c.Assert(len(reports) <= maxTold, qt.IsTrue)
				c.Check(reports[0].GetAgoMs(), qt.Equals, uint32(1000))
				known, seen = last, seen+len(reports)
			}
			c.Check(seen, qt.Equals, min(n, maxReports))
		})
	}
}
