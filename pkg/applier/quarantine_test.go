package applier_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/wire"
)

func (l *log) hold(fingerprint string) {
	l.apply(&wire.Command{Body: &wire.Command_HoldRequest{HoldRequest: &wire.HeldRequest{Fingerprint: fingerprint, Model: "m/a"}}})
}

func (l *log) releaseHeld(fingerprint string) {
	l.apply(&wire.Command{Body: &wire.Command_ReleaseHeld{ReleaseHeld: &wire.ReleaseHeld{Fingerprint: fingerprint}}})
}

func (l *log) version(model, adapter string, version uint64) {
	l.apply(&wire.Command{Body: &wire.Command_PutAdapterVersion{PutAdapterVersion: &wire.AdapterVersion{
		Model: model, Adapter: adapter, Version: version,
	}}})
}

// What is held stays so until it is released, grows old, or what it asks for is a new
// version; the last two let it be tried again, and a hold after that counts anew.
func TestHeldRequests(t *testing.T) {
	for name, test := range map[string]struct {
		happens func(l *log)
		// held and onTrial are how many are left, and how many of them are tried again.
		held, onTrial int
	}{
		"nothing more":             {func(*log) {}, 1, 0},
		"without a name":           {func(l *log) { l.hold("") }, 1, 0},
		"held twice":               {func(l *log) { l.hold("f") }, 1, 0},
		"released":                 {func(l *log) { l.releaseHeld("f") }, 0, 0},
		"another is released":      {func(l *log) { l.releaseHeld("g") }, 1, 0},
		"a version of its adapter": {func(l *log) { l.version("m", "a", 2) }, 1, 1},
		"a version of its model":   {func(l *log) { l.version("m", "", 2) }, 1, 1},
		"a version of another":     {func(l *log) { l.version("m", "b", 2) }, 1, 0},
		"held after its trial":     {func(l *log) { l.version("m", "a", 2); l.hold("f") }, 1, 0},
		"a day later":              {func(l *log) { l.now = l.now.Add(applier.QuarantinePeriod + time.Minute); l.version("x", "y", 1) }, 1, 1},
		"weeks later":              {func(l *log) { l.now = l.now.Add(30 * applier.QuarantinePeriod); l.version("x", "y", 1) }, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := newLog()
			l.hold("f")
			test.happens(l)
			data, err := l.state.Snapshot()
			c.Assert(err, qt.IsNil)
			restored, err := applier.Restore(data)
			c.Assert(err, qt.IsNil)
			for _, state := range []*applier.StateMachine{l.state, restored} {
				onTrial := 0
				for _, h := range state.Quarantined() {
					if h.GetOnTrial() {
						onTrial++
					}
				}
				c.Check(state.Quarantined(), qt.HasLen, test.held)
				c.Check(onTrial, qt.Equals, test.onTrial)
			}
		})
	}
}

// Each change has a number of its own, so that whoever follows the state sees all of them.
func TestHeldRequestsAreBounded(t *testing.T) {
	c := qt.New(t)
	l := newLog()
	for i := range applier.MaxQuarantined + 10 {
		l.now = l.now.Add(time.Second)
		before := l.state.QuarantineRevision()
		l.hold(fmt.Sprint(i))
		c.Assert(l.state.QuarantineRevision() > before, qt.IsTrue)
	}
	c.Assert(l.state.Quarantined(), qt.HasLen, applier.MaxQuarantined)
	c.Check(l.state.Quarantined()[0].GetFingerprint(), qt.Equals, "10")
	c.Check(l.state.QuarantineEvictions(), qt.Equals, 10)
}
