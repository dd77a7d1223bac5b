package synchronizer

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/wire"
)

// The line on a received table tells how long it was announced before, and which calls for it were in vain.
func TestTransferOfTableIsLogged(t *testing.T) {
	c := qt.New(t)
	var log bytes.Buffer
	clock := clockwork.NewFakeClock()
	s := newSynchronizer(&wire.GatewayEntry{})
	s.Clock, s.Log = clock, slog.New(slog.NewJSONHandler(&log, nil))
	s.recordTable("a", 1, &wire.SyncResponse{TableVersion: 3})
	clock.Advance(time.Second)
	s.recordFailedCall()
	s.recordTable("b", 1, &wire.SyncResponse{TableVersion: 4})
	s.recordTable("b", 1, &wire.SyncResponse{TableVersion: 4, Table: &wire.RoutingTable{Version: 1}})
	clock.Advance(time.Second)
	s.recordTable("b", 1, &wire.SyncResponse{TableVersion: 4, Table: &wire.RoutingTable{Version: 4}})
	var line map[string]any
	c.Assert(json.Unmarshal(log.Bytes(), &line), qt.IsNil)
	for key, want := range map[string]any{"Version": 4.0, "Source": "b", "Delay": 2000.0, "Failed": 1.0, "Superfluous": 1.0} {
		c.Check(line[key], qt.Equals, want, qt.Commentf("%s", key))
	}
}
