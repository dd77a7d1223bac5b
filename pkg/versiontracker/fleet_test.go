package versiontracker_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/originrecorder"
	"bronzelead.example/pkg/ranker"
	"bronzelead.example/pkg/versiontracker"
	"bronzelead.example/pkg/wire"
)

// fleetSeeds is the number of seeds that TestStreamsKeepToOneVersion runs for each size, and fleetFirst the
// first of them.
var (
	fleetSeeds = flag.Int("fleet.seeds", 2, "number of seeds of streams over several versions")
	fleetFirst = flag.Uint64("fleet.first", 1, "first seed of streams over several versions")
)

const (
	fleetStep   = 20 * time.Millisecond
	fleetLength = 60 * time.Second
	// streamLife is the longest time of a stream over its caller's attempts, and eventInterval the time
	// between two events of one.
	streamLife    = 8 * time.Second
	eventInterval = 100 * time.Millisecond
	streamEvents  = 30
	// startTime is for how long the leader runs before the first stream.
	startTime = 10 * time.Second
	// announceInterval is the time between two announcements of a backend server.
	announceInterval = 1200 * time.Millisecond
	// silentAfter is the time without an announcement after which a backend server counts as silent.
	silentAfter = 4 * announceInterval
	copies      = 3
	asked       = 5
	// largeFleet is the number of gateways from which a quarter of the seeds run.
	largeFleet = 100
)

// fleetServer is an incarnation of a backend server.
type fleetServer struct {
	id, version string
	announcedAt time.Time
	up          bool
}

// fleetGateway is one gateway: what it knows, and whether it runs.
type fleetGateway struct {
	name     string
	tracker  *versiontracker.Tracker
	recorder *originrecorder.Recorder
	// known are the backend servers that it may send to; list are the gateways that it knows.
	known map[string]*fleetServer
	list  []string
	// inbox holds updates that have not arrived yet.
	inbox []fleetUpdate
	// upAt is when it runs again after a kill, frozenUntil when it goes on, cutUntil when it reaches the
	// controllers again.
	upAt, frozenUntil, cutUntil time.Time
	leaderAt                    time.Time
	// synced is set once it has received the whole state of a leader.
	synced      bool
	running     map[*fleetStream]struct{}
	refreshedAt time.Time
}

// fleetUpdate is something that arrives at a gateway at a time.
type fleetUpdate struct {
	at    time.Time
	apply func(now time.Time)
}

// fleetStream is a stream as its caller sees it.
type fleetStream struct {
	id       string
	begunAt  time.Time
	gateway  *fleetGateway
	server   *fleetServer
	versions []string
	nextAt   time.Time
	// resumeAt is when its caller takes it up; zero while it runs.
	resumeAt time.Time
	tries    int
}

// fleet is gateways, a leader, backend servers and callers in virtual time.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	gateways []*fleetGateway
	servers  []*fleetServer
	streams  []*fleetStream
	// leaderSince is when the leader began to observe, and term its term; leaderFrom is when it is elected.
	leaderSince, leaderFrom time.Time
	term                    uint64
	announced               map[string]*wire.Announcement
	// listed are the gateways as listed by the leader, and byName all of them.
	listed []string
	byName map[string]*fleetGateway
	ids    int
	// lossy is the part of the datagrams that are lost.
	lossy float64
	// mixed are streams of two versions; resumed counts attempts to take one up with a backend server of its
	// version left, goneOn those that went on.
	mixed           []string
	begun           int
	resumed, goneOn int
	datagrams       int
	// versions are the versions of new backend servers.
	versions []string
}

func fleetBegin() time.Time { return time.Unix(1000, 0) }

func newFleet(seed uint64, gateways int) *fleet {
	y := &fleet{
		random: rand.New(rand.NewPCG(seed, uint64(gateways))), now: fleetBegin(), announced: map[string]*wire.Announcement{}, byName: map[string]*fleetGateway{},
		versions: []string{"v1"}, term: 1, leaderSince: fleetBegin().Add(-startTime), leaderFrom: fleetBegin(),
	}
	for i := range gateways {
		g := &fleetGateway{name: fmt.Sprint("g", i)}
		y.gateways, y.byName[g.name] = append(y.gateways, g), g
		y.start(g)
	}
	for range 6 {
		y.addServer("v1")
	}
	return y
}

