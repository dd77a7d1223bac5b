package forwarder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestEndings(t *testing.T) {
	const objective = 160 * time.Millisecond
	for name, test := range map[string]struct {
		status int
		took   time.Duration
		want   ending
	}{
		"served":                  {200, objective, endedInTime},
		"served too late":         {200, objective + 1, endedLate},
		"the backend's own no":    {404, objective, endedInTime},
		"refused at once":         {503, objective / 8, endedRefused},
		"refused after a wait":    {503, objective/8 + 1, endedHeld},
		"beyond a limit":          {429, 0, endedRefused},
		"failed":                  {502, 0, endedFailed},
		"a connection that ended": {0, 0, endedFailed},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(endingOf(test.status, test.took, objective), qt.Equals, test.want)
		})
	}
}
