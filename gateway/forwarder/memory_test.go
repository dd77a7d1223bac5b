package forwarder

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/pkg/reserver"
	"bronzelead.example/platform"
)

// A head within its limit may list thousands of parts of a prompt, each of which takes many times its bytes.
func TestPromptPartsReserveMemory(t *testing.T) {
	for name, test := range map[string]struct {
		parts  int
		status int
	}{
		"some":      {freePromptParts, http.StatusOK},
		"very many": {1000, statusUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clock := clockwork.NewRealClock()
			_, f := newGateway(c, clock)
			f.Apply("controller", firstTable(newBackend(c, "b1", runsAndAnswers(http.StatusOK, "ok"))))
			frontend := &acceptor.Acceptor{
				Clock: clock, Log: f.Log, Address: "127.0.0.1:0", Handle: f.Handle,
				Memory: &reserver.Pool{Clock: clock, Capacity: 48 << 10},
			}
			c.Assert(frontend.Start(), qt.IsNil)
			c.Cleanup(func() { _ = frontend.Stop(context.Background()) })
			parts := make([]platform.PromptPart, test.parts)
			for i := range parts {
				parts[i] = platform.PromptPart{ID: "a", Tokens: 1}
			}
			var header []string
			for _, field := range platform.StandInPromptParts(parts...) {
				header = append(header, field.Name+": "+field.Value)
			}
			got := call(c, frontend.Addr(), "/safe/a", header...)
			c.Check(got.status, qt.Equals, test.status, qt.Commentf("%s", got.body))
		})
	}
}