// start starts a gateway's process with no state.
func (y *fleet) start(g *fleetGateway) {
	g.tracker, g.recorder = &versiontracker.Tracker{}, &originrecorder.Recorder{Max: 4096}
	g.known, g.running = map[string]*fleetServer{}, map[*fleetStream]struct{}{}
	g.list, g.inbox, g.leaderAt, g.synced = nil, nil, time.Time{}, false
}

func (y *fleet) runs(g *fleetGateway) bool {
	return !y.now.Before(g.upAt) && !y.now.Before(g.frozenUntil)
}

func (y *fleet) leads() bool { return !y.now.Before(y.leaderFrom) }

func (y *fleet) addServer(version string) {
	y.ids++
	s := &fleetServer{id: fmt.Sprint("b", y.ids), version: version, up: true}
	y.servers = append(y.servers, s)
	y.announce(s)
}

// announce lets a controller, and then the gateways, know a backend server.
func (y *fleet) announce(s *fleetServer) {
	s.announcedAt = y.now
	known := y.announced[s.id]
	if known != nil && !known.GetSilent() {
		return
	}
	y.publish(&wire.Announcement{Id: s.id, Service: "s", SoftwareVersion: s.version}, s)
}

// publish passes a change of a backend server to the gateways, to each after a time of its own.
func (y *fleet) publish(a *wire.Announcement, s *fleetServer) {
	y.announced[a.GetId()] = a
	for _, g := range y.gateways {
		y.deliver(g, func(now time.Time) { g.applyAnnouncement(y, now, a, s) })
	}
}

// deliver lets something arrive at a gateway soon, or once it reaches the controllers again.
func (y *fleet) deliver(g *fleetGateway, apply func(now time.Time)) {
	at := y.now
	if g.cutUntil.After(at) {
		at = g.cutUntil
	}
	at = at.Add(time.Duration(5+y.random.IntN(60)) * time.Millisecond)
	g.inbox = append(g.inbox, fleetUpdate{at, apply})
}

// syncAll lets a gateway receive the whole state of the leader.
func (y *fleet) syncAll(g *fleetGateway) {
	g.synced = true
	for _, s := range y.servers {
		if a := y.announced[s.id]; a != nil {
			g.applyAnnouncement(y, y.now, a, s)
		}
	}
}

func (g *fleetGateway) applyAnnouncement(y *fleet, now time.Time, a *wire.Announcement, s *fleetServer) {
	before := g.tracker.Mixed(now, "s")
	g.tracker.Observe(now, a)
	if a.GetGone() || a.GetDraining() {
		delete(g.known, a.GetId())
	} else if s != nil {
		g.known[a.GetId()] = s
	}
	if !before && g.tracker.Mixed(now, "s") {
		y.report(g)
	}
}

// report records the origins of all streams that run at a gateway.
func (y *fleet) report(g *fleetGateway) {
	for s := range g.running {
		y.record(g, s)
	}
}

// record records the origin of a stream here and at its owners.
func (y *fleet) record(g *fleetGateway, s *fleetStream) {
	key, origin := originrecorder.KeyOf(s.id), originrecorder.Origin{Service: "s", SoftwareVersion: s.versions[0]}
	left := s.begunAt.Add(streamLife).Sub(y.now) + time.Second
	g.recorder.Record(y.now, key, origin, left)
	for _, name := range ranker.Top(without(g.list, g.name), string(key[:]), copies) {
		y.datagrams++
		to := y.byName[name]
		if y.random.Float64() < y.lossy || y.now.Before(to.upAt) {
			continue
		}
		to.recorder.Record(y.now, key, origin, left)
	}
}

func without(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(other string) bool { return other == name })
}

