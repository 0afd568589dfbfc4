package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// onlyReader hides Len, so that a body is not taken for one in memory.
type onlyReader struct{ io.Reader }

func request(body io.Reader, length int64) *pollenlatch.Request {
	return &pollenlatch.Request{
		RequestHead: pollenlatch.RequestHead{Service: "claims", Key: "k", Method: http.MethodPost, URI: "/", Length: length},
		Deadline:    time.Now().Add(time.Hour),
		Body:        body,
	}
}

func response(body io.Reader, length int64) *pollenlatch.Response {
	return &pollenlatch.Response{
		ResponseHead: pollenlatch.ResponseHead{Status: http.StatusOK, Length: length},
		Body:         io.NopCloser(body),
	}
}

// pair returns two nodes, client and owner. The owner handles requests with h at
// addr.
func pair(tb testing.TB, h pollenlatch.HandlerFunc) (client, owner *Node, addr string) {
	tb.Helper()
	owner, addr = testNode(tb, "b", func(c *Config) { c.RequestHandler = h })
	client, _ = testNode(tb, "a", nil)
	return client, owner, addr
}

func echo(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	if r.Body == nil {
		return response(strings.NewReader(""), 0), nil
	}
	return response(r.Body, r.Length), nil
}

func requireFailure(t *testing.T, err error, o pollenlatch.Outcome, reason pollenlatch.Reason) {
	t.Helper()
	var f *pollenlatch.Failure
	require.ErrorAs(t, err, &f)
	require.Equal(t, o, f.Outcome, f.Error())
	require.Equal(t, reason, f.Reason, f.Error())
	if o == pollenlatch.OutcomeUnknown {
		require.True(t, f.Sent, "a request that may have run must count as sent")
	}
}

// An unexpected error in one forwarded request must not end the process of the owner,
// and with it all other requests.
func TestPanicInOneRequest(t *testing.T) {
	client, _, addr := pair(t, func(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		if r.Key == "k" {
			panic("unexpected")
		}
		return echo(ctx, r)
	})
	for range 2 {
		_, err := client.Forward(t.Context(), addr, request(nil, 0))
		requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
		other := request(strings.NewReader("x"), 1)
		other.Key = "other"
		resp, err := client.Forward(t.Context(), addr, other)
		require.NoError(t, err)
		b, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "x", string(b))
	}
}

// Guards against bodies in which a chunk is lost, duplicated or reordered.
func TestForwardBodies(t *testing.T) {
	client, _, addr := pair(t, echo)
	for _, size := range []int{0, 1, maxInlineBody, maxInlineBody + 1, maxChunkBytes, 1 << 20} {
		data := make([]byte, size)
		for i := range data {
			data[i] = byte(i * 7 >> 3)
		}
		for name, body := range map[string]io.Reader{
			"in memory": bytes.NewReader(data),
			"streamed":  onlyReader{bytes.NewReader(data)},
		} {
			for _, length := range []int64{int64(size), -1} {
				t.Run(fmt.Sprintf("%d bytes %s, stated %d", size, name, length), func(t *testing.T) {
					if s, ok := body.(io.Seeker); ok {
						_, _ = s.Seek(0, io.SeekStart)
					} else {
						body = onlyReader{bytes.NewReader(data)}
					}
					resp, err := client.Forward(t.Context(), addr, request(body, length))
					require.NoError(t, err)
					got, err := io.ReadAll(resp.Body)
					require.NoError(t, err)
					require.True(t, bytes.Equal(data, got))
					require.NoError(t, resp.Body.Close())
				})
			}
		}
	}
}

// Guards against responses that are mixed up between concurrent exchanges of a
// session, and so reach the wrong caller.
func TestForwardInterleaved(t *testing.T) {
	client, _, addr := pair(t, echo)
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Go(func() {
			for j := range 20 {
				want := strings.Repeat(strconv.Itoa(i*1000+j)+" ", 1+j*400)
				resp, err := client.Forward(t.Context(), addr, request(strings.NewReader(want), int64(len(want))))
				if err != nil {
					t.Error(err)
					return
				}
				got, err := io.ReadAll(resp.Body)
				if err != nil || string(got) != want {
					t.Errorf("exchange %d.%d: %v", i, j, err)
				}
			}
		})
	}
	wg.Wait()
}

