package logger

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines bounds the queue of unwritten lines: at 1 KB per line, half a megabyte.
const maxQueuedLines = 512

// AsyncWriter writes lines to another writer without blocking its callers: when the queue is
// full, lines are dropped and counted. Create one with NewAsyncWriter, then call Run.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
}

// NewAsyncWriter returns an AsyncWriter that writes to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{lines: make(chan []byte, maxQueuedLines), out: out}
}

// Write queues one line, or drops it if the queue is full.
func (r *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines until ctx ends, and then flushes the queue.
func (r *AsyncWriter) Run(ctx context.Context) {
	for {
		select {
		case line := <-r.lines:
			r.writeLine(line)
		case <-ctx.Done():
			r.Flush()
			return
		}
	}
}

// Flush writes all queued lines.
func (r *AsyncWriter) Flush() {
	for {
		select {
		case line := <-r.lines:
			r.writeLine(line)
		default:
			return
		}
	}
}

func (r *AsyncWriter) writeLine(line []byte) {
	// There is nowhere to report that the log can't be written.
	_, _ = r.out.Write(line)
	if n := r.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(r.out, "{\"level\":\"WARN\",\"msg\":\"log lines were dropped\",\"Lines\":%d}\n", n)
	}
}
