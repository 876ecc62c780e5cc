// Package deflate compresses messages in memory with DEFLATE (RFC 1951).
package deflate

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/ansel1/merry/v2"
)

// Levels of compression.
const (
	Fast = flate.BestSpeed
	Best = flate.BestCompression
)

// ErrTooLong means that the data is longer than the limit after decompression.
var ErrTooLong = merry.Sentinel("the decompressed data exceeds its limit")

// Compress returns the compressed data.
func Compress(data []byte, level int) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, level)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if _, err := writer.Write(data); err != nil {
		return nil, merry.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, merry.Wrap(err)
	}
	return compressed.Bytes(), nil
}

// Decompress returns the original data. It returns ErrTooLong if that has more than limit bytes.
func Decompress(compressed []byte, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), limit+1))
	switch {
	case err != nil:
		return nil, merry.Wrap(err)
	case int64(len(data)) > limit:
		return nil, merry.Wrap(ErrTooLong)
	}
	return data, nil
}
