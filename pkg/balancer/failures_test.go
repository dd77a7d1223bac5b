package balancer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// A backend server that fails part of its requests while it appears healthy gets fewer, and its
// full share again once it has recovered.
func TestFailingBackendsAreEjectedTemporarily(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b", "c", "d")
	now := begin()
	share := func(fails func(id string, n int) bool) float64 {
		bad, total := 0, 0
		for n := range 400 {
			now = now.Add(20 * time.Millisecond)
			id := decide(b, now, waiter("w", func(w *Waiter) { w.Deadline = now.Add(time.Second) }))["w"]
			outcome := Served
			if fails(id, n) {
				outcome = Failed
			}
			b.Done(now, id, "", 0, outcome)
			total++
			if id == "a" {
				bad++
			}
		}
		return float64(bad) / float64(total)
	}
	failing := share(func(id string, n int) bool { return id == "a" && n%5 < 2 })
	c.Check(failing < 0.15, qt.IsTrue, qt.Commentf("%v of the requests", failing))
	share(func(string, int) bool { return false })
	recovered := share(func(string, int) bool { return false })
	c.Check(recovered > 0.15, qt.IsTrue, qt.Commentf("%v of the requests", recovered))
}

// When all fail, none is ejected: the fault may be on the gateway's side.
func TestNotAllBackendsAreEjected(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b")
	b.Done(begin(), "a", "", 0, Unreachable)
	b.Done(begin(), "b", "", 0, Unreachable)
	c.Check(decide(b, begin(), waiter("w"))["w"], qt.Not(qt.Equals), "waits")
}

// Silent backend servers are used only as long as they answer.
func TestSilentBackends(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b")
	silent := announcement("a")
	silent.Silent, silent.Sequence = true, 1
	b.UpdateBackend(begin(), silent)
	for range 5 {
		id := decide(b, begin(), waiter("w"))["w"]
		c.Check(id, qt.Equals, "b")
		b.Done(begin(), id, "", 0, Served)
	}
}

// Two of three servers fail all requests, and the third has room for everything: almost nothing
// is sent to the two, though they are more than half of the service.
func TestHealthyBackendsWithRoomComeFirst(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b", "c")
	now := begin()
	failed := 0
	var running []time.Time
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		for len(running) > 0 && !now.Before(running[0]) {
			running = running[1:]
			b.Done(now, "c", "", 0, Served)
		}
		id := decide(b, now, waiter("w", func(w *Waiter) { w.Deadline = now.Add(time.Second) }))["w"]
		if id == "c" {
			running = append(running, now.Add(25*time.Millisecond))
			continue
		}
		failed++
		b.Done(now, id, "", 0, Failed)
	}
	c.Check(failed < 15, qt.IsTrue, qt.Commentf("%d of 200", failed))
}

// While the healthy backend servers are full and a minority, the suspected ones are used: the
// fault may be on the gateway's side.
func TestSuspectedBackendsServeWhenHealthyOnesAreFull(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b", "c")
	b.Done(begin(), "a", "", 0, Unreachable)
	b.Done(begin(), "b", "", 0, Unreachable)
	result := map[string]int{}
	for i := range 8 {
		name := fmt.Sprint(i)
		result[decide(b, begin(), waiter(name))[name]]++
	}
	c.Check(result["c"], qt.Equals, 4)
	c.Check(result["waits"], qt.Equals, 0)
}

// Slots of backend servers that refuse connections are not free: half of a service with all of
// its slots taken is contended.
func TestSlotsOfEjectedBackendsAreNotFree(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b", "exited 1", "exited 2")
	b.SetLoads(begin(), []*wire.Load{{Backend: "a", Requests: 4}, {Backend: "b", Requests: 4}})
	c.Check(b.Contended(begin(), "s"), qt.IsFalse)
	for _, id := range []string{"exited 1", "exited 2"} {
		b.Done(begin(), id, "", 0, Unreachable)
	}
	c.Check(b.Contended(begin(), "s"), qt.IsTrue)
}
