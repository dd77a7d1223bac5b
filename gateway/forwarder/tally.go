package forwarder

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

// ending says how a request that is not a stream ended for its caller.
type ending string

const (
	endedInTime  ending = "InTime"
	endedLate    ending = "Late"
	endedRefused ending = "Refused"
	// endedHeld is a refusal after more than an eighth of the objective.
	endedHeld   ending = "RefusedLate"
	endedFailed ending = "Failed"
	// noRepeat counts, beside the endings, tries that the repeat budget did not allow.
	noRepeat ending = "RepeatsDenied"
)

// heldShare is the part, as a divisor, of the objective from which a refusal counts as late.
const heldShare = 8

// endingOf judges a request by the status that its caller got and the time that it took.
func endingOf(status int, took, objective time.Duration) ending {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		if took > objective/heldShare {
			return endedHeld
		}
		return endedRefused
	case status == 0 || status >= http.StatusInternalServerError:
		return endedFailed
	case took > objective:
		return endedLate
	}
	return endedInTime
}

// tally counts a request that has ended. Streams are judged by their events instead.
func (f *Forwarder) tally(j *job) {
	if j.route.GetRepetition() == wire.Repetition_REPETITION_STREAM {
		return
	}
	e := endingOf(j.status, f.Clock.Since(j.req.ReceivedAt), milliseconds(j.route.GetObjectiveMs()))
	f.Meter.Increment("plain_requests", "ending", string(e))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addEnding(j, e)
}

// addEnding counts for the next log line. The caller holds the lock.
func (f *Forwarder) addEnding(j *job, e ending) {
	name := j.route.GetName()
	if f.endings[name] == nil {
		f.endings[name] = map[ending]int{}
	}
	f.endings[name][e]++
}

// logEndings logs by route how requests ended since the last time. The caller holds the lock.
func (f *Forwarder) logEndings() {
	for _, name := range slices.Sorted(maps.Keys(f.endings)) {
		f.Log.Info("plain requests", "Route", name, "Ended", f.endings[name])
	}
	clear(f.endings)
}
