package forwarder

import (
	"bytes"
	"context"
	"io"
	"slices"

	"github.com/pkg/errors"

	"bronzelead.example/gateway/sender"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/reserver"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

const (
	// maxEvent bounds one event of a stream in bytes, with the empty line that ends it. It is what is buffered of other
	// answers; events with a token and its alternatives take a few KiB.
	maxEvent = 256 << 10
	// firstEventBytes is the size of a stream's first buffer, which is held without reserving memory, and eventGrowth by how
	// much the next one is larger.
	firstEventBytes = readSize
	eventGrowth     = 8
)

var (
	errEventTooLong   = errors.New("forwarder: an event is too long")
	errNoEventMemory  = errors.New("forwarder: memory for an event is short")
	errTruncatedEvent = errors.New("forwarder: the stream ended inside an event")
	errNoEvent        = errors.New("forwarder: the connection ended before the first event")
	errCallerWrite    = errors.New("forwarder: the caller does not take the answer")
)

// relayStream relays events as they arrive, only complete ones: a backend server may stop
// inside an event. The head waits for the first event, so that a stream that breaks off before
// it can still be sent to another backend server or reported as a failure.
func (f *Forwarder) relayStream(ctx context.Context, j *job, backend *wire.Announcement, in *sender.Response) bool {
	j.progress.resumed = j.reply.Begun()
	err := f.copyEvents(j, in)
	in.Close()
	switch {
	case err == nil:
		f.recordStreamOutcome(j, j.progress.classify(j.route, j.req.ReceivedAt, j.waited))
		f.endSlot(j, true)
		f.recordOutcome(j, backend.GetId(), balancer.Served)
		f.reportCompletedRun(j, backend, in)
		j.reply.End()
		f.logServed(j, backend, in.Head.Status)
		return false
	case ctx.Err() != nil || errors.Is(err, errCallerWrite):
		f.recordOutcome(j, backend.GetId(), balancer.Abandoned)
		f.recordStreamOutcome(j, streamUnfinished)
		f.handleExpiry(ctx, j)
		return false
	}
	// Memory for events is mostly short because of servers whose events do not end: refusals of it count as faults too.
	f.recordOutcome(j, backend.GetId(), balancer.Failed)
	again := f.handleLostResponse(j, backend, err.Error())
	if !again {
		f.recordStreamOutcome(j, streamUnfinished)
	}
	return again
}

func (f *Forwarder) copyEvents(j *job, in *sender.Response) error {
	header := platform.EncodeResponse(in.Head.Header)
	buffer := &eventBuffer{memory: j.req.Memory}
	defer buffer.release()
	for {
		space, err := buffer.space()
		if err != nil {
			return err
		}
		n, err := in.Body.Read(space)
		if events := buffer.advance(n); len(events) > 0 {
			if err := f.relayEvents(j, in.Head.Status, header, events); err != nil {
				return err
			}
			buffer.discard(len(events))
		}
		switch {
		case err == io.EOF && len(buffer.bytes) > 0:
			return errTruncatedEvent
		case err == io.EOF && in.Body.Framing == framer.FramingClose && j.begunAttempt != j.sends:
			// A process that exits closes its connections.
			return errNoEvent
		case err == io.EOF:
			if !j.reply.Begun() {
				return j.reply.Begin(in.Head.Status, header)
			}
			return nil
		case err != nil:
			return err
		}
	}
}

func (f *Forwarder) relayEvents(j *job, status int, header framer.Header, events []byte) error {
	f.observeFirstEvents(j, j.lastBackend)
	f.beginStream(j, j.lastBackend)
	if !j.reply.Begun() {
		if err := j.reply.Begin(status, header); err != nil {
			return errCallerWrite
		}
	}
	// The reply copies what it writes, so that a long event would take its memory twice.
	for part := range slices.Chunk(events, firstEventBytes) {
		if err := j.reply.Write(part); err != nil {
			return errCallerWrite
		}
	}
	f.observeEvents(j)
	f.observeAnswering(j)
	for line := range bytes.Lines(events) {
		if id := platform.EventID(line); id != "" {
			j.lastEventID = id
		}
	}
	return nil
}

// eventBuffer holds the part of a stream that was not relayed yet. Each byte is searched a bounded number of times, and memory
// beyond the first buffer is reserved.
type eventBuffer struct {
	// memory is the request's; nil if it is not limited.
	memory *reserver.Reservation
	bytes  []byte
	// reserved is what was reserved for the buffer.
	reserved int64
	// searched is the length of the part in which no event ends, and examined counts the bytes that were searched so far.
	searched int
	examined int
}

// space returns free space for further bytes.
func (b *eventBuffer) space() ([]byte, error) {
	size := cap(b.bytes)
	switch {
	case len(b.bytes) < size:
		return b.bytes[len(b.bytes):size], nil
	case size == 0:
		b.bytes = make([]byte, 0, firstEventBytes)
		return b.bytes[:firstEventBytes], nil
	case size >= maxEvent:
		return nil, errEventTooLong
	}
	grown := min(eventGrowth*size, maxEvent)
	// Both buffers take memory until the old one is collected. Together they take more than a small request, so that
	// events leave the memory that is kept for these.
	needed := int64(size+grown) - b.reserved
	if b.memory != nil && b.memory.Grow(needed) != nil {
		return nil, errNoEventMemory
	}
	b.reserved += needed
	b.bytes = append(make([]byte, 0, grown), b.bytes...)
	return b.bytes[len(b.bytes):grown], nil
}

// advance adds n bytes that were read into the free space, and returns the events that are complete.
func (b *eventBuffer) advance(n int) []byte {
	b.bytes = b.bytes[:len(b.bytes)+n]
	// The end of an event may have begun in the part that was searched before.
	from := max(b.searched-len(longestEventEnd)+1, 0)
	b.searched = len(b.bytes)
	b.examined += len(b.bytes) - from
	if end := completeEventsLen(b.bytes[from:]); end > 0 {
		return b.bytes[:from+end]
	}
	return nil
}

// discard removes the first n bytes. A long buffer is only kept for a long rest.
func (b *eventBuffer) discard(n int) {
	rest := b.bytes[n:]
	b.searched = len(rest)
	if cap(b.bytes) > firstEventBytes && len(rest) < firstEventBytes {
		b.bytes = make([]byte, 0, firstEventBytes)
		b.release()
	}
	b.bytes = append(b.bytes[:0], rest...)
}

// release returns what was reserved.
func (b *eventBuffer) release() {
	if b.memory != nil {
		b.memory.Shrink(b.reserved)
	}
	b.reserved = 0
}

// The ends of events.
const (
	eventEnd        = "\n\n"
	longestEventEnd = "\r\n\r\n"
)

// completeEventsLen returns the length of the events in b that end with an empty line.
func completeEventsLen(b []byte) int {
	end := 0
	if at := bytes.LastIndex(b, []byte(eventEnd)); at >= 0 {
		end = at + len(eventEnd)
	}
	if at := bytes.LastIndex(b, []byte(longestEventEnd)); at >= 0 {
		end = max(end, at+len(longestEventEnd))
	}
	return end
}
