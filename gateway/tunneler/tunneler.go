// Package tunneler opens connections to backend servers through other gateways, for a gateway
// that is partitioned from them, and opens such connections for others. A tunnel carries bytes
// only: the gateway that received a request decides on it alone, and what is known of a request
// whose connection breaks is the same as without a tunnel. A tunnel never leads through two
// gateways, since a gateway opens direct connections for others only.
package tunneler

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/pathtracker"
	"bronzelead.example/pkg/repeater"
	"bronzelead.example/pkg/wire"
)

const (
	// maxAsked is how many gateways are asked for one connection at most.
	maxAsked = 3
	// maxFailures is how many gateways have to find a backend server unreachable.
	maxFailures = 2
	// dialTimeout bounds the connection to a gateway.
	dialTimeout = 200 * time.Millisecond
	// openTimeout bounds its answer: the time of a connection attempt there, and some round trips.
	openTimeout = 400 * time.Millisecond
	// callTimeout bounds a call that only reports.
	callTimeout = 300 * time.Millisecond
	// sweepInterval is the time between two updates of the list of gateways.
	sweepInterval = time.Second
)

// Tunneler is one gateway's part. Set the exported fields, call Init, then Run.
type Tunneler struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter
	// Self is the address at which other gateways reach this one, and Zone its zone.
	Self string
	Zone string
	// MaxTunnels bounds the tunnels that are served.
	MaxTunnels int
	// Gateways returns all gateways, as listed by the leader.
	Gateways func() []*wire.GatewayEntry
	// Resolve returns the address and zone of a backend server; empty if it is not known.
	Resolve func(backend string) (address, zone string)
	// Declines reports whether this gateway opens no connections to a backend server for others.
	Declines func(backend string) bool
	// DialContext opens connections to other gateways; nil is a net.Dialer.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// PeerClosed reports whether the peer of a connection has closed or reset it, also while bytes are left to read; nil
	// asks the socket.
	PeerClosed func(c net.Conn) bool
	// Dial opens a direct connection to a backend server, and Probe one that is kept for this
	// gateway's own requests.
	Dial  func(ctx context.Context, backend, address string) (net.Conn, error)
	Probe func(ctx context.Context, backend, address string) error
	// BackOff applies a backoff that a backend server has asked of another gateway on a connection
	// from this instance, or through the other one. It reports whether it begins a backoff.
	BackOff func(backend string, d time.Duration) bool

	transport *http.Transport

	mu sync.Mutex
	// peers chooses among the other gateways.
	peers pathtracker.Peers
	// served are the tunnels that are open for other gateways.
	served   map[*served]struct{}
	stopping bool
}

// Init prepares the tunneler for calls before Run.
func (t *Tunneler) Init() {
	t.transport = connector.NewTransport(nil)
	t.served = map[*served]struct{}{}
}

// Run does the periodic work until ctx ends.
func (t *Tunneler) Run(ctx context.Context) { repeater.Run(ctx, t.Clock, sweepInterval, t.sweep) }

// sweep forgets gateways that are no longer listed.
func (t *Tunneler) sweep() {
	list := t.others()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.Retain(list)
	t.Meter.SetGauge("tunnels_served", float64(len(t.served)))
}

// others returns the other gateways.
func (t *Tunneler) others() []pathtracker.Peer {
	var list []pathtracker.Peer
	for _, g := range t.Gateways() {
		if g.GetAddress() != t.Self && g.GetAddress() != "" {
			list = append(list, pathtracker.Peer{Address: g.GetAddress(), Zone: g.GetZone()})
		}
	}
	return list
}

var errNoGateway = errors.New("no other gateway reaches the backend server, or can tell")

// Open opens a connection to a backend server through another gateway, and returns the
// gateway's address.
func (t *Tunneler) Open(ctx context.Context, backend, address string) (net.Conn, string, error) {
	var conn net.Conn
	via, err := t.ask(ctx, "Open", backend, func(peer string) (outcome wire.Reach, err error) {
		conn, outcome, err = t.openThrough(ctx, peer, backend, address)
		return outcome, err
	})
	return conn, via, err
}

