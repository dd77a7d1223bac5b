// Package borrower keeps customers to their limits at one gateway: it borrows credit of the
// leader before it is needed, asks at once for what requests wait for, and passes the calls
// of gateways on that follow this one.
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
	// callTimeout bounds a call to the leader, and leaves a relay's own call time to fail.
	callTimeout = 250 * time.Millisecond
	// pauseAfterFailure is the time between two calls while the leader does not answer.
	pauseAfterFailure = 50 * time.Millisecond
	// lookEvery is the time between two looks at requests that wait, if no other one comes.
	lookEvery = 20 * time.Millisecond
	// longestWait is how long a request waits for credit: until a gateway that does not reach
	// the leader spends its allowance.
	longestWait = 500 * time.Millisecond
	// termEvery is the time between two looks at whether there is a new leader.
	termEvery = 250 * time.Millisecond
	// firstCall is the time between two calls before the leader has said it.
	firstCall = 250 * time.Millisecond
)

// Decision is what becomes of a request.
type Decision struct {
	// Admitted is set if its credit is held: Release or Spend ends that.
	Admitted bool
	// OverLimit is set if its customer is beyond its limit; there will be room after RetryIn.
	// If neither is set, nobody could tell.
	OverLimit bool
	RetryIn   time.Duration
}

// Enforcer is one gateway's part. Set the exported fields, call Init, then Run.
type Enforcer struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter
	// Gateway names this gateway, and Address is where other processes reach it.
	Gateway string
	Address string
	// Term returns that of the leader that is heard, by which this gateway knows that a new one
	// has to hear what it has spent; nil tells nobody unasked.
	Term func() uint64
	// Upstream returns the address of the leader, or of a gateway on the way to it; "" if none
	// is known.
	Upstream func() string
	// Client returns a client of the limits at an address; nil makes one over HTTP.
	Client func(address string) wire.Limits

	kick      chan struct{}
	transport *http.Transport
	startedAt time.Time

	mu       sync.Mutex
	accounts map[string]*account
	// callAt is when the leader is to be called at the latest; failing is set while calls fail.
	callAt  time.Time
	failing bool
	// limited is set while any customer has a limit, and told is the term of the leader that
	// was told last what was spent.
	limited bool
	told    uint64
	// telling is the term of the leader that the call under way tells, or 0.
	telling uint64
}

// account is what is kept of one customer.
type account struct {
	quotaallocator.Account
	limit   *wire.CustomerLimit
	waiters []*waiter
}

// waiter is a request that waits for credit.
type waiter struct {
	size  uint64
	until time.Time
	// verdict takes the verdict, once. It has room for it.
	verdict chan Decision
}

// Init prepares the borrower for use.
func (b *Enforcer) Init() {
	b.kick = make(chan struct{}, 1)
	b.startedAt = b.Clock.Now()
	b.accounts = map[string]*account{}
	b.transport = connector.NewTransport(nil)
	if b.Client == nil {
		client := &connector.Client{Timeout: callTimeout, Transport: b.transport}
		b.Client = func(address string) wire.Limits { return wire.NewLimitsProtobufClient("http://"+address, client) }
	}
}

// SetCustomers takes the limits in force.
func (b *Enforcer) SetCustomers(customers []*wire.RoutedCustomer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := map[string]*wire.CustomerLimit{}
	b.limited = false
	for _, c := range customers {
		limits[c.GetName()] = c.GetLimit()
		b.limited = b.limited || c.GetLimit() != nil
	}
	if b.limited {
		b.wake()
	}
	for name, p := range b.accounts {
		lower := isLower(limits[name], p.limit)
		p.limit = limits[name]
		if lower {
			p.Reset()
		}
	}
}

// isLower reports whether credit by an earlier limit may be more than the limit allows.
func isLower(limit, earlier *wire.CustomerLimit) bool {
	return limit.GetUnit() != earlier.GetUnit() || limit.GetRatePerSecond() < earlier.GetRatePerSecond() ||
		limit.GetBurst() < earlier.GetBurst()
}

