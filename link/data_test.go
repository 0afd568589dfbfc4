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

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// onlyReader hides Len, so that a body counts as one that arrives slowly.
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

// pair returns a node and the address of another that runs h.
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
		require.True(t, f.Sent, "a request that may have run counts as not sent")
	}
}

// A body that loses, repeats or reorders a chunk is another caller's data.
func TestForwardBodies(t *testing.T) {
	client, _, addr := pair(t, echo)
	for _, size := range []int{0, 1, smallBody, smallBody + 1, maxChunk, 1 << 20} {
		data := make([]byte, size)
		for i := range data {
			data[i] = byte(i * 7 >> 3)
		}
		for name, body := range map[string]io.Reader{
			"at hand":  bytes.NewReader(data),
			"arriving": onlyReader{bytes.NewReader(data)},
		} {
			for _, length := range []int64{int64(size), -1} {
				t.Run(fmt.Sprintf("%d bytes %s, stated %d", size, name, length), func(t *testing.T) {
					if s, ok := body.(io.Seeker); ok {
						_, _ = s.Seek(0, io.SeekStart)
					} else {
						body = onlyReader{bytes.NewReader(data)}
					}
					w, err := client.Forward(t.Context(), addr, request(body, length))
					require.NoError(t, err)
					got, err := io.ReadAll(w.Body)
					require.NoError(t, err)
					require.True(t, bytes.Equal(data, got))
					require.NoError(t, w.Body.Close())
				})
			}
		}
	}
}

// Answers that are mixed up between exchanges on one session go to the wrong caller.
func TestForwardInterleaved(t *testing.T) {
	client, _, addr := pair(t, echo)
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Go(func() {
			for j := range 20 {
				want := strings.Repeat(strconv.Itoa(i*1000+j)+" ", 1+j*400)
				w, err := client.Forward(t.Context(), addr, request(strings.NewReader(want), int64(len(want))))
				if err != nil {
					t.Error(err)
					return
				}
				got, err := io.ReadAll(w.Body)
				if err != nil || string(got) != want {
					t.Errorf("exchange %d.%d: %v", i, j, err)
				}
			}
		})
	}
	wg.Wait()
}

// An outcome that changes on the way makes the router repeat what has run.
func TestForwardFailures(t *testing.T) {
	sent := &pollenlatch.Failure{Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonWrongOwner, Detail: "d", Status: 503, RetryAfter: 1}
	client, _, addr := pair(t, func(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		if r.Key == "other" {
			return nil, errors.New("x")
		}
		return nil, sent
	})
	for range 3 { // the stream is used again after a failure
		_, err := client.Forward(t.Context(), addr, request(nil, 0))
		require.Equal(t, sent, err)
	}
	t.Run("body not read", func(t *testing.T) {
		_, err := client.Forward(t.Context(), addr, request(onlyReader{bytes.NewReader(make([]byte, 1<<20))}, 1<<20))
		require.Equal(t, sent, err)
	})
	t.Run("body sent and not read", func(t *testing.T) {
		for range 20 { // a stream that is used again too early loses the next head
			_, err := client.Forward(t.Context(), addr, request(onlyReader{bytes.NewReader(make([]byte, 100<<10))}, 100<<10))
			require.Equal(t, sent, err)
		}
	})
	t.Run("error without outcome", func(t *testing.T) {
		r := request(nil, 0)
		r.Key = "other"
		_, err := client.Forward(t.Context(), addr, r)
		requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
	})
}

// A failure before the head was sent is safe to repeat and must say so; the
// same failure after it must not.
func TestForwardNotRun(t *testing.T) {
	t.Run("nobody listens", func(t *testing.T) {
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
	t.Run("deadline has passed", func(t *testing.T) {
		client, _, addr := pair(t, echo)
		r := request(nil, 0)
		r.Deadline = time.Now().Add(-time.Second)
		_, err := client.Forward(t.Context(), addr, r)
		requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonDeadlineExceeded)
	})
	t.Run("sender is closed", func(t *testing.T) {
		client, _, addr := pair(t, echo)
		require.NoError(t, client.Close())
		_, err := client.Forward(t.Context(), addr, request(nil, 0))
		requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable)
	})
}

