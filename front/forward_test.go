package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// Guards against truncated bodies that look complete: a caller, two daemons and
// the handler at the owner must agree on where a body ends. An error at one hop
// could become a regular end at the next.
func TestForwardedBodies(t *testing.T) {
	started, ended := make(chan struct{}), make(chan error, 1)
	addr := startDaemonPair(t, 2, func(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		switch r.Kind {
		case "echo":
			return &pollenlatch.Response{ResponseHead: pollenlatch.ResponseHead{Status: 200, Length: -1}, Body: io.NopCloser(r.Body)}, nil
		case "short":
			w := okResponse("")
			w.Length = 1 << 20
			w.Body = io.NopCloser(bytes.NewReader(make([]byte, 1<<19)))
			return w, nil
		case "broken":
			w := okResponse("")
			w.Length = -1
			w.Body = io.NopCloser(io.MultiReader(bytes.NewReader(make([]byte, 1<<19)), truncatedBody{strings.NewReader("")}))
			return w, nil
		case "head":
			w := okResponse("")
			w.Length = 1 << 20 // length of the body of a GET
			return w, nil
		case "upload":
			_, err := io.Copy(io.Discard, r.Body)
			ended <- err
			return nil, errors.New("x")
		default:
			close(started)
			<-ctx.Done()
			ended <- ctx.Err()
			return nil, ctx.Err()
		}
	})
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	method := http.MethodPost
	send := func(ctx context.Context, kind string, body io.Reader) callerResponse {
		r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/s/claims/k", body)
		require.NoError(t, err)
		r.Header.Set(headerKind, kind)
		w, err := client.Do(r)
		if err != nil {
			return callerResponse{err: err}
		}
		defer func() { _ = w.Body.Close() }()
		b, err := io.ReadAll(w.Body)
		return callerResponse{w, string(b), err}
	}
	t.Run("complete", func(t *testing.T) {
		for _, size := range []int{1, maxBufferedBodyBytes, maxBufferedBodyBytes + 1, 1 << 20} {
			want := strings.Repeat("x", size)
			w := send(t.Context(), "echo", strings.NewReader(want))
			require.NoError(t, w.err)
			require.Equal(t, "front-c", w.Header.Get(headerOwner))
			require.True(t, want == w.body)
		}
	})
	for _, kind := range []string{"short", "broken"} {
		t.Run("response "+kind, func(t *testing.T) {
			require.ErrorIs(t, send(t.Context(), kind, nil).err, io.ErrUnexpectedEOF)
		})
	}
	t.Run("upload truncated", func(t *testing.T) {
		body := io.MultiReader(bytes.NewReader(make([]byte, 1<<19)), truncatedBody{strings.NewReader("")})
		require.Error(t, send(t.Context(), "upload", body).err)
		require.Error(t, <-ended)
	})
	t.Run("no body for HEAD", func(t *testing.T) {
		method = http.MethodHead
		defer func() { method = http.MethodPost }()
		for range 2 {
			w := send(t.Context(), "head", nil)
			require.NoError(t, w.err)
			require.Equal(t, int64(1<<20), w.ContentLength)
		}
	})
	t.Run("caller disconnects", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		go func() { <-started; cancel() }()
		require.ErrorIs(t, send(ctx, "wait", nil).err, context.Canceled)
		require.ErrorIs(t, <-ended, context.Canceled)
	})
}
