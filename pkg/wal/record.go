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

// Record types. The numbers are part of the file format.
const (
	recordSegment recordType = iota + 1
	recordHardState
	recordEntry
	recordSnapshotPosition
	recordSnapshot
	recordTypeEnd
)

const (
	// recordHeaderSize is the size of a record's header in bytes: CRC32C of the rest of the record (4), payload length
	// (4), batch number (8), type (1), flags (1), zeros (6).
	recordHeaderSize = 24
	recordAlignment  = 8
	flagLastOfBatch  = 1
	// maxPayload is the maximum size of a payload in bytes. It is above any snapshot that fits into a message of 64 MiB,
	// and far below the sizes at which offset calculations would overflow.
	maxPayload = 1 << 30
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// record is a record read by decoder. The payload is valid until the next record is read.
type record struct {
	kind    recordType
	last    bool
	batch   uint64
	payload []byte
	// end is the offset in the file after the record and its padding.
	end int64
}

// padded returns size rounded up to a multiple of recordAlignment.
func padded(size int64) int64 {
	return (size + recordAlignment - 1) / recordAlignment * recordAlignment
}

// batchBuilder encodes the records of one batch.
type batchBuilder struct {
	number      uint64
	buffer      []byte
	recordStart int        // offset of the last record in buffer
	kind        recordType // type of the last record, or 0 if its header is written
}

func newBatch(number uint64) *batchBuilder {
	return &batchBuilder{number: number}
}

// add appends a record. Its payload is what appendPayload appends to its argument. The header is written by the next add
// or finish, because the flags are not known before.
func (b *batchBuilder) add(kind recordType, appendPayload func([]byte) ([]byte, error)) error {
	b.finishRecord(0)
	start := len(b.buffer)
	buffer, err := appendPayload(append(b.buffer, make([]byte, recordHeaderSize)...))
	if err != nil {
		return wrap(&EncodeError{Cause: err})
	}
	if size := len(buffer) - start - recordHeaderSize; size > maxPayload {
		return wrap(&EncodeError{Cause: &SizeError{Size: size, Limit: maxPayload}})
	}
	b.buffer, b.recordStart, b.kind = buffer, start, kind
	return nil
}

func (b *batchBuilder) addMessage(kind recordType, message proto.Message) error {
	return b.add(kind, func(buffer []byte) ([]byte, error) {
		return proto.MarshalOptions{}.MarshalAppend(buffer, message)
	})
}

// finishRecord writes the header and the padding of the last record.
func (b *batchBuilder) finishRecord(flags byte) {
	if b.kind == 0 {
		return
	}
	header := b.buffer[b.recordStart:]
	binary.LittleEndian.PutUint32(header[4:], uint32(len(header)-recordHeaderSize))
	binary.LittleEndian.PutUint64(header[8:], b.number)
	header[16], header[17] = byte(b.kind), flags
	binary.LittleEndian.PutUint32(header, crc32.Checksum(header[4:], castagnoliTable))
	size := int64(len(header))
	b.buffer = append(b.buffer, make([]byte, padded(size)-size)...)
	b.kind = 0
}

// finish returns the encoded batch, which is empty if no record was added.
func (b *batchBuilder) finish() []byte {
	b.finishRecord(flagLastOfBatch)
	return b.buffer
}

// invalidRecordError reports bytes that are not a valid record. The caller decides whether a torn write can be the cause.
type invalidRecordError struct {
	offset int64
	reason string
}

func (e *invalidRecordError) Error() string { return e.reason }

// decoder reads the records of a file whose size is given in bytes.
type decoder struct {
	reader *bufio.Reader
	offset int64
	size   int64
	header [recordHeaderSize]byte
	buffer []byte
}

const readBufferSize = 64 << 10 // bytes

func newDecoder(source io.Reader, size int64) *decoder {
	return &decoder{reader: bufio.NewReaderSize(source, int(min(size, readBufferSize))), size: size}
}

// next returns the next record. Errors: io.EOF at the end of the file, *invalidRecordError, and errors of the underlying
// reader.
func (d *decoder) next() (record, error) {
	rest := d.size - d.offset
	if rest == 0 {
		return record{}, io.EOF
	}
	if rest < recordHeaderSize {
		return record{}, d.invalidRecord("incomplete record header")
	}
	if _, err := io.ReadFull(d.reader, d.header[:]); err != nil {
		return record{}, err
	}
	length := int64(binary.LittleEndian.Uint32(d.header[4:]))
	total := padded(recordHeaderSize + length)
	if length > maxPayload || total > rest {
		return record{}, d.invalidRecord("record length exceeds the rest of the file")
	}
	if need := int(total - recordHeaderSize); cap(d.buffer) < need {
		d.buffer = make([]byte, need)
	}
	payload := d.buffer[:total-recordHeaderSize]
	if _, err := io.ReadFull(d.reader, payload); err != nil {
		return record{}, err
	}
	if reason := checkRecord(d.header[:], payload, length); reason != "" {
		return record{}, d.invalidRecord(reason)
	}
	d.offset += total
	return record{
		kind:    recordType(d.header[16]),
		last:    d.header[17]&flagLastOfBatch != 0,
		batch:   binary.LittleEndian.Uint64(d.header[8:]),
		payload: payload[:length],
		end:     d.offset,
	}, nil
}

func (d *decoder) invalidRecord(reason string) error {
	return &invalidRecordError{offset: d.offset, reason: reason}
}

// checkRecord returns why a record is invalid, or "" if it is valid. The payload includes the padding; length is its
// length without the padding.
func checkRecord(header, payload []byte, length int64) string {
	sum := crc32.Update(crc32.Checksum(header[4:], castagnoliTable), castagnoliTable, payload[:length])
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

// findLaterBatch searches data for a valid record of a batch after the given one. It checks every aligned offset, because
// the length in a corrupt record can't be relied on.
func findLaterBatch(data []byte, after uint64) (offset int64, found bool) {
	for at := 0; at+recordHeaderSize <= len(data); at += recordAlignment {
		header := data[at : at+recordHeaderSize]
		batch := binary.LittleEndian.Uint64(header[8:])
		length := int64(binary.LittleEndian.Uint32(header[4:]))
		kind := recordType(header[16])
		// These cheap checks avoid computing a checksum at nearly all offsets.
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
