package forwarder

import (
	"time"

	"bronzelead.example/pkg/wire"
)

// streamProgress is the progress of a stream as its caller sees it.
type streamProgress struct {
	// adapterMissing is set if its adapter was usable at no backend server while it waited.
	adapterMissing bool
	// firstAt and lastAt are when the first and the latest events were relayed.
	firstAt time.Time
	lastAt  time.Time
	// maxPause is the longest time between two events, and resumed is set if the stream was
	// resumed at another backend server.
	maxPause time.Duration
	resumed  bool
	// counted is set once the stream was counted as paused for too long or not.
	counted bool
}

// observeEvents records that events were relayed, and returns the time since the previous ones;
// 0 for the first.
func (c *streamProgress) observeEvents(now time.Time) time.Duration {
	if c.firstAt.IsZero() {
		c.firstAt, c.lastAt = now, now
		return 0
	}
	gap := now.Sub(c.lastAt)
	c.maxPause = max(c.maxPause, gap)
	c.lastAt = now
	return gap
}

// streamOutcome says whether an ended stream was on time, and if not, the main reason.
type streamOutcome string

const (
	streamOnTime           streamOutcome = "InTime"
	streamWaitedForAdapter streamOutcome = "WaitedForAdapter"
	streamWaitedForSlot    streamOutcome = "WaitedForPlace"
	streamSlowFirstEvent   streamOutcome = "SlowFirstEvent"
	streamResumedLate      streamOutcome = "ResumedLate"
	streamLongPause        streamOutcome = "LongPause"
	streamUnfinished       streamOutcome = "Unfinished"
)

// waitDivisor gives the part of the objective from which a wait counts as the reason of a late
// first event.
const waitDivisor = 2

// classify returns the outcome of a complete stream, given when it was received and how long it
// waited before it was sent.
func (c *streamProgress) classify(route *wire.Route, received time.Time, waited time.Duration) streamOutcome {
	objective, pause := milliseconds(route.GetObjectiveMs()), milliseconds(route.GetPauseObjectiveMs())
	first := c.firstAt.Sub(received)
	switch {
	case c.firstAt.IsZero() || (first <= objective && (pause == 0 || c.maxPause <= pause)):
		return streamOnTime
	case first <= objective && c.resumed:
		return streamResumedLate
	case first <= objective:
		return streamLongPause
	case waited <= objective/waitDivisor:
		return streamSlowFirstEvent
	case c.adapterMissing:
		return streamWaitedForAdapter
	}
	return streamWaitedForSlot
}

// outcomeLogInterval is the time between two log lines on the outcomes of requests.
const outcomeLogInterval = 5 * time.Second

// recordStreamOutcome counts a stream that has ended.
func (f *Forwarder) recordStreamOutcome(j *job, v streamOutcome) {
	f.observeStream(j, false)
	series := f.Meter.SeriesFor(j.service, j.route.GetName())
	if !j.progress.firstAt.IsZero() {
		series.FirstToken.RecordDuration(j.progress.firstAt.Sub(j.req.ReceivedAt))
		series.BetweenTokens.RecordDuration(j.progress.maxPause)
	}
	series.QueueWait.RecordDuration(j.waited)
	f.Meter.Increment("streams", "verdict", string(v))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streamOutcomes[v]++
}

// logOutcomes periodically logs the outcomes of requests since the last log line.
func (f *Forwarder) logOutcomes() {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.outcomesLoggedAt) < outcomeLogInterval {
		return
	}
	f.outcomesLoggedAt = now
	f.logRequestOutcomes()
	if len(f.streamOutcomes) > 0 {
		f.Log.Info("streams", "Ended", f.streamOutcomes)
		f.streamOutcomes = map[streamOutcome]int{}
	}
}
