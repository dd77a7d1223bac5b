// Package logtracer collects the trace of one request from the logs of all processes: the
// request's own lines, and the lines of its gateway and the leader about the backend servers
// and the adapter that it needed.
package logtracer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one line of a program's log.
type Line struct {
	At       time.Time
	Message  string
	Instance string
	// Fields are the remaining fields, by name.
	Fields map[string]any
}

const (
	// leadTime is how long before a request's start other lines may be relevant: slightly more
	// than the interval of a backend server's announcements.
	leadTime = 1500 * time.Millisecond
	// backoffLeadTime is the same for the begin of a backend server's backoff, which is in force
	// for as long as the backend server says.
	backoffLeadTime = time.Minute
	// maxLine limits the length of a line; a longer one is an error.
	maxLine = 1 << 20
)

// Read reads the JSON lines of a log. Text before the first brace of a line, such as a
// collector's timestamp, is ignored; lines that are not JSON are skipped and counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return lines, skipped, &Error{Operation: "Read", Kind: KindUnreadable, cause: err}
	}
	return lines, skipped, nil
}

func parseLine(text []byte) (Line, bool) {
	fields := map[string]any{}
	at := strings.IndexByte(string(text), '{')
	if at < 0 || json.Unmarshal(text[at:], &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields, Message: takeText(fields, "msg"), Instance: takeText(fields, "Instance")}
	stamp, err := time.Parse(time.RFC3339Nano, takeText(fields, "time"))
	if err != nil {
		return Line{}, false
	}
	l.At = stamp
	for _, name := range []string{"level", "Program", "Zone"} {
		delete(fields, name)
	}
	return l, true
}

// takeText removes a text field and returns it.
func takeText(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

func (l Line) text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// String formats the line for display.
func (l Line) String() string {
	b := &strings.Builder{}
	_, _ = fmt.Fprintf(b, "%s %s: %s", l.At.UTC().Format("15:04:05.000"), l.Instance, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if v := l.Fields[name]; v != "" && v != nil {
			_, _ = fmt.Fprintf(b, " %s=%v", name, v)
		}
	}
	return b.String()
}

// scope selects the lines of one request's trace.
type scope struct {
	request   string
	from, to  time.Time
	instances map[string]bool
	backends  map[string]bool
	adapters  map[string]bool
}

// Trace returns the lines relevant to a request in order of time; none if no line names it.
func Trace(lines []Line, request string) []Line {
	s := findScope(lines, request)
	if s.to.IsZero() {
		return nil
	}
	var trace []Line
	for _, l := range lines {
		if s.includes(l) {
			trace = append(trace, l)
		}
	}
	slices.SortStableFunc(trace, func(a, b Line) int { return a.At.Compare(b.At) })
	return trace
}

func findScope(lines []Line, request string) scope {
	s := scope{request: request, instances: map[string]bool{}, backends: map[string]bool{}, adapters: map[string]bool{}}
	for _, l := range lines {
		if l.text("RequestID") != request {
			continue
		}
		took, _ := l.Fields["Took"].(float64)
		began := l.At.Add(-time.Duration(took) * time.Millisecond)
		if s.from.IsZero() || began.Before(s.from) {
			s.from = began
		}
		if l.At.After(s.to) {
			s.to = l.At
		}
		s.instances[l.Instance] = true
		s.backends[l.text("Backend")] = true
		s.backends[l.text("DeniedBackend")] = true
		s.backends[l.text("PausedBackend")] = true
		s.adapters[l.text("Adapter")] = true
	}
	delete(s.backends, "")
	delete(s.adapters, "")
	return s
}

// includes reports whether a line belongs to the trace: the request's own lines, and within the
// time range those about its backend servers and adapter, about the leader, and those of its
// gateway that are not about other requests.
func (s scope) includes(l Line) bool {
	if id := l.text("RequestID"); id != "" {
		return id == s.request
	}
	if l.Message == messageBackoff && !l.At.Before(s.from.Add(-backoffLeadTime)) && !l.At.After(s.to) {
		return s.backends[l.text("Backend")] && s.instances[l.Instance]
	}
	if l.At.Before(s.from.Add(-leadTime)) || l.At.After(s.to) {
		return false
	}
	if adapter := l.text("Adapter"); adapter != "" {
		return s.adapters[adapter]
	}
	if backend := l.text("Backend"); backend != "" {
		return s.backends[backend]
	}
	return s.instances[l.Instance] || l.Message == messageLeads
}

const (
	// messageLeads is what a controller logs when it becomes the leader.
	messageLeads = "this instance leads"
	// messageBackoff is what a gateway logs when a backend server rejects requests for a time.
	messageBackoff = "backend server accepts no requests for a time"
)
