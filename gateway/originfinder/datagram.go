package originfinder

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/originrecorder"
	"bronzelead.example/pkg/wire"
)

const (
	// maxDatagram is the size up to which a datagram is not fragmented on common links.
	maxDatagram = 1200
	// maxReceived bounds what is read of a datagram: the longest software version fits in.
	maxReceived = 4096
	// faultLogInterval is the time between two log lines on failed reports.
	faultLogInterval = 10 * time.Second
	// receivePause is the wait after a failed read, so that a persistent fault does not use the processor.
	receivePause = 10 * time.Millisecond
)

// report sends origins to another gateway, in as few datagrams as they need.
func (f *Finder) report(address string, origins []*wire.StreamOrigin) {
	message := &wire.RecordOrigins{}
	for _, o := range origins {
		message.Origins = append(message.Origins, o)
		if proto.Size(message) > maxDatagram && len(message.GetOrigins()) > 1 {
			message.Origins = message.GetOrigins()[:len(message.GetOrigins())-1]
			f.send(address, message)
			message.Origins = []*wire.StreamOrigin{o}
		}
	}
	f.send(address, message)
}

func (f *Finder) send(address string, message *wire.RecordOrigins) {
	datagram, err := proto.Marshal(message)
	if err == nil {
		err = f.Send(address, datagram)
	}
	if err == nil {
		f.Meter.Add("stream_origin_reports", "outcome", "Sent", 1)
		return
	}
	f.Meter.Add("stream_origin_reports", "outcome", "Failed", 1)
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.sendFaultLoggedAt) >= faultLogInterval {
		f.sendFaultLoggedAt = now
		f.Log.Warn("the origin of a stream could not be reported", "Gateway", address, "Error", err.Error())
	}
}

// Receive takes a datagram of another gateway.
func (f *Finder) Receive(datagram []byte) error {
	message := &wire.RecordOrigins{}
	if err := proto.Unmarshal(datagram, message); err != nil {
		return errors.Wrap(err, "originfinder: a datagram can't be read")
	}
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range message.GetOrigins() {
		key, err := decodeKey(o.GetKey())
		if err != nil {
			return err
		}
		left := min(time.Duration(o.GetLeftMs())*time.Millisecond, maxMemory)
		f.recorder.Record(now, key, originrecorder.Origin{Service: o.GetService(), SoftwareVersion: o.GetSoftwareVersion()}, left)
	}
	return nil
}

func decodeKey(b []byte) (originrecorder.Key, error) {
	if len(b) != originrecorder.KeySize {
		return originrecorder.Key{}, errors.Errorf("originfinder: a key of %d bytes", len(b))
	}
	return originrecorder.Key(b), nil
}

// Socket sends and receives the datagrams.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens a socket at an address.
func Listen(address string) (*Socket, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "originfinder: listen")
	}
	conn, err := net.ListenUDP("udp", resolved)
	if err != nil {
		return nil, errors.Wrap(err, "originfinder: listen")
	}
	return &Socket{conn: conn}, nil
}

// Send sends a datagram.
func (s *Socket) Send(address string, datagram []byte) error {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return errors.Wrap(err, "originfinder: send")
	}
	_, err = s.conn.WriteToUDP(datagram, to)
	return errors.Wrap(err, "originfinder: send")
}

// Run passes datagrams to a finder until ctx ends, and closes the socket.
func (s *Socket) Run(ctx context.Context, f *Finder) {
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
			<-f.Clock.After(receivePause)
			continue
		}
		if err := f.Receive(buf[:n]); err != nil {
			f.Log.Warn("a report of the origins of streams can't be read", "Error", err.Error())
		}
	}
}
