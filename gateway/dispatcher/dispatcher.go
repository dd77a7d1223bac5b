// Package dispatcher sends requests to backend servers and returns complete answers: it checks
// that each answer belongs to its request, resumes interrupted or silent answers on a new
// connection, and reports "not run" only where that is certain.
package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/gateway/scheduler"
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/translator"
)

const (
	// maxResponseBytes bounds a complete answer of an engine: it is buffered, and may be as long as the longest body of a
	// request by default.
	maxResponseBytes = 4 << 20
	maxResumes       = 6
	resumeBackoff    = 50 * time.Millisecond
	cancelTimeout    = 2 * time.Second
)

var errAnswerTooLong = errors.New("dispatcher: the answer is too long")

// Ran says whether a request ran.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Exchange is one request to one engine.
type Exchange struct {
	RequestID string
	Address   string
	// Incarnation is the incarnation of the engine that the request is meant for.
	Incarnation string
	Path        string
	Body        []byte
	Model       string
	Priority    int32
	Session     uint64
	// SentAgo is how long ago, at most, another gateway may have sent the request; for Recover.
	SentAgo time.Duration
	// Emit receives each event of a streamed answer; nil requests a complete answer.
	Emit func(data []byte) error
}

// Outcome is the result of an exchange.
type Outcome struct {
	Ran Ran
	// Status and Body are the complete answer, when Err is nil.
	Status int
	Body   []byte
	// Events is the number of events that were emitted.
	Events int
	// UnknownRequest is set if the engine does not know the request.
	UnknownRequest bool
	// AdapterMissing is set if the engine does not have the adapter.
	AdapterMissing bool
	// Resumes counts how often the answer was resumed.
	Resumes int
	Err     error
}

// Dispatcher calls backend servers. Set the exported fields before use.
type Dispatcher struct {
	Clock clockwork.Clock
	// SessionTransport sends new requests; its connections check the session before writing.
	SessionTransport *http.Transport
	// UnpooledTransport opens a new connection for each call, for calls that must not use a
	// connection that has gone silent.
	UnpooledTransport http.RoundTripper
	// UnpooledSessionTransport is like UnpooledTransport, and checks the session before
	// writing.
	UnpooledSessionTransport http.RoundTripper
	// SilenceTimeout is how long an answer may send nothing before it is resumed on a new
	// connection.
	SilenceTimeout time.Duration
}

// Run performs an exchange.
func (d *Dispatcher) Run(ctx context.Context, x *Exchange) Outcome {
	a := d.newAttempt(x)
	out := a.first(ctx)
	for out.Err != nil && out.Ran == RanUnknown && out.Resumes < maxResumes && ctx.Err() == nil && !a.callerFailed {
		out = a.resume(ctx, out.Resumes+1)
	}
	if out.Err != nil && out.Ran == RanUnknown {
		out = a.cancelUnknown(out)
	}
	out.Events = a.events
	return out
}

// Recover resumes the answer to a request that another gateway sent. Ran is no when the request
// never started and never will.
func (d *Dispatcher) Recover(ctx context.Context, x *Exchange) Outcome {
	a := d.newAttempt(x)
	out := Outcome{Ran: RanUnknown, Err: errors.New("dispatcher: no attempt was made")}
	for out.Err != nil && out.Resumes < maxResumes && ctx.Err() == nil {
		out = a.resume(ctx, out.Resumes+1)
	}
	if out.UnknownRequest {
		out = a.cancelUnknown(out)
	}
	out.Events = a.events
	return out
}

// attempt is the state of one exchange.
type attempt struct {
	dispatcher  *Dispatcher
	exchange    *Exchange
	expectation translator.Expectation
	// begun is when the exchange began.
	begun  time.Time
	events int
	// callerFailed is set when the caller accepted no more events.
	callerFailed bool
}

