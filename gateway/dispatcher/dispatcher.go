// Package dispatcher sends requests to backend servers and brings back whole
// answers: it checks that each answer belongs to its request, resumes what was cut
// or went silent on a new connection, and says "not run" only where that is certain.
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
	"bronzelead.example/pkg/translator"
)

const (
	maxAnswer     = 64 << 20
	maxResumes    = 6
	resumePause   = 50 * time.Millisecond
	cancelTimeout = 2 * time.Second
)

// Ran tells whether a request ran.
type Ran string

// What may be known of a request.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Exchange is one request to one engine.
type Exchange struct {
	RequestID string
	Address   string
	// Incarnation is the start of the engine that is meant.
	Incarnation string
	Path        string
	Body        []byte
	Model       string
	Priority    int32
	Session     uint64
	// Emit takes each event of a streamed answer; nil asks for a whole answer.
	Emit func(data []byte) error
}

// Outcome is how an exchange ended.
type Outcome struct {
	Ran Ran
	// Status and Body are the whole answer, when Err is nil.
	Status int
	Body   []byte
	// Events is the number of events that were emitted.
	Events int
	// UnknownRequest tells that the engine does not know the request.
	UnknownRequest bool
	// AdapterMissing tells that the engine does not have the adapter.
	AdapterMissing bool
	// Resumes is how often the answer was taken up again.
	Resumes int
	Err     error
}

// Dispatcher talks to backend servers. Set the exported fields before use.
type Dispatcher struct {
	Clock clockwork.Clock
	// SessionTransport sends new requests; its connections are guarded by the session.
	SessionTransport *http.Transport
	// UnpooledTransport makes a new connection for each call, for what must not meet one that
	// has gone silent.
	UnpooledTransport http.RoundTripper
	// UnpooledSessionTransport is like Fresh, and guarded by the session.
	UnpooledSessionTransport http.RoundTripper
	// SilenceTimeout is how long an answer may send nothing before it is taken up on
	// a new connection.
	SilenceTimeout time.Duration
}

// Run carries out an exchange.
func (d *Dispatcher) Run(ctx context.Context, x *Exchange) Outcome {
	a := &attempt{dispatcher: d, exchange: x, expect: translator.Expectation{
		AnswerID: translator.AnswerID(x.Path, x.RequestID), Model: x.Model,
	}}
	out := a.first(ctx)
	for out.Err != nil && out.Ran == RanUnknown && out.Resumes < maxResumes && ctx.Err() == nil && !a.rejected {
		out = a.resume(ctx, out.Resumes+1)
	}
	if out.Err != nil && out.Ran == RanUnknown {
		out = a.settle(out)
	}
	out.Events = a.events
	return out
}

// Recover takes up the answer to a request that another gateway sent. Ran is no when
// the request never started and never will.
func (d *Dispatcher) Recover(ctx context.Context, x *Exchange) Outcome {
	a := &attempt{dispatcher: d, exchange: x, expect: translator.Expectation{
		AnswerID: translator.AnswerID(x.Path, x.RequestID), Model: x.Model,
	}}
	out := Outcome{Ran: RanUnknown, Err: errors.New("dispatcher: not asked yet")}
	for out.Err != nil && out.Resumes < maxResumes && ctx.Err() == nil {
		out = a.resume(ctx, out.Resumes+1)
	}
	if out.UnknownRequest {
		out = a.settle(out)
	}
	out.Events = a.events
	return out
}

// attempt is the state of one exchange.
type attempt struct {
	dispatcher *Dispatcher
	exchange   *Exchange
	expect     translator.Expectation
	events     int
	// rejected is set when the caller took no more events.
	rejected bool
}

func (a *attempt) first(ctx context.Context) Outcome {
	watched, watch := watchSilence(ctx, a.dispatcher)
	defer watch.stop()
	req, err := a.request(watched, http.MethodPost, a.exchange.Path, a.exchange.Body)
	if err != nil {
		return Outcome{Ran: RanNo, Err: err}
	}
	res, err := a.dispatcher.SessionTransport.RoundTrip(req)
	if err != nil {
		// The other idle connections may be as silent as this one was.
		a.dispatcher.SessionTransport.CloseIdleConnections()
		return Outcome{Ran: ranAfter(err), Err: errors.Wrap(err, "dispatcher")}
	}
	defer func() { _ = res.Body.Close() }()
	return a.take(res, watch, 0)
}

