package pack

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// A state that is not the same on both sides serves from wrong routes.
func TestRoundTrip(t *testing.T) {
	for name, b := range map[string][]byte{
		"empty": {}, "one byte": {7}, "text": bytes.Repeat([]byte(`{"host":"a.example","path":"/b/"}`), 10_000),
	} {
		t.Run(name, func(t *testing.T) {
			s, err := Compress(b)
			require.NoError(t, err)
			got, err := Decompress(s, len(b)+1<<20)
			require.NoError(t, err)
			require.Equal(t, len(b), len(got))
			require.True(t, bytes.Equal(b, got))
			if len(b) > MinBytes {
				require.Less(t, len(s), len(b)/4)
			}
		})
	}
}

// Data from another process must not exhaust the memory of this one.
func TestDecompressRefuses(t *testing.T) {
	s, err := Compress(make([]byte, 8<<20))
	require.NoError(t, err)
	_, err = Decompress(s, 1<<20)
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = Decompress(s[:len(s)/2], 16<<20)
	require.Error(t, err)
	_, err = Decompress([]byte("no such format"), 1<<20)
	require.Error(t, err)
}

func FuzzDecompress(f *testing.F) {
	s, _ := Compress([]byte("text"))
	f.Add(s)
	f.Fuzz(func(t *testing.T, b []byte) {
		out, err := Decompress(b, 1<<16)
		if err == nil {
			require.LessOrEqual(t, len(out), 1<<16)
		}
	})
}
