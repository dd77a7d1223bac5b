package forwarder

import (
	"time"

	"bronzelead.example/pkg/wire"
)

// course is how a stream went so far, as its caller sees it.
type course struct {
	// lacked is set if its adapter was nowhere to be used while it waited.
	lacked bool
	// firstAt and lastAt are when the first and the latest events were passed on.
	firstAt time.Time
	lastAt  time.Time
	// pause is the longest time between two events, and resumed is set if the stream has
	// gone on at another backend server.
	pause   time.Duration
	resumed bool
	// noted is set once it was counted among those that paused for too long or did not.
	noted bool
}

// note takes the passing on of some events, and returns the time since those before; 0 for
// the first.
func (c *course) note(now time.Time) time.Duration {
	if c.firstAt.IsZero() {
		c.firstAt, c.lastAt = now, now
		return 0
	}
	gap := now.Sub(c.lastAt)
	c.pause = max(c.pause, gap)
	c.lastAt = now
	return gap
}

// verdict says whether a stream that has ended was in time, and if not for which reason
// above all.
type verdict string

const (
	inTime           verdict = "InTime"
	waitedForAdapter verdict = "WaitedForAdapter"
	waitedForPlace   verdict = "WaitedForPlace"
	slowFirstEvent   verdict = "SlowFirstEvent"
	resumedLate      verdict = "ResumedLate"
	longPause        verdict = "LongPause"
	unfinished       verdict = "Unfinished"
)

// waitedShare is the part, as a divisor, of the objective from which a wait counts as the
// reason of a late first event.
const waitedShare = 2

// judge tells how a stream that is complete went, which was received at a time and waited
// for a while before it was sent.
func (c *course) judge(route *wire.Route, received time.Time, waited time.Duration) verdict {
	objective, pause := milliseconds(route.GetObjectiveMs()), milliseconds(route.GetPauseObjectiveMs())
	first := c.firstAt.Sub(received)
	switch {
	case c.firstAt.IsZero() || (first <= objective && (pause == 0 || c.pause <= pause)):
		return inTime
	case first <= objective && c.resumed:
		return resumedLate
	case first <= objective:
		return longPause
	case waited <= objective/waitedShare:
		return slowFirstEvent
	case c.lacked:
		return waitedForAdapter
	}
	return waitedForPlace
}

// tallyEvery is the time between two log lines on how requests ended.
const tallyEvery = 5 * time.Second

// judged counts a stream that has ended.
func (f *Forwarder) judged(j *job, v verdict) {
	f.noteStream(j, false)
	series := f.Meter.SeriesFor(j.service, j.route.GetName())
	if !j.course.firstAt.IsZero() {
		series.FirstToken.RecordDuration(j.course.firstAt.Sub(j.req.ReceivedAt))
		series.BetweenTokens.RecordDuration(j.course.pause)
	}
	series.QueueWait.RecordDuration(j.waited)
	f.Meter.Increment("streams", "verdict", string(v))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.verdicts[v]++
}

// logTallies logs now and then how requests ended since the last time.
func (f *Forwarder) logTallies() {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.talliedAt) < tallyEvery {
		return
	}
	f.talliedAt = now
	f.logEndings()
	if len(f.verdicts) > 0 {
		f.Log.Info("streams", "Ended", f.verdicts)
		f.verdicts = map[verdict]int{}
	}
}
