package forwarder

import (
	"context"
	"net/http"
	"time"

	"bronzelead.example/pkg/wire"
)

const (
	statusTooMany = http.StatusTooManyRequests
	// retryWithoutLeader is the retry time at a gateway that can't decide whether a customer
	// has quota left: about the time of a leader change.
	retryWithoutLeader = time.Second
)

const (
	reasonOverLimit    = "the customer is beyond its limit"
	reasonLimitUnknown = "nobody can tell whether the customer has room, since no leader is heard"
)

// charge is what a request counts towards its customer's limit.
type charge struct {
	customer string
	size     uint64
	// reserved is set while its quota is reserved, and spent once it was sent.
	reserved bool
	spent    bool
}

// sizeOf returns what a request counts towards a limit.
func sizeOf(j *job, limit *wire.CustomerLimit) uint64 {
	switch {
	case limit.GetUnit() != wire.LimitUnit_LIMIT_UNIT_TOKENS:
		return 1
	case !j.meta.HasSize:
		return uint64(limit.GetPlainTokens())
	}
	return uint64(j.meta.PromptTokens) + uint64(j.meta.OutputTokens)
}

// reserveQuota reserves quota for the next attempt of a request, if its customer has a limit.
// It refuses the request and reports false if there is none.
func (f *Forwarder) reserveQuota(ctx context.Context, j *job) bool {
	limit := j.customer.GetLimit()
	if f.QuotaEnforcer == nil || limit == nil || j.charge.reserved {
		return true
	}
	j.charge = charge{customer: j.customer.GetName(), size: sizeOf(j, limit)}
	decision := f.QuotaEnforcer.Admit(ctx, j.charge.customer, limit, j.charge.size)
	if decision.Admitted {
		j.charge.reserved = true
		return true
	}
	f.Meter.Increment("requests_beyond_limits", "customer", j.charge.customer)
	switch {
	case ctx.Err() != nil:
		f.handleExpiry(ctx, j)
	case !decision.OverLimit:
		f.refuseOrFail(j, reasonLimitUnknown, retryWithoutLeader)
	case j.runs > 0 || j.reply.Begun():
		f.refuseOrFail(j, reasonOverLimit, 0)
	default:
		f.refuse(j, statusTooMany, reasonOverLimit, decision.RetryIn)
	}
	return false
}

// spendQuota records that a request is sent.
func (f *Forwarder) spendQuota(j *job) {
	if j.charge.reserved {
		f.QuotaEnforcer.Spend(j.charge.customer, j.charge.size)
		j.charge.reserved, j.charge.spent = false, true
	}
}

// refundQuota records that a request which was sent has certainly not run.
func (f *Forwarder) refundQuota(j *job) {
	if j.charge.spent {
		f.QuotaEnforcer.Refund(j.charge.customer, j.charge.size)
		j.charge.reserved, j.charge.spent = true, false
	}
}

// releaseQuota releases the quota of a request that was not sent in the end.
func (f *Forwarder) releaseQuota(j *job) {
	if j.charge.reserved {
		f.QuotaEnforcer.Release(j.charge.customer, j.charge.size)
		j.charge.reserved = false
	}
}
