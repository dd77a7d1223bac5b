package framer

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// A line whose end met the end of the reader's buffer between CR and LF passed for one without CR: a proper request got 400,
// and a proper answer was lost.
func TestLinesOfAnyLength(t *testing.T) {
	const bufferSize = 64
	for length := range 5 * bufferSize {
		c := qt.New(t)
		head := "GET / HTTP/1.1\r\nX: " + strings.Repeat("a", length) + "\r\nHost: h\r\n\r\n"
		read, err := ReadHead(bufio.NewReaderSize(strings.NewReader(head+"rest"), bufferSize), 8192)
		c.Check(err, qt.IsNil, qt.Commentf("%d", length))
		c.Check(string(read), qt.Equals, head)
	}
}

func TestHeads(t *testing.T) {
	for name, test := range map[string]struct {
		sent string
		kind Kind
	}{
		"whole":                {"GET / HTTP/1.1\r\nHost: h\r\n\r\nrest", 0},
		"nothing":              {"", KindClosed},
		"cut":                  {"GET / HTTP/1.1\r\nHo", KindTruncated},
		"too long":             {"GET / HTTP/1.1\r\nX: " + strings.Repeat("a", 9000) + "\r\n\r\n", KindTooLarge},
		"ended by bare LFs":    {"GET / HTTP/1.1\r\nHost: h\n\n", KindMalformed},
		"longer than a buffer": {"GET / HTTP/1.1\r\nX: " + strings.Repeat("a", 5000) + "\r\n\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := ReadHead(bufio.NewReaderSize(strings.NewReader(test.sent), 64), 8192)
			c.Check(err == nil, qt.Equals, test.kind == 0, qt.Commentf("%v", err))
			if test.kind != 0 {
				c.Check(Is(err, test.kind), qt.IsTrue, qt.Commentf("%v", err))
			}
		})
	}
}

func TestAnswerBodies(t *testing.T) {
	for name, test := range map[string]struct {
		method, sent, body string
		framing            Framing
		whole              bool
	}{
		"a length":       {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc", FramingLength, true},
		"truncated body": {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", "abc", FramingLength, false},
		"chunks":         {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "abc", FramingChunked, true},
		"no last chunk":  {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "abc", FramingChunked, false},
		"until close":    {"GET", "HTTP/1.1 200 OK\r\n\r\nabc", "abc", FramingClose, true},
		"to HEAD":        {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "", FramingNone, true},
		"no content":     {"GET", "HTTP/1.1 204 No Content\r\n\r\n", "", FramingNone, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			reader := bufio.NewReader(strings.NewReader(test.sent))
			raw, err := ReadHead(reader, 4096)
			c.Assert(err, qt.IsNil)
			head, err := ParseResponse(raw)
			c.Assert(err, qt.IsNil)
			body, err := ResponseBody(reader, head, test.method)
			c.Assert(err, qt.IsNil)
			c.Check(body.Framing, qt.Equals, test.framing)
			got, err := io.ReadAll(body)
			c.Check(string(got), qt.Equals, test.body)
			c.Check(err == nil && body.Complete(), qt.Equals, test.whole)
		})
	}
}

// No input causes a panic, and a request that is accepted parses the same when it is read byte
// by byte, so that no other reader could have read a different one.
func FuzzRequests(f *testing.F) {
	f.Add([]byte("GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\nT: v\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		c := qt.New(t)
		whole, wholeLeft, wholeErr := readRequest(bytes.NewReader(sent))
		split, splitLeft, splitErr := readRequest(oneByteReader{bytes.NewReader(sent)})
		c.Assert(wholeErr == nil, qt.Equals, splitErr == nil)
		if wholeErr == nil {
			c.Assert(split, qt.DeepEquals, whole)
			c.Assert(splitLeft, qt.Equals, wholeLeft)
		}
	})
}

// oneByteReader returns one byte at a time.
type oneByteReader struct{ r io.Reader }

func (o oneByteReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return o.r.Read(p[:1])
}

type parsedRequest struct {
	Head *RequestHead
	Body string
}

func readRequest(r io.Reader) (parsedRequest, int, error) {
	reader := bufio.NewReader(r)
	raw, err := ReadHead(reader, 4096)
	if err != nil {
		return parsedRequest{}, 0, err
	}
	head, err := ParseRequest(raw)
	if err != nil {
		return parsedRequest{}, 0, err
	}
	body, err := RequestBody(reader, head)
	if err != nil {
		return parsedRequest{}, 0, err
	}
	content, err := io.ReadAll(body)
	if err != nil {
		return parsedRequest{}, 0, err
	}
	rest, err := io.ReadAll(reader)
	return parsedRequest{Head: head, Body: string(content)}, len(rest), err
}

// Each chunk of a byte could bear a line of 4 KB, so that a body within its limit took gigabytes to read.
func TestChunkExtensionsAreLimited(t *testing.T) {
	chunk := "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"
	for name, test := range map[string]struct {
		chunks int
		whole  bool
	}{
		"some":       {10, true},
		"very many":  {1000, false},
		"just above": {maxExtensions/1000 + 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sent := strings.Repeat(chunk, test.chunks) + "0\r\n\r\n"
			head := &RequestHead{Minor: 1, Header: Header{{Name: "Transfer-Encoding", Value: "chunked"}}}
			body, err := RequestBody(bufio.NewReader(strings.NewReader(sent)), head)
			c.Assert(err, qt.IsNil)
			_, err = io.ReadAll(body)
			c.Check(err == nil, qt.Equals, test.whole, qt.Commentf("%v", err))
			c.Check(Is(err, KindTooLarge), qt.Equals, !test.whole)
		})
	}
}

