package originfinder

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/originreceiver"
	"bronzelead.example/pkg/originrecorder"
	"bronzelead.example/pkg/ranker"
	"bronzelead.example/pkg/versiontracker"
	"bronzelead.example/pkg/wire"
)

// seriesSeeds is the number of seeds that TestStreamsOutliveSeriesOfLosses runs for each size, and seriesFirst the
// first of them.
var (
	seriesSeeds = flag.Int("series.seeds", 2, "number of seeds of series of releases and losses")
	seriesFirst = flag.Uint64("series.first", 1, "first seed of series of releases and losses")
)

const (
	seriesStep   = 20 * time.Millisecond
	seriesLength = 60 * time.Second
	// seriesLife is the longest time of a stream over its caller's attempts.
	seriesLife     = 8 * time.Second
	seriesInterval = 100 * time.Millisecond
	seriesEvents   = 40
	// seriesServers is the number of backend servers of a version in service.
	seriesServers = 3
	// seriesFewGateways is the number of gateways up to which all seeds run, and a quarter of them beyond it.
	seriesFewGateways = 9
	// electionTime is for how long a majority of controllers has to run before one leads.
	electionTime = 500 * time.Millisecond
)

// seriesProcess is a gateway or a controller that may be killed or stand still.
type seriesProcess struct {
	address string
	// upAt is when it runs again after a kill, frozenUntil when it goes on.
	upAt, frozenUntil time.Time
	receiver          func() *originreceiver.Receiver
	// held are datagrams that arrived while it stood still.
	held [][]byte
}

func (p *seriesProcess) runs(now time.Time) bool {
	return !now.Before(p.upAt) && !now.Before(p.frozenUntil)
}

// seriesGateway is a gateway's finder, with what its forwarder knows of versions.
type seriesGateway struct {
	seriesProcess
	finder  *Finder
	tracker *versiontracker.Tracker
	known   map[string]*seriesServer
	inbox   []seriesUpdate
	// cutUntil is when it reaches the controllers again, synced is set once it has heard of the leader.
	cutUntil, leaderAt, refreshedAt time.Time
	synced                          bool
	running                         map[*seriesStream]struct{}
}

// seriesUpdate is a change of a backend server that arrives at a time.
type seriesUpdate struct {
	at           time.Time
	announcement *wire.Announcement
	server       *seriesServer
}

// seriesServer is an incarnation of a backend server.
type seriesServer struct {
	id, version string
	up          bool
	// goneAt is when it leaves, zero if that is not planned.
	goneAt time.Time
}

// seriesStream is a stream as its caller sees it.
type seriesStream struct {
	id       string
	begunAt  time.Time
	gateway  *seriesGateway
	server   *seriesServer
	versions []string
	nextAt   time.Time
	// resumeAt is when its caller takes it up; zero while it runs. Since it last broke off, possible is set if a server
	// of its version ran at an attempt, wentOn if it got an event, and byController if a controller knew its origin.
	resumeAt                                  time.Time
	brokenOff, possible, wentOn, byController bool
}

// seriesCounts is what became of the streams, those that broke off counted each time.
type seriesCounts struct {
	begun                                     int
	brokenOff, possible, wentOn, byController int
	mixed                                     []string
}

func (n *seriesCounts) add(other seriesCounts) {
	n.begun, n.brokenOff, n.possible = n.begun+other.begun, n.brokenOff+other.brokenOff, n.possible+other.possible
	n.wentOn, n.byController = n.wentOn+other.wentOn, n.byController+other.byController
	n.mixed = append(n.mixed, other.mixed...)
}

// series is gateways, controllers, backend servers and callers in virtual time.
type series struct {
	random      *rand.Rand
	clock       *clockwork.FakeClock
	begin       time.Time
	meter       *meter.Meter
	gateways    []*seriesGateway
	controllers []*seriesProcess
	servers     []*seriesServer
	streams     []*seriesStream
	// byAddress are all processes, listed the gateways, and controllerList the controllers.
	byAddress      map[string]*seriesProcess
	listed         []*wire.GatewayEntry
	controllerList []string
	// announced are the backend servers that controllers know, inLog the versions in the log.
	announced map[string]*wire.Announcement
	inLog     map[string]bool
	// majoritySince is since when a majority of controllers runs.
	majoritySince time.Time
	term          uint64
	lossy         float64
	version, ids  int
	counts        seriesCounts
	// askControllers is unset to compare with gateways alone.
	askControllers bool
}

