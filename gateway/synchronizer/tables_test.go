package synchronizer

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

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

// Each part came from another controller. Those that had packed the table for another base let the transfer begin again,
// so that a relay received 1.3 MB for a package of 72 KB.
func TestTransferStaysAtItsSource(t *testing.T) {
	c := qt.New(t)
	s := newSynchronizer(&wire.GatewayEntry{})
	clock := clockwork.NewFakeClock()
	s.Clock, s.relays = clock, []string{"relay"}
	s.sources = map[string]*syncState{"a": {tableVersion: 2}, "b": {tableVersion: 2}, "c": {tableVersion: 2}, "d": {}}
	for range 50 {
		source, _ := s.tableSource("b")
		c.Assert(source, qt.Equals, "b")
	}
	s.recordPart("b", nil, errors.New("no answer"))
	source, _ := s.tableSource("b")
	c.Check(source == "a" || source == "c", qt.IsTrue)
	s.sources["relay"] = &syncState{tableVersion: 2}
	source, _ = s.tableSource("")
	c.Check(source, qt.Equals, "relay")
	for _, address := range []string{"a", "c", "relay"} {
		s.recordPart(address, nil, errors.New("no answer"))
	}
	source, pause := s.tableSource("b")
	c.Check(source, qt.Equals, "")
	c.Check(pause, qt.Equals, sourcePause)
	clock.Advance(sourcePause)
	source, _ = s.tableSource("a")
	c.Check(source, qt.Equals, "a")
}
