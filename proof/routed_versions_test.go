package proof

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/platform"
)

const (
	// resumableEvents is the number of events of each resumable stream, one every
	// resumableInterval.
	resumableEvents   = 20
	resumableInterval = 25 * time.Millisecond
)

// serveResumable writes the events of a resumable stream after one. Each names the software version
// that wrote it.
func (b *fakeBackend) serveResumable(w http.ResponseWriter, r *http.Request, after string) {
	last, _ := strconv.Atoi(after)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= resumableEvents; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, b.version)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(resumableInterval):
		}
	}
}

// streamTally counts what the callers of resumable streams got.
type streamTally struct {
	// begun streams got their first event, of the new streams that were sent.
	sent, begun atomic.Int32
	// resumed are the attempts to take a stream up, of which goneOn brought further events.
	resumed, goneOn atomic.Int32
	// unreached are the attempts to take a stream up whose gateway accepted no connection.
	unreached atomic.Int32
	// complete streams got all events.
	complete atomic.Int32

	mu sync.Mutex
	// mixed describes the streams with events of several versions.
	mixed []string
}

// streamCaller sends one resumable stream after the other, and takes each up once that breaks off.
type streamCaller struct {
	y      *routedSystem
	name   string
	random *rand.Rand
	tally  *streamTally
	count  int
	// leaves is how often it leaves a stream, each time after some events, and takes it up elsewhere.
	leaves int
}

// heldStream is what a caller has of a stream.
type heldStream struct {
	// first is the id of the attempt that brought the first event.
	first    string
	events   int
	versions []string
	complete bool
	// leaves is how often its caller still leaves it.
	leaves int
}

func (l *streamCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.runStream(time.Now().Add(clientTimeout))
		pause(ctx)
	}
}

// runStream sends a stream, and takes it up until the caller's time is over.
func (l *streamCaller) runStream(deadline time.Time) {
	s := &heldStream{leaves: l.leaves}
	l.tally.sent.Add(1)
	l.attempt(s, deadline)
	if s.events == 0 {
		return
	}
	l.tally.begun.Add(1)
	for tries := 0; !s.complete && tries < 3 && time.Now().Before(deadline); tries++ {
		before := s.events
		l.tally.resumed.Add(1)
		l.attempt(s, deadline)
		if s.complete || s.events > before {
			l.tally.goneOn.Add(1)
		}
	}
	if s.complete && s.events == resumableEvents {
		l.tally.complete.Add(1)
	}
	for _, version := range s.versions[1:] {
		if version != s.versions[0] {
			l.tally.mu.Lock()
			l.tally.mixed = append(l.tally.mixed, fmt.Sprintf("%s: %q", s.first, s.versions))
			l.tally.mu.Unlock()
			return
		}
	}
}

// attempt sends the rest of a stream to any gateway, and reads what it gets.
func (l *streamCaller) attempt(s *heldStream, deadline time.Time) {
	l.count++
	id := fmt.Sprintf("%s-%d-%d", l.name, time.Now().UnixNano(), l.count)
	to := l.y.gateways[l.random.IntN(len(l.y.gateways))]
	body := "stream " + id
	l.y.history.recordSent(id, "POST "+string(resumable)+"x "+body, to)
	conn, err := net.DialTimeout("tcp", to.address, time.Second)
	if err != nil {
		if s.events > 0 {
			l.tally.unreached.Add(1)
		}
		<-time.After(resumableInterval)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(deadline)
	head := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n", resumable, len(body))
	fields := platform.StandInRequest(id, time.Until(deadline))
	if s.events > 0 {
		fields = append(fields, platform.StandInResumption(s.first, strconv.Itoa(s.events))...)
	}
	for _, field := range fields {
		head += field.Name + ": " + field.Value + "\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		return
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		<-time.After(platform.RetryAfter(fieldsOf(res.Header)))
		return
	}
	l.read(s, id, res.Body)
}

// read reads events until the answer ends.
func (l *streamCaller) read(s *heldStream, id string, body io.Reader) {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			s.complete = err == io.EOF
			return
		}
		if number, ok := strings.CutPrefix(line, "id: "); ok {
			if n, _ := strconv.Atoi(strings.TrimSpace(number)); n != s.events+1 {
				l.y.history.addViolation("%s: event %d follows event %d", id, n, s.events)
			}
		}
		if version, ok := strings.CutPrefix(line, "data: "); ok {
			if s.events == 0 {
				s.first = id
			}
			s.events++
			s.versions = append(s.versions, strings.TrimSpace(version))
			if s.leaves > 0 && l.random.IntN(resumableEvents/2) == 0 {
				s.leaves--
				return
			}
		}
	}
}