// A head reserves the memory that it takes before it takes it.
func TestHeadsReserveMemory(t *testing.T) {
	c := qt.New(t)
	full := errors.New("full")
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n"
	largest := 0
	raw, err := ReadHeadReserving(bufio.NewReader(strings.NewReader(head)), 16<<10, func(size int) error {
		largest = size
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Check(string(raw), qt.Equals, head)
	c.Check(cap(raw), qt.Equals, largest)
	_, err = ReadHeadReserving(bufio.NewReader(strings.NewReader(head)), 16<<10, func(size int) error {
		if size > 4<<10 {
			return full
		}
		return nil
	})
	c.Check(err, qt.Equals, full)
}

// Answers of 64 KiB with thousands of empty fields took ten times that, for each request.
func TestAnswersOfManyFieldsAreRefused(t *testing.T) {
	for name, test := range map[string]struct {
		fields int
		parsed bool
	}{
		"none":     {0, true},
		"the most": {maxResponseFields, true},
		"too many": {maxResponseFields + 1, false},
		"64 KiB":   {16 << 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			head, err := ParseResponse([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", test.fields) + "\r\n"))
			c.Check(err == nil, qt.Equals, test.parsed, qt.Commentf("%v", err))
			c.Check(Is(err, KindTooLarge), qt.Equals, !test.parsed)
			if test.parsed {
				c.Check(head.Header, qt.HasLen, test.fields)
			}
		})
	}
}

// A body costs at most so many bytes to read for each byte of its content, whatever its chunks look like.
func FuzzChunkOverhead(f *testing.F) {
	f.Add([]byte("3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte(strings.Repeat("1\r\nx\r\n", 50)))
	f.Add([]byte(strings.Repeat("1;"+strings.Repeat("e", 300)+"\r\nx\r\n", 80)))
	f.Add([]byte(strings.Repeat("0000000000000000000000000001\r\nx\r\n", 80)))
	f.Add([]byte("0\r\n" + strings.Repeat("a: b\r\n", 3000)))
	f.Add([]byte(strings.Repeat("0", 5000)))
	f.Fuzz(func(t *testing.T, sent []byte) {
		const (
			// overheadOfChunk is the longest size and two line ends.
			overheadOfChunk = maxSizeDigits + 2*len(lineEnd)
			fixed           = maxExtensions + maxTrailers + 2*maxChunkLine + bufferBytes
		)
		c := qt.New(t)
		source := strings.NewReader(string(sent))
		head := &RequestHead{Minor: 1, Header: Header{{Name: "Transfer-Encoding", Value: "chunked"}}}
		body, err := RequestBody(bufio.NewReaderSize(source, bufferBytes), head)
		c.Assert(err, qt.IsNil)
		content, _ := io.Copy(io.Discard, body)
		read := len(sent) - source.Len()
		c.Check(read <= int(content)*(1+overheadOfChunk)+fixed, qt.IsTrue, qt.Commentf("%d bytes read for %d of content", read, content))
	})
}

// bufferBytes is the size of the buffer in front of the parser.
const bufferBytes = 4096
