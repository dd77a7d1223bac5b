// Package quotaenforcer enforces customers' limits at one gateway: it prefetches quota from the
// leader, requests quota immediately for waiting requests, and forwards the calls of gateways
// that follow this one.
package quotaenforcer

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/quotaallocator"
	"bronzelead.example/pkg/wire"
)

const (
	// callTimeout bounds a call to the leader, and leaves time for a relay's own call to fail.
	callTimeout = 250 * time.Millisecond
	// failureBackoff is the time between two calls while the leader does not answer.
	failureBackoff = 50 * time.Millisecond
	// checkInterval is the time between two checks of waiting requests without a new one.
	checkInterval = 20 * time.Millisecond
	// maxWait is how long a request waits for quota: until a gateway that can't reach the
	// leader spends its allowance.
	maxWait = 500 * time.Millisecond
	// termCheckInterval is the time between two checks for a new leader.
	termCheckInterval = 250 * time.Millisecond
	// defaultCallInterval is the time between two calls if the leader sets none.
	defaultCallInterval = 250 * time.Millisecond
)

// Decision is the result of an admission check.
type Decision struct {
	// Admitted is set if quota is held for the request, until Release or Spend.
	Admitted bool
	// OverLimit is set if the customer exceeds its limit; there will be room after RetryIn. If
	// neither is set, it is unknown whether there is room.
	OverLimit bool
	RetryIn   time.Duration
}

// Enforcer is one gateway's part. Set the exported fields, call Init, then Run.
type Enforcer struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter
	// Gateway is the name of this gateway, and Address is where other processes reach it.
	Gateway string
	Address string
	// Term returns the term of the current leader. A new leader receives a report of the usage;
	// with nil, idle gateways send no such report.
	Term func() uint64
	// Upstream returns the address of the leader, or of a gateway on the path to it; "" if none
	// is known.
	Upstream func() string
	// Client returns a client of the limits at an address; nil makes one over HTTP.
	Client func(address string) wire.Limits

	wakeup    chan struct{}
	transport *http.Transport
	startedAt time.Time

	mu       sync.Mutex
	accounts map[string]*account
	// nextCallAt is when the leader is to be called at the latest; failing is set while calls
	// fail.
	nextCallAt time.Time
	failing    bool
	// limited is set while any customer has a limit, and reportedTerm is the term of the leader
	// that received the latest usage report.
	limited      bool
	reportedTerm uint64
	// reportingTerm is the term of the new leader that the current call reports to, or 0.
	reportingTerm uint64
}

// account is the state of one customer.
type account struct {
	quotaallocator.Account
	limit   *wire.CustomerLimit
	waiters []*waiter
}

// waiter is a request that waits for quota.
type waiter struct {
	size     uint64
	deadline time.Time
	// decision receives the decision once. It is buffered.
	decision chan Decision
}

// Init prepares the enforcer for use.
func (e *Enforcer) Init() {
	e.wakeup = make(chan struct{}, 1)
	e.startedAt = e.Clock.Now()
	e.accounts = map[string]*account{}
	e.transport = connector.NewTransport(nil)
	if e.Client == nil {
		client := &connector.Client{Timeout: callTimeout, Transport: e.transport}
		e.Client = func(address string) wire.Limits { return wire.NewLimitsProtobufClient("http://"+address, client) }
	}
}

// SetCustomers takes the limits in force.
func (e *Enforcer) SetCustomers(customers []*wire.RoutedCustomer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	limits := map[string]*wire.CustomerLimit{}
	e.limited = false
	for _, c := range customers {
		limits[c.GetName()] = c.GetLimit()
		e.limited = e.limited || c.GetLimit() != nil
	}
	if e.limited {
		e.wake()
	}
	for name, p := range e.accounts {
		lower := isLower(limits[name], p.limit)
		p.limit = limits[name]
		if lower {
			p.Reset()
		}
	}
}

// isLower reports whether quota granted under an earlier limit may exceed the new limit.
func isLower(limit, earlier *wire.CustomerLimit) bool {
	return limit.GetUnit() != earlier.GetUnit() || limit.GetRatePerSecond() < earlier.GetRatePerSecond() ||
		limit.GetBurst() < earlier.GetBurst()
}

// Admit holds quota for a request of a customer that has a limit, and waits for it if needed.
func (e *Enforcer) Admit(ctx context.Context, customer string, limit *wire.CustomerLimit, size uint64) Decision {
	now := e.Clock.Now()
	e.mu.Lock()
	p := e.accounts[customer]
	if p == nil {
		p = &account{limit: limit}
		e.accounts[customer] = p
	}
	p.RecordDemand(now, size)
	w := &waiter{size: size, deadline: now.Add(maxWait), decision: make(chan Decision, 1)}
	if len(p.waiters) == 0 {
		if v, decided := p.decide(now, w); decided {
			e.mu.Unlock()
			return v
		}
	}
	p.waiters = append(p.waiters, w)
	e.mu.Unlock()
	e.wake()
	select {
	case v := <-w.decision:
		return v
	case <-ctx.Done():
		return e.abandon(customer, w)
	}
}

// abandon removes a request whose caller has disconnected.
func (e *Enforcer) abandon(customer string, w *waiter) Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case v := <-w.decision:
		return v
	default:
	}
	if p := e.accounts[customer]; p != nil {
		p.removeWaiter(w)
	}
	return Decision{}
}

func (p *account) removeWaiter(removed *waiter) {
	remaining := p.waiters[:0]
	for _, w := range p.waiters {
		if w != removed {
			remaining = append(remaining, w)
		}
	}
	clear(p.waiters[len(remaining):])
	p.waiters = remaining
}

// decide decides on a request, if that is possible now.
func (p *account) decide(now time.Time, w *waiter) (Decision, bool) {
	if p.Hold(now, w.size) {
		return Decision{Admitted: true}, true
	}
	if retryIn := p.RetryIn(now); retryIn > 0 {
		p.RecordRefusal()
		return Decision{OverLimit: true, RetryIn: retryIn}, true
	}
	if now.Before(w.deadline) {
		return Decision{}, false
	}
	p.RecordRefusal()
	return Decision{}, true
}

// settle decides on the waiting requests, as far as that is possible now.
func (p *account) settle(now time.Time) {
	remaining := p.waiters[:0]
	for _, w := range p.waiters {
		v, decided := p.decide(now, w)
		if !decided {
			remaining = append(remaining, w)
			continue
		}
		w.decision <- v
	}
	clear(p.waiters[len(remaining):])
	p.waiters = remaining
}

// Release returns the quota of a request that was not sent.
func (e *Enforcer) Release(customer string, size uint64) {
	e.withAccount(customer, func(p *account) { p.Release(size) })
}

// Spend records that a request whose quota is held is sent.
func (e *Enforcer) Spend(customer string, size uint64) {
	e.withAccount(customer, func(p *account) { p.Spend(e.Clock.Now(), size) })
}

// Refund records that a request which was sent has certainly not run. Its quota is held again.
func (e *Enforcer) Refund(customer string, size uint64) {
	e.withAccount(customer, func(p *account) { p.Refund(e.Clock.Now(), size) })
}

// Status returns the state behind the decisions on a customer's requests.
func (e *Enforcer) Status(customer string) quotaallocator.Status {
	status := quotaallocator.Status{}
	e.withAccount(customer, func(p *account) { status = p.Status(e.Clock.Now()) })
	return status
}

func (e *Enforcer) withAccount(customer string, f func(p *account)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.accounts[customer]; p != nil {
		f(p)
	}
}

func (e *Enforcer) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}
