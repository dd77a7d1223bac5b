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

// appendRecord appends an encoded record to buf.
func appendRecord(buf []byte, kind recordKind, payload []byte) []byte {
	sum := crc32.Update(crc32.Checksum([]byte{byte(kind)}, castagnoli()), castagnoli(), payload)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, sum)
	buf = append(buf, byte(kind))
	return append(buf, payload...)
}

// decodeRecord decodes the record at the start of buf. It returns its size, or false when there
// is no complete record.
func decodeRecord(buf []byte) (record, int, bool) {
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

// decodeRecords decodes all records of buf and returns their total length. A tail that was torn
// by a crash is ignored; a bad record followed by a good one is damage.
func decodeRecords(buf []byte) ([]record, int, error) {
	var records []record
	offset := 0
	for offset < len(buf) {
		rec, size, ok := decodeRecord(buf[offset:])
		if !ok {
			break
		}
		records = append(records, rec)
		offset += size
	}
	for i := offset + 1; i < len(buf); i++ {
		if _, _, ok := decodeRecord(buf[i:]); ok {
			return nil, 0, damaged("Read", "bad record at byte %d followed by a good one at byte %d", offset, i)
		}
	}
	return records, offset, nil
}
