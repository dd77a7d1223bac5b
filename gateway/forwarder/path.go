package forwarder

import (
	"bronzelead.example/gateway/sender"
	"bronzelead.example/pkg/pathtracker"
)

// observeDial records the outcome of an attempt to open a connection to a backend server.
func (f *Forwarder) observeDial(backend string, err error) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	service := f.balancer.ServiceOf(backend)
	switch {
	case service == "":
	case err == nil:
		f.paths.RecordConnected(now, service, backend)
	default:
		f.paths.RecordFailed(now, service, backend, classifyDial(err))
	}
}

func (f *Forwarder) observeKept(backend string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if service := f.balancer.ServiceOf(backend); service != "" {
		f.paths.RecordKept(service)
	}
}

func classifyDial(err error) pathtracker.Failure {
	switch {
	case sender.IsTimeout(err):
		return pathtracker.TimedOut
	case sender.IsConnectionRefused(err), sender.IsConnectionReset(err):
		return pathtracker.Refused
	}
	return pathtracker.OtherFailure
}

// logPaths logs which services' backend servers can't be reached while there are any, and when
// they can be again.
func (f *Forwarder) logPaths() {
	now := f.Clock.Now()
	f.mu.Lock()
	list := f.paths.TakeSummaries(now, f.balancer.Accepting)
	partitioned := 0
	for _, s := range list {
		before := f.unreachable[s.Service]
		f.unreachable[s.Service] = s.Partitioned
		if s.Partitioned {
			partitioned++
		}
		if !s.Partitioned && !before && len(s.Counts.Failed) == 0 {
			continue
		}
		f.Log.Info("connections to backend servers", "Service", s.Service, "Opened", s.Counts.Connected, "Failed", s.Counts.Failed,
			"AnswersOnKept", s.Counts.OnKept, "Unreachable", s.Unreachable, "Known", f.balancer.Accepting(s.Service),
			"AllUnreachable", s.Partitioned, "Ready", f.table != nil && f.balancer.Ready())
	}
	f.mu.Unlock()
	f.Meter.SetGauge("services_unreachable", float64(partitioned))
}