// resume takes up the answer on a new connection, behind the last whole event.
func (a *attempt) resume(ctx context.Context, count int) Outcome {
	if count > 1 {
		select {
		case <-ctx.Done():
		case <-a.dispatcher.Clock.After(resumePause * time.Duration(count)):
		}
	}
	watched, watch := watchSilence(ctx, a.dispatcher)
	defer watch.stop()
	req, err := a.request(watched, http.MethodGet, translator.ResumePath(a.exchange.RequestID, a.events), nil)
	if err != nil {
		return Outcome{Ran: RanUnknown, Err: err, Resumes: count}
	}
	res, err := a.dispatcher.UnpooledTransport.RoundTrip(req)
	if err != nil {
		return Outcome{Ran: RanUnknown, Err: errors.Wrap(err, "dispatcher: resume"), Resumes: count}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNotFound {
		// The engine does not know the request; settle makes sure that it never will.
		return Outcome{
			Ran: RanUnknown, UnknownRequest: true, Resumes: maxResumes,
			Err: errors.New("dispatcher: the engine does not know the request"),
		}
	}
	return a.take(res, watch, count)
}

// settle tells an engine to end a request, and learns whether it had begun.
func (a *attempt) settle(out Outcome) Outcome {
	ran, err := a.dispatcher.cancel(a.exchange)
	if err == nil && ran == RanNo && a.events == 0 {
		out.Ran = RanNo
	}
	return out
}

// cancel ends a request at an engine. The answer no means that it never started and never
// will; only the start that the request went to can give it. It is sent even if the caller
// is gone.
func (d *Dispatcher) cancel(x *Exchange) (Ran, error) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.Address+translator.CancelPath(x.RequestID), nil)
	if err != nil {
		return RanUnknown, errors.Wrap(err, "dispatcher: cancel")
	}
	res, err := d.UnpooledTransport.RoundTrip(req)
	if err != nil {
		return RanUnknown, errors.Wrap(err, "dispatcher: cancel")
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxRefusal))
	if err != nil || res.StatusCode != http.StatusOK {
		return RanUnknown, errors.Errorf("dispatcher: cancel: %s", res.Status)
	}
	return parseCancellation(body, x.Incarnation), nil
}

func (a *attempt) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.exchange.Address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "dispatcher")
	}
	if body != nil {
		setBody(req, body)
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set(translator.RequestIDHeader, a.exchange.RequestID)
	req.Header.Set(translator.PriorityHeader, strconv.Itoa(int(a.exchange.Priority)))
	req.Header.Set(translator.SessionHeader, strconv.FormatUint(a.exchange.Session, 10))
	return req, nil
}

// setBody sets a body that the HTTP library can't send a second time on its own:
// whether a request is repeated is decided here alone.
func setBody(req *http.Request, body []byte) {
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	req.GetBody = nil
}

// take reads an answer that began to arrive.
func (a *attempt) take(res *http.Response, watch *watch, count int) Outcome {
	body := &watchedBody{reader: res.Body, watch: watch}
	if res.StatusCode != http.StatusOK {
		return a.refusal(res, body, count)
	}
	if got := res.Header.Get(translator.RequestIDHeader); got != "" && got != a.exchange.RequestID {
		return Outcome{Ran: RanUnknown, Err: errors.Errorf("dispatcher: the answer is for %s", got), Resumes: count}
	}
	if a.exchange.Emit != nil {
		return a.stream(body, count)
	}
	data, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if err != nil {
		return Outcome{Ran: RanUnknown, Err: errors.Wrap(err, "dispatcher: the answer was cut"), Resumes: count}
	}
	if err := a.expect.Check(data); err != nil {
		return Outcome{Ran: RanUnknown, Err: err, Resumes: count}
	}
	return Outcome{Ran: RanYes, Status: res.StatusCode, Body: data, Resumes: count}
}

// stream emits events that were checked, one by one.
func (a *attempt) stream(body io.Reader, count int) Outcome {
	events := translator.NewEventReader(body)
	for {
		data, done, err := events.Next()
		if err != nil {
			return Outcome{Ran: RanUnknown, Err: err, Resumes: count}
		}
		if done {
			return Outcome{Ran: RanYes, Status: http.StatusOK, Resumes: count}
		}
		if err := a.expect.Check(data); err != nil {
			return Outcome{Ran: RanUnknown, Err: err, Resumes: count}
		}
		if err := a.exchange.Emit(data); err != nil {
			a.rejected = true
			return Outcome{Ran: RanUnknown, Err: err, Resumes: count}
		}
		a.events++
	}
}

const maxRefusal = 64 << 10

// refusal takes an engine's word that it did not run a request, where it gives it.
func (a *attempt) refusal(res *http.Response, body io.Reader, count int) Outcome {
	text, _ := io.ReadAll(io.LimitReader(body, maxRefusal))
	out := Outcome{Ran: RanUnknown, Status: res.StatusCode, Body: text, Resumes: count}
	if res.Header.Get(translator.RanHeader) == translator.RanNo && a.events == 0 {
		out.Ran = RanNo
	}
	out.AdapterMissing = res.StatusCode == http.StatusNotFound
	out.Err = errors.Errorf("dispatcher: the engine answered %s", res.Status)
	if out.Ran == RanUnknown {
		// A final answer that says nothing of running; resuming would not change it.
		out.Resumes = maxResumes
	}
	return out
}

// ranAfter tells what is known after a call without an answer.
func ranAfter(err error) Ran {
	if errors.Is(err, scheduler.ErrNoSession) || isDial(err) {
		return RanNo
	}
	return RanUnknown
}
