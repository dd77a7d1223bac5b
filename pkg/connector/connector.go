// Package connector creates the HTTP clients with which bronzelead's processes call each other
// and backend servers.
//
// A connection can go silent permanently while new ones work. So each call has a deadline, and
// after a call that exceeded it all idle connections are closed: the next call uses a new one.
package connector

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// defaultDialTimeout is many round trips within a region. A first packet that is lost, or
	// that reached an instance before it was up, is sent again by the kernel only after a
	// second: dialling again is quicker.
	defaultDialTimeout  = 200 * time.Millisecond
	defaultIdleTimeout  = 5 * time.Second
	defaultMaxIdleConns = 256
	// maxTransfer bounds a call whose answer keeps coming.
	maxTransfer = 10 * time.Second
	// maxHeadBytes bounds the head of an answer, with the interim answers before it; net/http reads 10 MB by default.
	maxHeadBytes = 64 << 10
	// defaultMaxAnswer bounds the body of an answer in bytes. The largest are whole tables and the holdings of all machines.
	defaultMaxAnswer = 32 << 20
)

// Client calls other processes. Set the exported fields, then call Do. It serves as the client
// of generated twirp code.
type Client struct {
	// Timeout bounds a call until its answer has been read; if Stall is set, until the answer begins.
	Timeout time.Duration
	// Stall bounds the time between two reads of an answer of any size, in which bytes arrive; such a call takes
	// maxTransfer at most. 0 is no such bound.
	Stall time.Duration
	// MaxAnswer bounds the body of an answer in bytes; reading a longer one fails. 0 is 32 MiB.
	MaxAnswer int64
	// Key is sent as a bearer token.
	Key string
	// Forwarded marks calls that were forwarded by another controller.
	Forwarded bool
	// Transport may be shared between clients. It must be set; Do fails without it.
	Transport *http.Transport
}

// ForwardedHeader marks a call that must not be forwarded again.
const ForwardedHeader = "Bronzelead-Forwarded"

// NewTransport returns a transport whose connections are dialled quickly and do not stay idle
// for long. Guard, if not nil, is called before the first write of each request, and its error
// fails the write.
func NewTransport(guard func() error) *http.Transport {
	return NewTransportWith((&net.Dialer{}).DialContext, guard)
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransportWith is NewTransport for connections that are opened another way.
func NewTransportWith(dial Dial, guard func() error) *http.Transport {
	transport := &http.Transport{
		MaxIdleConnsPerHost:    defaultMaxIdleConns,
		IdleConnTimeout:        defaultIdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, defaultDialTimeout)
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn = &endingConn{Conn: conn}
		if guard == nil {
			return conn, nil
		}
		return &guardedConn{Conn: conn, guard: guard, single: transport.DisableKeepAlives}, nil
	}
	return transport
}

// guardedConn calls its guard directly before the first byte of each request is written, so
// that no event since an earlier check is missed. The rest of a request that has begun is
// always written: a request of which nothing was written certainly did not run, an interrupted
// one might have.
type guardedConn struct {
	net.Conn
	guard func() error
	// single is set if the connection has one request only, so that what is read begins no other one: an interim answer
	// may arrive before the request has been written.
	single       bool
	requestBegun atomic.Bool
}

func (c *guardedConn) Write(b []byte) (int, error) {
	if !c.requestBegun.Load() {
		if err := c.guard(); err != nil {
			return 0, err
		}
		c.requestBegun.Store(true)
	}
	return c.Conn.Write(b)
}

// Read records that an answer has arrived, after which the next write is a new request.
func (c *guardedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.single {
		c.requestBegun.Store(false)
	}
	return n, err
}

var (
	// errNoTransport means that nothing was sent.
	errNoTransport   = errors.New("connector: no transport is set")
	errAnswerTooLong = errors.New("connector: the answer is too long")
)

// Do sends a request with the key and a deadline.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	if c.Transport == nil {
		return nil, errNoTransport
	}
	ctx, cancel := context.WithTimeout(req.Context(), c.limit())
	var stalled *time.Timer
	if c.Stall > 0 {
		stalled = time.AfterFunc(c.Timeout, cancel)
	}
	req = req.WithContext(ctx)
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if c.Forwarded {
		req.Header.Set(ForwardedHeader, "1")
	}
	res, err := RoundTrip(c.Transport, req)
	if err != nil {
		if stalled != nil {
			stalled.Stop()
		}
		cancel()
		c.Transport.CloseIdleConnections()
		return nil, errors.Wrap(err, "connector")
	}
	if stalled != nil && stalled.Stop() {
		stalled.Reset(c.Stall)
	}
	res.Body = &body{ReadCloser: res.Body, cancel: cancel, stalled: stalled, stall: c.Stall, left: c.maxAnswer()}
	return res, nil
}

// limit bounds a call as a whole.
func (c *Client) limit() time.Duration {
	if c.Stall > 0 {
		return max(c.Timeout, maxTransfer)
	}
	return c.Timeout
}

func (c *Client) maxAnswer() int64 {
	if c.MaxAnswer > 0 {
		return c.MaxAnswer
	}
	return defaultMaxAnswer
}

// body bounds an answer, and ends the call's deadline once the answer has been read.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
	// stalled ends the call if nothing arrives for the time stall; nil if only its deadline does.
	stalled *time.Timer
	stall   time.Duration
	// left is how many bytes may still come.
	left int64
}

func (b *body) Read(p []byte) (int, error) {
	// One more byte shows that the answer is longer.
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left+1)])
	if b.left -= int64(n); b.left < 0 {
		b.cancel()
		return 0, errAnswerTooLong
	}
	if n > 0 && b.stalled != nil && b.stalled.Stop() {
		b.stalled.Reset(b.stall)
	}
	if err == io.EOF {
		return n, io.EOF
	}
	return n, errors.Wrap(err, "connector: read")
}

func (b *body) Close() error {
	err := b.ReadCloser.Close()
	if b.stalled != nil {
		b.stalled.Stop()
	}
	b.cancel()
	return errors.Wrap(err, "connector: close")
}
