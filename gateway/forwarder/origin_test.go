package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/originfinder"
	"bronzelead.example/pkg/originrecorder"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// longObserved is longer than the streams of the tests last.
const longObserved = time.Minute

// resume takes a stream up after its first event.
func resume(c *qt.C, address, path, resumes string) clientResponse {
	header := platform.StandInResumption(resumes, "1")
	if resumes == "" {
		header = header[1:]
	}
	return callAs(c, "second", clientTimeout, address, path, strings.TrimSuffix(lines(header), "\r\n"))
}

// A stream of which nobody knows who began it goes on only where a single software version can have
// done so, for certain.
func TestStreamsOfUnknownOrigin(t *testing.T) {
	for name, test := range map[string]struct {
		versions  []string
		observed  time.Duration
		leaderAge time.Duration
		resumes   string
		prepare   func(f *Forwarder)
		status    int
	}{
		"one version":                     {[]string{"v1", "v1"}, longObserved, 0, "lost", nil, 200},
		"one version, no id":              {[]string{"v1", "v1"}, longObserved, 0, "", nil, 200},
		"one that states none":            {[]string{""}, longObserved, 0, "", nil, 200},
		"two versions":                    {[]string{"v1", "v2"}, longObserved, 0, "lost", nil, 503},
		"two versions, no id":             {[]string{"v1", "v2"}, longObserved, 0, "", nil, 503},
		"one, and one that states none":   {[]string{"v1", ""}, longObserved, 0, "lost", nil, 503},
		"a leader that has just started":  {[]string{"v1"}, 2 * time.Second, 0, "lost", nil, 503},
		"no leader":                       {[]string{"v1"}, longObserved, 4 * time.Second, "lost", nil, 503},
		"a leader that was just replaced": {[]string{"v1"}, longObserved, 2 * time.Second, "lost", nil, 200},
		"another version that has left": {[]string{"v1"}, longObserved, 0, "lost", func(f *Forwarder) {
			f.Apply("controller", &wire.SyncResponse{Announcements: []*wire.Announcement{{Id: "x", Service: "s", SoftwareVersion: "v2", Gone: true}}})
		}, 503},
		"another version in the log": {[]string{"v1"}, longObserved, 0, "lost", func(f *Forwarder) {
			f.Apply("controller", &wire.SyncResponse{Leads: true, Term: 1, ObservedMs: 60_000, EarlierVersions: []*wire.SoftwareVersion{{Service: "s", Version: "v2"}}})
		}, 503},
		"another version of another service": {[]string{"v1"}, longObserved, 0, "lost", func(f *Forwarder) {
			f.Apply("controller", &wire.SyncResponse{Announcements: []*wire.Announcement{{Id: "x", Service: "t", SoftwareVersion: "v2", Address: "127.0.0.1:1"}}})
		}, 200},
		"an id of two streams": {[]string{"v1"}, longObserved, 0, "twice", func(f *Forwarder) {
			for _, version := range []string{"v1", "v2"} {
				f.Origins.Record([]originfinder.Stream{{Attempt: "twice", Origin: originrecorder.Origin{Service: "s", SoftwareVersion: version}, Left: time.Minute}})
			}
		}, 503},
		"a service that its route does not lead to": {[]string{"v1"}, longObserved, 0, "moved", func(f *Forwarder) {
			f.Origins.Record([]originfinder.Stream{{Attempt: "moved", Origin: originrecorder.Origin{Service: "t", SoftwareVersion: "v1"}, Left: time.Minute}})
		}, 503},
	} {
		for _, path := range []string{"/resumable/", "/stream/"} {
			t.Run(name+" at "+path, func(t *testing.T) {
				c := qt.New(t)
				address, f := newGateway(c, clockwork.NewRealClock())
				f.LeaderAge = func() time.Duration { return test.leaderAge }
				var backends []*fakeBackend
				for i, version := range test.versions {
					backends = append(backends, newVersionedBackend(c, fmt.Sprint("b", i), version))
				}
				state := firstTable(backends...)
				state.ObservedMs = uint32(test.observed.Milliseconds())
				f.Apply("controller", state)
				if test.prepare != nil {
					test.prepare(f)
				}
				got := resume(c, address, path, test.resumes)
				c.Check(got.status, qt.Equals, test.status)
				runs := int32(0)
				for _, b := range backends {
					runs += b.runs.Load()
				}
				c.Check(runs, qt.Equals, map[int]int32{http.StatusOK: 1}[test.status])
			})
		}
	}
}

// Nothing is remembered or sent while a service has one software version; streams that run when another
// one appears are reported then.
func TestOriginsAreReportedWhileVersionsAreMixed(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	began := make(chan struct{}, 1)
	b := newBackend(c, "b", func(_ *fakeBackend, req *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, strings.ReplaceAll(streamHead()+chunk(eventOf(1, "v1")), "ID", requestID(req)))
		began <- struct{}{}
		<-release
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return false
	})
	b.version = "v1"
	address, f := newGateway(c, clockwork.NewRealClock())
	f.Apply("controller", firstTable(b))
	done := make(chan clientResponse)
	go func() { done <- callAs(c, "first", clientTimeout, address, "/resumable/") }()
	<-began
	knows := func() bool {
		return f.Origins.Find(t.Context(), "first").Knowledge == originrecorder.Known
	}
	running := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.runningStreams)
	}
	eventually(c, func() bool { return running() == 1 })
	c.Check(knows(), qt.IsFalse)
	other := newVersionedBackend(c, "b2", "v2")
	f.Apply("controller", &wire.SyncResponse{Announcements: []*wire.Announcement{other.announcement()}})
	eventually(c, knows)
	close(release)
	c.Check((<-done).complete, qt.IsTrue)
	eventually(c, func() bool { return running() == 0 })
}

