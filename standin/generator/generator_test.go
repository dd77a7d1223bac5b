package generator

import (
	"net/http"
	"testing"
	"time"
)

// newEngine returns an engine that has loaded the adapter m.
func newEngine() *Generator {
	g := &Generator{Batch: 4}
	g.Init("i")
	g.loaded["m"] = true
	return g
}

// Several requests whose callers have left crashed the engine: they were removed from the queue
// while it was walked through.
func TestUnreadRequestsAreCancelled(t *testing.T) {
	g := newEngine()
	now := time.Unix(1000, 0)
	for _, id := range []string{"a", "b", "c", "read"} {
		r := &request{id: id, model: "m", tokens: 2, unreadAt: now}
		if id == "read" {
			r.readers = 1
		}
		if status, _ := g.submit(r); status != http.StatusOK {
			t.Fatalf("request %s: status %d", id, status)
		}
	}
	g.step(now.Add(unreadTimeout + 1))
	if cancelled, ran := g.count(Cancelled), g.count(Ran); cancelled != 3 || ran != 1 {
		t.Errorf("%d requests were cancelled and %d ran; 3 and 1 are expected", cancelled, ran)
	}
	if len(g.queue) != 1 || g.queue[0].id != "read" {
		t.Errorf("%d requests are queued; only the one that is read is expected", len(g.queue))
	}
}

// count returns the number of log entries of a kind.
func (g *Generator) count(what string) int {
	n := 0
	for _, e := range g.log {
		if e.What == what {
			n++
		}
	}
	return n
}
