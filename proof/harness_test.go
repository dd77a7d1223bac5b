package proof

import (
	"net"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Processes that are being started held listeners of the tests, so that their ports were in use.
func TestAddressesAreFreeWhileProcessesStart(t *testing.T) {
	c := qt.New(t)
	var stop atomic.Bool
	var starting sync.WaitGroup
	for range 4 {
		starting.Go(func() {
			for !stop.Load() {
				_ = exec.Command("true").Run()
			}
		})
	}
	defer func() { stop.Store(true); starting.Wait() }()
	for range 300 {
		l, err := net.Listen("tcp", freeAddress(c))
		c.Assert(err, qt.IsNil)
		c.Assert(l.Close(), qt.IsNil)
		l, err = listenAgain(l.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Assert(l.Close(), qt.IsNil)
	}
}