// If the outcome of a failure changed on the link, the router would retry a request
// that has run.
func TestForwardFailures(t *testing.T) {
	want := &pollenlatch.Failure{Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonWrongOwner, Detail: "d", Status: 503, RetryAfter: 1}
	client, _, addr := pair(t, func(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		if r.Key == "other" {
			return nil, errors.New("x")
		}
		return nil, want
	})
	for range 3 { // the stream is reused after a failure
		_, err := client.Forward(t.Context(), addr, request(nil, 0))
		require.Equal(t, want, err)
	}
	t.Run("body not read", func(t *testing.T) {
		_, err := client.Forward(t.Context(), addr, request(onlyReader{bytes.NewReader(make([]byte, 1<<20))}, 1<<20))
		require.Equal(t, want, err)
	})
	t.Run("body sent and not read", func(t *testing.T) {
		for range 20 { // a stream that is reused too early loses the next head
			_, err := client.Forward(t.Context(), addr, request(onlyReader{bytes.NewReader(make([]byte, 100<<10))}, 100<<10))
			require.Equal(t, want, err)
		}
	})
	t.Run("error without outcome", func(t *testing.T) {
		r := request(nil, 0)
		r.Key = "other"
		_, err := client.Forward(t.Context(), addr, r)
		requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
	})
}

// A request that failed before its head was sent may be retried, so the outcome must
// be "not run".
func TestForwardNotRun(t *testing.T) {
	t.Run("no listener", func(t *testing.T) {
		client, owner, addr := pair(t, echo)
		require.NoError(t, owner.Close())
		_, err := client.Forward(t.Context(), addr, request(nil, 0))
		requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable)
	})
	t.Run("session refused", func(t *testing.T) {
		client, _ := testNode(t, "a", nil)
		_, addr := testNode(t, "b", nil)
		_, err := client.Forward(t.Context(), addr, request(nil, 0))
		requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable)
	})
	t.Run("deadline passed", func(t *testing.T) {
		client, _, addr := pair(t, echo)
		r := request(nil, 0)
		r.Deadline = time.Now().Add(-time.Second)
		_, err := client.Forward(t.Context(), addr, r)
		requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonDeadlineExceeded)
	})
	t.Run("sender closed", func(t *testing.T) {
		client, _, addr := pair(t, echo)
		require.NoError(t, client.Close())
		_, err := client.Forward(t.Context(), addr, request(nil, 0))
		requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable)
	})
}

// The handler of a cancelled request must be cancelled, because it occupies a slot
// of the server. Its late response must not reach the next exchange of the stream.
func TestForwardCancel(t *testing.T) {
	big := make([]byte, 1<<20) // more than a stream's window
	for name, body := range map[string]io.Reader{"no body": nil, "body not read": onlyReader{bytes.NewReader(big)}} {
		t.Run(name, func(t *testing.T) {
			started := make(chan struct{})
			ended := make(chan struct{})
			client, _, addr := pair(t, func(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
				if r.Key == "next" {
					return response(strings.NewReader("next"), 4), nil
				}
				close(started)
				<-ctx.Done()
				close(ended)
				return response(strings.NewReader("late"), 4), nil
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() { <-started; cancel() }()
			_, err := client.Forward(ctx, addr, request(body, -1))
			requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonCancelled)
			<-ended
			for range 50 {
				r := request(nil, 0)
				r.Key = "next"
				resp, err := client.Forward(t.Context(), addr, r)
				require.NoError(t, err)
				got, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, "next", string(got))
			}
		})
	}
}

// A body that nobody reads must block its sender, and not be buffered without a
// limit by the receiver.
func TestForwardBoundedMemory(t *testing.T) {
	const maxBytes = 256<<10 + 4*maxChunkBytes // the window of a stream, and the buffers of both ends
	var up, down countingReader
	read, release, closed := make(chan struct{}), make(chan struct{}), make(chan struct{})
	client, _, addr := pair(t, func(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		switch r.Key {
		case "up":
			close(read)
			<-release
			return response(strings.NewReader(""), 0), nil
		case "down":
			resp := response(&down, -1)
			resp.Body = notifyingBody{&down, closed}
			return resp, nil
		default:
			return echo(t.Context(), r)
		}
	})
	r := request(&up, -1)
	r.Key = "up"
	done := make(chan error, 1)
	go func() {
		_, err := client.Forward(t.Context(), addr, r)
		done <- err
	}()
	<-read
	r = request(new(countingReader), -1) // the handler does not read this body either
	r.Key = "down"
	resp, err := client.Forward(t.Context(), addr, r)
	require.NoError(t, err)
	for range 2000 { // other exchanges continue, and the two bodies have time to arrive
		exchangeOnce(t, client, addr)
	}
	require.Positive(t, up.Load())
	require.Positive(t, down.Load())
	require.LessOrEqual(t, up.Load(), int64(maxBytes))
	require.LessOrEqual(t, down.Load(), int64(maxBytes))
	require.NoError(t, resp.Body.Close())
	<-closed // by the owner, although its write was blocked
	close(release)
	require.NoError(t, <-done)
}

// notifyingBody is a body that closes a channel when it is closed.
type notifyingBody struct {
	io.Reader
	closed chan struct{}
}

