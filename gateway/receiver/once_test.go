package receiver

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// The clocks of a controller and a gateway differ: a request seemed younger than it was, so that an engine which had
// forgotten it proved that it never ran.
func TestAgeOfAClaimAllowsForClockSkew(t *testing.T) {
	now := time.Unix(100_000, 0)
	for name, test := range map[string]struct {
		claimedAgo, atLeast time.Duration
	}{
		"the same clock":             {time.Hour, time.Hour + maxClockSkew},
		"the controller is ahead":    {-maxClockSkew / 2, maxClockSkew},
		"the clock was set back far": {-time.Hour, 365 * 24 * time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			age := maxAge(now, &wire.Claim{ClaimedAtNs: now.Add(-test.claimedAgo).UnixNano()})
			qt.New(t).Check(age >= test.atLeast, qt.IsTrue, qt.Commentf("%s", age))
		})
	}
}
