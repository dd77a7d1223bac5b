package disseminator

import (
	"time"

	"bronzelead.example/pkg/wire"
)

// figureLease is how long what a backend server or the owner of its slots said is passed on. It is
// of no use to a choice well before that: machines are busy for some hundred ms at a time.
const figureLease = time.Second

// brittleLease is the same for an announcement of being brittle, which is in force for as long.
const brittleLease = 5 * time.Second

// figures are the newest that is known of a backend server by an answer, or by the owner of its
// slots. They are not summed: the newest one replaces the others.
type figures struct {
	// machineLoad is that of the wire, as of machineAt.
	machineLoad uint32
	machineAt   time.Time
	// waitUs and serviceUs are those of the wire, as of ownerAt.
	waitUs    uint32
	serviceUs uint32
	ownerAt   time.Time
	// brittle is that of the wire, as of brittleAt.
	brittle   uint32
	brittleAt time.Time
}

// observe takes the figures of a load that was received at now.
func (f *figures) observe(now time.Time, l *wire.Load) {
	if at := now.Add(-milliseconds(l.GetMachineLoadAgeMs())); l.GetMachineLoad() > 0 && !at.Before(f.machineAt) {
		f.machineLoad, f.machineAt = l.GetMachineLoad(), at
	}
	if at := now.Add(-milliseconds(l.GetBrittleAgeMs())); l.GetBrittle() > 0 && !at.Before(f.brittleAt) {
		f.brittle, f.brittleAt = l.GetBrittle(), at
	}
	namesOwner := l.GetServiceUs() > 0 || l.GetWaitUs() > 0
	if at := now.Add(-milliseconds(l.GetOwnerAgeMs())); namesOwner && !at.Before(f.ownerAt) {
		f.waitUs, f.serviceUs, f.ownerAt = l.GetWaitUs(), l.GetServiceUs(), at
	}
}

// known reports whether any figures were ever named.
func (f *figures) known() bool {
	return !f.machineAt.IsZero() || !f.ownerAt.IsZero() || !f.brittleAt.IsZero()
}

// old reports whether the figures are too old to be passed on.
func (f *figures) old(now time.Time) bool {
	return now.Sub(f.machineAt) >= figureLease && now.Sub(f.ownerAt) >= figureLease && now.Sub(f.brittleAt) >= brittleLease
}

// addTo sets the figures of a load that is sent at now, and reports whether there are any.
func (f *figures) addTo(now time.Time, l *wire.Load) bool {
	found := false
	if age := now.Sub(f.machineAt); f.machineLoad > 0 && age < figureLease {
		l.MachineLoad, l.MachineLoadAgeMs, found = f.machineLoad, ageMs(age), true
	}
	if age := now.Sub(f.ownerAt); !f.ownerAt.IsZero() && age < figureLease {
		l.WaitUs, l.ServiceUs, l.OwnerAgeMs, found = f.waitUs, f.serviceUs, ageMs(age), true
	}
	if age := now.Sub(f.brittleAt); f.brittle > 0 && age < brittleLease {
		l.Brittle, l.BrittleAgeMs, found = f.brittle, ageMs(age), true
	}
	return found
}

// addPace sets the mean event interval of a load, weighted by samples.
func addPace(l *wire.Load, intervals uint64, samples uint32) {
	if samples > 0 {
		l.EventIntervalUs, l.EventSamples = uint32(intervals/uint64(samples)), samples
	}
}

// intervalSum returns the sum over the observations of a load's event interval.
func intervalSum(l *wire.Load) uint64 {
	return uint64(l.GetEventIntervalUs()) * uint64(l.GetEventSamples())
}
