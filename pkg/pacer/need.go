package pacer

import "time"

// Pacing makes prompts wait. If adapter slots are the bottleneck, a request that waits while
// its adapter occupies a slot delays others too: with engines that read 44 tokens per ms, whose
// streams rarely had long pauses, 15% of the streams were late for lack of an adapter with
// pacing and 12% without. So prompts are paced only once streams do have long pauses.
const (
	// streamWeight is the weight of one stream in the share of streams with a long pause, and
	// activationThreshold the share from which prompts are paced: two of the last twenty.
	streamWeight        = 0.05
	activationThreshold = 0.08
	// minActiveTime is the shortest time for which prompts are paced, and maxActiveTime the
	// longest. The time doubles when long pauses recur within recurrenceWindow of the end.
	// Detecting them takes a second or two of pauses, 3% of the shortest time.
	minActiveTime    = 60 * time.Second
	maxActiveTime    = 10 * time.Minute
	recurrenceWindow = 10 * time.Second
	// minPeers is how many other gateways must have reported long pauses of their own within
	// peerValidity for this one to pace too: a gateway that has just started would take seconds
	// to observe them itself, and a single one may be mistaken.
	minPeers     = 2
	peerValidity = 3 * time.Second
)

// Activation decides whether prompts for a service are paced. The zero value is ready for use.
type Activation struct {
	pausedShare float64
	activeTime  time.Duration
	activeUntil time.Time
	// peers are the gateways that have observed long pauses themselves, with the time of their
	// last report.
	peers map[string]time.Time
}

// ObserveStream records a stream that had a long pause, or that ended without one.
func (a *Activation) ObserveStream(now time.Time, paused bool) {
	outcome := 0.0
	if paused {
		outcome = 1
	}
	a.pausedShare += streamWeight * (outcome - a.pausedShare)
	if a.pausedShare < activationThreshold {
		return
	}
	a.pausedShare = 0
	switch {
	case a.activeTime == 0:
		a.activeTime = minActiveTime
	case now.Sub(a.activeUntil) < recurrenceWindow && now.After(a.activeUntil):
		a.activeTime = min(2*a.activeTime, maxActiveTime)
	}
	a.activeUntil = now.Add(a.activeTime)
}

// ObservePeer records that another gateway paces prompts because of pauses that it has observed
// itself.
func (a *Activation) ObservePeer(now time.Time, gateway string) {
	if a.peers == nil {
		a.peers = map[string]time.Time{}
	}
	a.peers[gateway] = now
}

// PausesObserved reports whether prompts are paced because of pauses that were observed here.
// Only this is reported to other gateways, which would otherwise keep each other pacing
// forever.
func (a *Activation) PausesObserved(now time.Time) bool { return now.Before(a.activeUntil) }

// Active reports whether prompts are paced now.
func (a *Activation) Active(now time.Time) bool {
	if a.PausesObserved(now) {
		return true
	}
	for gateway, at := range a.peers {
		if now.Sub(at) > peerValidity {
			delete(a.peers, gateway)
		}
	}
	return len(a.peers) >= minPeers
}