func (d *Dispatcher) newAttempt(x *Exchange) *attempt {
	return &attempt{dispatcher: d, exchange: x, begun: d.Clock.Now(), expectation: translator.Expectation{
		AnswerID: translator.AnswerID(x.Path, x.RequestID), Model: x.Model,
	}}
}

func (a *attempt) first(ctx context.Context) Outcome {
	timedCtx, timer := newSilenceTimer(ctx, a.dispatcher)
	defer timer.stop()
	req, err := a.request(timedCtx, http.MethodPost, a.exchange.Path, a.exchange.Body)
	if err != nil {
		return Outcome{Ran: RanNo, Err: err}
	}
	res, err := connector.RoundTrip(a.dispatcher.SessionTransport, req)
	if err != nil {
		// The other idle connections may be as silent as this one was.
		a.dispatcher.SessionTransport.CloseIdleConnections()
		return Outcome{Ran: ranAfterError(err), Err: errors.Wrap(err, "dispatcher")}
	}
	defer func() { _ = res.Body.Close() }()
	return a.readResponse(res, timer, 0)
}

// resume resumes the answer on a new connection, after the last complete event.
func (a *attempt) resume(ctx context.Context, count int) Outcome {
	if count > 1 {
		select {
		case <-ctx.Done():
		case <-a.dispatcher.Clock.After(resumeBackoff * time.Duration(count)):
		}
	}
	timedCtx, timer := newSilenceTimer(ctx, a.dispatcher)
	defer timer.stop()
	req, err := a.request(timedCtx, http.MethodGet, translator.ResumePath(a.exchange.RequestID, a.events), nil)
	if err != nil {
		return Outcome{Ran: RanUnknown, Err: err, Resumes: count}
	}
	res, err := connector.RoundTrip(a.dispatcher.UnpooledTransport, req)
	if err != nil {
		return Outcome{Ran: RanUnknown, Err: errors.Wrap(err, "dispatcher: resume"), Resumes: count}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNotFound {
		// The engine does not know the request; cancelUnknown makes sure that it never will.
		return Outcome{
			Ran: RanUnknown, UnknownRequest: true, Resumes: maxResumes,
			Err: errors.New("dispatcher: the engine does not know the request"),
		}
	}
	return a.readResponse(res, timer, count)
}

// cancelUnknown cancels a request at its engine, and determines whether it had started.
func (a *attempt) cancelUnknown(out Outcome) Outcome {
	ran, err := a.cancel()
	if err == nil && ran == RanNo && a.events == 0 {
		out.Ran = RanNo
	}
	return out
}

// cancel cancels a request at an engine. The answer no means that it never started and never
// will; only the incarnation that received the request can give it. It is sent even if the
// caller has disconnected.
func (a *attempt) cancel() (Ran, error) {
	x := a.exchange
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.Address+translator.CancelPath(x.RequestID), nil)
	if err != nil {
		return RanUnknown, errors.Wrap(err, "dispatcher: cancel")
	}
	res, err := connector.RoundTrip(a.dispatcher.UnpooledTransport, req)
	if err != nil {
		return RanUnknown, errors.Wrap(err, "dispatcher: cancel")
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxRefusalBytes))
	if err != nil || res.StatusCode != http.StatusOK {
		return RanUnknown, errors.Errorf("dispatcher: cancel: %s", res.Status)
	}
	return x.parseCancellation(body, x.SentAgo+a.dispatcher.Clock.Since(a.begun)), nil
}

func (a *attempt) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.exchange.Address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "dispatcher")
	}
	if body != nil {
		setBody(req, body)
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set(translator.IncarnationHeader, a.exchange.Incarnation)
	}
	req.Header.Set(translator.RequestIDHeader, a.exchange.RequestID)
	req.Header.Set(translator.PriorityHeader, strconv.Itoa(int(a.exchange.Priority)))
	req.Header.Set(translator.SessionHeader, strconv.FormatUint(a.exchange.Session, 10))
	return req, nil
}

// setBody sets a body that the HTTP library can't send a second time on its own: only this
// package decides whether to repeat a request.
func setBody(req *http.Request, body []byte) {
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	req.GetBody = nil
}