// The handler of a request that nobody waits for keeps a slot of the server
// and, worse, its late answer may meet the stream's next exchange.
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
				w, err := client.Forward(t.Context(), addr, r)
				require.NoError(t, err)
				got, err := io.ReadAll(w.Body)
				require.NoError(t, err)
				require.Equal(t, "next", string(got))
			}
		})
	}
}

// A body that nobody reads must wait at its sender, not fill the memory here.
func TestForwardBoundedMemory(t *testing.T) {
	const most = 256<<10 + 4*maxChunk // a stream's window, and the buffers around it
	var up, down countingReader
	read, release, closed := make(chan struct{}), make(chan struct{}), make(chan struct{})
	client, _, addr := pair(t, func(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		switch r.Key {
		case "up":
			close(read)
			<-release
			return response(strings.NewReader(""), 0), nil
		case "down":
			w := response(&down, -1)
			w.Body = closing{&down, closed}
			return w, nil
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
	r = request(new(countingReader), -1) // nobody reads this one either
	r.Key = "down"
	w, err := client.Forward(t.Context(), addr, r)
	require.NoError(t, err)
	for range 2000 { // others go on, and give the two bodies time to arrive
		exchangeOnce(t, client, addr)
	}
	require.Positive(t, up.Load())
	require.Positive(t, down.Load())
	require.LessOrEqual(t, up.Load(), int64(most))
	require.LessOrEqual(t, down.Load(), int64(most))
	require.NoError(t, w.Body.Close())
	<-closed // at the owner, although it was waiting for room
	close(release)
	require.NoError(t, <-done)
}

// closing is a body that tells when it is closed.
type closing struct {
	io.Reader
	closed chan struct{}
}

func (c closing) Close() error {
	close(c.closed)
	return nil
}

// countingReader is a body without end that counts what was read of it.
type countingReader struct{ atomic.Int64 }

func (r *countingReader) Read(p []byte) (int, error) {
	r.Add(int64(len(p)))
	return len(p), nil
}

// A caller that goes away in the middle of a download must stop it.
func TestForwardCancelBody(t *testing.T) {
	for _, way := range []string{"context", "close"} {
		t.Run(way, func(t *testing.T) {
			ended := make(chan struct{})
			client, _, addr := pair(t, func(ctx context.Context, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
				pr, pw := io.Pipe()
				_ = context.AfterFunc(ctx, func() { _ = pw.CloseWithError(ctx.Err()); close(ended) })
				go func() { _, _ = pw.Write([]byte("part")) }()
				return response(pr, -1), nil
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			w, err := client.Forward(ctx, addr, request(nil, 0))
			require.NoError(t, err)
			_, err = io.ReadFull(w.Body, make([]byte, 4))
			require.NoError(t, err)
			if way == "close" {
				require.NoError(t, w.Body.Close())
			} else {
				cancel()
			}
			<-ended
			_, err = io.ReadAll(w.Body)
			require.Error(t, err)
		})
	}
}

// The outcome of a request whose owner is lost, or that runs into its deadline
// there, is not known: to call it not run would let a charge be raised twice.
func TestForwardUnknown(t *testing.T) {
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
	t.Run("answer breaks off", func(t *testing.T) {
		client, _, addr := pair(t, func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
			return response(io.MultiReader(strings.NewReader("part"), brokenReader{}), -1), nil
		})
		w, err := client.Forward(t.Context(), addr, request(nil, 0))
		require.NoError(t, err)
		_, err = io.ReadAll(w.Body)
		requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
	})
	t.Run("answer shorter than stated", func(t *testing.T) {
		client, _, addr := pair(t, func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
			return response(strings.NewReader("part"), 5), nil
		})
		w, err := client.Forward(t.Context(), addr, request(nil, 0))
		if err == nil {
			_, err = io.ReadAll(w.Body)
		}
		requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
	})
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("broken") }

// A caller's body that breaks off must not reach the handler as a whole one.
func TestForwardBrokenRequest(t *testing.T) {
	for name, body := range map[string]io.Reader{
		"error":     io.MultiReader(strings.NewReader("part"), brokenReader{}),
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
			client.reap(time.Now().Add(time.Hour))
			select {
			case err := <-read:
				require.Error(t, err)
			default: // the handler was not called
			}
		})
	}
}
