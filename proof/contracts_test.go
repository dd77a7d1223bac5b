package proof

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

func unmarshal(text string, target any) error { return json.Unmarshal([]byte(text), target) }

// operation is an operator's request: a change based on a version, or a read.
type operation struct {
	read bool
	base uint64
}

// outcome is the result that an operator received. An unknown change may have taken effect.
type outcome struct {
	unknown   bool
	committed bool
	version   uint64
}

// contractModel models a contract whose version increases only by a change that is based on the
// current version.
func contractModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return uint64(1) },
		Step: func(state, input, output any) (bool, any) {
			version, in, out := state.(uint64), input.(operation), output.(outcome)
			switch {
			case in.read:
				return out.unknown || out.version == version, version
			case version != in.base:
				return out.unknown || !out.committed, version
			case out.unknown:
				return true, version + 1
			}
			return out.committed && out.version == version+1, version + 1
		},
	}
}

// operators make concurrent changes and resend those whose answers were lost.
type operators struct {
	y         *system
	stop      chan struct{}
	workers   sync.WaitGroup
	mu        sync.Mutex
	history   []porcupine.Operation
	version   uint64
	committed int
}

func startOperators(y *system, n int) *operators {
	o := &operators{y: y, stop: make(chan struct{}), version: 1}
	for i := range n {
		o.workers.Add(1)
		go o.run(i)
	}
	return o
}

func (o *operators) run(client int) {
	defer o.workers.Done()
	for n := 0; ; n++ {
		select {
		case <-o.stop:
			return
		default:
		}
		if n%3 == 2 {
			o.read(client)
		} else {
			o.change(client, n)
		}
		<-time.After(10 * time.Millisecond)
	}
}

func (o *operators) change(client, n int) {
	o.mu.Lock()
	base := o.version
	o.mu.Unlock()
	contract := o.y.contract()
	contract.QueueLength = uint32(100 + base)
	req := &wire.ApplyRequest{ChangeId: fmt.Sprintf("race-%d-%d", client, n), BaseVersion: base, Contract: contract}
	call := time.Now().UnixNano()
	out := outcome{unknown: true}
	for attempt := 0; attempt < 20 && out.unknown; attempt++ {
		at := (client + attempt) % len(o.y.controllers)
		res, err := o.y.operatorAt(at).Apply(o.y.ctx(), req)
		if err != nil {
			<-time.After(50 * time.Millisecond)
			continue
		}
		out = outcome{committed: !res.GetConflict(), version: res.GetContract().GetVersion()}
	}
	o.add(client, operation{base: base}, out, call)
}

func (o *operators) read(client int) {
	call := time.Now().UnixNano()
	res, err := o.y.operatorAt(client%len(o.y.controllers)).Get(o.y.ctx(), &wire.GetRequest{Customer: customer})
	if err == nil {
		o.add(client, operation{read: true}, outcome{version: res.GetContract().GetVersion()}, call)
	}
}

func (o *operators) add(client int, in operation, out outcome, call int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, porcupine.Operation{
		ClientId: client, Input: in, Output: out, Call: call, Return: time.Now().UnixNano(),
	})
	o.version = max(o.version, out.version)
	if out.committed {
		o.committed++
	}
}

func (o *operators) committedCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.committed
}

func (o *operators) waitCommitted(c *qt.C, more int) {
	target := o.committedCount() + more
	eventually(c, fmt.Sprintf("%d more changes are committed", more), func() bool { return o.committedCount() >= target })
}

// check stops the operators and checks the history for linearizability.
func (o *operators) check(c *qt.C) {
	close(o.stop)
	o.workers.Wait()
	end := time.Now().UnixNano()
	for i := range o.history {
		if o.history[i].Output.(outcome).unknown {
			o.history[i].Return = end
		}
	}
	c.Logf("%d operations, %d changes committed", len(o.history), o.committed)
	c.Assert(porcupine.CheckOperations(contractModel(), o.history), qt.IsTrue)
}

func TestRacingOperators(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, systemConfig{controllers: 3, gateways: 2, engines: 1, slots: 2})
	o := startOperators(y, 6)
	o.waitCommitted(c, 100)
	// The leader is killed; the next one is then frozen, which looks like a silent partition.
	leader := y.leader()
	y.controllers[leader].kill()
	o.waitCommitted(c, 100)
	y.controllers[leader].start()
	eventually(c, "the killed leader responds again", func() bool { return y.responds(leader) })
	leader = y.leader()
	y.controllers[leader].freeze()
	o.waitCommitted(c, 100)
	y.controllers[leader].thaw()
	o.waitCommitted(c, 50)
	// A planned stop transfers leadership.
	leader = y.leader()
	y.controllers[leader].stop()
	o.waitCommitted(c, 50)
	y.controllers[leader].start()
	o.check(c)
}

// responds reports whether a controller itself answers.
func (y *system) responds(i int) bool {
	_, err := y.operatorAt(i).Members(y.ctx(), &wire.MembersRequest{})
	return err == nil
}

func TestSequentialDiskLosses(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, systemConfig{controllers: 3, gateways: 1, engines: 1, slots: 2})
	o := startOperators(y, 3)
	o.waitCommitted(c, 250) // More than one snapshot.
	for round := range 3 {
		// The next instance loses its disk right after the last repair, whether it leads or
		// not.
		y.loseDisk(round)
		o.waitCommitted(c, 20)
		eventually(c, "the lost controller is replaced by a new voter", func() bool {
			res, err := y.operator().Members(y.ctx(), &wire.MembersRequest{})
			return err == nil && len(res.GetConfiguration().GetVoters()) == 3 && len(res.GetConfiguration().GetLearners()) == 0 &&
				y.replaced(res.GetConfiguration(), round)
		})
	}
	o.check(c)
	// All controllers are killed at once and must recover the latest version.
	want := o.currentVersion(c)
	for _, p := range y.controllers {
		p.kill()
	}
	for _, p := range y.controllers {
		p.start()
	}
	eventually(c, "a leader is elected", func() bool { return y.leader() >= 0 })
	c.Assert(o.currentVersion(c), qt.Equals, want)
}

