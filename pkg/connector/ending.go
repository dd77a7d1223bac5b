package connector

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// endingConn is a connection whose reads see an end only where the peer has ended its bytes. The kernel tells a reset once:
// if a write gets it, the read sees an end, and a part of an answer without a length would look complete.
type endingConn struct {
	net.Conn
	// mu guards writeError, and is held while a write is in progress.
	mu         sync.Mutex
	writeError error
}

func (c *endingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.writeError == nil {
		c.writeError = err
	}
	return n, err
}

func (c *endingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		// A write that is in progress returns at once, so that its error is known.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.mu.Lock()
		defer c.mu.Unlock()
		if !EndedBefore(c.writeError) {
			return n, c.writeError
		}
	}
	return n, err
}

// EndedBefore reports whether the peer of a connection had ended its bytes before a write failed, as far as the error of the
// write tells; nil is no failure. EPIPE means that it had.
func EndedBefore(writeError error) bool {
	return writeError == nil || errors.Is(writeError, syscall.EPIPE) || errors.Is(writeError, os.ErrDeadlineExceeded)
}
