package originfinder

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

const (
	// maxDatagram is the size up to which a datagram is not fragmented on common links.
	maxDatagram = 1200
	// faultLogInterval is the time between two log lines on failed reports.
	faultLogInterval = 10 * time.Second
)

// report sends origins to another gateway or a controller, in as few datagrams as they need.
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
		f.Log.Warn("the origin of a stream could not be reported", "To", address, "Error", err.Error())
	}
}
