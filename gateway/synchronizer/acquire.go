package synchronizer

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/wire"
)

// Leader returns the address of the leader, or of the relay that takes its requests; "" if none
// is known.
func (s *Synchronizer) Leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

// Term returns the term of the last known leader.
func (s *Synchronizer) Term() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

// Acquire asks the leader to load adapters. It does not wait for the loads.
func (s *Synchronizer) Acquire(ctx context.Context, wants []*wire.Want) {
	s.mu.Lock()
	leader := s.leader
	s.mu.Unlock()
	if leader == "" {
		return
	}
	client := &connector.Client{Timeout: acquireTimeout, Transport: s.transport()}
	_, err := wire.NewMeshProtobufClient("http://"+leader, client).Acquire(ctx, &wire.AcquireRequest{Wants: wants, Gateway: s.Gateway})
	s.recordAcquire(leader, err)
	if err == nil {
		return
	}
	if code, ok := err.(twirp.Error); ok && code.Code() == twirp.Unavailable {
		s.mu.Lock()
		if s.leader == leader {
			s.leader = ""
		}
		s.mu.Unlock()
	}
}

// recordAcquire logs the first of several consecutive failed requests for adapters, and their
// number once one succeeds: without a leader dozens fail each second.
func (s *Synchronizer) recordAcquire(leader string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil && s.failedAcquires > 0:
		s.Log.Info("adapter requests reach the leader again", "Controller", leader, "Failed", s.failedAcquires)
		s.failedAcquires = 0
	case err != nil:
		s.failedAcquires++
		if s.failedAcquires == 1 {
			s.Log.Info("adapter request to the leader failed", "Controller", leader, "Error", err.Error())
		}
	}
}

func (s *Synchronizer) transport() *http.Transport {
	s.acquireTransportOnce.Do(func() { s.acquireTransport = connector.NewTransport(nil) })
	return s.acquireTransport
}
