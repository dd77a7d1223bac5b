package forwarder

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/doorkeeper"
	"bronzelead.example/gateway/regulator"
	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// withoutMechanisms returns a forwarder that does without mechanisms, and a job for an
// adapter on a paced route of the second priority.
func withoutMechanisms(off ...ablator.Mechanism) (*Forwarder, *job) {
	f := &Forwarder{Clock: clockwork.NewFakeClock(), Off: ablator.Disable(off...)}
	f.Init()
	route := prompts(&wire.Route{Priority: 2, Repetition: wire.Repetition_REPETITION_STREAM})
	j := &job{route: route, service: "s", adapter: "m/x", about: platform.Request{PromptTokens: 100}, req: &doorkeeper.Request{Head: &framer.RequestHead{}}}
	return f, j
}

// The engine is told how urgent a request is, unless the order by priority is off.
func TestPriorityOrderCanBeSwitchedOff(t *testing.T) {
	for name, test := range map[string]struct {
		off  []ablator.Mechanism
		told bool
	}{
		"on":  {nil, true},
		"off": {[]ablator.Mechanism{ablator.PriorityOrder}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f, j := withoutMechanisms(test.off...)
			out := f.outgoing(j, balancer.Decision{Backend: &wire.Announcement{Id: "e"}})
			told := platform.EncodeDispatch(nil, platform.Dispatch{Urgency: 2})
			qt.New(t).Check(out.Header.Get(told[len(told)-1].Name) == "2", qt.Equals, test.told)
		})
	}
}

// A tenth of the budget of repeats is left, unless that is off.
func TestBudgetMarginCanBeSwitchedOff(t *testing.T) {
	c := qt.New(t)
	on, _ := withoutMechanisms()
	off, _ := withoutMechanisms(ablator.BudgetMargin)
	c.Check(on.budgetMargin(), qt.Equals, budgetMargin)
	c.Check(off.budgetMargin(), qt.Equals, 1.0)
}

// Where pacing is off nobody looks whether prompts have to wait.
func TestPacingCanBeSwitchedOff(t *testing.T) {
	for name, test := range map[string]struct {
		off    []ablator.Mechanism
		looked int
	}{
		"on":  {nil, 1},
		"off": {[]ablator.Mechanism{ablator.Pacing}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f, j := withoutMechanisms(test.off...)
			f.Regulator = &regulator.Regulator{Clock: f.Clock}
			c.Check(f.admitPrompt(context.Background(), j, &wire.Announcement{Id: "e"}), qt.IsTrue)
			c.Check(f.needs, qt.HasLen, test.looked)
		})
	}
}
