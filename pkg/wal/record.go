package wal

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"math"

	"google.golang.org/protobuf/proto"
)

type recordType uint8

// Types of records. The numbers are part of the format.
const (
	recordSegment recordType = iota + 1
	recordHardState
	recordEntry
	recordSnapshotMark
	recordSnapshot
	recordTypeEnd
)

const (
	// recordHeaderSize is the size of a record's header in bytes: CRC32C of the rest of the record (4), payload length
	// (4), batch number (8), type (1), flags (1), zeros (6).
	recordHeaderSize = 24
	recordAlignment  = 8
	flagLast         = 1
	// maxPayload bounds a payload in bytes. It is above any snapshot that fits a 64 MiB message and keeps lengths far
	// from overflow.
	maxPayload = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is a decoded record. The payload is valid until the next one is read.
type record struct {
	kind    recordType
	last    bool
	batch   uint64
	payload []byte
	// end is the offset after the record and its padding.
	end int64
}

func padded(size int64) int64 {
	return (size + recordAlignment - 1) / recordAlignment * recordAlignment
}

// batchBuilder encodes the records of one batch.
type batchBuilder struct {
	number uint64
	buffer []byte
	open   int // offset of the last record, whose header is not yet written
	kind   recordType
}

func newBatch(number uint64) *batchBuilder {
	return &batchBuilder{number: number}
}

// add appends a record whose payload is what appendPayload appends to its argument.
func (b *batchBuilder) add(kind recordType, appendPayload func([]byte) ([]byte, error)) error {
	b.seal(0)
	start := len(b.buffer)
	buffer, err := appendPayload(append(b.buffer, make([]byte, recordHeaderSize)...))
	if err != nil {
		return wrap(&EncodeError{Cause: err})
	}
	if size := len(buffer) - start - recordHeaderSize; size > maxPayload {
		return wrap(&EncodeError{Cause: &SizeError{Size: size, Limit: maxPayload}})
	}
	b.buffer, b.open, b.kind = buffer, start, kind
	return nil
}

func (b *batchBuilder) addMessage(kind recordType, message proto.Message) error {
	return b.add(kind, func(buffer []byte) ([]byte, error) {
		return proto.MarshalOptions{}.MarshalAppend(buffer, message)
	})
}

// seal writes the header of the last record and pads it.
func (b *batchBuilder) seal(flags byte) {
	if b.kind == 0 {
		return
	}
	header := b.buffer[b.open:]
	binary.LittleEndian.PutUint32(header[4:], uint32(len(header)-recordHeaderSize))
	binary.LittleEndian.PutUint64(header[8:], b.number)
	header[16], header[17] = byte(b.kind), flags
	binary.LittleEndian.PutUint32(header, crc32.Checksum(header[4:], castagnoli))
	size := int64(len(header))
	b.buffer = append(b.buffer, make([]byte, padded(size)-size)...)
	b.kind = 0
}

// finish returns the encoded batch.
func (b *batchBuilder) finish() []byte {
	b.seal(flagLast)
	return b.buffer
}

// damageError reports bytes that are no valid record. The caller decides whether a torn write explains them.
type damageError struct {
	offset int64
	reason string
}

func (e *damageError) Error() string { return e.reason }

// decoder reads the records of a file of size bytes.
type decoder struct {
	reader *bufio.Reader
	offset int64
	size   int64
	header [recordHeaderSize]byte
	buffer []byte
}

// readBufferSize is in bytes.
const readBufferSize = 64 << 10

func newDecoder(source io.Reader, size int64) *decoder {
	return &decoder{reader: bufio.NewReaderSize(source, int(min(size, readBufferSize))), size: size}
}

// next returns io.EOF at the end of the file, *damageError for an invalid record, and any other error of the source.
func (d *decoder) next() (record, error) {
	rest := d.size - d.offset
	if rest == 0 {
		return record{}, io.EOF
	}
	if rest < recordHeaderSize {
		return record{}, d.damage("incomplete record header")
	}
	if _, err := io.ReadFull(d.reader, d.header[:]); err != nil {
		return record{}, err
	}
	length := int64(binary.LittleEndian.Uint32(d.header[4:]))
	total := padded(recordHeaderSize + length)
	if length > maxPayload || total > rest {
		return record{}, d.damage("record reaches beyond the end of the file")
	}
	if need := int(total - recordHeaderSize); cap(d.buffer) < need {
		d.buffer = make([]byte, need)
	}
	payload := d.buffer[:total-recordHeaderSize]
	if _, err := io.ReadFull(d.reader, payload); err != nil {
		return record{}, err
	}
	if reason := checkRecord(d.header[:], payload, length); reason != "" {
		return record{}, d.damage(reason)
	}
	d.offset += total
	return record{
		kind:    recordType(d.header[16]),
		last:    d.header[17]&flagLast != 0,
		batch:   binary.LittleEndian.Uint64(d.header[8:]),
		payload: payload[:length],
		end:     d.offset,
	}, nil
}

func (d *decoder) damage(reason string) error {
	return &damageError{offset: d.offset, reason: reason}
}

// checkRecord returns why a record is invalid, or "". The payload includes the padding.
func checkRecord(header, payload []byte, length int64) string {
	sum := crc32.Update(crc32.Checksum(header[4:], castagnoli), castagnoli, payload[:length])
	if sum != binary.LittleEndian.Uint32(header) {
		return "checksum mismatch"
	}
	for _, b := range payload[length:] {
		if b != 0 {
			return "padding is not zero"
		}
	}
	return ""
}

// findLater reports whether data holds a valid record of a batch after the given one. It looks at every aligned
// position, because the length of a damaged record can't be trusted.
func findLater(data []byte, after uint64) (offset int64, found bool) {
	for at := 0; at+recordHeaderSize <= len(data); at += recordAlignment {
		header := data[at : at+recordHeaderSize]
		batch := binary.LittleEndian.Uint64(header[8:])
		length := int64(binary.LittleEndian.Uint32(header[4:]))
		kind := recordType(header[16])
		// The cheap checks avoid a checksum at nearly all positions.
		if kind == 0 || kind >= recordTypeEnd || batch <= after || batch-after > math.MaxUint32 {
			continue
		}
		if length > maxPayload || padded(recordHeaderSize+length) > int64(len(data)-at) {
			continue
		}
		rest := data[at+recordHeaderSize : at+int(padded(recordHeaderSize+length))]
		if checkRecord(header, rest, length) == "" {
			return int64(at), true
		}
	}
	return 0, false
}
