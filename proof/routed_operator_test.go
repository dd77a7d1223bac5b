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

// fakeOperator puts one table after another into force and reads them back.
type fakeOperator struct {
	y               *routedSystem
	client          *http.Client
	mu              sync.Mutex
	controllerAddrs []string
	// customers are the customers of the next tables; set only while no table is sent.
	customers []platform.StandInCustomer
	// sent and acknowledged are the highest versions so far.
	sent, acknowledged atomic.Uint64
}

func newOperator(y *routedSystem) *fakeOperator {
	o := &fakeOperator{y: y, client: &http.Client{Timeout: time.Second}}
	o.refreshControllers()
	return o
}

// refreshControllers updates the controllers' addresses.
func (o *fakeOperator) refreshControllers() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.controllerAddrs = nil
	for _, n := range o.y.controllers {
		o.controllerAddrs = append(o.controllerAddrs, n.address)
	}
}

func (o *fakeOperator) controller(i int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.controllerAddrs[i%len(o.controllerAddrs)]
}

// markerPath returns the path that exists only in the table of a version.
func markerPath(version uint64) string { return fmt.Sprintf("%s%d/", markerPrefix, version) }

func table(version uint64) *wire.RoutingTable {
	route := func(prefix string, repetition wire.Repetition) *wire.Route {
		return &wire.Route{
			Name: "r" + prefix, Host: "h", PathPrefix: prefix, Repetition: repetition, TimeoutMs: 5000, ObjectiveMs: 500,
			MaxAttempts: 2, Shares: []*wire.Share{{Service: "s", Weight: 1}},
		}
	}
	resumableRoute := route(string(resumable), wire.Repetition_REPETITION_STREAM)
	resumableRoute.Resumable = true
	return &wire.RoutingTable{
		Version: version, Services: []*wire.RoutedService{{Name: "s"}},
		Limits: &wire.DoorLimits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Routes: []*wire.Route{
			route(string(once), wire.Repetition_REPETITION_ONCE), route(string(idempotent), wire.Repetition_REPETITION_IDEMPOTENT),
			route(string(stream), wire.Repetition_REPETITION_STREAM), resumableRoute, route(markerPath(version), wire.Repetition_REPETITION_IDEMPOTENT),
		},
	}
}

// sendTable sends the table of a version to one controller and reports whether it was
// acknowledged.
func (o *fakeOperator) sendTable(i int, version uint64) bool {
	body, err := platform.StandInTable(table(version), o.customers...)
	o.y.c.Assert(err, qt.IsNil)
	res, err := o.client.Post("http://"+o.controller(i)+platform.StandInReplacePath, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	if res.StatusCode >= 400 && res.StatusCode < 500 {
		o.y.history.addViolation("a valid table was refused with %d", res.StatusCode)
	}
	return res.StatusCode == http.StatusOK
}

// putTable retries a new version at the controllers in turn until one acknowledges it.
func (o *fakeOperator) putTable() {
	version := o.sent.Add(1)
	attempt := 0
	eventually(o.y.c, "a table is acknowledged", func() bool {
		attempt++
		return o.sendTable(attempt, version)
	})
	o.acknowledged.Store(version)
}

// readVersion returns the newest version known to a controller, or false.
func (o *fakeOperator) readVersion(i int) (uint64, bool) {
	minVersion := o.acknowledged.Load()
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
		o.y.history.addViolation("a table that was read back can't be decoded: %v", err)
		return 0, false
	}
	if got.GetVersion() < minVersion || got.GetVersion() > o.sent.Load() {
		o.y.history.addViolation("version %d was read after %d was acknowledged", got.GetVersion(), minVersion)
	}
	return got.GetVersion(), true
}
