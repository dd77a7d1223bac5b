package forwarder

import (
	"time"

	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// observeBrittle records what an answer to the job's last attempt announces about the rejections that
// backend servers of its service bear. Only answers that are certainly that incarnation's count.
func (f *Forwarder) observeBrittle(j *job, status int, answer platform.Response) {
	if status == statusMisdirected || !answer.Signed && !answer.NotRun {
		return
	}
	if answer.BrittleFault != "" {
		f.recordFieldFault(j, "brittle_unreadable", answer.BrittleFault, &f.brittleFaultLoggedAt)
		return
	}
	if answer.Brittle == 0 {
		return
	}
	now := f.Clock.Now()
	f.mu.Lock()
	begins := f.balancer.ObserveBrittle(now, now, j.lastBackend.GetId(), answer.Brittle)
	if begins {
		f.brittleSince[j.service] = now
	}
	f.mu.Unlock()
	if begins {
		f.Log.Warn("backend servers are brittle", "Service", j.service, "Rejections", answer.Brittle, "AnswerTo", j.meta.ID, "Backend", j.lastBackend.GetId())
	}
}

// isBrittle reports whether the backend servers of a service are brittle.
func (f *Forwarder) isBrittle(service string) bool {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.Brittle(now, service) > 0
}

// backOffBrittle sends a brittle backend server nothing for a time that has rejected a request for
// want of room.
func (f *Forwarder) backOffBrittle(j *job, backend *wire.Announcement) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.balancer.RejectionBackoff(now, j.service, int(f.gatewayCount))
	if d > 0 && f.balancer.BackOff(now, backend.GetId(), d) {
		f.Meter.Increment("brittle_rejections", "service", j.service)
	}
}

// logBrittle logs when the backend servers of a service are no longer brittle.
func (f *Forwarder) logBrittle() {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for service, since := range f.brittleSince {
		if f.balancer.Brittle(now, service) > 0 {
			continue
		}
		delete(f.brittleSince, service)
		f.Log.Info("backend servers are no longer brittle", "Service", service, "After", now.Sub(since).Round(time.Millisecond).Milliseconds())
	}
	f.Meter.SetGauge("brittle_services", float64(len(f.brittleSince)))
}
