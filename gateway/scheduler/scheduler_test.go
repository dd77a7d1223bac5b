package scheduler

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/registrar"
	"bronzelead.example/pkg/router"
	"bronzelead.example/pkg/wire"
)

// A request that was to be sent to another backend server was refused since the scheduler had too much to decide, and kept
// its part of the customer's limit for good.
func TestRequestRefusedOnReassignmentReturnsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &Scheduler{
			Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Registrar: &registrar.Registrar{},
			Router: &router.Router{}, RequestRenewal: func() {},
		}
		s.Init()
		stop := start(s)
		s.BeginSession(1, time.Minute)
		s.ApplyRenewal(time.Now(), &wire.RenewResponse{
			BackendsVersion: 1, BackendsWhole: true, Backends: []*wire.Backend{{Name: "b", Service: "orders"}},
			Contracts:  []*wire.Contract{{Customer: "shop", Services: []*wire.ServiceTerms{{Name: "orders"}}}},
			Allotments: []*wire.Allotment{{Customer: "shop", Amount: 1}},
		})
		job := &Job{Customer: "shop", Deadline: time.Now().Add(time.Minute), Want: router.Request{Service: "orders"}}
		_, refusal := s.Acquire(context.Background(), job)
		c.Assert(refusal, qt.IsNil)
		stop()
		for range callQueueSize {
			s.call(func(time.Time) {})
		}
		refused := make(chan *Refusal, 1)
		go func() {
			_, refusal := s.Reassign(context.Background(), job, true, false)
			refused <- refusal
		}()
		synctest.Wait()
		stop = start(s)
		c.Check((<-refused).Reason, qt.Equals, Overloaded)
		synctest.Wait()
		c.Check(s.Idle(), qt.IsTrue)
		stop()
	})
}

// start runs a scheduler until the returned function is called, which waits for its end.
func start(s *Scheduler) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}
