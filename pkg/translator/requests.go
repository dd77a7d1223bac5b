package translator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"
)

// Paths of the published protocol between callers and engines.
const (
	CompletionsPath = "/v1/completions"
	ChatPath        = "/v1/chat/completions"
	ModelsPath      = "/v1/models"
	LoadPath        = "/v1/load_lora_adapter"
	UnloadPath      = "/v1/unload_lora_adapter"
	RequestsPath    = "/v1/requests/"
)

// Headers of requests to backend servers.
const (
	// RequestIDHeader identifies a request; the answer echoes it.
	RequestIDHeader = "X-Request-Id"
	// PriorityHeader carries the class's priority; requests with a higher one are served first.
	PriorityHeader = "X-Priority"
	// FencingHeader carries an order's term and sequence.
	FencingHeader = "X-Fencing-Number"
	// RanHeader states in a refusal whether the request ran: no or unknown.
	RanHeader = "X-Ran"
	// SessionHeader carries the session of the gateway that sent a request.
	SessionHeader = "X-Session"
	// IncarnationHeader names the incarnation of the engine that a request is meant for; another one refuses it.
	IncarnationHeader = "X-Incarnation"
)

const (
	completionPrefix = "cmpl-"
	chatPrefix       = "chatcmpl-"
	dataPrefix       = "data:"
	doneMarker       = "[DONE]"
	// maxEventBytes bounds an event, and what comes between two events: comments and fields other than data.
	maxEventBytes = 256 << 10
)

// ModelName joins an adapter and a version to the name under which engines load it, so that a
// wrong version can't be served under the right name.
func ModelName(adapter, version string) string { return adapter + "@" + version }

// SplitModelName splits a caller's model name into adapter and version.
func SplitModelName(model string) (adapter, version string, ok bool) {
	adapter, version, ok = strings.Cut(model, "@")
	return adapter, version, ok && adapter != "" && version != ""
}

// AnswerID returns the id that an answer to a request must carry.
func AnswerID(path, requestID string) string {
	if path == ChatPath {
		return chatPrefix + requestID
	}
	return completionPrefix + requestID
}

// CompletionRequest holds the fields of a caller's request that matter for routing.
type CompletionRequest struct {
	Model  string          `json:"model"`
	Stream bool            `json:"stream"`
	Prompt json.RawMessage `json:"prompt"`
	// Messages replace the prompt in chat requests.
	Messages Messages `json:"messages"`
}

// Messages is a list of which only the first entry is kept: a list may have millions of short ones, which take many times
// their size once they are decoded.
type Messages struct {
	// First is the first message; nil for an empty list.
	First json.RawMessage
}

// UnmarshalJSON decodes the first entry of a list.
func (m *Messages) UnmarshalJSON(list []byte) error {
	m.First = nil
	decoder := json.NewDecoder(bytes.NewReader(list))
	token, err := decoder.Token()
	if err != nil || token == nil {
		// The list is null, or was found to be no JSON before.
		return err
	}
	if token != json.Delim('[') {
		return fail("ParseCompletion", KindMalformed, "messages are no list")
	}
	if !decoder.More() {
		return nil
	}
	return decoder.Decode(&m.First)
}

// ParseCompletion decodes and validates a caller's request.
func ParseCompletion(path string, body []byte) (*CompletionRequest, error) {
	req := &CompletionRequest{}
	if err := json.Unmarshal(body, req); err != nil {
		return nil, fail("ParseCompletion", KindMalformed, "the body is not the JSON expected: %v", err)
	}
	if req.Model == "" {
		return nil, fail("ParseCompletion", KindMalformed, "model is missing")
	}
	if path == CompletionsPath && len(req.Prompt) == 0 {
		return nil, fail("ParseCompletion", KindMalformed, "prompt is missing")
	}
	if path == ChatPath && req.Messages.First == nil {
		return nil, fail("ParseCompletion", KindMalformed, "messages are missing")
	}
	return req, nil
}

type echo struct {
	ID    string `json:"id"`
	Model string `json:"model"`
}

// Expectation is what an answer must echo before it may be delivered.
type Expectation struct {
	AnswerID string
	Model    string
}

// Check returns an error if an answer, or an event of one, does not belong to the request.
func (x Expectation) Check(body []byte) error {
	e := &echo{}
	if err := json.Unmarshal(body, e); err != nil {
		return fail("Check", KindTruncated, "the answer is not JSON: %v", err)
	}
	if e.ID != x.AnswerID || e.Model != x.Model {
		return fail("Check", KindMismatched, "the answer is for %q of %q, not %q of %q", e.ID, e.Model, x.AnswerID, x.Model)
	}
	return nil
}

// EventReader reads server-sent events.
type EventReader struct {
	lines *bufio.Reader
}

// NewEventReader reads events from r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{lines: bufio.NewReader(r)}
}

// Next returns the data of the next event. Done is set for the closing [DONE]. A stream that
// ends before it returns an error of KindTruncated, one with too long an event an error of KindMalformed.
func (r *EventReader) Next() (data []byte, done bool, err error) {
	skipped := 0
	for {
		line, err := r.lines.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			line, err = r.readLongLine(line)
		}
		if IsKind(err, KindMalformed) {
			return nil, false, err
		}
		if err != nil {
			return nil, false, fail("Next", KindTruncated, "the stream ended early: %v", err)
		}
		if skipped += len(line); skipped > maxEventBytes {
			return nil, false, tooLong()
		}
		line = bytes.TrimRight(line, "\r\n")
		data, ok := bytes.CutPrefix(line, []byte(dataPrefix))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		return data, string(data) == doneMarker, nil
	}
}

// readLongLine reads the rest of a line that exceeds the reader's buffer.
func (r *EventReader) readLongLine(head []byte) ([]byte, error) {
	line := bytes.Clone(head)
	for {
		more, err := r.lines.ReadSlice('\n')
		if len(line)+len(more) > maxEventBytes {
			return nil, tooLong()
		}
		line = append(line, more...)
		if err != bufio.ErrBufferFull {
			return line, err
		}
	}
}

func tooLong() error {
	return fail("Next", KindMalformed, "an event is longer than %d bytes", maxEventBytes)
}

// ResumePath is the path at which an engine sends a request's events after the given one.
func ResumePath(requestID string, after int) string {
	return RequestsPath + requestID + "?after=" + strconv.Itoa(after)
}

// CancelPath is the path at which a request is cancelled. The answer is a Cancellation; the
// engine refuses a request with this id that arrives later.
func CancelPath(requestID string) string { return RequestsPath + requestID + "/cancel" }

// Cancellation is an engine's answer to a cancellation.
type Cancellation struct {
	// Ran is RanNo if the request never started and never will.
	Ran string
	// Incarnation is the one that answers: if it is not the one that received the request, it
	// can't know whether the request ran.
	Incarnation string `json:",omitempty"`
	// RequestID is the request that was cancelled: an answer for another one, or without it, proves nothing.
	RequestID string `json:"RequestId,omitempty"`
	// RemembersAll is set if this incarnation still knows all requests that it ever received. Otherwise it knows all that
	// arrived within the last KnownForMs milliseconds, and an older one may have run and been forgotten.
	RemembersAll bool  `json:",omitempty"`
	KnownForMs   int64 `json:",omitempty"`
}

// RanNo means that a request did not run.
const RanNo = "no"
