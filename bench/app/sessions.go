package app

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/wire"
)

type sessionsCommand struct {
	Controller string        `required:"" help:"Address of the leading controller."`
	KeyFile    string        `required:"" help:"File with the cluster's key."`
	Count      int           `default:"150" help:"Sessions."`
	Every      time.Duration `default:"500ms" help:"Time between the renewals of one session."`
	Busy       bool          `help:"Report what a gateway with 35 requests a second reports."`
	Claims     float64       `help:"Claims a second of all sessions together, each with its outcome."`
	Seconds    float64       `default:"10" help:"How long."`
	PID        int           `required:"" help:"Process of the controller."`
}

// Run simulates gateways that renew their sessions and measures the controller's load.
func (c *sessionsCommand) Run(out io.Writer) error {
	key, err := authenticator.ReadKey(c.KeyFile)
	if err != nil {
		return errors.Wrap(err, "bench")
	}
	p := &gatewaySimulator{command: c, transport: connector.NewTransport(nil)}
	p.transport.DialContext = p.dial
	p.transport.MaxIdleConnsPerHost = c.Count + 1
	p.control = wire.NewControlProtobufClient("http://"+c.Controller, &connector.Client{
		Timeout: 5 * time.Second, Key: key, Transport: p.transport,
	})
	ids, err := p.openSessions()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.Seconds*float64(time.Second)))
	defer cancel()
	cpu, bytes, memory := cpuSeconds(c.PID), p.bytes.Load(), residentBytes(c.PID)
	var wg sync.WaitGroup
	for i, id := range ids {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.renewSession(ctx, i, id)
		}()
	}
	if c.Claims > 0 {
		p.sendClaims(ctx, ids)
	}
	wg.Wait()
	used := cpuSeconds(c.PID) - cpu
	renewals := float64(p.renewals.Load())
	_, _ = fmt.Fprintf(out, "%d sessions: %.0f renewals/s, %d failed, %.3f cores, %.0f bytes per session and second on the wire, %d MB resident (%d before)\n",
		c.Count, renewals/c.Seconds, p.failed.Load(), used/c.Seconds,
		float64(p.bytes.Load()-bytes)/c.Seconds/float64(c.Count), residentBytes(c.PID)>>20, memory>>20)
	if n := p.claims.Load(); n > 0 {
		_, _ = fmt.Fprintf(out, "%.0f claims/s, p50 and more: %s\n", float64(n)/c.Seconds, quantiles(p.claimTimes))
	}
	return nil
}

// gatewaySimulator simulates gateways.
type gatewaySimulator struct {
	command   *sessionsCommand
	transport *http.Transport
	control   wire.Control

	bytes, renewals, failed, claims atomic.Int64
	mu                              sync.Mutex
	claimTimes                      []time.Duration
}

func (p *gatewaySimulator) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, errors.Wrap(err, "bench")
	}
	return &countedConn{Conn: conn, bytes: &p.bytes}, nil
}

// countedConn counts the bytes read from and written to a connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (p *gatewaySimulator) openSessions() ([]uint64, error) {
	var ids []uint64
	for i := range p.command.Count {
		res, err := p.control.Open(context.Background(), &wire.OpenRequest{
			Instance: fmt.Sprint("bench-", i), Nonce: fmt.Sprint(time.Now().UnixNano(), "-", i),
		})
		if err != nil {
			return nil, errors.Wrap(err, "bench")
		}
		ids = append(ids, res.GetSession())
	}
	return ids, nil
}

func (p *gatewaySimulator) renewSession(ctx context.Context, position int, id uint64) {
	var backends, sequence uint64
	full := true
	offset := time.Duration(position) * p.command.Every / time.Duration(p.command.Count)
	ticker := time.NewTicker(p.command.Every)
	defer ticker.Stop()
	time.Sleep(offset)
	for ctx.Err() == nil {
		sequence++
		req := &wire.RenewRequest{Session: id, Sequence: sequence, Full: full, BackendsVersion: backends}
		if p.command.Busy {
			addLoad(req, position)
		}
		res, err := p.control.Renew(ctx, req)
		if err != nil {
			full = true
			p.failed.Add(1)
		} else {
			full = res.GetNeedFull()
			backends = res.GetBackendsVersion()
			p.renewals.Add(1)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// addLoad adds the changes that 35 requests per second cause in half a second.
func addLoad(req *wire.RenewRequest, position int) {
	for a := range 12 {
		req.Demands = append(req.Demands, &wire.AdapterDemand{
			Adapter: fmt.Sprintf("summary-%d@3", (position*7+a)%20000), BaseModel: "base", Started: 1, Running: 1,
		})
	}
	for k := range 6 {
		req.Customers = append(req.Customers, &wire.CustomerDemand{Customer: fmt.Sprint("customer-", k), Held: 4, Wanted: 3})
	}
	for e := range 5 {
		req.Announced = append(req.Announced, &wire.Backend{
			Name: fmt.Sprint("engine-", (position*5+e)%1500), Incarnation: "ABCDEFGHIJKLMNOPQRSTUVWXYZ",
			Kind: wire.BackendKind_BACKEND_KIND_ENGINE, Address: "127.0.0.1:1", Zone: "zone-1",
			BaseModel: "other", Slots: 8, Batch: 16, ChecksFencing: true, Running: uint32(e),
		})
	}
}

// sendClaims makes claims at a fixed rate and stores their outcomes.
func (p *gatewaySimulator) sendClaims(ctx context.Context, ids []uint64) {
	outcome := &wire.Outcome{Status: 200, Body: make([]byte, 500)}
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(float64(time.Second) / p.command.Claims))
		wg.Add(1)
		go func() {
			defer wg.Done()
			key := fmt.Sprint("bench-", time.Now().UnixNano(), "-", n)
			start := time.Now()
			_, err := p.control.Claim(ctx, &wire.ClaimRequest{Command: &wire.ClaimCommand{
				Customer: "bench", Key: key, Session: ids[n%len(ids)], Attempt: key, RequestId: key,
				Fingerprint: make([]byte, 32), KeepNs: int64(time.Hour), DeadlineNs: int64(time.Minute),
			}})
			if err != nil {
				p.failed.Add(1)
				return
			}
			p.recordClaim(time.Since(start))
			_, _ = p.control.Finish(ctx, &wire.FinishRequest{Command: &wire.FinishCommand{
				Customer: "bench", Key: key, RequestId: key, Outcome: outcome,
			}})
		}()
	}
	wg.Wait()
}

func (p *gatewaySimulator) recordClaim(took time.Duration) {
	p.claims.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.claimTimes = append(p.claimTimes, took)
}
