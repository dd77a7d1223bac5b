package synchronizer

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/wire"
)

// Leader returns the address of the leader, or of the relay that is asked in its place; ""
// if none is known.
func (f *Synchronizer) Leader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

// Term returns the term of the leader that was heard last.
func (f *Synchronizer) Term() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term
}

// Acquire asks the leader to load adapters. It does not wait for the loads.
func (f *Synchronizer) Acquire(ctx context.Context, wants []*wire.Want) {
	f.mu.Lock()
	leader := f.leader
	f.mu.Unlock()
	if leader == "" {
		return
	}
	client := &connector.Client{Timeout: acquireTimeout, Transport: f.transport()}
	_, err := wire.NewMeshProtobufClient("http://"+leader, client).Acquire(ctx, &wire.AcquireRequest{Wants: wants, Gateway: f.Gateway})
	f.noteAcquire(leader, err)
	if err == nil {
		return
	}
	if code, ok := err.(twirp.Error); ok && code.Code() == twirp.Unavailable {
		f.mu.Lock()
		if f.leader == leader {
			f.leader = ""
		}
		f.mu.Unlock()
	}
}

// noteAcquire logs the first of several requests for adapters in a row that fail, and how
// many did once one succeeds: while there is no leader they fail dozens of times a second.
func (f *Synchronizer) noteAcquire(leader string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil && f.untold > 0:
		f.Log.Info("the leader is told of adapters again", "Controller", leader, "Failed", f.untold)
		f.untold = 0
	case err != nil:
		f.untold++
		if f.untold == 1 {
			f.Log.Info("the leader was not told of adapters that are needed", "Controller", leader, "Error", err.Error())
		}
	}
}

func (f *Synchronizer) transport() *http.Transport {
	f.acquiringOnce.Do(func() { f.acquiring = connector.NewTransport(nil) })
	return f.acquiring
}
