package forwarder

import (
	"maps"
	"slices"
	"time"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/retrylimiter"
)

// RetryBudget limits how many requests may be retried.
type RetryBudget struct {
	Window time.Duration
	Ratio  float64
	// Slack is the number of retries in a window, over all gateways, in addition to the ratio.
	Slack float64
}

const (
	// budgetMargin is the part of the budget that is used: gateways count by their own clocks, and
	// the others do not know of an added gateway at once.
	budgetMargin = 0.9
	// assumedGatewayCount is assumed before a leader has reported the number of gateways for
	// gatewayCountDelay. It is high, since all gateways share the budget.
	assumedGatewayCount = 100
	// gatewayCountDelay is how long a new leader may take to hear of all gateways.
	gatewayCountDelay = 3 * time.Second
)

// serviceRetries are the retries to one service.
type serviceRetries struct {
	limiter retrylimiter.Limiter
	// allowed, denied and sent are the numbers of retries since the last log line, and longestDelay
	// is the longest time from the decision on one until it was sent.
	allowed, denied, sent int
	longestDelay          time.Duration
}

// retries returns the retries to a service. The caller holds the lock.
func (f *Forwarder) retries(service string) *serviceRetries {
	r := f.serviceRetries[service]
	if r == nil {
		r = &serviceRetries{
			limiter: retrylimiter.Limiter{Window: f.Budget.Window, Ratio: f.budgetMargin() * f.Budget.Ratio, Since: f.retriesSince},
		}
		f.serviceRetries[service] = r
	}
	return r
}

// recordTick records that the gateway runs.
func (f *Forwarder) recordTick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stalls.Tick(f.Clock.Now())
}

// mayRetry reports whether the budget allows a retry of a request, and counts the decision.
func (f *Forwarder) mayRetry(j *job) bool {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.retries(j.service)
	if !r.limiter.AllowRetry(now, f.slackShare()) {
		r.denied++
		f.Meter.Increment("retries", "decision", "Denied")
		f.countRequestOutcome(j, retryDenied)
		return false
	}
	r.allowed++
	f.Meter.Increment("retries", "decision", "Allowed")
	j.retryAllowedAt = now
	return true
}

// recordRetrySent counts a retry that is about to be sent. The caller holds the lock.
func (f *Forwarder) recordRetrySent(now time.Time, j *job) {
	if j.retryAllowedAt.IsZero() {
		return
	}
	delay := now.Sub(j.retryAllowedAt)
	j.retryAllowedAt = time.Time{}
	r := f.retries(j.service)
	r.limiter.RecordSent(now)
	r.sent++
	r.longestDelay = max(r.longestDelay, delay)
	f.Meter.RecordDuration("retry_delay", delay)
}

// withdrawRetry returns a retry to the budget that was allowed and not sent.
func (f *Forwarder) withdrawRetry(j *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !j.retryAllowedAt.IsZero() {
		j.retryAllowedAt = time.Time{}
		f.retries(j.service).limiter.Withdraw()
	}
}

// slackShare returns this gateway's share of the slack. The caller holds the lock.
func (f *Forwarder) slackShare() float64 {
	gateways := f.gatewayCount
	if gateways == 0 || f.Clock.Since(f.gatewaysKnownAt) < gatewayCountDelay {
		gateways = max(gateways, assumedGatewayCount)
	}
	return f.budgetMargin() * f.Budget.Slack / float64(gateways)
}

func (f *Forwarder) budgetMargin() float64 {
	if f.Disabled.Has(ablator.BudgetMargin) {
		return 1
	}
	return budgetMargin
}

// logRetries logs, for each service with a decision on a retry since the last log line, what these
// decisions rest on.
func (f *Forwarder) logRetries() {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(f.serviceRetries)) {
		r := f.serviceRetries[service]
		if r.allowed+r.denied+r.sent == 0 {
			continue
		}
		requests, retries := r.limiter.Usage(now)
		f.Log.Info("retries", "Service", service, "Allowed", r.allowed, "Denied", r.denied, "Sent", r.sent,
			"LongestDelay", r.longestDelay.Milliseconds(), "WindowRequests", requests, "WindowRetries", retries,
			"SlackShare", f.slackShare(), "Gateways", f.gatewayCount, "CountedFor", now.Sub(f.retriesSince).Milliseconds())
		r.allowed, r.denied, r.sent, r.longestDelay = 0, 0, 0, 0
	}
}
