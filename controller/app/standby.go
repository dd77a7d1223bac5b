package app

import (
	"context"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/controller/routecoordinator"
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/wire"
)

const (
	// syncInterval is the time between two queries for the leader's learned state: short
	// compared to the seconds in which adapters are loaded and unloaded. Each takes a few KB.
	syncInterval = 250 * time.Millisecond
	// syncTimeout bounds one query.
	syncTimeout = 500 * time.Millisecond
)

// standby follows the leader's learned state while this instance does not lead.
type standby struct {
	clock       clockwork.Clock
	log         *slog.Logger
	name        string
	coordinator *routecoordinator.Coordinator
	// leader returns the leader's address, or "".
	leader func() string
	// failed is set while queries fail.
	failed bool
}

func (s *standby) run(ctx context.Context) {
	transport := connector.NewTransport(nil)
	defer transport.CloseIdleConnections()
	client := &connector.Client{Timeout: syncTimeout, Transport: transport}
	for {
		if leader := s.leader(); leader != "" {
			s.logFailure(leader, s.sync(ctx, wire.NewMeshProtobufClient("http://"+leader, client)))
		}
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(syncInterval):
		}
	}
}

func (s *standby) sync(ctx context.Context, leader wire.Mesh) error {
	revision, err := s.coordinator.LeaderHoldingRevision(ctx)
	if err != nil {
		return err
	}
	res, err := leader.Sync(ctx, &wire.SyncRequest{Gateway: s.name, Knowledge: true, HoldingRevision: revision})
	if err != nil {
		return err
	}
	return s.coordinator.ApplyLeaderState(ctx, res)
}

// logFailure logs the first of several consecutive queries that fail.
func (s *standby) logFailure(leader string, err error) {
	if err != nil && !s.failed {
		s.log.Info("the leader did not send its learned state", "Controller", leader, "Error", err.Error())
	}
	s.failed = err != nil
}
