// Package seedreader keeps the seeds that a settings file names. The file may change while a process runs, without a
// signal: it is read again while the process is not in contact with the controllers.
package seedreader

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/configurer"
)

// readInterval is the minimum time between two readings of the file that no signal demanded.
const readInterval = time.Second

// Reader keeps the seeds of a settings file. Set the exported fields, then call Init.
type Reader struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	// Read reads the seeds from the file, or returns its faults.
	Read func() ([]string, []configurer.Fault)
	// Lost reports whether the process is not in contact with the controllers.
	Lost func() bool

	mu     sync.Mutex
	seeds  []string
	readAt time.Time
	// faulty is set if the file could not be used when it was last read.
	faulty bool
}

// Init sets the seeds that the process starts with.
func (r *Reader) Init(seeds []string) {
	r.seeds, r.readAt = seeds, r.Clock.Now()
}

// Seeds returns the seeds.
func (r *Reader) Seeds() []string {
	lost := r.Lost()
	r.mu.Lock()
	defer r.mu.Unlock()
	if lost && r.Clock.Since(r.readAt) >= readInterval {
		r.read()
	}
	return r.seeds
}

// Reload reads the file at once.
func (r *Reader) Reload() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faulty = false
	r.read()
}

// read reads the file. The seeds stay as they are if it has faults, which are logged once. The caller holds the lock.
func (r *Reader) read() {
	r.readAt = r.Clock.Now()
	seeds, faults := r.Read()
	if len(faults) > 0 {
		if !r.faulty {
			for _, fault := range faults {
				r.Log.Error("the settings were not reloaded", "Fault", fault.String())
			}
		}
		r.faulty = true
		return
	}
	r.faulty = false
	if !slices.Equal(seeds, r.seeds) {
		r.seeds = seeds
		r.Log.Info("the settings name other seeds", "Seeds", seeds)
	}
}