// startStreamCallers lets callers send resumable streams until stop is called.
func startStreamCallers(y *routedSystem, callers int, seed uint64) (tally *streamTally, stop func()) {
	return startLeavingCallers(y, callers, seed, 0)
}

// startLeavingCallers is startStreamCallers with callers that leave each stream a number of times.
func startLeavingCallers(y *routedSystem, callers int, seed uint64, leaves int) (tally *streamTally, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	tally = &streamTally{}
	var running sync.WaitGroup
	for i := range callers {
		l := &streamCaller{y: y, name: fmt.Sprintf("v%d", i), random: rand.New(rand.NewPCG(seed, uint64(i))), tally: tally, leaves: leaves}
		running.Go(func() { l.run(ctx) })
	}
	return tally, func() { cancel(); running.Wait() }
}

// checkVersions checks that streams went on only at the software version that began them.
func (a *streamTally) checkVersions(c *qt.C) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.Logf("%d streams sent, %d begun, %d complete; %d of %d attempts to take one up went on, and %d reached no gateway", a.sent.Load(),
		a.begun.Load(), a.complete.Load(), a.goneOn.Load(), a.resumed.Load(), a.unreached.Load())
	c.Check(a.mixed, qt.HasLen, 0)
}

// check checks the versions, and that streams went on half as often as new ones began.
func (a *streamTally) check(c *qt.C) {
	a.checkVersions(c)
	begun := float64(a.begun.Load()) / float64(a.sent.Load())
	goneOn := float64(a.goneOn.Load()) / float64(a.resumed.Load())
	c.Check(a.resumed.Load() >= 12, qt.IsTrue, qt.Commentf("%d streams were taken up", a.resumed.Load()))
	c.Check(goneOn >= begun/2, qt.IsTrue, qt.Commentf("%.2f of the streams went on, %.2f began", goneOn, begun))
}

// startVersions starts a system with two backend servers of each of three software versions.
func startVersions(c *qt.C, gateways int) *routedSystem {
	y := startWithoutBackends(c, 3, gateways)
	for i := range 6 {
		y.backends = append(y.backends, startVersionedBackend(y, fmt.Sprintf("b%d", i), fmt.Sprintf("v%d", i%3)))
	}
	y.initialize()
	return y
}

// Streams went on at another software version than the one that began them: in the answer of a
// gateway that lost their backend server, and at the gateway at which callers took them up.
func TestRoutedStreamsGoOnAtTheirSoftwareVersion(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startVersions(c, 4)
	tally, stop := startStreamCallers(y, 24, 1)
	y.waitServing()
	for step := range 12 {
		<-time.After(400 * time.Millisecond)
		switch b := y.backends[step%len(y.backends)]; step % 3 {
		case 0:
			b.proxy.closeConns()
		case 1:
			y.gateways[step%len(y.gateways)].kill()
			y.gateways[step%len(y.gateways)].restart()
		default:
			b.proxy.closeConns()
			y.gateways[step%len(y.gateways)].kill()
			y.gateways[step%len(y.gateways)].restart()
		}
	}
	stop()
	tally.check(c)
	y.history.check(c)
}

// replaceAtAddress ends a backend server and starts another one at its address, of another version.
func (y *routedSystem) replaceAtAddress(i int, version string) {
	before := y.backends[i]
	before.stopAnnouncing()
	_ = before.server.Close()
	y.launched++
	b := &fakeBackend{y: y, id: fmt.Sprintf("r%d", y.launched), version: version, proxy: before.proxy, address: before.address}
	y.backends[i] = b
	b.start(before.proxy.target)
}

