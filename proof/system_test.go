package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/wire"
)

const (
	clusterKey  = "cluster-key"
	operatorKey = "operator-key"
	backendKey  = "backend-key"
	customerKey = "customer-key"
	customer    = "volantes"
)

// shape says what a system is made of.
type shape struct {
	controllers int
	gateways    int
	engines     int
	slots       int
	// endOn is a text in a request under which engines end; "" is none.
	endOn string
	// ignoreFencing lets engines take orders with old numbers.
	ignoreFencing bool
}

// system is a whole bronzelead of separate processes, with cables between them.
type system struct {
	c           *qt.C
	folder      string
	controllers []*process
	gateways    []*process
	engines     []*process
	service     *process
	store       *process
	// addresses by position, as the parts listen.
	controllerAt, gatewayAt, engineAt []string
	serviceAt                         string
	// cables[i][j] leads from gateway i to controller j; toEngine[i] to engine i.
	cables   [][]*link
	toEngine []*link
	client   *http.Client
	version  uint64
}

// startSystem starts everything, puts a contract into force and waits until each
// gateway serves.
func startSystem(c *qt.C, s shape) *system {
	y := &system{c: c, folder: c.TempDir(), client: &http.Client{Transport: connector.NewTransport(nil)}}
	y.write("cluster.key", clusterKey)
	y.write("operators", "tester "+digest(operatorKey))
	y.write("backends", "all "+digest(backendKey))
	y.write("backend.key", backendKey)
	y.write("operator.key", operatorKey)
	c.Cleanup(y.end)
	storeAt := freePort(c)
	for range s.controllers {
		y.controllerAt = append(y.controllerAt, freePort(c))
	}
	for range s.gateways {
		y.gatewayAt = append(y.gatewayAt, freePort(c))
	}
	y.store = y.process("store", "standin", "store", "--listen", storeAt, "--per-second", "20", "--takes", "50ms")
	for i := range s.controllers {
		y.addController(i, storeAt)
	}
	for i := range s.gateways {
		y.addGateway(i)
	}
	for i := range s.engines {
		y.addEngine(i, s)
	}
	y.serviceAt = freePort(c)
	y.service = y.process("service", "standin", "service", "--name", "orders-1", "--zone", "sala-sur", "--service", "orders",
		"--listen", y.serviceAt, "--gateways", strings.Join(y.gatewayAt, ","), "--key-file", y.path("backend.key"),
		"--every", "200ms", "--leave", "3s")
	y.waitReady()
	return y
}

func digest(key string) string { return authenticator.DigestOf(key).String() }

func (y *system) path(name string) string { return filepath.Join(y.folder, name) }

func (y *system) write(name, text string) {
	y.c.Assert(os.WriteFile(y.path(name), []byte(text+"\n"), 0o600), qt.IsNil)
}

func (y *system) process(name string, args ...string) *process {
	p := &process{c: y.c, name: name, args: args, log: y.path(name + ".log")}
	p.start()
	return p
}

func (y *system) addController(i int, storeAt string) {
	name := fmt.Sprintf("control-%d", i)
	names := make([]string, len(y.controllerAt))
	for j := range names {
		names[j] = fmt.Sprintf("control-%d", j)
	}
	y.write(name+".ini", fmt.Sprintf(`[Instance]
Name = %s
Zone = zone-%d
Listen = %s
[Data]
Folder = %s
SnapshotEvery = 200
[Members]
Names = %s
Addresses = %s
[Keys]
ClusterFile = %s
OperatorFile = %s
[Timing]
LongestRequest = 8s
[Engines]
WeightsURL = http://%s/weights/
LoadsPerSecond = 20
LongestOrder = 3s
MinResidence = 200ms
StarveAfter = 300ms
`, name, i, y.controllerAt[i], y.path(name), strings.Join(names, ", "), strings.Join(y.controllerAt, ", "),
		y.path("cluster.key"), y.path("operators"), storeAt))
	if i == 0 {
		y.process("init", "controller", "init", y.path(name+".ini")).wait()
	}
	y.controllers = append(y.controllers, y.process(name, "controller", "run", y.path(name+".ini")))
}

