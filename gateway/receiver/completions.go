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
	// The length of the prompt prefix that identifies a reusable cache entry on an engine.
	prefixBytes     = 512
	jsonContent     = "application/json"
	eventContent    = "text/event-stream"
	retryAfterFault = 2 * time.Second
)

var errCallerLeft = errors.New("receiver: the caller is gone")

// complete handles a completion request.
func (r *Receiver) complete(w http.ResponseWriter, req *http.Request) {
	e, problem := r.newRequest(req, "")
	if problem == nil {
		problem = r.completion(w, e)
	}
	r.finish(w, e, problem)
}

func (r *Receiver) completion(w http.ResponseWriter, e *activeRequest) *Problem {
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
	e.runOnce = terms.GetNonIdempotent()
	if problem := e.readIdempotencyKey(); problem != nil {
		return problem
	}
	job := &scheduler.Job{
		BaseModel: terms.GetBaseModel(),
		Want:      router.Request{Adapter: parsed.Model, Prefix: prefixOf(parsed)},
	}
	if problem := r.prepareJob(e, job); problem != nil {
		return problem
	}
	c := &completionCall{receiver: r, entry: e, writer: w, stream: parsed.Stream, model: parsed.Model}
	return r.runAttempts(e, c.attempt)
}

// readIdempotencyKey reads the key that makes a request run at most once.
func (e *activeRequest) readIdempotencyKey() *Problem {
	e.key = e.http.Header.Get(IdempotencyKeyHeader)
	if len(e.key) > maxKeyLength {
		return malformed(IdempotencyKeyHeader + " is longer than " + strconv.Itoa(maxKeyLength) + " bytes")
	}
	if e.key != "" {
		e.runOnce = true
	}
	return nil
}

