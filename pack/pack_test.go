package pack

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Decompressed data must be equal to the original, or daemons would use wrong routes.
func TestRoundTrip(t *testing.T) {
	for name, b := range map[string][]byte{
		"empty": {}, "one byte": {7}, "text": bytes.Repeat([]byte(`{"host":"a.example","path":"/b/"}`), 10_000),
	} {
		t.Run(name, func(t *testing.T) {
			compressed, err := Compress(b)
			require.NoError(t, err)
			got, err := Decompress(compressed, len(b)+1<<20)
			require.NoError(t, err)
			require.Equal(t, len(b), len(got))
			require.True(t, bytes.Equal(b, got))
			if len(b) > MinBytes {
				require.Less(t, len(compressed), len(b)/4)
			}
		})
	}
}

// Data from another process must not exhaust this one's memory, and damaged data must
// be an error.
func TestDecompressRejects(t *testing.T) {
	compressed, err := Compress(make([]byte, 8<<20))
	require.NoError(t, err)
	_, err = Decompress(compressed, 1<<20)
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = Decompress(compressed[:len(compressed)/2], 16<<20)
	require.Error(t, err)
	_, err = Decompress([]byte("not zstd data"), 1<<20)
	require.Error(t, err)
}

func FuzzDecompress(f *testing.F) {
	compressed, _ := Compress([]byte("text"))
	f.Add(compressed)
	f.Fuzz(func(t *testing.T, b []byte) {
		out, err := Decompress(b, 1<<16)
		if err == nil {
			require.LessOrEqual(t, len(out), 1<<16)
		}
	})
}