// versionStories are ways in which streams break off, in series.
var versionStories = map[string]struct {
	// leaves is how often callers leave each stream.
	leaves int
	// step is done again and again; it counts from 0.
	step func(y *routedSystem, n int)
	// forgotten is set if what is known of streams is lost, so that they need not go on.
	forgotten bool
}{
	"backend servers break streams off": {step: func(y *routedSystem, n int) { y.backends[n%6].proxy.closeConns() }},
	"callers leave":                     {leaves: 1, step: func(*routedSystem, int) {}},
	"callers leave three times":         {leaves: 3, step: func(*routedSystem, int) {}},
	"gateways are killed": {step: func(y *routedSystem, n int) {
		y.gateways[n%3].kill()
		y.gateways[n%3].restart()
	}},
	"all gateways are killed": {forgotten: true, step: func(y *routedSystem, n int) {
		if n%4 != 0 {
			return
		}
		for _, g := range y.gateways {
			g.kill()
		}
		for _, g := range y.gateways {
			g.restart()
		}
	}},
	"controllers stand still": {leaves: 1, step: func(y *routedSystem, n int) {
		if n == 0 {
			for _, controller := range y.controllers {
				controller.freeze()
			}
		}
	}},
	"gateways stand still": {leaves: 1, step: func(y *routedSystem, n int) {
		y.gateways[n%3].freeze()
		<-time.After(300 * time.Millisecond)
		y.gateways[n%3].thaw()
	}},
	"a third version begins": {leaves: 1, step: func(y *routedSystem, n int) {
		if n < 2 {
			y.backends = append(y.backends, startVersionedBackend(y, fmt.Sprint("third", n), "v3"))
		}
	}},
	"a version drains and leaves": {leaves: 1, step: func(y *routedSystem, n int) {
		if b := y.backends[(n/4)%6]; n%4 == 0 && b.version == "v0" {
			b.draining.Store(true)
		}
	}},
	"addresses come back at another version": {leaves: 1, step: func(y *routedSystem, n int) {
		if n%3 == 0 && n/3 < 2 {
			y.replaceAtAddress(n/3, "v2")
		}
	}},
}

// Each way in which streams break off, with two versions side by side: none goes on at the other one.
func TestRoutedStreamsOfTwoVersions(t *testing.T) {
	for name, story := range versionStories {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			y := startWithoutBackends(c, 3, 3)
			for i := range 6 {
				y.backends = append(y.backends, startVersionedBackend(y, fmt.Sprintf("b%d", i), fmt.Sprintf("v%d", i%2)))
			}
			y.initialize()
			tally, stop := startLeavingCallers(y, 12, 2, story.leaves)
			for n := range 12 {
				<-time.After(300 * time.Millisecond)
				story.step(y, n)
			}
			stop()
			if story.forgotten {
				tally.checkVersions(c)
			} else {
				tally.check(c)
			}
			y.history.check(c)
		})
	}
}

// After all processes are killed, streams of a service with one version go on: nobody remembers their
// origins, and the log has the versions.
func TestRoutedStreamsOfOneVersionOutliveAllProcesses(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startWithoutBackends(c, 3, 3)
	for i := range 4 {
		y.backends = append(y.backends, startVersionedBackend(y, fmt.Sprintf("b%d", i), "v1"))
	}
	y.initialize()
	tally, stop := startLeavingCallers(y, 12, 3, 1)
	<-time.After(time.Second)
	for range 2 {
		for _, n := range append(slices.Clone(y.controllers), y.gateways...) {
			n.kill()
		}
		for _, n := range append(slices.Clone(y.controllers), y.gateways...) {
			n.restart()
		}
		y.waitServing()
		resumed, goneOn, unreached := tally.resumed.Load(), tally.goneOn.Load(), tally.unreached.Load()
		<-time.After(2 * time.Second)
		resumed, goneOn = tally.resumed.Load()-resumed-tally.unreached.Load()+unreached, tally.goneOn.Load()-goneOn
		c.Check(resumed >= 12, qt.IsTrue, qt.Commentf("%d taken up", resumed))
		c.Check(2*goneOn >= resumed, qt.IsTrue, qt.Commentf("%d of %d went on", goneOn, resumed))
	}
	stop()
	tally.checkVersions(c)
	y.history.check(c)
}

