package app

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/controller/raftdriver"
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/storer"
	"bronzelead.example/pkg/wire"
)

// joinInterval is the time between two requests to become a member.
const joinInterval = 500 * time.Millisecond

// joiner requests membership from other controllers while this one has no vote or knows no
// leader: a member that was replaced while it was away is not notified.
type joiner struct {
	clock     clockwork.Clock
	log       *slog.Logger
	peers     *connector.Client
	self      *wire.Member
	driver    *raftdriver.Driver
	storer    *storer.Storer
	cluster   *atomic.Pointer[string]
	addresses func() []string

	next int
}

func (j *joiner) run(ctx context.Context) {
	for {
		if !j.participates() {
			j.requestJoin(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-j.clock.After(joinInterval):
		}
	}
}

func (j *joiner) participates() bool {
	status := j.driver.Status()
	votes := slices.ContainsFunc(status.Configuration.GetVoters(), func(m *wire.Member) bool {
		return m.GetId() == j.self.GetId()
	})
	return votes && status.Leader != ""
}

// requestJoin asks one of the other controllers, and after a failure the next one.
func (j *joiner) requestJoin(ctx context.Context) {
	others := slices.DeleteFunc(slices.Clone(j.addresses()), func(a string) bool { return a == j.self.GetAddress() })
	if len(others) == 0 {
		return
	}
	address := others[j.next%len(others)]
	res, err := wire.NewPeerProtobufClient("http://"+address, j.peers).Join(ctx, &wire.JoinRequest{Member: j.self})
	if err != nil {
		j.log.Debug("a request to join failed", "Controller", address, "Error", err.Error())
		j.next++
		return
	}
	if *j.cluster.Load() != "" {
		return
	}
	if err := j.storer.SetIdentity(j.self.GetId(), res.GetCluster()); err != nil {
		j.log.Error("the cluster id can't be stored", "Error", err.Error())
		return
	}
	cluster := res.GetCluster()
	j.cluster.Store(&cluster)
}
