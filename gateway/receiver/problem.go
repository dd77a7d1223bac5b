package receiver

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"bronzelead.example/gateway/dispatcher"
	"bronzelead.example/gateway/scheduler"
)

// Problem is the final answer to a request that got none from a backend server. Its JSON is the
// error format of the callers' API with four additional fields.
type Problem struct {
	Status     int
	Kind       string
	Message    string
	Ran        dispatcher.Ran
	RetryAfter time.Duration
	// KeyChecked means that the request's key was looked up before Ran was set.
	KeyChecked bool
}

// The kinds of problems besides the scheduler's reasons.
const (
	kindUnauthenticated = "Unauthenticated"
	kindMalformed       = "Malformed"
	kindTooLarge        = "TooLarge"
	kindNoMemory        = "NoMemory"
	kindUnknownModel    = "UnknownModel"
	kindUnknownService  = "UnknownService"
	kindUnknownPath     = "UnknownPath"
	kindKeyReused       = "IdempotencyKeyReused"
	kindInProgress      = "InProgress"
	kindMayHaveRun      = "MayHaveRun"
	kindAnswerNotKept   = "AnswerNotKept"
	kindNoKey           = "IdempotencyKeyRequired"
	kindQuarantined     = "HeldBack"
)

type problemBody struct {
	Error problemFields `json:"error"`
}

type problemFields struct {
	Message    string         `json:"message"`
	Type       string         `json:"type"`
	Code       string         `json:"code"`
	Kind       string         `json:"Kind"`
	Ran        dispatcher.Ran `json:"Ran"`
	RetryAfter string         `json:"RetryAfter,omitempty"`
	RequestID  string         `json:"RequestId"`
}

// write sends the problem as the complete answer.
func (p *Problem) write(w http.ResponseWriter, requestID string) {
	fields := problemFields{
		Message: p.Message, Type: "invalid_request_error", Code: p.Kind, Kind: p.Kind,
		Ran: p.Ran, RequestID: requestID,
	}
	if p.Status >= http.StatusInternalServerError || p.Status == http.StatusTooManyRequests {
		fields.Type = "server_error"
	}
	if p.RetryAfter > 0 {
		seconds := strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds())))
		w.Header().Set("Retry-After", seconds)
		fields.RetryAfter = p.RetryAfter.String()
	}
	body, err := json.Marshal(problemBody{Error: fields})
	if err != nil {
		body = []byte(`{"error":{}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

func malformed(message string) *Problem {
	return &Problem{Status: http.StatusBadRequest, Kind: kindMalformed, Message: message, Ran: dispatcher.RanNo}
}

// refused converts a scheduler's refusal into a problem.
func refused(r *scheduler.Refusal) *Problem {
	p := &Problem{Kind: string(r.Reason), Ran: dispatcher.RanNo, RetryAfter: r.RetryAfter}
	switch r.Reason {
	case scheduler.QueueFull:
		p.Status, p.Message = http.StatusTooManyRequests, "the contract's limit is used up and its queue is full"
	case scheduler.TooLate:
		p.Status, p.Message = http.StatusServiceUnavailable, "the request can't be answered before its deadline"
	case scheduler.NotAllowed:
		p.Status, p.Message = http.StatusForbidden, "the contract does not allow this request any more"
	case scheduler.NoQuorum:
		p.Status, p.Message = http.StatusServiceUnavailable, "this instance has no live session and sends no work"
	case scheduler.NoBackend:
		p.Status, p.Message = http.StatusServiceUnavailable, "no backend server takes work for this at the moment"
	case scheduler.Overloaded:
		p.Status, p.Message = http.StatusServiceUnavailable, "this instance has too much to decide"
	case scheduler.Stopping:
		p.Status, p.Message = http.StatusServiceUnavailable, "this instance is stopping"
	case scheduler.CallerGone:
		p.Status, p.Message = http.StatusServiceUnavailable, "the deadline has passed"
	}
	return p
}
