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
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

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

// Run requests quota until ctx ends.
func (e *Enforcer) Run(ctx context.Context) {
	defer e.transport.CloseIdleConnections()
	for e.waitForWork(ctx) {
		e.runOnce(ctx)
	}
}

// waitForWork waits until there may be something to do, and reports false once ctx has ended.
func (e *Enforcer) waitForWork(ctx context.Context) bool {
	var due <-chan time.Time
	if wait, ok := e.nextCheckIn(); ok {
		timer := e.Clock.NewTimer(wait)
		defer timer.Stop()
		due = timer.Chan()
	}
	select {
	case <-ctx.Done():
		return false
	case <-e.wakeup:
	case <-due:
	}
	return true
}

// nextCheckIn returns the time until the next check, and false if there is no demand.
func (e *Enforcer) nextCheckIn() (time.Duration, bool) {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	busy := false
	for _, p := range e.accounts {
		if len(p.waiters) > 0 {
			return checkInterval, true
		}
		busy = busy || !p.Idle(now)
	}
	if e.limited && !busy {
		return termCheckInterval, true
	}
	return max(checkInterval, e.nextCallAt.Sub(now)), busy
}

// unreportedTerm returns the term of a leader that has no usage report yet, or 0.
func (e *Enforcer) unreportedTerm() uint64 {
	if e.Term == nil || !e.limited {
		return 0
	}
	if term := e.Term(); term != e.reportedTerm {
		return term
	}
	return 0
}

// runOnce calls the leader if that is due, and decides on the waiting requests.
func (e *Enforcer) runOnce(ctx context.Context) {
	now := e.Clock.Now()
	report := e.report(now)
	if report == nil {
		e.settle(now)
		return
	}
	res, err := e.call(ctx, &wire.BorrowRequest{Borrowers: []*wire.Borrower{report}})
	if err == nil && len(res.GetBorrowers()) != 1 {
		err = errors.Errorf("quotaenforcer: %d answers to one gateway", len(res.GetBorrowers()))
	}
	e.receive(now, res, err)
	e.settle(e.Clock.Now())
}

// report returns the report that is due to the leader, or nil.
func (e *Enforcer) report(now time.Time) *wire.Borrower {
	e.mu.Lock()
	defer e.mu.Unlock()
	urgent := false
	for _, p := range e.accounts {
		urgent = urgent || len(p.waiters) > 0
	}
	newTerm := e.unreportedTerm()
	if now.Before(e.nextCallAt) && (!urgent && newTerm == 0 || e.failing) {
		return nil
	}
	report := &wire.Borrower{
		Gateway: e.Gateway, Address: e.Address, RunningMs: uint32(min(now.Sub(e.startedAt), time.Hour).Milliseconds()),
	}
	for name, p := range e.accounts {
		if len(p.waiters) == 0 && p.Idle(now) {
			continue
		}
		needed := uint64(0)
		for _, w := range p.waiters {
			needed += w.size
		}
		report.Accounts = append(report.Accounts, p.Report(now, name, needed))
	}
	if len(report.Accounts) == 0 && newTerm == 0 {
		return nil
	}
	e.reportingTerm = newTerm
	return report
}

// receive takes the result of a call that was made at calledAt.
func (e *Enforcer) receive(calledAt time.Time, res *wire.BorrowResponse, err error) {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		if !e.failing {
			e.Log.Info("quota request failed", "Upstream", e.Upstream(), "Error", err.Error())
		}
		e.failing, e.nextCallAt = true, now.Add(failureBackoff)
		return
	}
	if e.failing {
		e.Log.Info("quota requests succeed again", "Upstream", e.Upstream())
	}
	if e.reportingTerm != 0 {
		e.reportedTerm = e.reportingTerm
	}
	e.failing, e.nextCallAt = false, now.Add(defaultCallInterval)
	if interval := time.Duration(res.GetAgainInMs()) * time.Millisecond; interval > 0 {
		e.nextCallAt = now.Add(interval)
	}
	for _, credit := range res.GetBorrowers()[0].GetCredits() {
		if p := e.accounts[credit.GetCustomer()]; p != nil {
			p.Receive(now, calledAt, credit)
		}
	}
	if e.Meter != nil {
		e.Meter.RecordDuration("borrow", now.Sub(calledAt))
	}
}

func (e *Enforcer) settle(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.accounts {
		p.settle(now)
	}
}

var errNoLeader = twirp.NewError(twirp.Unavailable, "no leader is known")

func (e *Enforcer) call(ctx context.Context, req *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	address := e.Upstream()
	if address == "" {
		return nil, errNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.Client(address).Borrow(ctx, req)
}

// Borrow forwards the call of a gateway that follows this one.
func (e *Enforcer) Borrow(ctx context.Context, req *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	return e.call(ctx, req)
}

// errNotController is the answer to calls that only controllers serve.
var errNotController = twirp.NewError(twirp.Unavailable, "this is a gateway")

// ListLimits is not served by gateways.
func (e *Enforcer) ListLimits(context.Context, *wire.ListLimitsRequest) (*wire.ListLimitsResponse, error) {
	return nil, errNotController
}
