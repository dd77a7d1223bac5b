package app

import (
	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/pkg/evictor"
	"bronzelead.example/pkg/reserver"
)

// resourceState is what callers hold, and what was refused for want of room.
type resourceState struct {
	memory      reserver.Stats
	connections evictor.Stats
}

// reportResources records what callers hold at the frontend, and logs what was refused since the last call.
func (r *Routed) reportResources(frontend *acceptor.Acceptor) {
	before, now := r.reported, resourceState{frontend.Memory.Stats(), frontend.Connections()}
	r.reported = now
	r.meter.SetGauge("request_memory_bytes", float64(now.memory.Used))
	r.meter.SetGauge("request_memory_peak_bytes", float64(now.memory.Peak))
	r.meter.SetGauge("caller_connections", float64(now.connections.Open))
	refused, revoked := now.memory.Refused-before.memory.Refused, now.memory.Revoked-before.memory.Revoked
	if refused+revoked > 0 {
		r.Log.Warn("memory for requests is short", "Refused", refused, "Revoked", revoked, "Reserved", now.memory.Used)
		r.meter.Add("request_memory", "outcome", "Refused", refused)
		r.meter.Add("request_memory", "outcome", "Revoked", revoked)
	}
	evicted, closed := now.connections.Evicted-before.connections.Evicted, now.connections.Refused-before.connections.Refused
	if evicted+closed > 0 {
		r.Log.Warn("callers have too many connections", "ClosedForOthers", evicted, "Closed", closed, "Open", now.connections.Open)
		r.meter.Add("connections", "outcome", "Evicted", evicted)
		r.meter.Add("connections", "outcome", "Closed", closed)
	}
}
