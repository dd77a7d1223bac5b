package applier_test

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkClaim measures a claim and its outcome of 500 bytes, and reports the memory that one
// retains.
func BenchmarkClaim(b *testing.B) {
	l := newLog()
	s := l.open()
	body := string(make([]byte, 500))
	before := heap()
	n := 0
	for b.Loop() {
		key := fmt.Sprint("key-", n)
		l.claim(s, key, key)
		l.finish(key, key, body)
		n++
	}
	b.ReportMetric(float64(heap()-before)/float64(n), "heap-B/claim")
	runtime.KeepAlive(l)
}

// BenchmarkFreeze measures how long a snapshot of 100,000 claims blocks the state machine.
func BenchmarkFreeze(b *testing.B) {
	l := newLog()
	s := l.open()
	for n := range 100_000 {
		key := fmt.Sprint("key-", n)
		l.claim(s, key, key)
		l.finish(key, key, "ran")
	}
	for b.Loop() {
		l.state.Freeze()
	}
}

// BenchmarkSnapshot measures a snapshot of 100,000 claims with outcomes.
func BenchmarkSnapshot(b *testing.B) {
	l := newLog()
	s := l.open()
	body := string(make([]byte, 500))
	for n := range 100_000 {
		key := fmt.Sprint("key-", n)
		l.claim(s, key, key)
		l.finish(key, key, body)
	}
	size := 0
	for b.Loop() {
		data, err := l.state.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size)/100_000, "B/claim")
}

func heap() uint64 {
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
