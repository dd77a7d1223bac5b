// Package throttler keeps what one gateway knows of the request limits that backend servers
// announce. It is pure: answers, sends and the time go in, limits and counts come out. The
// forwarder calls it.
package throttler

import "maps"

// RequestRate is a number of requests per second; 0 is no limit.
type RequestRate float64

// Kind is why a request is sent to a backend server.
type Kind string

// The kinds, as they stand in logs.
const (
	First   Kind = "First"
	Repeat  Kind = "Repeat"
	Resumed Kind = "Resumed"
)

// Throttler holds the announced limits of backend servers. The zero value knows none.
type Throttler struct {
	backends map[string]*backend
}

type backend struct {
	limit RequestRate
	sent  map[Kind]int
}

// Usage is what was sent to a backend server with a limit since the usage was taken last.
type Usage struct {
	Backend string
	Limit   RequestRate
	Sent    map[Kind]int
}

// Observe takes the limit in an answer of a backend server, and returns the one before.
func (t *Throttler) Observe(id string, limit RequestRate) (before RequestRate) {
	known := t.backends[id]
	if known != nil {
		before = known.limit
	}
	switch {
	case limit == 0:
		delete(t.backends, id)
	case known != nil:
		known.limit = limit
	default:
		if t.backends == nil {
			t.backends = map[string]*backend{}
		}
		t.backends[id] = &backend{limit: limit, sent: map[Kind]int{}}
	}
	return before
}

// Forget drops a backend server that is gone.
func (t *Throttler) Forget(id string) { delete(t.backends, id) }

// Sent notes that a request is sent.
func (t *Throttler) Sent(id string, kind Kind) {
	if known := t.backends[id]; known != nil {
		known.sent[kind]++
	}
}

// TakeUsage returns and clears what was sent to backend servers with limits.
func (t *Throttler) TakeUsage() []Usage {
	var list []Usage
	for id, known := range t.backends {
		if len(known.sent) > 0 {
			list = append(list, Usage{Backend: id, Limit: known.limit, Sent: maps.Clone(known.sent)})
			clear(known.sent)
		}
	}
	return list
}
