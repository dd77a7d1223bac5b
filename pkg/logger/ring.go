package logger

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// ringSize bounds the lines that wait to be written: at a kilobyte each, half a megabyte.
const ringSize = 512

// AsyncWriter passes lines on to a writer without ever holding up who writes them: when too
// many wait, lines are dropped and counted. Make one with NewRing, then call Run.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
}

// NewAsyncWriter returns a ring before a writer.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{lines: make(chan []byte, ringSize), out: out}
}

// Write takes one line.
func (r *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then those that still wait.
func (r *AsyncWriter) Run(ctx context.Context) {
	for {
		select {
		case line := <-r.lines:
			r.put(line)
		case <-ctx.Done():
			r.Flush()
			return
		}
	}
}

// Flush writes the lines that wait.
func (r *AsyncWriter) Flush() {
	for {
		select {
		case line := <-r.lines:
			r.put(line)
		default:
			return
		}
	}
}

func (r *AsyncWriter) put(line []byte) {
	// A log that can't be written has nowhere to say so.
	_, _ = r.out.Write(line)
	if n := r.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(r.out, "{\"level\":\"WARN\",\"msg\":\"log lines were dropped\",\"Lines\":%d}\n", n)
	}
}
