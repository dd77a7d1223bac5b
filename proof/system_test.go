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

// systemConfig describes the processes of a system.
type systemConfig struct {
	controllers int
	gateways    int
	engines     int
	slots       int
	// crashOn is a text in requests that crashes the engines that run them; "" for none.
	crashOn string
	// programs is the folder of the programs; empty for those with the race detector.
	programs string
	// ignoreFencing makes engines accept orders with old fencing numbers.
	ignoreFencing bool
	// stopWithin is StopWithin of the gateways; 0 for the default.
	stopWithin time.Duration
}

// system is a complete bronzelead of separate processes, connected by proxies.
type system struct {
	c           *qt.C
	folder      string
	controllers []*process
	gateways    []*process
	engines     []*process
	service     *process
	store       *process
	// Listen addresses, by index.
	controllerAddrs, gatewayAddrs, engineAddrs []string
	serviceAddr                                string
	// controllerProxies[i][j] connects gateway i to controller j; engineProxies[i] leads to
	// engine i.
	controllerProxies [][]*tcpProxy
	engineProxies     []*tcpProxy
	client            *http.Client
	version           uint64
	programs          string
	// requestSettings are further settings of the gateways' requests.
	requestSettings string
}

// startSystem starts all processes, applies a contract and waits until each gateway serves.
func startSystem(c *qt.C, s systemConfig) *system {
	y := &system{c: c, folder: c.TempDir(), programs: s.programs, client: &http.Client{Transport: connector.NewTransport(nil)}}
	if s.stopWithin > 0 {
		y.requestSettings = "StopWithin = " + s.stopWithin.String() + "\n"
	}
	y.write("cluster.key", clusterKey)
	y.write("operators", "tester "+digest(operatorKey))
	y.write("backends", "all "+digest(backendKey))
	y.write("backend.key", backendKey)
	y.write("operator.key", operatorKey)
	c.Cleanup(y.cleanUp)
	storeAddr := freeAddress(c)
	for range s.controllers {
		y.controllerAddrs = append(y.controllerAddrs, freeAddress(c))
	}
	for range s.gateways {
		y.gatewayAddrs = append(y.gatewayAddrs, freeAddress(c))
	}
	y.store = y.process("store", "standin", "store", "--listen", storeAddr, "--per-second", "20", "--takes", "50ms")
	for i := range s.controllers {
		y.addController(i, storeAddr)
	}
	for i := range s.gateways {
		y.addGateway(i)
	}
	for i := range s.engines {
		y.addEngine(i, s)
	}
	y.serviceAddr = freeAddress(c)
	y.service = y.process("service", "standin", "service", "--name", "orders-1", "--zone", "sala-sur", "--service", "orders",
		"--listen", y.serviceAddr, "--gateways", strings.Join(y.gatewayAddrs, ","), "--key-file", y.path("backend.key"),
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
	p := &process{c: y.c, name: name, args: args, log: y.path(name + ".log"), folder: y.programs}
	p.start()
	return p
}

func (y *system) addController(i int, storeAddr string) {
	name := fmt.Sprintf("control-%d", i)
	names := make([]string, len(y.controllerAddrs))
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
`, name, i, y.controllerAddrs[i], y.path(name), strings.Join(names, ", "), strings.Join(y.controllerAddrs, ", "),
		y.path("cluster.key"), y.path("operators"), storeAddr))
	if i == 0 {
		y.process("init", "controller", "init", y.path(name+".ini")).wait()
	}
	y.controllers = append(y.controllers, y.process(name, "controller", "run", y.path(name+".ini")))
}

func (p *process) wait() { <-p.done }

func (y *system) addGateway(i int) {
	name := fmt.Sprintf("entry-%d", i)
	var proxies []*tcpProxy
	var proxyAddrs []string
	for _, address := range y.controllerAddrs {
		proxy := newTCPProxy(y.c, address)
		proxies = append(proxies, proxy)
		proxyAddrs = append(proxyAddrs, proxy.address)
	}
	y.controllerProxies = append(y.controllerProxies, proxies)
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
%s[Policy]
IdleLease = 2s
`, name, i, y.gatewayAddrs[i], strings.Join(proxyAddrs, ", "), y.path("cluster.key"), y.path("backends"), y.path("operators"), y.requestSettings))
	y.gateways = append(y.gateways, y.process(name, "gateway", "run", y.path(name+".ini")))
}

