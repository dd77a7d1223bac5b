package forwarder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/pkg/wire"
)

// An unresponsive owner must not hold a request beyond the time in which another backend server
// could still answer it on time.
func TestSlotWaitIsBoundedByObjective(t *testing.T) {
	received := time.Unix(1e9, 0)
	for name, test := range map[string]struct {
		firstSent, sendBy, now, want int
	}{
		"a first attempt":              {0, 640, 10, 140},
		"a retry that can be on time":  {-100, 640, 10, 40},
		"a retry that can't":           {-300, 640, 10, 630},
		"one that is to be sent first": {0, 100, 10, 90},
		"one past its deadline":        {-300, 640, 650, 0},
	} {
		t.Run(name, func(t *testing.T) {
			at := func(ms int) time.Time { return received.Add(time.Duration(ms) * time.Millisecond) }
			j := &job{
				req: &acceptor.Request{ReceivedAt: received}, route: &wire.Route{ObjectiveMs: 150},
				firstSentAt: at(test.firstSent), sendBy: at(test.sendBy),
			}
			qt.New(t).Check(j.slotWait(at(test.now)), qt.Equals, at(test.want).Sub(received))
		})
	}
}
