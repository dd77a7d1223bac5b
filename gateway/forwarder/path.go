package forwarder

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"bronzelead.example/gateway/sender"
	"bronzelead.example/gateway/tunneler"
	"bronzelead.example/pkg/pathtracker"
	"bronzelead.example/pkg/wire"
)

const (
	// probeInterval is the time between two attempts to reach a service's backend servers
	// directly that are reached through other gateways.
	probeInterval = 200 * time.Millisecond
	// quietThreshold is for how long nothing may be received from any backend server while
	// requests wait, before some are probed: longer than most answers take to begin.
	quietThreshold = 400 * time.Millisecond
	// quietProbes is how many backend servers are probed then in each service, and
	// quietProbeInterval the time until that may happen again.
	quietProbes        = 3
	quietProbeInterval = time.Second
)

// initPaths prepares the tracking of paths to backend servers.
func (f *Forwarder) initPaths() {
	f.partitionedAt = map[string]time.Time{}
	f.probing = map[string]bool{}
	if f.Sender == nil {
		return
	}
	f.Sender.ObserveDial, f.Sender.ObserveKept = f.observeDial, f.observeKept
	f.Sender.ObserveSkipped = f.observeSkipped
	if f.Tunneler == nil {
		return
	}
	f.Sender.Detour = &sender.Detour{Needed: f.needsDetour, Open: f.openDetour}
	f.Tunneler.Resolve, f.Tunneler.Declines, f.Tunneler.BackOff = f.resolve, f.declinesTunnels, f.applyBackOff
	f.Tunneler.Dial, f.Tunneler.Probe = f.Sender.Dial, f.Sender.ProbeDirect
}

// resolve returns the address and the zone of a backend server; empty if it is not known.
func (f *Forwarder) resolve(backend string) (address, zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.balancer.Backend(backend)
	return a.GetAddress(), a.GetZone()
}

// declinesTunnels reports whether this gateway opens no connections to a backend server for others:
// it does not reach it itself, or was asked to send it nothing for a time.
func (f *Forwarder) declinesTunnels(backend string) bool {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.IsBackingOff(now, backend) || f.paths.Detoured(now, f.balancer.ServiceOf(backend), backend)
}

// needsDetour reports whether connections to a backend server are opened through other gateways.
func (f *Forwarder) needsDetour(backend string) bool {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paths.Detoured(now, f.balancer.ServiceOf(backend), backend)
}

// openDetour opens a connection to a backend server through another gateway.
func (f *Forwarder) openDetour(ctx context.Context, backend, address string) (net.Conn, string, error) {
	c, via, err := f.Tunneler.Open(ctx, backend, address)
	switch {
	case err == nil:
		f.recordReach(backend, wire.Reach_REACH_CONNECTED)
	case tunneler.KindOf(err) != tunneler.KindUnreachable:
	case sender.IsConnectionRefused(err):
		f.recordReach(backend, wire.Reach_REACH_REFUSED)
	default:
		f.recordReach(backend, wire.Reach_REACH_TIMED_OUT)
	}
	return c, via, err
}

// observeDial records the outcome of an attempt to open a direct connection to a backend server.
func (f *Forwarder) observeDial(backend string, err error) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	info := f.balancer.Backend(backend)
	service := info.GetService()
	switch {
	case info == nil:
	case err == nil:
		if f.paths.RecordConnected(now, service, backend) {
			f.Log.Info("backend server is reached directly again", "Backend", backend, "Service", service)
			go f.Sender.CloseIdleDetoured(backend)
		}
	default:
		f.paths.RecordFailed(now, service, backend, f.balancer.Accepting(service), classifyDial(err))
		if f.Tunneler != nil && f.paths.TakeCheck(now, service, backend) {
			go f.checkPath(info)
		}
	}
}

// checkPath asks other gateways whether they reach a backend server that this one could not.
func (f *Forwarder) checkPath(info *wire.Announcement) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	f.recordReach(info.GetId(), f.Tunneler.Check(ctx, info.GetId(), info.GetAddress()))
}

