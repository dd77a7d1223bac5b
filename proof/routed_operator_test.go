package proof

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// operatorStandIn puts tables into force, one after the other, and reads them back.
type operatorStandIn struct {
	y      *routedSystem
	client *http.Client
	mu     sync.Mutex
	places []string
	// customers are those of the next tables; set while no table is sent.
	customers []platform.StandInCustomer
	// sent and acknowledged are the highest versions so far.
	sent, acknowledged atomic.Uint64
}

func newOperator(y *routedSystem) *operatorStandIn {
	o := &operatorStandIn{y: y, client: &http.Client{Timeout: time.Second}}
	o.look()
	return o
}

// look takes note of where the controllers are now.
func (o *operatorStandIn) look() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.places = nil
	for _, n := range o.y.controllers {
		o.places = append(o.places, n.at)
	}
}

func (o *operatorStandIn) controller(i int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.places[i%len(o.places)]
}

// marker is the path that only the table of a version has.
func marker(version uint64) string { return fmt.Sprintf("%s%d/", markerPrefix, version) }

func table(version uint64) *wire.RoutingTable {
	route := func(prefix string, repetition wire.Repetition) *wire.Route {
		return &wire.Route{
			Name: "r" + prefix, Host: "h", PathPrefix: prefix, Repetition: repetition, TimeoutMs: 5000, ObjectiveMs: 500,
			MaxAttempts: 2, Shares: []*wire.Share{{Service: "s", Weight: 1}},
		}
	}
	return &wire.RoutingTable{
		Version: version, Services: []*wire.RoutedService{{Name: "s"}},
		Limits: &wire.DoorLimits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Routes: []*wire.Route{
			route(string(once), wire.Repetition_REPETITION_ONCE), route(string(idempotent), wire.Repetition_REPETITION_IDEMPOTENT),
			route(string(stream), wire.Repetition_REPETITION_STREAM), route(marker(version), wire.Repetition_REPETITION_IDEMPOTENT),
		},
	}
}

// try sends the table of a version to one controller and reports whether it was
// acknowledged.
func (o *operatorStandIn) try(i int, version uint64) bool {
	body, err := platform.StandInTable(table(version), o.customers...)
	o.y.c.Assert(err, qt.IsNil)
	res, err := o.client.Post("http://"+o.controller(i)+platform.StandInReplacePath, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	if res.StatusCode >= 400 && res.StatusCode < 500 {
		o.y.ledger.fault("a valid table was refused with %d", res.StatusCode)
	}
	return res.StatusCode == http.StatusOK
}

// put puts a new version into force, with whichever controller acknowledges it.
func (o *operatorStandIn) put() {
	version := o.sent.Add(1)
	attempt := 0
	eventually(o.y.c, "a table is acknowledged", func() bool {
		attempt++
		return o.try(attempt, version)
	})
	o.acknowledged.Store(version)
}

// read returns the version that a controller says is the newest, or false.
func (o *operatorStandIn) read(i int) (uint64, bool) {
	least := o.acknowledged.Load()
	res, err := o.client.Get("http://" + o.controller(i) + platform.StandInReadPath)
	if err != nil {
		return 0, false
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return 0, false
	}
	got, err := platform.DecodeTable(body)
	if err != nil {
		o.y.ledger.fault("a table that was read back can't be read: %v", err)
		return 0, false
	}
	if got.GetVersion() < least || got.GetVersion() > o.sent.Load() {
		o.y.ledger.fault("version %d was read after %d was acknowledged", got.GetVersion(), least)
	}
	return got.GetVersion(), true
}
