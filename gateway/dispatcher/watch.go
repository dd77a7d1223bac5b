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

// watch ends a call when nothing has arrived for a while.
type watch struct {
	timer   clockwork.Timer
	cancel  context.CancelFunc
	silence time.Duration
}

// watchSilence returns a context that ends when the call goes silent.
func watchSilence(ctx context.Context, d *Dispatcher) (context.Context, *watch) {
	watched, cancel := context.WithCancel(ctx)
	return watched, &watch{
		timer: d.Clock.AfterFunc(d.SilenceTimeout, cancel), cancel: cancel, silence: d.SilenceTimeout,
	}
}

func (w *watch) heard() { w.timer.Reset(w.silence) }

func (w *watch) stop() {
	w.timer.Stop()
	w.cancel()
}

// watchedBody tells the watch of each piece that arrives.
type watchedBody struct {
	reader io.Reader
	watch  *watch
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if n > 0 {
		b.watch.heard()
	}
	return n, err
}

// isDial reports whether a call failed before there was a connection.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// parseCancellation returns what a start of an engine says of a request that went to another
// one, or to itself.
func parseCancellation(body []byte, sentTo string) Ran {
	c := &translator.Cancellation{}
	if err := json.Unmarshal(body, c); err == nil && c.Ran == translator.RanNo && c.Incarnation == sentTo {
		return RanNo
	}
	return RanUnknown
}
