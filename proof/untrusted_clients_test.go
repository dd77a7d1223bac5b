package proof

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/translator"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

const (
	// crowdClients is the number of clients that send large requests at the same time.
	crowdClients = 128
	// headClients is the number of clients that send large heads.
	headClients = 512
	// gatewayMemoryMB is the memory of a gateway's instance in these tests.
	gatewayMemoryMB = 96
	// defaultMemoryMB is the memory of an instance whose settings name none.
	defaultMemoryMB = 256
	// defaultFiles is the number of file descriptors of an instance whose settings name none.
	defaultFiles = 4096
	// crowdTimeout ends a client that is neither read nor disconnected.
	crowdTimeout = time.Minute

	kilobyte = 1 << 10
	megabyte = 1 << 20
)

// untrustedRequest is what each client of a crowd sends before it stays connected.
type untrustedRequest struct {
	head string
	// chunk is the size of the chunks of the body; 0 for a body without chunks.
	chunk int
	// size is the size of the body without its chunks' framing.
	size int
}

func (r untrustedRequest) bytes() []byte {
	var sent bytes.Buffer
	sent.WriteString(r.head)
	if r.chunk == 0 {
		sent.Write(bytes.Repeat([]byte("x"), r.size))
		return sent.Bytes()
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", r.chunk, strings.Repeat("x", r.chunk))
	sent.Write(bytes.Repeat([]byte(chunk), r.size/r.chunk))
	return sent.Bytes()
}

// head returns the head of a POST request with further fields.
func head(path string, fields ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(fields, "\r\n"), "\r\n")
}

const chunkedField = "Transfer-Encoding: chunked"

func lengthField(n int) string { return "Content-Length: " + strconv.Itoa(n) }

// incompleteRequests are requests that stop just short of their end, or are far larger than the limit.
func incompleteRequests(path string, limit int, fields ...string) map[string]untrustedRequest {
	with := func(field string) string { return head(path, append(slices.Clone(fields), field)...) }
	return map[string]untrustedRequest{
		"large chunks":                {with(chunkedField), 64 * kilobyte, limit - 64*kilobyte},
		"small chunks":                {with(chunkedField), 16, limit - 16},
		"an announced length":         {with(lengthField(limit)), 0, limit - 1},
		"chunks far over the limit":   {with(chunkedField), 64 * kilobyte, 4 * limit},
		"a length far over the limit": {with(lengthField(1 << 30)), 0, 4 * limit},
	}
}

// crowd is a number of clients that stay connected.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// startCrowd returns once each client has sent its request or was disconnected.
func startCrowd(address string, clients int, sent []byte) *crowd {
	w := &crowd{}
	var sending sync.WaitGroup
	for range clients {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", address, crowdTimeout)
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns = append(w.conns, conn)
			w.mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(crowdTimeout))
			_, _ = conn.Write(sent)
		})
	}
	sending.Wait()
	return w
}

func (w *crowd) disconnect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range w.conns {
		_ = conn.Close()
	}
}

// resources are what a process may use.
type resources struct{ memoryMB, files int }

