package forwarder

import (
	"context"
	"net"
	"strings"
	"time"

	"bronzelead.example/gateway/doorkeeper"
	"bronzelead.example/gateway/isolator"
	"bronzelead.example/gateway/sender"
	"bronzelead.example/pkg/wire"
)

// reasonHeld is what a caller hears whose request ends the backend servers that run it.
const reasonHeld = "backend servers end when they run this request; it is held back"

// maxPlace bounds the part of a path that is told to operators.
const maxPlace = 200

// prints returns the fingerprints of the request. They are worked out at most once, and
// only if they are asked for.
func (j *job) prints() []string {
	if j.fingerprints == nil {
		asked := isolator.Request{
			Method: j.req.Head.Method, Host: j.req.Head.Header.Get("Host"), Target: j.req.Head.Target,
			Body: j.req.Body, Caller: callerOf(j.req),
		}
		j.fingerprints = asked.Fingerprints()
	}
	return j.fingerprints
}

// callerOf returns a caller's address without the port, which differs for each connection.
func callerOf(req *doorkeeper.Request) string {
	caller, _, err := net.SplitHostPort(req.Caller)
	if err != nil {
		return req.Caller
	}
	return caller
}

// place is where a request is asked for, without what its query says.
func (j *job) place() string {
	path, _, _ := strings.Cut(j.req.Head.Target, "?")
	place := j.req.Head.Method + " " + j.req.Head.Header.Get("Host") + path
	return place[:min(len(place), maxPlace)]
}

// isolated refuses a request that ends backend servers, and reports whether it did.
func (f *Forwarder) isolated(j *job) bool {
	if j.trial != "" {
		return false
	}
	verdict := f.Isolator.Check(j.prints)
	j.trial = verdict.Trial
	if !verdict.Quarantined {
		return false
	}
	f.Meter.Increment("requests_held_back", "service", j.service)
	f.giveUp(j, reasonHeld, verdict.Remaining)
	return true
}

// endTrial ends the trial of a request, if it was one.
func (f *Forwarder) endTrial(j *job) {
	if j.trial != "" {
		f.Isolator.EndTrial(j.trial, j.sends > 0 && !j.completed)
	}
}

// lostRun tells of a run that ended without a whole answer.
func (f *Forwarder) lostRun(j *job, backend *wire.Announcement) {
	f.Isolator.RecordLoss(j.prints, &wire.RunReport{
		Service: j.service, Model: j.about.Model, Place: j.place(), Caller: callerOf(j.req),
		Backend: backend.GetId(), Begun: j.begunAt == j.sends && j.sends > 0, RanMs: uint32(f.Clock.Since(j.sentAt).Milliseconds()),
	}, backend.GetAddress())
}

// completedRun tells of a run that was answered whole.
func (f *Forwarder) completedRun(j *job, backend *wire.Announcement) {
	j.completed = true
	f.Isolator.RecordCompletion(j.prints, backend.GetId())
}

// mayEndMore reports whether a request is better not sent again by the gateway itself: more
// than one backend server has ended under it. Its caller may, and is served if it was not
// the cause.
func (f *Forwarder) mayEndMore(j *job) bool {
	return j.trial != "" || f.Isolator.Suspected(j.prints)
}

// probeTimeout bounds the question whether anything listens at an address.
const probeTimeout = time.Second

// processEnded reports whether nothing listens any more at the address of a start.
func (f *Forwarder) processEnded(ctx context.Context, backend, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return sender.IsRefused(f.Sender.Probe(ctx, backend, address))
}

// initIsolator prepares the isolator, and makes one if there is none.
func (f *Forwarder) initIsolator() {
	if f.Isolator == nil {
		f.Isolator = &isolator.Isolator{Clock: f.Clock, Log: f.Log}
	}
	f.Isolator.ConnectionRefused = f.processEnded
	f.Isolator.Init()
}
