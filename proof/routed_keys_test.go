package proof

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/platform"
)

// putCustomers puts a table with customers into force and waits until all gateways accept a key
// of the first one.
func (y *routedSystem) putCustomers(customers ...platform.StandInCustomer) {
	y.operator.customers = customers
	y.operator.putTable()
	for i, n := range y.gateways {
		eventually(y.c, "a gateway knows the customers", func() bool {
			l := newCaller(y, fmt.Sprint("k", i), n)
			defer l.disconnect()
			l.key = customers[0].Keys[0]
			return l.send(string(once)+"x").status == http.StatusOK && newCaller(y, "none", n).send(string(once)+"x").status == http.StatusUnauthorized
		})
	}
}

// Keys are revoked while their callers stay connected: these receive 401 from then on, callers
// with other keys are served, and no backend server ever receives a key.
func TestRoutedRevokedKeysAreRejected(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 3, 3, 2)
	stays := platform.StandInCustomer{Name: "stays", Keys: []string{"key-stays"}}
	y.putCustomers(stays, platform.StandInCustomer{Name: "goes", Keys: []string{"key-1", "key-2"}})
	var callers []*caller
	for i, n := range y.gateways {
		for _, key := range []string{"key-1", "key-2", "key-stays"} {
			l := newCaller(y, fmt.Sprint(key, i), n)
			l.key = key
			c.Assert(l.send(string(once)+"x").status, qt.Equals, http.StatusOK)
			callers = append(callers, l)
		}
	}
	for _, step := range []struct {
		keys  []string
		known map[string]bool
	}{
		{[]string{"key-2"}, map[string]bool{"key-2": true, "key-stays": true}},
		{nil, map[string]bool{"key-stays": true}},
		{[]string{"key-1"}, map[string]bool{"key-1": true, "key-stays": true}},
	} {
		y.operator.customers = []platform.StandInCustomer{stays, {Name: "goes", Keys: step.keys}}
		y.operator.putTable()
		for _, l := range callers {
			want := http.StatusUnauthorized
			if step.known[l.key] {
				want = http.StatusOK
			}
			eventually(c, "the key is checked against the newest table", func() bool { return l.send(string(idempotent)+"x").status == want })
			c.Check(l.conn, qt.IsNotNil)
			c.Check(l.send(string(stream)+"x").status, qt.Equals, want)
		}
	}
	y.history.check(c)
}

// A customer's limit holds over all gateways, while gateways are killed and frozen and there is
// no leader; another customer below its limit is not refused.
func TestRoutedLimitsHold(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 3, 3, 2)
	y.putCustomers(platform.StandInCustomer{Name: "few", Keys: []string{"key-few"}, RequestsPerSecond: 50, Burst: 100},
		platform.StandInCustomer{Name: "many", Keys: []string{"key-many"}, RequestsPerSecond: 20, Burst: 40})
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]map[int]int{"key-many": {}, "key-few": {}}
	startCaller := func(name, key string, n *instance, interval time.Duration) {
		wait.Go(func() {
			l := newCaller(y, name, n)
			defer l.disconnect()
			l.key = key
			for ctx.Err() == nil {
				s := l.send(string(once) + "x")
				mu.Lock()
				answers[key][s.status]++
				mu.Unlock()
				select {
				case <-ctx.Done():
				case <-time.After(interval):
				}
			}
		})
	}
	for i, n := range y.gateways {
		startCaller(fmt.Sprint("m", i), "key-many", n, time.Millisecond)
	}
	startCaller("f", "key-few", y.gateways[0], 100*time.Millisecond)
	waitRuns := func(more int) {
		target := y.history.customerRuns("many") + more
		eventually(c, "requests of the customer run", func() bool { return y.history.customerRuns("many") >= target })
	}
	waitRuns(120)
	y.gateways[1].freeze()
	waitRuns(60)
	y.gateways[1].thaw()
	y.gateways[2].kill()
	waitRuns(60)
	y.gateways[2].restart()
	waitRuns(60)
	for _, n := range y.controllers {
		n.freeze()
	}
	mu.Lock()
	before := answers["key-many"][http.StatusServiceUnavailable]
	mu.Unlock()
	eventually(c, "gateways refuse as the limit's state is unknown", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return answers["key-many"][http.StatusServiceUnavailable] > before
	})
	for _, n := range y.controllers {
		n.thaw()
	}
	waitRuns(60)
	cancel()
	wait.Wait()
	// Limit x window + burst, plus 10% overage and a slack of 60: (20 x 4 s + 40) x 1.1 + 60.
	peak := y.history.maxInWindow("many", 4*time.Second)
	c.Check(peak <= 192, qt.IsTrue, qt.Commentf("%d requests ran in a window", peak))
	c.Check(answers["key-many"][http.StatusTooManyRequests] > 0, qt.IsTrue)
	c.Check(answers["key-few"][http.StatusTooManyRequests], qt.Equals, 0, qt.Commentf("%v", answers))
	y.history.check(c)
}
