package forwarder

import (
	"context"
	"net/http"
	"time"

	"bronzelead.example/pkg/wire"
)

const (
	statusTooMany = http.StatusTooManyRequests
	// retryWithoutLeader is the retry time at a gateway that can't tell whether a customer
	// has room: about the time of a change of leaders.
	retryWithoutLeader = time.Second
)

const (
	reasonOverLimit    = "the customer is beyond its limit"
	reasonLimitUnknown = "nobody can tell whether the customer has room, since no leader is heard"
)

// charge is what a request counts as in its customer's limit.
type charge struct {
	customer string
	size     uint64
	// held is set while its credit is held, and spent once it was sent on with it.
	held  bool
	spent bool
}

// sizeOf returns what a request counts as.
func sizeOf(j *job, limit *wire.CustomerLimit) uint64 {
	switch {
	case limit.GetUnit() != wire.LimitUnit_LIMIT_UNIT_TOKENS:
		return 1
	case !j.about.Sized:
		return uint64(limit.GetPlainTokens())
	}
	return uint64(j.about.PromptTokens) + uint64(j.about.OutputTokens)
}

// within holds credit for the next try of a request, if its customer has a limit. It
// refuses the request and reports false if there is none.
func (f *Forwarder) within(ctx context.Context, j *job) bool {
	limit := j.customer.GetLimit()
	if f.Borrower == nil || limit == nil || j.charge.held {
		return true
	}
	j.charge = charge{customer: j.customer.GetName(), size: sizeOf(j, limit)}
	verdict := f.Borrower.Admit(ctx, j.charge.customer, limit, j.charge.size)
	if verdict.Admitted {
		j.charge.held = true
		return true
	}
	f.Meter.Increment("requests_beyond_limits", "customer", j.charge.customer)
	switch {
	case ctx.Err() != nil:
		f.expired(ctx, j)
	case !verdict.OverLimit:
		f.giveUp(j, reasonLimitUnknown, retryWithoutLeader)
	case j.runs > 0 || j.reply.Begun():
		f.giveUp(j, reasonOverLimit, 0)
	default:
		f.refuse(j, statusTooMany, reasonOverLimit, verdict.RetryIn)
	}
	return false
}

// spend notes that a request is sent on.
func (f *Forwarder) spend(j *job) {
	if j.charge.held {
		f.Borrower.Spend(j.charge.customer, j.charge.size)
		j.charge.held, j.charge.spent = false, true
	}
}

// refund notes that a request which was sent on has certainly not run.
func (f *Forwarder) refund(j *job) {
	if j.charge.spent {
		f.Borrower.Refund(j.charge.customer, j.charge.size)
		j.charge.held, j.charge.spent = true, false
	}
}

// releaseCharge gives back the credit of a request that was not sent on in the end.
func (f *Forwarder) releaseCharge(j *job) {
	if j.charge.held {
		f.Borrower.Release(j.charge.customer, j.charge.size)
		j.charge.held = false
	}
}
