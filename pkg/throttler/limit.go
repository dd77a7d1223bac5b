// Package throttler enforces the request limits that backend servers announce, over all
// gateways together. It has no side effects: responses, updates, grant requests and the time go
// in, limits and grants come out.
//
// A Registry knows which limits are in force. An Allocator grants requests under one limit, at
// the gateway that owns it or at its deputy. Sends counts what one gateway has sent.
package throttler

import "time"

// RequestRate is a number of requests per second.
type RequestRate float64

// Limit is the request limit of a backend server. The zero value is no limit; at a rate of 0 it
// accepts no requests.
type Limit struct {
	Named bool
	Rate  RequestRate
}

// LimitOf returns a limit with a rate.
func LimitOf(rate RequestRate) Limit { return Limit{Named: true, Rate: rate} }

const (
	// Window is the time over which backend servers enforce their limits. In any window they
	// accept 1.5 times what the limit allows, and 5 requests beyond that.
	Window = 4 * time.Second
	// probeRate is the minimum rate at which all gateways together send requests: without a
	// response no gateway learns that a limit has ended.
	probeRate RequestRate = 0.5
	// After a limit has ended, the rate doubles every rampDoubling for rampDuration.
	rampDuration = 3 * time.Second
	rampDoubling = 500 * time.Millisecond
	// minRampRate is the minimum rate at which the ramp starts.
	minRampRate RequestRate = 1
	// endedLimitTTL is how long an ended limit is remembered, so that late updates of it change
	// nothing.
	endedLimitTTL = 10 * time.Second
	// rateTolerance is the relative difference of two rates up to which a change is not
	// reported.
	rateTolerance = 0.05
)