// Check asks another gateway whether it reaches a backend server.
func (t *Tunneler) Check(ctx context.Context, backend, address string) wire.Reach {
	outcome := wire.Reach_REACH_UNKNOWN
	_, err := t.ask(ctx, "Check", backend, func(peer string) (wire.Reach, error) {
		client := &connector.Client{Timeout: openTimeout, Transport: t.transport}
		res, err := wire.NewTunnelingProtobufClient("http://"+peer, client).Check(ctx, &wire.CheckRequest{Backend: backend, Address: address})
		outcome = res.GetReach()
		return outcome, errors.Wrap(err, "call")
	})
	switch {
	case err == nil:
		return wire.Reach_REACH_CONNECTED
	case KindOf(err) == KindNoGateway:
		return wire.Reach_REACH_UNKNOWN
	}
	return outcome
}

// ask asks gateways, one after the other, until one of them reaches a backend server, and returns
// its address.
func (t *Tunneler) ask(ctx context.Context, operation, backend string, call func(peer string) (wire.Reach, error)) (string, error) {
	_, zone := t.Resolve(backend)
	list := t.others()
	var asked, outcomes []string
	var failure error
	failures := 0
	for len(asked) < maxAsked && failures < maxFailures && ctx.Err() == nil {
		t.mu.Lock()
		peer, ok := t.peers.Choose(t.Clock.Now(), list, []string{t.Zone, zone}, asked)
		t.mu.Unlock()
		if !ok {
			break
		}
		asked = append(asked, peer.Address)
		began := t.Clock.Now()
		outcome, err := call(peer.Address)
		label := outcomeLabel(outcome, err)
		outcomes = append(outcomes, peer.Address+" "+label)
		t.Meter.Increment("tunnel_requests", "outcome", label)
		switch {
		case ctx.Err() != nil:
		case err != nil, outcome == wire.Reach_REACH_UNKNOWN:
			t.recordFailure(peer.Address)
		case outcome == wire.Reach_REACH_CONNECTED:
			t.Meter.RecordDuration("tunnel_open", t.Clock.Since(began))
			return peer.Address, nil
		case outcome == wire.Reach_REACH_REFUSED:
			failures++
			failure = syscall.ECONNREFUSED
		default:
			failures++
			failure = os.ErrDeadlineExceeded
		}
	}
	switch {
	case ctx.Err() != nil:
		return "", fail(operation, KindNoGateway, ctx.Err())
	case failure != nil:
		return "", fail(operation, KindUnreachable, errors.Wrapf(failure, "asked %q", outcomes))
	}
	return "", fail(operation, KindNoGateway, errors.Wrapf(errNoGateway, "asked %q", outcomes))
}

func outcomeLabel(outcome wire.Reach, err error) string {
	if err != nil {
		return "Error"
	}
	return outcome.String()
}

func (t *Tunneler) recordFailure(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.RecordFailed(t.Clock.Now(), peer)
}

// The request for a tunnel.
const (
	// Path is the path of requests for tunnels.
	Path         = "/tunnel"
	protocolName = "bronzelead-tunnel"
	// headerGateway names the gateway that requests the tunnel.
	headerGateway = "Bronzelead-Gateway"
	paramBackend  = "Backend"
	paramAddress  = "Address"
)

// openThrough requests a tunnel of a gateway.
func (t *Tunneler) openThrough(ctx context.Context, peer, backend, address string) (net.Conn, wire.Reach, error) {
	c, err := t.dialGateway(ctx, peer)
	if err != nil {
		return nil, 0, errors.Wrap(err, "dial")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	outcome, err := requestTunnel(c, t.Self, backend, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil || outcome != wire.Reach_REACH_CONNECTED {
		_ = c.Close()
		return nil, outcome, err
	}
	t.mu.Lock()
	t.peers.RecordOpened(peer)
	t.mu.Unlock()
	opened := &tunnel{Conn: c, closed: func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.peers.RecordClosed(peer)
	}}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &socketTunnel{tunnel: opened, tcp: tcp}, outcome, nil
	}
	return opened, outcome, nil
}

