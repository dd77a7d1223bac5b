package coordinator

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/controller/raftdriver"
	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/planner"
	"bronzelead.example/pkg/wire"
)

// leaderStub is a replicated log that this instance always leads.
type leaderStub struct{ until time.Time }

func (l *leaderStub) Status() *raftdriver.Status {
	return &raftdriver.Status{Term: 1, LeaseUntil: l.until}
}

func (l *leaderStub) ProposeAsync(*wire.Command, func(applier.Result, error)) {}

func (l *leaderStub) Compact(uint64, []byte) {}

func newLeadingCoordinator(sessions, backends int) (*Coordinator, time.Time) {
	clock := clockwork.NewFakeClock()
	c := &Coordinator{
		Clock: clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Raft: &leaderStub{until: clock.Now().Add(time.Hour)}, Lease: time.Minute, MaxRequestDuration: time.Minute,
		Policy:    planner.Policy{BackendLease: time.Minute, LoadsPerSecond: 5, MaxConcurrentLoads: 3},
		SendOrder: func(planner.Order, func(planner.Outcome)) {},
	}
	c.Init()
	for i := range sessions {
		cmd := &wire.Command{Body: &wire.Command_OpenSession{OpenSession: &wire.OpenSession{
			Instance: fmt.Sprintf("entry-%d", i), Nonce: fmt.Sprint(i),
		}}}
		data, _ := proto.Marshal(cmd)
		c.apply(raftdriver.CommittedBatch{Entries: []raftdriver.CommittedEntry{{Entry: &wire.Entry{Index: uint64(i + 1), Data: data}}}})
	}
	c.followLeadership()
	now := clock.Now()
	var announced []*wire.Backend
	for i := range backends {
		announced = append(announced, engineNumber(i))
	}
	c.handleAnnouncements(now, announced)
	return c, now
}

func engineNumber(i int) *wire.Backend {
	return &wire.Backend{
		Name: fmt.Sprintf("engine-%d", i), Incarnation: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Kind: wire.BackendKind_BACKEND_KIND_ENGINE,
		Address: "10.1.2.3:8000", Zone: "zone-1", BaseModel: "base", Slots: 8, Batch: 16, ChecksFencing: true, Running: 7,
	}
}

// BenchmarkRenew measures the leader's work for one renewal and reports the sizes of the
// messages: idle, and with the report of a gateway at 35 requests a second.
func BenchmarkRenew(b *testing.B) {
	for _, size := range []struct{ sessions, backends int }{{9, 18}, {150, 1500}, {1200, 1500}} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("sessions=%d/backends=%d/busy=%t", size.sessions, size.backends, busy), func(b *testing.B) {
				c, now := newLeadingCoordinator(size.sessions, size.backends)
				sequence := make([]uint64, size.sessions)
				var requestBytes, responseBytes, n int
				for b.Loop() {
					i := n % size.sessions
					sequence[i]++
					req := renewal(uint64(i+1), sequence[i], c.backends.version, busy)
					req.Full = sequence[i] == 1
					res := c.renew(now, req)
					requestBytes += proto.Size(req)
					responseBytes += proto.Size(res)
					n++
				}
				b.ReportMetric(float64(requestBytes)/float64(n), "B/request")
				b.ReportMetric(float64(responseBytes)/float64(n), "B/answer")
			})
		}
	}
}

func renewal(session, sequence, backends uint64, busy bool) *wire.RenewRequest {
	req := &wire.RenewRequest{Session: session, Sequence: sequence, Term: 1, BackendsVersion: backends}
	if !busy {
		return req
	}
	// Half a second of 35 requests a second: some adapters and customers changed, and 5 backend
	// servers were announced.
	for a := range 12 {
		req.Demands = append(req.Demands, &wire.AdapterDemand{
			Adapter: fmt.Sprintf("summary-%d@3", (int(session)*7+a)%20000), BaseModel: "base", Started: 1, Running: 1,
		})
	}
	for k := range 6 {
		req.Customers = append(req.Customers, &wire.CustomerDemand{Customer: fmt.Sprintf("customer-%d", k), Held: 4, Wanted: 3})
	}
	for e := range 5 {
		req.Announced = append(req.Announced, engineNumber((int(session)*5+e)%18))
	}
	return req
}
