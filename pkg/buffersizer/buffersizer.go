// Package buffersizer sets the sizes of the buffers that the kernel keeps for connections. Bytes that wait there take
// memory as well, and the kernel would let them grow to megabytes for each connection.
package buffersizer

import (
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Control returns a function for net.ListenConfig that sets the buffers of a listener and with it those of the
// connections that it accepts; it returns nil for a size of 0, which leaves the choice to the kernel.
func Control(bytes int) func(network, address string, c syscall.RawConn) error {
	if bytes == 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
			if failed == nil {
				failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
			}
		})
		if err == nil {
			err = failed
		}
		return errors.Wrap(err, "buffersizer")
	}
}