// checkResources checks that a process has read what was sent to an address, lives, and has stayed within its resources.
func checkResources(c *qt.C, p *process, limit resources, address string) {
	c.Helper()
	eventually(c, "what was sent is read", func() bool { return unreadBytes(c, address) == 0 || p.ended() })
	c.Assert(p.ended(), qt.IsFalse, qt.Commentf("%s", p.name))
	folder := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	peak := peakMemory(c, folder)
	files, err := os.ReadDir(filepath.Join(folder, "fd"))
	c.Assert(err, qt.IsNil)
	c.Logf("%s: at most %d MB of memory, %d file descriptors", p.name, peak/megabyte, len(files))
	c.Check(peak <= limit.memoryMB*megabyte, qt.IsTrue, qt.Commentf("%s: %d MB", p.name, peak/megabyte))
	c.Check(len(files) <= limit.files, qt.IsTrue, qt.Commentf("%s: %d file descriptors", p.name, len(files)))
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// peakMemory returns the most memory that a process has had, in bytes.
func peakMemory(c *qt.C, folder string) int {
	status, err := os.ReadFile(filepath.Join(folder, "status"))
	c.Assert(err, qt.IsNil)
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	c.Assert(found, qt.IsTrue)
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	c.Assert(err, qt.IsNil)
	return kilobytes * kilobyte
}

// unreadBytes returns the bytes that wait in the sockets of connections to an address.
func unreadBytes(c *qt.C, address string) int {
	address = kernelAddress(c, address)
	sockets, err := os.ReadFile("/proc/net/tcp")
	c.Assert(err, qt.IsNil)
	total := 0
	for line := range strings.Lines(string(sockets)) {
		// The fields are: number, local address, remote address, state, bytes to send:bytes to read.
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != address {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(unread, 16, 64)
		c.Assert(err, qt.IsNil)
		total += int(n)
	}
	return total
}

// kernelAddress returns an address as /proc/net/tcp shows it.
func kernelAddress(c *qt.C, address string) string {
	host, port, err := net.SplitHostPort(address)
	c.Assert(err, qt.IsNil)
	ip := slices.Clone(net.ParseIP(host).To4())
	slices.Reverse(ip)
	number, err := strconv.Atoi(port)
	c.Assert(err, qt.IsNil)
	return strings.ToUpper(hex.EncodeToString(ip)) + fmt.Sprintf(":%04X", number)
}

// startReleased starts a routed system of programs without the race detector.
func startReleased(c *qt.C, gatewayResources string) *routedSystem {
	return startReleasedWith(c, &routedSystem{gatewayResources: gatewayResources})
}

// startReleasedWith is startReleased with other settings.
func startReleasedWith(c *qt.C, y *routedSystem) *routedSystem {
	programs, err := programsWithoutRaceDetector()
	c.Assert(err, qt.IsNil)
	y.c, y.budgetWindow, y.programs = c, budgetWindow, programs
	y.start(3, 1)
	y.backends = append(y.backends, startBackend(y, "b0"))
	y.initialize()
	return y
}

// checkServed checks that an ordinary request is answered.
func (y *routedSystem) checkServed() {
	y.c.Helper()
	eventually(y.c, "an ordinary request is answered", func() bool {
		ordinary := newCaller(y, "ordinary", y.gateways[0])
		defer ordinary.disconnect()
		return ordinary.send(string(idempotent)).status == http.StatusOK
	})
}

// Clients that kept unfinished requests open made gateways hold all of their bodies: the processes ran out of memory.
func TestCrowdsAtGateways(t *testing.T) {
	const bodyLimit = megabyte
	requests := incompleteRequests(string(idempotent), bodyLimit)
	for name, request := range requests {
		t.Run(name, func(t *testing.T) { checkCrowdAtGateway(qt.New(t), crowdClients, request.bytes()) })
	}
	fields := strings.Repeat("a:\r\n", (16*kilobyte-256)/len("a:\r\n"))
	for name, sent := range map[string]string{
		"heads of many fields":            strings.TrimSuffix(head(string(idempotent), lengthField(2)), "\r\n") + fields + "\r\nx",
		"unfinished heads of many fields": strings.TrimSuffix(head(string(idempotent)), "\r\n") + fields,
	} {
		t.Run(name, func(t *testing.T) { checkCrowdAtGateway(qt.New(t), headClients, []byte(sent)) })
	}
}

func checkCrowdAtGateway(c *qt.C, size int, sent []byte) {
	y := startReleased(c, fmt.Sprintf("MemoryMB = %d\n", gatewayMemoryMB))
	gateway := y.gateways[0]
	clients := startCrowd(gateway.address, size, sent)
	defer clients.disconnect()
	checkResources(c, gateway.process, resources{gatewayMemoryMB, defaultFiles}, gateway.address)
	y.checkServed()
	clients.disconnect()
	y.checkServed()
}

// Calls with bodies of any size filled the memory of whatever process listens for them.
func TestCrowdsAtOtherAddresses(t *testing.T) {
	const bodySize = 4 * megabyte
	tables := platform.StandInReplacePath
	announcements, _, _ := platform.StandInHeartbeat(&wire.Announcement{Name: "crowd"})
	calls := wire.MeshPathPrefix + "Sync"
	protobuf := "Content-Type: application/protobuf"
	for name, test := range map[string]struct {
		at   func(y *routedSystem) (*instance, string)
		path string
	}{
		"tables at controllers":        {func(y *routedSystem) (*instance, string) { return y.controllers[0], y.controllers[0].address }, tables},
		"announcements at controllers": {func(y *routedSystem) (*instance, string) { return y.controllers[0], y.controllers[0].address }, announcements},
		"calls at controllers":         {func(y *routedSystem) (*instance, string) { return y.controllers[0], y.controllers[0].mesh }, calls},
		"calls at gateways":            {func(y *routedSystem) (*instance, string) { return y.gateways[0], y.gateways[0].mesh }, calls},
		"readiness checks of gateways": {func(y *routedSystem) (*instance, string) { return y.gateways[0], y.gateways[0].health }, "/ready"},
	} {
		for kind, request := range incompleteRequests(test.path, bodySize, protobuf) {
			t.Run(name+"/"+kind, func(t *testing.T) {
				c := qt.New(t)
				y := startReleased(c, "")
				at, address := test.at(y)
				clients := startCrowd(address, crowdClients, request.bytes())
				defer clients.disconnect()
				checkResources(c, at.process, resources{defaultMemoryMB, defaultFiles}, address)
				y.operator.putTable()
				y.checkServed()
				clients.disconnect()
				y.operator.putTable()
				y.checkServed()
			})
		}
	}
}

// Callers of gateways with contracts did the same.
func TestCrowdsAtGatewaysWithContracts(t *testing.T) {
	const bodyLimit = 4 * megabyte
	key := "Authorization: Bearer " + customerKey
	for name, request := range incompleteRequests(translator.CompletionsPath, bodyLimit, key) {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			programs, err := programsWithoutRaceDetector()
			c.Assert(err, qt.IsNil)
			y := startSystem(c, systemConfig{controllers: 3, gateways: 1, engines: 1, slots: 4, programs: programs})
			clients := startCrowd(y.gatewayAddrs[0], crowdClients, request.bytes())
			defer clients.disconnect()
			checkResources(c, y.gateways[0], resources{defaultMemoryMB, defaultFiles}, y.gatewayAddrs[0])
			served := func() bool { return y.complete(0, "proof-0@1", false).status == http.StatusOK }
			eventually(c, "an ordinary request is answered", served)
			clients.disconnect()
			eventually(c, "an ordinary request is answered", served)
		})
	}
}