// recordReach records what another gateway found of a backend server that this one could not reach.
func (f *Forwarder) recordReach(backend string, reach wire.Reach) {
	now := f.Clock.Now()
	f.mu.Lock()
	service := f.balancer.ServiceOf(backend)
	refused := f.paths.Failure(service, backend) == pathtracker.Refused
	detoured := false
	switch reach {
	case wire.Reach_REACH_CONNECTED:
		detoured = f.paths.RecordDetour(service, backend)
		if detoured {
			f.balancer.Reinstate(backend)
		}
	case wire.Reach_REACH_REFUSED, wire.Reach_REACH_TIMED_OUT:
		f.paths.RecordDown(now, service, backend)
	case wire.Reach_REACH_UNKNOWN:
	}
	f.mu.Unlock()
	switch {
	case detoured:
		f.Sender.CloseIdleDirect(backend)
		f.Log.Info("backend server is reached through other gateways only", "Backend", backend, "Service", service)
	case refused && reach == wire.Reach_REACH_REFUSED:
		f.Isolator.RecordExit(backend)
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

// probePaths attempts direct connections to backend servers that are reached through other gateways,
// and to some if nothing is received from any while requests wait.
func (f *Forwarder) probePaths(ctx context.Context) {
	now := f.Clock.Now()
	quiet := f.Sender.QuietFor(now) > quietThreshold
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, service := range f.balancer.Services() {
		if f.probing[service] {
			continue
		}
		if id := f.paths.TakeProbe(now, service); id != "" {
			f.probing[service] = true
			go f.probeSeries(ctx, service, id)
		}
		if f.paths.Partitioned(now, service) {
			f.probeUntried(ctx, service)
		}
	}
	if quiet && now.Sub(f.quietProbeAt) >= quietProbeInterval {
		f.quietProbeAt = now
		f.probeQuiet(ctx, now)
	}
}

// probeUntried probes one of the backend servers to which no direct connection has failed: if several
// are down, the others show that the gateway is not partitioned from all. The caller holds the lock.
func (f *Forwarder) probeUntried(ctx context.Context, service string) {
	list := slices.DeleteFunc(f.balancer.AcceptingBackends(service), func(a *wire.Announcement) bool {
		return f.paths.Failed(service, a.GetId())
	})
	if len(list) > 0 {
		go f.probe(ctx, list[rand.IntN(len(list))].GetId())
	}
}

// probeSeries probes the backend servers of a service until one is not reached.
func (f *Forwarder) probeSeries(ctx context.Context, service, id string) {
	for id != "" && f.probe(ctx, id) {
		f.mu.Lock()
		id = f.paths.TakeProbe(f.Clock.Now(), service)
		f.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.probing, service)
}

// probe opens a direct connection to a backend server and reports whether it could.
func (f *Forwarder) probe(ctx context.Context, id string) bool {
	address, _ := f.resolve(id)
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return f.Sender.ProbeDirect(ctx, id, address) == nil
}

// probeQuiet probes some backend servers of each service. The caller holds the lock.
func (f *Forwarder) probeQuiet(ctx context.Context, now time.Time) {
	for _, service := range f.balancer.Services() {
		list := f.balancer.AcceptingBackends(service)
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, a := range list[:min(quietProbes, len(list))] {
			if !f.paths.Detoured(now, service, a.GetId()) {
				go f.probe(ctx, a.GetId())
			}
		}
	}
}

// logPaths logs which services' backend servers can't be reached while there are any, and when
// they can be again.
func (f *Forwarder) logPaths() {
	now := f.Clock.Now()
	f.mu.Lock()
	list := f.paths.TakeSummaries(now)
	partitioned, detoured := 0, 0
	for _, s := range list {
		f.logPartition(now, s)
		detoured += s.Detoured
		if !s.PartitionedAt.IsZero() {
			partitioned++
		}
		if s.PartitionedAt.IsZero() && s.Detoured == 0 && len(s.Counts.Failed) == 0 {
			continue
		}
		f.Log.Info("connections to backend servers", "Service", s.Service, "Opened", s.Counts.Connected, "Failed", s.Counts.Failed,
			"AnswersOnKept", s.Counts.OnKept, "Unreachable", s.Unreachable, "Detoured", s.Detoured, "Known", f.balancer.Accepting(s.Service),
			"AllUnreachable", !s.PartitionedAt.IsZero())
	}
	f.mu.Unlock()
	f.Meter.SetGauge("services_unreachable", float64(partitioned))
	f.Meter.SetGauge("backends_detoured", float64(detoured))
}

// logPartition logs the beginning and the end of a partition from a service. The caller holds the lock.
func (f *Forwarder) logPartition(now time.Time, s pathtracker.Summary) {
	before := f.partitionedAt[s.Service]
	switch {
	case before.IsZero() && !s.PartitionedAt.IsZero():
		f.Log.Warn("no backend server of a service is reached directly", "Service", s.Service, "Since", now.Sub(s.PartitionedAt).Milliseconds())
	case !before.IsZero() && s.PartitionedAt.IsZero():
		f.Log.Info("backend servers of a service are reached directly again", "Service", s.Service, "After", now.Sub(before).Milliseconds())
	}
	f.partitionedAt[s.Service] = s.PartitionedAt
}

// addDetoured adds to loads which backend servers are reached through other gateways only. The caller
// holds the lock.
func (f *Forwarder) addDetoured(loads []*wire.Load) []*wire.Load {
	for _, id := range f.paths.DetouredBackends() {
		i := slices.IndexFunc(loads, func(l *wire.Load) bool { return l.GetBackend() == id })
		if i < 0 {
			i = len(loads)
			loads = append(loads, &wire.Load{Backend: id})
		}
		loads[i].Detoured = 1
	}
	return loads
}

// partitionedSince returns since when no backend server of a service is reached directly; zero if any
// is.
func (f *Forwarder) partitionedSince(service string) time.Time {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paths.PartitionedSince(now, service)
}

// applyBackOff applies a backoff that a backend server has asked of another gateway, on a connection
// from this instance or through the other one. It reports whether it begins a backoff.
func (f *Forwarder) applyBackOff(backend string, d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.BackOff(f.Clock.Now(), backend, d)
}
