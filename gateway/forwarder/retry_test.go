package forwarder

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/wire"
)

// One line a second and service says what the decisions on retries rested on.
func TestRetriesAreLogged(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	clock := clockwork.NewFakeClock()
	f := &Forwarder{
		Clock: clock, Log: slog.New(slog.NewTextHandler(&out, nil)), Meter: meter.New("gateway", "test", "z"),
		Budget: RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Slack: 10},
	}
	f.Init()
	f.Apply("controller", &wire.SyncResponse{Leads: true, Gateways: 9})
	f.countRequest(&job{service: "s"})
	j := &job{service: "s"}
	c.Assert(f.mayRetry(j), qt.IsTrue)
	c.Assert(f.mayRetry(&job{service: "s"}), qt.IsFalse)
	clock.Advance(30 * time.Millisecond)
	c.Assert(f.permitSend(j, "b"), qt.IsTrue)
	f.logRetries()
	c.Check(out.String(), qt.Contains, "msg=retries Service=s Allowed=1 Denied=1 Sent=1 LongestDelay=30 WindowRequests=1 WindowRetries=1 "+
		"SlackShare=1 Gateways=9 CountedFor=30")
	out.Reset()
	f.logRetries()
	c.Check(out.String(), qt.Equals, "")
}
