package synchronizer

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// While there is no leader, requests for adapters fail all the time: the log says when
// that begins and when it ends.
func TestFailedAcquiresAreLoggedOnce(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	f := &Synchronizer{Log: slog.New(slog.NewTextHandler(&out, nil))}
	for range 3 {
		for range 40 {
			f.noteAcquire("a", errors.New("connection refused"))
		}
		f.noteAcquire("b", nil)
		f.noteAcquire("b", nil)
	}
	c.Check(strings.Count(out.String(), "was not told"), qt.Equals, 3)
	c.Check(strings.Count(out.String(), "told of adapters again"), qt.Equals, 3)
	c.Check(strings.Count(out.String(), "Failed=40"), qt.Equals, 3)
}
