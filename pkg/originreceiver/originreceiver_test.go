package originreceiver

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/originrecorder"
	"bronzelead.example/pkg/wire"
)

func newReceiver(clock clockwork.Clock, limit int) *Receiver {
	r := &Receiver{Clock: clock, Log: slog.New(slog.DiscardHandler), Meter: meter.New("controller", "test", "z"), Max: limit}
	r.Init()
	return r
}

// report returns a datagram with the origins of streams.
func report(first, count int, version string, left time.Duration) []byte {
	message := &wire.RecordOrigins{}
	for i := range count {
		key := originrecorder.KeyOf(fmt.Sprint("attempt", first+i))
		message.Origins = append(message.Origins, &wire.StreamOrigin{
			Key: key[:], Service: "s", SoftwareVersion: version, LeftMs: uint32(left.Milliseconds()),
		})
	}
	datagram, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	return datagram
}

// What is reported is answered until its time is over, and what differs is ambiguous.
func TestReportedOriginsAreAnswered(t *testing.T) {
	for name, test := range map[string]struct {
		reports [][]byte
		after   time.Duration
		want    wire.OriginKnowledge
	}{
		"none":                       {nil, 0, wire.OriginKnowledge_ORIGIN_KNOWLEDGE_UNKNOWN},
		"reported":                   {[][]byte{report(0, 3, "v1", time.Second)}, 0, wire.OriginKnowledge_ORIGIN_KNOWLEDGE_KNOWN},
		"its time is over":           {[][]byte{report(0, 3, "v1", time.Second)}, time.Second, wire.OriginKnowledge_ORIGIN_KNOWLEDGE_UNKNOWN},
		"two versions":               {[][]byte{report(0, 3, "v1", time.Second), report(0, 1, "v2", time.Second)}, 0, wire.OriginKnowledge_ORIGIN_KNOWLEDGE_AMBIGUOUS},
		"a time that is too long":    {[][]byte{report(0, 1, "v1", 24*time.Hour)}, MaxMemory, wire.OriginKnowledge_ORIGIN_KNOWLEDGE_UNKNOWN},
		"more than are remembered":   {[][]byte{report(0, 8, "v1", time.Second)}, 0, wire.OriginKnowledge_ORIGIN_KNOWLEDGE_UNKNOWN},
		"a later one of a full list": {[][]byte{report(1, 4, "v1", time.Second), report(0, 1, "v1", time.Second)}, 0, wire.OriginKnowledge_ORIGIN_KNOWLEDGE_KNOWN},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clock := clockwork.NewFakeClock()
			y := newReceiver(clock, 4)
			for _, datagram := range test.reports {
				c.Assert(y.Receive(datagram), qt.IsNil)
			}
			clock.Advance(test.after)
			y.prune()
			key := originrecorder.KeyOf("attempt0")
			res, err := y.FindOrigin(context.Background(), &wire.FindOriginRequest{Key: key[:]})
			c.Assert(err, qt.IsNil)
			c.Check(res.GetKnowledge(), qt.Equals, test.want)
			if test.want == wire.OriginKnowledge_ORIGIN_KNOWLEDGE_KNOWN {
				c.Check(res.GetOrigin().GetSoftwareVersion(), qt.Equals, "v1")
				c.Check(res.GetOrigin().GetService(), qt.Equals, "s")
			}
			c.Check(y.Len() <= 4, qt.IsTrue)
			_, err = y.FindOrigin(context.Background(), &wire.FindOriginRequest{Key: []byte("short")})
			c.Check(err, qt.IsNotNil)
		})
	}
}

// BenchmarkReceive is what a datagram costs its receiver, by the number of origins in it.
func BenchmarkReceive(b *testing.B) {
	for _, count := range []int{1, 4, 24} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			y := newReceiver(clockwork.NewRealClock(), 1<<17)
			var datagrams [][]byte
			for i := range 4096 {
				datagrams = append(datagrams, report(i*count, count, "v1", time.Minute))
			}
			b.ResetTimer()
			for i := range b.N {
				if err := y.Receive(datagrams[i%len(datagrams)]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMemory reports the memory of each origin that is remembered.
func BenchmarkMemory(b *testing.B) {
	const origins = 1 << 17
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		y := newReceiver(clockwork.NewRealClock(), origins)
		for i := range origins {
			if err := y.Receive(report(i, 1, "v1", time.Minute)); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/origins, "B/origin")
		runtime.KeepAlive(y)
	}
}

// BenchmarkPrune is for how long a clean-up of a full memory keeps datagrams waiting.
func BenchmarkPrune(b *testing.B) {
	const origins = 1 << 17
	y := newReceiver(clockwork.NewRealClock(), origins)
	for i := range origins {
		if err := y.Receive(report(i, 1, "v1", time.Hour)); err != nil {
			b.Fatal(err)
		}
	}
	b.ResetTimer()
	for range b.N {
		y.prune()
	}
}
