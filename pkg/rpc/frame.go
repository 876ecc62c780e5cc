package rpc

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// maxHeaderSize is the maximum size of a header frame in bytes.
	maxHeaderSize = 16 << 10
	// chunkSize is how many bytes are read or written before the deadline is extended. Chunks limit how much memory a
	// wrong length makes the reader allocate, and allow a large message to take longer than the timeout as long as it
	// makes progress.
	chunkSize = 256 << 10
)

// frameReader reads frames. It calls extendDeadline before each chunk, so that a read fails if the peer makes no progress.
type frameReader struct {
	*bufio.Reader
	extendDeadline func() error
	// acquire, if set, is asked for the memory of each part of a frame above maxUncounted, and may refuse it.
	acquire func(bytes int64) bool
}

// maxUncounted is the size in bytes up to which a frame is read without being counted. Most messages are smaller.
const maxUncounted = 4 << 10

func newFrameReader(source io.Reader, extendDeadline func() error) *frameReader {
	return &frameReader{Reader: bufio.NewReader(source), extendDeadline: extendDeadline}
}

// frame reads one frame of at most limit bytes. It returns io.EOF only if the stream ends before the first byte.
func (r *frameReader) frame(limit uint64) ([]byte, error) {
	size, err := readLength(r.Reader)
	if err != nil {
		return nil, err
	}
	if size > limit {
		return nil, &SizeError{Size: size, Limit: limit}
	}
	frame := make([]byte, 0, min(size, chunkSize))
	for uint64(len(frame)) < size {
		if err := r.extendDeadline(); err != nil {
			return nil, err
		}
		start := len(frame)
		if r.acquire != nil && size > maxUncounted && !r.acquire(int64(min(size-uint64(start), chunkSize))) {
			return nil, &FrameError{Reason: "no memory for a frame", Cause: ErrNoMemory}
		}
		frame = append(frame, make([]byte, min(size-uint64(start), chunkSize))...)
		if _, err := io.ReadFull(r.Reader, frame[start:]); err != nil {
			return nil, &FrameError{Reason: "stream ends inside a frame", Cause: err}
		}
	}
	return frame, nil
}

// header reads the first frame of a message.
func (r *frameReader) header() (*schemav1.RpcHeader, error) {
	frame, err := r.frame(maxHeaderSize)
	if err != nil {
		return nil, err
	}
	header := &schemav1.RpcHeader{}
	if err := proto.Unmarshal(frame, header); err != nil {
		return nil, &FrameError{Reason: "header is not a valid message", Cause: err}
	}
	return header, nil
}

// body reads the second frame of a message. If the stream ends before that frame, it returns *FrameError instead of io.EOF,
// because the message is incomplete.
func (r *frameReader) body(limit uint64) ([]byte, error) {
	if err := r.extendDeadline(); err != nil {
		return nil, err
	}
	body, err := r.frame(limit)
	if errors.Is(err, io.EOF) {
		return nil, &FrameError{Reason: "stream ends before the body", Cause: io.ErrUnexpectedEOF}
	}
	return body, err
}

// readLength reads a varint. It accepts only the shortest form, so that each frame has exactly one encoding.
func readLength(reader *bufio.Reader) (uint64, error) {
	var value uint64
	for i := 0; i < binary.MaxVarintLen64; i++ {
		b, err := reader.ReadByte()
		switch {
		case err != nil && i == 0:
			return 0, err
		case err != nil:
			return 0, &FrameError{Reason: "stream ends inside a length", Cause: err}
		case i == binary.MaxVarintLen64-1 && b > 1:
			return 0, &FrameError{Reason: "length overflows 64 bits"}
		}
		value |= uint64(b&0x7f) << (7 * i)
		if b < 0x80 {
			if b == 0 && i > 0 {
				return 0, &FrameError{Reason: "length is not in its shortest form"}
			}
			return value, nil
		}
	}
	return 0, &FrameError{Reason: "length overflows 64 bits"}
}

// appendMessage appends the header and body frames of one message.
func appendMessage(buffer []byte, header *schemav1.RpcHeader, body []byte) ([]byte, error) {
	encoded, err := proto.Marshal(header)
	if err != nil {
		return nil, &EncodingError{Method: header.ServiceMethod, Cause: err}
	}
	if len(encoded) > maxHeaderSize {
		return nil, &SizeError{Size: uint64(len(encoded)), Limit: maxHeaderSize}
	}
	buffer = binary.AppendUvarint(buffer, uint64(len(encoded)))
	buffer = append(buffer, encoded...)
	buffer = binary.AppendUvarint(buffer, uint64(len(body)))
	return append(buffer, body...), nil
}

// timeoutConn sets a new write deadline for each chunk, so that a write fails if the peer makes no progress.
type timeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Write writes data in chunks. If it returns an error, the peer has not received the last byte.
func (c *timeoutConn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(data[written:min(len(data), written+chunkSize)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
