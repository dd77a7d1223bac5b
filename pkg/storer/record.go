package storer

import (
	"encoding/binary"
	"hash/crc32"
)

// A record is a length, a CRC-32C of kind and payload, a kind and the payload.
const (
	headerSize = 9
	// A snapshot of a million claims takes about 600 MB.
	maxPayloadSize = 1 << 30
)

type recordKind byte

const (
	recordEntry recordKind = iota + 1
	recordHardState
	recordSnapshot
	recordIdentity
)

type record struct {
	kind    recordKind
	payload []byte
}

func castagnoli() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) }

// appendRecord encodes a record behind buf.
func appendRecord(buf []byte, kind recordKind, payload []byte) []byte {
	sum := crc32.Update(crc32.Checksum([]byte{byte(kind)}, castagnoli()), castagnoli(), payload)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, sum)
	buf = append(buf, byte(kind))
	return append(buf, payload...)
}

// nextRecord decodes the record at the start of buf. It returns its size, or
// false when there is no whole record.
func nextRecord(buf []byte) (record, int, bool) {
	if len(buf) < headerSize {
		return record{}, 0, false
	}
	length := binary.LittleEndian.Uint32(buf)
	if length > maxPayloadSize || int(length) > len(buf)-headerSize {
		return record{}, 0, false
	}
	kind := recordKind(buf[8])
	if kind < recordEntry || kind > recordIdentity {
		return record{}, 0, false
	}
	end := headerSize + int(length)
	if crc32.Checksum(buf[8:end], castagnoli()) != binary.LittleEndian.Uint32(buf[4:]) {
		return record{}, 0, false
	}
	return record{kind: kind, payload: buf[headerSize:end]}, end, true
}

// splitRecords decodes all records of buf and returns the length of the part that
// they take. A tail that was torn by a crash is left out; a bad record with a good
// one behind it is damage.
func splitRecords(buf []byte) ([]record, int, error) {
	var records []record
	at := 0
	for at < len(buf) {
		rec, size, ok := nextRecord(buf[at:])
		if !ok {
			break
		}
		records = append(records, rec)
		at += size
	}
	for i := at + 1; i < len(buf); i++ {
		if _, _, ok := nextRecord(buf[i:]); ok {
			return nil, 0, damaged("Read", "bad record at byte %d with a good one at byte %d", at, i)
		}
	}
	return records, at, nil
}