// find looks the origin of a stream up, as a gateway does.
func (y *fleet) find(g *fleetGateway, s *fleetStream) (string, bool) {
	key := originrecorder.KeyOf(s.id)
	if origin, known := g.recorder.Find(y.now, key); known == originrecorder.Known {
		return origin.SoftwareVersion, true
	}
	for _, name := range ranker.Top(without(g.list, g.name), string(key[:]), asked) {
		other := y.byName[name]
		if !y.runs(other) {
			continue
		}
		if origin, known := other.recorder.Find(y.now, key); known == originrecorder.Known {
			return origin.SoftwareVersion, true
		}
	}
	leaderAge := time.Hour
	if !g.leaderAt.IsZero() {
		leaderAge = y.now.Sub(g.leaderAt)
	}
	return g.tracker.Only(y.now, "s", streamLife+time.Second, leaderAge)
}

// step lets everything happen that is due.
func (y *fleet) step() {
	y.now = y.now.Add(fleetStep)
	y.listed = make([]string, 0, len(y.gateways))
	for _, g := range y.gateways {
		y.listed = append(y.listed, g.name)
	}
	y.stepServers()
	for _, g := range y.gateways {
		if y.runs(g) {
			y.stepGateway(g)
		}
	}
	for range 1 + len(y.gateways)/20 {
		y.beginStream()
	}
	kept := y.streams[:0]
	for _, s := range y.streams {
		if y.stepStream(s) {
			kept = append(kept, s)
		} else if s.gateway != nil {
			delete(s.gateway.running, s)
		}
	}
	clear(y.streams[len(kept):])
	y.streams = kept
}

func (y *fleet) stepServers() {
	if !y.leads() {
		return
	}
	for _, s := range y.servers {
		silence := y.now.Sub(s.announcedAt)
		if s.up && silence >= announceInterval {
			y.announce(s)
		}
		if known := y.announced[s.id]; !s.up && known != nil && !known.GetSilent() && !known.GetGone() && silence > silentAfter {
			y.publish(&wire.Announcement{Id: s.id, Service: "s", SoftwareVersion: s.version, Silent: true}, s)
		}
	}
}

func (y *fleet) stepGateway(g *fleetGateway) {
	if len(g.inbox) > 1 {
		slices.SortStableFunc(g.inbox, func(a, b fleetUpdate) int { return a.at.Compare(b.at) })
	}
	for len(g.inbox) > 0 && !g.inbox[0].at.After(y.now) {
		u := g.inbox[0]
		g.inbox = g.inbox[1:]
		u.apply(y.now)
	}
	if y.leads() && !y.now.Before(g.cutUntil) {
		if !g.synced {
			y.syncAll(g)
		}
		g.leaderAt = y.now.Add(-time.Duration(y.random.IntN(150)) * time.Millisecond)
		g.tracker.ObserveLeader(y.now, y.term, min(g.leaderAt.Sub(y.leaderSince), time.Minute))
		g.list = y.listed
	}
	if y.now.Sub(g.refreshedAt) >= 2*time.Second {
		g.refreshedAt = y.now
		g.recorder.Prune(y.now)
		if g.tracker.Mixed(y.now, "s") {
			y.report(g)
		}
	}
}

// pickGateway returns a gateway that takes a request.
func (y *fleet) pickGateway() *fleetGateway {
	for range 20 {
		if g := y.gateways[y.random.IntN(len(y.gateways))]; y.runs(g) {
			return g
		}
	}
	return nil
}