// dialGateway opens a connection to another gateway within dialTimeout.
func (t *Tunneler) dialGateway(ctx context.Context, peer string) (net.Conn, error) {
	if t.DialContext == nil {
		dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
		return dialer.DialContext(ctx, "tcp", peer)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return t.DialContext(ctx, "tcp", peer)
}

// requestTunnel sends the request for a tunnel on a new connection to a gateway.
func requestTunnel(c net.Conn, self, backend, address string) (wire.Reach, error) {
	target := url.URL{Scheme: "http", Host: c.RemoteAddr().String(), Path: Path, RawQuery: url.Values{paramBackend: {backend}, paramAddress: {address}}.Encode()}
	req := &http.Request{Method: http.MethodGet, URL: &target, Header: http.Header{
		"Connection": {"Upgrade"}, "Upgrade": {protocolName}, headerGateway: {self},
	}}
	_ = c.SetDeadline(time.Now().Add(openTimeout))
	if err := req.Write(c); err != nil {
		return 0, errors.Wrap(err, "request")
	}
	reader := bufio.NewReader(c)
	res, err := http.ReadResponse(reader, req)
	if err != nil {
		return 0, errors.Wrap(err, "answer")
	}
	defer func() { _ = res.Body.Close() }()
	switch {
	case res.StatusCode == http.StatusSwitchingProtocols && reader.Buffered() > 0:
		return 0, errors.New("bytes follow the answer")
	case res.StatusCode == http.StatusSwitchingProtocols:
		return wire.Reach_REACH_CONNECTED, errors.Wrap(c.SetDeadline(time.Time{}), "deadline")
	case res.StatusCode == http.StatusBadGateway:
		return wire.Reach_REACH_REFUSED, nil
	case res.StatusCode == http.StatusGatewayTimeout:
		return wire.Reach_REACH_TIMED_OUT, nil
	}
	return wire.Reach_REACH_UNKNOWN, nil
}

// tunnel is a connection through another gateway. It has no ReadFrom, which would move bytes in the kernel.
type tunnel struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close closes the connection.
func (c *tunnel) Close() error {
	c.once.Do(c.closed)
	return errors.Wrap(c.Conn.Close(), "tunneler: close")
}

// SetLinger sets what Close does with bytes that are still to be sent.
func (c *tunnel) SetLinger(sec int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return errors.Wrap(conn.SetLinger(sec), "tunneler: linger")
	}
	return nil
}

// socketTunnel is a tunnel whose state the kernel can be asked for.
type socketTunnel struct {
	*tunnel
	tcp *net.TCPConn
}

// SyscallConn returns the socket of the connection.
func (c *socketTunnel) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.tcp.SyscallConn()
	return raw, errors.Wrap(err, "tunneler: socket")
}

// ShareBackOff reports a backoff that a backend server has asked for, to the gateways whose
// requests reach it from the same instance: the one that the answer came through, if any, and
// those with tunnels through this one.
func (t *Tunneler) ShareBackOff(backend string, d time.Duration, via, except string) {
	targets := map[string]struct{}{}
	if via != "" {
		targets[via] = struct{}{}
	}
	t.mu.Lock()
	for s := range t.served {
		if s.backend == backend && s.gateway != "" {
			targets[s.gateway] = struct{}{}
		}
	}
	t.mu.Unlock()
	delete(targets, except)
	for address := range targets {
		go t.shareWith(address, backend, d)
	}
}

func (t *Tunneler) shareWith(address, backend string, d time.Duration) {
	client := &connector.Client{Timeout: callTimeout, Transport: t.transport}
	_, err := wire.NewTunnelingProtobufClient("http://"+address, client).Constrain(context.Background(), &wire.ConstrainRequest{
		Backend: backend, BackoffMs: uint32(d.Milliseconds()), Gateway: t.Self,
	})
	if err != nil {
		t.Log.Info("could not report a backoff to a gateway", "Gateway", address, "Backend", backend, "Error", err.Error())
	}
}
