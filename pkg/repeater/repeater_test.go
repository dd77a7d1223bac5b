package repeater_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/repeater"
)

// The work runs once per interval, not before the first one, and Run returns once ctx has ended.
func TestRun(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	called, returned := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(returned)
		repeater.Run(ctx, clock, time.Second, func() { called <- struct{}{} })
	}()
	c.Assert(clock.BlockUntilContext(ctx, 1), qt.IsNil)
	for range 3 {
		clock.Advance(time.Second - 1)
		select {
		case <-called:
			c.Fatal("called before the interval has passed")
		default:
		}
		clock.Advance(1)
		<-called
	}
	cancel()
	<-returned
}
