package forwarder

import (
	"net/http"
	"slices"

	"bronzelead.example/platform"
)

// slotOutcome is the outcome of a request for a slot of a plain service, or of the decision that
// none is asked for.
type slotOutcome string

const (
	slotGranted        slotOutcome = "Granted"
	slotRefusedByOwner slotOutcome = "RefusedByOwner"
	// slotSlow is a refusal because the backend server is too slow, whatever its load.
	slotSlow           slotOutcome = "Slow"
	slotRefusedLocally slotOutcome = "RefusedLocally"
	// slotProbe is a request that asks an owner although it would be refused locally.
	slotProbe slotOutcome = "Probe"
)

// overloadRefusal identifies refusals that are logged together.
type overloadRefusal struct {
	service string
	reason  slotOutcome
}

func (f *Forwarder) countSlotOutcome(o slotOutcome) {
	f.Meter.Increment("slot_requests", "outcome", string(o))
}

// refuseOverloaded refuses a request that its backend servers are too busy for. Beyond the capacity
// most requests are refused for this reason, so that they are logged together.
func (f *Forwarder) refuseOverloaded(j *job, reason slotOutcome) {
	now := f.Clock.Now()
	leaves := j.deadline
	if !j.clientDeadline.IsZero() {
		leaves = j.clientDeadline
	}
	backends := slices.Concat(j.busy, j.avoid)
	retryAfter := f.Regulator.RetryAfter(backends, f.waitRequest(now, j), leaves.Sub(now))
	if j.reply.Begun() || j.runs > 0 {
		f.refuseOrFail(j, reasonOverloaded, retryAfter)
		return
	}
	j.status = http.StatusServiceUnavailable
	f.Meter.Increment("requests_not_served", "outcome", outcomeLabel(j.status))
	f.mu.Lock()
	f.overloadRefusals[overloadRefusal{j.service, reason}]++
	f.mu.Unlock()
	j.reply.Send(j.status, platform.EncodeRefusal(j.meta.ID, retryAfter), []byte(reasonOverloaded+"\n"))
}

// logOverloadRefusals logs the number of refusals since the last log line.
func (f *Forwarder) logOverloadRefusals() {
	f.mu.Lock()
	list := f.overloadRefusals
	f.overloadRefusals = map[overloadRefusal]int{}
	f.mu.Unlock()
	for r, n := range list {
		f.Log.Info("requests refused: "+reasonOverloaded, "Service", r.service, "Reason", r.reason, "Requests", n)
	}
}
