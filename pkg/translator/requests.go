package translator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"
)

// Paths of the published protocol that callers and engines speak.
const (
	CompletionsPath = "/v1/completions"
	ChatPath        = "/v1/chat/completions"
	ModelsPath      = "/v1/models"
	LoadPath        = "/v1/load_lora_adapter"
	UnloadPath      = "/v1/unload_lora_adapter"
	RequestsPath    = "/v1/requests/"
)

// Headers towards backend servers.
const (
	// RequestIDHeader names a request; the answer echoes it.
	RequestIDHeader = "X-Request-Id"
	// PriorityHeader carries the class's priority; higher goes first.
	PriorityHeader = "X-Priority"
	// FencingHeader carries an order's term and sequence.
	FencingHeader = "X-Fencing-Number"
	// RanHeader tells in a refusal whether the request ran: no or unknown.
	RanHeader = "X-Ran"
	// SessionHeader carries the session of the gateway that sent a request.
	SessionHeader = "X-Session"
)

const (
	completionPrefix = "cmpl-"
	chatPrefix       = "chatcmpl-"
	dataPrefix       = "data:"
	doneMark         = "[DONE]"
	maxEventBytes    = 4 << 20
)

// ModelName joins an adapter and a version to the name under which engines load it, so
// that a wrong version can't be served under a right name.
func ModelName(adapter, version string) string { return adapter + "@" + version }

// SplitModelName takes a caller's model name apart.
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
	// Messages take the prompt's place in chat requests.
	Messages []json.RawMessage `json:"messages"`
}

// ParseCompletion decodes and checks a caller's request.
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
	if path == ChatPath && len(req.Messages) == 0 {
		return nil, fail("ParseCompletion", KindMalformed, "messages are missing")
	}
	return req, nil
}

type echo struct {
	ID    string `json:"id"`
	Model string `json:"model"`
}

// Expectation is what an answer must echo to be delivered.
type Expectation struct {
	AnswerID string
	Model    string
}

// Check tells whether an answer, or an event of one, belongs to the request.
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

// Next returns the data of the next event. Done is set for the closing [DONE]. An
// end before it is an error of kind cut.
func (r *EventReader) Next() (data []byte, done bool, err error) {
	for {
		line, err := r.lines.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			line, err = r.long(line)
		}
		if err != nil {
			return nil, false, fail("Next", KindTruncated, "the stream ended early: %v", err)
		}
		line = bytes.TrimRight(line, "\r\n")
		data, ok := bytes.CutPrefix(line, []byte(dataPrefix))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		return data, string(data) == doneMark, nil
	}
}

// long reads the rest of a line that is longer than the reader's buffer.
func (r *EventReader) long(head []byte) ([]byte, error) {
	line := bytes.Clone(head)
	for len(line) < maxEventBytes {
		more, err := r.lines.ReadSlice('\n')
		line = append(line, more...)
		if err != bufio.ErrBufferFull {
			return line, err
		}
	}
	return nil, fail("Next", KindMalformed, "an event is longer than %d bytes", maxEventBytes)
}

// ResumePath is where an engine sends what it has of a request, from an event on.
func ResumePath(requestID string, after int) string {
	return RequestsPath + requestID + "?after=" + strconv.Itoa(after)
}

// CancelPath is where an engine is told to end a request. The answer is a
// Cancellation; a request with this id that arrives later is refused.
func CancelPath(requestID string) string { return RequestsPath + requestID + "/cancel" }

// Cancellation is an engine's answer to a cancel.
type Cancellation struct {
	// Ran is no when the request never started and never will.
	Ran string
	// Incarnation is the start that answers: another one than the request went to can't know
	// whether it ran.
	Incarnation string `json:",omitempty"`
}

// RanNo says that a request did not run.
const RanNo = "no"
