package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// pipeListener is a listener for in-memory connections, which work with the
// fake clock.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial() net.Conn {
	a, b := net.Pipe()
	p.conns <- b
	return a
}

type recordedEvent struct {
	service  string
	class    pollenlatch.Class
	outcome  pollenlatch.Outcome
	reason   pollenlatch.Reason
	endpoint string
}

type fakeRecorder chan recordedEvent

func (r fakeRecorder) Record(service string, c pollenlatch.Class, o pollenlatch.Outcome, reason pollenlatch.Reason, endpoint string, _ time.Duration) {
	r <- recordedEvent{service, c, o, reason, endpoint}
}

// serverFixture is a server with in-memory connections.
type serverFixture struct {
	*testing.T
	*pipeListener
	server   *Server
	recorder fakeRecorder
}

// testServer runs test against a server with the handler h, under a fake clock.
func testServer(t *testing.T, h pollenlatch.HandlerFunc, configure func(*Config), test func(fx *serverFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fx := &serverFixture{T: t, pipeListener: newPipeListener(), recorder: make(fakeRecorder, 16)}
		cfg := Config{Control: newFakeControl(1), Handler: h, Recorder: fx.recorder}
		if configure != nil {
			configure(&cfg)
		}
		var err error
		fx.server, err = NewServer(cfg)
		require.NoError(t, err)
		go func() { _ = fx.server.Serve(fx.pipeListener) }()
		defer func() {
			_ = fx.server.Close()
			<-fx.server.Done()
			<-time.After(time.Second) // of the fake clock; net/http delays the closing of a connection
		}()
		test(fx)
	})
}

// callerResponse is a response as the caller receives it.
type callerResponse struct {
	*http.Response
	body string
	err  error // from the head or the body
}

// send sends a raw request and reads the response.
func (fx *serverFixture) send(raw string) callerResponse {
	fx.Helper()
	c := fx.dial()
	defer func() { _ = c.Close() }()
	go func() { _, _ = io.WriteString(c, raw) }()
	method, _, _ := strings.Cut(raw, " ")
	w, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = w.Body.Close() }()
	b, err := io.ReadAll(w.Body)
	return callerResponse{w, string(b), err}
}

const getRequest = "GET /s/claims/k HTTP/1.1\r\nHost: x\r\n\r\n"

func handlerOf(w func() (*pollenlatch.Response, error)) pollenlatch.HandlerFunc {
	return func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) { return w() }
}

// A failure without its outcome would leave the caller without knowing whether
// to retry.
func TestServerFailure(t *testing.T) {
	f := failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoOwner, 503)
	f.RetryAfter = 2 * time.Second
	testServer(t, handlerOf(func() (*pollenlatch.Response, error) { return nil, f }), nil, func(fx *serverFixture) {
		w := fx.send(getRequest)
		require.Equal(fx, 503, w.StatusCode)
		require.Equal(fx, "not-run", w.Header.Get(headerOutcome))
		require.Equal(fx, "2", w.Header.Get("Retry-After"))
		require.JSONEq(fx, `{"outcome": "not-run", "reason": "no-owner", "detail": "detail", "retry_after": 2}`, w.body)
		require.Equal(fx, recordedEvent{"claims", pollenlatch.ClassRoutine, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoOwner, ""}, <-fx.recorder)
	})
}

// The server's response must reach the caller unchanged, except for headers
// that daemons set themselves.
func TestServerResponse(t *testing.T) {
	testServer(t, handlerOf(func() (*pollenlatch.Response, error) {
		w := okResponse("body")
		w.Status, w.OwnerAddr = 500, "front-c"
		w.Header = []pollenlatch.Header{
			{Name: "X-A", Value: "1"},
			{Name: "x-a", Value: "2"},
			{Name: "Connection", Value: "close"},
			{Name: "pollen-outcome", Value: "not-run"},
			{Name: "Content-Length", Value: "9"},
		}
		return w, nil
	}), nil, func(fx *serverFixture) {
		w := fx.send("GET / HTTP/1.1\r\nHost: x\r\nPollen-Service: claims\r\nPollen-Key: k\r\nPollen-Kind: dispatch\r\n\r\n")
		require.Equal(fx, 500, w.StatusCode)
		require.Equal(fx, []string{"1", "2"}, w.Header["X-A"])
		require.Equal(fx, "front-c", w.Header.Get(headerOwner))
		require.Empty(fx, w.Header[headerOutcome], "the Pollen-Outcome header of a server must be dropped")
		require.False(fx, w.Close)
		require.NoError(fx, w.err)
		require.Equal(fx, "body", w.body)
		require.Equal(fx, recordedEvent{"claims", pollenlatch.ClassUrgent, pollenlatch.OutcomeRan, pollenlatch.ReasonServerError, "front-c"}, <-fx.recorder)
	})
}

