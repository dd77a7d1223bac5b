package framer

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
)

// Framing is how the end of a body is determined.
type Framing int

// The framings of bodies.
const (
	// FramingNone is for messages without a body.
	FramingNone Framing = iota
	// FramingLength is for bodies of a known length.
	FramingLength
	// FramingChunked is for chunked bodies.
	FramingChunked
	// FramingClose is for answers that end when the connection closes.
	FramingClose
)

const (
	maxChunkLine = 4096
	maxTrailers  = 8192
	// maxExtensions limits the extensions of all chunks of a body, in bytes: each chunk of a byte could bear a long line.
	maxExtensions = 16 << 10
	// maxSizeDigits is the length of the longest size of a chunk, with leading zeros.
	maxSizeDigits = 16
	maxLength     = 1 << 40
)

// Body reads a message's body. It returns io.EOF only at the proper end of the body.
type Body struct {
	Framing Framing
	// Length is the length of a body with FramingLength.
	Length int64

	reader    *bufio.Reader
	remaining int64
	ended     bool
	started   bool
	// extensions is what may still come of chunk extensions, in bytes; boundExtensions is set where they are limited.
	extensions      int
	boundExtensions bool
}

// RequestBody returns the body of a request whose head was read from r.
func RequestBody(r *bufio.Reader, head *RequestHead) (*Body, error) {
	b, err := newBody(r, head.Header, head.Minor)
	if err != nil {
		return nil, err
	}
	if b.Framing == FramingClose {
		b.Framing, b.ended = FramingNone, true
	}
	b.boundExtensions, b.extensions = true, maxExtensions
	return b, nil
}

// ResponseBody returns the body of an answer to a request with the given method.
func ResponseBody(r *bufio.Reader, head *ResponseHead, method string) (*Body, error) {
	if method == "HEAD" || head.Status < 200 || head.Status == 204 || head.Status == 304 {
		return &Body{Framing: FramingNone, ended: true}, nil
	}
	return newBody(r, head.Header, head.Minor)
}

// newBody determines the framing. Two lengths, a length beside an encoding, and any encoding
// but chunked are refused, since recipients may interpret them differently (RFC 9112 section
// 6).
func newBody(r *bufio.Reader, header Header, minor int) (*Body, error) {
	lengths, encodings := header.count("Content-Length"), header.count("Transfer-Encoding")
	switch {
	case encodings > 1 || lengths > 1 || encodings == 1 && lengths == 1:
		return nil, fail("Body", KindMalformed, "the length of the body is given more than once")
	case encodings == 1:
		if minor == 0 || !strings.EqualFold(header.Get("Transfer-Encoding"), "chunked") {
			return nil, fail("Body", KindMalformed, "the transfer encoding is not chunked")
		}
		return &Body{Framing: FramingChunked, reader: r}, nil
	case lengths == 1:
		n, err := parseLength(header.Get("Content-Length"))
		if err != nil {
			return nil, err
		}
		return &Body{Framing: FramingLength, Length: n, reader: r, remaining: n, ended: n == 0}, nil
	}
	return &Body{Framing: FramingClose, reader: r}, nil
}

func parseLength(s string) (int64, error) {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, fail("Body", KindMalformed, "%q is no length", truncate(s))
		}
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n > maxLength {
		return 0, fail("Body", KindMalformed, "%q is no length", truncate(s))
	}
	return n, nil
}

// Complete reports whether the body was read to its end.
func (b *Body) Complete() bool { return b.ended }

// Read reads a part of the body.
func (b *Body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	switch b.Framing {
	case FramingClose:
		return b.readToClose(p)
	case FramingChunked:
		if b.remaining == 0 {
			if err := b.nextChunk(); err != nil {
				return 0, err
			}
			if b.ended {
				return 0, io.EOF
			}
		}
	case FramingNone, FramingLength:
	}
	return b.readRemaining(p)
}

func (b *Body) readToClose(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == io.EOF {
		b.ended = true
		return n, io.EOF
	}
	if err != nil {
		return n, wrap("Body", KindTruncated, err)
	}
	return n, nil
}

func (b *Body) readRemaining(p []byte) (int, error) {
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.reader.Read(p)
	b.remaining -= int64(n)
	if b.remaining == 0 && b.Framing == FramingLength {
		b.ended = true
	}
	if err != nil && b.remaining > 0 || err != nil && b.Framing == FramingChunked {
		return n, wrap("Body", KindTruncated, err)
	}
	return n, nil
}

// nextChunk reads the size line of a chunk, and the trailers after the last chunk.
func (b *Body) nextChunk() error {
	if b.started {
		if line, err := b.line(maxChunkLine); err != nil || len(line) > 0 {
			return orMalformed(err, "a chunk is longer than its size")
		}
	}
	b.started = true
	line, err := b.line(maxChunkLine)
	if err != nil {
		return err
	}
	b.extensions -= max(len(line)-maxSizeDigits, 0)
	if b.boundExtensions && b.extensions < 0 {
		return fail("Body", KindTooLarge, "the chunk extensions are longer than %d bytes", maxExtensions)
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	n, convErr := strconv.ParseUint(string(size), 16, 40)
	if convErr != nil || size[0] == '+' || bytes.IndexByte(size, '_') >= 0 {
		return fail("Body", KindMalformed, "%q is no size of a chunk", truncate(string(size)))
	}
	b.remaining = int64(n)
	if n > 0 {
		return nil
	}
	return b.trailers()
}

func (b *Body) trailers() error {
	remaining := maxTrailers
	for {
		line, err := b.line(remaining)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			b.ended = true
			return nil
		}
		if _, err := parseField(string(line)); err != nil {
			return err
		}
		remaining -= len(line)
	}
}

// line reads a line that ends with CRLF. It is valid until the next read.
func (b *Body) line(limit int) ([]byte, error) {
	raw, err := b.reader.ReadSlice('\n')
	switch {
	case err == bufio.ErrBufferFull || len(raw) > max(limit, 0)+len(lineEnd):
		return nil, fail("Body", KindTooLarge, "a line is too long")
	case err != nil:
		return nil, wrap("Body", KindTruncated, err)
	case !bytes.HasSuffix(raw, []byte(lineEnd)) || bytes.ContainsAny(raw[:len(raw)-len(lineEnd)], "\r\x00"):
		return nil, fail("Body", KindMalformed, "a line ends without CR")
	}
	return raw[:len(raw)-len(lineEnd)], nil
}

func orMalformed(err error, problem string) error {
	if err != nil {
		return err
	}
	return fail("Body", KindMalformed, "%s", problem)
}
