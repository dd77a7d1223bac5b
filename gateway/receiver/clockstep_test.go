package receiver

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// The controllers' time never goes back: after a step forward by an hour, claims are an hour ahead of all clocks. The age of a claim
// was taken for less than it is, so that an engine that had forgotten its request was believed that it never ran.
func TestAgeOfAClaimAfterAClockStep(t *testing.T) {
	claimed := time.Unix(1_800_000_000, 0)
	c := &wire.Claim{ClaimedAtNs: claimed.Add(time.Hour).UnixNano()}
	for _, age := range []time.Duration{0, time.Minute, 30 * time.Minute, 59*time.Minute + 30*time.Second, time.Hour, 90 * time.Minute} {
		got := maxAge(claimed.Add(age), c)
		qt.New(t).Check(got >= age, qt.IsTrue, qt.Commentf("sent %s ago, at most %s by maxAge", age, got))
	}
}
