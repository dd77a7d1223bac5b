package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/translator"
	"bronzelead.example/platform"
)

// ServiceCall is one request to a plain service.
type ServiceCall struct {
	RequestID string
	Address   string
	Method    string
	// Path includes the query, and starts with a slash.
	Path     string
	Header   http.Header
	Body     []byte
	Priority int32
	Session  uint64
	// NonIdempotent marks a request that must not run twice.
	NonIdempotent bool
	// MaxBuffered is how much of an answer is read before any of it is relayed.
	MaxBuffered int
}

// ServiceResponse is the answer of a plain service.
type ServiceResponse struct {
	// Ran is RanUnknown without Err after a complete answer whose status promises "not run" without proof; callers must
	// not get that status.
	Ran    Ran
	Status int
	Header http.Header
	// Body is the complete answer, if Rest is nil, else its beginning.
	Body []byte
	// Rest is what follows Body. It must be closed.
	Rest io.ReadCloser
	Err  error
}

// hopByHopHeaders belong to one connection or to the gateway, and are not relayed.
func hopByHopHeaders() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Authorization", "Idempotency-Key", "X-Idempotency-Key",
	}
}

// Call performs a request to a plain service. A plain service can't be asked what became of a
// request, so a silent connection can't be detected. So each call uses a new connection, which
// no earlier use can have left silent.
func (d *Dispatcher) Call(ctx context.Context, c *ServiceCall) *ServiceResponse {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address+c.Path, nil)
	if err != nil {
		return &ServiceResponse{Ran: RanNo, Err: errors.Wrap(err, "dispatcher")}
	}
	req.Header = c.Header.Clone()
	for _, name := range hopByHopHeaders() {
		req.Header.Del(name)
	}
	req.Header.Set(translator.RequestIDHeader, c.RequestID)
	req.Header.Set(translator.PriorityHeader, strconv.Itoa(int(c.Priority)))
	req.Header.Set(translator.SessionHeader, strconv.FormatUint(c.Session, 10))
	if len(c.Body) > 0 || c.NonIdempotent {
		setBody(req, c.Body)
	}
	res, err := connector.RoundTrip(d.UnpooledSessionTransport, req)
	if err != nil {
		return &ServiceResponse{Ran: ranAfterError(err), Err: errors.Wrap(err, "dispatcher")}
	}
	return c.read(res)
}

// read reads the beginning of an answer, so that a short one is known to be complete before any
// of it is relayed.
func (c *ServiceCall) read(res *http.Response) *ServiceResponse {
	a := &ServiceResponse{Ran: RanYes, Status: res.StatusCode, Header: res.Header}
	if got := res.Header.Get(translator.RequestIDHeader); got != "" && got != c.RequestID {
		_ = res.Body.Close()
		return &ServiceResponse{Ran: RanUnknown, Err: errors.Errorf("dispatcher: the answer is for %s", got)}
	}
	promises, failed := platform.PromisesNotRun(res.StatusCode), res.StatusCode >= http.StatusInternalServerError
	switch {
	case (promises || failed) && statesNotRun(res, c.RequestID):
		a.Ran = RanNo
	case failed && res.Header.Get(translator.RanHeader) == translator.RanNo:
		_ = res.Body.Close()
		return &ServiceResponse{Ran: RanUnknown, Err: errors.Errorf("dispatcher: a refusal of no request: %s", res.Status)}
	case promises:
		// Callers would take the status for a promise that nobody made.
		a.Ran = RanUnknown
	}
	for _, name := range hopByHopHeaders() {
		a.Header.Del(name)
	}
	a.Header.Del(translator.RanHeader)
	body, err := io.ReadAll(io.LimitReader(res.Body, int64(c.MaxBuffered)))
	if err != nil {
		_ = res.Body.Close()
		return &ServiceResponse{Ran: RanUnknown, Err: errors.Wrap(err, "dispatcher: the answer was interrupted")}
	}
	a.Body = body
	if len(body) < c.MaxBuffered {
		_ = res.Body.Close()
		return a
	}
	a.Rest = res.Body
	return a
}
