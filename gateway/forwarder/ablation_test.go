package forwarder

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/gateway/regulator"
	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// newAblatedForwarder returns a forwarder with mechanisms disabled, and a job for an adapter on
// a paced route of the second priority.
func newAblatedForwarder(off ...ablator.Mechanism) (*Forwarder, *job) {
	f := &Forwarder{Clock: clockwork.NewFakeClock(), Disabled: ablator.Disable(off...)}
	f.Init()
	route := withPrompts(&wire.Route{Priority: 2, Repetition: wire.Repetition_REPETITION_STREAM})
	j := &job{route: route, service: "s", adapter: "m/x", meta: platform.Request{PromptTokens: 100}, req: &acceptor.Request{Head: &framer.RequestHead{}}}
	return f, j
}

// The engine receives a request's urgency, unless the order by priority is off.
func TestPriorityOrderAblation(t *testing.T) {
	for name, test := range map[string]struct {
		off  []ablator.Mechanism
		sent bool
	}{
		"on":  {nil, true},
		"off": {[]ablator.Mechanism{ablator.PriorityOrder}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f, j := newAblatedForwarder(test.off...)
			out := f.outgoing(j, balancer.Decision{Backend: &wire.Announcement{Id: "e"}})
			dispatch := platform.EncodeDispatch(nil, platform.Dispatch{Urgency: 2})
			qt.New(t).Check(out.Header.Get(dispatch[len(dispatch)-1].Name) == "2", qt.Equals, test.sent)
		})
	}
}

// A tenth of the retry budget remains unused, unless the margin is off.
func TestBudgetMarginAblation(t *testing.T) {
	c := qt.New(t)
	on, _ := newAblatedForwarder()
	off, _ := newAblatedForwarder(ablator.BudgetMargin)
	c.Check(on.budgetMargin(), qt.Equals, budgetMargin)
	c.Check(off.budgetMargin(), qt.Equals, 1.0)
}

// With pacing off, prompts are not checked for it.
func TestPacingAblation(t *testing.T) {
	for name, test := range map[string]struct {
		off     []ablator.Mechanism
		checked int
	}{
		"on":  {nil, 1},
		"off": {[]ablator.Mechanism{ablator.Pacing}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f, j := newAblatedForwarder(test.off...)
			f.Regulator = &regulator.Regulator{Clock: f.Clock}
			c.Check(f.admitPrompt(context.Background(), j, &wire.Announcement{Id: "e"}), qt.IsTrue)
			c.Check(f.pacingActivations, qt.HasLen, test.checked)
		})
	}
}
