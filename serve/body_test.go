package serve

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// trackedReader is a body that counts the calls of Close.
type trackedReader struct {
	io.Reader
	closes int
}

func (r *trackedReader) Close() error { r.closes++; return nil }

func responseOf(length int64, r io.Reader) (*pollenlatch.Response, *trackedReader) {
	body := &trackedReader{Reader: r}
	return &pollenlatch.Response{ResponseHead: pollenlatch.ResponseHead{Status: 200, Length: length}, Body: body}, body
}

// A truncated response must not reach the caller in part while it can still be
// replaced, and a slow caller must not keep a slot of the server.
func TestReadAhead(t *testing.T) {
	const maxBytes = 10
	broken := errors.New("connection reset")
	for _, tt := range []struct {
		name, text string
		length     int64
		readErr    error // after the text; nil is io.EOF
		wantErr    error
		closes     int // calls of Close during readAhead
	}{
		{"empty", "", 0, nil, nil, 1},
		{"short", "hello", 5, nil, nil, 1},
		{"unknown length", "hello", -1, nil, nil, 1},
		{"exactly maxBytes", "helloworld", 10, nil, nil, 0},
		{"more than maxBytes", "hello, world", 12, nil, nil, 0},
		{"more than maxBytes, unknown length", "hello, world", -1, nil, nil, 0},
		{"shorter than stated", "hell", 5, nil, io.ErrUnexpectedEOF, 1},
		{"longer than stated", "hello!", 5, nil, errBodyTooLong, 1},
		{"truncated", "hel", 5, broken, broken, 1},
		{"unknown length, truncated", "hel", -1, broken, broken, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var r io.Reader = strings.NewReader(tt.text)
			if tt.readErr != nil {
				r = io.MultiReader(r, errReader{tt.readErr})
			}
			resp, body := responseOf(tt.length, r)
			out, err := readAhead(resp, maxBytes)
			require.Equal(t, tt.closes, body.closes)
			if tt.wantErr != nil {
				require.ErrorIs(t, err, tt.wantErr)
				return
			}
			require.NoError(t, err)
			got, err := io.ReadAll(out.Body)
			require.NoError(t, err)
			require.Equal(t, tt.text, string(got))
			if tt.closes > 0 {
				require.EqualValues(t, len(tt.text), out.Length)
			}
			require.NoError(t, out.Body.Close())
			require.Equal(t, 1, body.closes)
		})
	}
	t.Run("truncated after maxBytes", func(t *testing.T) {
		resp, _ := responseOf(20, io.MultiReader(strings.NewReader("hello, world"), errReader{broken}))
		out, err := readAhead(resp, maxBytes)
		require.NoError(t, err)
		_, err = io.ReadAll(out.Body)
		require.ErrorIs(t, err, broken)
	})
}

// Guards against callers that read slowly and together hold more of the server's
// responses than the process has memory for.
func TestReadAheadBudget(t *testing.T) {
	const size = 100 << 10
	budget := readAheadBudget{limit: 5 * size}
	var open []*pollenlatch.Response
	closed := 0 // bodies that the server has sent completely, so that it has a free slot
	for range 20 {
		resp, body := responseOf(size, strings.NewReader(strings.Repeat("x", size)))
		out, err := budget.readAhead(resp, 1<<20)
		require.NoError(t, err)
		open = append(open, out)
		closed += body.closes
		require.LessOrEqual(t, budget.used.Load(), budget.limit)
	}
	require.Equal(t, 5, closed)
	for n, out := range open {
		if n%2 == 0 {
			require.NoError(t, out.Body.Close()) // the caller has left
			continue
		}
		b, err := io.ReadAll(out.Body)
		require.NoError(t, err)
		require.Len(t, b, size)
	}
	require.Zero(t, budget.used.Load())

	small, _ := responseOf(300, strings.NewReader(strings.Repeat("x", 300)))
	budget.used.Store(budget.limit)
	_, err := budget.readAhead(small, 1<<20)
	require.NoError(t, err)
	broken, _ := responseOf(size, strings.NewReader("x"))
	budget.used.Store(0)
	_, err = budget.readAhead(broken, 1<<20)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Zero(t, budget.used.Load())
}
