package translator_test

import (
	"bytes"
	"io"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/translator"
)

const engine = `{"Name":"e1","Incarnation":"i","Kind":"Engine","Address":"127.0.0.1:80","Zone":"z","BaseModel":"b","Slots":4,"Batch":8,"ChecksFencing":true,"Leaving":false,"Running":0,"Waiting":0}`

func TestParseAnnouncement(t *testing.T) {
	cases := map[string]struct {
		body string
		ok   bool
	}{
		"an engine":                  {body: engine, ok: true},
		"a service":                  {body: `{"Name":"s","Incarnation":"i","Kind":"Service","Address":"127.0.0.1:80","Zone":"z","Service":"orders"}`, ok: true},
		"a service without its name": {body: `{"Name":"s","Incarnation":"i","Kind":"Service","Address":"127.0.0.1:80","Zone":"z"}`},
		"an unknown kind":            {body: strings.Replace(engine, "Engine", "Motor", 1)},
		"an unknown field":           {body: strings.Replace(engine, "Zone", "Place", 1)},
		"a name for an address":      {body: strings.Replace(engine, "127.0.0.1:80", "host:80", 1)},
		"no slots":                   {body: strings.Replace(engine, `"Slots":4`, `"Slots":0`, 1)},
		"far too many slots":         {body: strings.Replace(engine, `"Slots":4`, `"Slots":99999999`, 1)},
		"a number out of range":      {body: strings.Replace(engine, `"Slots":4`, `"Slots":-1`, 1)},
		"not JSON":                   {body: "{"},
		"nothing":                    {body: ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b, err := translator.ParseAnnouncement([]byte(tc.body))
			c.Assert(err == nil, qt.Equals, tc.ok, qt.Commentf("%v", err))
			c.Assert(b != nil, qt.Equals, tc.ok)
		})
	}
}

func TestExpectation(t *testing.T) {
	x := translator.Expectation{AnswerID: "cmpl-1", Model: "a@1"}
	cases := map[string]struct {
		body string
		kind translator.Kind
	}{
		"its own":                       {body: `{"id":"cmpl-1","model":"a@1"}`},
		"another request's":             {body: `{"id":"cmpl-2","model":"a@1"}`, kind: translator.KindMismatched},
		"another version's":             {body: `{"id":"cmpl-1","model":"a@2"}`, kind: translator.KindMismatched},
		"one without an id":             {body: `{"model":"a@1"}`, kind: translator.KindMismatched},
		"half of one":                   {body: `{"id":"cmpl-1","mod`, kind: translator.KindTruncated},
		"an error instead of an answer": {body: `[]`, kind: translator.KindTruncated},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			err := x.Check([]byte(tc.body))
			if tc.kind == 0 {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(translator.IsKind(err, tc.kind), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func TestEvents(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	cases := map[string]struct {
		stream string
		events int
		done   bool
	}{
		"a whole stream":                     {stream: "data: a\n\ndata: b\r\n\r\ndata: [DONE]\n\n", events: 2, done: true},
		"comments and other fields":          {stream: ": ping\nevent: x\ndata: a\n\ndata: [DONE]\n\n", events: 1, done: true},
		"a long event":                       {stream: "data: " + long + "\n\ndata: [DONE]\n\n", events: 1, done: true},
		"truncated between events":           {stream: "data: a\n\n", events: 1},
		"truncated inside an event":          {stream: "data: a\n\ndata: b", events: 1},
		"truncated inside the closing event": {stream: "data: a\n\ndata: [DO", events: 1},
		"an endless event":                   {stream: "data: " + strings.Repeat(long, 50) + "\n\n"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := translator.NewEventReader(strings.NewReader(tc.stream))
			events := 0
			for {
				_, done, err := r.Next()
				if done || err != nil {
					c.Assert(done, qt.Equals, tc.done)
					break
				}
				events++
			}
			c.Assert(events, qt.Equals, tc.events)
		})
	}
}

// countingReader repeats a text without end, and counts what was read of it.
type countingReader struct {
	text string
	read int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.read%len(r.text):])
	r.read += n
	return n, nil
}

// Of an event without end 4 MiB were kept, and lines that are no data were read for as long as they came.
func TestEventsWithoutEndAreGivenUp(t *testing.T) {
	// maxRead is the bound of an event and the reader's buffer.
	const maxRead = 256<<10 + 4096
	for name, text := range map[string]string{
		"one line":     "data: ",
		"no line ends": "x",
		"comments":     ": ping\n\n",
		"empty lines":  "\n",
		"other fields": "id: 1\r\nevent: x\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			in := &countingReader{text: text}
			_, _, err := translator.NewEventReader(io.LimitReader(in, 16<<20)).Next()
			c.Check(translator.IsKind(err, translator.KindMalformed), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(in.read <= maxRead, qt.IsTrue, qt.Commentf("%d bytes", in.read))
		})
	}
}

