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

// A completion crashed every engine that began to run it. Its contract lets it run again, so a
// gateway sent it to up to six engines per call, and the customer called again at another
// gateway: 60 more engines crashed in 10 calls sent more than 3 s after the third crash, 84 in
// all.
func TestCompletionThatCrashesEnginesIsQuarantined(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, systemConfig{controllers: 3, gateways: 2, engines: 4, slots: 8, crashOn: fatalBody})
	crashes := y.restartEngines()
	calls := 0
	send := func() reply {
		calls++
		body := fmt.Sprintf(`{"model":"proof-1@1","prompt":%q,"max_tokens":20}`, fatalBody)
		return y.call(calls%2, http.MethodPost, "/v1/completions", "", body)
	}
	for crashes.Load() < quarantineThreshold {
		send()
	}
	for thresholdAt := time.Now(); time.Since(thresholdAt) < maxPropagation; {
		send()
	}
	before := crashes.Load()
	lastReply := reply{}
	for range 10 {
		lastReply = send()
	}
	extra := crashes.Load() - before
	c.Check(extra <= maxRetries, qt.IsTrue, qt.Commentf("%d more engines crashed, %d in all", extra, crashes.Load()))
	c.Check(lastReply.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(lastReply.body, qt.Contains, "HeldBack")
	eventually(c, "other requests are served", func() bool { return y.complete(0, "proof-2@1", false).status == http.StatusOK })
}

// restartEngines restarts engines that crash, and counts the crashes.
func (y *system) restartEngines() *atomic.Int32 {
	crashes := &atomic.Int32{}
	stop := make(chan struct{})
	var restarters sync.WaitGroup
	for _, p := range y.engines {
		restarters.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-p.done:
				}
				crashes.Add(1)
				p.start()
			}
		})
	}
	y.c.Cleanup(func() {
		close(stop)
		restarters.Wait()
	})
	return crashes
}
