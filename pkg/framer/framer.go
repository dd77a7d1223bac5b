// Package framer reads and writes HTTP/1.1 messages strictly. A message that could be read in
// two ways, as in request smuggling, is refused.
//
// A gateway has to forward targets and header fields unchanged, must detect bytes that belong
// to no answer, and decides itself whether a request may be sent again; HTTP libraries hide all
// three.
package framer

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"
	"unsafe"
)

// Field is one header field as received, with its value trimmed.
type Field struct {
	Name  string
	Value string
}

// Header holds header fields in their order.
type Header []Field

// Get returns the first value of a field, or "".
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Has reports whether a field is present.
func (h Header) Has(name string) bool { return h.count(name) > 0 }

func (h Header) count(name string) int {
	n := 0
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			n++
		}
	}
	return n
}

// HasToken reports whether a comma-separated field lists a token.
func (h Header) HasToken(name, token string) bool {
	for _, f := range h {
		if !strings.EqualFold(f.Name, name) {
			continue
		}
		for _, item := range strings.Split(f.Value, ",") {
			if strings.EqualFold(strings.TrimSpace(item), token) {
				return true
			}
		}
	}
	return false
}

// RequestHead is a request without its body.
type RequestHead struct {
	Method string
	// Target is the request target, byte for byte.
	Target string
	// Minor is the minor version: 0 or 1.
	Minor  int
	Header Header
}

// KeepAlive reports whether the caller wants to reuse the connection.
func (r *RequestHead) KeepAlive() bool {
	if r.Minor == 0 {
		return r.Header.HasToken("Connection", "keep-alive")
	}
	return !r.Header.HasToken("Connection", "close")
}

// ResponseHead is an answer without its body.
type ResponseHead struct {
	Status int
	Reason string
	Minor  int
	Header Header
}

// KeepAlive reports whether the server allows the connection to be reused.
func (r *ResponseHead) KeepAlive() bool {
	return r.Minor == 1 && !r.Header.HasToken("Connection", "close")
}

// maxResponseFields bounds the header fields of an answer. A parsed field takes 32 bytes beside its text, so that a head of 64 KiB
// with empty fields would take ten times its length, for each request in flight.
const maxResponseFields = 512

// firstHeadBytes is the memory that a head takes at first.
const firstHeadBytes = 1024

const (
	lineEnd       = "\r\n"
	headEnd       = "\r\n\r\n"
	versionPrefix = "HTTP/1."
)

// ReadHead reads a message's head including the empty line that ends it. Empty lines before a
// request are skipped, as RFC 9112 section 2.2 allows. A head longer than limit bytes is an error.
func ReadHead(r *bufio.Reader, limit int) ([]byte, error) { return ReadHeadReserving(r, limit, nil) }

// ReadHeadReserving is ReadHead for heads whose memory is limited: before the head takes more memory it calls reserve with
// the new size in bytes, and fails if reserve does.
func ReadHeadReserving(r *bufio.Reader, limit int, reserve func(bytes int) error) ([]byte, error) {
	head := make([]byte, 0, firstHeadBytes)
	for {
		line, err := r.ReadSlice('\n')
		full := err == bufio.ErrBufferFull
		if err != nil && !full {
			if len(head) == 0 && len(line) == 0 {
				return nil, wrap("ReadHead", KindClosed, err)
			}
			return nil, wrap("ReadHead", KindTruncated, err)
		}
		if len(head) == 0 && string(line) == lineEnd {
			continue
		}
		if len(head)+len(line) > limit {
			return nil, fail("ReadHead", KindTooLarge, "the head is longer than %d bytes", limit)
		}
		if head, err = appendLine(head, line, limit, reserve); err != nil {
			return nil, err
		}
		if bytes.HasSuffix(head, []byte(headEnd)) {
			return head, nil
		}
		// The reader's buffer may end between the CR and the LF of a line.
		if !full && len(line) == 1 && !bytes.HasSuffix(head, []byte(lineEnd)) {
			return nil, fail("ReadHead", KindMalformed, "a line ends without CR")
		}
	}
}

// appendLine appends a line to a head, and reserves memory before the head takes more of it.
func appendLine(head, line []byte, limit int, reserve func(bytes int) error) ([]byte, error) {
	if needed := len(head) + len(line); needed > cap(head) {
		size := max(needed, min(2*cap(head), limit))
		if reserve != nil {
			if err := reserve(size); err != nil {
				return nil, err
			}
		}
		head = append(make([]byte, 0, size), head...)
	}
	return append(head, line...), nil
}

