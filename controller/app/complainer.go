package app

import (
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// warnInterval is the time between two warnings about one backend server whose messages
	// can't be read: a few of its announcements.
	warnInterval = 10 * time.Second
	// maxWarnedNames bounds the names that are tracked; beyond it nothing is logged until the
	// oldest entries expire.
	maxWarnedNames = 1000
)

// warner logs unreadable messages of backend servers, at most one per name and interval: a
// backend server with another format sends several a second.
type warner struct {
	clock clockwork.Clock
	log   *slog.Logger

	mu       sync.Mutex
	warnedAt map[string]time.Time
}

func (c *warner) unreadable(name string, err error) {
	if c.isDue(name) {
		c.log.Warn("a message of a backend server can't be read", "Name", name, "Error", err.Error())
	}
}

func (c *warner) isDue(name string) bool {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.warnedAt == nil {
		c.warnedAt = map[string]time.Time{}
	}
	if at, ok := c.warnedAt[name]; ok && now.Sub(at) < warnInterval {
		return false
	}
	if len(c.warnedAt) >= maxWarnedNames {
		c.prune(now)
	}
	if len(c.warnedAt) >= maxWarnedNames {
		return false
	}
	c.warnedAt[name] = now
	return true
}

func (c *warner) prune(now time.Time) {
	for name, at := range c.warnedAt {
		if now.Sub(at) >= warnInterval {
			delete(c.warnedAt, name)
		}
	}
}