// Comments between the events of a long stream do not add up.
func TestLongStreamsWithCommentsAreRead(t *testing.T) {
	const events = 100_000
	c := qt.New(t)
	r := translator.NewEventReader(strings.NewReader(strings.Repeat(": ping\n\ndata: a\n\n", events) + "data: [DONE]\n\n"))
	for range events {
		data, done, err := r.Next()
		c.Assert(err, qt.IsNil)
		c.Assert(done, qt.IsFalse)
		c.Assert(string(data), qt.Equals, "a")
	}
	_, done, err := r.Next()
	c.Check(err, qt.IsNil)
	c.Check(done, qt.IsTrue)
}

func TestFencingNumbersRise(t *testing.T) {
	c := qt.New(t)
	c.Assert(translator.FencingNumber(2, 1) > translator.FencingNumber(1, 999), qt.IsTrue)
	c.Assert(translator.FencingNumber(2, 10) > translator.FencingNumber(2, 9), qt.IsTrue)
	c.Assert(translator.FencingNumber(10, 1) > translator.FencingNumber(9, 1), qt.IsTrue)
}

func FuzzParseAnnouncement(f *testing.F) {
	f.Add([]byte(engine))
	f.Add([]byte(`{"Name":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		b, err := translator.ParseAnnouncement(body)
		if (b == nil) != (err != nil) {
			t.Fatal("neither an announcement nor an error, or both")
		}
	})
}

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"a@1","prompt":"x","stream":true}`))
	f.Add([]byte(`{"model":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		req, err := translator.ParseCompletion(translator.CompletionsPath, body)
		if err == nil && req.Model == "" {
			t.Fatal("a request without a model was taken")
		}
	})
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := translator.NewEventReader(bytes.NewReader(stream))
		for range len(stream) + 1 {
			if _, done, err := r.Next(); done || err != nil {
				return
			}
		}
		t.Fatal("more events than bytes")
	})
}

// A chat request with very many short messages took many times the memory of its body.
func TestManyMessagesTakeLittleMemory(t *testing.T) {
	c := qt.New(t)
	body := []byte(`{"model":"m@1","messages":[{"role":"user"}` + strings.Repeat(",1", 500_000) + `]}`)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	req, err := translator.ParseCompletion(translator.ChatPath, body)
	runtime.ReadMemStats(&after)
	c.Assert(err, qt.IsNil)
	c.Check(string(req.Messages.First), qt.Equals, `{"role":"user"}`)
	c.Check(after.TotalAlloc-before.TotalAlloc < uint64(2*len(body)), qt.IsTrue, qt.Commentf("%d bytes", after.TotalAlloc-before.TotalAlloc))
}

func TestMessages(t *testing.T) {
	for name, test := range map[string]struct {
		messages, first string
		accepted        bool
	}{
		"one":     {`[{"role":"user"}]`, `{"role":"user"}`, true},
		"several": {`[ 1, 2 ]`, `1`, true},
		"none":    {`[]`, "", false},
		"null":    {`null`, "", false},
		"no list": {`{}`, "", false},
		"text":    {`"a"`, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			req, err := translator.ParseCompletion(translator.ChatPath, []byte(`{"model":"m@1","messages":`+test.messages+`}`))
			c.Check(err == nil, qt.Equals, test.accepted)
			if test.accepted {
				c.Check(string(req.Messages.First), qt.Equals, test.first)
			}
		})
	}
}
