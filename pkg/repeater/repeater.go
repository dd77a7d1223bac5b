// Package repeater runs the periodic work of a component.
package repeater

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Run calls f after each interval until ctx ends.
func Run(ctx context.Context, clock clockwork.Clock, interval time.Duration, f func()) {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			f()
		}
	}
}