func (o *operators) currentVersion(c *qt.C) uint64 {
	var version uint64
	eventually(c, "the contract is read", func() bool {
		res, err := o.y.operator().Get(o.y.ctx(), &wire.GetRequest{Customer: customer})
		version = res.GetContract().GetVersion()
		return err == nil
	})
	return version
}

// loseDisk kills a controller and restarts it with an empty data folder.
func (y *system) loseDisk(i int) {
	y.controllers[i].kill()
	y.c.Assert(os.Rename(y.path(fmt.Sprintf("control-%d", i)), y.path(fmt.Sprintf("lost-%d", i))), qt.IsNil)
	y.controllers[i].start()
}

// replaced reports whether the controller votes under another identity than its lost disk had.
func (y *system) replaced(config *wire.Configuration, i int) bool {
	lost, err := os.ReadFile(y.path(fmt.Sprintf("lost-%d/Identity", i)))
	y.c.Assert(err, qt.IsNil)
	now, err := os.ReadFile(y.path(fmt.Sprintf("control-%d/Identity", i)))
	if err != nil || string(now) == string(lost) {
		return false
	}
	for _, m := range config.GetVoters() {
		if m.GetName() == fmt.Sprintf("control-%d", i) && !contains(lost, m.GetId()) {
			return true
		}
	}
	return false
}

func TestRemovingTheLeader(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, systemConfig{controllers: 3, gateways: 1, engines: 1, slots: 2})
	removed := fmt.Sprintf("control-%d", y.leader())
	eventually(c, "the removal is accepted", func() bool {
		_, err := y.operator().RemoveMember(y.ctx(), &wire.MemberRequest{Name: removed})
		return err == nil
	})
	eventually(c, "the other two are the voters", func() bool {
		res, err := y.operator().Members(y.ctx(), &wire.MembersRequest{})
		voters := res.GetConfiguration().GetVoters()
		return err == nil && len(voters) == 2 && voters[0].GetName() != removed && voters[1].GetName() != removed
	})
	y.apply(y.contract())
	c.Assert(y.complete(0, "proof-0@1", false).status, qt.Equals, http.StatusOK)
}

func TestChangeIsInForceAndStays(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, systemConfig{controllers: 3, gateways: 2, engines: 1, slots: 3})
	contract := y.contract()
	without := proto.CloneOf(contract)
	without.Adapters = without.Adapters[1:]
	// One gateway can't receive the change; once its lease expires it refuses all requests.
	for _, proxy := range y.controllerProxies[1] {
		proxy.partition()
	}
	y.apply(without)
	c.Assert(y.complete(0, "proof-0@1", false).status, qt.Equals, http.StatusNotFound)
	partitioned := y.complete(1, "proof-0@1", false)
	c.Assert(partitioned.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf(partitioned.body))
	c.Assert(partitioned.ran(), qt.Equals, "no")
	c.Assert(y.call(1, http.MethodGet, "/readyz", "", "").status, qt.Equals, http.StatusServiceUnavailable)
	// After the partition heals it serves by the current contract, not the old one.
	for _, proxy := range y.controllerProxies[1] {
		proxy.heal()
	}
	eventually(c, "the gateway is ready again", func() bool {
		return y.call(1, http.MethodGet, "/readyz", "", "").status == http.StatusOK
	})
	c.Assert(y.complete(1, "proof-0@1", false).status, qt.Equals, http.StatusNotFound)
	// A restart of all controllers and gateways does not bring back the old contract either.
	for _, p := range append(y.controllers, y.gateways...) {
		p.kill()
	}
	for _, p := range append(y.controllers, y.gateways...) {
		p.start()
	}
	for i := range y.gateways {
		eventually(c, "the gateway is ready again", func() bool {
			return y.call(i, http.MethodGet, "/readyz", "", "").status == http.StatusOK
		})
		c.Assert(y.complete(i, "proof-0@1", false).status, qt.Equals, http.StatusNotFound)
	}
}

func TestRequestsWithoutValidKeyAreRejected(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, systemConfig{controllers: 1, gateways: 1, engines: 1, slots: 2})
	paths := map[string]string{
		"a contract":      "http://" + y.controllerAddrs[0] + "/twirp/bronzelead.wire.Operator/List",
		"a claim":         "http://" + y.controllerAddrs[0] + "/twirp/bronzelead.wire.Control/Claim",
		"a member":        "http://" + y.controllerAddrs[0] + "/twirp/bronzelead.wire.Peer/Join",
		"an announcement": "http://" + y.gatewayAddrs[0] + "/backends/announce",
		"a completion":    "http://" + y.gatewayAddrs[0] + "/v1/completions",
		"an order":        "http://" + y.gatewayAddrs[0] + "/services/orders/new",
	}
	for name, url := range paths {
		for _, key := range []string{"", "wrong", customerKey + "x"} {
			req, err := http.NewRequest(http.MethodPost, url, nil)
			c.Assert(err, qt.IsNil)
			if key != "" {
				req.Header.Set("Authorization", "Bearer "+key)
			}
			res, err := y.client.Do(req)
			c.Assert(err, qt.IsNil)
			_ = res.Body.Close()
			c.Assert(res.StatusCode, qt.Equals, http.StatusUnauthorized, qt.Commentf("%s with key %q", name, key))
		}
	}
	c.Assert(y.serviceRuns(), qt.HasLen, 0)
}
