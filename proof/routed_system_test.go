package proof

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"
)

// seeds is the number of controllers that bootstrap a cluster.
const seeds = 3

// routedSystem is a complete bronzelead in routed mode: controllers and gateways as separate
// processes; callers, an operator and backend servers inside the test process.
type routedSystem struct {
	c           *qt.C
	folder      string
	port        string
	seedAddrs   []string
	controllers []*instance
	gateways    []*instance
	backends    []*fakeBackend
	// crashing are the backend servers that crash when they run the fatal request.
	crashing *crashingBackends
	operator *fakeOperator
	history  *history
	launched int
	// budgetWindow is the window of the gateways' retry budget.
	budgetWindow time.Duration
	// programs is the folder of the programs; empty for those with the race detector.
	programs string
	// gatewayResources and controllerResources are further settings of their instances.
	gatewayResources, controllerResources string
}

// instance is a controller or gateway process with its own addresses.
type instance struct {
	*process
	ip string
	// address is where a gateway serves callers, or a controller operators.
	address string
	// health is the address of a gateway's readiness check, mesh the address for calls between instances.
	health, mesh string
	data         string
	// restarts counts the restarts.
	restarts atomic.Int32
}

func startRouted(c *qt.C, controllers, gateways, backends int) *routedSystem {
	y := startWithoutBackends(c, controllers, gateways)
	for i := range backends {
		y.backends = append(y.backends, startBackend(y, fmt.Sprintf("b%d", i)))
	}
	y.initialize()
	return y
}

// startWithoutBackends starts a system without backend servers.
func startWithoutBackends(c *qt.C, controllers, gateways int) *routedSystem {
	return startWithBudget(c, controllers, gateways, budgetWindow)
}

// startWithBudget is startWithoutBackends with another window of the retry budget.
func startWithBudget(c *qt.C, controllers, gateways int, window time.Duration) *routedSystem {
	y := &routedSystem{c: c, budgetWindow: window}
	y.start(controllers, gateways)
	return y
}

// start starts the processes of a system whose other fields are set.
func (y *routedSystem) start(controllers, gateways int) {
	c := y.c
	y.folder, y.history = c.TempDir(), newHistory()
	_, y.port, _ = net.SplitHostPort(freeAddress(c))
	c.Cleanup(y.cleanUp)
	var controllerAddrs []string
	for range controllers {
		controllerAddrs = append(controllerAddrs, y.freeAddress())
	}
	y.seedAddrs = controllerAddrs[:seeds]
	for _, addr := range controllerAddrs {
		y.controllers = append(y.controllers, y.startController(addr, true))
	}
	for range gateways {
		y.gateways = append(y.gateways, y.startGateway())
	}
	y.operator = newOperator(y)
}

// initialize puts a first table into force and waits until all controllers vote and all gateways
// serve by it.
func (y *routedSystem) initialize() {
	y.operator.putTable()
	eventually(y.c, "all controllers vote", y.allVote)
	y.waitServing()
}

// freeAddress returns an address for an instance. Its port differs from the one for calls between
// instances, on which the instance listens at the same IP address.
func (y *routedSystem) freeAddress() string {
	for {
		address := freeAddress(y.c)
		if _, port, _ := net.SplitHostPort(address); port != y.port {
			return address
		}
	}
}

func (y *routedSystem) path(name string) string { return filepath.Join(y.folder, name) }

func (y *routedSystem) launch(program, addr, settings string) *instance {
	y.launched++
	ip, _, _ := net.SplitHostPort(addr)
	name := fmt.Sprintf("%s-%d", program, y.launched)
	health := freeAddress(y.c)
	n := &instance{ip: ip, address: addr, health: health, mesh: net.JoinHostPort(ip, y.port), data: y.path(name)}
	settings = strings.NewReplacer("{Name}", name, "{IP}", ip, "{At}", addr, "{Port}", y.port, "{Data}", n.data,
		"{Health}", health, "{Seeds}", strings.Join(y.seedAddrs, ", ")).Replace(settings)
	y.c.Assert(os.WriteFile(y.path(name+".ini"), []byte(settings), 0o600), qt.IsNil)
	n.process = &process{c: y.c, name: name, args: []string{program, "run-routed", y.path(name + ".ini")}, log: y.path(name + ".log"), folder: y.programs}
	n.start()
	return n
}

