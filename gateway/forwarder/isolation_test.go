package forwarder

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// held is a leader's word that a request is held back.
func held(revision uint64, fingerprint string) *wire.SyncResponse {
	return &wire.SyncResponse{
		Leads: true, Term: 1, SuspectsRevision: revision,
		Suspects: []*wire.Suspect{{Fingerprint: fingerprint, Held: true, LeftS: 3600}},
	}
}

// endsWith is a backend server whose process ends when it begins to run a request.
func endsWith(c *qt.C, id string) *backendFake {
	return newBackend(c, id, func(b *backendFake, _ *http.Request, _ net.Conn) bool {
		b.runs.Add(1)
		_ = b.listener.Close()
		return false
	})
}

// A request that is held back is refused at once, with a reason of its own and no invitation
// to come back soon. It has not run, and the answer says so.
func TestWhatIsHeldBackIsRefused(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c, "b1", runsAndAnswers(http.StatusOK, "ok"))
	address, f := gatewayAndForwarder(c, b)
	c.Assert(call(c, address, "/safe/x").status, qt.Equals, http.StatusOK)
	f.Apply("controller", held(1, contentOf("/safe/x")))
	refused := call(c, address, "/safe/x")
	c.Check(refused.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(refused.body, qt.Equals, reasonHeld+"\n")
	c.Check(platform.RetryAfter(fields(refused.header)), qt.Equals, time.Hour)
	c.Check(b.runs.Load(), qt.Equals, int32(1))
	c.Check(call(c, address, "/safe/y").status, qt.Equals, http.StatusOK)
}

// contentOf is the fingerprint of what the tests' callers ask for.
func contentOf(target string) string {
	return (&job{req: asked(target)}).prints()[0]
}

// A gateway tells of a run that was lost with its process, by both of its fingerprints, and
// of a later one that was answered; a lost answer of a process that goes on is not told.
func TestLostRunsAreTold(t *testing.T) {
	for name, test := range map[string]struct {
		backend func(c *qt.C) *backendFake
		reports int
	}{
		"the process ends": {func(c *qt.C) *backendFake { return endsWith(c, "b1") }, 2},
		"it goes on":       {func(c *qt.C) *backendFake { return newBackend(c, "b1", runsAndBreaks("")) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := test.backend(c)
			address, f := gatewayAndForwarder(c, b)
			c.Assert(call(c, address, "/once/x").status, qt.Equals, http.StatusBadGateway)
			// Another request finds out what listens there.
			call(c, address, "/once/y")
			reports, _ := f.Isolator.Reports(0)
			count := 0
			for _, r := range reports {
				if r.GetPlace() == "POST h/once/x" {
					count++
				}
			}
			c.Check(count, qt.Equals, test.reports)
		})
	}
}

// A request under which two backend servers have ended, by the leader's word, is not sent
// again by the gateway, as one that was lost for any other reason is.
func TestSuspectsAreNotRepeated(t *testing.T) {
	for name, test := range map[string]struct {
		suspects []*wire.Suspect
		runs     int32
	}{
		"nobody is":   {nil, 2},
		"another one": {[]*wire.Suspect{{Fingerprint: contentOf("/safe/y")}}, 2},
		"this one":    {[]*wire.Suspect{{Fingerprint: contentOf("/safe/x")}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b1, b2 := endsWith(c, "b1"), endsWith(c, "b2")
			address, f := gatewayAndForwarder(c, b1, b2)
			f.Apply("controller", &wire.SyncResponse{Leads: true, Term: 1, SuspectsRevision: 1, Suspects: test.suspects})
			c.Check(call(c, address, "/safe/x").status, qt.Equals, http.StatusBadGateway)
			c.Check(b1.runs.Load()+b2.runs.Load(), qt.Equals, test.runs)
		})
	}
}
