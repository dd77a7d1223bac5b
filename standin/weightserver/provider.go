// Package provider is a stand-in for the rate-limited weight store: it serves
// adapters, a few loads at once at full speed and so many a second.
package weightserver

import (
	"net/http"
	"sync"
	"time"
)

// Server serves weights. Set the exported fields before use.
type Server struct {
	// LoadsPerSecond and AtOnce are the limits that a load should keep.
	LoadsPerSecond  float64
	ConcurrentLoads int
	// LoadDuration is how long a load takes at full speed.
	LoadDuration time.Duration

	mu      sync.Mutex
	running int
	most    int
	loads   int
	free    time.Time
}

// Handler serves GET /weights/ADAPTER and GET /control/loads.
func (p *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{adapter}", p.serve)
	return mux
}

func (p *Server) serve(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(p.begin()):
	case <-r.Context().Done():
	}
	p.end()
	_, _ = w.Write([]byte("weights of " + r.PathValue("adapter")))
}

// begin returns how long this load takes: longer when too many run, or come at once.
func (p *Server) begin() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	p.loads++
	p.most = max(p.most, p.running)
	now := time.Now()
	wait := max(0, p.free.Sub(now))
	p.free = now.Add(wait + time.Duration(float64(time.Second)/p.LoadsPerSecond))
	slow := max(1, float64(p.running)/float64(p.ConcurrentLoads))
	return wait + time.Duration(float64(p.LoadDuration)*slow)
}

func (p *Server) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}