// Clients that sent a byte of their requests from time to time kept all connections of a gateway: others were refused.
func TestSlowClientsKeepNoConnectionsFromOthers(t *testing.T) {
	const (
		files   = 256
		clients = 200
	)
	c := qt.New(t)
	y := startReleased(c, fmt.Sprintf("MaxFiles = %d\n", files))
	gateway := y.gateways[0]
	slow := startCrowd(gateway.address, clients, []byte(head(string(idempotent), lengthField(megabyte))))
	defer slow.disconnect()
	stop := make(chan struct{})
	var sending sync.WaitGroup
	defer sending.Wait()
	defer close(stop)
	sending.Go(func() { slow.trickle(stop) })
	checkResources(c, gateway.process, resources{defaultMemoryMB, files}, gateway.address)
	y.checkServed()
}

// Crowds of all kinds, one after another and at once, while tables change, the leader is lost and the gateway stops.
func TestCrowdsInSeries(t *testing.T) {
	const clients = 32
	c := qt.New(t)
	y := startReleased(c, fmt.Sprintf("MemoryMB = %d\n", gatewayMemoryMB))
	gateway := y.gateways[0]
	requests := incompleteRequests(string(idempotent), megabyte)
	var crowds []*crowd
	defer func() {
		for _, w := range crowds {
			w.disconnect()
		}
	}()
	for range 3 {
		for _, name := range slices.Sorted(maps.Keys(requests)) {
			crowds = append(crowds, startCrowd(gateway.address, clients, requests[name].bytes()))
			y.operator.putTable()
		}
		y.checkServed()
	}
	for _, n := range y.controllers {
		n.kill()
		n.restart()
		crowds = append(crowds, startCrowd(gateway.address, clients, requests["large chunks"].bytes()))
	}
	y.operator.putTable()
	y.waitServing()
	checkResources(c, gateway.process, resources{gatewayMemoryMB, defaultFiles}, gateway.address)
	crowds = append(crowds, startCrowd(gateway.address, clients, requests["small chunks"].bytes()))
	gateway.stop()
}

// Controllers did not limit their connections at all.
func TestSlowClientsKeepNoConnectionsOfControllers(t *testing.T) {
	const (
		files   = 256
		clients = 300
	)
	c := qt.New(t)
	y := startReleasedWith(c, &routedSystem{controllerResources: fmt.Sprintf("MaxFiles = %d\n", files)})
	at := y.controllers[0]
	for _, address := range []string{at.address, at.mesh} {
		idle := startCrowd(address, clients, nil)
		defer idle.disconnect()
		slow := startCrowd(address, clients, []byte(head(platform.StandInReplacePath, lengthField(megabyte))))
		defer slow.disconnect()
	}
	checkResources(c, at.process, resources{defaultMemoryMB, files}, at.address)
	eventually(c, "the controller acknowledges a table", func() bool { return y.operator.sendTable(0, y.operator.sent.Load()) })
	y.operator.putTable()
	y.checkServed()
}

// trickle sends a byte over each connection again and again.
func (w *crowd) trickle(stop <-chan struct{}) {
	const interval = 200 * time.Millisecond
	for {
		w.mu.Lock()
		for _, conn := range w.conns {
			_, _ = io.WriteString(conn, "x")
		}
		w.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
	}
}
