// Package transporter sends messages between controllers, with one goroutine and one bounded
// queue for each other member. A full queue drops messages, as a network would; the replicator
// sends them again.
package transporter

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/wire"
)

const (
	queueSize = 256
	maxBatch  = 64
)

// Transporter sends messages. Set the exported fields before use.
type Transporter struct {
	Log    *slog.Logger
	Client *connector.Client
	// SnapshotClient sends snapshots, which take longer.
	SnapshotClient *connector.Client
	// Cluster returns the cluster that this instance belongs to.
	Cluster func() string
	// Self is this member, as it is sent to others.
	Self *wire.Member

	mu      sync.Mutex
	peers   map[string]*peer
	senders map[string]string
	ctx     context.Context
}

type peer struct {
	address string
	queue   chan *wire.Message
	cancel  context.CancelFunc
}

// Start runs the transporter until ctx ends.
func (t *Transporter) Start(ctx context.Context) {
	t.ctx = ctx
	t.peers = map[string]*peer{}
	t.senders = map[string]string{}
}

// RecordPeer records the address of a member that the configuration of this one may not include
// yet, so that it can be answered.
func (t *Transporter) RecordPeer(m *wire.Member) {
	if m.GetId() == "" || m.GetAddress() == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.senders[m.GetId()] = m.GetAddress()
}

// Send queues messages for the members of a configuration. It does not block.
func (t *Transporter) Send(config *wire.Configuration, messages []*wire.Message) {
	if len(messages) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(config)
	for _, m := range messages {
		p := t.peers[m.GetTo()]
		if p == nil {
			continue
		}
		select {
		case p.queue <- m:
		default:
		}
	}
}

// update keeps a peer for each member, at its current address.
func (t *Transporter) update(config *wire.Configuration) {
	addresses := maps.Clone(t.senders)
	for _, m := range config.GetVoters() {
		addresses[m.GetId()] = m.GetAddress()
	}
	for _, m := range config.GetLearners() {
		addresses[m.GetId()] = m.GetAddress()
	}
	for id, p := range t.peers {
		if addresses[id] != p.address {
			p.cancel()
			delete(t.peers, id)
		}
	}
	for id, address := range addresses {
		if t.peers[id] == nil {
			t.peers[id] = t.connect(address)
		}
	}
}

func (t *Transporter) connect(address string) *peer {
	ctx, cancel := context.WithCancel(t.ctx)
	p := &peer{address: address, queue: make(chan *wire.Message, queueSize), cancel: cancel}
	go t.run(ctx, p)
	return p
}

func (t *Transporter) run(ctx context.Context, p *peer) {
	client := wire.NewPeerProtobufClient("http://"+p.address, t.Client)
	bulk := wire.NewPeerProtobufClient("http://"+p.address, t.SnapshotClient)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			batch := p.fillBatch([]*wire.Message{m})
			deliver := client.Deliver
			if hasSnapshot(batch) {
				deliver = bulk.Deliver
			}
			_, err := deliver(ctx, &wire.DeliverRequest{Cluster: t.Cluster(), Messages: batch, From: t.Self})
			if err != nil {
				t.Log.Debug("messages were not delivered", "Peer", p.address, "Error", err.Error())
			}
		}
	}
}

// fillBatch adds the messages that are queued already.
func (p *peer) fillBatch(batch []*wire.Message) []*wire.Message {
	for len(batch) < maxBatch {
		select {
		case m := <-p.queue:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

func hasSnapshot(batch []*wire.Message) bool {
	return slices.ContainsFunc(batch, func(m *wire.Message) bool { return m.GetSnapshot() != nil })
}