// pickServer returns a backend server that a gateway may send to, of one version or of any.
func (y *fleet) pickServer(g *fleetGateway, version string, pinned bool) *fleetServer {
	var list []*fleetServer
	for _, s := range g.known {
		if s.up && (!pinned || s.version == version) {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b *fleetServer) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return list[y.random.IntN(len(list))]
}

func (y *fleet) beginStream() {
	g := y.pickGateway()
	if g == nil {
		return
	}
	server := y.pickServer(g, "", false)
	if server == nil {
		return
	}
	y.ids++
	y.begun++
	y.streams = append(y.streams, &fleetStream{
		id: fmt.Sprint("r", y.ids), begunAt: y.now, gateway: g, server: server, nextAt: y.now.Add(eventInterval),
	})
}

// stepStream advances a stream, and reports whether it goes on.
func (y *fleet) stepStream(s *fleetStream) bool {
	if y.now.Sub(s.begunAt) >= streamLife || len(s.versions) >= streamEvents {
		return false
	}
	if !s.resumeAt.IsZero() {
		return y.now.Before(s.resumeAt) || y.resume(s)
	}
	g := s.gateway
	switch {
	case y.now.Before(g.upAt), y.random.IntN(2000) == 0:
		delete(g.running, s)
		return y.breakOff(s)
	case y.now.Before(g.frozenUntil):
		return true
	case !s.server.up:
		return y.goOnInAnswer(s)
	case y.now.Before(s.nextAt):
		return true
	}
	s.nextAt = y.now.Add(eventInterval)
	if len(s.versions) == 0 {
		g.tracker.RecordUse(y.now, "s", s.server.version)
		g.running[s] = struct{}{}
	}
	s.versions = append(s.versions, s.server.version)
	if len(s.versions) == 1 && g.tracker.Mixed(y.now, "s") {
		y.record(g, s)
	}
	if s.versions[0] != s.server.version {
		y.mixed = append(y.mixed, fmt.Sprintf("%s after %v: %q", s.id, y.now.Sub(fleetBegin()), s.versions))
		return false
	}
	return true
}

// goOnInAnswer lets a gateway choose another backend server for a stream that has lost its own.
func (y *fleet) goOnInAnswer(s *fleetStream) bool {
	version := ""
	if len(s.versions) > 0 {
		version = s.versions[0]
	}
	next := y.pickServer(s.gateway, version, len(s.versions) > 0)
	if next == nil {
		delete(s.gateway.running, s)
		return y.breakOff(s)
	}
	s.server, s.nextAt = next, y.now.Add(eventInterval)
	return true
}

// breakOff lets the caller of a stream take it up again soon, if it has any event of it.
func (y *fleet) breakOff(s *fleetStream) bool {
	s.gateway = nil
	s.resumeAt = y.now.Add(time.Duration(y.random.IntN(400)) * time.Millisecond)
	return len(s.versions) > 0
}

// resume takes a stream up at any gateway.
func (y *fleet) resume(s *fleetStream) bool {
	s.tries++
	g := y.pickGateway()
	if g == nil || s.tries > 3 {
		return false
	}
	left := 0
	for _, server := range y.servers {
		if server.up && server.version == s.versions[0] {
			left++
		}
	}
	if left >= 2 {
		y.resumed++
	}
	version, found := y.find(g, s)
	var server *fleetServer
	if found {
		server = y.pickServer(g, version, true)
	}
	if server == nil {
		s.resumeAt = y.now.Add(300 * time.Millisecond)
		return true
	}
	if left >= 2 {
		y.goneOn++
	}
	s.gateway, s.server, s.resumeAt, s.nextAt = g, server, time.Time{}, y.now.Add(eventInterval)
	return true
}

// fleetFaults are what may happen to the system.
var fleetFaults = map[string]func(y *fleet){
	"a version begins": func(y *fleet) {
		y.versions = append(y.versions, fmt.Sprint("v", len(y.versions)+1))
		for range 1 + y.random.IntN(3) {
			y.addServer(y.versions[len(y.versions)-1])
		}
	},
	"a backend server crashes and another comes": func(y *fleet) {
		y.servers[y.random.IntN(len(y.servers))].up = false
		y.addServer(y.versions[y.random.IntN(len(y.versions))])
	},
	"a backend server leaves": func(y *fleet) {
		s := y.servers[y.random.IntN(len(y.servers))]
		if s.up && y.leads() {
			y.publish(&wire.Announcement{Id: s.id, Service: "s", SoftwareVersion: s.version, Gone: true}, nil)
			s.up = false
		}
		y.addServer(y.versions[y.random.IntN(len(y.versions))])
	},
	"a gateway is killed":        func(y *fleet) { y.kill(1) },
	"a third of them":            func(y *fleet) { y.kill((len(y.gateways) + 2) / 3) },
	"all gateways are killed":    func(y *fleet) { y.kill(len(y.gateways)) },
	"the leader is lost":         func(y *fleet) { y.elect(time.Duration(y.random.IntN(3000))*time.Millisecond, false) },
	"all controllers are killed": func(y *fleet) { y.elect(time.Second, true) },
	"everything is killed": func(y *fleet) {
		y.elect(time.Second, true)
		y.kill(len(y.gateways))
	},
	"a gateway is frozen": func(y *fleet) {
		g := y.gateways[y.random.IntN(len(y.gateways))]
		g.frozenUntil = y.now.Add(time.Duration(y.random.IntN(10_000)) * time.Millisecond)
	},
	"a gateway is cut off from the controllers": func(y *fleet) {
		g := y.gateways[y.random.IntN(len(y.gateways))]
		g.cutUntil = y.now.Add(time.Duration(y.random.IntN(10_000)) * time.Millisecond)
	},
	"datagrams are lost": func(y *fleet) { y.lossy = []float64{0, 0.1, 0.5, 1}[y.random.IntN(4)] },
}

// kill kills gateways, which start again soon.
func (y *fleet) kill(n int) {
	for _, i := range y.random.Perm(len(y.gateways))[:n] {
		g := y.gateways[i]
		y.start(g)
		g.upAt = y.now.Add(time.Duration(200+y.random.IntN(800)) * time.Millisecond)
	}
}

// elect replaces the leader after a time. One that has restarted knows no backend servers.
func (y *fleet) elect(after time.Duration, restarted bool) {
	y.leaderFrom = y.now.Add(after)
	y.term++
	if restarted {
		y.leaderSince = y.leaderFrom
		clear(y.announced)
	}
}

// severeFaults are those after which what was known of streams is lost, so that many can't go on.
var severeFaults = []string{"all gateways are killed", "all controllers are killed", "everything is killed", "datagrams are lost", "a third of them"}

// faultNames returns the faults in a fixed order.
func faultNames(severe bool) []string {
	var names []string
	for name := range fleetFaults {
		if severe || !slices.Contains(severeFaults, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// run lets faults happen in series, and returns them.
func (y *fleet) run(faults []string) []string {
	var happened []string
	next := y.now.Add(5 * time.Second)
	for y.now.Before(fleetBegin().Add(fleetLength)) {
		if !y.now.Before(next) {
			next = y.now.Add(time.Duration(y.random.IntN(3000)) * time.Millisecond)
			name := faults[y.random.IntN(len(faults))]
			happened = append(happened, fmt.Sprintf("%v %s", y.now.Sub(fleetBegin()), name))
			fleetFaults[name](y)
		}
		y.step()
	}
	return happened
}

// Streams keep to the software version that began them while versions come and go, and gateways and
// controllers are killed, frozen and cut off in series, whatever is lost. While gateways fail one at a
// time, streams go on half as often as new ones begin, at least.
func TestStreamsKeepToOneVersion(t *testing.T) {
	for name, severe := range map[string]bool{"one at a time": false, "anything": true} {
		for _, gateways := range []int{1, 3, 9, 40, 300} {
			t.Run(fmt.Sprint(name, " at ", gateways), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				sum := fleet{}
				seeds := uint64(*fleetSeeds)
				if gateways > largeFleet {
					seeds = max(1, seeds/4)
				}
				for seed := range seeds {
					y := newFleet(*fleetFirst+seed, gateways)
					happened := y.run(faultNames(severe))
					c.Check(y.mixed, qt.HasLen, 0, qt.Commentf("seed %d: %q", *fleetFirst+seed, happened))
					sum.begun, sum.resumed, sum.goneOn, sum.datagrams = sum.begun+y.begun, sum.resumed+y.resumed, sum.goneOn+y.goneOn, sum.datagrams+y.datagrams
				}
				c.Logf("%d streams begun, %d of %d attempts to take one up went on, %.2f datagrams a stream", sum.begun, sum.goneOn, sum.resumed,
					float64(sum.datagrams)/float64(sum.begun))
				if !severe && gateways > 1 {
					c.Check(2*sum.goneOn >= sum.resumed, qt.IsTrue)
				}
			})
		}
	}
}