func newSeries(seed uint64, gateways, controllers int, askControllers bool) *series {
	y := &series{
		random: rand.New(rand.NewPCG(seed, uint64(gateways))), clock: clockwork.NewFakeClock(), meter: meter.New("gateway", "test", "z"),
		byAddress: map[string]*seriesProcess{}, announced: map[string]*wire.Announcement{}, inLog: map[string]bool{},
		term: 1, version: 1, askControllers: askControllers,
	}
	y.begin, y.majoritySince = y.clock.Now(), y.clock.Now().Add(-time.Minute)
	for i := range controllers {
		k := &seriesProcess{address: fmt.Sprint("c", i)}
		y.controllers, y.controllerList, y.byAddress[k.address] = append(y.controllers, k), append(y.controllerList, k.address), k
		y.startController(k)
	}
	for i := range gateways {
		g := &seriesGateway{seriesProcess: seriesProcess{address: fmt.Sprint("g", i)}}
		g.receiver = func() *originreceiver.Receiver { return g.finder.Receiver() }
		y.gateways, y.byAddress[g.address] = append(y.gateways, g), &g.seriesProcess
		y.listed = append(y.listed, &wire.GatewayEntry{Address: g.address})
		y.startGateway(g)
	}
	y.release(0)
	return y
}

func (y *series) now() time.Time { return y.clock.Now() }

func (y *series) startController(k *seriesProcess) {
	receiver := &originreceiver.Receiver{Clock: y.clock, Log: slog.New(slog.DiscardHandler), Meter: y.meter, Max: 1 << 12}
	receiver.Init()
	k.receiver = func() *originreceiver.Receiver { return receiver }
	k.held = nil
}

func (y *series) startGateway(g *seriesGateway) {
	g.finder = &Finder{Clock: y.clock, Log: slog.New(slog.DiscardHandler), Meter: y.meter, Self: g.address, Send: y.send, Client: y.client}
	g.finder.Gateways = func() []*wire.GatewayEntry {
		if !g.synced {
			return nil
		}
		return y.listed
	}
	if y.askControllers {
		g.finder.Controllers = func() []string { return y.controllerList }
	}
	g.finder.Init()
	g.tracker, g.known, g.running = &versiontracker.Tracker{}, map[string]*seriesServer{}, map[*seriesStream]struct{}{}
	g.inbox, g.synced, g.leaderAt, g.held = nil, false, time.Time{}, nil
}

// send delivers a datagram, loses it, or holds it for a process that stands still.
func (y *series) send(address string, datagram []byte) error {
	p := y.byAddress[address]
	switch {
	case y.loses(address, datagram) || y.now().Before(p.upAt):
		return nil
	case !p.runs(y.now()):
		p.held = append(p.held, datagram)
		return nil
	}
	return p.receiver().Receive(datagram)
}

// loses reports whether a datagram is lost. It does not depend on the order in which datagrams are sent, which follows
// that of maps.
func (y *series) loses(address string, datagram []byte) bool {
	return float64(ranker.Score(y.now().Sub(y.begin).String()+string(datagram), address))/math.MaxUint64 < y.lossy
}

func (y *series) client(address string) wire.Origins {
	p := y.byAddress[address]
	switch {
	case y.now().Before(p.upAt):
		return refusing{}
	case !p.runs(y.now()):
		return unreachable{}
	}
	return p.receiver()
}

// refusing is an instance on which no process listens.
type refusing struct{}

func (refusing) FindOrigin(context.Context, *wire.FindOriginRequest) (*wire.FindOriginResponse, error) {
	return nil, errors.Wrap(syscall.ECONNREFUSED, "dial")
}

// leads reports whether a controller leads.
func (y *series) leads() bool {
	return !y.majoritySince.IsZero() && y.now().Sub(y.majoritySince) >= electionTime
}

