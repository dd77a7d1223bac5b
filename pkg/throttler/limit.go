// Package throttler keeps the request limits that backend servers announce, over all gateways
// together. It is pure: answers, news, asks and the time go in, limits and grants come out.
//
// A Book knows which limits are in force. An Allocator grants requests under one limit, at the
// gateway that owns it or at its deputy. Sends counts what one gateway has sent.
package throttler

import "time"

// RequestRate is a number of requests per second.
type RequestRate float64

// Limit is the request limit of a backend server. The zero value is none; a limit of 0 takes
// no requests.
type Limit struct {
	Named bool
	Rate  RequestRate
}

// LimitOf returns a limit of some requests per second.
func LimitOf(rate RequestRate) Limit { return Limit{Named: true, Rate: rate} }

const (
	// Window is the time over which backend servers judge their limits. In any window they
	// accept 1.5 times what the limit allows, and 5 requests beyond that.
	Window = 4 * time.Second
	// probeRate is the least rate at which requests are sent, all gateways together: without
	// an answer nobody learns that a limit has ended.
	probeRate RequestRate = 0.5
	// After a limit has ended, the rate doubles every rampDoubling for a time of rampFor.
	rampFor      = 3 * time.Second
	rampDoubling = 500 * time.Millisecond
	// rampFrom is the least rate that the ramp begins with.
	rampFrom RequestRate = 1
	// keepEnded is how long an ended limit is remembered, so that late news of it changes
	// nothing.
	keepEnded = 10 * time.Second
	// sameRate is the relative difference of two rates below which nobody is told.
	sameRate = 0.05
)
