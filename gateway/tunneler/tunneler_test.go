package tunneler

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/socketprober"
	"bronzelead.example/pkg/wire"
)

// site is a gateway that opens tunnels, one that serves them, and a backend server.
type site struct {
	c      *qt.C
	client *Tunneler
	peer   *Tunneler
	// backend is the listener of the backend server, and address its address.
	backend net.Listener
	address string
	// declines makes the peer open no connections, and backoffs are those that were reported to it.
	declines bool
	backoffs chan time.Duration
}

func newSite(t *testing.T) *site {
	c := qt.New(t)
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = backend.Close() })
	s := &site{c: c, backend: backend, address: backend.Addr().String(), backoffs: make(chan time.Duration, 1)}
	s.peer = s.newTunneler()
	server := &Server{Tunneler: s.peer}
	mux := http.NewServeMux()
	mux.Handle(Path, server)
	mux.Handle(wire.TunnelingPathPrefix, wire.NewTunnelingServer(server))
	mesh := httptest.NewServer(mux)
	c.Cleanup(mesh.Close)
	s.peer.Self = strings.TrimPrefix(mesh.URL, "http://")
	s.client = s.newTunneler()
	s.client.Gateways = func() []*wire.GatewayEntry {
		return []*wire.GatewayEntry{{Address: s.client.Self}, {Address: s.peer.Self, Zone: "z"}}
	}
	return s
}

func (s *site) newTunneler() *Tunneler {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	}
	t := &Tunneler{
		Clock: clockwork.NewRealClock(), Log: slog.New(slog.NewTextHandler(s.c.Output(), nil)), Meter: meter.New("gateway", "test", "z"),
		Self: "127.0.0.1:1", Zone: "z", Gateways: func() []*wire.GatewayEntry { return nil },
		Resolve: func(backend string) (address, zone string) {
			if backend != "b" {
				return "", ""
			}
			return s.address, "z"
		},
		Declines: func(string) bool { return s.declines },
		Dial:     dial,
		Probe: func(ctx context.Context, backend, address string) error {
			conn, err := dial(ctx, backend, address)
			if err == nil {
				_ = conn.Close()
			}
			return err
		},
		BackOff: func(_ string, d time.Duration) bool { s.backoffs <- d; return true },
	}
	t.Init()
	return t
}

// open opens a tunnel and returns both ends.
func (s *site) open() (conn net.Conn, served net.Conn) {
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := s.backend.Accept()
		accepted <- c
	}()
	conn, via, err := s.client.Open(context.Background(), "b", s.address)
	s.c.Assert(err, qt.IsNil)
	s.c.Check(via, qt.Equals, s.peer.Self)
	s.c.Cleanup(func() { _ = conn.Close() })
	return conn, <-accepted
}

