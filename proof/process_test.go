package proof

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// binDir is the folder that holds the built programs.
var binDir string

// TestMain builds the programs once, with the race detector.
func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "bronzelead")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := buildPrograms(folder, "-race"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binDir = folder
	return m.Run()
}

// buildPrograms builds the programs into a folder.
func buildPrograms(folder string, flags ...string) error {
	for _, name := range []string{"controller", "gateway", "standin", "bronzectl"} {
		args := append([]string{"build", "-o", filepath.Join(folder, name)}, flags...)
		build := exec.Command("go", append(args, ".")...)
		build.Dir = filepath.Join("..", name)
		if out, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("%s: %w\n%s", name, err, out)
		}
	}
	return nil
}

// programsWithoutRaceDetector builds the programs as they are released, and returns their folder. The race detector
// takes several times the memory of the program.
var programsWithoutRaceDetector = sync.OnceValues(func() (string, error) {
	folder := filepath.Join(binDir, "released")
	return folder, buildPrograms(folder)
})

// process is a program that a test has started and may kill, freeze or stop.
type process struct {
	c    *qt.C
	name string
	args []string
	log  string
	// folder holds the program; empty for the one built with the race detector.
	folder string
	cmd    *exec.Cmd
	done   chan struct{}

	mu sync.Mutex
	// disruptions are when it was started, killed, frozen, thawed or stopped.
	disruptions []time.Time
}

func (p *process) start() {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	p.c.Assert(err, qt.IsNil)
	folder := binDir
	if p.folder != "" {
		folder = p.folder
	}
	p.cmd = exec.Command(filepath.Join(folder, p.args[0]), p.args[1:]...)
	p.cmd.Stderr, p.cmd.Stdout = out, out
	p.c.Assert(p.cmd.Start(), qt.IsNil)
	p.recordDisruption()
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}(p.cmd, p.done)
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
	p.recordDisruption()
}

func (p *process) recordDisruption() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disruptions = append(p.disruptions, time.Now())
}

// disruptedBetween reports whether it was disrupted in a period.
func (p *process) disruptedBetween(from, until time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.disruptions, func(at time.Time) bool { return at.After(from) && at.Before(until) })
}

// kill ends the process with SIGKILL, as when its instance is lost.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// freeze suspends the process without notice to it; thaw resumes it.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// stopTimeout is longer than any request's deadline, since a stop waits for running requests.
const stopTimeout = 40 * time.Second

// stop requests a graceful stop and waits for the process to exit.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.kill()
		p.c.Fatalf("%s did not stop within %s", p.name, stopTimeout)
	}
}

// cleanUp kills the process at the end of a test and fails the test if the race detector
// reported anything.
func (p *process) cleanUp() {
	if p.cmd == nil {
		return
	}
	p.thaw()
	p.kill()
	text, err := os.ReadFile(p.log)
	if err != nil {
		return
	}
	for _, report := range raceReports(text) {
		p.c.Errorf("%s: the race detector reported:\n%s", p.name, report)
	}
}

// allocatedAddresses counts the addresses that freeAddress has returned.
var allocatedAddresses atomic.Uint32

// freeAddress returns an address with a port chosen by the kernel. Each has its own IP address
// in the loopback range: on 127.0.0.1 an outgoing connection may be assigned the port before
// the intended process listens on it. Nothing listens on the socket that reserves the port, since a
// process that is being started at this time holds a copy of it and would keep the port in use.
func freeAddress(c *qt.C) string {
	const perByte = 250
	n := int(allocatedAddresses.Add(1))
	ip := [4]byte{127, byte(64 + os.Getpid()%128), byte(n / perByte), byte(1 + n%perByte)}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	c.Assert(err, qt.IsNil)
	defer func() { _ = syscall.Close(fd) }()
	c.Assert(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1), qt.IsNil)
	c.Assert(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: ip}), qt.IsNil)
	bound, err := syscall.Getsockname(fd)
	c.Assert(err, qt.IsNil)
	return net.JoinHostPort(net.IP(ip[:]).String(), strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
}

// listenTimeout bounds how long processes that are being started hold a listener that was closed.
const listenTimeout = 10 * time.Second

// listenAgain listens on an address whose earlier listener was closed. A process that is being
// started holds a copy of that until it executes its program.
func listenAgain(addr string) (net.Listener, error) {
	deadline := time.Now().Add(listenTimeout)
	for {
		l, err := net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return l, err
		}
		<-time.After(time.Millisecond)
	}
}

// eventually waits until a condition holds. Its long timeout only ends a test that would never
// pass.
func eventually(c *qt.C, what string, condition func() bool) {
	c.Helper()
	deadline := time.Now().Add(60 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			c.Fatalf("timed out waiting until %s", what)
		}
		<-time.After(20 * time.Millisecond)
	}
}
