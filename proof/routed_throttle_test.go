package proof

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/throttler"
)

// Two of nine model engines announced that they take 6.3 and 4.5 requests a second from all
// gateways together. In the 4 s that ended 3 s later they received 77 and 65, where 43 and 32
// were allowed: the announcement did not change the arrivals per second.
//
//	second           5  6  7  8  9 10 11 12 13
//	i-b884b97c85    17 15 15 19 27 20 23 16 17   limited to 6.3 from 8.0 s on
//	i-fa5bd0184c    14 12  7 12 13 17 17 14 19   limited to 4.5 from 8.0 s on
//
// Here one of three backend servers announces a limit while callers send more than that through
// all gateways together. Of twelve gateways, ten receive it through two others.
func TestRoutedRequestLimitHoldsAcrossGateways(t *testing.T) {
	for name, gateways := range map[string]int{"three gateways": 3, "twelve gateways": 12} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			y := startRouted(c, 3, gateways, 3)
			load := startSteadyLoad(y, 60/gateways)
			limited := y.backends[0]
			y.waitServed(120)
			limited.waitSteady()
			announcedAt := time.Now()
			limited.setLimit(announcedLimit)
			y.waitWhileServing(announcedAt.Add(maxPropagation + 2*limitWindow))
			limited.setLimit(0)
			liftedAt := time.Now()
			limited.checkLimit(announcedAt, liftedAt)
			used := limited.arrivedBetween(announcedAt.Add(maxPropagation), liftedAt)
			c.Check(float64(used) >= minUse*announcedLimit*liftedAt.Sub(announcedAt.Add(maxPropagation)).Seconds(), qt.IsTrue,
				qt.Commentf("%d requests in %s under a limit of %v a second", used, liftedAt.Sub(announcedAt.Add(maxPropagation)), announcedLimit))
			eventually(c, "the server receives more requests after its limit is lifted", func() bool {
				return limited.arrivedBetween(time.Now().Add(-time.Second), time.Now()) > 2*announcedLimit
			})
			load.stop()
			c.Check(load.notServed(), qt.HasLen, 0)
			y.history.check(c)
		})
	}
}

// The limit holds while gateways, including the limit's owner, are killed, frozen and stopped
// in turn, and while there is no leader; an operator sees it. No gateway is exempt from the
// check.
func TestRoutedRequestLimitHoldsDuringGatewayFaults(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 3, 4, 3)
	load := startSteadyLoad(y, 15)
	limited := y.backends[0]
	y.waitServed(120)
	limited.waitSteady()
	announcedAt := time.Now()
	limited.setLimit(announcedLimit)
	y.waitWhileServing(announcedAt.Add(maxPropagation))
	eventually(c, "the operator sees the limit", func() bool {
		return strings.Contains(y.runBronzectl("limits", "--backends"), "b0       6.00  InForce")
	})
	for i, n := range y.gateways {
		heal := []func(*instance) func(){killFault, freezeFault, stopFault, killFault}[i](n)
		y.waitWhileServing(time.Now().Add(1500 * time.Millisecond))
		heal()
		y.waitWhileServing(time.Now().Add(time.Second))
	}
	for _, n := range y.controllers {
		n.freeze()
	}
	y.waitWhileServing(time.Now().Add(2 * time.Second))
	for _, n := range y.controllers {
		n.thaw()
	}
	y.waitWhileServing(time.Now().Add(time.Second))
	limited.checkLimit(announcedAt, time.Now())
	load.stop()
	y.history.check(c)
}

func stopFault(n *instance) func() {
	n.stop()
	return n.restart
}

const (
	// announcedLimit is the limited server's limit in requests per second.
	announcedLimit = 6
	// limitWindow is the window over which a limit is checked, and minUse the share of the
	// limit that must be used while there is demand.
	limitWindow = 4 * time.Second
	minUse      = 0.75
)

// allowedInWindow returns how many requests a limited server may receive in a window.
func allowedInWindow(limit throttler.RequestRate) int {
	const overage, slack = 1.5, 5
	return int(overage*float64(limit)*limitWindow.Seconds()) + slack
}

