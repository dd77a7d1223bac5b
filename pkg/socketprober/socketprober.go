// Package socketprober tells the state of a connection's receiving side without reading from it.
package socketprober

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// State is the state of a connection's receiving side.
type State int

// The states. A connection that can't be probed is Unknown.
const (
	Unknown State = iota
	// Idle means that the connection is open and that there is nothing to read.
	Idle
	// Readable means that there are bytes to read.
	Readable
	// Closed means that the peer has closed or reset the connection, and that all of its bytes were read.
	Closed
)

// PeerClosed reports whether the peer of a connection has closed or reset it, also while bytes are left to
// read. It does not block.
func PeerClosed(c net.Conn) bool {
	switch Probe(c) {
	case Closed:
		return true
	case Readable:
		return polledClosed(c)
	default:
		return false
	}
}

func polledClosed(c net.Conn) bool {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		closed = err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil
}

// Probe returns the state of a connection. It does not block.
func Probe(c net.Conn) State {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = Readable
		case errors.Is(err, syscall.EAGAIN):
			state = Idle
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
