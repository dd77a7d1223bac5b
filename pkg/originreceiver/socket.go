package originreceiver

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxReceived bounds what is read of a datagram: the longest software version fits in.
	maxReceived = 4096
	// receivePause is the wait after a failed read, so that a persistent fault does not use the processor.
	receivePause = 10 * time.Millisecond
)

// Socket sends and receives the datagrams.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens a socket at an address.
func Listen(address string) (*Socket, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "originreceiver: listen")
	}
	conn, err := net.ListenUDP("udp", resolved)
	if err != nil {
		return nil, errors.Wrap(err, "originreceiver: listen")
	}
	return &Socket{conn: conn}, nil
}

// Address returns the address at which datagrams are received.
func (s *Socket) Address() string { return s.conn.LocalAddr().String() }

// Send sends a datagram.
func (s *Socket) Send(address string, datagram []byte) error {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return errors.Wrap(err, "originreceiver: send")
	}
	_, err = s.conn.WriteToUDP(datagram, to)
	return errors.Wrap(err, "originreceiver: send")
}

// Run passes datagrams to a receiver until ctx ends, and closes the socket.
func (s *Socket) Run(ctx context.Context, r *Receiver) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, maxReceived)
	for ctx.Err() == nil {
		n, _, err := s.conn.ReadFromUDP(buf)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			// A datagram that nobody received is reported here as refused.
			<-r.Clock.After(receivePause)
			continue
		}
		if err := r.Receive(buf[:n]); err != nil {
			r.Log.Warn("a report of the origins of streams can't be read", "Error", err.Error())
		}
	}
}
