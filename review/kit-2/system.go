package main

import (
	"bytes"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"text/template"
	"time"
)

// The bounds of the site fjellvaer-drift.
const (
	ackTime         = 4 * time.Second
	ackTimePerRoute = 3 * time.Millisecond
	contactTime     = 3 * time.Second
	configApplyTime = 2 * time.Second
	heartbeat       = 1200 * time.Millisecond
)

var zones = []string{"bergen-a", "bergen-b", "voss-1", "forde-1"}

// The settings of the two programs, as the templates of the deploy file render them.
var settingsOf = map[string]*template.Template{
	"controller": template.Must(template.New("controller").Parse(`[Instance]
Name = {{.Name}}
Zone = {{.Zone}}
IP = {{.IP}}
Port = {{.Mesh}}
Control = {{.IP}}:{{.Control}}
MaxFiles = 4096
MemoryMB = 280

[Data]
Folder = {{.Data}}

[Members]
Seeds = {{.Seeds}}
Bootstrap = {{.Bootstrap}}

[Timing]
Announcements = 1200ms
HandOver = 3000ms

[Placement]
Fenced = true
`)),
	"gateway": template.Must(template.New("gateway").Parse(`[Instance]
Name = {{.Name}}
Zone = {{.Zone}}
Listen = {{.IP}}:{{.Front}}
Health = {{.IP}}:{{.Ready}}
MaxFiles = 4100
MemoryMB = 284

[Controllers]
Seeds = {{.Seeds}}
Port = {{.Mesh}}

[Budget]
Window = 10s
Ratio = 0.2
Slack = 58

[Stop]
Grace = 8s
`)),
}

// world is a small deployment: the programs as processes, and stand-ins for all others.
type world struct {
	root, folder string
	// trouble is set if the disruption of the case is brought about.
	trouble bool
	began   time.Time
	record  *os.File
	mu      sync.Mutex

	controllers, gateways []*machine
	seeds                 string
	mesh, control         int
	front, ready          int
	nextIP                int
	// sent holds the requests of clients by their ids.
	sent sync.Map
}

// machine is a machine of the system with its one process.
type machine struct {
	w                    *world
	program              string
	Name, Zone, IP, Data string
	Mesh, Control        int
	Front, Ready         int
	Seeds                string
	Bootstrap            bool

	cmd  *exec.Cmd
	done chan struct{}
	// unread is set while nobody reads what the process writes to its standard output.
	unread atomic.Bool
	// read counts the bytes that were read of it.
	read atomic.Int64
}

func newWorld(root, record string) *world {
	folder, err := os.MkdirTemp("", "review-2-")
	check(err)
	file, err := os.Create(record)
	check(err)
	w := &world{root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: file}
	w.mesh = w.freePort()
	w.control = w.freePort()
	w.front = w.freePort()
	w.ready = w.freePort()
	return w
}

// check ends the case as one that could not run.
func check(err error) {
	if err != nil {
		panic(fmt.Errorf("the case could not run: %w", err))
	}
}

// log writes a line to record.txt.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// freeIP returns an address of the loopback range that this run alone uses.
func (w *world) freeIP() string {
	w.nextIP++
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250, w.nextIP)
}

// The ports are below those that the kernel gives to outgoing connections.
const (
	firstPort = 10_000
	portCount = 20_000
)

// freePort returns a port that nothing uses and that was not returned before.
func (w *world) freePort() int {
	for {
		port := firstPort + mathrand.IntN(portCount)
		if port == w.mesh || port == w.control || port == w.front || port == w.ready {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.freeIP(), port))
		if err != nil {
			continue
		}
		_ = l.Close()
		return port
	}
}

// start starts the controllers and gateways of the first start of a system.
func (w *world) start(controllers, gateways int) {
	for i := range controllers {
		w.controllers = append(w.controllers, w.newMachine("controller", i))
	}
	var seeds []string
	for _, m := range w.controllers[:min(3, len(w.controllers))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", m.IP, w.control))
	}
	w.seeds = strings.Join(seeds, ",")
	for i := range gateways {
		w.gateways = append(w.gateways, w.newMachine("gateway", i))
	}
	for _, m := range append(append([]*machine{}, w.controllers...), w.gateways...) {
		m.Seeds, m.Bootstrap = w.seeds, true
		m.start()
	}
}

func (w *world) newMachine(program string, i int) *machine {
	name := fmt.Sprintf("%s-%d", program, i+1)
	return &machine{
		w: w, program: program, Name: name, Zone: zones[i%len(zones)], IP: w.freeIP(), Data: filepath.Join(w.folder, name+"-data"),
		Mesh: w.mesh, Control: w.control, Front: w.front, Ready: w.ready,
	}
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() {
	var text bytes.Buffer
	check(settingsOf[m.program].Execute(&text, m))
	settings := filepath.Join(m.w.folder, m.Name+".ini")
	check(os.WriteFile(settings, text.Bytes(), 0o600))
	m.cmd = exec.Command("target/"+m.program, "run-routed", settings)
	m.cmd.Dir = m.w.root
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := m.cmd.StdoutPipe()
	check(err)
	errors, err := os.OpenFile(filepath.Join(m.w.folder, m.Name+".err"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	m.cmd.Stderr = errors
	check(m.cmd.Start())
	done := make(chan struct{})
	m.done = done
	cmd := m.cmd
	go func() {
		m.collect(output)
		err := cmd.Wait()
		_ = errors.Close()
		m.w.log("%s has ended: %v", m.Name, err)
		close(done)
	}()
	m.w.log("%s was started at %s", m.Name, m.IP)
}

// collect reads the log of the process, as a log collector does, unless it hangs.
func (m *machine) collect(output io.Reader) {
	file, err := os.OpenFile(filepath.Join(m.w.folder, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer file.Close()
	buf := make([]byte, 32<<10)
	for {
		for m.unread.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		n, err := output.Read(buf)
		m.read.Add(int64(n))
		_, _ = file.Write(buf[:n])
		if err != nil {
			return
		}
	}
}

func (m *machine) signal(s syscall.Signal) {
	_ = m.cmd.Process.Signal(s)
	m.w.log("%s got signal %v", m.Name, s)
}

// kill ends the process with SIGKILL.
func (m *machine) kill() {
	m.unread.Store(false)
	m.signal(syscall.SIGKILL)
	<-m.done
}

// end ends all processes, and removes what they left.
func (w *world) end() {
	for _, m := range append(append([]*machine{}, w.controllers...), w.gateways...) {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			m.unread.Store(false)
			_ = m.cmd.Process.Kill()
			<-m.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println(w.folder)
	}
	_ = w.record.Close()
}

func (m *machine) controlAddress() string { return fmt.Sprintf("%s:%d", m.IP, m.Control) }
func (m *machine) frontAddress() string   { return fmt.Sprintf("%s:%d", m.IP, m.Front) }
func (m *machine) readyAddress() string   { return fmt.Sprintf("%s:%d", m.IP, m.Ready) }
