// Package evictor bounds the connections of a process. If there are too many, the one that has been waiting for its peer
// for the longest time is closed for a new one, so that peers that send nothing, or little, do not keep out others.
package evictor

import (
	"container/list"
	"sync"
)

// Evictor holds the open connections. Set the exported field before use.
type Evictor struct {
	// Max limits the connections; 0 for no limit.
	Max int

	mu sync.Mutex
	// waiting holds the entries of connections that wait for their peers, the longest first.
	waiting list.List
	open    int
	evicted int64
	refused int64
}

// Entry is one open connection. A nil entry may be used, and does nothing.
type Entry struct {
	evictor *Evictor
	evict   func()
	// element is its place among those that wait; nil if it does not wait.
	element *list.Element
	gone    bool
}

// Add adds a connection, or returns nil if all others are busy. evict closes the connection; it must not block.
func (e *Evictor) Add(evict func()) *Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Max > 0 && e.open >= e.Max {
		oldest := e.waiting.Front()
		if oldest == nil {
			e.refused++
			return nil
		}
		victim := oldest.Value.(*Entry)
		victim.remove()
		e.evicted++
		victim.evict()
	}
	added := &Entry{evictor: e, evict: evict}
	e.open++
	added.element = e.waiting.PushBack(added)
	return added
}

// Wait records that the connection waits for its peer from now on.
func (n *Entry) Wait() {
	if n == nil {
		return
	}
	n.evictor.mu.Lock()
	defer n.evictor.mu.Unlock()
	switch {
	case n.gone:
	case n.element == nil:
		n.element = n.evictor.waiting.PushBack(n)
	default:
		n.evictor.waiting.MoveToBack(n.element)
	}
}

// Busy records that the connection does not wait for its peer. It returns false if it was evicted before.
func (n *Entry) Busy() bool {
	if n == nil {
		return true
	}
	n.evictor.mu.Lock()
	defer n.evictor.mu.Unlock()
	n.unlink()
	return !n.gone
}

// Remove records that the connection is closed.
func (n *Entry) Remove() {
	if n == nil {
		return
	}
	n.evictor.mu.Lock()
	defer n.evictor.mu.Unlock()
	n.remove()
}

// remove removes it. The caller holds the lock.
func (n *Entry) remove() {
	if n.gone {
		return
	}
	n.gone = true
	n.evictor.open--
	n.unlink()
}

func (n *Entry) unlink() {
	if n.element != nil {
		n.evictor.waiting.Remove(n.element)
		n.element = nil
	}
}

// Stats describes the connections.
type Stats struct {
	// Open counts the open connections, Evicted those that were closed for others, and Refused those that found no room.
	Open             int
	Evicted, Refused int64
}

// Stats returns the current state.
func (e *Evictor) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Stats{Open: e.open, Evicted: e.evicted, Refused: e.refused}
}
