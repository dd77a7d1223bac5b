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

// operation is what an operator did: a change from a version, or a read.
type operation struct {
	read bool
	base uint64
}

// outcome is what the operator learned. Unknown changes may have taken effect.
type outcome struct {
	unknown bool
	won     bool
	version uint64
}

// model is a contract whose version a change raises only from the one that it was
// made from.
func model() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return uint64(1) },
		Step: func(state, input, output any) (bool, any) {
			version, in, out := state.(uint64), input.(operation), output.(outcome)
			switch {
			case in.read:
				return out.unknown || out.version == version, version
			case version != in.base:
				return out.unknown || !out.won, version
			case out.unknown:
				return true, version + 1
			}
			return out.won && out.version == version+1, version + 1
		},
	}
}

// operators race each other and resend what they have lost the answer to.
type operators struct {
	y       *system
	stop    chan struct{}
	all     sync.WaitGroup
	mu      sync.Mutex
	history []porcupine.Operation
	version uint64
	won     int
}

func startOperators(y *system, n int) *operators {
	o := &operators{y: y, stop: make(chan struct{}), version: 1}
	for i := range n {
		o.all.Add(1)
		go o.run(i)
	}
	return o
}

func (o *operators) run(who int) {
	defer o.all.Done()
	for n := 0; ; n++ {
		select {
		case <-o.stop:
			return
		default:
		}
		if n%3 == 2 {
			o.read(who)
		} else {
			o.change(who, n)
		}
		<-time.After(10 * time.Millisecond)
	}
}

func (o *operators) change(who, n int) {
	o.mu.Lock()
	base := o.version
	o.mu.Unlock()
	k := o.y.contract()
	k.QueueLength = uint32(100 + base)
	req := &wire.ApplyRequest{ChangeId: fmt.Sprintf("race-%d-%d", who, n), BaseVersion: base, Contract: k}
	call := time.Now().UnixNano()
	out := outcome{unknown: true}
	for try := 0; try < 20 && out.unknown; try++ {
		at := (who + try) % len(o.y.controllers)
		res, err := o.y.operatorAt(at).Apply(o.y.ctx(), req)
		if err != nil {
			<-time.After(50 * time.Millisecond)
			continue
		}
		out = outcome{won: !res.GetConflict(), version: res.GetContract().GetVersion()}
	}
	o.add(who, operation{base: base}, out, call)
}

func (o *operators) read(who int) {
	call := time.Now().UnixNano()
	res, err := o.y.operatorAt(who%len(o.y.controllers)).Get(o.y.ctx(), &wire.GetRequest{Customer: customer})
	if err == nil {
		o.add(who, operation{read: true}, outcome{version: res.GetContract().GetVersion()}, call)
	}
}

func (o *operators) add(who int, in operation, out outcome, call int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, porcupine.Operation{
		ClientId: who, Input: in, Output: out, Call: call, Return: time.Now().UnixNano(),
	})
	o.version = max(o.version, out.version)
	if out.won {
		o.won++
	}
}

func (o *operators) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.won
}

func (o *operators) reach(c *qt.C, more int) {
	want := o.count() + more
	eventually(c, fmt.Sprintf("%d more changes win", more), func() bool { return o.count() >= want })
}

// check ends the race and checks the history.
func (o *operators) check(c *qt.C) {
	close(o.stop)
	o.all.Wait()
	end := time.Now().UnixNano()
	for i := range o.history {
		if o.history[i].Output.(outcome).unknown {
			o.history[i].Return = end
		}
	}
	c.Logf("%d operations, %d changes won", len(o.history), o.won)
	c.Assert(porcupine.CheckOperations(model(), o.history), qt.IsTrue)
}

func TestRacingOperators(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, shape{controllers: 3, gateways: 2, engines: 1, slots: 2})
	o := startOperators(y, 6)
	o.reach(c, 100)
	// The leader is killed, and another is frozen for long, as by a silent partition.
	leader := y.leader()
	y.controllers[leader].kill()
	o.reach(c, 100)
	y.controllers[leader].start()
	eventually(c, "the lost leader is back", func() bool { return y.reports(leader) })
	leader = y.leader()
	y.controllers[leader].freeze()
	o.reach(c, 100)
	y.controllers[leader].thaw()
	o.reach(c, 50)
	// A planned stop hands over.
	leader = y.leader()
	y.controllers[leader].stop()
	o.reach(c, 50)
	y.controllers[leader].start()
	o.check(c)
}

