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
	// learnEvery is the time between two questions to the leader what it has learnt: short
	// against the seconds in which adapters come and go, and a few KB each.
	learnEvery = 250 * time.Millisecond
	// learnTimeout bounds one question.
	learnTimeout = 500 * time.Millisecond
)

// standby keeps what the leader has learnt, while this instance does not lead.
type standby struct {
	clock   clockwork.Clock
	log     *slog.Logger
	name    string
	curator *routecoordinator.Coordinator
	// leader returns the leader's address, or "".
	leader func() string
	// failed is set while questions go unanswered.
	failed bool
}

func (s *standby) run(ctx context.Context) {
	transport := connector.NewTransport(nil)
	defer transport.CloseIdleConnections()
	client := &connector.Client{Timeout: learnTimeout, Transport: transport}
	for {
		if leader := s.leader(); leader != "" {
			s.note(leader, s.learn(ctx, wire.NewMeshProtobufClient("http://"+leader, client)))
		}
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(learnEvery):
		}
	}
}

func (s *standby) learn(ctx context.Context, leader wire.Mesh) error {
	revision, err := s.curator.LeaderHoldingRevision(ctx)
	if err != nil {
		return err
	}
	res, err := leader.Sync(ctx, &wire.SyncRequest{Gateway: s.name, Knowledge: true, HoldingRevision: revision})
	if err != nil {
		return err
	}
	return s.curator.ApplyLeaderState(ctx, res)
}

// note logs the first of several questions in a row that fail.
func (s *standby) note(leader string, err error) {
	if err != nil && !s.failed {
		s.log.Info("the leader does not tell what it has learnt", "Controller", leader, "Error", err.Error())
	}
	s.failed = err != nil
}