type truncatedBody struct{ io.Reader }

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502)
	}
	return n, err
}

// A truncated response must not look complete to the caller.
func TestServerTruncated(t *testing.T) {
	for _, length := range []int64{-1, 8} {
		t.Run(fmt.Sprintf("length %d", length), func(t *testing.T) {
			testServer(t, handlerOf(func() (*pollenlatch.Response, error) {
				w := okResponse("")
				w.Length = length
				w.Body = io.NopCloser(truncatedBody{strings.NewReader("part")})
				return w, nil
			}), nil, func(fx *serverFixture) {
				w := fx.send(getRequest)
				require.ErrorIs(fx, w.err, io.ErrUnexpectedEOF)
				r := <-fx.recorder
				require.Equal(fx, pollenlatch.OutcomeUnknown, r.outcome)
				require.Equal(fx, pollenlatch.ReasonConnectionLost, r.reason)
			})
		})
	}
	t.Run("before the first byte", func(t *testing.T) {
		testServer(t, handlerOf(func() (*pollenlatch.Response, error) {
			w := okResponse("")
			w.Length = 8
			w.Body = io.NopCloser(truncatedBody{strings.NewReader("")})
			return w, nil
		}), nil, func(fx *serverFixture) {
			w := fx.send(getRequest)
			require.Equal(fx, 502, w.StatusCode)
			require.Equal(fx, "unknown", w.Header.Get(headerOutcome))
		})
	})
}

// A handler that continues after its caller has disconnected would keep a slot
// of the server.
func TestServerCallerDisconnects(t *testing.T) {
	var ended chan struct{}
	testServer(t, func(ctx context.Context, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
		<-ctx.Done()
		close(ended)
		return nil, failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonCancelled, 502)
	}, nil, func(fx *serverFixture) {
		ended = make(chan struct{})
		c := fx.dial()
		_, err := io.WriteString(c, getRequest)
		require.NoError(fx, err)
		synctest.Wait()
		require.NoError(fx, c.Close())
		<-ended
		require.Equal(fx, pollenlatch.ReasonCancelled, (<-fx.recorder).reason)
	})
}

