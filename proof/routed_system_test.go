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

	qt "github.com/frankban/quicktest"
)

// seeds is the number of controllers that found a cluster.
const seeds = 3

// routedSystem is a whole bronzelead in its routed mode: controllers and gateways as
// separate processes, and callers, an operator and backend servers of the test's own.
type routedSystem struct {
	c           *qt.C
	folder      string
	port        string
	seedAt      []string
	controllers []*instance
	gateways    []*instance
	backends    []*backendStandIn
	// herd are the backend servers that end when they run the fatal request.
	herd     *fragileHerd
	operator *operatorStandIn
	ledger   *ledger
	made     int
}

// instance is one process with addresses of its own.
type instance struct {
	*process
	ip string
	// at is where callers reach a gateway, or operators a controller.
	at   string
	data string
	// lives counts the starts.
	lives atomic.Int32
}

func startRouted(c *qt.C, controllers, gateways, backends int) *routedSystem {
	y := startEmpty(c, controllers, gateways)
	for i := range backends {
		y.backends = append(y.backends, startBackend(y, fmt.Sprintf("b%d", i)))
	}
	y.settle()
	return y
}

// startEmpty starts a system without backend servers.
func startEmpty(c *qt.C, controllers, gateways int) *routedSystem {
	y := &routedSystem{c: c, folder: c.TempDir(), ledger: newLedger()}
	_, y.port, _ = net.SplitHostPort(freePort(c))
	c.Cleanup(y.end)
	var places []string
	for range controllers {
		places = append(places, freePort(c))
	}
	y.seedAt = places[:seeds]
	for _, at := range places {
		y.controllers = append(y.controllers, y.startController(at, true))
	}
	for range gateways {
		y.gateways = append(y.gateways, y.startGateway())
	}
	y.operator = newOperator(y)
	return y
}

// settle puts a first table into force and waits until all is in order.
func (y *routedSystem) settle() {
	y.operator.put()
	eventually(y.c, "all controllers vote", y.settled)
	y.waitServing()
}

func (y *routedSystem) path(name string) string { return filepath.Join(y.folder, name) }

func (y *routedSystem) launch(program, at, settings string) *instance {
	y.made++
	ip, _, _ := net.SplitHostPort(at)
	name := fmt.Sprintf("%s-%d", program, y.made)
	health := freePort(y.c)
	n := &instance{ip: ip, at: at, data: y.path(name)}
	settings = strings.NewReplacer("{Name}", name, "{IP}", ip, "{At}", at, "{Port}", y.port, "{Data}", n.data,
		"{Health}", health, "{Seeds}", strings.Join(y.seedAt, ", ")).Replace(settings)
	y.c.Assert(os.WriteFile(y.path(name+".ini"), []byte(settings), 0o600), qt.IsNil)
	n.process = &process{c: y.c, name: name, args: []string{program, "run-routed", y.path(name + ".ini")}, log: y.path(name + ".log")}
	n.start()
	return n
}

func (y *routedSystem) startController(at string, bootstrap bool) *instance {
	return y.launch("controller", at, fmt.Sprintf(`[Instance]
Name = {Name}
Zone = z
IP = {IP}
Port = {Port}
Control = {At}
[Data]
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
`, bootstrap, announceEvery))
}

func (y *routedSystem) startGateway() *instance {
	return y.launch("gateway", freePort(y.c), `[Instance]
Name = {Name}
Zone = z
Listen = {At}
Health = {Health}
[Controllers]
Seeds = {Seeds}
Port = {Port}
[Stop]
Grace = 4s
Take = 500ms
Drain = 1s
`)
}

// restart starts a process again that has ended or is about to.
func (n *instance) restart() {
	n.wait()
	n.lives.Add(1)
	n.start()
}

// loseDisks kills controllers and starts them again with empty disks.
func (y *routedSystem) loseDisks(nodes ...*instance) {
	for _, n := range nodes {
		n.kill()
		y.wipe(n)
		n.restart()
	}
}

// wipe lets a controller that has ended lose its disk. It then joins and founds nothing.
func (y *routedSystem) wipe(n *instance) {
	y.c.Assert(os.RemoveAll(n.data), qt.IsNil)
	file := y.path(n.name + ".ini")
	text, err := os.ReadFile(file)
	y.c.Assert(err, qt.IsNil)
	text = bytes.Replace(text, []byte("Bootstrap = true"), []byte("Bootstrap = false"), 1)
	y.c.Assert(os.WriteFile(file, text, 0o600), qt.IsNil)
}

// replace ends a controller for good and starts an empty one at another address.
func (y *routedSystem) replace(i int) {
	y.controllers[i].kill()
	y.controllers[i] = y.startController(freePort(y.c), false)
}

func (y *routedSystem) end() {
	for _, n := range append(y.controllers, y.gateways...) {
		n.end()
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

// logLine is what the tests read of the programs' logs.
type logLine struct {
	Time    string `json:"time"`
	Message string `json:"msg"`
	Member  string
	Voters  []string
	// AsksControllers is set in the lines by which a gateway says how it hears of news.
	AsksControllers *bool
}

func (y *routedSystem) logOf(n *instance) []logLine {
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

// settled reports whether the controllers that run are the voters.
func (y *routedSystem) settled() bool {
	newest := logLine{}
	members := map[string]bool{}
	for _, n := range y.controllers {
		member, starts := "", int32(0)
		for _, line := range y.logOf(n) {
			if line.Member != "" {
				member = line.Member
				starts++
			}
			if line.Voters != nil && line.Time > newest.Time {
				newest = line
			}
		}
		if starts <= n.lives.Load() {
			// Its latest start has not got far enough to say who it is.
			return false
		}
		members[member] = true
	}
	if newest.Voters == nil {
		// The founders alone vote from the beginning.
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
			defer caller.hangUp()
			return caller.ask(marker(newest)).status == 200
		})
	}
}
