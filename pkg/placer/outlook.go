package placer

import "time"

const (
	// loadRateHalfLife is the half-life of the load rate: a few loads, and short against the
	// seconds in which engines are lost or return.
	loadRateHalfLife = 500 * time.Millisecond
	// overloadDelay is how long more adapters must wait than there are engines before any is
	// declined: until then the load rate is that of the quiet time before.
	overloadDelay = 300 * time.Millisecond
)

// loadRate is the number of loads that end per second.
type loadRate struct {
	rate     float64
	lastLoad time.Time
}

func (r *loadRate) add(now time.Time) {
	r.rate = r.at(now) + ln2/loadRateHalfLife.Seconds()
	r.lastLoad = now
}

func (r *loadRate) at(now time.Time) float64 {
	return r.rate * decayFactor(float64(now.Sub(r.lastLoad))/float64(loadRateHalfLife))
}

// queuedLoads counts the adapters queued at engines.
func (p *Placer) queuedLoads() int {
	n := 0
	for _, e := range p.engines {
		n += len(e.queue)
	}
	return n
}

// isOverloaded takes how many adapters wait, and reports whether there have been more than
// engines for overloadDelay.
func (p *Placer) isOverloaded(now time.Time, waiting int) bool {
	switch {
	case waiting <= len(p.engines):
		p.overloadedSince = time.Time{}
		return false
	case p.overloadedSince.IsZero():
		p.overloadedSince = now
	}
	return now.Sub(p.overloadedSince) >= overloadDelay
}

// expectedWait returns about how long it takes until an adapter is loaded, where ahead counts
// those before it and itself.
func (p *Placer) expectedWait(now time.Time, ahead int) time.Duration {
	rate := max(1, p.loadRate.at(now))
	return time.Duration(float64(ahead)/rate*float64(time.Second)) + p.coldLoad
}

// decline gives up a pending load. Callers learn at once that their adapter will not be loaded
// in time, and when to retry, and the loads that are possible serve others.
func (p *Placer) decline(adapter string) {
	delete(p.pendingLoads, adapter)
	p.declinedTotal++
	p.declined = append(p.declined, adapter)
}

// TakeDeclined returns the adapters whose loads were declined since the last call.
func (p *Placer) TakeDeclined() []string {
	declined := p.declined
	p.declined = nil
	return declined
}
