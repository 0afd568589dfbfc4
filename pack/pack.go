// Package pack compresses commands and snapshots that are sent to many instances.
// They are mostly text, which compresses well.
package pack

import (
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

const (
	// windowBytes limits the memory of the encoder and the decoder. Names repeat
	// within a few items, so a larger window improves compression only slightly.
	windowBytes = 256 << 10
	// MinBytes is the size from which compression is worthwhile. Below it, it saves
	// only a few packets.
	MinBytes = 4 << 10
)

// ErrTooLarge is the error of data whose decompressed size exceeds the maximum.
var ErrTooLarge = errors.New("decompressed data is too large")

// encoder is created at the first use and reused, because creating one takes longer
// than compressing a few commands.
var encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
})

// Compress compresses b with zstd.
func Compress(b []byte) ([]byte, error) {
	w, err := encoder()
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return w.EncodeAll(b, make([]byte, 0, len(b)/4)), nil
}

// Decompress reverses Compress. It returns ErrTooLarge when the decompressed data
// has more than maxBytes.
func Decompress(b []byte, maxBytes int) ([]byte, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(maxBytes)))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	defer r.Close()
	out, err := r.DecodeAll(b, nil)
	switch {
	case errors.Is(err, zstd.ErrDecoderSizeExceeded):
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, maxBytes)
	case err != nil:
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return out, nil
}
