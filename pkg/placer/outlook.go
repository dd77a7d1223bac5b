package placer

import "time"

const (
	// paceHalfLife is the time in which the pace of loads is forgotten by half: a few loads,
	// and short against the seconds in which engines are lost or come back.
	paceHalfLife = 500 * time.Millisecond
	// crowdedFor is how long more adapters must wait than there are engines before any is
	// declined: until then the pace is that of the quiet time before.
	crowdedFor = 300 * time.Millisecond
)

// pace is the number of loads that end in a second.
type pace struct {
	rate float64
	last time.Time
}

func (a *pace) add(now time.Time) {
	a.rate = a.at(now) + ln2/paceHalfLife.Seconds()
	a.last = now
}

func (a *pace) at(now time.Time) float64 {
	return a.rate * halving(float64(now.Sub(a.last))/float64(paceHalfLife))
}

// queued counts the adapters that wait at engines.
func (p *Placer) queued() int {
	n := 0
	for _, e := range p.engines {
		n += len(e.queue)
	}
	return n
}

// isCrowded takes how many adapters wait, and reports whether more than there are engines
// have done so for a while.
func (p *Placer) isCrowded(now time.Time, waiting int) bool {
	switch {
	case waiting <= len(p.engines):
		p.crowdedSince = time.Time{}
		return false
	case p.crowdedSince.IsZero():
		p.crowdedSince = now
	}
	return now.Sub(p.crowdedSince) >= crowdedFor
}

// loadWait returns about how long it takes until an adapter is there, with so many before
// it and itself.
func (p *Placer) loadWait(now time.Time, ahead int) time.Duration {
	rate := max(1, p.pace.at(now))
	return time.Duration(float64(ahead)/rate*float64(time.Second)) + p.coldLoad
}

// drop gives up a want. Callers hear at once that their adapter does not come in time, and
// when to retry, and the loads that are possible serve others.
func (p *Placer) drop(adapter string) {
	delete(p.wants, adapter)
	p.dropped++
	p.declined = append(p.declined, adapter)
}

// TakeDeclined returns the adapters that were wanted and are not loaded, since the last call.
func (p *Placer) TakeDeclined() []string {
	declined := p.declined
	p.declined = nil
	return declined
}
