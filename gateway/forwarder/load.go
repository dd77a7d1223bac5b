package forwarder

import (
	"time"

	"bronzelead.example/platform"
)

// paceLogInterval is the time between two log lines on the paces of backend servers.
const paceLogInterval = 10 * time.Second

// observeLoad records the load in an answer to the job's last attempt. Only answers that are
// certainly that incarnation's count.
func (f *Forwarder) observeLoad(j *job, status int, answer platform.Response) {
	if status == statusMisdirected || !answer.Signed && !answer.NotRun {
		return
	}
	if answer.LoadFault != "" {
		f.recordFieldFault(j, "server_loads_unreadable", answer.LoadFault, &f.loadFaultLoggedAt)
		return
	}
	if answer.Load.Machine == 0 {
		return
	}
	now := f.Clock.Now()
	f.mu.Lock()
	f.balancer.ObserveMachineLoad(now, j.lastBackend.GetId(), answer.Load.Machine)
	f.mu.Unlock()
}

// measurePaces records what is known of the paces of backend servers, and logs it periodically where
// they differ.
func (f *Forwarder) measurePaces() {
	now := f.Clock.Now()
	f.mu.Lock()
	list := f.balancer.PaceSummaries(now)
	logs := len(list) > 0 && now.Sub(f.pacesLoggedAt) >= paceLogInterval
	if logs {
		f.pacesLoggedAt = now
	}
	f.mu.Unlock()
	slower, faster, busy := 0, 0, 0
	for _, s := range list {
		slower, faster, busy = slower+s.Slower, faster+s.Faster, busy+s.BusyMachines
		if logs {
			f.Log.Info("paces of backend servers differ", "Service", s.Service, "Known", s.Known, "Slower", s.Slower,
				"Faster", s.Faster, "Slowest", s.Slowest, "Fastest", s.Fastest, "BusyMachines", s.BusyMachines)
		}
	}
	f.Meter.SetGauge("backends_slower", float64(slower))
	f.Meter.SetGauge("backends_faster", float64(faster))
	f.Meter.SetGauge("backends_on_busy_machines", float64(busy))
}
