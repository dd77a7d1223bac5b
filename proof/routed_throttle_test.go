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
// gateways together. They got 77 and 65 in the 4 s that ended 3 s later, where 43 and 32 were
// allowed: what arrived each second did not change when they announced it.
//
//	second           5  6  7  8  9 10 11 12 13
//	i-b884b97c85    17 15 15 19 27 20 23 16 17   limited to 6.3 from 8.0 s on
//	i-fa5bd0184c    14 12  7 12 13 17 17 14 19   limited to 4.5 from 8.0 s on
//
// Here one of three backend servers announces a limit while callers ask all gateways together
// for more than that. Of twelve gateways, ten hear of it through two others.
func TestRoutedARequestLimitHoldsOverAllGateways(t *testing.T) {
	for name, gateways := range map[string]int{"three gateways": 3, "twelve gateways": 12} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			y := startRouted(c, 3, gateways, 3)
			load := startSteadyLoad(y, 60/gateways)
			limited := y.backends[0]
			y.waitServed(120)
			named := time.Now()
			limited.setLimit(announcedLimit)
			y.keepServing(named.Add(contact + 2*limitWindow))
			limited.setLimit(0)
			lifted := time.Now()
			limited.checkLimit(named, lifted)
			used := limited.arrivedBetween(named.Add(contact), lifted)
			c.Check(float64(used) >= leastUse*announcedLimit*lifted.Sub(named.Add(contact)).Seconds(), qt.IsTrue,
				qt.Commentf("%d requests in %s under a limit of %v a second", used, lifted.Sub(named.Add(contact)), announcedLimit))
			eventually(c, "the server gets more once it has lifted its limit", func() bool {
				return limited.arrivedBetween(time.Now().Add(-time.Second), time.Now()) > 2*announcedLimit
			})
			load.stop()
			c.Check(load.notServed(), qt.HasLen, 0)
			y.ledger.check(c)
		})
	}
}

// The limit holds while gateways are killed, frozen and stopped in turn, the owner of the limit
// among them, and while there is no leader; an operator sees it. Here no gateway is excused.
func TestRoutedARequestLimitHoldsWhileGatewaysAreLost(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 3, 4, 3)
	load := startSteadyLoad(y, 15)
	limited := y.backends[0]
	y.waitServed(120)
	named := time.Now()
	limited.setLimit(announcedLimit)
	y.keepServing(named.Add(contact))
	eventually(c, "the operator sees the limit", func() bool {
		return strings.Contains(y.control("limits", "--backends"), "b0       6.00  InForce")
	})
	for i, n := range y.gateways {
		heal := []func(*instance) func(){killed, frozen, stopped, killed}[i](n)
		y.keepServing(time.Now().Add(1500 * time.Millisecond))
		heal()
		y.keepServing(time.Now().Add(time.Second))
	}
	for _, n := range y.controllers {
		n.freeze()
	}
	y.keepServing(time.Now().Add(2 * time.Second))
	for _, n := range y.controllers {
		n.thaw()
	}
	y.keepServing(time.Now().Add(time.Second))
	limited.checkLimit(named, time.Now())
	load.stop()
	y.ledger.check(c)
}

func stopped(n *instance) func() {
	n.stop()
	return n.restart
}

const (
	// announcedLimit is what the limited server takes in a second.
	announcedLimit = 6
	// limitWindow is the time over which a limit is judged, and leastUse the part of a limit
	// that is to be used while there is demand.
	limitWindow = 4 * time.Second
	leastUse    = 0.75
)

// allowedInWindow is how many requests a server with a limit may get in a window.
func allowedInWindow(limit throttler.RequestRate) int {
	const overage, slack = 1.5, 5
	return int(overage*float64(limit)*limitWindow.Seconds()) + slack
}

// checkLimit checks each window that ends at least the time of contact after the limit was
// named, and before it was lifted.
func (b *backendStandIn) checkLimit(named, lifted time.Time) {
	most := b.mostInWindow(named.Add(contact), lifted)
	used := b.arrivedBetween(named.Add(contact), lifted)
	b.y.c.Logf("at most %d requests in %s, allowed %d; %.2f a second under a limit of %v", most, limitWindow,
		allowedInWindow(announcedLimit), float64(used)/lifted.Sub(named.Add(contact)).Seconds(), announcedLimit)
	b.y.c.Check(most <= allowedInWindow(announcedLimit), qt.IsTrue,
		qt.Commentf("%d requests in %s, allowed %d", most, limitWindow, allowedInWindow(announcedLimit)))
}

// mostInWindow returns the most requests that arrived in a window that ends in a time.
func (b *backendStandIn) mostInWindow(from, until time.Time) int {
	most := 0
	for _, end := range append(b.arrivals(), from) {
		if !end.Before(from) && !end.After(until) {
			most = max(most, b.arrivedBetween(end.Add(-limitWindow), end))
		}
	}
	return most
}

func (b *backendStandIn) arrivedBetween(from, until time.Time) int {
	n := 0
	for _, at := range b.arrivals() {
		if at.After(from) && !at.After(until) {
			n++
		}
	}
	return n
}

// keepServing waits until a time, and for requests to be served all along.
func (y *routedSystem) keepServing(until time.Time) {
	for time.Now().Before(until) {
		y.waitServed(10)
	}
}

// steadyLoad is callers that ask each gateway for streams at a steady rate.
type steadyLoad struct {
	cancel context.CancelFunc
	wait   sync.WaitGroup
	mu     sync.Mutex
	failed []string
}

// startSteadyLoad asks each gateway for some requests a second.
func startSteadyLoad(y *routedSystem, perSecond int) *steadyLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &steadyLoad{cancel: cancel}
	kinds := []kind{stream, once, idempotent}
	for i, n := range y.gateways {
		l.wait.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(perSecond))
			defer ticker.Stop()
			for sent := 0; ctx.Err() == nil; sent++ {
				l.wait.Go(func() { l.ask(y, fmt.Sprintf("steady-%d-%d", i, sent), n, kinds[sent%len(kinds)]) })
				select {
				case <-ctx.Done():
				case <-ticker.C:
				}
			}
		})
	}
	return l
}

func (l *steadyLoad) ask(y *routedSystem, name string, to *instance, k kind) {
	caller := newCaller(y, name, to)
	defer caller.hangUp()
	s := caller.ask(string(k) + "x")
	if s.status == http.StatusOK {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = append(l.failed, fmt.Sprintf("%s: %d", s.id, s.status))
}

func (l *steadyLoad) stop() {
	l.cancel()
	l.wait.Wait()
}

// notServed returns the requests that were not served, with their status.
func (l *steadyLoad) notServed() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.failed)
}
