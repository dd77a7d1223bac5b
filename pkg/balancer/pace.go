package balancer

import (
	"time"

	"bronzelead.example/pkg/wire"
)

// machineReportAge is how long a gateway reports a machine load: machines are busy for some hundred
// ms at a time.
const machineReportAge = 500 * time.Millisecond

// ObserveEventPace records the time between two events of a stream, as part of the pace of its
// backend server.
func (b *Balancer) ObserveEventPace(now time.Time, id string, gap time.Duration) {
	if k := b.backends[id]; k != nil {
		k.gaps.Observe(now, gap)
	}
}

// addPace adds to a report what this gateway has observed of a backend server's pace.
func (k *backend) addPace(now time.Time, l *wire.Load) {
	if interval, samples := k.gaps.Interval(now); samples > 0 {
		l.EventIntervalUs, l.EventSamples = uint32(interval.Microseconds()), uint32(samples)
	}
	if k.hasRecentMachineLoad(now) {
		l.MachineLoad, l.MachineLoadAgeMs = uint32(k.machineLoad), uint32(now.Sub(k.machineLoadAt).Milliseconds())
	}
}

func (k *backend) hasRecentMachineLoad(now time.Time) bool {
	return k.machineLoad > 0 && now.Sub(k.machineLoadAt) < machineReportAge
}

// ObserveMachineLoad records how long work takes on a backend server's machine, in percent of the
// usual time, by its answer at now.
func (b *Balancer) ObserveMachineLoad(now time.Time, id string, percent int) {
	if k := b.backends[id]; k != nil && !now.Before(k.machineLoadAt) {
		k.machineLoad, k.machineLoadAt = percent, now
	}
}

// MachineLoad returns the newest machine load of a backend server and its age; 0 if none is known.
func (b *Balancer) MachineLoad(now time.Time, id string) (percent int, age time.Duration) {
	k := b.backends[id]
	if k == nil || k.machineLoad == 0 {
		return 0, 0
	}
	return k.machineLoad, now.Sub(k.machineLoadAt)
}
