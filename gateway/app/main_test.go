package app

import (
	"log/slog"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A step of the time of day by 12 s emptied the windows in which a gateway counts its retries: 257
// arrivals beyond the first where 236 were allowed.
func TestClockDoesNotFollowTheTimeOfDay(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile("/proc/uptime")
	c.Assert(err, qt.IsNil)
	uptime, _, _ := strings.Cut(string(text), " ")
	seconds, err := strconv.ParseFloat(uptime, 64)
	c.Assert(err, qt.IsNil)
	r := newRouted(RoutedDefaults(), "", slog.New(slog.DiscardHandler))
	sinceBoot := r.Clock.Now().Sub(time.Unix(0, 0))
	c.Check(sinceBoot-time.Duration(seconds*float64(time.Second)) < time.Hour, qt.IsTrue, qt.Commentf("%s since boot", sinceBoot))
}