// heldStreams begins streams, one after the other by several callers at once, each of which is left after some
// events.
func heldStreams(y *routedSystem, streams int, deadline time.Time, tally *streamTally) []*heldStream {
	list := make([]*heldStream, streams)
	var running sync.WaitGroup
	for i := range list {
		l := &streamCaller{y: y, name: fmt.Sprintf("h%d", i), random: rand.New(rand.NewPCG(4, uint64(i))), tally: tally}
		running.Go(func() {
			for list[i] == nil || list[i].complete || list[i].events == 0 {
				list[i] = &heldStream{leaves: 1}
				l.attempt(list[i], deadline)
			}
		})
	}
	running.Wait()
	return list
}

// takeUp takes streams up, each at any gateway and again as its caller is told to, three times at most. It returns how
// many went on, and how many needed one attempt.
func takeUp(y *routedSystem, streams []*heldStream, deadline time.Time, tally *streamTally) (goneOn, atOnce int) {
	var all, first atomic.Int32
	var running sync.WaitGroup
	for i, s := range streams {
		l := &streamCaller{y: y, name: fmt.Sprintf("t%d", i), random: rand.New(rand.NewPCG(5, uint64(i))), tally: tally}
		running.Go(func() {
			before := s.events
			for attempt := range 3 {
				l.attempt(s, deadline)
				if s.complete || s.events > before {
					all.Add(1)
					if attempt == 0 {
						first.Add(1)
					}
					break
				}
			}
			for _, version := range s.versions {
				if version != s.versions[0] {
					y.history.addViolation("%s: a stream of several versions: %q", s.first, s.versions)
					return
				}
			}
		})
	}
	running.Wait()
	return int(all.Load()), int(first.Load())
}

// After all gateways were killed at once while a service had two versions, no stream could be taken up. Controllers
// remember the origins, also while one of them is killed or stands still; if they are killed too, all are refused.
func TestRoutedStreamsOfTwoVersionsOutliveAllGateways(t *testing.T) {
	const streams = 60
	for name, test := range map[string]struct {
		disturb func(y *routedSystem)
		// minimum and maximum are how many streams go on.
		minimum, maximum int
	}{
		"gateways alone":              {func(*routedSystem) {}, streams, streams},
		"a controller is killed":      {func(y *routedSystem) { y.controllers[1].kill(); y.controllers[1].restart() }, streams, streams},
		"a controller stands still":   {func(y *routedSystem) { y.controllers[0].freeze() }, streams, streams},
		"all controllers are killed":  {func(y *routedSystem) { restartTogether(y.controllers) }, 0, 0},
		"two controllers are killed":  {func(y *routedSystem) { restartTogether(y.controllers[:2]) }, streams, streams},
		"a controller loses its disk": {func(y *routedSystem) { y.loseDisks(y.controllers[1]) }, streams, streams},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			y := startWithoutBackends(c, 3, 3)
			for i := range 6 {
				y.backends = append(y.backends, startVersionedBackend(y, fmt.Sprintf("b%d", i), fmt.Sprintf("v%d", i%2)))
			}
			y.initialize()
			deadline := time.Now().Add(30 * time.Second)
			tally := &streamTally{}
			held := heldStreams(y, streams, deadline, tally)
			// Origins are reported to controllers each 100 ms.
			<-time.After(300 * time.Millisecond)
			for _, g := range y.gateways {
				g.kill()
			}
			test.disturb(y)
			for _, g := range y.gateways {
				g.restart()
				<-time.After(200 * time.Millisecond)
			}
			y.waitServing()
			goneOn, atOnce := takeUp(y, held, deadline, tally)
			c.Logf("%d of %d streams went on, %d of them at the first attempt", goneOn, streams, atOnce)
			c.Check(goneOn >= test.minimum && goneOn <= test.maximum, qt.IsTrue, qt.Commentf("%d of %d streams went on", goneOn, streams))
			y.history.check(c)
		})
	}
}
