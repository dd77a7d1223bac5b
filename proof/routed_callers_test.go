package proof

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"bronzelead.example/platform"
)

// kind is the path under which requests of a kind are sent.
type kind string

const (
	once       kind = "/once/"
	idempotent kind = "/idempotent/"
	stream     kind = "/stream/"
	// markerPrefix begins the paths that only one table each has.
	markerPrefix = "/marker-"
)

func kindOfPath(path string) kind {
	for _, k := range []kind{once, stream} {
		if strings.HasPrefix(path, string(k)) {
			return k
		}
	}
	return idempotent
}

func pathOf(sent string) string {
	_, rest, _ := strings.Cut(sent, " ")
	path, _, _ := strings.Cut(rest, " ")
	return path
}

// callerPatience is how long callers wait for an answer.
const callerPatience = 4 * time.Second

// caller sends requests over a connection that it keeps until something goes wrong.
type caller struct {
	y    *routedSystem
	name string
	to   *instance
	// from is the address that it calls from; nil for any.
	from net.Addr
	// key is what it sends with its requests; empty for none.
	key    string
	count  int
	conn   net.Conn
	reader *bufio.Reader
}

func newCaller(y *routedSystem, name string, to *instance) *caller {
	return &caller{y: y, name: name, to: to}
}

func (l *caller) hangUp() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// seen is what a caller got. Without an answer the status is 0.
type seen struct {
	id       string
	status   int
	complete bool
}

// ask sends one request of its own and checks the answer.
func (l *caller) ask(path string) seen { return l.askWith(path, "") }

// askWith sends a request with a body, which others may have too; "" makes one that no other
// has.
func (l *caller) askWith(path, body string) seen {
	l.count++
	id := fmt.Sprintf("%s-%d-%d", l.name, time.Now().UnixNano(), l.count)
	if body == "" {
		body = "order " + id
	}
	l.y.ledger.asked(id, "POST "+path+" "+body)
	if l.conn == nil {
		dialer := net.Dialer{Timeout: time.Second, LocalAddr: l.from}
		conn, err := dialer.Dial("tcp", l.to.at)
		if err != nil {
			return seen{id: id}
		}
		l.conn, l.reader = conn, bufio.NewReader(conn)
	}
	_ = l.conn.SetDeadline(time.Now().Add(callerPatience))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n", path, len(body))
	fields := platform.StandInRequest(id, callerPatience)
	if l.key != "" {
		fields = append(fields, platform.StandInKey(l.key)...)
	}
	for _, field := range fields {
		head += field.Name + ": " + field.Value + "\r\n"
	}
	if _, err := io.WriteString(l.conn, head+"\r\n"+body); err != nil {
		l.hangUp()
		return seen{id: id}
	}
	res, err := http.ReadResponse(l.reader, nil)
	if err != nil {
		l.hangUp()
		return seen{id: id}
	}
	got, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if err != nil || res.Close {
		l.hangUp()
	}
	s := seen{id: id, status: res.StatusCode, complete: err == nil}
	l.judge(path, s, res.Header, string(got))
	return s
}

// judge notes what is wrong with an answer.
func (l *caller) judge(path string, s seen, header http.Header, body string) {
	ledger := l.y.ledger
	if !s.complete {
		return
	}
	ledger.answered(s.id, s.status)
	if s.status == http.StatusNotFound && !strings.HasPrefix(path, markerPrefix) {
		ledger.fault("%s: a route that all tables have was not found", s.id)
	}
	if s.status != http.StatusOK {
		return
	}
	want := answerTo(s.id)
	if kindOfPath(path) == stream {
		want = ""
		for n := 1; n <= streamEvents; n++ {
			want += fmt.Sprintf("id: %d\ndata: %s\n\n", n, answerTo(s.id))
		}
	}
	if body != want {
		ledger.fault("%s got %q", s.id, body)
	}
	for _, field := range platform.StandInResponse(s.id, "") {
		if field.Value != "" && header.Get(field.Name) != field.Value {
			ledger.fault("%s got the answer to %s", s.id, header.Get(field.Name))
		}
	}
}

// crowd keeps callers, probes of the tables in force and reads of the table going until
// stop.
type crowd struct {
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

func startCrowd(y *routedSystem, callers int, seed uint64) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	w := &crowd{cancel: cancel}
	for i := range callers {
		w.wait.Go(func() { y.keepAsking(ctx, fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	for i, n := range y.gateways {
		w.wait.Go(func() { y.keepProbing(ctx, fmt.Sprintf("p%d", i), n) })
	}
	w.wait.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			y.operator.read(i)
			pause(ctx)
		}
	})
	return w
}

func (w *crowd) stop() {
	w.cancel()
	w.wait.Wait()
}

// pause keeps a caller from asking as fast as it can.
func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(4 * time.Millisecond):
	}
}

// stayFor is the number of requests after which a caller looks for another gateway.
const stayFor = 30

func (y *routedSystem) keepAsking(ctx context.Context, name string, random *rand.Rand) {
	kinds := []kind{once, once, idempotent, stream}
	for ctx.Err() == nil {
		l := newCaller(y, name, y.gateways[random.IntN(len(y.gateways))])
		for range stayFor {
			l.ask(string(kinds[random.IntN(len(kinds))]) + "x")
			pause(ctx)
			if ctx.Err() != nil || l.conn == nil {
				break
			}
		}
		l.hangUp()
	}
}

// keepProbing asks one gateway for the paths that only one table each has. Within one
// life of the gateway the table in force must not go back.
func (y *routedSystem) keepProbing(ctx context.Context, name string, to *instance) {
	l := newCaller(y, name, to)
	defer l.hangUp()
	life, highest := int32(0), uint64(0)
	const lookBack = 4
	for i := uint64(0); ctx.Err() == nil; i++ {
		newest := y.operator.sent.Load()
		version := newest - min(newest, i%lookBack)
		before := to.lives.Load()
		s := l.ask(marker(version))
		if after := to.lives.Load(); before != after || after != life {
			life, highest = after, 0
			l.hangUp()
		} else if s.status == http.StatusOK {
			if version < highest {
				y.ledger.fault("%s served by version %d after %d", to.name, version, highest)
			}
			highest = max(highest, version)
		}
		pause(ctx)
	}
}
