package proof

import (
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A request ended every backend server that began to run it, and its caller sent it again
// for a minute, to any gateway. Each gateway knew only its own tries, and took each new try of
// the caller for another request: 35 backend servers ended, 17 of them more than 3 s after
// the third. Everything else that ran there was lost with it. The lines that a gateway wrote
// about one of these tries name no more than the try:
//
//	"RequestID":"cd102a6bba0bcbca","Backend":"i-c02b92c459","Outcome":"the answer was lost; sent again: framer: Body: EOF"
//	"RequestID":"cd102a6bba0bcbca","Backend":"i-c02b92c459","Outcome":"the backend server could not be reached: … connection refused"
//
// Here a caller does the same to three gateways, while others ask for what harms nobody.
func TestRoutedARequestThatEndsBackendServersIsHeldBack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	isHeldBack(c, func(int) net.Addr { return nil })
}

// The same request ended 39 backend servers on a day on which gateways knew a request again
// by what it asks for and by its caller's address: it came to gateways of all zones, and
// nothing says that it comes from one address. What a backend server runs is the same.
func TestRoutedARequestOfManyCallersIsHeldBack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	isHeldBack(c, func(try int) net.Addr {
		return &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+try%200))}
	})
}

// isHeldBack lets the fatal request come from addresses that are given for each try.
func isHeldBack(c *qt.C, from func(try int) net.Addr) {
	y := startEmpty(c, 3, 3)
	herd := startFragile(y, 4)
	herd.from = from
	y.settle()
	crowd := startCrowd(y, 4, 11)
	y.waitServed(40)
	y.sendFatal(herd, func() bool { return herd.ended() >= knownFatal })
	thirdAt := time.Now()
	// The gateways have the time to hear of it from each other.
	y.sendFatal(herd, func() bool { return time.Since(thirdAt) > contact })
	before := herd.ended()
	for range 30 {
		y.sendFatal(herd, func() bool { return true })
	}
	more := herd.ended() - before
	c.Check(more <= mostRetries, qt.IsTrue, qt.Commentf("%d more backend servers ended, %d in all", more, herd.ended()))
	served := y.ledger.servedSoFar()
	y.waitServed(200)
	crowd.stop()
	c.Logf("%d backend servers ended, %d requests served before and %d after", herd.ended(), served, y.ledger.servedSoFar()-served)
	y.ledger.check(c)
}

const (
	// knownFatal is how many backend servers may end under a request before it counts as one
	// that ends them; contact is how long gateways may take to hear of it, and mostRetries
	// how often it may reach backend servers all the same.
	knownFatal  = 3
	contact     = 3 * time.Second
	mostRetries = 3
)

// fatalBody is the body of the request under which fragile backend servers end.
const fatalBody = "ends whoever runs it"

// sendFatal lets one caller send the fatal request to the gateways in turn, at least once,
// until a condition holds.
func (y *routedSystem) sendFatal(herd *fragileHerd, enough func() bool) {
	for {
		herd.sent++
		l := newCaller(y, "fatal", y.gateways[herd.sent%len(y.gateways)])
		l.from = herd.from(herd.sent)
		l.askWith(string(idempotent)+"x", fatalBody)
		l.hangUp()
		if enough() {
			return
		}
	}
}

// fragileHerd is backend servers that end when they begin to run the fatal request, and
// start again at their addresses.
type fragileHerd struct {
	y    *routedSystem
	sent int
	// from is where a try of the fatal request comes from.
	from func(try int) net.Addr

	mu     sync.Mutex
	ends   int
	starts int
}

func startFragile(y *routedSystem, servers int) *fragileHerd {
	herd := &fragileHerd{y: y}
	for range servers {
		at := freePort(y.c)
		herd.start(at, at)
	}
	return herd
}

// startCabled starts a backend server behind a cable.
func (h *fragileHerd) startCabled() *backendStandIn {
	at := freePort(h.y.c)
	cable := newLink(h.y.c, at)
	b := h.start(at, cable.address)
	b.cable = cable
	return b
}

// start starts a backend server at an address, as one that nobody knows yet, and lets it
// announce itself where it is reached.
func (h *fragileHerd) start(at, reached string) *backendStandIn {
	h.mu.Lock()
	h.starts++
	b := &backendStandIn{y: h.y, id: fmt.Sprintf("fragile-%d", h.starts), address: reached}
	h.mu.Unlock()
	var once sync.Once
	b.fatal = func(body string) bool { return body == fatalBody }
	b.crash = func() { once.Do(func() { h.crash(b, at) }) }
	b.start(at)
	return b
}

// crash ends a backend server with all that it runs; another start follows.
func (h *fragileHerd) crash(b *backendStandIn, at string) {
	h.mu.Lock()
	h.ends++
	h.mu.Unlock()
	b.end()
	_ = b.server.Close()
	h.start(at, b.address)
}

func (h *fragileHerd) ended() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ends
}

// What is held back stays so when everything loses its power, until an operator, who sees
// where it is asked for and which backend servers it has ended, releases it.
func TestRoutedAHeldRequestStaysHeldUntilItIsReleased(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startEmpty(c, 3, 3)
	herd := startFragile(y, 4)
	herd.from = func(try int) net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+try%200))} }
	y.settle()
	y.sendFatal(herd, func() bool { return herd.ended() >= knownFatal })
	var held []string
	eventually(c, "the request is held back", func() bool {
		held = y.heldRequests()
		return len(held) == 1
	})
	all := append(append([]*instance{}, y.controllers...), y.gateways...)
	for _, n := range all {
		n.kill()
	}
	for _, n := range all {
		n.restart()
	}
	y.waitServing()
	c.Check(y.heldRequests(), qt.DeepEquals, held)
	eventually(c, "all gateways know again what is held back", func() bool {
		before := herd.ended()
		for range 2 * len(y.gateways) {
			y.sendFatal(herd, func() bool { return true })
		}
		return herd.ended() == before
	})
	fields := strings.Fields(held[0])
	c.Check(held[0], qt.Contains, "POST h"+string(idempotent)+"x")
	c.Check(strings.Count(fields[len(fields)-1], "fragile-") >= knownFatal, qt.IsTrue, qt.Commentf(held[0]))
	y.control("held", "release", fields[0], "--by", "the test")
	before := herd.ended()
	y.sendFatal(herd, func() bool { return herd.ended() > before })
	y.ledger.check(c)
}

// heldRequests returns the lines in which an operator sees what is held back.
func (y *routedSystem) heldRequests() []string {
	lines := strings.Split(strings.TrimSpace(y.control("held", "list")), "\n")
	return lines[1:]
}

// control runs an operator's command against all controllers.
func (y *routedSystem) control(words ...string) string {
	args := append([]string{}, words...)
	for _, n := range y.controllers {
		args = append(args, "-c", net.JoinHostPort(n.ip, y.port))
	}
	out, err := exec.Command(filepath.Join(programs, "bronzectl"), args...).CombinedOutput()
	y.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return string(out)
}
