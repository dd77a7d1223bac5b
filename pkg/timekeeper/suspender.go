// Package suspender gives a clock that also counts the time for which the instance was
// suspended. Leases rest on such a clock: by Go's own, a lease would outlast a
// suspension that its holder never noticed.
package timekeeper

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// clock is the real clock but for Now, which counts from the start of the instance.
type clock struct{ clockwork.Clock }

// BootClock returns the clock. Its times have no relation to the time of day, which may
// jump.
func BootClock() clockwork.Clock { return clock{Clock: clockwork.NewRealClock()} }

// Now returns the time since the start of the instance, as a time after 1970.
func (c clock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Each Linux since 2.6.39 has this clock.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Since returns the time that has passed since a time of this clock.
func (c clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }
