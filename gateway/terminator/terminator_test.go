package terminator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A terminated request that looked cancelled would pass for one whose caller has left, and get no answer; one whose caller
// has left must not look terminated.
func TestErrTellsWhatEndedTheContext(t *testing.T) {
	for name, test := range map[string]struct {
		end        func(c *Context, leave func())
		err        error
		terminated bool
	}{
		"terminated":                      {func(c *Context, _ func()) { c.Terminate() }, context.DeadlineExceeded, true},
		"caller left":                     {func(_ *Context, leave func()) { leave() }, context.Canceled, false},
		"caller left before termination":  {func(c *Context, leave func()) { leave(); c.Terminate() }, context.Canceled, false},
		"terminated before caller left":   {func(c *Context, leave func()) { c.Terminate(); leave() }, context.DeadlineExceeded, true},
		"neither terminated nor canceled": {func(*Context, func()) {}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			parent, leave := context.WithCancel(context.Background())
			defer leave()
			ctx, release := WithTimeout(parent, time.Hour)
			defer release()
			test.end(ctx, leave)
			c.Check(ctx.Err(), qt.Equals, test.err)
			c.Check(ctx.Terminated(), qt.Equals, test.terminated)
		})
	}
}
