package reserver

import (
	"io"
	"sync"
)

const (
	// firstSegmentBytes is the size of the first segment of content of unknown length, segmentBytes that of all further ones.
	firstSegmentBytes = 2 << 10
	segmentBytes      = 64 << 10
	// UnknownLength stands for the length of content that does not announce it.
	UnknownLength = -1
)

// segments are reused, so that crowds of messages leave little to collect.
var segments = sync.Pool{New: func() any { return new([segmentBytes]byte) }}

// Content describes content to be read.
type Content struct {
	// Length is its announced length, or UnknownLength.
	Length int64
	// Limit is the length at which reading it fails, with the error TooLong.
	Limit   int64
	TooLong error
	// Free is the part that is kept without a reservation.
	Free int64
}

// ReadAll reads content, and reserves the memory that it takes.
func (r *Reservation) ReadAll(content io.Reader, c Content) ([]byte, error) {
	b := &buffer{reservation: r, free: c.Free, firstSize: firstSegmentBytes}
	if c.Length >= 0 && c.Length < segmentBytes {
		// One more byte, as the end is only seen by reading on.
		b.firstSize = c.Length + 1
	}
	defer b.recycle()
	for {
		space, err := b.space()
		if err != nil {
			return nil, err
		}
		n, err := content.Read(space)
		b.advance(n)
		if n > 0 {
			r.Progress()
		}
		switch {
		case b.length > c.Limit:
			return nil, c.TooLong
		case err == io.EOF:
			return b.join()
		case err != nil:
			return nil, err
		case r.Revoked():
			return nil, fail(KindRevoked, "the reservation was revoked for others")
		}
	}
}

// buffer holds content in segments, so that no content is copied while it grows.
type buffer struct {
	reservation *Reservation
	free        int64
	firstSize   int64
	first       []byte
	full        []*[segmentBytes]byte
	// last is the used part of the last segment.
	last   int
	length int64
	// reserved is what was reserved beyond the free bytes.
	reserved int64
}

// reserve reserves n bytes, except for the free ones.
func (b *buffer) reserve(n int64) error {
	taken := min(b.free, n)
	if err := b.reservation.Grow(n - taken); err != nil {
		return err
	}
	b.free -= taken
	b.reserved += n - taken
	return nil
}

// space returns free space for further content.
func (b *buffer) space() ([]byte, error) {
	switch {
	case b.first == nil:
		if err := b.reserve(b.firstSize); err != nil {
			return nil, err
		}
		b.first = make([]byte, 0, b.firstSize)
		return b.first[:cap(b.first)], nil
	case len(b.first) < cap(b.first):
		return b.first[len(b.first):cap(b.first)], nil
	case len(b.full) == 0 || b.last == segmentBytes:
		if err := b.reserve(segmentBytes); err != nil {
			return nil, err
		}
		b.full = append(b.full, segments.Get().(*[segmentBytes]byte))
		b.last = 0
	}
	return b.full[len(b.full)-1][b.last:], nil
}

func (b *buffer) advance(n int) {
	b.length += int64(n)
	if len(b.full) > 0 {
		b.last += n
		return
	}
	b.first = b.first[:len(b.first)+n]
}

// join returns the content in one piece, for which alone memory stays reserved.
func (b *buffer) join() ([]byte, error) {
	if len(b.full) == 0 {
		return b.first, nil
	}
	before := b.reserved
	if err := b.reserve(b.length); err != nil {
		return nil, err
	}
	whole := append(make([]byte, 0, b.length), b.first...)
	for i, segment := range b.full {
		used := segmentBytes
		if i == len(b.full)-1 {
			used = b.last
		}
		whole = append(whole, segment[:used]...)
	}
	b.recycle()
	b.reservation.Shrink(before)
	return whole, nil
}

func (b *buffer) recycle() {
	for _, segment := range b.full {
		segments.Put(segment)
	}
	b.full = nil
}
