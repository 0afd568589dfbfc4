package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// pipes is a listener for connections in memory, which work with the fake clock.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), done: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial() net.Conn {
	a, b := net.Pipe()
	p.conns <- b
	return a
}

type recorded struct {
	service  string
	class    pollenlatch.Class
	outcome  pollenlatch.Outcome
	reason   pollenlatch.Reason
	endpoint string
}

type fakeRecorder chan recorded

func (r fakeRecorder) Record(service string, c pollenlatch.Class, o pollenlatch.Outcome, reason pollenlatch.Reason, endpoint string, _ time.Duration) {
	r <- recorded{service, c, o, reason, endpoint}
}

// site is a server on connections in memory.
type site struct {
	*testing.T
	*pipes
	server   *Server
	recorder fakeRecorder
}

// serve runs test with a server of h, under a fake clock.
func serve(t *testing.T, h pollenlatch.HandlerFunc, set func(*Config), test func(x *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := &site{T: t, pipes: newPipes(), recorder: make(fakeRecorder, 16)}
		cfg := Config{Control: newControl(1), Handler: h, Recorder: x.recorder}
		if set != nil {
			set(&cfg)
		}
		var err error
		x.server, err = NewServer(cfg)
		require.NoError(t, err)
		go func() { _ = x.server.Serve(x.pipes) }()
		defer func() {
			_ = x.server.Close()
			<-x.server.Done()
			<-time.After(time.Second) // fake; net/http lingers before it closes a connection
		}()
		test(x)
	})
}

// got is an answer as the caller sees it.
type got struct {
	*http.Response
	body string
	err  error // of the head or the body
}

// ask sends raw lines and reads the answer.
func (x *site) ask(raw string) got {
	x.Helper()
	c := x.dial()
	defer func() { _ = c.Close() }()
	go func() { _, _ = io.WriteString(c, raw) }()
	method, _, _ := strings.Cut(raw, " ")
	w, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return got{err: err}
	}
	defer func() { _ = w.Body.Close() }()
	b, err := io.ReadAll(w.Body)
	return got{w, string(b), err}
}

const getClaim = "GET /s/claims/k HTTP/1.1\r\nHost: x\r\n\r\n"

func constant(w func() (*pollenlatch.Response, error)) pollenlatch.HandlerFunc {
	return func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) { return w() }
}

// A failure that lacks its outcome leaves the caller without a truthful answer.
func TestServerFailure(t *testing.T) {
	f := failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoOwner, 503)
	f.RetryAfter = 2 * time.Second
	serve(t, constant(func() (*pollenlatch.Response, error) { return nil, f }), nil, func(x *site) {
		w := x.ask(getClaim)
		require.Equal(x, 503, w.StatusCode)
		require.Equal(x, "not-run", w.Header.Get(headerOutcome))
		require.Equal(x, "2", w.Header.Get("Retry-After"))
		require.JSONEq(x, `{"outcome": "not-run", "reason": "no-owner", "detail": "detail", "retry_after": 2}`, w.body)
		require.Equal(x, recorded{"claims", pollenlatch.ClassRoutine, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoOwner, ""}, <-x.recorder)
	})
}

// The server's answer must reach the caller unchanged, except for the headers
// that say what we say.
func TestServerAnswer(t *testing.T) {
	serve(t, constant(func() (*pollenlatch.Response, error) {
		w := ok("body")
		w.Status, w.OwnerAddr = 500, "front-c"
		w.Header = []pollenlatch.Header{
			{Name: "X-A", Value: "1"},
			{Name: "x-a", Value: "2"},
			{Name: "Connection", Value: "close"},
			{Name: "pollen-outcome", Value: "not-run"},
			{Name: "Content-Length", Value: "9"},
		}
		return w, nil
	}), nil, func(x *site) {
		w := x.ask("GET / HTTP/1.1\r\nHost: x\r\nPollen-Service: claims\r\nPollen-Key: k\r\nPollen-Kind: dispatch\r\n\r\n")
		require.Equal(x, 500, w.StatusCode)
		require.Equal(x, []string{"1", "2"}, w.Header["X-A"])
		require.Equal(x, "front-c", w.Header.Get(headerOwner))
		require.Empty(x, w.Header[headerOutcome], "the server does not speak for us")
		require.False(x, w.Close)
		require.NoError(x, w.err)
		require.Equal(x, "body", w.body)
		require.Equal(x, recorded{"claims", pollenlatch.ClassUrgent, pollenlatch.OutcomeRan, pollenlatch.ReasonServerError, "front-c"}, <-x.recorder)
	})
}

type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502)
	}
	return n, err
}