// release starts backend servers of a new version. Those of the others leave within a time, or at once.
func (y *series) release(within time.Duration) {
	for _, s := range y.servers {
		if s.up && s.goneAt.IsZero() {
			s.goneAt = y.now().Add(time.Duration(y.random.Int64N(int64(within + 1))))
		}
	}
	for range seriesServers {
		y.ids++
		y.servers = append(y.servers, &seriesServer{id: fmt.Sprint("b", y.ids), version: fmt.Sprint("v", y.version), up: true})
	}
	y.version++
}

// publish lets all gateways know of a change of a backend server, to each after a time of its own.
func (y *series) publish(s *seriesServer, gone bool) {
	a := &wire.Announcement{Id: s.id, Service: "s", SoftwareVersion: s.version, Gone: gone}
	y.announced[s.id] = a
	for _, g := range y.gateways {
		if !y.now().Before(g.upAt) {
			y.deliver(g, a, s)
		}
	}
}

func (y *series) deliver(g *seriesGateway, a *wire.Announcement, s *seriesServer) {
	at := y.now()
	if g.cutUntil.After(at) {
		at = g.cutUntil
	}
	g.inbox = append(g.inbox, seriesUpdate{at.Add(time.Duration(5+y.random.IntN(60)) * time.Millisecond), a, s})
}

// step lets everything happen that is due.
func (y *series) step() {
	y.clock.Advance(seriesStep)
	y.stepControllers()
	for _, s := range y.servers {
		if s.up && !s.goneAt.IsZero() && !y.now().Before(s.goneAt) {
			s.up = false
		}
	}
	for _, g := range y.gateways {
		if g.runs(y.now()) {
			y.stepGateway(g)
		}
	}
	for range 1 + len(y.gateways)/10 {
		y.beginStream()
	}
	kept := y.streams[:0]
	for _, s := range y.streams {
		if y.stepStream(s) {
			kept = append(kept, s)
			continue
		}
		y.count(s)
		if s.gateway != nil {
			delete(s.gateway.running, s)
		}
	}
	clear(y.streams[len(kept):])
	y.streams = kept
}

func (y *series) stepControllers() {
	running := 0
	for _, k := range y.controllers {
		if k.runs(y.now()) {
			running++
			for _, datagram := range k.held {
				_ = k.receiver().Receive(datagram)
			}
			k.held = nil
		}
	}
	if 2*running <= len(y.controllers) {
		y.majoritySince = time.Time{}
	} else if y.majoritySince.IsZero() {
		y.majoritySince = y.now()
		y.term++
	}
	if running == 0 {
		return
	}
	for _, s := range y.servers {
		known := y.announced[s.id]
		if s.up && known == nil || !s.up && known != nil && !known.GetGone() {
			y.publish(s, !s.up)
		}
	}
	if y.leads() {
		for _, a := range y.announced {
			y.inLog[a.GetSoftwareVersion()] = true
		}
	}
}

func (y *series) stepGateway(g *seriesGateway) {
	now := y.now()
	for _, datagram := range g.held {
		_ = g.receiver().Receive(datagram)
	}
	g.held = nil
	if y.leads() && !now.Before(g.cutUntil) {
		y.syncLeader(g)
	}
	slices.SortStableFunc(g.inbox, func(a, b seriesUpdate) int { return a.at.Compare(b.at) })
	for len(g.inbox) > 0 && !g.inbox[0].at.After(now) {
		u := g.inbox[0]
		g.inbox = g.inbox[1:]
		y.apply(g, u)
	}
	g.finder.mu.Lock()
	due := now.Sub(g.finder.batchSentAt) >= batchInterval
	g.finder.mu.Unlock()
	if due {
		g.finder.sendBatch()
	}
	if now.Sub(g.refreshedAt) >= 2*time.Second {
		g.refreshedAt = now
		if g.tracker.Mixed(now, "s") {
			g.finder.Refresh(y.runningAt(g))
		}
	}
}

