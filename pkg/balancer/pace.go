package balancer

import "time"

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