// readResponse reads an answer whose head has arrived.
func (a *attempt) readResponse(res *http.Response, timer *silenceTimer, count int) Outcome {
	body := &timedBody{reader: res.Body, timer: timer}
	if got := res.Header.Get(translator.RequestIDHeader); got != "" && got != a.exchange.RequestID {
		return Outcome{Ran: RanUnknown, Err: errors.Errorf("dispatcher: the answer is for %s", got), Resumes: count}
	}
	if res.StatusCode != http.StatusOK {
		return a.readRefusal(res, body, count)
	}
	if a.exchange.Emit != nil {
		return a.readStream(body, count)
	}
	// One more byte shows that the answer is longer.
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err != nil {
		return Outcome{Ran: RanUnknown, Err: errors.Wrap(err, "dispatcher: the answer was interrupted"), Resumes: count}
	}
	if len(data) > maxResponseBytes {
		// Resuming would bring the same answer.
		return Outcome{Ran: RanUnknown, Err: errAnswerTooLong, Resumes: maxResumes}
	}
	if err := a.expectation.Check(data); err != nil {
		return Outcome{Ran: RanUnknown, Err: err, Resumes: count}
	}
	return Outcome{Ran: RanYes, Status: res.StatusCode, Body: data, Resumes: count}
}

// readStream emits events one by one after checking them.
func (a *attempt) readStream(body io.Reader, count int) Outcome {
	events := translator.NewEventReader(body)
	for {
		data, done, err := events.Next()
		if err != nil {
			return Outcome{Ran: RanUnknown, Err: err, Resumes: count}
		}
		if done {
			return Outcome{Ran: RanYes, Status: http.StatusOK, Resumes: count}
		}
		if err := a.expectation.Check(data); err != nil {
			return Outcome{Ran: RanUnknown, Err: err, Resumes: count}
		}
		if err := a.exchange.Emit(data); err != nil {
			a.callerFailed = true
			return Outcome{Ran: RanUnknown, Err: err, Resumes: count}
		}
		a.events++
	}
}

const maxRefusalBytes = 64 << 10

// readRefusal reads a refusal, and whether the engine states in it that it did not run the
// request.
func (a *attempt) readRefusal(res *http.Response, body io.Reader, count int) Outcome {
	text, _ := io.ReadAll(io.LimitReader(body, maxRefusalBytes))
	out := Outcome{Ran: RanUnknown, Status: res.StatusCode, Body: text, Resumes: count}
	if a.provesNotRun(res, count) {
		out.Ran = RanNo
	}
	out.AdapterMissing = res.StatusCode == http.StatusNotFound
	out.Err = errors.Errorf("dispatcher: the engine answered %s", res.Status)
	if out.Ran == RanUnknown {
		// A final answer that does not say whether the request ran; resuming would not change
		// it.
		out.Resumes = maxResumes
	}
	return out
}

// provesNotRun reports whether an answer proves that the request did not run and never will. Without the request's id
// the answer may be that of another request, or of an intermediary that has passed the request on. A refusal to resume
// the answer, which has a count above 0, concerns that call alone.
func (a *attempt) provesNotRun(res *http.Response, count int) bool {
	return count == 0 && statesNotRun(res, a.exchange.RequestID)
}

// statesNotRun reports whether an answer refuses a request, by its id, and says that it did not run. With a status that
// is no failure the answer contradicts itself and proves nothing.
func statesNotRun(res *http.Response, requestID string) bool {
	return res.StatusCode >= http.StatusBadRequest &&
		res.Header.Get(translator.RanHeader) == translator.RanNo && res.Header.Get(translator.RequestIDHeader) == requestID
}

// ranAfterError returns what is known after a call without an answer.
func ranAfterError(err error) Ran {
	if errors.Is(err, scheduler.ErrNoSession) || isDialError(err) {
		return RanNo
	}
	return RanUnknown
}