// A caller that sends its body slowly, or sends too much, must not hold a
// connection or exhaust the memory.
func TestServerLimits(t *testing.T) {
	readBody := func(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return nil, failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502)
		}
		return okResponse("read"), nil
	}
	head := "POST /s/claims/k HTTP/1.1\r\nHost: x\r\nPollen-Timeout: 100\r\n"
	for _, c := range []struct {
		name, raw string
		status    int
		outcome   string
		reason    pollenlatch.Reason
	}{
		{"small body stalls", head + "Content-Length: 5\r\n\r\nabc", 408, "not-run", pollenlatch.ReasonDeadlineExceeded},
		{"large body stalls", head + "Content-Length: 50000\r\n\r\nabc", 502, "unknown", pollenlatch.ReasonConnectionLost},
		{"Content-Length too large", head + "Content-Length: 100001\r\n\r\nabc", 413, "not-run", pollenlatch.ReasonTooLarge},
		{"chunked body too large", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("2710\r\n"+strings.Repeat("x", 10000)+"\r\n", 11) + "0\r\n\r\n", 502, "unknown", pollenlatch.ReasonConnectionLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			testServer(t, readBody, func(cfg *Config) { cfg.MaxBodyBytes = 100_000 }, func(fx *serverFixture) {
				w := fx.send(c.raw)
				require.Equal(fx, c.status, w.StatusCode)
				require.Equal(fx, c.outcome, w.Header.Get(headerOutcome))
				require.Equal(fx, c.reason, (<-fx.recorder).reason)
			})
		})
	}
	t.Run("incomplete head", func(t *testing.T) {
		testServer(t, readBody, nil, func(fx *serverFixture) {
			c := fx.dial()
			start := time.Now()
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n")
			require.NoError(fx, err)
			_, _ = io.ReadAll(c)
			require.Equal(fx, DefaultHeaderTimeout, time.Since(start))
		})
	})
	t.Run("head too large", func(t *testing.T) {
		testServer(t, readBody, func(cfg *Config) { cfg.MaxHeaderBytes = 1 << 10 }, func(fx *serverFixture) {
			w := fx.send("GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n")
			require.Equal(fx, 431, w.StatusCode)
		})
	})
	t.Run("too many connections", func(t *testing.T) {
		testServer(t, readBody, func(cfg *Config) { cfg.MaxConns = 1 }, func(fx *serverFixture) {
			idle := fx.dial()
			w := fx.send(getRequest)
			require.Equal(fx, 503, w.StatusCode)
			require.Equal(fx, "not-run", w.Header.Get(headerOutcome))
			require.True(fx, w.Close)
			require.NoError(fx, idle.Close())
		})
	})
	t.Run("caller does not read the response", func(t *testing.T) {
		big := handlerOf(func() (*pollenlatch.Response, error) { return okResponse(strings.Repeat("x", 1<<20)), nil })
		testServer(t, big, nil, func(fx *serverFixture) {
			c := fx.dial()
			_, err := io.WriteString(c, getRequest)
			require.NoError(fx, err)
			start := time.Now()
			require.Equal(fx, pollenlatch.ReasonCancelled, (<-fx.recorder).reason)
			require.Equal(fx, DefaultStallTimeout, time.Since(start))
			require.NoError(fx, c.Close())
		})
	})
	t.Run("server stalls during the response", func(t *testing.T) {
		stalled := func(ctx context.Context, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
			pr, pw := io.Pipe()
			context.AfterFunc(ctx, func() { _ = pw.CloseWithError(ctx.Err()) })
			go func() { _, _ = pw.Write([]byte("part")) }()
			return &pollenlatch.Response{ResponseHead: pollenlatch.ResponseHead{Status: 200, Length: -1}, Body: pr}, nil
		}
		testServer(t, stalled, nil, func(fx *serverFixture) {
			start := time.Now()
			w := fx.send(getRequest)
			require.Equal(fx, DefaultStallTimeout, time.Since(start))
			require.ErrorIs(fx, w.err, io.ErrUnexpectedEOF)
		})
	})
}

// The read deadline for the body must not remain on the connection, where it
// would cut off a slow response.
func TestServerSlowResponse(t *testing.T) {
	testServer(t, func(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return nil, err
		}
		pr, pw := io.Pipe()
		go func() {
			for range 5 {
				select {
				case <-time.After(time.Second):
					_, _ = pw.Write([]byte("part"))
				case <-ctx.Done():
					_ = pw.CloseWithError(ctx.Err())
				}
			}
			_ = pw.Close()
		}()
		return &pollenlatch.Response{ResponseHead: pollenlatch.ResponseHead{Status: 200, Length: -1}, Body: pr}, nil
	}, nil, func(fx *serverFixture) {
		for _, size := range []int{5, maxBufferedBodyBytes + 1} {
			head := fmt.Sprintf("POST /s/claims/k HTTP/1.1\r\nHost: x\r\nPollen-Timeout: 500\r\nContent-Length: %d\r\n\r\n", size)
			w := fx.send(head + strings.Repeat("x", size))
			require.NoError(fx, w.err)
			require.Equal(fx, strings.Repeat("part", 5), w.body)
		}
	})
}

// An attempt that still waits for the caller's body must not delay the
// response, and the rest of the body must not be parsed as a request.
func TestServerRespondsBeforeBody(t *testing.T) {
	var calls atomic.Int32
	testServer(t, func(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		calls.Add(1)
		if r.Body != nil {
			go func() { _, _ = io.Copy(io.Discard, r.Body) }()
			synctest.Wait()
		}
		return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull, 429)
	}, nil, func(fx *serverFixture) {
		start := time.Now()
		c := fx.dial()
		_, err := io.WriteString(c, "POST /s/claims/k HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\nabc")
		require.NoError(fx, err)
		r := bufio.NewReader(c)
		line, err := r.ReadString('\n')
		require.NoError(fx, err)
		require.Contains(fx, line, "429")
		go func() { _, _ = io.WriteString(c, "POST /s/claims/k HTTP/1.1\r\nHost: x\r\n\r\n") }()
		_, err = io.ReadAll(r)
		require.NoError(fx, err)
		require.Less(fx, time.Since(start), time.Second, "fake time")
		require.Equal(fx, int32(1), calls.Load())
		require.NoError(fx, c.Close())
	})
}

