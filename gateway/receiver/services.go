package receiver

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"bronzelead.example/gateway/dispatcher"
	"bronzelead.example/gateway/scheduler"
	"bronzelead.example/pkg/router"
	"bronzelead.example/pkg/server"
	"bronzelead.example/pkg/wire"
)

const (
	// Answers up to this size are read completely before they are forwarded.
	maxBufferedAnswer = 256 << 10
	copyBufferBytes   = 32 << 10
	derivedPrefix     = "derived:"
)

// service forwards a request to a plain service.
func (r *Receiver) service(w http.ResponseWriter, req *http.Request) {
	e, problem := r.newRequest(req, "")
	if problem == nil {
		problem = r.callService(w, e)
	}
	r.finish(w, e, problem)
}

func (r *Receiver) callService(w http.ResponseWriter, e *activeRequest) *Problem {
	name, rest := splitService(e.http.URL.Path)
	terms := e.terms.Service(name)
	if terms == nil {
		return &Problem{
			Status: http.StatusNotFound, Kind: kindUnknownService, Ran: dispatcher.RanNo,
			Message: "the contract names no service " + strconv.Quote(name),
		}
	}
	e.class = terms.GetClass()
	if problem := e.readServiceKey(terms); problem != nil {
		return problem
	}
	if problem := r.prepareJob(e, &scheduler.Job{Want: router.Request{Service: name}}); problem != nil {
		return problem
	}
	if e.http.URL.RawQuery != "" {
		rest += "?" + e.http.URL.RawQuery
	}
	c := &serviceCall{receiver: r, entry: e, writer: w, path: rest}
	return r.runAttempts(e, c.attempt)
}

// readServiceKey determines whether a call may be retried, and the key under which it runs at
// most once.
func (e *activeRequest) readServiceKey(terms *wire.ServiceTerms) *Problem {
	if problem := e.readIdempotencyKey(); problem != nil {
		return problem
	}
	if !slices.Contains(terms.GetNonIdempotentMethods(), e.http.Method) {
		return nil
	}
	e.runOnce = true
	if e.key == "" && terms.GetKeyFrom() != "" {
		e.key = e.deriveKey(terms.GetKeyFrom())
		if e.key == "" {
			return &Problem{
				Status: http.StatusBadRequest, Kind: kindNoKey, Ran: dispatcher.RanNo,
				Message: "the contract takes the idempotency key from " + terms.GetKeyFrom() + ", which the request lacks",
			}
		}
	}
	return nil
}

// deriveKey derives a key by the contract's rule for callers that send none.
func (e *activeRequest) deriveKey(rule string) string {
	source, name, _ := strings.Cut(rule, ":")
	value := ""
	switch source {
	case "Header":
		value = e.http.Header.Get(name)
	case "Field":
		value = jsonField(e.body, name)
	case "Digest":
		value = hex.EncodeToString(e.fingerprint())
	}
	if value == "" || len(value) > maxKeyLength {
		return ""
	}
	return derivedPrefix + e.http.Method + ":" + e.http.URL.Path + ":" + value
}

// serviceCall is the state of one request to a plain service.
type serviceCall struct {
	receiver *Receiver
	entry    *activeRequest
	writer   http.ResponseWriter
	path     string
}

func (c *serviceCall) attempt(ctx context.Context, candidate *router.Candidate, attempt int) attemptResult {
	r, e := c.receiver, c.entry
	requestID := e.id + "-" + strconv.Itoa(attempt)
	if result, ok := r.claimForAttempt(ctx, e, requestID, candidate, c.writer); !ok {
		return result
	}
	answer := r.Dispatcher.Call(ctx, &dispatcher.ServiceCall{
		RequestID: requestID, Address: candidate.Backend.GetAddress(), Method: e.http.Method,
		Path: c.path, Header: e.http.Header, Body: e.body, Priority: e.job.Priority,
		Session: r.Session(), NonIdempotent: e.runOnce, MaxBuffered: maxBufferedAnswer,
	})
	if answer.Err == nil && answer.Ran != dispatcher.RanNo {
		r.recordCompletion(e, candidate)
		if answer.Ran == dispatcher.RanUnknown {
			return c.refuseUnproved(requestID, answer)
		}
		return c.deliver(requestID, answer)
	}
	if answer.Ran == dispatcher.RanUnknown {
		r.recordLoss(e, candidate, false)
	}
	r.Explainer.Record(e.id, e.terms.Customer(), "%s: status %d, %v, ran: %s", candidate.Backend.GetName(), answer.Status, answer.Err, answer.Ran)
	return c.afterFailure(ctx, requestID, answer)
}

