// Package originfinder lets gateways find out where a stream began that its caller takes up at another
// gateway. The gateway that relays the first event of a stream reports its origin, before that event, to
// a few other gateways that follow from the stream's id by rendezvous hashing. The gateway at which it
// is taken up asks these. Reports are datagrams: one that is lost, or whose receivers are, makes an
// origin unknown and never wrong.
package originfinder

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/originreceiver"
	"bronzelead.example/pkg/originrecorder"
	"bronzelead.example/pkg/ranker"
	"bronzelead.example/pkg/repeater"
	"bronzelead.example/pkg/wire"
)

const (
	// Copies is how many other gateways remember an origin, and how many controllers.
	Copies = 3
	// Asked is how many gateways are asked for one, and how many controllers: more than remember it, since the
	// lists of two gateways may differ while gateways and controllers come and go.
	Asked = Copies + 2
	// callTimeout bounds a call: some round trips within a region, at a busy instance.
	callTimeout = 100 * time.Millisecond
	// maxRounds is how often gateways that did not answer are asked.
	maxRounds = 3
	// maxOrigins bounds the origins that are remembered.
	maxOrigins = 1 << 16
	// batchInterval is the minimum time between two reports to controllers, which get those of all gateways:
	// with 1,200 gateways at which 35 streams a second begin, one datagram holds those of three to four.
	batchInterval = 100 * time.Millisecond
	// controllerRefreshInterval is the time between two reports of the origins of running streams to
	// controllers, so that those that have restarted remember them too. A controller gets them from all
	// gateways, and is restarted more rarely than one of many gateways.
	controllerRefreshInterval = 10 * time.Second
)

// Finder is one gateway's part. Set the exported fields, call Init, then Run.
type Finder struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter
	// Self is the address at which other gateways reach this one.
	Self string
	// Gateways returns all gateways, as listed by the leader, and none while that is not known; nil is for a
	// gateway without others.
	Gateways func() []*wire.GatewayEntry
	// Controllers returns the addresses of the controllers; nil is for a gateway without controllers.
	Controllers func() []string
	// Send sends a datagram to another gateway or a controller; nil sends none.
	Send func(address string, datagram []byte) error
	// Client returns a client of another gateway or a controller; nil makes one over HTTP.
	Client func(address string) wire.Origins

	// receiver remembers the origins that are known here.
	receiver *originreceiver.Receiver

	mu sync.Mutex
	// batch are the origins that are not yet reported to controllers, and batchSentAt is when others were.
	batch       []*wire.StreamOrigin
	batchSentAt time.Time
	// controllersRefreshedAt is when the origins of running streams were last reported to controllers again.
	controllersRefreshedAt time.Time
	// sendFaultLoggedAt is when a failed report was last logged.
	sendFaultLoggedAt time.Time
}

// Init prepares the finder for calls before Run.
func (f *Finder) Init() {
	f.receiver = &originreceiver.Receiver{Clock: f.Clock, Log: f.Log, Meter: f.Meter, Max: maxOrigins}
	f.receiver.Init()
	if f.Gateways == nil {
		alone := []*wire.GatewayEntry{{Address: f.Self}}
		f.Gateways = func() []*wire.GatewayEntry { return alone }
	}
	if f.Send == nil {
		f.Send = func(string, []byte) error { return nil }
	}
	if f.Client == nil {
		transport := connector.NewTransport(nil)
		f.Client = func(address string) wire.Origins { return newClient(transport, address) }
	}
}

func newClient(transport *http.Transport, address string) wire.Origins {
	return wire.NewOriginsProtobufClient("http://"+address, &connector.Client{Timeout: callTimeout, Transport: transport})
}

// Run reports to controllers, and forgets origins whose time is over, until ctx ends.
func (f *Finder) Run(ctx context.Context) {
	go f.receiver.Run(ctx)
	repeater.Run(ctx, f.Clock, batchInterval, f.sendBatch)
}

// Receiver returns what is remembered here. It takes the datagrams of other gateways and serves their calls.
func (f *Finder) Receiver() *originreceiver.Receiver { return f.receiver }

// Stream is a stream that has begun.
type Stream struct {
	// Attempt is the id of the caller's attempt that brings its first event.
	Attempt string
	Origin  originrecorder.Origin
	// Left is for how long its caller may take it up.
	Left time.Duration
}

// Record remembers where streams began, here and at the gateways and controllers that follow from their ids.
func (f *Finder) Record(streams []Stream) {
	list := f.record(streams)
	if f.Controllers == nil {
		return
	}
	now := f.Clock.Now()
	f.mu.Lock()
	f.batch = append(f.batch, list...)
	due := now.Sub(f.batchSentAt) >= batchInterval
	f.mu.Unlock()
	if due {
		f.sendBatch()
	}
}

// Refresh is Record for streams that were recorded before: gateways that have restarted remember them too, and
// from time to time controllers.
func (f *Finder) Refresh(streams []Stream) {
	now := f.Clock.Now()
	f.mu.Lock()
	due := now.Sub(f.controllersRefreshedAt) >= controllerRefreshInterval
	if due {
		f.controllersRefreshedAt = now
	}
	f.mu.Unlock()
	if due {
		f.Record(streams)
	} else {
		f.record(streams)
	}
}

// record remembers where streams began, here and at gateways, and returns what is reported of them.
func (f *Finder) record(streams []Stream) []*wire.StreamOrigin {
	gateways := f.others(f.Gateways())
	reports := map[string][]*wire.StreamOrigin{}
	list := make([]*wire.StreamOrigin, 0, len(streams))
	for _, s := range streams {
		left := min(s.Left, originreceiver.MaxMemory)
		key := originrecorder.KeyOf(s.Attempt)
		f.receiver.Record(key, s.Origin, left)
		report := &wire.StreamOrigin{
			Key: key[:], Service: s.Origin.Service, SoftwareVersion: s.Origin.SoftwareVersion, LeftMs: uint32(left.Milliseconds()),
		}
		list = append(list, report)
		for _, address := range ranker.Top(gateways, string(key[:]), Copies) {
			reports[address] = append(reports[address], report)
		}
	}
	for address, origins := range reports {
		f.report(address, origins)
	}
	return list
}

// sendBatch reports the origins that were recorded since the last batch to controllers.
func (f *Finder) sendBatch() {
	now := f.Clock.Now()
	f.mu.Lock()
	batch := f.batch
	f.batch = nil
	if len(batch) > 0 {
		f.batchSentAt = now
	}
	f.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	controllers := f.Controllers()
	reports := map[string][]*wire.StreamOrigin{}
	for _, o := range batch {
		for _, address := range ranker.Top(controllers, string(o.GetKey()), Copies) {
			reports[address] = append(reports[address], o)
		}
	}
	for address, origins := range reports {
		f.report(address, origins)
	}
}

// others returns the addresses of the other gateways.
func (f *Finder) others(entries []*wire.GatewayEntry) []string {
	list := make([]string, 0, len(entries))
	for _, g := range entries {
		if g.GetAddress() != f.Self && g.GetAddress() != "" {
			list = append(list, g.GetAddress())
		}
	}
	return list
}
