// Package narrator tells the story of one request from the log lines of all processes:
// its own lines, and what its gateway and the leader believed and did meanwhile about
// the backend servers and the adapter that it needed.
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
	// Fields are the others, by name.
	Fields map[string]any
}

const (
	// before is how long before a request's start other lines may matter: a little longer
	// than a backend server's announcements are apart.
	before = 1500 * time.Millisecond
	// maxLine bounds a line; longer ones are skipped.
	maxLine = 1 << 20
)

// Read reads the JSON lines of a log. Whatever stands before the first brace of a line,
// such as a collector's stamp, and lines that are no JSON are passed over and counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
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

func parse(text []byte) (Line, bool) {
	fields := map[string]any{}
	at := strings.IndexByte(string(text), '{')
	if at < 0 || json.Unmarshal(text[at:], &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields, Message: take(fields, "msg"), Instance: take(fields, "Instance")}
	stamp, err := time.Parse(time.RFC3339Nano, take(fields, "time"))
	if err != nil {
		return Line{}, false
	}
	l.At = stamp
	for _, name := range []string{"level", "Program", "Zone"} {
		delete(fields, name)
	}
	return l, true
}

// take removes a field of text and returns it.
func take(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

func (l Line) text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// String returns the line as a person reads it.
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

// subject is what a story is about.
type subject struct {
	request   string
	from, to  time.Time
	instances map[string]bool
	backends  map[string]bool
	adapters  map[string]bool
}

// Trace returns the lines that tell what became of a request, in the order of time;
// none if no line names it.
func Trace(lines []Line, request string) []Line {
	s := about(lines, request)
	if s.to.IsZero() {
		return nil
	}
	var story []Line
	for _, l := range lines {
		if s.concerns(l) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.At.Compare(b.At) })
	return story
}

func about(lines []Line, request string) subject {
	s := subject{request: request, instances: map[string]bool{}, backends: map[string]bool{}, adapters: map[string]bool{}}
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
		s.adapters[l.text("Adapter")] = true
	}
	delete(s.backends, "")
	delete(s.adapters, "")
	return s
}

// concerns reports whether a line belongs to the story: the request's own, and of the time
// around it those on its backend servers and adapter, on who leads, and those of its
// gateway that are not about other requests.
func (s subject) concerns(l Line) bool {
	if id := l.text("RequestID"); id != "" {
		return id == s.request
	}
	if l.At.Before(s.from.Add(-before)) || l.At.After(s.to) {
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

// messageLeads is what a controller logs when it becomes the leader.
const messageLeads = "this instance leads"
