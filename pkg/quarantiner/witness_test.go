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

// Only processes that exited without notice are reported, and each lost run once.
func TestOnlyConfirmedCrashesAreReported(t *testing.T) {
	for name, test := range map[string]struct {
		act     func(w *CrashReporter)
		reports int
	}{
		"a lost answer alone": {func(w *CrashReporter) { w.RecordLoss(begin(), lostAt("f", "b")) }, 0},
		"an exit alone":       {func(w *CrashReporter) { w.RecordExit(begin(), "b") }, 0},
		"two runs and the exit": {func(w *CrashReporter) {
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordLoss(begin(), lostAt("g", "b"))
			w.RecordExit(begin(), "b")
		}, 2},
		"the exit of another incarnation": {func(w *CrashReporter) { w.RecordLoss(begin(), lostAt("f", "b")); w.RecordExit(begin(), "c") }, 0},
		"the exit is reported twice": {func(w *CrashReporter) {
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordExit(begin(), "b")
			w.RecordExit(begin(), "b")
		}, 1},
		"a run is lost twice": {func(w *CrashReporter) {
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordExit(begin(), "b")
		}, 1},
		"a loss is detected late": {func(w *CrashReporter) {
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordExit(begin(), "b")
			w.RecordLoss(begin(), lostAt("g", "b"))
		}, 2},
		"it had announced its shutdown": {func(w *CrashReporter) {
			w.RecordLeaving(begin(), "b")
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordExit(begin(), "b")
		}, 0},
		"it announces its shutdown after the loss": {func(w *CrashReporter) {
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordLeaving(begin(), "b")
			w.RecordExit(begin(), "b")
		}, 0},
		"the exit is known long after the loss": {func(w *CrashReporter) {
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.Tick(begin().Add(time.Minute))
			w.RecordExit(begin(), "b")
		}, 0},
		"a follower reports the same": {func(w *CrashReporter) {
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordExit(begin(), "b")
			w.Receive(begin(), []*wire.RunReport{lostAt("f", "b")})
		}, 1},
		"a run is completed repeatedly": {func(w *CrashReporter) {
			w.RecordCompletion(begin(), lostAt("f", "b"))
			w.RecordCompletion(begin(), lostAt("f", "b"))
		}, 1},
		"all of it has expired": {func(w *CrashReporter) {
			w.RecordLoss(begin(), lostAt("f", "b"))
			w.RecordExit(begin(), "b")
			w.Tick(begin().Add(time.Hour))
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := NewCrashReporter()
			test.act(w)
			reports, last := w.Reports(begin(), 0)
			c.Check(reports, qt.HasLen, test.reports)
			again, _ := w.Reports(begin(), last)
			c.Check(again, qt.HasLen, 0)
		})
	}
}

// Reports are returned in pages that fit into a call, without omissions; of more than are
// stored the newest remain.
func TestReportsArePaged(t *testing.T) {
	for name, n := range map[string]int{"few": 3, "more than fit into a call": maxReportsPerCall + 7, "more than are stored": maxReports + 100} {
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
				c.Assert(len(reports) <= maxReportsPerCall, qt.IsTrue)
				c.Check(reports[0].GetAgoMs(), qt.Equals, uint32(1000))
				known, seen = last, seen+len(reports)
			}
			c.Check(seen, qt.Equals, min(n, maxReports))
		})
	}
}