func (p *process) wait() { <-p.done }

func (y *system) addGateway(i int) {
	name := fmt.Sprintf("entry-%d", i)
	var cables []*link
	var through []string
	for _, address := range y.controllerAt {
		cable := newLink(y.c, address)
		cables = append(cables, cable)
		through = append(through, cable.address)
	}
	y.cables = append(y.cables, cables)
	y.write(name+".ini", fmt.Sprintf(`[Instance]
Name = %s
Zone = zone-%d
Listen = %s
[Controllers]
Addresses = %s
RenewEvery = 200ms
[Keys]
ClusterFile = %s
BackendFile = %s
OperatorFile = %s
[Requests]
SilenceAfter = 700ms
StopDelay = 300ms
[Policy]
IdleLease = 2s
`, name, i, y.gatewayAt[i], strings.Join(through, ", "), y.path("cluster.key"), y.path("backends"), y.path("operators")))
	y.gateways = append(y.gateways, y.process(name, "gateway", "run", y.path(name+".ini")))
}

func (y *system) addEngine(i int, s shape) {
	at := freePort(y.c)
	cable := newLink(y.c, at)
	y.engineAt = append(y.engineAt, at)
	y.toEngine = append(y.toEngine, cable)
	args := []string{
		"standin", "engine", "--name", fmt.Sprintf("engine-%d", i), "--zone", fmt.Sprintf("zone-%d", i%3),
		"--listen", at, "--address", cable.address, "--gateways", strings.Join(y.gatewayAt, ","),
		"--key-file", y.path("backend.key"), "--every", "200ms", "--leave", "8s",
		"--slots", fmt.Sprint(s.slots), "--step", "10ms",
	}
	if s.ignoreFencing {
		args = append(args, "--ignore-fencing")
	}
	if s.endOn != "" {
		args = append(args, "--end-on", s.endOn)
	}
	y.engines = append(y.engines, y.process(fmt.Sprintf("engine-%d", i), args...))
}

func (y *system) end() {
	all := append(append(append([]*process{y.service, y.store}, y.gateways...), y.engines...), y.controllers...)
	for _, p := range all {
		if p != nil {
			p.end()
		}
	}
	if y.c.Failed() {
		y.showLogs()
	}
}

func (y *system) showLogs() {
	logs, _ := filepath.Glob(y.path("*.log"))
	for _, log := range logs {
		text, _ := os.ReadFile(log)
		y.c.Logf("%s:\n%s", filepath.Base(log), lastBytes(text, 3000))
	}
}

// waitReady waits until all controllers vote, the contract is in force and each
// gateway reaches the backend servers.
func (y *system) waitReady() {
	eventually(y.c, "all controllers vote", func() bool {
		res, err := y.operator().Members(y.ctx(), &wire.MembersRequest{})
		return err == nil && len(res.GetConfiguration().GetVoters()) == len(y.controllers)
	})
	y.apply(y.contract())
	for i := range y.gateways {
		eventually(y.c, fmt.Sprintf("gateway %d serves", i), func() bool {
			return y.complete(i, "proof-0@1", false).status == http.StatusOK &&
				y.call(i, http.MethodGet, "/services/orders/list", "", "").status == http.StatusOK
		})
	}
}

// contract returns the contract that the tests work with.
func (y *system) contract() *wire.Contract {
	k := &wire.Contract{
		Customer: customer, RequestsAtOnce: 64, QueueLength: 500,
		DeadlineNs: int64(20 * time.Second), KeepKeysNs: int64(time.Hour),
		Classes:  []*wire.ClassTerms{{Name: "counter", Priority: 10}},
		Services: []*wire.ServiceTerms{{Name: "orders", Class: "counter", NonIdempotentMethods: []string{"POST"}}},
		Keys:     []*wire.KeyTerms{{Name: "test", Digest: digest(customerKey)}},
	}
	for i := range 40 {
		k.Adapters = append(k.Adapters, &wire.AdapterTerms{
			Name: fmt.Sprintf("proof-%d", i), BaseModel: "base", Versions: []string{"1", "2"}, Class: "counter",
		})
	}
	return k
}

