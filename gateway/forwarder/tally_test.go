package forwarder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestClassifyRequest(t *testing.T) {
	const objective = 160 * time.Millisecond
	for name, test := range map[string]struct {
		status int
		took   time.Duration
		want   requestOutcome
	}{
		"served":                  {200, objective, requestOnTime},
		"served too late":         {200, objective + 1, requestLate},
		"rejected by the backend": {404, objective, requestOnTime},
		"refused at once":         {503, objective / 8, requestRefused},
		"refused after a wait":    {503, objective/8 + 1, requestRefusedLate},
		"beyond a limit":          {429, 0, requestRefused},
		"failed":                  {502, 0, requestFailed},
		"a connection that ended": {0, 0, requestFailed},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(classifyRequest(test.status, test.took, objective), qt.Equals, test.want)
		})
	}
}