// syncLeader lets a gateway receive the state of the leader, complete if it has none.
func (y *series) syncLeader(g *seriesGateway) {
	now := y.now()
	if !g.synced {
		g.synced = true
		for _, s := range y.servers {
			if a := y.announced[s.id]; a != nil {
				y.apply(g, seriesUpdate{now, a, s})
			}
		}
	}
	present := map[string]bool{}
	for _, a := range y.announced {
		if !a.GetGone() {
			present[a.GetSoftwareVersion()] = true
		}
	}
	for version := range y.inLog {
		if !present[version] {
			g.tracker.RecordUse(now, "s", version)
		}
	}
	g.leaderAt = now
	// The versions of all backend servers are in the log, so that the leader knows all there were.
	g.tracker.ObserveLeader(now, y.term, time.Minute)
}

func (y *series) apply(g *seriesGateway, u seriesUpdate) {
	now := y.now()
	before := g.tracker.Mixed(now, "s")
	g.tracker.Observe(now, u.announcement)
	if u.announcement.GetGone() {
		delete(g.known, u.server.id)
	} else {
		g.known[u.server.id] = u.server
	}
	if !before && g.tracker.Mixed(now, "s") {
		g.finder.Record(y.runningAt(g))
	}
}

// runningAt returns the streams that began at a gateway and run there.
func (y *series) runningAt(g *seriesGateway) []Stream {
	var list []Stream
	for _, s := range y.streams {
		if _, runs := g.running[s]; runs {
			list = append(list, y.origin(s))
		}
	}
	return list
}

func (y *series) origin(s *seriesStream) Stream {
	return Stream{
		Attempt: s.id, Origin: originrecorder.Origin{Service: "s", SoftwareVersion: s.versions[0]},
		Left: s.begunAt.Add(seriesLife).Sub(y.now()) + time.Second,
	}
}

func (y *series) pickGateway() *seriesGateway {
	g := y.gateways[y.random.IntN(len(y.gateways))]
	if !g.runs(y.now()) {
		return nil
	}
	return g
}