func (c notifyingBody) Close() error {
	close(c.closed)
	return nil
}

// countingReader is an endless body that counts the bytes read from it.
type countingReader struct{ atomic.Int64 }

func (r *countingReader) Read(p []byte) (int, error) {
	r.Add(int64(len(p)))
	return len(p), nil
}

// A caller that disconnects while it receives the body must stop the response.
func TestForwardCancelBody(t *testing.T) {
	for _, method := range []string{"context", "close"} {
		t.Run(method, func(t *testing.T) {
			ended := make(chan struct{})
			client, _, addr := pair(t, func(ctx context.Context, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
				pr, pw := io.Pipe()
				_ = context.AfterFunc(ctx, func() { _ = pw.CloseWithError(ctx.Err()); close(ended) })
				go func() { _, _ = pw.Write([]byte("part")) }()
				return response(pr, -1), nil
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			resp, err := client.Forward(ctx, addr, request(nil, 0))
			require.NoError(t, err)
			_, err = io.ReadFull(resp.Body, make([]byte, 4))
			require.NoError(t, err)
			if method == "close" {
				require.NoError(t, resp.Body.Close())
			} else {
				cancel()
			}
			<-ended
			_, err = io.ReadAll(resp.Body)
			require.Error(t, err)
		})
	}
}

// The outcome of a request is unknown when its owner is lost, or when it reaches its
// deadline there. If it were reported as not run, a retry could run it twice.
func TestForwardUnknownOutcome(t *testing.T) {
	t.Run("owner lost", func(t *testing.T) {
		started := make(chan struct{})
		client, owner, addr := pair(t, func(ctx context.Context, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
			close(started)
			<-ctx.Done()
			return nil, ctx.Err()
		})
		go func() { <-started; _ = owner.Close() }()
		_, err := client.Forward(t.Context(), addr, request(nil, 0))
		requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
		<-owner.Done()
	})
	t.Run("deadline", func(t *testing.T) {
		client, _, addr := pair(t, func(ctx context.Context, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		r := request(nil, 0)
		r.Deadline = time.Now().Add(30 * time.Millisecond)
		_, err := client.Forward(t.Context(), addr, r)
		requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded)
	})
	t.Run("response body fails", func(t *testing.T) {
		client, _, addr := pair(t, func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
			return response(io.MultiReader(strings.NewReader("part"), failingReader{}), -1), nil
		})
		resp, err := client.Forward(t.Context(), addr, request(nil, 0))
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
	})
	t.Run("response shorter than stated", func(t *testing.T) {
		client, _, addr := pair(t, func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
			return response(strings.NewReader("part"), 5), nil
		})
		resp, err := client.Forward(t.Context(), addr, request(nil, 0))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
	})
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("broken") }

// An incomplete body of a caller must not reach the handler as a complete one.
func TestForwardIncompleteRequest(t *testing.T) {
	for name, body := range map[string]io.Reader{
		"error":     io.MultiReader(strings.NewReader("part"), failingReader{}),
		"too short": onlyReader{strings.NewReader("part")},
		"too long":  onlyReader{strings.NewReader("more than stated")},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan error, 1)
			client, _, addr := pair(t, func(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
				_, err := io.ReadAll(r.Body)
				read <- err
				return nil, err
			})
			_, err := client.Forward(t.Context(), addr, request(body, 5))
			require.Error(t, err)
			client.closeIdle(time.Now().Add(time.Hour))
			select {
			case err := <-read:
				require.Error(t, err)
			default: // the handler was not called
			}
		})
	}
}

// A request of which the other side lacks a part that it needs to dispatch it was not run;
// any other that may have left this process may have been.
func TestHeadWriteFailure(t *testing.T) {
	for _, tt := range []struct {
		name       string
		incomplete bool
		err        error
		want       pollenlatch.Outcome
	}{
		{"the window was full before the end of the head", true, yamux.ErrTimeout, pollenlatch.OutcomeNotRun},
		{"the stream was closed before the end of the head", true, yamux.ErrStreamClosed, pollenlatch.OutcomeNotRun},
		{"the rest was queued", true, yamux.ErrConnectionWriteTimeout, pollenlatch.OutcomeUnknown},
		{"the session ended", true, yamux.ErrSessionShutdown, pollenlatch.OutcomeUnknown},
		{"the head was sent", false, yamux.ErrTimeout, pollenlatch.OutcomeUnknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			x := &exchange{session: &outboundSession{addr: "b"}, ctx: t.Context()}
			require.Equal(t, tt.want, x.headWriteFailure(tt.incomplete, tt.err).Outcome)
			x.expired.Store(true)
			require.Equal(t, tt.want, x.headWriteFailure(tt.incomplete, tt.err).Outcome, "at the deadline")
		})
	}
}