func (y *routedSystem) startController(addr string, bootstrap bool) *instance {
	return y.launch("controller", addr, fmt.Sprintf(`[Instance]
Name = {Name}
Zone = z
IP = {IP}
Port = {Port}
Control = {At}
%s[Data]
Folder = {Data}
SnapshotEvery = 40
[Members]
Seeds = {Seeds}
Bootstrap = %t
[Timing]
Announcements = %s
[Limits]
Window = 4s
Overage = 0.1
Slack = 60
`, y.controllerResources, bootstrap, announceInterval))
}

func (y *routedSystem) startGateway() *instance {
	return y.launch("gateway", y.freeAddress(), fmt.Sprintf(`[Instance]
Name = {Name}
Zone = z
Listen = {At}
Health = {Health}
%s[Controllers]
Seeds = {Seeds}
Port = {Port}
[Budget]
Window = %s
[Stop]
Grace = 4s
Take = 500ms
Drain = 1s
`, y.gatewayResources, y.budgetWindow))
}

// label returns the name of an instance, or "" for none.
func (n *instance) label() string {
	if n == nil {
		return ""
	}
	return n.name
}

// restart waits until a process has exited and starts it again.
func (n *instance) restart() {
	n.wait()
	n.restarts.Add(1)
	n.start()
}

// loseDisks kills controllers and restarts them with empty disks.
func (y *routedSystem) loseDisks(nodes ...*instance) {
	for _, n := range nodes {
		n.kill()
		y.wipe(n)
		n.restart()
	}
}

// wipe deletes a stopped controller's data. On its restart it joins and does not bootstrap.
func (y *routedSystem) wipe(n *instance) {
	y.c.Assert(os.RemoveAll(n.data), qt.IsNil)
	file := y.path(n.name + ".ini")
	text, err := os.ReadFile(file)
	y.c.Assert(err, qt.IsNil)
	text = bytes.Replace(text, []byte("Bootstrap = true"), []byte("Bootstrap = false"), 1)
	y.c.Assert(os.WriteFile(file, text, 0o600), qt.IsNil)
}

// replace removes a controller for good and starts an empty one at another address.
func (y *routedSystem) replace(i int) {
	y.controllers[i].kill()
	y.controllers[i] = y.startController(y.freeAddress(), false)
}

func (y *routedSystem) cleanUp() {
	for _, n := range append(y.controllers, y.gateways...) {
		n.cleanUp()
	}
	if !y.c.Failed() {
		return
	}
	logs, _ := filepath.Glob(y.path("*.log"))
	for _, log := range logs {
		text, _ := os.ReadFile(log)
		y.c.Logf("%s:\n%s", filepath.Base(log), lastBytes(text, 400000))
	}
}

// logLine holds the fields that the tests read from the programs' logs.
type logLine struct {
	Time    string `json:"time"`
	Message string `json:"msg"`
	Member  string
	Voters  []string
	// AsksControllers is set in the lines in which a gateway logs its update path.
	AsksControllers *bool
}

func (y *routedSystem) readLog(n *instance) []logLine {
	text, err := os.ReadFile(n.log)
	y.c.Assert(err, qt.IsNil)
	var lines []logLine
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var line logLine
		if json.Unmarshal(scanner.Bytes(), &line) == nil {
			lines = append(lines, line)
		}
	}
	return lines
}

// allVote reports whether the voters are exactly the running controllers.
func (y *routedSystem) allVote() bool {
	newest := logLine{}
	members := map[string]bool{}
	for _, n := range y.controllers {
		member, runs := "", int32(0)
		for _, line := range y.readLog(n) {
			if line.Member != "" {
				member = line.Member
				runs++
			}
			if line.Voters != nil && line.Time > newest.Time {
				newest = line
			}
		}
		if runs <= n.restarts.Load() {
			// Its latest run has not logged its member id yet.
			return false
		}
		members[member] = true
	}
	if newest.Voters == nil {
		// Until a configuration is logged, the bootstrapping controllers are the voters.
		return len(y.controllers) == seeds
	}
	for _, voter := range newest.Voters {
		if !members[voter] {
			return false
		}
	}
	return len(newest.Voters) == len(y.controllers)
}

// waitServing waits until each gateway serves by the newest table.
func (y *routedSystem) waitServing() { y.waitServingAt(y.gateways) }

func (y *routedSystem) waitServingAt(gateways []*instance) {
	newest := y.operator.acknowledged.Load()
	for _, n := range gateways {
		eventually(y.c, n.name+" serves by the newest table", func() bool {
			caller := newCaller(y, "wait-"+n.name, n)
			defer caller.disconnect()
			return caller.send(markerPath(newest)).status == 200
		})
	}
}
