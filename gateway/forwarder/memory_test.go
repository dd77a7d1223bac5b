package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/pkg/reserver"
	"bronzelead.example/pkg/wire"
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

// Callers may name any adapter; a gateway that reaches no controller kept all of these names.
func TestDemandIsBounded(t *testing.T) {
	c := qt.New(t)
	_, f := newGateway(c, clockwork.NewRealClock())
	var list []*wire.Demand
	for i := range 2 * maxDemandedAdapters {
		list = append(list, &wire.Demand{Adapter: fmt.Sprintf("m/%d", i), Requests: 1})
	}
	f.AddDemand(list)
	f.AddDemand(list[:1])
	taken := f.TakeDemand()
	c.Check(len(taken), qt.Equals, maxDemandedAdapters)
	total := uint32(0)
	for _, d := range taken {
		total += d.GetRequests()
	}
	c.Check(total, qt.Equals, uint32(maxDemandedAdapters+1))
}

func TestLongModelNamesAreRefused(t *testing.T) {
	for name, test := range map[string]struct{ length, status int }{
		"usual":    {20, http.StatusOK},
		"longest":  {maxModelName, http.StatusOK},
		"too long": {maxModelName + 1, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := startGateway(c, newBackend(c, "b1", runsAndAnswers(http.StatusOK, "ok")))
			field := platform.StandInModel(strings.Repeat("m", test.length))[0]
			c.Check(call(c, address, "/safe/a", field.Name+": "+field.Value).status, qt.Equals, test.status)
		})
	}
}