func (c *serviceCall) afterFailure(ctx context.Context, requestID string, answer *dispatcher.ServiceResponse) attemptResult {
	r, e := c.receiver, c.entry
	switch {
	case answer.Ran == dispatcher.RanNo:
		if e.key != "" {
			r.release(ctx, e, requestID)
		}
		return attemptResult{backendFailed: true}
	case e.runOnce:
		r.store(e, requestID, &wire.Outcome{Unknown: true})
	case r.mayRetry(ctx, e):
		return attemptResult{backendFailed: true, mayHaveRun: true}
	}
	return attemptResult{final: true, backendFailed: e.http.Context().Err() == nil, problem: mayHaveRun(ctx)}
}

// refuseUnproved ends a request whose service refused it without proof that it did not run. It is not sent again: the
// service may be overloaded.
func (c *serviceCall) refuseUnproved(requestID string, a *dispatcher.ServiceResponse) attemptResult {
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
	if c.entry.runOnce {
		c.receiver.store(c.entry, requestID, &wire.Outcome{Unknown: true})
	}
	return attemptResult{final: true, problem: unproved(a)}
}

// unproved replaces a service's answer whose status promises, without proof, that the request did not run.
func unproved(a *dispatcher.ServiceResponse) *Problem {
	p := &Problem{
		Status: http.StatusBadGateway, Kind: kindMayHaveRun, Ran: dispatcher.RanUnknown,
		Message: "the service answered " + strconv.Itoa(a.Status) + ", which does not prove that the request did not run",
	}
	if seconds, err := strconv.Atoi(a.Header.Get("Retry-After")); err == nil && seconds > 0 {
		p.RetryAfter = time.Duration(min(seconds, maxDeadlineSeconds)) * time.Second
	}
	return p
}

// deliver forwards the service's answer and stores it for the key.
func (c *serviceCall) deliver(requestID string, a *dispatcher.ServiceResponse) attemptResult {
	r, e := c.receiver, c.entry
	h := c.writer.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(RequestIDHeader, e.id)
	if a.Rest == nil {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		c.writer.WriteHeader(a.Status)
		_, _ = c.writer.Write(a.Body)
		r.store(e, requestID, r.storedAnswer(a.Status, a.Header.Get("Content-Type"), a.Body))
		return attemptResult{final: true}
	}
	r.store(e, requestID, &wire.Outcome{Status: int32(a.Status), Truncated: true})
	return c.streamBody(a)
}

// streamBody forwards a long answer in pieces. A truncated answer is aborted, so that the
// caller sees it as incomplete.
func (c *serviceCall) streamBody(a *dispatcher.ServiceResponse) attemptResult {
	defer func() { _ = a.Rest.Close() }()
	c.writer.Header().Del("Content-Length")
	c.writer.Header().Set("Transfer-Encoding", "chunked")
	c.writer.WriteHeader(a.Status)
	_, _ = c.writer.Write(a.Body)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := a.Rest.Read(buf)
		if n > 0 {
			_, _ = c.writer.Write(buf[:n])
		}
		if f, ok := c.writer.(http.Flusher); ok && n > 0 {
			f.Flush()
		}
		callerLeft := c.entry.http.Context().Err() != nil
		switch {
		case err == io.EOF:
			return attemptResult{final: true}
		case err != nil || callerLeft:
			server.Abort(c.writer)
			return attemptResult{final: true, backendFailed: !callerLeft}
		}
	}
}
