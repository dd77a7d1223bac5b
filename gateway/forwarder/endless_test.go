package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/pkg/reserver"
)

const (
	kilobyte = 1 << 10
	// longEvent is the size of the buffer that follows the first one.
	longEvent = eventGrowth * firstEventBytes
)

// startGatewayWithMemory is startGateway with the memory that all requests may hold.
func startGatewayWithMemory(c *qt.C, memory *reserver.Pool, backends ...*fakeBackend) string {
	clock := clockwork.NewRealClock()
	_, f := newGateway(c, clock)
	f.Apply("controller", firstTable(backends...))
	f.endGatewayCountDelay()
	memory.Clock = clock
	frontend := &acceptor.Acceptor{Clock: clock, Log: f.Log, Address: "127.0.0.1:0", Handle: f.Handle, Memory: memory}
	c.Assert(frontend.Start(), qt.IsNil)
	c.Cleanup(func() { _ = frontend.Stop(context.Background()) })
	return frontend.Addr()
}

// event returns an event of a size.
func event(size int) string {
	return "data: " + strings.Repeat("x", size-len("data: \n\n")) + "\n\n"
}

// Each read of an event that did not end searched all of it again: 300 of them took the time of all processors.
func TestEventsAreSearchedOnce(t *testing.T) {
	for name, test := range map[string]struct {
		stream string
		reader func(io.Reader) io.Reader
		// factor is how many times each byte may be examined.
		factor int
	}{
		"an event without end":               {strings.Repeat("x", maxEvent-1), func(r io.Reader) io.Reader { return r }, 2},
		"an event without end, byte by byte": {strings.Repeat("x", maxEvent-1), iotest.OneByteReader, len(longestEventEnd)},
		"line ends without an empty line":    {strings.Repeat("x\r\n", maxEvent/4), iotest.OneByteReader, len(longestEventEnd)},
		"short events":                       {strings.Repeat(event(100), 1000), iotest.HalfReader, 2},
		"long events":                        {strings.Repeat(event(firstEventBytes+100), 100), func(r io.Reader) io.Reader { return r }, 2},
		"events of all sizes":                {event(20) + event(maxEvent) + event(firstEventBytes) + event(longEvent), iotest.HalfReader, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := &eventBuffer{}
			in := test.reader(strings.NewReader(test.stream))
			var relayed strings.Builder
			for {
				space, err := b.space()
				c.Assert(err, qt.IsNil)
				n, err := in.Read(space)
				events := b.advance(n)
				relayed.Write(events)
				if len(events) > 0 {
					b.discard(len(events))
				}
				if err == io.EOF {
					break
				}
			}
			c.Check(relayed.String()+string(b.bytes) == test.stream, qt.IsTrue)
			c.Check(completeEventsLen(b.bytes), qt.Equals, 0)
			c.Check(b.examined <= test.factor*len(test.stream), qt.IsTrue, qt.Commentf("%d of %d bytes", b.examined, len(test.stream)))
		})
	}
}

// Events that did not end yet were in no sum of what requests hold: 300 of them took 200 MB.
func TestEventsReserveMemory(t *testing.T) {
	for name, test := range map[string]struct {
		size     int
		capacity int64
		status   int
		reserves bool
	}{
		"usual, no memory":   {firstEventBytes, kilobyte, http.StatusOK, false},
		"long":               {maxEvent / 2, 1 << 20, http.StatusOK, true},
		"long, no memory":    {firstEventBytes + 1, 32 * kilobyte, http.StatusBadGateway, false},
		"longer than memory": {longEvent + 1, 200 * kilobyte, http.StatusBadGateway, true},
		"the longest":        {maxEvent, 1 << 20, http.StatusOK, true},
		"too long":           {maxEvent + 1, 1 << 20, http.StatusBadGateway, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			memory := &reserver.Pool{Capacity: test.capacity}
			sent := event(test.size)
			b := newBackend(c, "b1", runsAndBreaks(streamHead()+chunk(sent)+"0\r\n\r\n"))
			got := call(c, startGatewayWithMemory(c, memory, b), "/stream/")
			c.Check(got.status, qt.Equals, test.status)
			c.Check(got.body == sent, qt.Equals, test.status == http.StatusOK)
			c.Check(got.complete, qt.IsTrue)
			stats := memory.Stats()
			c.Check(stats.Used, qt.Equals, int64(0))
			c.Check(stats.Peak > 0, qt.Equals, test.reserves)
			c.Check(stats.Peak <= test.capacity, qt.IsTrue)
		})
	}
}

// Events that follow each other hold the memory of one of them, and a stream between two events that of none.
func TestMemoryOfAnEventIsGivenBackWithItsEnd(t *testing.T) {
	const capacity = 640 * kilobyte
	c := qt.New(t)
	memory := &reserver.Pool{Capacity: capacity}
	long := event(longEvent + 1)
	atRest := make(chan struct{})
	b := newBackend(c, "b1", func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
		runsAndBreaks(streamHead()+strings.Repeat(chunk(long), 8))(b, req, conn)
		<-atRest
		_, _ = io.WriteString(conn, chunk("data: a\n\n")+"0\r\n\r\n")
		return false
	})
	address := startGatewayWithMemory(c, memory, b)
	answered := make(chan clientResponse, 1)
	go func() { answered <- call(c, address, "/stream/") }()
	eventually(c, func() bool { s := memory.Stats(); return s.Peak > 0 && s.Used == 0 })
	close(atRest)
	got := <-answered
	c.Check(got.complete, qt.IsTrue)
	c.Check(len(got.body), qt.Equals, 8*len(long)+len("data: a\n\n"))
}

// A backend server whose events do not end is ejected, so that its service is served by the others, and so is one whose events
// take more memory than there is. One with usual events is not, however short memory is.
func TestServersWithEndlessEventsAreEjected(t *testing.T) {
	const calls = 12
	endless := streamHead() + strings.Repeat(chunk(event(maxEvent)[:kilobyte*60]), 8)
	for name, test := range map[string]struct {
		written  string
		capacity int64
		ejected  bool
	}{
		"too long":           {endless, 4 << 20, true},
		"longer than memory": {endless, 128 * kilobyte, true},
		"no memory":          {endless, 32 * kilobyte, true},
		"usual":              {streamHead() + chunk("data: a\n\n") + "0\r\n\r\n", 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var failed atomic.Int32
			faulty := newBackend(c, "b1", func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
				failed.Add(1)
				return runsAndBreaks(test.written)(b, req, conn)
			})
			good := newBackend(c, "b2", runsAndBreaks(streamHead()+chunk("data: a\n\n")+"0\r\n\r\n"))
			address := startGatewayWithMemory(c, &reserver.Pool{Capacity: test.capacity}, faulty, good)
			served := 0
			for range calls {
				if call(c, address, "/stream/").body == "data: a\n\n" {
					served++
				}
			}
			c.Logf("%d calls came to the faulty server, %d were served", failed.Load(), served)
			c.Check(served == calls, qt.Equals, !test.ejected)
			c.Check(served >= calls*3/4, qt.IsTrue)
		})
	}
}
