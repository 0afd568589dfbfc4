// Package pack compresses what is sent to many instances: commands and
// snapshots, which are mostly text and shrink to a fraction.
package pack

import (
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

const (
	// windowBytes bounds the memory of both sides. Names repeat within a few
	// items, so a larger window saves little.
	windowBytes = 256 << 10
	// MinBytes is the number of bytes from which on compressing saves more than a
	// few packets.
	MinBytes = 4 << 10
)

// ErrTooLarge says that data would expand beyond the bound.
var ErrTooLarge = errors.New("expanded data is too long")

// encoder is made with the first use and kept: making one takes longer than
// compressing a few commands.
var encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
})

// Compress returns b compressed.
func Compress(b []byte) ([]byte, error) {
	w, err := encoder()
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return w.EncodeAll(b, make([]byte, 0, len(b)/4)), nil
}

// Decompress returns what was given to Compress. It fails when that has more than
// most bytes.
func Decompress(b []byte, most int) ([]byte, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(most)))
	if err != nil {
		return nil, fmt.Errorf("expand: %w", err)
	}
	defer r.Close()
	out, err := r.DecodeAll(b, nil)
	switch {
	case errors.Is(err, zstd.ErrDecoderSizeExceeded):
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, most)
	case err != nil:
		return nil, fmt.Errorf("expand: %w", err)
	}
	return out, nil
}