// pickServer returns a backend server that a gateway may send to, of one version or of any.
func (y *series) pickServer(g *seriesGateway, version string, pinned bool) *seriesServer {
	var list []*seriesServer
	for _, s := range y.servers {
		if g.known[s.id] != nil && s.up && (!pinned || s.version == version) {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[y.random.IntN(len(list))]
}

func (y *series) beginStream() {
	g := y.pickGateway()
	if g == nil {
		return
	}
	server := y.pickServer(g, "", false)
	if server == nil {
		return
	}
	y.ids++
	y.streams = append(y.streams, &seriesStream{id: fmt.Sprint("r", y.ids), begunAt: y.now(), gateway: g, server: server, nextAt: y.now().Add(seriesInterval)})
}

// stepStream advances a stream, and reports whether it goes on.
func (y *series) stepStream(s *seriesStream) bool {
	now := y.now()
	if now.Sub(s.begunAt) >= seriesLife || len(s.versions) >= seriesEvents {
		return false
	}
	if !s.resumeAt.IsZero() {
		if !now.Before(s.resumeAt) {
			y.resume(s)
		}
		return true
	}
	g := s.gateway
	switch {
	case now.Before(g.upAt), y.random.IntN(2000) == 0:
		return y.breakOff(s)
	case now.Before(g.frozenUntil):
		return true
	case !s.server.up:
		return y.goOnInAnswer(s)
	case now.Before(s.nextAt):
		return true
	}
	s.nextAt = now.Add(seriesInterval)
	first := len(s.versions) == 0
	s.versions = append(s.versions, s.server.version)
	if first {
		g.tracker.RecordUse(now, "s", s.server.version)
		g.running[s] = struct{}{}
		if g.tracker.Mixed(now, "s") {
			g.finder.Record([]Stream{y.origin(s)})
		}
	}
	s.wentOn = s.brokenOff
	return true
}

// goOnInAnswer lets a gateway choose another backend server for a stream that has lost its own.
func (y *series) goOnInAnswer(s *seriesStream) bool {
	version := ""
	if len(s.versions) > 0 {
		version = s.versions[0]
	}
	next := y.pickServer(s.gateway, version, len(s.versions) > 0)
	if next == nil {
		return y.breakOff(s)
	}
	s.server, s.nextAt = next, y.now().Add(seriesInterval)
	return true
}

// breakOff lets the caller of a stream take it up again soon, if it has any event of it.
func (y *series) breakOff(s *seriesStream) bool {
	delete(s.gateway.running, s)
	y.countBreak(s)
	s.gateway, s.brokenOff, s.possible, s.wentOn, s.byController = nil, len(s.versions) > 0, false, false, false
	s.resumeAt = y.now().Add(time.Duration(y.random.IntN(400)) * time.Millisecond)
	return len(s.versions) > 0
}

// resume takes a stream up at any gateway, as a forwarder does.
func (y *series) resume(s *seriesStream) {
	now := y.now()
	s.resumeAt = now.Add(300 * time.Millisecond)
	g := y.pickGateway()
	if g == nil || !g.synced {
		return
	}
	for _, server := range y.servers {
		s.possible = s.possible || server.up && g.known[server.id] != nil && server.version == s.versions[0]
	}
	find := g.finder.Find
	if _, certain := y.onlyVersion(g); certain {
		find = g.finder.FindAtGateways
	}
	result := find(context.Background(), s.id)
	version := result.Origin.SoftwareVersion
	switch result.Knowledge {
	case originrecorder.Ambiguous:
		return
	case originrecorder.Known:
	case originrecorder.Unknown:
		only, certain := y.onlyVersion(g)
		if !certain {
			return
		}
		version = only
	}
	server := y.pickServer(g, version, true)
	if server == nil {
		return
	}
	s.byController = result.OfController
	s.gateway, s.server, s.resumeAt, s.nextAt = g, server, time.Time{}, now.Add(seriesInterval)
}

func (y *series) onlyVersion(g *seriesGateway) (string, bool) {
	return g.tracker.Only(y.now(), "s", seriesLife+time.Second, y.now().Sub(g.leaderAt))
}

// count counts what became of a stream that is over.
func (y *series) count(s *seriesStream) {
	if len(s.versions) == 0 {
		return
	}
	y.counts.begun++
	y.countBreak(s)
	if slices.ContainsFunc(s.versions, func(version string) bool { return version != s.versions[0] }) {
		y.counts.mixed = append(y.counts.mixed, fmt.Sprintf("%s: %q", s.id, s.versions))
	}
}

// countBreak counts what became of a stream since it last broke off.
func (y *series) countBreak(s *seriesStream) {
	if !s.brokenOff {
		return
	}
	y.counts.brokenOff++
	if s.possible {
		y.counts.possible++
	}
	if s.wentOn {
		y.counts.wentOn++
		if s.byController {
			y.counts.byController++
		}
	}
}

// killGateways kills gateways, which start again at different times.
func (y *series) killGateways(n int) {
	for _, i := range y.random.Perm(len(y.gateways))[:n] {
		g := y.gateways[i]
		y.startGateway(g)
		g.upAt = y.now().Add(time.Duration(200+y.random.IntN(2500)) * time.Millisecond)
	}
}

func (y *series) killControllers(n int) {
	for _, i := range y.random.Perm(len(y.controllers))[:n] {
		k := y.controllers[i]
		y.startController(k)
		k.upAt = y.now().Add(time.Duration(200+y.random.IntN(2000)) * time.Millisecond)
	}
	// Controllers that stand still know what was announced to them.
	if !slices.ContainsFunc(y.controllers, func(k *seriesProcess) bool { return !y.now().Before(k.upAt) }) {
		clear(y.announced)
	}
}

func (y *series) freezeControllers(n int) {
	for _, i := range y.random.Perm(len(y.controllers))[:n] {
		y.controllers[i].frozenUntil = y.now().Add(time.Duration(y.random.IntN(6000)) * time.Millisecond)
	}
}

// seriesFaults are what may happen to the system.
var seriesFaults = []struct {
	name string
	// severe is set if what controllers know may be lost too.
	severe bool
	do     func(y *series)
}{
	{"a release, servers leave in turn", false, func(y *series) { y.release(10 * time.Second) }},
	{"a release, servers leave at once", false, func(y *series) { y.release(time.Second) }},
	{"all gateways are killed", false, func(y *series) { y.killGateways(len(y.gateways)) }},
	{"all gateways and a controller are killed", false, func(y *series) { y.killGateways(len(y.gateways)); y.killControllers(1) }},
	{"all gateways are killed, a controller stands still", false, func(y *series) { y.killGateways(len(y.gateways)); y.freezeControllers(1) }},
	{"all gateways are killed, most controllers stand still", false, func(y *series) {
		y.killGateways(len(y.gateways))
		y.freezeControllers(len(y.controllers)/2 + 1)
	}},
	{"a release, then all gateways are killed", false, func(y *series) { y.release(5 * time.Second); y.killGateways(len(y.gateways)) }},
	{"a gateway is killed", false, func(y *series) { y.killGateways(1) }},
	{"a gateway stands still", false, func(y *series) {
		y.gateways[y.random.IntN(len(y.gateways))].frozenUntil = y.now().Add(time.Duration(y.random.IntN(8000)) * time.Millisecond)
	}},
	{"a gateway is cut off from the controllers", false, func(y *series) {
		y.gateways[y.random.IntN(len(y.gateways))].cutUntil = y.now().Add(time.Duration(y.random.IntN(8000)) * time.Millisecond)
	}},
	{"controllers are killed", true, func(y *series) { y.killControllers(1 + y.random.IntN(len(y.controllers))) }},
	{"everything is killed", true, func(y *series) { y.killGateways(len(y.gateways)); y.killControllers(len(y.controllers)) }},
	{"datagrams are lost", true, func(y *series) { y.lossy = []float64{0, 0, 0.1, 0.5, 1}[y.random.IntN(5)] }},
}

// run lets faults happen in series, and returns them.
func (y *series) run(severe bool) []string {
	var happened []string
	faults := seriesFaults
	if !severe {
		faults = nil
		for _, fault := range seriesFaults {
			if !fault.severe {
				faults = append(faults, fault)
			}
		}
	}
	next := y.begin.Add(3 * time.Second)
	for y.now().Sub(y.begin) < seriesLength {
		if !y.now().Before(next) {
			fault := faults[y.random.IntN(len(faults))]
			next = y.now().Add(time.Duration(y.random.IntN(4000)) * time.Millisecond)
			happened = append(happened, fmt.Sprintf("%v %s", y.now().Sub(y.begin), fault.name))
			fault.do(y)
		}
		y.step()
	}
	return happened
}

// No stream gets events of two versions in series of releases and losses of gateways and controllers, and more of those
// that break off go on than with what gateways remember. While controllers are killed one at a
// time, half of those that meet a server of their version go on at least.
func TestStreamsOutliveSeriesOfLosses(t *testing.T) {
	for name, severe := range map[string]bool{"controllers killed one at a time": false, "anything": true} {
		for _, size := range []struct{ gateways, controllers int }{{1, 3}, {3, 3}, {9, 3}, {9, 5}, {40, 3}} {
			t.Run(fmt.Sprintf("%s, %d gateways, %d controllers", name, size.gateways, size.controllers), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				before, after := runSeries(c, size.gateways, size.controllers, severe, false), runSeries(c, size.gateways, size.controllers, severe, true)
				c.Check(after.wentOn > before.wentOn, qt.IsTrue)
				c.Check(after.byController > 0, qt.IsTrue)
				if !severe {
					c.Check(2*after.wentOn >= after.possible, qt.IsTrue)
				}
			})
		}
	}
}

// runSeries runs all seeds of one size, and checks the versions.
func runSeries(c *qt.C, gateways, controllers int, severe, askControllers bool) (sum seriesCounts) {
	seeds := uint64(*seriesSeeds)
	if gateways > seriesFewGateways {
		seeds = max(1, seeds/4)
	}
	for seed := range seeds {
		y := newSeries(*seriesFirst+seed, gateways, controllers, askControllers)
		happened := y.run(severe)
		c.Check(y.counts.mixed, qt.HasLen, 0, qt.Commentf("seed %d, controllers asked: %t: %q", *seriesFirst+seed, askControllers, happened))
		sum.add(y.counts)
	}
	c.Logf("controllers asked: %t; %d streams begun, broken off %d times, %d met a server of their version, %d went on, %d of them by a controller",
		askControllers, sum.begun, sum.brokenOff, sum.possible, sum.wentOn, sum.byController)
	return sum
}
