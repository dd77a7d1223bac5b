package receiver

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"bronzelead.example/gateway/dispatcher"
	"bronzelead.example/gateway/scheduler"
	"bronzelead.example/pkg/router"
	"bronzelead.example/pkg/server"
	"bronzelead.example/pkg/translator"
	"bronzelead.example/pkg/wire"
)

const (
	// The beginning of a prompt whose cached part an engine can use again.
	prefixBytes     = 512
	jsonContent     = "application/json"
	eventContent    = "text/event-stream"
	retryAfterFault = 2 * time.Second
)

var errCallerGone = errors.New("receiver: the caller is gone")

// complete answers a request for a completion.
func (r *Receiver) complete(w http.ResponseWriter, req *http.Request) {
	e, problem := r.open(req, "")
	if problem == nil {
		problem = r.completion(w, e)
	}
	r.finish(w, e, problem)
}

func (r *Receiver) completion(w http.ResponseWriter, e *entry) *Problem {
	parsed, err := translator.ParseCompletion(e.http.URL.Path, e.body)
	if err != nil {
		return malformed(err.Error())
	}
	terms := e.terms.Adapter(parsed.Model)
	if terms == nil {
		return &Problem{
			Status: http.StatusNotFound, Kind: kindUnknownModel, Ran: dispatcher.RanNo,
			Message: "the contract names no model " + strconv.Quote(parsed.Model) + "; models are written adapter@version",
		}
	}
	e.class = terms.GetClass()
	e.once = terms.GetNonIdempotent()
	if problem := e.readKey(); problem != nil {
		return problem
	}
	job := &scheduler.Job{
		BaseModel: terms.GetBaseModel(),
		Want:      router.Want{Adapter: parsed.Model, Prefix: prefixOf(parsed)},
	}
	if problem := r.plan(e, job); problem != nil {
		return problem
	}
	c := &call{receiver: r, entry: e, writer: w, stream: parsed.Stream, model: parsed.Model}
	return r.carry(e, c.attempt)
}

// readKey takes the key that makes a request run at most once.
func (e *entry) readKey() *Problem {
	e.key = e.http.Header.Get(KeyHeader)
	if len(e.key) > maxKeyLength {
		return malformed(KeyHeader + " is longer than " + strconv.Itoa(maxKeyLength) + " bytes")
	}
	if e.key != "" {
		e.once = true
	}
	return nil
}

