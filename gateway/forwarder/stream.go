package forwarder

import (
	"bytes"
	"context"
	"io"

	"github.com/pkg/errors"

	"bronzelead.example/gateway/sender"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

var (
	errEventTooLong = errors.New("forwarder: an event is too long")
	errInsideEvent  = errors.New("forwarder: the stream ended inside an event")
	errCaller       = errors.New("forwarder: the caller does not take the answer")
)

// relayStream passes events on as they come, only whole ones: a backend server may stop
// inside an event. The head waits for the first event, so that a stream which breaks off
// before it can still be sent elsewhere or be reported as a failure.
func (f *Forwarder) relayStream(ctx context.Context, j *job, backend *wire.Announcement, in *sender.Response) bool {
	j.course.resumed = j.reply.Begun()
	err := f.copyEvents(j, in)
	in.Close()
	switch {
	case err == nil:
		f.judged(j, j.course.judge(j.route, j.req.ReceivedAt, j.waited))
		f.done(j, backend.GetId(), balancer.Served)
		f.completedRun(j, backend)
		j.reply.End()
		f.served(j, backend, in.Head.Status)
		return false
	case ctx.Err() != nil || errors.Is(err, errCaller):
		f.done(j, backend.GetId(), balancer.Abandoned)
		f.judged(j, unfinished)
		f.expired(ctx, j)
		return false
	}
	f.done(j, backend.GetId(), balancer.Failed)
	again := f.lost(j, backend, err.Error())
	if !again {
		f.judged(j, unfinished)
	}
	return again
}

func (f *Forwarder) copyEvents(j *job, in *sender.Response) error {
	header := platform.EncodeAnswer(in.Head.Header)
	var pending []byte
	buf := make([]byte, readSize)
	for {
		n, err := in.Body.Read(buf)
		pending = append(pending, buf[:n]...)
		end := wholeEvents(pending)
		if end > 0 {
			if err := f.passEvents(j, in.Head.Status, header, pending[:end]); err != nil {
				return err
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case err == io.EOF && len(pending) > 0:
			return errInsideEvent
		case err == io.EOF:
			if !j.reply.Begun() {
				return j.reply.Begin(in.Head.Status, header)
			}
			return nil
		case err != nil:
			return err
		case len(pending) > maxEvent:
			return errEventTooLong
		}
	}
}

func (f *Forwarder) passEvents(j *job, status int, header framer.Header, events []byte) error {
	if !j.reply.Begun() {
		if err := j.reply.Begin(status, header); err != nil {
			return errCaller
		}
	}
	if err := j.reply.Write(events); err != nil {
		return errCaller
	}
	f.noteEvents(j)
	j.begunAt = j.sends
	for line := range bytes.Lines(events) {
		if id := platform.EventID(line); id != "" {
			j.resume = id
		}
	}
	return nil
}

// wholeEvents returns the length of the events in b that end with an empty line.
func wholeEvents(b []byte) int {
	end := 0
	if at := bytes.LastIndex(b, []byte("\n\n")); at >= 0 {
		end = at + len("\n\n")
	}
	if at := bytes.LastIndex(b, []byte("\r\n\r\n")); at >= 0 {
		end = max(end, at+len("\r\n\r\n"))
	}
	return end
}