// Admit holds credit for a request of a customer that has a limit, and waits for it if
// needed.
func (b *Enforcer) Admit(ctx context.Context, customer string, limit *wire.CustomerLimit, size uint64) Decision {
	now := b.Clock.Now()
	b.mu.Lock()
	p := b.accounts[customer]
	if p == nil {
		p = &account{limit: limit}
		b.accounts[customer] = p
	}
	p.RecordDemand(now, size)
	w := &waiter{size: size, until: now.Add(longestWait), verdict: make(chan Decision, 1)}
	if len(p.waiters) == 0 {
		if v, decided := p.judge(now, w); decided {
			b.mu.Unlock()
			return v
		}
	}
	p.waiters = append(p.waiters, w)
	b.mu.Unlock()
	b.wake()
	select {
	case v := <-w.verdict:
		return v
	case <-ctx.Done():
		return b.leave(customer, w)
	}
}

// leave takes out a request whose caller has left.
func (b *Enforcer) leave(customer string, w *waiter) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case v := <-w.verdict:
		return v
	default:
	}
	if p := b.accounts[customer]; p != nil {
		p.drop(w)
	}
	return Decision{}
}

func (p *account) drop(gone *waiter) {
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if w != gone {
			kept = append(kept, w)
		}
	}
	clear(p.waiters[len(kept):])
	p.waiters = kept
}

// judge decides on a request, if that can be done now.
func (p *account) judge(now time.Time, w *waiter) (Decision, bool) {
	if p.Hold(now, w.size) {
		return Decision{Admitted: true}, true
	}
	if retryIn := p.RetryIn(now); retryIn > 0 {
		p.RecordRefusal()
		return Decision{OverLimit: true, RetryIn: retryIn}, true
	}
	if now.Before(w.until) {
		return Decision{}, false
	}
	p.RecordRefusal()
	return Decision{}, true
}

// settle decides on the requests that wait, as far as that can be done now.
func (p *account) settle(now time.Time) {
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		v, decided := p.judge(now, w)
		if !decided {
			kept = append(kept, w)
			continue
		}
		w.verdict <- v
	}
	clear(p.waiters[len(kept):])
	p.waiters = kept
}

// Release gives back the credit of a request that was not sent on.
func (b *Enforcer) Release(customer string, size uint64) {
	b.with(customer, func(p *account) { p.Release(size) })
}

// Spend notes that a request is sent on whose credit is held.
func (b *Enforcer) Spend(customer string, size uint64) {
	b.with(customer, func(p *account) { p.Spend(b.Clock.Now(), size) })
}

// Refund notes that a request which was sent on has certainly not run. Its credit is held
// again.
func (b *Enforcer) Refund(customer string, size uint64) {
	b.with(customer, func(p *account) { p.Refund(b.Clock.Now(), size) })
}

// Status returns what decides on the requests of a customer now.
func (b *Enforcer) Status(customer string) quotaallocator.Status {
	standing := quotaallocator.Status{}
	b.with(customer, func(p *account) { standing = p.Status(b.Clock.Now()) })
	return standing
}

func (b *Enforcer) with(customer string, f func(p *account)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.accounts[customer]; p != nil {
		f(p)
	}
}

func (b *Enforcer) wake() {
	select {
	case b.kick <- struct{}{}:
	default:
	}
}

// Run borrows until ctx ends.
func (b *Enforcer) Run(ctx context.Context) {
	defer b.transport.CloseIdleConnections()
	for b.await(ctx) {
		b.round(ctx)
	}
}

// await waits until there may be something to do, and reports false once ctx has ended.
func (b *Enforcer) await(ctx context.Context) bool {
	var due <-chan time.Time
	if wait, ok := b.nextLook(); ok {
		timer := b.Clock.NewTimer(wait)
		defer timer.Stop()
		due = timer.Chan()
	}
	select {
	case <-ctx.Done():
		return false
	case <-b.kick:
	case <-due:
	}
	return true
}

