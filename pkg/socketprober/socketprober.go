// Package socketprober tells the state of a connection's receiving side without reading from it.
package socketprober

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
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
