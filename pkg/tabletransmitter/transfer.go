package tabletransmitter

import (
	"bytes"

	"bronzelead.example/pkg/wire"
)

// Transfer receives one package, possibly from several sources. The zero value has received nothing.
type Transfer struct {
	// Complete requests the complete table, as a difference could not be used.
	Complete bool

	received Package
	size     int
}

// Request returns the next request of a process that has a table of a version.
func (t *Transfer) Request(version uint64) *wire.FetchTableRequest {
	if t.Complete {
		version = 0
	}
	return &wire.FetchTableRequest{BaseVersion: version, Checksum: t.received.Checksum, Offset: uint32(len(t.received.Data))}
}

// Receive takes a response, and reports whether the package is complete. What has arrived of another package is dropped.
func (t *Transfer) Receive(res *wire.FetchTableResponse) (complete bool, err error) {
	size, part := int(res.GetSize()), res.GetPart()
	switch {
	case res.GetVersion() == 0:
		t.reset()
		return false, nil
	case size > maxPackageBytes || int(res.GetOffset())+len(part) > size || len(part) == 0:
		t.reset()
		return false, fail("receive", KindCorrupt, "%d bytes at %d of %d", len(part), res.GetOffset(), size)
	case res.GetOffset() == 0 && !bytes.Equal(res.GetChecksum(), t.received.Checksum):
		t.received = Package{Version: res.GetVersion(), Base: res.GetBaseVersion(), Checksum: res.GetChecksum()}
		t.size = size
	case int(res.GetOffset()) != len(t.received.Data) || size != t.size || !bytes.Equal(res.GetChecksum(), t.received.Checksum):
		t.reset()
		return false, fail("receive", KindCorrupt, "the part at %d does not follow", res.GetOffset())
	}
	t.received.Data = append(t.received.Data, part...)
	return len(t.received.Data) == t.size, nil
}

// Received returns the size of what has arrived, and of the package.
func (t *Transfer) Received() (received, size int) { return len(t.received.Data), t.size }

// Package returns the package once it is complete, and begins another one.
func (t *Transfer) Package() *Package {
	p := t.received
	t.reset()
	return &p
}

func (t *Transfer) reset() { t.received, t.size = Package{}, 0 }
