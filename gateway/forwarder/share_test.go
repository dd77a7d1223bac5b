package forwarder

import (
	"bytes"
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/regulator"
	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/wire"
)

// Requests name their customer to owners and in the queue, unless shares are switched off.
func TestSharingCustomer(t *testing.T) {
	for name, test := range map[string]struct {
		off      []ablator.Mechanism
		customer *wire.RoutedCustomer
		want     string
	}{
		"a customer":  {nil, &wire.RoutedCustomer{Name: "a"}, "a"},
		"no customer": {nil, nil, ""},
		"off":         {[]ablator.Mechanism{ablator.FairShares}, &wire.RoutedCustomer{Name: "a"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f, j := newAblatedForwarder(test.off...)
			j.customer = test.customer
			qt.New(t).Check(f.sharingCustomer(j), qt.Equals, test.want)
		})
	}
}

// fillShare lets a customer use most of the only backend server, and returns the forwarder with
// the log that it writes.
func fillShare(c *qt.C) (*Forwarder, *job, *bytes.Buffer) {
	f, j := newAblatedForwarder()
	log := &bytes.Buffer{}
	f.Log, f.Meter = slog.New(slog.NewTextHandler(log, nil)), meter.New("gateway", "g", "z")
	j.adapter, j.customer = "", &wire.RoutedCustomer{Name: "above"}
	now := f.Clock.Now()
	f.balancer.UpdateBackend(now, &wire.Announcement{Id: "b", Service: "s", Address: "b", Slots: 40, Sequence: 1})
	for i := range 37 {
		w := &balancer.Waiter{Service: "s", Customer: "above", Deadline: now.Add(1)}
		if i < 2 {
			w.Customer = "within"
		}
		f.balancer.Enqueue(w)
		decisions, _ := f.balancer.Next(now)
		c.Assert(decisions, qt.HasLen, 1)
	}
	return f, j, log
}

// Refusals of customers above their share are logged with their names, once each.
func TestRefusalsAboveTheShareAreLogged(t *testing.T) {
	c := qt.New(t)
	f, _, log := fillShare(c)
	w := &balancer.Waiter{Service: "s", Customer: "above", Deadline: f.Clock.Now()}
	f.balancer.Enqueue(w)
	f.waiting[w] = make(chan balancer.Decision, 1)
	f.deliverDecisions()
	f.logAboveShare()
	c.Check(log.String(), qt.Contains, `msg="customers above their share of a service were refused" Service=s Refused=1`)
	c.Check(log.String(), qt.Contains, "above")
	log.Reset()
	f.logAboveShare()
	c.Check(log.String(), qt.Equals, "")
}

// Attempts that no backend server ran must not count as usage: a request is sent to several
// backend servers when these are full.
func TestUnsentAttemptsAreNotUsage(t *testing.T) {
	for name, end := range map[string]func(f *Forwarder, j *job){
		"full":     func(f *Forwarder, j *job) { f.recordOutcome(j, "b", balancer.Full) },
		"not sent": func(f *Forwarder, j *job) { f.recordUnsent(j, "b") },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f, j, _ := fillShare(c)
			c.Assert(f.balancer.TakeAboveShare(f.Clock.Now()), qt.HasLen, 1)
			for range 36 {
				end(f, j)
			}
			c.Check(f.balancer.TakeAboveShare(f.Clock.Now()), qt.HasLen, 0)
		})
	}
}

// admitRecorder is an owner that records the customers of the requests that it grants.
type admitRecorder struct{ customers chan string }

func (r admitRecorder) Admit(_ context.Context, req *wire.AdmitRequest) (*wire.AdmitResponse, error) {
	r.customers <- req.GetCustomer()
	return &wire.AdmitResponse{Granted: true}, nil
}

func (admitRecorder) End(context.Context, *wire.EndRequest) (*wire.EndResponse, error) {
	return &wire.EndResponse{}, nil
}

// A request for a slot must name its customer to the owner, which would otherwise count it towards
// the share of requests without a customer.
func TestSlotRequestsNameTheCustomer(t *testing.T) {
	c := qt.New(t)
	owner := admitRecorder{customers: make(chan string, 1)}
	server := httptest.NewServer(wire.NewPacingServer(owner))
	c.Cleanup(server.Close)
	f, j := newAblatedForwarder()
	f.Meter = meter.New("gateway", "test", "z")
	f.Regulator = &regulator.Regulator{Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Self: "self"}
	f.Regulator.Init()
	address := strings.TrimPrefix(server.URL, "http://")
	f.Regulator.UpdateGateways("controller", &wire.SyncResponse{Leads: true, GatewayList: []*wire.GatewayEntry{{Address: address}}})
	j.adapter, j.customer = "", &wire.RoutedCustomer{Name: "a"}
	j.sendBy = f.Clock.Now().Add(time.Second)
	c.Assert(f.acquireSlot(context.Background(), j, &wire.Announcement{Id: "b", Slots: 4}), qt.IsTrue)
	c.Check(<-owner.customers, qt.Equals, "a")
}