// reports tells whether a controller answers by itself.
func (y *system) reports(i int) bool {
	_, err := y.operatorAt(i).Members(y.ctx(), &wire.MembersRequest{})
	return err == nil
}

func TestLostDisksOneAfterTheOther(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, shape{controllers: 3, gateways: 1, engines: 1, slots: 2})
	o := startOperators(y, 3)
	o.reach(c, 250) // more than one snapshot
	for round := range 3 {
		// Right after one repair the next instance is lost, whichever leads.
		y.loseDisk(round)
		o.reach(c, 20)
		eventually(c, "three voters again", func() bool {
			res, err := y.operator().Members(y.ctx(), &wire.MembersRequest{})
			return err == nil && len(res.GetConfiguration().GetVoters()) == 3 && len(res.GetConfiguration().GetLearners()) == 0 &&
				y.replaced(res.GetConfiguration(), round)
		})
	}
	o.check(c)
	// All processes end at once and come back to the present.
	want := o.latest(c)
	for _, p := range y.controllers {
		p.kill()
	}
	for _, p := range y.controllers {
		p.start()
	}
	eventually(c, "the controllers are back", func() bool { return y.leader() >= 0 })
	c.Assert(o.latest(c), qt.Equals, want)
}

func (o *operators) latest(c *qt.C) uint64 {
	var version uint64
	eventually(c, "the contract is read", func() bool {
		res, err := o.y.operator().Get(o.y.ctx(), &wire.GetRequest{Customer: customer})
		version = res.GetContract().GetVersion()
		return err == nil
	})
	return version
}

// loseDisk kills a controller and lets it come back with an empty folder.
func (y *system) loseDisk(i int) {
	y.controllers[i].kill()
	y.c.Assert(os.Rename(y.path(fmt.Sprintf("control-%d", i)), y.path(fmt.Sprintf("lost-%d", i))), qt.IsNil)
	y.controllers[i].start()
}

// replaced tells whether a voter has another incarnation than its lost disk had.
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
	y := startSystem(c, shape{controllers: 3, gateways: 1, engines: 1, slots: 2})
	removed := fmt.Sprintf("control-%d", y.leader())
	eventually(c, "the removal is taken", func() bool {
		_, err := y.operator().RemoveMember(y.ctx(), &wire.MemberRequest{Name: removed})
		return err == nil
	})
	eventually(c, "the others go on without it", func() bool {
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
	y := startSystem(c, shape{controllers: 3, gateways: 2, engines: 1, slots: 3})
	k := y.contract()
	without := proto.CloneOf(k)
	without.Adapters = without.Adapters[1:]
	// One gateway can't hear of the change; within its lease it serves nobody.
	for _, cable := range y.cables[1] {
		cable.pull()
	}
	y.apply(without)
	c.Assert(y.complete(0, "proof-0@1", false).status, qt.Equals, http.StatusNotFound)
	cut := y.complete(1, "proof-0@1", false)
	c.Assert(cut.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf(cut.body))
	c.Assert(cut.ran(), qt.Equals, "no")
	c.Assert(y.call(1, http.MethodGet, "/readyz", "", "").status, qt.Equals, http.StatusServiceUnavailable)
	// When the cable is back it serves by the present contract, not the past one.
	for _, cable := range y.cables[1] {
		cable.plug()
	}
	eventually(c, "the gateway is ready again", func() bool {
		return y.call(1, http.MethodGet, "/readyz", "", "").status == http.StatusOK
	})
	c.Assert(y.complete(1, "proof-0@1", false).status, qt.Equals, http.StatusNotFound)
	// A restart of everything does not bring the past back either.
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

func TestWhoeverHasNoKeyLearnsNothing(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, shape{controllers: 1, gateways: 1, engines: 1, slots: 2})
	paths := map[string]string{
		"a contract":      "http://" + y.controllerAt[0] + "/twirp/bronzelead.wire.Operator/List",
		"a claim":         "http://" + y.controllerAt[0] + "/twirp/bronzelead.wire.Control/Claim",
		"a member":        "http://" + y.controllerAt[0] + "/twirp/bronzelead.wire.Peer/Join",
		"an announcement": "http://" + y.gatewayAt[0] + "/backends/announce",
		"a completion":    "http://" + y.gatewayAt[0] + "/v1/completions",
		"an order":        "http://" + y.gatewayAt[0] + "/services/orders/new",
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
