package app

import (
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// complainEvery is the time between two lines on one backend server that says what
	// can't be read: a few of its announcements.
	complainEvery = 10 * time.Second
	// maxComplaints bounds the names that are kept apart; beyond it nothing is logged
	// until the oldest lines are past.
	maxComplaints = 1000
)

// complainer logs what backend servers say that can't be read, a line for each name at a
// time: one that writes in another format does so several times a second.
type complainer struct {
	clock clockwork.Clock
	log   *slog.Logger

	mu     sync.Mutex
	logged map[string]time.Time
}

func (c *complainer) unreadable(name string, err error) {
	if c.isNew(name) {
		c.log.Warn("a backend server said what can't be read", "Name", name, "Error", err.Error())
	}
}

func (c *complainer) isNew(name string) bool {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logged == nil {
		c.logged = map[string]time.Time{}
	}
	if at, ok := c.logged[name]; ok && now.Sub(at) < complainEvery {
		return false
	}
	if len(c.logged) >= maxComplaints {
		c.forget(now)
	}
	if len(c.logged) >= maxComplaints {
		return false
	}
	c.logged[name] = now
	return true
}

func (c *complainer) forget(now time.Time) {
	for name, at := range c.logged {
		if now.Sub(at) >= complainEvery {
			delete(c.logged, name)
		}
	}
}
