package quotaenforcer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"bronzelead.example/pkg/wire"
)

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
