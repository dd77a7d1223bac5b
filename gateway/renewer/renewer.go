// Package renewer renews a gateway's session with the controllers' leader. Each renewal sends
// what changed at the gateway and returns what changed at the leader.
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
	// Delay before the next controller is tried after a failure.
	retryDelay = 50 * time.Millisecond
	// Requested renewals keep this distance, which grows with each further request until an
	// interval passes without one.
	minRenewalGap = 3 * time.Millisecond
	maxRenewalGap = 50 * time.Millisecond
)

// Renewer renews the session. Set the exported fields, then call Run.
type Renewer struct {
	Clock     clockwork.Clock
	Log       *slog.Logger
	Scheduler *scheduler.Scheduler
	// Isolator quarantines the requests that crash backend servers.
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

	requested chan struct{}
	gap       time.Duration
	// lastContactAt is when the leader last answered, in ns of Unix time.
	lastContactAt atomic.Int64
	// lastReport is the number of the last report that the leader of a term has received.
	lastReport uint64
	term       uint64
	// incarnations are the known incarnations of backend servers, by name.
	incarnations map[string]string
}

// Init prepares the renewer for RequestRenewal.
func (r *Renewer) Init() { r.requested = make(chan struct{}, 1) }

// RequestRenewal requests a renewal soon.
func (r *Renewer) RequestRenewal() {
	select {
	case r.requested <- struct{}{}:
	default:
	}
}

// Run opens sessions and renews them until Leave is closed or ctx ends.
func (r *Renewer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		id, ok := r.openSession(ctx)
		if !ok {
			return
		}
		if left := r.renewUntilEnd(ctx, id); left {
			return
		}
	}
}

// openSession requests a session until it gets one.
func (r *Renewer) openSession(ctx context.Context) (uint64, bool) {
	req := &wire.OpenRequest{Instance: r.Instance, Zone: r.Zone, Nonce: rand.Text(), Address: r.Address}
	for {
		address := r.Controllers.Current()
		res, err := r.controlClient(address).Open(ctx, req)
		if err == nil {
			r.Scheduler.BeginSession(res.GetSession(), time.Duration(res.GetLeaseNs()))
			r.Log.Info("opened a session", "Session", res.GetSession())
			return res.GetSession(), true
		}
		r.Log.Debug("could not open a session", "Controller", address, "Error", err.Error())
		r.Controllers.MarkFailed(address)
		if !r.sleep(ctx, retryDelay) {
			return 0, false
		}
	}
}

// renewUntilEnd renews a session until it has ended. It returns true after a graceful end.
func (r *Renewer) renewUntilEnd(ctx context.Context, id uint64) bool {
	full := true
	for {
		sent := r.Clock.Now()
		req := r.Scheduler.BuildRenewal(full)
		reported := r.addReports(req)
		address := r.Controllers.Current()
		res, err := r.controlClient(address).Renew(ctx, req)
		switch {
		case err != nil:
			// The leader may have applied the renewal nonetheless, so the next one lists all
			// that is held.
			full = true
			r.Controllers.MarkFailed(address)
			r.Log.Debug("renewal failed", "Controller", address, "Error", err.Error())
			if !r.sleep(ctx, retryDelay) {
				return true
			}
			continue
		case res.GetEnded():
			r.Log.Warn("the session has ended", "Session", id)
			r.Scheduler.EndSession()
			return false
		}
		r.applyResponse(res, reported)
		r.Scheduler.ApplyRenewal(sent, res)
		full = res.GetNeedFull()
		if full {
			continue
		}
		if left, done := r.waitForNext(ctx, id); done {
			return left
		}
	}
}

// waitForNext waits for the next renewal. Done is set when there is none.
func (r *Renewer) waitForNext(ctx context.Context, id uint64) (left, done bool) {
	timer := r.Clock.NewTimer(r.Interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return true, true
	case <-r.Leave:
		r.closeSession(ctx, id)
		return true, true
	case <-timer.Chan():
		r.gap = minRenewalGap
	case <-r.requested:
		r.gap = min(max(r.gap, minRenewalGap)*3/2, maxRenewalGap)
		return false, !r.sleep(ctx, r.gap)
	}
	return false, false
}

// closeSession closes the session at the controllers.
func (r *Renewer) closeSession(ctx context.Context, id uint64) {
	pause := func(int) bool { return r.sleep(ctx, retryDelay) }
	err := r.Controllers.Try(ctx, pause, func(address string) error {
		_, err := r.controlClient(address).Close(ctx, &wire.CloseRequest{Session: id})
		return err
	})
	if err != nil {
		r.Log.Warn("could not close the session", "Error", err.Error())
	}
}

func (r *Renewer) controlClient(address string) wire.Control {
	return wire.NewControlProtobufClient("http://"+address, r.Client)
}

func (r *Renewer) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.Clock.After(d):
		return true
	}
}
