package rpc

import (
	"bytes"
	"errors"
	"testing"
)

// FuzzFrame guards against panics, bodies above the limit and untyped errors. It checks that an accepted message is the same
// after it is encoded and decoded again.
func FuzzFrame(f *testing.F) {
	const limit = 1 << 10
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := newFrameReader(bytes.NewReader(data), func() error { return nil })
		for {
			header, err := reader.header()
			if err != nil {
				return
			}
			body, err := reader.body(limit)
			if err != nil {
				var size *SizeError
				var frame *FrameError
				if !errors.As(err, &size) && !errors.As(err, &frame) {
					t.Fatalf("untyped error %v", err)
				}
				return
			}
			if len(body) > limit {
				t.Fatalf("body of %d bytes exceeds the limit", len(body))
			}
			again, err := appendMessage(nil, header, body)
			if err != nil {
				t.Fatal(err)
			}
			second := newFrameReader(bytes.NewReader(again), func() error { return nil })
			if _, err := second.header(); err != nil {
				t.Fatal(err)
			}
			if same, err := second.body(limit); err != nil || !bytes.Equal(same, body) {
				t.Fatalf("body changed: %v", err)
			}
		}
	})
}