// An answer that ends with its connection is complete only if the backend server has closed it.
func TestEndsAndResetsPassThroughTunnels(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(c net.Conn)
		want error
	}{
		"closed": {func(c net.Conn) { _ = c.Close() }, nil},
		"reset":  {func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() }, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			conn, served := s.open()
			_, err := io.WriteString(conn, "request\n")
			s.c.Assert(err, qt.IsNil)
			line, err := bufio.NewReader(served).ReadString('\n')
			s.c.Assert(err, qt.IsNil)
			s.c.Check(line, qt.Equals, "request\n")
			_, err = io.WriteString(served, "half of the answer")
			s.c.Assert(err, qt.IsNil)
			buf := make([]byte, len("half of the answer"))
			_, err = io.ReadFull(conn, buf)
			s.c.Assert(err, qt.IsNil)
			test.end(served)
			_, err = io.ReadAll(conn)
			s.c.Check(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// A gateway must be able to tell whether a tunnel that it keeps is still open, and to drop what it has not sent yet.
func TestTunnelsAreSockets(t *testing.T) {
	s := newSite(t)
	conn, served := s.open()
	s.c.Check(socketprober.Probe(conn), qt.Equals, socketprober.Idle)
	lingering, ok := conn.(interface{ SetLinger(sec int) error })
	s.c.Assert(ok, qt.IsTrue)
	s.c.Assert(lingering.SetLinger(0), qt.IsNil)
	s.c.Assert(conn.Close(), qt.IsNil)
	_, err := served.Read(make([]byte, 1))
	s.c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
	s.c.Check(socketprober.Probe(conn), qt.Equals, socketprober.Closed)
}

// A backend server must notice that a caller has left.
func TestClosedTunnelEndsAtBackend(t *testing.T) {
	s := newSite(t)
	conn, served := s.open()
	s.c.Assert(conn.Close(), qt.IsNil)
	_, err := served.Read(make([]byte, 1))
	s.c.Check(err, qt.Not(qt.IsNil))
}

// A long body passes whole in both directions.
func TestLongBodiesPassThroughTunnels(t *testing.T) {
	s := newSite(t)
	conn, served := s.open()
	body := strings.Repeat("0123456789abcdef", 1<<16)
	go func() { _, _ = io.Copy(served, io.LimitReader(served, int64(len(body)))) }()
	go func() { _, _ = io.WriteString(conn, body) }()
	echo := make([]byte, len(body))
	_, err := io.ReadFull(conn, echo)
	s.c.Assert(err, qt.IsNil)
	s.c.Check(string(echo) == body, qt.IsTrue)
}

// What a gateway learns when it asks another one for a connection.
func TestOutcomesOfRequestsForTunnels(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(s *site)
		backend string
		kind    Kind
		refused bool
		reach   wire.Reach
	}{
		"a backend server that is up":     {func(*site) {}, "b", 0, false, wire.Reach_REACH_CONNECTED},
		"nothing listens there":           {func(s *site) { _ = s.backend.Close() }, "b", KindUnreachable, true, wire.Reach_REACH_REFUSED},
		"another backend server":          {func(*site) {}, "unknown", KindNoGateway, false, wire.Reach_REACH_UNKNOWN},
		"another incarnation's address":   {func(s *site) { s.client.Resolve, s.address = s.peer.Resolve, "127.0.0.1:1" }, "b", KindNoGateway, false, wire.Reach_REACH_UNKNOWN},
		"a gateway without a path to it":  {func(s *site) { s.declines = true }, "b", KindNoGateway, false, wire.Reach_REACH_UNKNOWN},
		"a gateway that is stopping":      {func(s *site) { s.peer.stopping = true }, "b", KindNoGateway, false, wire.Reach_REACH_UNKNOWN},
		"a gateway that is down":          {func(s *site) { s.peer.Self = "127.0.0.1:1" }, "b", KindNoGateway, false, wire.Reach_REACH_UNKNOWN},
		"no other gateway":                {func(s *site) { s.client.Self = s.peer.Self }, "b", KindNoGateway, false, wire.Reach_REACH_UNKNOWN},
		"a gateway with too many tunnels": {func(s *site) { s.peer.MaxTunnels, s.peer.served = 1, map[*served]struct{}{{}: {}} }, "b", KindNoGateway, false, wire.Reach_REACH_UNKNOWN},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			address := s.address
			test.prepare(s)
			conn, _, err := s.client.Open(context.Background(), test.backend, address)
			if conn != nil {
				s.c.Check(conn.Close(), qt.IsNil)
			}
			s.c.Check(KindOf(err), qt.Equals, test.kind)
			s.c.Check(errors.Is(err, syscall.ECONNREFUSED), qt.Equals, test.refused)
			if err != nil && s.client.Self != s.peer.Self {
				s.c.Check(err, qt.ErrorMatches, ".*asked .*"+s.peer.Self+" .*")
			}
			// The first call may have stopped the requests to the gateway for a time.
			s.client.Init()
			s.client.peers = newSite(t).client.peers
			s.c.Check(s.client.Check(context.Background(), test.backend, address), qt.Equals, test.reach)
		})
	}
}

