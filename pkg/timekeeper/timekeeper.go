// Package timekeeper provides a clock that also advances while the instance is suspended.
// Leases need such a clock: with Go's own clock a lease would outlast a suspension that its
// holder never noticed.
package timekeeper

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// bootClock is the real clock except for Now and Since, which count from the boot of the
// instance.
type bootClock struct{ clockwork.Clock }

// BootClock returns the clock. Its times are unrelated to the time of day, which may jump.
func BootClock() clockwork.Clock { return bootClock{Clock: clockwork.NewRealClock()} }

// Now returns the time since the boot of the instance, as an offset from 1970.
func (c bootClock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists on Linux since 2.6.39.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Since returns the time elapsed since t, a time of this clock.
func (c bootClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }
