package sequencer

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func TestCallsRunInOrder(t *testing.T) {
	c := qt.New(t)
	calls := New(4)
	var order []int
	go func() {
		for call := range calls.Calls() {
			call(time.Unix(1000, 0))
		}
	}()
	calls.Post(func(time.Time) { order = append(order, 1) })
	err := calls.Call(context.Background(), func(now time.Time) {
		order = append(order, 2)
		c.Check(now, qt.Equals, time.Unix(1000, 0))
	})
	c.Assert(err, qt.IsNil)
	c.Check(order, qt.DeepEquals, []int{1, 2})
}

// Call does not block when the queue is full, nor after its context has ended.
func TestCallReturnsWhenFullOrCancelled(t *testing.T) {
	c := qt.New(t)
	calls := New(1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Check(errors.Is(calls.Call(ctx, func(time.Time) {}), context.Canceled), qt.IsTrue)
	c.Check(calls.Call(context.Background(), func(time.Time) {}), qt.Equals, ErrBusy)
}