// waitSteady waits until a server has received about as many requests in the last second as
// callers send it. After a stall of the machine, delayed requests arrive in a burst. The first
// windows that are checked begin a second before the announcement, and no gateway can bound what
// arrived before it knew of the limit: with all gateways frozen for 2 s, 42 to 48 requests
// arrived in that second, and 1 to 6 in the 3 s after the announcement.
func (b *fakeBackend) waitSteady() {
	const rate, tolerance, logInterval = 20, 10, 2 * time.Second
	loggedAt := time.Now()
	eventually(b.y.c, "requests arrive at a steady rate", func() bool {
		now := time.Now()
		n := b.arrivedBetween(now.Add(-time.Second), now)
		if now.Sub(loggedAt) >= logInterval {
			loggedAt = now
			for _, other := range b.y.backends {
				b.y.c.Logf("%d requests arrived at %s in the last second", other.arrivedBetween(now.Add(-time.Second), now), other.id)
			}
		}
		return n >= rate-tolerance && n <= rate+tolerance
	})
}

// checkLimit checks each window that ends between maxPropagation after the announcement and the
// limit's end.
func (b *fakeBackend) checkLimit(announcedAt, liftedAt time.Time) {
	peak := b.maxInWindow(announcedAt.Add(maxPropagation), liftedAt)
	used := b.arrivedBetween(announcedAt.Add(maxPropagation), liftedAt)
	b.y.c.Logf("at most %d requests in %s, allowed %d; %.2f a second under a limit of %v", peak, limitWindow,
		allowedInWindow(announcedLimit), float64(used)/liftedAt.Sub(announcedAt.Add(maxPropagation)).Seconds(), announcedLimit)
	b.y.c.Logf("%d requests in the second before the announcement, %d in %s after it",
		b.arrivedBetween(announcedAt.Add(-time.Second), announcedAt), b.arrivedBetween(announcedAt, announcedAt.Add(maxPropagation)), maxPropagation)
	b.y.c.Check(peak <= allowedInWindow(announcedLimit), qt.IsTrue,
		qt.Commentf("%d requests in %s, allowed %d", peak, limitWindow, allowedInWindow(announcedLimit)))
}

// maxInWindow returns the highest number of arrivals in a window that ends in the given period.
func (b *fakeBackend) maxInWindow(from, until time.Time) int {
	peak := 0
	for _, end := range append(b.arrivals(), from) {
		if !end.Before(from) && !end.After(until) {
			peak = max(peak, b.arrivedBetween(end.Add(-limitWindow), end))
		}
	}
	return peak
}

func (b *fakeBackend) arrivedBetween(from, until time.Time) int {
	n := 0
	for _, at := range b.arrivals() {
		if at.After(from) && !at.After(until) {
			n++
		}
	}
	return n
}

// waitWhileServing waits until a time and requires that requests are served throughout.
func (y *routedSystem) waitWhileServing(until time.Time) {
	for time.Now().Before(until) {
		y.waitServed(10)
	}
}

// steadyLoad sends requests to each gateway at a steady rate.
type steadyLoad struct {
	cancel  context.CancelFunc
	senders sync.WaitGroup
	mu      sync.Mutex
	failed  []string
}

// startSteadyLoad sends each gateway perSecond requests a second of all kinds.
func startSteadyLoad(y *routedSystem, perSecond int) *steadyLoad {
	return startLoadOf(y, perSecond, stream, once, idempotent)
}

// startLoadOf sends each gateway perSecond requests a second of some kinds in turn.
func startLoadOf(y *routedSystem, perSecond int, kinds ...routeKind) *steadyLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &steadyLoad{cancel: cancel}
	for i, n := range y.gateways {
		l.senders.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(perSecond))
			defer ticker.Stop()
			for sent := 0; ctx.Err() == nil; sent++ {
				l.senders.Go(func() { l.send(y, fmt.Sprintf("steady-%d-%d", i, sent), n, kinds[sent%len(kinds)]) })
				select {
				case <-ctx.Done():
				case <-ticker.C:
				}
			}
		})
	}
	return l
}

func (l *steadyLoad) send(y *routedSystem, name string, to *instance, k routeKind) {
	caller := newCaller(y, name, to)
	defer caller.disconnect()
	s := caller.send(string(k) + "x")
	if s.status == http.StatusOK {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = append(l.failed, fmt.Sprintf("%s: %d", s.id, s.status))
}

func (l *steadyLoad) stop() {
	l.cancel()
	l.senders.Wait()
}

// notServed returns the requests that were not served, with their status.
func (l *steadyLoad) notServed() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.failed)
}