func (y *system) addEngine(i int, s systemConfig) {
	addr := freeAddress(y.c)
	proxy := newTCPProxy(y.c, addr)
	y.engineAddrs = append(y.engineAddrs, addr)
	y.engineProxies = append(y.engineProxies, proxy)
	args := []string{
		"standin", "engine", "--name", fmt.Sprintf("engine-%d", i), "--zone", fmt.Sprintf("zone-%d", i%3),
		"--listen", addr, "--address", proxy.address, "--gateways", strings.Join(y.gatewayAddrs, ","),
		"--key-file", y.path("backend.key"), "--every", "200ms", "--leave", "8s",
		"--slots", fmt.Sprint(s.slots), "--step", "10ms",
	}
	if s.ignoreFencing {
		args = append(args, "--ignore-fencing")
	}
	if s.crashOn != "" {
		args = append(args, "--end-on", s.crashOn)
	}
	y.engines = append(y.engines, y.process(fmt.Sprintf("engine-%d", i), args...))
}

func (y *system) cleanUp() {
	all := append(append(append([]*process{y.service, y.store}, y.gateways...), y.engines...), y.controllers...)
	for _, p := range all {
		if p != nil {
			p.cleanUp()
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

// waitReady waits until all controllers are voters, the contract is in force and each gateway
// reaches the backend servers.
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

// contract returns the contract that the tests use.
func (y *system) contract() *wire.Contract {
	contract := &wire.Contract{
		Customer: customer, RequestsAtOnce: 64, QueueLength: 500,
		DeadlineNs: int64(20 * time.Second), KeepKeysNs: int64(time.Hour),
		Classes:  []*wire.ClassTerms{{Name: "counter", Priority: 10}},
		Services: []*wire.ServiceTerms{{Name: "orders", Class: "counter", NonIdempotentMethods: []string{"POST"}}},
		Keys:     []*wire.KeyTerms{{Name: "test", Digest: digest(customerKey)}},
	}
	for i := range 40 {
		contract.Adapters = append(contract.Adapters, &wire.AdapterTerms{
			Name: fmt.Sprintf("proof-%d", i), BaseModel: "base", Versions: []string{"1", "2"}, Class: "counter",
		})
	}
	return contract
}

// apply applies a contract and waits until it is in force everywhere.
func (y *system) apply(contract *wire.Contract) {
	var revision uint64
	change := fmt.Sprintf("change-%d", time.Now().UnixNano())
	eventually(y.c, "the contract is accepted", func() bool {
		res, err := y.operator().Apply(y.ctx(), &wire.ApplyRequest{ChangeId: change, BaseVersion: y.version, Contract: contract})
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

// operator returns a client of the first controller that answers.
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
	return wire.NewOperatorProtobufClient("http://"+y.controllerAddrs[i], &connector.Client{
		Timeout: time.Second, Key: operatorKey, Transport: connector.NewTransport(nil),
	})
}

// leader returns the index of the leading controller, or -1.
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

// injectFault makes a stand-in misbehave.
func (y *system) injectFault(address, body string) {
	res, err := http.Post("http://"+address+"/control/fault", "application/json", strings.NewReader(body))
	y.c.Assert(err, qt.IsNil)
	_ = res.Body.Close()
}

// engineLog returns what an engine has run, loaded and unloaded.
func (y *system) engineLog(i int) []engineEntry {
	log := struct{ Entries []engineEntry }{}
	y.readLog(y.engineAddrs[i], &log)
	return log.Entries
}

type engineEntry struct {
	At        time.Time
	What      string
	RequestID string
	Adapter   string
}

// serviceRuns counts the runs of each POST body at the plain service.
func (y *system) serviceRuns() map[string]int {
	var runs []struct{ Method, Body string }
	y.readLog(y.serviceAddr, &runs)
	counts := map[string]int{}
	for _, r := range runs {
		if r.Method == http.MethodPost {
			counts[r.Body]++
		}
	}
	return counts
}

func (y *system) readLog(address string, target any) {
	res, err := http.Get("http://" + address + "/control/log")
	y.c.Assert(err, qt.IsNil)
	defer func() { _ = res.Body.Close() }()
	y.c.Assert(json.NewDecoder(res.Body).Decode(target), qt.IsNil)
}

// raceReports returns the race detector's reports in which at least one of the two accesses is
// in bronzelead's code. The HTTP library passes connections between goroutines through the
// kernel's epoll, which the detector can't see.
func raceReports(log []byte) []string {
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
