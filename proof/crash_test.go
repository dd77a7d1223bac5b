package proof

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A completion ended every engine that began to run it. It may run again, as its contract
// says, so that a gateway sent it to engine after engine, up to six for one call of its
// customer, and the customer called again at another gateway. 60 more engines ended
// in 10 calls that were sent over 3 s after the third end, 84 in all.
func TestACompletionThatEndsEnginesIsHeldBack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, shape{controllers: 3, gateways: 2, engines: 4, slots: 8, endOn: fatalBody})
	ends := y.keepEngines()
	calls := 0
	send := func() reply {
		calls++
		body := fmt.Sprintf(`{"model":"proof-1@1","prompt":%q,"max_tokens":20}`, fatalBody)
		return y.call(calls%2, http.MethodPost, "/v1/completions", "", body)
	}
	for ends.Load() < knownFatal {
		send()
	}
	for thirdAt := time.Now(); time.Since(thirdAt) < contact; {
		send()
	}
	before := ends.Load()
	last := reply{}
	for range 10 {
		last = send()
	}
	more := ends.Load() - before
	c.Check(more <= mostRetries, qt.IsTrue, qt.Commentf("%d more engines ended, %d in all", more, ends.Load()))
	c.Check(last.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(last.body, qt.Contains, "HeldBack")
	eventually(c, "others are served", func() bool { return y.complete(0, "proof-2@1", false).status == http.StatusOK })
}

// keepEngines starts engines again that end, and counts the ends.
func (y *system) keepEngines() *atomic.Int32 {
	ends := &atomic.Int32{}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, p := range y.engines {
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-p.done:
				}
				ends.Add(1)
				p.start()
			}
		})
	}
	y.c.Cleanup(func() {
		close(stop)
		wait.Wait()
	})
	return ends
}