// ParseRequest parses a request's head.
func ParseRequest(raw []byte) (*RequestHead, error) {
	first, header, err := splitHead(raw)
	if err != nil {
		return nil, err
	}
	parts := strings.Split(first, " ")
	if len(parts) != 3 || !isToken(parts[0]) || !isTarget(parts[1]) {
		return nil, fail("ParseRequest", KindMalformed, "no request line: %q", truncate(first))
	}
	minor, err := parseVersion(parts[2])
	if err != nil {
		return nil, err
	}
	head := &RequestHead{Method: parts[0], Target: parts[1], Minor: minor, Header: header}
	if header.count("Host") != 1 || !isHost(header.Get("Host")) {
		return nil, fail("ParseRequest", KindMalformed, "a request needs one valid Host")
	}
	return head, nil
}

// ParseResponse parses an answer's head. One with more than 512 fields is an error.
func ParseResponse(raw []byte) (*ResponseHead, error) {
	// The status line and the empty line end with it too.
	if bytes.Count(raw, []byte(lineEnd))-2 > maxResponseFields {
		return nil, fail("ParseResponse", KindTooLarge, "the head has more than %d fields", maxResponseFields)
	}
	first, header, err := splitHead(raw)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(first, " ")
	minor, err := parseVersion(version)
	if err != nil {
		return nil, err
	}
	code, reason, _ := strings.Cut(rest, " ")
	status, convErr := strconv.Atoi(code)
	if convErr != nil || len(code) != 3 || status < 100 {
		return nil, fail("ParseResponse", KindMalformed, "no status line: %q", truncate(first))
	}
	return &ResponseHead{Status: status, Reason: reason, Minor: minor, Header: header}, nil
}

// splitHead returns the first line and the header fields of a head.
func splitHead(raw []byte) (string, Header, error) {
	if !bytes.HasSuffix(raw, []byte(headEnd)) {
		return "", nil, fail("Parse", KindMalformed, "the head has no end")
	}
	first, rest, more := strings.Cut(string(raw[:len(raw)-len(headEnd)]), lineEnd)
	if err := checkLine(first); err != nil || !more {
		return first, nil, err
	}
	header := make(Header, 0, strings.Count(rest, lineEnd)+1)
	for more {
		var line string
		line, rest, more = strings.Cut(rest, lineEnd)
		if err := checkLine(line); err != nil {
			return "", nil, err
		}
		field, err := parseField(line)
		if err != nil {
			return "", nil, err
		}
		header = append(header, field)
	}
	return first, header, nil
}

func checkLine(line string) error {
	if strings.ContainsAny(line, "\r\n\x00") {
		return fail("Parse", KindMalformed, "a line holds CR, LF or NUL")
	}
	return nil
}

// ParsedSize returns the memory that a head takes once it is parsed, in bytes.
func ParsedSize(raw []byte) int {
	return len(raw) + bytes.Count(raw, []byte(lineEnd))*int(unsafe.Sizeof(Field{}))
}

func parseField(line string) (Field, error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		// This also refuses folded lines and a space before the colon. The line is not shown,
		// since it may contain a key.
		return Field{}, fail("Parse", KindMalformed, "a line of %d bytes is no header field", len(line))
	}
	value = strings.Trim(value, " \t")
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return Field{}, fail("Parse", KindMalformed, "field %s holds a control character", name)
		}
	}
	return Field{Name: name, Value: value}, nil
}

func parseVersion(s string) (int, error) {
	switch s {
	case versionPrefix + "0":
		return 0, nil
	case versionPrefix + "1":
		return 1, nil
	}
	return 0, fail("Parse", KindMalformed, "no HTTP/1 version: %q", truncate(s))
}

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}

// isTarget accepts targets in origin form, and "*".
func isTarget(s string) bool {
	if s == "*" {
		return true
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return strings.HasPrefix(s, "/") && !strings.Contains(s, "#")
}

func isHost(s string) bool {
	return s != "" && !strings.ContainsAny(s, " \t,/\\@?#")
}

func truncate(s string) string { return s[:min(len(s), 60)] }