// An answer that was cut short must not look complete to the caller.
func TestServerTruncated(t *testing.T) {
	for _, length := range []int64{-1, 8} {
		t.Run(fmt.Sprintf("length %d", length), func(t *testing.T) {
			serve(t, constant(func() (*pollenlatch.Response, error) {
				w := ok("")
				w.Length = length
				w.Body = io.NopCloser(brokenBody{strings.NewReader("part")})
				return w, nil
			}), nil, func(x *site) {
				w := x.ask(getClaim)
				require.ErrorIs(x, w.err, io.ErrUnexpectedEOF)
				r := <-x.recorder
				require.Equal(x, pollenlatch.OutcomeUnknown, r.outcome)
				require.Equal(x, pollenlatch.ReasonConnectionLost, r.reason)
			})
		})
	}
	t.Run("before the first byte", func(t *testing.T) {
		serve(t, constant(func() (*pollenlatch.Response, error) {
			w := ok("")
			w.Length = 8
			w.Body = io.NopCloser(brokenBody{strings.NewReader("")})
			return w, nil
		}), nil, func(x *site) {
			w := x.ask(getClaim)
			require.Equal(x, 502, w.StatusCode)
			require.Equal(x, "unknown", w.Header.Get(headerOutcome))
		})
	})
}

// A handler that goes on for a caller who left holds a slot of the server.
func TestServerCallerLeaves(t *testing.T) {
	var ended chan struct{}
	serve(t, func(ctx context.Context, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
		<-ctx.Done()
		close(ended)
		return nil, failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonCancelled, 502)
	}, nil, func(x *site) {
		ended = make(chan struct{})
		c := x.dial()
		_, err := io.WriteString(c, getClaim)
		require.NoError(x, err)
		synctest.Wait()
		require.NoError(x, c.Close())
		<-ended
		require.Equal(x, pollenlatch.ReasonCancelled, (<-x.recorder).reason)
	})
}

// A caller that sends its body slowly, or too much of it, must not hold a
// connection or the memory.
func TestServerBounds(t *testing.T) {
	read := func(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return nil, failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502)
		}
		return ok("read"), nil
	}
	head := "POST /s/claims/k HTTP/1.1\r\nHost: x\r\nPollen-Timeout: 100\r\n"
	for _, c := range []struct {
		name, raw string
		status    int
		outcome   string
		reason    pollenlatch.Reason
	}{
		{"short body stops", head + "Content-Length: 5\r\n\r\nabc", 408, "not-run", pollenlatch.ReasonDeadlineExceeded},
		{"long body stops", head + "Content-Length: 50000\r\n\r\nabc", 502, "unknown", pollenlatch.ReasonConnectionLost},
		{"stated too large", head + "Content-Length: 100001\r\n\r\nabc", 413, "not-run", pollenlatch.ReasonTooLarge},
		{"too many chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("2710\r\n"+strings.Repeat("x", 10000)+"\r\n", 11) + "0\r\n\r\n", 502, "unknown", pollenlatch.ReasonConnectionLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			serve(t, read, func(cfg *Config) { cfg.MaxBodyBytes = 100_000 }, func(x *site) {
				w := x.ask(c.raw)
				require.Equal(x, c.status, w.StatusCode)
				require.Equal(x, c.outcome, w.Header.Get(headerOutcome))
				require.Equal(x, c.reason, (<-x.recorder).reason)
			})
		})
	}
	t.Run("head never ends", func(t *testing.T) {
		serve(t, read, nil, func(x *site) {
			c := x.dial()
			start := time.Now()
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n")
			require.NoError(x, err)
			_, _ = io.ReadAll(c)
			require.Equal(x, DefaultHeaderTimeout, time.Since(start))
		})
	})
	t.Run("head too large", func(t *testing.T) {
		serve(t, read, func(cfg *Config) { cfg.MaxHeaderBytes = 1 << 10 }, func(x *site) {
			w := x.ask("GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n")
			require.Equal(x, 431, w.StatusCode)
		})
	})
	t.Run("too many connections", func(t *testing.T) {
		serve(t, read, func(cfg *Config) { cfg.MaxConns = 1 }, func(x *site) {
			idle := x.dial()
			w := x.ask(getClaim)
			require.Equal(x, 503, w.StatusCode)
			require.Equal(x, "not-run", w.Header.Get(headerOutcome))
			require.True(x, w.Close)
			require.NoError(x, idle.Close())
		})
	})
	t.Run("caller does not take the answer", func(t *testing.T) {
		big := constant(func() (*pollenlatch.Response, error) { return ok(strings.Repeat("x", 1<<20)), nil })
		serve(t, big, nil, func(x *site) {
			c := x.dial()
			_, err := io.WriteString(c, getClaim)
			require.NoError(x, err)
			start := time.Now()
			require.Equal(x, pollenlatch.ReasonCancelled, (<-x.recorder).reason)
			require.Equal(x, DefaultStallTimeout, time.Since(start))
			require.NoError(x, c.Close())
		})
	})
	t.Run("server stalls in its answer", func(t *testing.T) {
		stalled := func(ctx context.Context, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
			pr, pw := io.Pipe()
			context.AfterFunc(ctx, func() { _ = pw.CloseWithError(ctx.Err()) })
			go func() { _, _ = pw.Write([]byte("part")) }()
			return &pollenlatch.Response{ResponseHead: pollenlatch.ResponseHead{Status: 200, Length: -1}, Body: pr}, nil
		}
		serve(t, stalled, nil, func(x *site) {
			start := time.Now()
			w := x.ask(getClaim)
			require.Equal(x, DefaultStallTimeout, time.Since(start))
			require.ErrorIs(x, w.err, io.ErrUnexpectedEOF)
		})
	})
}

