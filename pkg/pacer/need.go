package pacer

import "time"

// Pacing makes prompts wait, and where the places for adapters are what is short, a request
// that waits with its adapter in a place makes others wait too: before engines that read 44
// tokens in a ms, and whose streams hardly ever paused for long, 15% of the streams were late
// for want of an adapter with pacing and 12% without. So prompts are paced only once streams
// do pause for too long.
const (
	// pauseMemory is the weight of one stream in the share of those that paused for too long,
	// and tooMany the share from which prompts are paced: two of the last twenty.
	pauseMemory = 0.05
	tooMany     = 0.08
	// firstHold is how long prompts are paced at least, and longestHold the longest. It doubles
	// when pauses come back within comeBack of the end. To see that they do takes a second or
	// two of pauses, 3% of the first hold.
	firstHold   = 60 * time.Second
	longestHold = 10 * time.Minute
	comeBack    = 10 * time.Second
	// enoughOthers is how many other gateways must have seen pauses of their own, as told
	// within heardFor, for this one to pace too: one that has just started would take seconds
	// to see them itself, and a single one may have been mistaken.
	enoughOthers = 2
	heardFor     = 3 * time.Second
)

// Activation tells whether prompts for a service have to be paced. The zero value is ready for use.
type Activation struct {
	share float64
	hold  time.Duration
	until time.Time
	// others are the gateways that have seen pauses of their own, and when they said so.
	others map[string]time.Time
}

// ObserveStream takes a stream that has paused for too long, or that has ended without.
func (n *Activation) ObserveStream(now time.Time, paused bool) {
	outcome := 0.0
	if paused {
		outcome = 1
	}
	n.share += pauseMemory * (outcome - n.share)
	if n.share < tooMany {
		return
	}
	n.share = 0
	switch {
	case n.hold == 0:
		n.hold = firstHold
	case now.Sub(n.until) < comeBack && now.After(n.until):
		n.hold = min(2*n.hold, longestHold)
	}
	n.until = now.Add(n.hold)
}

// ObservePeer notes that another gateway paces prompts for what it has seen itself.
func (n *Activation) ObservePeer(now time.Time, gateway string) {
	if n.others == nil {
		n.others = map[string]time.Time{}
	}
	n.others[gateway] = now
}

// PausesObserved reports whether prompts have to be paced for what was seen here. Only this is told to
// others, or gateways would keep each other at it for ever.
func (n *Activation) PausesObserved(now time.Time) bool { return now.Before(n.until) }

// Active reports whether prompts have to be paced now.
func (n *Activation) Active(now time.Time) bool {
	if n.PausesObserved(now) {
		return true
	}
	for gateway, at := range n.others {
		if now.Sub(at) > heardFor {
			delete(n.others, gateway)
		}
	}
	return len(n.others) >= enoughOthers
}