// A rejection that waited for the rest of the body would let a slow caller hold
// a connection indefinitely.
func TestServerRejectsBeforeBody(t *testing.T) {
	testServer(t, handlerOf(nil), nil, func(fx *serverFixture) {
		start := time.Now()
		c := fx.dial()
		_, err := io.WriteString(c, "POST /nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\nabc")
		require.NoError(fx, err)
		w, err := io.ReadAll(c) // until the connection is closed
		require.NoError(fx, err)
		require.Contains(fx, string(w), "HTTP/1.1 400 ")
		require.Contains(fx, string(w), headerOutcome+": not-run")
		require.Less(fx, time.Since(start), time.Second, "fake time")
		require.NoError(fx, c.Close())
	})
}

// Unless full duplex is enabled, net/http discards the rest of a body when the
// response starts, and the server would take the truncated body for a complete
// one.
func TestServerRespondsDuringBody(t *testing.T) {
	testServer(t, func(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		return &pollenlatch.Response{ResponseHead: pollenlatch.ResponseHead{Status: 200, Length: -1}, Body: io.NopCloser(r.Body)}, nil
	}, nil, func(fx *serverFixture) {
		var raw strings.Builder
		raw.WriteString("POST /s/claims/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
		var want strings.Builder
		for i := range 200 {
			part := strings.Repeat(fmt.Sprintf("%04d", i), 250)
			want.WriteString(part)
			fmt.Fprintf(&raw, "3e8\r\n%s\r\n", part)
		}
		raw.WriteString("0\r\n\r\n")
		w := fx.send(raw.String())
		require.NoError(fx, w.err)
		require.True(fx, want.String() == w.body)
	})
}

// If a shutdown closed an idle connection at the moment when the caller sends
// its next request, the caller would get no response.
func TestShutdownKeepsIdleConnections(t *testing.T) {
	f := failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoOwner, 503)
	testServer(t, handlerOf(func() (*pollenlatch.Response, error) { return nil, f }), nil, func(fx *serverFixture) {
		c := fx.dial()
		r := bufio.NewReader(c)
		send := func() (last bool) {
			_, err := io.WriteString(c, getRequest)
			require.NoError(fx, err)
			w, err := http.ReadResponse(r, nil)
			require.NoError(fx, err)
			_, err = io.Copy(io.Discard, w.Body)
			require.NoError(fx, err)
			require.NoError(fx, w.Body.Close())
			return w.Close
		}
		require.False(fx, send())
		ended := make(chan error, 1)
		go func() { ended <- fx.server.Shutdown(context.Background()) }()
		synctest.Wait()
		require.Empty(fx, ended)
		require.True(fx, send(), "the response must close the connection")
		require.NoError(fx, c.Close())
		require.NoError(fx, <-ended)
	})
}

// Guards against requests whose bodies are still arriving when a stopping server closes all
// connections: they got no response.
func TestShutdownRefusesIncompleteBodies(t *testing.T) {
	const end = 500 * time.Millisecond
	for name, headBefore := range map[string]bool{"begun before the stop": true, "begun during the stop": false} {
		t.Run(name, func(t *testing.T) {
			handler := handlerOf(func() (*pollenlatch.Response, error) { return okResponse("ran"), nil })
			testServer(t, handler, nil, func(fx *serverFixture) {
				c := fx.dial()
				start := time.Now()
				sendHead := func() {
					_, err := io.WriteString(c, "POST /s/claims/k HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\nhalf")
					require.NoError(fx, err)
					synctest.Wait()
				}
				if headBefore {
					sendHead()
				}
				fx.server.RefuseBodiesAfter(start.Add(end))
				if !headBefore {
					sendHead()
				}
				status, body, err := readPipelined(bufio.NewReader(c))
				require.NoError(fx, err)
				require.Equal(fx, http.StatusRequestTimeout, status, body)
				require.Equal(fx, end, time.Since(start))
			})
		})
	}
}

// A response with an invalid status must not reach the caller.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []int32{0, 99, 100, 600, 999} {
		t.Run(strconv.Itoa(int(status)), func(t *testing.T) {
			respond := func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
				resp := okResponse("hello")
				resp.Status = status
				return resp, nil
			}
			testServer(t, respond, nil, func(fx *serverFixture) {
				w := fx.send("GET /s/claims/k HTTP/1.1\r\nHost: x\r\n\r\n")
				require.Equal(fx, 502, w.StatusCode)
				require.Equal(fx, "unknown", w.Header.Get(headerOutcome))
				require.Equal(fx, pollenlatch.OutcomeUnknown, (<-fx.recorder).outcome)
			})
		})
	}
}
