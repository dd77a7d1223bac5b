package synchronizer

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Without a leader, requests for adapters keep failing: only the first failure and the recovery
// are logged.
func TestFailedAcquiresAreLoggedOnce(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	s := &Synchronizer{Log: slog.New(slog.NewTextHandler(&out, nil))}
	for range 3 {
		for range 40 {
			s.recordAcquire("a", errors.New("connection refused"))
		}
		s.recordAcquire("b", nil)
		s.recordAcquire("b", nil)
	}
	c.Check(strings.Count(out.String(), "request to the leader failed"), qt.Equals, 3)
	c.Check(strings.Count(out.String(), "reach the leader again"), qt.Equals, 3)
	c.Check(strings.Count(out.String(), "Failed=40"), qt.Equals, 3)
}