// prefixOf hashes the beginning of a prompt together with its adapter.
func prefixOf(req *translator.CompletionRequest) uint64 {
	text := req.Prompt
	if req.Messages.First != nil {
		text = req.Messages.First
	}
	if len(text) < prefixBytes {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(req.Model)
	_, _ = d.Write(text[:prefixBytes])
	return d.Sum64()
}

// completionCall is the state of one completion request.
type completionCall struct {
	receiver *Receiver
	entry    *activeRequest
	writer   http.ResponseWriter
	stream   bool
	model    string

	started   bool
	lastToken time.Time
	// storedBody is the streamed answer, as long as it is short enough to be stored.
	storedBody   bytes.Buffer
	bodyComplete bool
}

func (c *completionCall) attempt(ctx context.Context, candidate *router.Candidate, attempt int) attemptResult {
	r, e := c.receiver, c.entry
	requestID := e.id + "-" + strconv.Itoa(attempt)
	if result, ok := r.claimForAttempt(ctx, e, requestID, candidate, c.writer); !ok {
		return result
	}
	x := c.exchange(requestID, candidate)
	out := r.Dispatcher.Run(ctx, x)
	if out.Err == nil {
		r.recordCompletion(e, candidate)
		c.deliver(out)
		r.store(e, requestID, c.outcome(out))
		return attemptResult{final: true}
	}
	r.Explainer.Record(e.id, e.terms.Customer(), "%s: %v, ran: %s, events passed on: %d, resumed %d times",
		candidate.Backend.GetName(), out.Err, out.Ran, out.Events, out.Resumes)
	if out.Ran == dispatcher.RanUnknown {
		r.recordLoss(e, candidate, c.started)
	}
	return c.afterFailure(ctx, requestID, out)
}

func (c *completionCall) exchange(requestID string, candidate *router.Candidate) *dispatcher.Exchange {
	x := &dispatcher.Exchange{
		RequestID: requestID, Address: candidate.Backend.GetAddress(), Incarnation: candidate.Backend.GetIncarnation(),
		Path: c.entry.http.URL.Path,
		Body: c.entry.body, Model: c.model, Priority: c.entry.job.Priority, Session: c.receiver.Session(),
	}
	if c.stream {
		c.bodyComplete = true
		x.Emit = c.emit
	}
	return x
}

// afterFailure decides how to continue after an attempt without a complete answer.
func (c *completionCall) afterFailure(ctx context.Context, requestID string, out dispatcher.Outcome) attemptResult {
	r, e := c.receiver, c.entry
	callerLeft := e.http.Context().Err() != nil && !e.runOnce
	switch {
	case out.Ran == dispatcher.RanNo && e.key != "":
		r.release(ctx, e, requestID)
		return attemptResult{backendFailed: !out.AdapterMissing, adapterMissing: out.AdapterMissing}
	case out.Ran == dispatcher.RanNo && !callerLeft:
		return attemptResult{backendFailed: !out.AdapterMissing, adapterMissing: out.AdapterMissing}
	case e.runOnce:
		r.store(e, requestID, &wire.Outcome{Unknown: true})
	case !c.started && !callerLeft && r.mayRetry(ctx, e):
		// Nothing was sent to the caller, and the request may be retried.
		return attemptResult{backendFailed: true, mayHaveRun: true}
	}
	if c.started {
		server.Abort(c.writer)
		return attemptResult{final: true, backendFailed: !callerLeft}
	}
	return attemptResult{final: true, backendFailed: !callerLeft, problem: mayHaveRun(ctx)}
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

// emit forwards one event to the caller.
func (c *completionCall) emit(data []byte) error {
	if c.entry.http.Context().Err() != nil && !c.entry.runOnce {
		return errCallerLeft
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
func (c *completionCall) begin(contentType string) {
	c.started = true
	h := c.writer.Header()
	h.Set("Content-Type", contentType)
	h.Set("Cache-Control", "no-store")
	h.Set("Transfer-Encoding", "chunked")
	h.Set(RequestIDHeader, c.entry.id)
	c.writer.WriteHeader(http.StatusOK)
}

func (c *completionCall) write(data []byte) {
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	_, _ = c.writer.Write(event)
	if f, ok := c.writer.(http.Flusher); ok {
		f.Flush()
	}
	c.storeEvent(event)
}

func (c *completionCall) storeEvent(event []byte) {
	if c.entry.key == "" || !c.bodyComplete {
		return
	}
	if c.storedBody.Len()+len(event) > c.receiver.MaxStoredAnswer {
		c.bodyComplete = false
		c.storedBody.Reset()
		return
	}
	c.storedBody.Write(event)
}

// deliver completes the answer.
func (c *completionCall) deliver(out dispatcher.Outcome) {
	if c.stream {
		if !c.started {
			c.begin(eventContent)
		}
		c.write([]byte("[DONE]"))
		return
	}
	c.writer.Header().Set("Content-Type", jsonContent)
	c.writer.Header().Set(RequestIDHeader, c.entry.id)
	c.writer.WriteHeader(out.Status)
	_, _ = c.writer.Write(out.Body)
}

// outcome is stored for repeats of the request.
func (c *completionCall) outcome(out dispatcher.Outcome) *wire.Outcome {
	if c.stream {
		return &wire.Outcome{
			Status: http.StatusOK, ContentType: eventContent,
			Body: c.storedBody.Bytes(), Truncated: !c.bodyComplete,
		}
	}
	return c.receiver.storedAnswer(out.Status, jsonContent, out.Body)
}

// jsonField returns a field of a JSON body as text. It keeps no other fields, of which there may be very many.
func jsonField(body []byte, name string) string {
	if !json.Valid(body) {
		return ""
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if first, err := decoder.Token(); err != nil || first != json.Delim('{') {
		return ""
	}
	var raw json.RawMessage
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return ""
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return ""
		}
		if key == name {
			raw = value
		}
	}
	text := ""
	if err := json.Unmarshal(raw, &text); err == nil {
		return text
	}
	return string(raw)
}
