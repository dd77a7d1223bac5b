// Package originreceiver remembers the origins of streams that gateways report in datagrams, and answers
// where a stream began. Gateways and controllers do so, in memory only: an origin that is lost is unknown
// and never wrong.
package originreceiver

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/originrecorder"
	"bronzelead.example/pkg/repeater"
	"bronzelead.example/pkg/wire"
)

const (
	// MaxMemory bounds how long an origin is remembered.
	MaxMemory = 10 * time.Minute
	// pruneInterval is the time between two clean-ups.
	pruneInterval = time.Second
)

// Receiver is one process's memory of origins, and serves wire.Origins. Set the exported fields, call Init, then
// Run.
type Receiver struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter
	// Max is the number of origins that are remembered at most.
	Max int

	mu       sync.Mutex
	recorder originrecorder.Recorder
}

// Init prepares the receiver for calls before Run.
func (r *Receiver) Init() { r.recorder.Max = r.Max }

// Run forgets origins whose time is over until ctx ends.
func (r *Receiver) Run(ctx context.Context) { repeater.Run(ctx, r.Clock, pruneInterval, r.prune) }

func (r *Receiver) prune() {
	now := r.Clock.Now()
	r.mu.Lock()
	r.recorder.Prune(now)
	remembered, dropped := r.recorder.Len(), r.recorder.TakeDropped()
	r.mu.Unlock()
	r.Meter.SetGauge("stream_origins", float64(remembered))
	if dropped > 0 {
		r.Meter.Add("stream_origins_dropped", "reason", "Full", int64(dropped))
		r.Log.Warn("too many origins of streams; the oldest were dropped", "Dropped", dropped, "Remembered", remembered)
	}
}

// Record remembers an origin for a time.
func (r *Receiver) Record(key originrecorder.Key, origin originrecorder.Origin, left time.Duration) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorder.Record(now, key, origin, min(left, MaxMemory))
}

// Find returns the origin of a stream as far as it is known here.
func (r *Receiver) Find(key originrecorder.Key) (originrecorder.Origin, originrecorder.Knowledge) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorder.Find(now, key)
}

// Len returns the number of origins that are remembered.
func (r *Receiver) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorder.Len()
}

// Receive takes a datagram of a gateway.
func (r *Receiver) Receive(datagram []byte) error {
	message := &wire.RecordOrigins{}
	if err := proto.Unmarshal(datagram, message); err != nil {
		return errors.Wrap(err, "originreceiver: a datagram can't be read")
	}
	for _, o := range message.GetOrigins() {
		key, err := decodeKey(o.GetKey())
		if err != nil {
			return err
		}
		origin := originrecorder.Origin{Service: o.GetService(), SoftwareVersion: o.GetSoftwareVersion()}
		r.Record(key, origin, time.Duration(o.GetLeftMs())*time.Millisecond)
	}
	return nil
}

// FindOrigin answers with what is remembered here.
func (r *Receiver) FindOrigin(_ context.Context, req *wire.FindOriginRequest) (*wire.FindOriginResponse, error) {
	key, err := decodeKey(req.GetKey())
	if err != nil {
		return nil, err
	}
	origin, knowledge := r.Find(key)
	switch knowledge {
	case originrecorder.Ambiguous:
		return &wire.FindOriginResponse{Knowledge: wire.OriginKnowledge_ORIGIN_KNOWLEDGE_AMBIGUOUS}, nil
	case originrecorder.Known:
		return &wire.FindOriginResponse{
			Knowledge: wire.OriginKnowledge_ORIGIN_KNOWLEDGE_KNOWN,
			Origin:    &wire.StreamOrigin{Key: key[:], Service: origin.Service, SoftwareVersion: origin.SoftwareVersion},
		}, nil
	case originrecorder.Unknown:
	}
	return &wire.FindOriginResponse{}, nil
}

func decodeKey(b []byte) (originrecorder.Key, error) {
	if len(b) != originrecorder.KeySize {
		return originrecorder.Key{}, errors.Errorf("originreceiver: a key of %d bytes", len(b))
	}
	return originrecorder.Key(b), nil
}
