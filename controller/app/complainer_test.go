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

// A backend server that writes in another format is logged once in a while, however often
// it does so and under however many names.
func TestComplaintsAreBounded(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	clock := clockwork.NewFakeClock()
	complain := &complainer{clock: clock, log: slog.New(slog.NewJSONHandler(&out, nil))}
	lines := func() int { return strings.Count(out.String(), "\n") }
	for range 100 {
		complain.unreadable("i-1", errors.New("an unknown state"))
	}
	c.Check(lines(), qt.Equals, 1)
	complain.unreadable("i-2", errors.New("no address"))
	c.Check(lines(), qt.Equals, 2)
	clock.Advance(complainEvery)
	complain.unreadable("i-1", errors.New("an unknown state"))
	c.Check(lines(), qt.Equals, 3)
	for i := range 2 * maxComplaints {
		complain.unreadable("other-"+strconv.Itoa(i), errors.New("no address"))
	}
	c.Check(lines() <= maxComplaints+3, qt.IsTrue)
	c.Check(len(complain.logged) <= maxComplaints, qt.IsTrue)
}
