package dispatcher

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/pkg/translator"
)

// silenceTimer cancels a call when nothing has arrived for a while.
type silenceTimer struct {
	timer   clockwork.Timer
	cancel  context.CancelFunc
	timeout time.Duration
}

// newSilenceTimer returns a context that ends when the call goes silent.
func newSilenceTimer(ctx context.Context, d *Dispatcher) (context.Context, *silenceTimer) {
	timedCtx, cancel := context.WithCancel(ctx)
	return timedCtx, &silenceTimer{
		timer: d.Clock.AfterFunc(d.SilenceTimeout, cancel), cancel: cancel, timeout: d.SilenceTimeout,
	}
}

func (w *silenceTimer) reset() { w.timer.Reset(w.timeout) }

func (w *silenceTimer) stop() {
	w.timer.Stop()
	w.cancel()
}

// timedBody resets the timer for each piece that arrives.
type timedBody struct {
	reader io.Reader
	timer  *silenceTimer
}

func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if n > 0 {
		b.timer.reset()
	}
	return n, err
}

// isDialError reports whether a call failed before there was a connection.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// clockDriftDivisor is the divisor for the part of an engine's memory that does not count, as clocks may drift apart.
const clockDriftDivisor = 10

// parseCancellation returns what the answer to a cancel proves of a request that was sent at most the given time ago: that
// it never ran and never will only if the answer names the request and the incarnation to which the request went, and that
// incarnation remembers all requests of that time.
func (x *Exchange) parseCancellation(body []byte, age time.Duration) Ran {
	c := &translator.Cancellation{}
	if err := json.Unmarshal(body, c); err != nil || c.Ran != translator.RanNo {
		return RanUnknown
	}
	if c.RequestID != x.RequestID || c.Incarnation != x.Incarnation || x.Incarnation == "" {
		return RanUnknown
	}
	known := time.Duration(c.KnownForMs) * time.Millisecond
	if !c.RemembersAll && known-known/clockDriftDivisor <= age {
		return RanUnknown
	}
	return RanNo
}