// prefixOf digests the beginning of a prompt together with its adapter.
func prefixOf(req *translator.CompletionRequest) uint64 {
	text := req.Prompt
	if len(req.Messages) > 0 {
		text = req.Messages[0]
	}
	if len(text) < prefixBytes {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(req.Model)
	_, _ = d.Write(text[:prefixBytes])
	return d.Sum64()
}

// call is one completion on its way to an engine and back.
type call struct {
	receiver *Receiver
	entry    *entry
	writer   http.ResponseWriter
	stream   bool
	model    string

	started   bool
	lastToken time.Time
	// kept is the streamed answer, as long as it is short enough to be stored.
	kept      bytes.Buffer
	keptWhole bool
}

func (c *call) attempt(ctx context.Context, candidate *router.Candidate, attempt int) step {
	r, e := c.receiver, c.entry
	requestID := e.id + "-" + strconv.Itoa(attempt)
	if e.key != "" {
		claimed, found := r.claim(ctx, e, requestID, candidate)
		if !claimed {
			return step{final: true, problem: found.answer(c.writer, e.id)}
		}
	}
	x := c.exchange(requestID, candidate)
	out := r.Dispatcher.Run(ctx, x)
	if out.Err == nil {
		r.completedRun(e, candidate)
		c.deliver(out)
		r.store(e, requestID, c.outcome(out))
		return step{final: true}
	}
	r.Explainer.Note(e.id, e.terms.Customer(), "%s: %v, ran: %s, events passed on: %d, resumed %d times",
		candidate.Backend.GetName(), out.Err, out.Ran, out.Events, out.Resumed)
	if out.Ran == dispatcher.RanUnknown {
		r.lostRun(e, candidate, c.started)
	}
	return c.afterFailure(ctx, requestID, out)
}

func (c *call) exchange(requestID string, candidate *router.Candidate) *dispatcher.Exchange {
	x := &dispatcher.Exchange{
		RequestID: requestID, Address: candidate.Backend.GetAddress(), Incarnation: candidate.Backend.GetIncarnation(),
		Path: c.entry.http.URL.Path,
		Body: c.entry.body, Model: c.model, Priority: c.entry.job.Priority, Session: c.receiver.Session(),
	}
	if c.stream {
		c.keptWhole = true
		x.Emit = c.emit
	}
	return x
}

// afterFailure decides what follows an attempt that brought no whole answer.
func (c *call) afterFailure(ctx context.Context, requestID string, out dispatcher.Outcome) step {
	r, e := c.receiver, c.entry
	gone := e.http.Context().Err() != nil && !e.once
	switch {
	case out.Ran == dispatcher.RanNo && e.key != "":
		r.release(ctx, e, requestID)
		return step{failed: !out.Missing, missing: out.Missing}
	case out.Ran == dispatcher.RanNo && !gone:
		return step{failed: !out.Missing, missing: out.Missing}
	case e.once:
		r.store(e, requestID, &wire.Outcome{Unknown: true})
	case !c.started && !gone && r.mayRunAgain(ctx, e):
		// Nothing was passed on, and the request may run again.
		return step{failed: true, unsure: true}
	}
	if c.started {
		server.Abort(c.writer)
		return step{final: true, failed: !gone}
	}
	return step{final: true, failed: !gone, problem: mayHaveRun(ctx)}
}

func mayHaveRun(ctx context.Context) *Problem {
	p := &Problem{
		Status: http.StatusBadGateway, Kind: kindMayHaveRun, Ran: dispatcher.RanUnknown,
		Message: "the backend server's answer was lost; the request may have run",
	}
	if ctx.Err() != nil {
		p.Status, p.Message = http.StatusGatewayTimeout, "the deadline has passed; the request may have run"
	}
	return p
}

// emit passes one event on to the caller.
func (c *call) emit(data []byte) error {
	if c.entry.http.Context().Err() != nil && !c.entry.once {
		return errCallerGone
	}
	now := c.receiver.Clock.Now()
	series := c.receiver.Meter.SeriesFor(c.entry.terms.Customer(), c.entry.class)
	if c.started {
		series.BetweenTokens.RecordDuration(now.Sub(c.lastToken))
	} else {
		series.FirstToken.RecordDuration(now.Sub(c.entry.start))
		c.begin(eventContent)
	}
	c.lastToken = now
	c.write(data)
	return nil
}

// begin sends the head of a streamed answer.
func (c *call) begin(contentType string) {
	c.started = true
	h := c.writer.Header()
	h.Set("Content-Type", contentType)
	h.Set("Cache-Control", "no-store")
	h.Set("Transfer-Encoding", "chunked")
	h.Set(RequestIDAnswer, c.entry.id)
	c.writer.WriteHeader(http.StatusOK)
}

func (c *call) write(data []byte) {
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	_, _ = c.writer.Write(event)
	if f, ok := c.writer.(http.Flusher); ok {
		f.Flush()
	}
	c.keep(event)
}

func (c *call) keep(event []byte) {
	if c.entry.key == "" || !c.keptWhole {
		return
	}
	if c.kept.Len()+len(event) > c.receiver.KeepAnswer {
		c.keptWhole = false
		c.kept.Reset()
		return
	}
	c.kept.Write(event)
}

// deliver completes the answer.
func (c *call) deliver(out dispatcher.Outcome) {
	if c.stream {
		if !c.started {
			c.begin(eventContent)
		}
		c.write([]byte("[DONE]"))
		return
	}
	c.writer.Header().Set("Content-Type", jsonContent)
	c.writer.Header().Set(RequestIDAnswer, c.entry.id)
	c.writer.WriteHeader(out.Status)
	_, _ = c.writer.Write(out.Body)
}

// outcome is what is stored for a retry.
func (c *call) outcome(out dispatcher.Outcome) *wire.Outcome {
	if c.stream {
		return &wire.Outcome{
			Status: http.StatusOK, ContentType: eventContent,
			Body: c.kept.Bytes(), Truncated: !c.keptWhole,
		}
	}
	return c.receiver.kept(out.Status, jsonContent, out.Body)
}

// jsonField reads a field of a JSON body as text.
func jsonField(body []byte, name string) string {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return ""
	}
	raw := fields[name]
	text := ""
	if err := json.Unmarshal(raw, &text); err == nil {
		return text
	}
	return string(raw)
}