// controllerOrigins is a controller that knows the origin of every stream.
type controllerOrigins struct {
	version string
	asked   atomic.Int32
}

func (k *controllerOrigins) FindOrigin(context.Context, *wire.FindOriginRequest) (*wire.FindOriginResponse, error) {
	k.asked.Add(1)
	return &wire.FindOriginResponse{
		Knowledge: wire.OriginKnowledge_ORIGIN_KNOWLEDGE_KNOWN, Origin: &wire.StreamOrigin{Service: "s", SoftwareVersion: k.version},
	}, nil
}

// Controllers are asked where no gateway knows the origin and more than one version can have begun the stream, and
// the stream goes on at the version that they name. A service with one version costs them nothing.
func TestOriginsOfControllers(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string
		observed time.Duration
		known    string
		status   int
		asked    int32
	}{
		"two versions":                     {[]string{"v1", "v2"}, longObserved, "v2", 200, 1},
		"two versions, a third began it":   {[]string{"v1", "v2"}, longObserved, "v3", 503, 1},
		"one version":                      {[]string{"v1"}, longObserved, "v1", 200, 0},
		"one version, leader just started": {[]string{"v1"}, 2 * time.Second, "v1", 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, f := newGateway(c, clockwork.NewRealClock())
			known := &controllerOrigins{version: test.known}
			f.Origins.Controllers = func() []string { return []string{"controller"} }
			f.Origins.Client = func(string) wire.Origins { return known }
			var backends []*fakeBackend
			for i, version := range test.versions {
				backends = append(backends, newVersionedBackend(c, fmt.Sprint("b", i), version))
			}
			state := firstTable(backends...)
			state.ObservedMs = uint32(test.observed.Milliseconds())
			f.Apply("controller", state)
			c.Check(resume(c, address, "/resumable/", "lost").status, qt.Equals, test.status)
			c.Check(known.asked.Load(), qt.Equals, test.asked)
			for _, b := range backends {
				if b.version != test.known {
					c.Check(b.runs.Load(), qt.Equals, int32(0))
				}
			}
		})
	}
}

// silentOrigins is a gateway that does not answer, or one that knows no origin.
type silentOrigins struct{ answers bool }

func (g silentOrigins) FindOrigin(ctx context.Context, _ *wire.FindOriginRequest) (*wire.FindOriginResponse, error) {
	if g.answers {
		return &wire.FindOriginResponse{}, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// A gateway was cut off for a few seconds while backend servers of a new software version joined. A stream that one of them had
// begun through another gateway was taken up there, and went on at the only version that it knew.
func TestStreamsAreNotTakenUpByOutdatedVersions(t *testing.T) {
	stale := func(int32) time.Duration { return 2 * time.Second }
	current := func(int32) time.Duration { return 100 * time.Millisecond }
	// It is looked at twice before the gateway waits.
	soonCurrent := func(looks int32) time.Duration {
		if looks <= 4 {
			return 2 * time.Second
		}
		return 0
	}
	for name, test := range map[string]struct {
		leaderAge func(looks int32) time.Duration
		resumes   string
		answers   bool
		// joins is set if the state that arrives late has another version.
		joins  bool
		status int
	}{
		"cut off":                             {stale, "id", false, false, 503},
		"cut off, no id":                      {stale, "", false, false, 503},
		"others do not answer":                {current, "id", false, false, 200},
		"no id":                               {current, "", false, false, 200},
		"others know nothing of it":           {stale, "id", true, false, 200},
		"in contact soon":                     {soonCurrent, "id", false, false, 200},
		"in contact soon, no id":              {soonCurrent, "", false, false, 200},
		"in contact soon, another version":    {soonCurrent, "id", false, true, 503},
		"in contact soon, the same and no id": {soonCurrent, "", false, true, 503},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, f := newGateway(c, clockwork.NewRealClock())
			f.Origins = &originfinder.Finder{
				Clock: f.Clock, Log: f.Log, Meter: f.Meter, Self: "self",
				Gateways: func() []*wire.GatewayEntry {
					return []*wire.GatewayEntry{{Address: "self"}, {Address: "a"}, {Address: "b"}}
				},
				Client: func(string) wire.Origins { return silentOrigins{test.answers} },
			}
			f.Origins.Init()
			b := newVersionedBackend(c, "b1", "v1")
			state := firstTable(b)
			state.ObservedMs = uint32(longObserved.Milliseconds())
			f.Apply("controller", state)
			var looks atomic.Int32
			var joined sync.Once
			f.LeaderAge = func() time.Duration {
				age := test.leaderAge(looks.Add(1))
				if age == 0 && test.joins {
					joined.Do(func() {
						f.Apply("controller", &wire.SyncResponse{Announcements: []*wire.Announcement{{Id: "b2", Service: "s", SoftwareVersion: "v2", Address: "127.0.0.1:1"}}})
					})
				}
				return age
			}
			got := resume(c, address, "/resumable/", test.resumes)
			c.Check(got.status, qt.Equals, test.status)
			c.Check(b.runs.Load(), qt.Equals, map[int]int32{http.StatusOK: 1}[test.status])
		})
	}
}
