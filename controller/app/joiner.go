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

// joinEvery is the time between two requests to become a member.
const joinEvery = 500 * time.Millisecond

// joiner asks other controllers to let this one take part, as long as it has no vote or
// knows no leader: one that was replaced while it was away is not told so.
type joiner struct {
	clock     clockwork.Clock
	log       *slog.Logger
	peers     *connector.Client
	self      *wire.Member
	keeper    *raftdriver.Driver
	storer    *storer.Storer
	cluster   *atomic.Pointer[string]
	addresses func() []string

	next int
}

func (j *joiner) run(ctx context.Context) {
	for {
		if !j.takesPart() {
			j.ask(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-j.clock.After(joinEvery):
		}
	}
}

func (j *joiner) takesPart() bool {
	standing := j.keeper.Standing()
	votes := slices.ContainsFunc(standing.Configuration.GetVoters(), func(m *wire.Member) bool {
		return m.GetId() == j.self.GetId()
	})
	return votes && standing.Leader != ""
}

// ask asks one of the others, each time the next.
func (j *joiner) ask(ctx context.Context) {
	others := slices.DeleteFunc(slices.Clone(j.addresses()), func(a string) bool { return a == j.self.GetAddress() })
	if len(others) == 0 {
		return
	}
	address := others[j.next%len(others)]
	res, err := wire.NewPeerProtobufClient("http://"+address, j.peers).Join(ctx, &wire.JoinRequest{Member: j.self})
	if err != nil {
		j.log.Debug("no controller let this one join", "Controller", address, "Error", err.Error())
		j.next++
		return
	}
	if *j.cluster.Load() != "" {
		return
	}
	if err := j.storer.SetIdentity(j.self.GetId(), res.GetCluster()); err != nil {
		j.log.Error("the cluster can't be stored", "Error", err.Error())
		return
	}
	cluster := res.GetCluster()
	j.cluster.Store(&cluster)
}
