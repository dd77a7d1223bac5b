package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// tableWithKeys is the test table with two customers and an open route.
func tableWithKeys(version uint64, keys ...string) *wire.RoutingTable {
	t := testTable()
	t.Version, t.KeysRequired = version, true
	open := proto.CloneOf(t.Routes[0])
	open.Name, open.PathPrefix, open.Open = "open", "/open/", true
	t.Routes = append(t.Routes, open)
	for i, key := range keys {
		digest := authenticator.DigestOf(key)
		t.Customers = append(t.Customers, &wire.RoutedCustomer{Name: fmt.Sprint("c", i+1), KeyDigests: [][]byte{digest[:]}})
	}
	return t
}

func withKey(key string) string { return strings.TrimSuffix(lines(platform.StandInKey(key)), "\r\n") }

func withClaimedCustomer(customer string) string {
	return strings.TrimSuffix(lines(platform.StandInClaimedCustomer(customer)), "\r\n")
}

func keyedGateway(c *qt.C, age time.Duration, backends ...*fakeBackend) (string, *Forwarder) {
	address, f := startGatewayAndForwarder(c, backends...)
	f.LeaderAge = func() time.Duration { return age }
	f.Apply("controller", &wire.SyncResponse{Table: tableWithKeys(4, "k1", "k2")})
	return address, f
}

// A backend server receives the name of the key's customer, whatever the caller claims, and
// never a key.
func TestCustomerIsIdentifiedByKey(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		header []string
		status int
		want   string
	}{
		"a key":                       {"/safe/", []string{withKey("k1")}, 200, "c1"},
		"a key and a claim":           {"/safe/", []string{withClaimedCustomer("c9"), withKey("k2")}, 200, "c2"},
		"no key":                      {"/safe/", nil, 401, ""},
		"an unknown key":              {"/safe/", []string{withKey("k3")}, 401, ""},
		"two keys":                    {"/safe/", []string{withKey("k1"), withKey("k2")}, 401, ""},
		"only a claim":                {"/safe/", []string{withClaimedCustomer("c1")}, 401, ""},
		"an open route":               {"/open/", nil, 200, ""},
		"an open route and a claim":   {"/open/", []string{withClaimedCustomer("c1")}, 200, ""},
		"an open route and a key":     {"/open/", []string{withKey("k2")}, 200, "c2"},
		"an open route, unknown key":  {"/open/", []string{withKey("k3"), withClaimedCustomer("c1")}, 200, ""},
		"a route that does not exist": {"/none/", nil, 404, ""},
		"a stream":                    {"/resumable/", []string{withKey("k1")}, 200, "c1"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBackend(c, "b", runsAndAnswers(200, "x"))
			address, _ := keyedGateway(c, 0, b)
			res := call(c, address, test.path, test.header...)
			c.Assert(res.status, qt.Equals, test.status)
			if test.status != 200 {
				c.Check(b.requests(), qt.HasLen, 0)
				return
			}
			sent := fields(b.requests()[0].Header)
			c.Check(platform.DecodeDispatch(sent).Customer, qt.Equals, test.want)
			c.Check(platform.DecodeKey(sent), qt.Equals, "")
		})
	}
}

// A gateway rejects a key as unknown only if no newer table can contain it.
func TestKeyIsRejectedOnlyIfTableIsCurrent(t *testing.T) {
	for name, test := range map[string]struct {
		age    time.Duration
		strict bool
		key    string
		want   int
	}{
		"recent state":                {100 * time.Millisecond, false, "k3", 401},
		"old state":                   {2 * time.Second, false, "k3", 503},
		"old state, known key":        {time.Minute, false, "k1", 200},
		"old state, strict":           {time.Minute, true, "k1", 503},
		"recent state, strict":        {100 * time.Millisecond, true, "k1", 200},
		"recent state, strict, other": {100 * time.Millisecond, true, "k3", 401},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBackend(c, "b", runsAndAnswers(200, "x"))
			address, f := keyedGateway(c, test.age, b)
			f.Keys = KeyPolicy{Strict: test.strict, StaleAfter: 5 * time.Second}
			c.Check(call(c, address, "/safe/", withKey(test.key)).status, qt.Equals, test.want)
		})
	}
}

// A key is valid for a request, not for a connection; and a request with an unknown key leaves
// its connection usable, although nothing has read its body.
func TestKeyIsCheckedPerRequest(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c, "b", runsAndAnswers(200, "x"))
	address, f := keyedGateway(c, 0, b)
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	send := func(key string) int {
		_, err := io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"+
			lines(platform.StandInRequest("r1", clientTimeout))+lines(platform.StandInKey(key))+"\r\nabc")
		c.Assert(err, qt.IsNil)
		res, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, res.Body)
		c.Assert(err, qt.IsNil)
		return res.StatusCode
	}
	for _, step := range []struct {
		key  string
		want int
	}{{"k1", 200}, {"k3", 401}, {"", 401}, {strings.Repeat("k", 8000), 401}, {"k2", 200}} {
		c.Check(send(step.key), qt.Equals, step.want)
	}
	f.Apply("controller", &wire.SyncResponse{Table: tableWithKeys(5, "k2")})
	c.Check(send("k1"), qt.Equals, 401)
	c.Check(send("k2"), qt.Equals, 200)
	c.Check(platform.DecodeDispatch(fields(b.requests()[2].Header)).Customer, qt.Equals, "c1")
}

// A request whose key is revoked while it waits for a backend server is not sent.
func TestKeyRevokedWhileRequestWaits(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	b := newBackend(c, "b", func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
		<-release
		return runsAndAnswers(200, "x")(b, req, conn)
	})
	address, f := keyedGateway(c, 0)
	// Requests wait here, and not for a slot that is granted by another gateway.
	f.Disabled = ablator.Disable(ablator.Dispensing)
	announced := b.announcement()
	announced.Slots = 1
	f.Apply("controller", &wire.SyncResponse{Announcements: []*wire.Announcement{announced}})
	answers := make(chan int, 64)
	send := func(key string) { answers <- call(c, address, "/once/", withKey(key)).status }
	for range 48 {
		go send("k1")
	}
	// Wait until the backend server has no room left, so that further requests wait here.
	eventually(c, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.balancer.Waiting() > 0 && len(b.requests())+f.balancer.Waiting() == 48
	})
	f.Apply("controller", &wire.SyncResponse{Table: tableWithKeys(5, "k2")})
	close(release)
	counts := map[int]int{}
	for range 48 {
		counts[<-answers]++
	}
	c.Check(counts[401] > 0, qt.IsTrue, qt.Commentf("%v", counts))
	c.Check(counts[200]+counts[401], qt.Equals, 48, qt.Commentf("%v", counts))
	c.Check(int(b.runs.Load()), qt.Equals, counts[200])
}
