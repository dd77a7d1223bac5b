package app

import (
	"bytes"
	"log/slog"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// A backend server that sends another format is logged at most once per interval, however many
// messages it sends and under however many names.
func TestWarningsAreRateLimited(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	clock := clockwork.NewFakeClock()
	warn := &warner{clock: clock, log: slog.New(slog.NewJSONHandler(&out, nil))}
	lines := func() int { return strings.Count(out.String(), "\n") }
	for range 100 {
		warn.unreadable("i-1", errors.New("an unknown state"))
	}
	c.Check(lines(), qt.Equals, 1)
	warn.unreadable("i-2", errors.New("no address"))
	c.Check(lines(), qt.Equals, 2)
	clock.Advance(warnInterval)
	warn.unreadable("i-1", errors.New("an unknown state"))
	c.Check(lines(), qt.Equals, 3)
	for i := range 2 * maxWarnedNames {
		warn.unreadable("other-"+strconv.Itoa(i), errors.New("no address"))
	}
	c.Check(lines() <= maxWarnedNames+3, qt.IsTrue)
	c.Check(len(warn.warnedAt) <= maxWarnedNames, qt.IsTrue)
}
