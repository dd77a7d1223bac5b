// Package renewer keeps a gateway's session with the controllers' leader alive. Each
// renewal carries what changed at the gateway and brings back what changed at the
// leader.
package renewer

import (
	"context"
	"crypto/rand"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/isolator"
	"bronzelead.example/gateway/scheduler"
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/wire"
)

const (
	// After a failure the next controller is tried this much later.
	retryAfter = 50 * time.Millisecond
	// Renewals that were asked for keep this distance, growing while nothing comes
	// of them.
	minGap = 3 * time.Millisecond
	maxGap = 50 * time.Millisecond
)

// Renewer renews the session. Set the exported fields, then call Run.
type Renewer struct {
	Clock     clockwork.Clock
	Log       *slog.Logger
	Scheduler *scheduler.Scheduler
	// Isolator knows the requests that end backend servers.
	Isolator    *isolator.Isolator
	Controllers *connector.Controllers
	Client      *connector.Client
	Instance    string
	Zone        string
	// Address is where operators reach this gateway.
	Address string
	// Interval is the time between renewals when nothing happens.
	Interval time.Duration
	// Leave ends the session gracefully when closed.
	Leave <-chan struct{}

	wake chan struct{}
	gap  time.Duration
	// heard is when the leader answered last, in ns of Unix time.
	heard atomic.Int64
	// reported is the number of the last report that the leader of a term has.
	reported uint64
	term     uint64
	// starts are the incarnations of backend servers that are known, by name.
	starts map[string]string
}

// Init prepares the renewer for Wake.
func (r *Renewer) Init() { r.wake = make(chan struct{}, 1) }

// RequestRenewal asks for a renewal soon.
func (r *Renewer) RequestRenewal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run opens sessions and renews them until Leave is closed or ctx ends.
func (r *Renewer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		id, ok := r.open(ctx)
		if !ok {
			return
		}
		if left := r.keep(ctx, id); left {
			return
		}
	}
}

// open asks for a session until it gets one.
func (r *Renewer) open(ctx context.Context) (uint64, bool) {
	req := &wire.OpenRequest{Instance: r.Instance, Zone: r.Zone, Nonce: rand.Text(), Address: r.Address}
	for {
		address := r.Controllers.Current()
		res, err := r.control(address).Open(ctx, req)
		if err == nil {
			r.Scheduler.BeginSession(res.GetSession(), time.Duration(res.GetLeaseNs()))
			r.Log.Info("a session is open", "Session", res.GetSession())
			return res.GetSession(), true
		}
		r.Log.Debug("no session could be opened", "Controller", address, "Error", err.Error())
		r.Controllers.MarkFailed(address)
		if !r.pause(ctx, retryAfter) {
			return 0, false
		}
	}
}

// keep renews a session until it has ended. It returns true after a graceful end.
func (r *Renewer) keep(ctx context.Context, id uint64) bool {
	full := true
	for {
		sent := r.Clock.Now()
		req := r.Scheduler.BuildRenewal(full)
		reported := r.report(req)
		address := r.Controllers.Current()
		res, err := r.control(address).Renew(ctx, req)
		switch {
		case err != nil:
			// The leader may have taken the renewal in all the same, so the next one
			// lists all that is held.
			full = true
			r.Controllers.MarkFailed(address)
			r.Log.Debug("a renewal failed", "Controller", address, "Error", err.Error())
			if !r.pause(ctx, retryAfter) {
				return true
			}
			continue
		case res.GetEnded():
			r.Log.Warn("the session has ended", "Session", id)
			r.Scheduler.EndSession()
			return false
		}
		r.noteAnswer(res, reported)
		r.Scheduler.ApplyRenewal(sent, res)
		full = res.GetNeedFull()
		if full {
			continue
		}
		if left, done := r.rest(ctx, id); done {
			return left
		}
	}
}

// rest waits for the next renewal. Done is set when there is none.
func (r *Renewer) rest(ctx context.Context, id uint64) (left, done bool) {
	timer := r.Clock.NewTimer(r.Interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return true, true
	case <-r.Leave:
		r.close(ctx, id)
		return true, true
	case <-timer.Chan():
		r.gap = minGap
	case <-r.wake:
		r.gap = min(max(r.gap, minGap)*3/2, maxGap)
		return false, !r.pause(ctx, r.gap)
	}
	return false, false
}

// close hands the session back.
func (r *Renewer) close(ctx context.Context, id uint64) {
	pause := func(int) bool { return r.pause(ctx, retryAfter) }
	err := r.Controllers.Try(ctx, pause, func(address string) error {
		_, err := r.control(address).Close(ctx, &wire.CloseRequest{Session: id})
		return err
	})
	if err != nil {
		r.Log.Warn("the session was not handed back", "Error", err.Error())
	}
}

func (r *Renewer) control(address string) wire.Control {
	return wire.NewControlProtobufClient("http://"+address, r.Client)
}

func (r *Renewer) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.Clock.After(d):
		return true
	}
}