// A request that is not for a tunnel is rejected, and opens no connection.
func TestOtherRequestsOpenNoTunnel(t *testing.T) {
	for name, test := range map[string]struct {
		method, query, upgrade string
		status                 int
	}{
		"no protocol":       {http.MethodGet, "?Backend=b", "", http.StatusBadRequest},
		"another protocol":  {http.MethodGet, "?Backend=b", "websocket", http.StatusBadRequest},
		"another method":    {http.MethodPost, "?Backend=b", protocolName, http.StatusBadRequest},
		"no backend server": {http.MethodGet, "", protocolName, http.StatusServiceUnavailable},
		"no address":        {http.MethodGet, "?Backend=b", protocolName, http.StatusServiceUnavailable},
		"not decodable":     {http.MethodGet, "?Backend=%zz", protocolName, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.peer.Dial = func(context.Context, string, string) (net.Conn, error) {
				s.c.Error("a connection was opened")
				return nil, io.EOF
			}
			req := httptest.NewRequest(test.method, Path+test.query, nil)
			req.Header.Set("Upgrade", test.upgrade)
			w := httptest.NewRecorder()
			(&Server{Tunneler: s.peer}).ServeHTTP(w, req)
			s.c.Check(w.Code, qt.Equals, test.status)
		})
	}
}

// A backend server that asks for a backoff on a tunnel counts the gateway that serves it.
func TestBackoffsReachTheOtherEnd(t *testing.T) {
	s := newSite(t)
	s.client.ShareBackOff("b", 3*time.Second, s.peer.Self, "")
	s.c.Check(<-s.backoffs, qt.Equals, 3*time.Second)
}

// An answer that ends with its connection looked complete when the gateway that served the tunnel
// exited. The connections of a process that exits are closed by the kernel.
func TestAnswersOfExitedGatewaysAreIncomplete(t *testing.T) {
	s := newSite(t)
	conn, served := s.open()
	_, err := io.WriteString(served, "half of the answer")
	s.c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(conn, make([]byte, len("half of the answer")))
	s.c.Assert(err, qt.IsNil)
	s.peer.mu.Lock()
	for tunnel := range s.peer.served {
		_ = tunnel.downstream.Close()
	}
	s.peer.mu.Unlock()
	_, err = io.ReadAll(conn)
	s.c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

// A gateway that is stopping ends tunnels that carry nothing, and none that were used a moment ago or
// wait for an answer.
func TestStoppingGatewayClosesQuietTunnels(t *testing.T) {
	for name, test := range map[string]struct {
		request, answer string
		after           time.Duration
		closed          bool
	}{
		"not used":                   {"", "", 2 * quietTime, true},
		"used a moment ago":          {"request", "answer", quietTime / 2, false},
		"answered":                   {"request", "answer", 2 * quietTime, true},
		"the request is in progress": {"request", "", 2 * quietTime, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			clock := clockwork.NewFakeClock()
			s.peer.Clock = clock
			conn, served := s.open()
			_, err := io.WriteString(conn, test.request)
			s.c.Assert(err, qt.IsNil)
			_, err = io.ReadFull(served, make([]byte, len(test.request)))
			s.c.Assert(err, qt.IsNil)
			_, err = io.WriteString(served, test.answer)
			s.c.Assert(err, qt.IsNil)
			_, err = io.ReadFull(conn, make([]byte, len(test.answer)))
			s.c.Assert(err, qt.IsNil)
			clock.Advance(test.after)
			s.c.Check(s.peer.closeQuiet() == 0, qt.Equals, test.closed)
			if test.closed {
				_, err = conn.Read(make([]byte, 1))
				s.c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
			}
		})
	}
}

// A gateway that is stopping waited for its own requests only.
func TestStoppingGatewayWaitsForTunnels(t *testing.T) {
	s := newSite(t)
	clock := clockwork.NewFakeClock()
	s.peer.Clock = clock
	conn, served := s.open()
	exchange := func(from, to net.Conn, text string) {
		_, err := io.WriteString(from, text)
		s.c.Assert(err, qt.IsNil)
		_, err = io.ReadFull(to, make([]byte, len(text)))
		s.c.Assert(err, qt.IsNil)
	}
	exchange(conn, served, "request")
	stopped := make(chan struct{})
	go func() { s.peer.Stop(context.Background()); close(stopped) }()
	for range 3 {
		s.c.Assert(clock.BlockUntilContext(context.Background(), 1), qt.IsNil)
		clock.Advance(2 * quietTime)
	}
	exchange(served, conn, "answer")
	for done := false; !done; {
		select {
		case <-stopped:
			done = true
		case <-time.After(time.Millisecond):
			clock.Advance(quietTime)
		}
	}
	_, err := conn.Read(make([]byte, 1))
	s.c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}
