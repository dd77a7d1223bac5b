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

// keyed puts a table with customers into force and waits until a key of one is known
// everywhere.
func (y *routedSystem) keyed(customers ...platform.StandInCustomer) {
	y.operator.customers = customers
	y.operator.put()
	for i, n := range y.gateways {
		eventually(y.c, "a gateway knows the customers", func() bool {
			l := newCaller(y, fmt.Sprint("k", i), n)
			defer l.hangUp()
			l.key = customers[0].Keys[0]
			return l.ask(string(once)+"x").status == http.StatusOK && newCaller(y, "none", n).ask(string(once)+"x").status == http.StatusUnauthorized
		})
	}
}

// Keys are taken away while their callers stay connected: these hear 401 from then on, those
// with other keys are served, and no backend server ever sees a key.
func TestRoutedKeysAreTakenAway(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 3, 3, 2)
	stays := platform.StandInCustomer{Name: "stays", Keys: []string{"key-stays"}}
	y.keyed(stays, platform.StandInCustomer{Name: "goes", Keys: []string{"key-1", "key-2"}})
	var callers []*caller
	for i, n := range y.gateways {
		for _, key := range []string{"key-1", "key-2", "key-stays"} {
			l := newCaller(y, fmt.Sprint(key, i), n)
			l.key = key
			c.Assert(l.ask(string(once)+"x").status, qt.Equals, http.StatusOK)
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
		y.operator.put()
		for _, l := range callers {
			want := http.StatusUnauthorized
			if step.known[l.key] {
				want = http.StatusOK
			}
			eventually(c, "the key is judged by the newest table", func() bool { return l.ask(string(idempotent)+"x").status == want })
			c.Check(l.conn, qt.IsNotNil)
			c.Check(l.ask(string(stream)+"x").status, qt.Equals, want)
		}
	}
	y.ledger.check(c)
}

// A customer's limit holds over all gateways, while these are killed and frozen and there is
// no leader; below its limit another one is refused nothing.
func TestRoutedLimitsHold(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 3, 3, 2)
	y.keyed(platform.StandInCustomer{Name: "few", Keys: []string{"key-few"}, RequestsPerSecond: 50, Burst: 100},
		platform.StandInCustomer{Name: "many", Keys: []string{"key-many"}, RequestsPerSecond: 20, Burst: 40})
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]map[int]int{"key-many": {}, "key-few": {}}
	keep := func(name, key string, n *instance, every time.Duration) {
		wait.Go(func() {
			l := newCaller(y, name, n)
			defer l.hangUp()
			l.key = key
			for ctx.Err() == nil {
				s := l.ask(string(once) + "x")
				mu.Lock()
				answers[key][s.status]++
				mu.Unlock()
				select {
				case <-ctx.Done():
				case <-time.After(every):
				}
			}
		})
	}
	for i, n := range y.gateways {
		keep(fmt.Sprint("m", i), "key-many", n, time.Millisecond)
	}
	keep("f", "key-few", y.gateways[0], 100*time.Millisecond)
	ran := func(more int) {
		least := y.ledger.countOf("many") + more
		eventually(c, "requests of the customer run", func() bool { return y.ledger.countOf("many") >= least })
	}
	ran(120)
	y.gateways[1].freeze()
	ran(60)
	y.gateways[1].thaw()
	y.gateways[2].kill()
	ran(60)
	y.gateways[2].restart()
	ran(60)
	for _, n := range y.controllers {
		n.freeze()
	}
	mu.Lock()
	before := answers["key-many"][http.StatusServiceUnavailable]
	mu.Unlock()
	eventually(c, "gateways find that nobody can tell", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return answers["key-many"][http.StatusServiceUnavailable] > before
	})
	for _, n := range y.controllers {
		n.thaw()
	}
	ran(60)
	cancel()
	wait.Wait()
	// (20 x 4 s + 40) x 1.1 + 60.
	most := y.ledger.mostInWindow("many", 4*time.Second)
	c.Check(most <= 192, qt.IsTrue, qt.Commentf("%d requests ran in a window", most))
	c.Check(answers["key-many"][http.StatusTooManyRequests] > 0, qt.IsTrue)
	c.Check(answers["key-few"][http.StatusTooManyRequests], qt.Equals, 0, qt.Commentf("%v", answers))
	y.ledger.check(c)
}
