// Package weightserver simulates the rate-limited weight store: loads beyond its rate or its
// concurrency limit take longer.
package weightserver

import (
	"net/http"
	"sync"
	"time"
)

// Server serves weights. Set the exported fields before use.
type Server struct {
	// LoadsPerSecond and ConcurrentLoads are the limits beyond which loads take longer.
	LoadsPerSecond  float64
	ConcurrentLoads int
	// LoadDuration is the duration of a load at full speed.
	LoadDuration time.Duration

	mu         sync.Mutex
	running    int
	maxRunning int
	loads      int
	nextStart  time.Time
}

// Handler serves GET /weights/ADAPTER.
func (p *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{adapter}", p.serve)
	return mux
}

func (p *Server) serve(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(p.startLoad()):
	case <-r.Context().Done():
	}
	p.endLoad()
	_, _ = w.Write([]byte("weights of " + r.PathValue("adapter")))
}

// startLoad returns the duration of a load: longer if the rate or the concurrency limit is
// exceeded.
func (p *Server) startLoad() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	p.loads++
	p.maxRunning = max(p.maxRunning, p.running)
	now := time.Now()
	wait := max(0, p.nextStart.Sub(now))
	p.nextStart = now.Add(wait + time.Duration(float64(time.Second)/p.LoadsPerSecond))
	slow := max(1, float64(p.running)/float64(p.ConcurrentLoads))
	return wait + time.Duration(float64(p.LoadDuration)*slow)
}

func (p *Server) endLoad() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}