// nextLook returns when to look again, and false if nothing is asked for.
func (b *Enforcer) nextLook() (time.Duration, bool) {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	busy := false
	for _, p := range b.accounts {
		if len(p.waiters) > 0 {
			return lookEvery, true
		}
		busy = busy || !p.Idle(now)
	}
	if b.limited && !busy {
		return termEvery, true
	}
	return max(lookEvery, b.callAt.Sub(now)), busy
}

// newLeader returns the term of a leader that has not been told what was spent, or 0.
func (b *Enforcer) newLeader() uint64 {
	if b.Term == nil || !b.limited {
		return 0
	}
	if term := b.Term(); term != b.told {
		return term
	}
	return 0
}

// round calls the leader if that is due, and decides on the requests that wait.
func (b *Enforcer) round(ctx context.Context) {
	now := b.Clock.Now()
	said := b.report(now)
	if said == nil {
		b.settle(now)
		return
	}
	res, err := b.call(ctx, &wire.BorrowRequest{Borrowers: []*wire.Borrower{said}})
	if err == nil && len(res.GetBorrowers()) != 1 {
		err = errors.Errorf("borrower: %d answers to one gateway", len(res.GetBorrowers()))
	}
	b.hear(now, res, err)
	b.settle(b.Clock.Now())
}

// report returns what the leader is to be told now, or nil.
func (b *Enforcer) report(now time.Time) *wire.Borrower {
	b.mu.Lock()
	defer b.mu.Unlock()
	urgent := false
	for _, p := range b.accounts {
		urgent = urgent || len(p.waiters) > 0
	}
	fresh := b.newLeader()
	if now.Before(b.callAt) && (!urgent && fresh == 0 || b.failing) {
		return nil
	}
	said := &wire.Borrower{
		Gateway: b.Gateway, Address: b.Address, RunningMs: uint32(min(now.Sub(b.startedAt), time.Hour).Milliseconds()),
	}
	for name, p := range b.accounts {
		if len(p.waiters) == 0 && p.Idle(now) {
			continue
		}
		needed := uint64(0)
		for _, w := range p.waiters {
			needed += w.size
		}
		said.Accounts = append(said.Accounts, p.Report(now, name, needed))
	}
	if len(said.Accounts) == 0 && fresh == 0 {
		return nil
	}
	b.telling = fresh
	return said
}

// hear takes the end of a call that was made at a time.
func (b *Enforcer) hear(asked time.Time, res *wire.BorrowResponse, err error) {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		if !b.failing {
			b.Log.Info("no credit can be borrowed", "Upstream", b.Upstream(), "Error", err.Error())
		}
		b.failing, b.callAt = true, now.Add(pauseAfterFailure)
		return
	}
	if b.failing {
		b.Log.Info("credit can be borrowed again", "Upstream", b.Upstream())
	}
	if b.telling != 0 {
		b.told = b.telling
	}
	b.failing, b.callAt = false, now.Add(firstCall)
	if again := time.Duration(res.GetAgainInMs()) * time.Millisecond; again > 0 {
		b.callAt = now.Add(again)
	}
	for _, credit := range res.GetBorrowers()[0].GetCredits() {
		if p := b.accounts[credit.GetCustomer()]; p != nil {
			p.Receive(now, asked, credit)
		}
	}
	if b.Meter != nil {
		b.Meter.RecordDuration("borrow", now.Sub(asked))
	}
}

func (b *Enforcer) settle(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.accounts {
		p.settle(now)
	}
}

var errNoLeader = twirp.NewError(twirp.Unavailable, "no leader is known")

func (b *Enforcer) call(ctx context.Context, req *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	address := b.Upstream()
	if address == "" {
		return nil, errNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.Client(address).Borrow(ctx, req)
}

// Borrow passes the call of a gateway on that follows this one.
func (b *Enforcer) Borrow(ctx context.Context, req *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	return b.call(ctx, req)
}

// errNotHere is what a gateway says of calls that only controllers serve.
var errNotHere = twirp.NewError(twirp.Unavailable, "this is a gateway")

// ListLimits is not for gateways.
func (b *Enforcer) ListLimits(context.Context, *wire.ListLimitsRequest) (*wire.ListLimitsResponse, error) {
	return nil, errNotHere
}
