package forwarder

import "bronzelead.example/platform"

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
