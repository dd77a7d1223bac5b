package forwarder

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

// requestOutcome is the outcome, for its caller, of a request that is not a stream.
type requestOutcome string

const (
	requestOnTime  requestOutcome = "InTime"
	requestLate    requestOutcome = "Late"
	requestRefused requestOutcome = "Refused"
	// requestRefusedLate is a refusal after more than an eighth of the objective.
	requestRefusedLate requestOutcome = "RefusedLate"
	requestFailed      requestOutcome = "Failed"
	// retryDenied counts, beside the outcomes, retries that the retry budget did not allow.
	retryDenied requestOutcome = "RepeatsDenied"
)

// lateRefusalDivisor gives the part of the objective from which a refusal counts as late.
const lateRefusalDivisor = 8

// classifyRequest returns the outcome for the status that a caller got and the time taken.
func classifyRequest(status int, took, objective time.Duration) requestOutcome {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		if took > objective/lateRefusalDivisor {
			return requestRefusedLate
		}
		return requestRefused
	case status == 0 || status >= http.StatusInternalServerError:
		return requestFailed
	case took > objective:
		return requestLate
	}
	return requestOnTime
}

// recordRequestOutcome counts a request that has ended. Streams are classified by their events
// instead.
func (f *Forwarder) recordRequestOutcome(j *job) {
	if j.route.GetRepetition() == wire.Repetition_REPETITION_STREAM {
		return
	}
	e := classifyRequest(j.status, f.Clock.Since(j.req.ReceivedAt), milliseconds(j.route.GetObjectiveMs()))
	f.Meter.Increment("plain_requests", "ending", string(e))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.countRequestOutcome(j, e)
}

// countRequestOutcome counts an outcome for the next log line. The caller holds the lock.
func (f *Forwarder) countRequestOutcome(j *job, e requestOutcome) {
	name := j.route.GetName()
	if f.requestOutcomes[name] == nil {
		f.requestOutcomes[name] = map[requestOutcome]int{}
	}
	f.requestOutcomes[name][e]++
}

// logRequestOutcomes logs the outcomes by route since the last log line. The caller holds the
// lock.
func (f *Forwarder) logRequestOutcomes() {
	for _, name := range slices.Sorted(maps.Keys(f.requestOutcomes)) {
		f.Log.Info("plain requests", "Route", name, "Ended", f.requestOutcomes[name])
	}
	clear(f.requestOutcomes)
}
