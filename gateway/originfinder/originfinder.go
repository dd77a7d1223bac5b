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
	"bronzelead.example/pkg/originrecorder"
	"bronzelead.example/pkg/ranker"
	"bronzelead.example/pkg/repeater"
	"bronzelead.example/pkg/wire"
)

const (
	// Copies is how many other gateways remember an origin.
	Copies = 3
	// Asked is how many gateways are asked for one: more than remember it, since the lists of two
	// gateways may differ while gateways come and go.
	Asked = Copies + 2
	// callTimeout bounds a call: some round trips within a region, at a busy instance.
	callTimeout = 100 * time.Millisecond
	// maxRounds is how often gateways that did not answer are asked.
	maxRounds = 3
	// maxOrigins bounds the origins that are remembered.
	maxOrigins = 1 << 16
	// pruneInterval is the time between two clean-ups.
	pruneInterval = time.Second
	// maxMemory bounds how long an origin is remembered.
	maxMemory = 10 * time.Minute
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
	// Send sends a datagram to another gateway; nil sends none.
	Send func(address string, datagram []byte) error
	// Client returns a client of another gateway; nil makes one over HTTP.
	Client func(address string) wire.Origins

	mu       sync.Mutex
	recorder originrecorder.Recorder
	// sendFaultLoggedAt is when a failed report was last logged.
	sendFaultLoggedAt time.Time
}

// Init prepares the finder for calls before Run.
func (f *Finder) Init() {
	f.recorder.Max = maxOrigins
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

// Run forgets origins whose time is over until ctx ends.
func (f *Finder) Run(ctx context.Context) { repeater.Run(ctx, f.Clock, pruneInterval, f.prune) }

func (f *Finder) prune() {
	now := f.Clock.Now()
	f.mu.Lock()
	f.recorder.Prune(now)
	remembered, dropped := f.recorder.Len(), f.recorder.TakeDropped()
	f.mu.Unlock()
	f.Meter.SetGauge("stream_origins", float64(remembered))
	if dropped > 0 {
		f.Meter.Add("stream_origins_dropped", "reason", "Full", int64(dropped))
		f.Log.Warn("too many origins of streams; the oldest were dropped", "Dropped", dropped, "Remembered", remembered)
	}
}

// Stream is a stream that has begun.
type Stream struct {
	// Attempt is the id of the caller's attempt that brings its first event.
	Attempt string
	Origin  originrecorder.Origin
	// Left is for how long its caller may take it up.
	Left time.Duration
}

// Record remembers where streams began, here and at the gateways that follow from their ids.
func (f *Finder) Record(streams []Stream) {
	now := f.Clock.Now()
	gateways := f.others(f.Gateways())
	reports := map[string][]*wire.StreamOrigin{}
	f.mu.Lock()
	for _, s := range streams {
		left := min(s.Left, maxMemory)
		key := originrecorder.KeyOf(s.Attempt)
		f.recorder.Record(now, key, s.Origin, left)
		report := &wire.StreamOrigin{
			Key: key[:], Service: s.Origin.Service, SoftwareVersion: s.Origin.SoftwareVersion, LeftMs: uint32(left.Milliseconds()),
		}
		for _, address := range ranker.Top(gateways, string(key[:]), Copies) {
			reports[address] = append(reports[address], report)
		}
	}
	f.mu.Unlock()
	for address, list := range reports {
		f.report(address, list)
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