// apply puts a contract into force and waits until it is so everywhere.
func (y *system) apply(k *wire.Contract) {
	var revision uint64
	change := fmt.Sprintf("change-%d", time.Now().UnixNano())
	eventually(y.c, "the contract is accepted", func() bool {
		res, err := y.operator().Apply(y.ctx(), &wire.ApplyRequest{ChangeId: change, BaseVersion: y.version, Contract: k})
		if err != nil {
			return false
		}
		y.c.Assert(res.GetConflict(), qt.IsFalse)
		revision = res.GetRevision()
		y.version = res.GetContract().GetVersion()
		return true
	})
	eventually(y.c, "the contract is in force", func() bool {
		res, err := y.operator().InForce(y.ctx(), &wire.InForceRequest{Revision: revision})
		return err == nil && res.GetInForce()
	})
}

func (y *system) ctx() context.Context { return context.Background() }

// operator returns a client of whichever controller answers.
func (y *system) operator() wire.Operator {
	for range 2 {
		for i := range y.controllers {
			o := y.operatorAt(i)
			if _, err := o.Members(y.ctx(), &wire.MembersRequest{}); err == nil {
				return o
			}
		}
	}
	return y.operatorAt(0)
}

func (y *system) operatorAt(i int) wire.Operator {
	return wire.NewOperatorProtobufClient("http://"+y.controllerAt[i], &connector.Client{
		Timeout: time.Second, Key: operatorKey, Transport: connector.NewTransport(nil),
	})
}

// leader returns the position of the controller that leads, or -1.
func (y *system) leader() int {
	res, err := y.operator().Members(y.ctx(), &wire.MembersRequest{})
	if err != nil {
		return -1
	}
	for i := range y.controllers {
		if strings.HasPrefix(res.GetLeader(), fmt.Sprintf("control-%d/", i)) {
			return i
		}
	}
	return -1
}

// fault tells a stand-in what to do wrong.
func (y *system) fault(address, body string) {
	res, err := http.Post("http://"+address+"/control/fault", "application/json", strings.NewReader(body))
	y.c.Assert(err, qt.IsNil)
	_ = res.Body.Close()
}

// engineLog reads what an engine ran, loaded and unloaded.
func (y *system) engineLog(i int) []engineEntry {
	log := struct{ Entries []engineEntry }{}
	y.read(y.engineAt[i], &log)
	return log.Entries
}

type engineEntry struct {
	At        time.Time
	What      string
	RequestID string
	Adapter   string
}

// serviceRuns reads the bodies of all requests that the plain service ran.
func (y *system) serviceRuns() map[string]int {
	var runs []struct{ Method, Body string }
	y.read(y.serviceAt, &runs)
	counts := map[string]int{}
	for _, r := range runs {
		if r.Method == http.MethodPost {
			counts[r.Body]++
		}
	}
	return counts
}

func (y *system) read(address string, target any) {
	res, err := http.Get("http://" + address + "/control/log")
	y.c.Assert(err, qt.IsNil)
	defer func() { _ = res.Body.Close() }()
	y.c.Assert(json.NewDecoder(res.Body).Decode(target), qt.IsNil)
}

// races returns the reports of the race detector in which one of the two accesses is
// in bronzelead's code. The HTTP library hands connections from one goroutine to
// another through the kernel's epoll, which the detector can't see.
func races(log []byte) []string {
	var found []string
	for _, report := range strings.Split(string(log), "WARNING: DATA RACE")[1:] {
		accesses, _, _ := strings.Cut(report, "created at:")
		if strings.Contains(accesses, "bronzelead.example/") {
			found = append(found, report[:min(len(report), 3000)])
		}
	}
	return found
}

func lastBytes(text []byte, n int) string { return string(text[max(0, len(text)-n):]) }

func decode(r io.Reader, target any) error { return json.NewDecoder(r).Decode(target) }

func contains(text []byte, part string) bool { return bytes.Contains(text, []byte(part)) }
