// Package buffersizer sets the sizes of the buffers that the kernel keeps for connections. Bytes that wait there take
// memory as well, and the kernel would let them grow to megabytes for each connection.
package buffersizer

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// sendBytes is the size of the send buffer of a connection. A smaller one than the largest segment of the loopback
// interface delays each write by a delayed acknowledgement.
const sendBytes = 64 << 10

// Control returns a function for net.ListenConfig that sets the buffers of a listener and with it those of the
// connections that it accepts. For a receive buffer of 0 bytes it returns nil, which leaves both to the kernel. A kernel
// that refuses a size keeps its own.
func Control(receiveBytes int) func(network, address string, c syscall.RawConn) error {
	if receiveBytes == 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBytes)
		})
	}
}
