package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of a small deployment, as the pages print them.
const (
	contactTime  = 3 * time.Second
	drainTime    = 2 * time.Second
	heartbeat    = 1200 * time.Millisecond
	configApply  = 2 * time.Second
	graceTime    = 8 * time.Second
	seedCount    = 3
	controlCount = 5
)

// system is a deployment: the project's programs as separate processes, each with a loopback
// address of its own.
type system struct {
	root, folder string
	record       *record
	octets       string
	meshPort     int
	controlPort  int
	frontPort    int
	readyPort    int
	serverPort   int

	mu       sync.Mutex
	nextHost int

	controllers []*daemon
	gateways    []*daemon
}

// daemon is one process of the system.
type daemon struct {
	s        *system
	name     string
	program  string
	ip       string
	settings string
	log      string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	wanted bool
}

// cannotRun ends the script with the code for a case that could not run.
type cannotRun struct{ reason string }

func give(format string, args ...any) { panic(cannotRun{fmt.Sprintf(format, args...)}) }

func newSystem(root string, rec *record) *system {
	folder, err := os.MkdirTemp("", "bronzelead-review-")
	if err != nil {
		give("no temporary folder: %v", err)
	}
	s := &system{root: root, folder: folder, record: rec, nextHost: 10}
	s.octets = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for _, p := range []*int{&s.meshPort, &s.controlPort, &s.frontPort, &s.readyPort, &s.serverPort} {
		*p = freePort()
	}
	return s
}

// freePort returns a port that is free at all addresses.
func freePort() int {
	l, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		give("no free port: %v", err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// newIP returns a loopback address that nothing in this system has used.
func (s *system) newIP() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextHost++
	return fmt.Sprintf("%s.%d", s.octets, s.nextHost)
}

// startControllers starts the core. All of its processes begin with empty disks.
func (s *system) startControllers() {
	var ips []string
	for range controlCount {
		ips = append(ips, s.newIP())
	}
	seeds := make([]string, seedCount)
	for i := range seeds {
		seeds[i] = fmt.Sprintf("%s:%d", ips[i], s.controlPort)
	}
	for i, ip := range ips {
		name := fmt.Sprintf("core-%d", i+1)
		s.controllers = append(s.controllers, s.launch("controller", name, ip, fmt.Sprintf(`[Instance]
Name = %s
Zone = z%d
IP = %s
Port = %d
Control = %s:%d

[Data]
Folder = %s

[Members]
Seeds = %s
Bootstrap = true

[Timing]
Announcements = %dms
HandOver = 3000ms

[Placement]
Fenced = true
`, name, 1+i%3, ip, s.meshPort, ip, s.controlPort, filepath.Join(s.folder, name), strings.Join(seeds, ","), heartbeat.Milliseconds())))
	}
}

func (s *system) seeds() string {
	list := make([]string, seedCount)
	for i := range list {
		list[i] = fmt.Sprintf("%s:%d", s.controllers[i].ip, s.controlPort)
	}
	return strings.Join(list, ",")
}

// startGateways starts gateways in zones z1, z2, z3 by turns.
func (s *system) startGateways(n int) {
	for i := range n {
		ip := s.newIP()
		name := fmt.Sprintf("edge-%d", i+1)
		s.gateways = append(s.gateways, s.launch("gateway", name, ip, fmt.Sprintf(`[Instance]
Name = %s
Zone = z%d
Listen = %s:%d
Health = %s:%d
MaxFiles = 4100
MemoryMB = 284

[Controllers]
Seeds = %s
Port = %d

[Budget]
Window = 10s
Ratio = 0.2
Slack = 58

[Stop]
Grace = 8s
`, name, 1+i%3, ip, s.frontPort, ip, s.readyPort, s.seeds(), s.meshPort)))
	}
}

func (s *system) launch(program, name, ip, settings string) *daemon {
	d := &daemon{s: s, name: name, program: program, ip: ip, settings: filepath.Join(s.folder, name+".ini"), log: filepath.Join(s.folder, name+".log")}
	if err := os.WriteFile(d.settings, []byte(settings), 0o600); err != nil {
		give("settings: %v", err)
	}
	d.start()
	return d
}

// start starts the process, as the deploy file does.
func (d *daemon) start() {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		give("log: %v", err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(d.s.root, "target", d.program), "run-routed", d.settings)
	cmd.Dir = d.s.root
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.s.folder}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	exited := make(chan struct{})
	go func() {
		// The process is waited for by the thread that started it.
		started <- cmd.Start()
		if cmd.Process != nil {
			_ = cmd.Wait()
		}
		close(exited)
	}()
	if err := <-started; err != nil {
		give("start of %s: %v", d.name, err)
	}
	d.mu.Lock()
	d.cmd, d.exited, d.wanted = cmd, exited, true
	d.mu.Unlock()
	d.s.record.add("process", "%s started", d.name)
	go func() {
		<-exited
		d.mu.Lock()
		unwanted := d.wanted && d.cmd == cmd
		d.mu.Unlock()
		if unwanted {
			d.s.record.add("process", "%s ended by itself: %v", d.name, cmd.ProcessState)
		}
	}()
}

func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Signal(sig)
	}
}

// kill ends the process at once and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	d.wanted = false
	exited := d.exited
	d.mu.Unlock()
	d.signal(syscall.SIGKILL)
	<-exited
	d.s.record.add("process", "%s killed", d.name)
}

// stop kills all processes and removes the temporary folder.
func (s *system) stop() {
	for _, d := range append(append([]*daemon{}, s.gateways...), s.controllers...) {
		d.mu.Lock()
		running := d.cmd != nil
		d.mu.Unlock()
		if running {
			d.signal(syscall.SIGCONT)
			d.kill()
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder)
}

func (s *system) control(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%s:%d", s.controllers[i].ip, s.controlPort)
}

func (s *system) front(i int) string {
	return fmt.Sprintf("%s:%d", s.gateways[i].ip, s.frontPort)
}

// call makes one call of the operator or of a server on a connection of its own.
func call(method, address, path string, body any, timeout time.Duration) (int, []byte, error) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	return res.StatusCode, answer, err
}

// toAny makes a call to one controller after the other until one acknowledges it.
func (s *system) toAny(method, path string, body any, within time.Duration) (int, []byte) {
	until := time.Now().Add(within)
	for i := 0; time.Now().Before(until); i++ {
		status, answer, err := call(method, s.control(i%len(s.controllers)), path, body, time.Second)
		if err == nil && status == http.StatusOK {
			return i % len(s.controllers), answer
		}
		time.Sleep(100 * time.Millisecond)
	}
	give("%s %s was not acknowledged within %s", method, path, within)
	return 0, nil
}

// awaitReady waits until all gateways say that they are ready.
func (s *system) awaitReady(within time.Duration) {
	until := time.Now().Add(within)
	for _, g := range s.gateways {
		for {
			status, _, err := call("GET", fmt.Sprintf("%s:%d", g.ip, s.readyPort), "/ready", nil, time.Second)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				give("%s is not ready after %s", g.name, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.add("system", "all gateways are ready")
}

// record is the account of a run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	return &record{file: file, began: time.Now()}
}

// add writes a line with the seconds since the start.
func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}

func (r *record) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add("verdict", "%s", text)
	fmt.Println(text)
}