// The deadline for the body, left on the connection, would cut a slow answer.
func TestServerSlowAnswer(t *testing.T) {
	serve(t, func(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
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
	}, nil, func(x *site) {
		for _, size := range []int{5, smallBody + 1} {
			head := fmt.Sprintf("POST /s/claims/k HTTP/1.1\r\nHost: x\r\nPollen-Timeout: 500\r\nContent-Length: %d\r\n\r\n", size)
			w := x.ask(head + strings.Repeat("x", size))
			require.NoError(x, w.err)
			require.Equal(x, strings.Repeat("part", 5), w.body)
		}
	})
}

// An attempt that still waits for the caller's body must not hold up the
// answer, and the rest of that body must not be taken for a request.
func TestServerAnswersBeforeBody(t *testing.T) {
	var calls atomic.Int32
	serve(t, func(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		calls.Add(1)
		if r.Body != nil {
			go func() { _, _ = io.Copy(io.Discard, r.Body) }()
			synctest.Wait()
		}
		return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull, 429)
	}, nil, func(x *site) {
		start := time.Now()
		c := x.dial()
		_, err := io.WriteString(c, "POST /s/claims/k HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\nabc")
		require.NoError(x, err)
		r := bufio.NewReader(c)
		line, err := r.ReadString('\n')
		require.NoError(x, err)
		require.Contains(x, line, "429")
		go func() { _, _ = io.WriteString(c, "POST /s/claims/k HTTP/1.1\r\nHost: x\r\n\r\n") }()
		_, err = io.ReadAll(r)
		require.NoError(x, err)
		require.Less(x, time.Since(start), time.Second, "fake time")
		require.Equal(x, int32(1), calls.Load())
		require.NoError(x, c.Close())
	})
}

// A refusal that waits for the rest of a body lets a slow caller hold a
// connection for good.
func TestServerRefusesBeforeBody(t *testing.T) {
	serve(t, constant(nil), nil, func(x *site) {
		start := time.Now()
		c := x.dial()
		_, err := io.WriteString(c, "POST /nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\nabc")
		require.NoError(x, err)
		w, err := io.ReadAll(c) // until the connection ends
		require.NoError(x, err)
		require.Contains(x, string(w), "HTTP/1.1 400 ")
		require.Contains(x, string(w), headerOutcome+": not-run")
		require.Less(x, time.Since(start), time.Second, "fake time")
		require.NoError(x, c.Close())
	})
}

// net/http drops what is left of a body when the answer starts, unless it is
// told not to; the server would then take a part for the whole.
func TestServerAnswersDuringBody(t *testing.T) {
	serve(t, func(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		return &pollenlatch.Response{ResponseHead: pollenlatch.ResponseHead{Status: 200, Length: -1}, Body: io.NopCloser(r.Body)}, nil
	}, nil, func(x *site) {
		var raw strings.Builder
		raw.WriteString("POST /s/claims/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
		var want strings.Builder
		for i := range 200 {
			part := strings.Repeat(fmt.Sprintf("%04d", i), 250)
			want.WriteString(part)
			fmt.Fprintf(&raw, "3e8\r\n%s\r\n", part)
		}
		raw.WriteString("0\r\n\r\n")
		w := x.ask(raw.String())
		require.NoError(x, w.err)
		require.True(x, want.String() == w.body)
	})
}

// A connection that a shutdown closes at the moment in which its caller sends
// the next request leaves that caller without an answer.
func TestShutdownKeepsIdleConnections(t *testing.T) {
	f := failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoOwner, 503)
	serve(t, constant(func() (*pollenlatch.Response, error) { return nil, f }), nil, func(x *site) {
		c := x.dial()
		r := bufio.NewReader(c)
		ask := func() (last bool) {
			_, err := io.WriteString(c, getClaim)
			require.NoError(x, err)
			w, err := http.ReadResponse(r, nil)
			require.NoError(x, err)
			_, err = io.Copy(io.Discard, w.Body)
			require.NoError(x, err)
			require.NoError(x, w.Body.Close())
			return w.Close
		}
		require.False(x, ask())
		ended := make(chan error, 1)
		go func() { ended <- x.server.Shutdown(context.Background()) }()
		synctest.Wait()
		require.Empty(x, ended)
		require.True(x, ask(), "the caller is not told to close its connection")
		require.NoError(x, c.Close())
		require.NoError(x, <-ended)
	})
}
