package forwarder

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// After a restart an engine lacks its base model, and rejects a request for the model alone.
// The gateway must not remove the engine, which later serves adapters.
func TestEngineWithoutBaseModelStaysKnown(t *testing.T) {
	c := qt.New(t)
	var loaded atomic.Bool
	serves := runsAndAnswers(http.StatusOK, "loaded")
	engine := newBackend(c, "e", func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
		if loaded.Load() {
			return serves(b, req, conn)
		}
		return refuses(statusMisdirected)(b, req, conn)
	})
	address, f := startGatewayAndForwarder(c)
	first := firstTable(engine)
	first.Table.Services[0].Engine = &wire.EngineLimits{Models: []string{"m"}}
	first.Table.Version++
	f.Apply("controller", first)
	c.Check(call(c, address, "/once/x").status, qt.Equals, statusUnavailable)
	loaded.Store(true)
	f.Apply("controller", &wire.SyncResponse{Leads: true, Term: 1, Holdings: []*wire.Holding{{Backend: "e", Adapters: []string{"m/x@0"}}}})
	f.mu.Lock()
	c.Check(f.balancer.ServiceOf("e"), qt.Equals, "s")
	f.mu.Unlock()
	// It is not only known, but gets requests again.
	served := call(c, address, "/once/x")
	c.Check(served.status, qt.Equals, http.StatusOK)
	c.Check(served.body, qt.Equals, "loaded")
	c.Check(engine.runs.Load(), qt.Equals, int32(1))
}
