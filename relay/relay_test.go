package relay

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
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/local"
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// fake is a server that reads one request at a time and answers by a script,
// on connections in memory.
type fake struct {
	script func(c net.Conn, r *http.Request) // nil answers okAnswer
	refuse error                             // of connecting
	bytes  atomic.Int64                      // received
	opened atomic.Int64
	open   atomic.Int64
	peak   atomic.Int64
	served atomic.Int64
	last   atomic.Pointer[net.Conn] // the server's end of the newest connection
}

type counted struct {
	net.Conn
	f *fake
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.f.bytes.Add(int64(n))
	return n, err
}

func (f *fake) dial(context.Context, string) (net.Conn, error) {
	if f.refuse != nil {
		return nil, f.refuse
	}
	near, far := net.Pipe()
	f.opened.Add(1)
	f.last.Store(&far)
	n := f.open.Add(1)
	for p := f.peak.Load(); n > p && !f.peak.CompareAndSwap(p, n); p = f.peak.Load() {
	}
	go f.serve(counted{far, f})
	return near, nil
}

func (f *fake) serve(c net.Conn) {
	defer f.open.Add(-1)
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		f.served.Add(1)
		if f.script == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, okAnswer)
			continue
		}
		f.script(c, r)
	}
}

// write is a script that answers s and then closes the connection.
func write(s string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, s)
		_ = c.Close()
	}
}

func hang(c net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, c) }

func (f *fake) relay(t *testing.T) *Relay {
	t.Helper()
	l := New(Config{Dial: f.dial, MaxRun: func(string) time.Duration { return 2 * time.Second }})
	l.SetEndpoint(pollenlatch.Endpoint{Addr: "server:80", MaxConns: 2})
	t.Cleanup(l.Close)
	return l
}

func get() *pollenlatch.Request {
	return &pollenlatch.Request{
		RequestHead: pollenlatch.RequestHead{
			Service: "listing", Method: http.MethodGet, URI: "/lot/1?a=%2F",
			Shard: pollenlatch.Shard{Service: "listing", Range: 3}, Fence: 20,
		},
		Deadline: time.Now().Add(10 * time.Second),
	}
}

func post(body string) *pollenlatch.Request {
	r := get()
	r.Method, r.Length, r.Body = http.MethodPost, int64(len(body)), strings.NewReader(body)
	return r
}

func pass() error { return nil }

func call(l *Relay, r *pollenlatch.Request) (string, error) {
	return read(l.Exchange(context.Background(), r, pass))
}

func read(resp *pollenlatch.Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(resp.Body)
	return string(b), errors.Join(err, resp.Body.Close())
}

func requireFailure(t *testing.T, err error, o pollenlatch.Outcome, why pollenlatch.Reason, status int) {
	t.Helper()
	var f *pollenlatch.Failure
	require.ErrorAs(t, err, &f)
	require.Equal(t, []any{o.String(), why, status}, []any{f.Outcome.String(), f.Reason, f.Status}, f.Detail)
}

// A caller that is told the wrong outcome repeats what ran, or gives up what
// did not run. These are the rows of the outcome table for this package.
func TestOutcomes(t *testing.T) {
	const notRun, unknown = pollenlatch.OutcomeNotRun, pollenlatch.OutcomeUnknown
	refused := "HTTP/1.1 %d X\r\nPollen-Outcome: not-run\r\nContent-Length: 2\r\n\r\nno"
	for _, c := range []struct {
		name    string
		f       *fake
		request func() *pollenlatch.Request
		outcome pollenlatch.Outcome
		why     pollenlatch.Reason
		status  int
	}{
		{"cannot connect", &fake{refuse: syscall.ECONNREFUSED}, get, notRun, pollenlatch.ReasonUnreachable, 503},
		{"fence refused", &fake{script: write(fmt.Sprintf(refused, 409))}, get, notRun, pollenlatch.ReasonServerRefused, 503},
		{"server full", &fake{script: write(fmt.Sprintf(refused, 429))}, get, notRun, pollenlatch.ReasonQueueFull, 429},
		{"server drops late work", &fake{script: write(fmt.Sprintf(refused, 504))}, get, notRun, pollenlatch.ReasonDeadlineExceeded, 504},
		{"connection lost", &fake{script: write("")}, get, unknown, pollenlatch.ReasonConnectionLost, 502},
		{"head cut", &fake{script: write("HTTP/1.1 200 OK\r\nContent-")}, get, unknown, pollenlatch.ReasonConnectionLost, 502},
		{"not HTTP", &fake{script: write("hello\r\n\r\n")}, get, unknown, pollenlatch.ReasonConnectionLost, 502},
		{"protocol switched", &fake{script: write("HTTP/1.1 101 X\r\n\r\n")}, get, unknown, pollenlatch.ReasonConnectionLost, 502},
		{"body cut", &fake{script: write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello")}, get, unknown, pollenlatch.ReasonConnectionLost, 502},
		{"chunk cut", &fake{script: write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello")}, get, unknown, pollenlatch.ReasonConnectionLost, 502},
		{"last chunk missing", &fake{script: write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")}, get, unknown, pollenlatch.ReasonConnectionLost, 502},
		{"trailer cut", &fake{script: write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n")}, get, unknown, pollenlatch.ReasonConnectionLost, 502},
		{"no answer until maxrun", &fake{script: hang}, get, unknown, pollenlatch.ReasonDeadlineExceeded, 504},
		{"body stalls", &fake{script: func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello")
			hang(c, r)
		}}, get, unknown, pollenlatch.ReasonDeadlineExceeded, 504},
		{"deadline passed before", &fake{}, func() *pollenlatch.Request {
			r := get()
			r.Deadline = time.Now()
			return r
		}, notRun, pollenlatch.ReasonDeadlineExceeded, 504},
		{"caller's body fails early", &fake{}, func() *pollenlatch.Request {
			r := post("abc")
			r.Body = io.MultiReader(strings.NewReader("a"), failing{})
			return r
		}, notRun, pollenlatch.ReasonBadRequest, 400},
		{"caller's body fails late", &fake{}, func() *pollenlatch.Request {
			r := post(strings.Repeat("a", 3*bufferBytes))
			r.Length++
			r.Body = io.MultiReader(r.Body, failing{})
			return r
		}, unknown, pollenlatch.ReasonCancelled, StatusClientClosedRequest},
		{"two requests in one", &fake{}, func() *pollenlatch.Request {
			r := get()
			r.URI = "/ HTTP/1.1\r\n\r\nGET /"
			return r
		}, notRun, pollenlatch.ReasonBadRequest, 400},
		{"line break in the key", &fake{}, func() *pollenlatch.Request {
			r := get()
			r.Key = "lot-1\r\nPollen-Fence: 99"
			return r
		}, notRun, pollenlatch.ReasonBadRequest, 400},
		{"two headers in one", &fake{}, func() *pollenlatch.Request {
			r := get()
			r.Header = []pollenlatch.Header{{Name: "A", Value: "b\r\nC: d"}}
			return r
		}, notRun, pollenlatch.ReasonBadRequest, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := c.f.relay(t)
				_, err := call(l, c.request())
				requireFailure(t, err, c.outcome, c.why, c.status)
				require.NotErrorIs(t, err, io.EOF)
				require.Zero(t, l.pool.used, "connections counted after the end")
				if c.outcome == notRun && c.why != pollenlatch.ReasonServerRefused && c.status != 429 && c.name != "server drops late work" {
					require.Zero(t, c.f.bytes.Load(), "bytes received by the server")
				}
			})
		})
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("caller's connection was reset") }

// A check that is not the last step lets a paused process write after its
// lease, and a deadline beyond maxrun lets a request run too long.
func TestCheckIsLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var deadline string
		f := &fake{}
		f.script = func(c net.Conn, r *http.Request) {
			deadline = r.Header.Get(local.HeaderDeadline)
			write(okAnswer)(c, r)
		}
		l := f.relay(t)
		_, err := l.Exchange(t.Context(), post("abc"), func() error {
			return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoLease, 503, "lease has ended")
		})
		requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoLease, 503)
		_, err = l.Exchange(t.Context(), get(), func() error { return errors.New("other") })
		requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoLease, 503)
		require.Zero(t, f.bytes.Load())

		checks := 0
		_, err = read(l.Exchange(t.Context(), post("abc"), func() error {
			checks++
			require.Zero(t, f.bytes.Load())
			return nil
		}))
		require.NoError(t, err)
		require.Equal(t, 1, checks)
		require.Equal(t, strconv.FormatInt(time.Now().Add(2*time.Second).UnixMilli(), 10), deadline)

		r := get()
		r.Deadline = time.Now().Add(time.Second)
		want := strconv.FormatInt(r.Deadline.UnixMilli(), 10)
		_, err = call(l, r)
		require.NoError(t, err)
		require.Equal(t, want, deadline)
	})
}

// A cancelled request that keeps running holds a slot, and its late answer on
// a kept connection would be given to another caller.
func TestCancel(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer string
	}{
		{"before the answer", ""},
		{"within the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fake{}
				closed := false
				f.script = func(conn net.Conn, r *http.Request) {
					_, _ = io.WriteString(conn, c.answer)
					hang(conn, r)
					closed = true
				}
				l := f.relay(t)
				ctx, cancel := context.WithCancel(t.Context())
				var err error
				done := make(chan struct{})
				go func() {
					defer close(done)
					_, err = read(l.Exchange(ctx, get(), pass))
				}()
				synctest.Wait()
				cancel()
				<-done
				requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonCancelled, StatusClientClosedRequest)
				synctest.Wait()
				require.True(t, closed)
				f.script = nil
				got, err := call(l, get())
				require.NoError(t, err)
				require.Equal(t, "hello", got)
				require.EqualValues(t, 2, f.opened.Load())
			})
		})
	}
	t.Run("body closed early", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fake{script: func(c net.Conn, r *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello")
				hang(c, r)
			}}
			l := f.relay(t)
			resp, err := l.Exchange(t.Context(), get(), pass)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			synctest.Wait()
			require.Zero(t, f.open.Load())
			_, err = resp.Body.Read(make([]byte, 1))
			require.ErrorIs(t, err, errBodyClosed)
		})
	})
}

// A header of one connection that is passed on can change the framing of
// another, and a forged fence would pass the server's check.
func TestHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got *http.Request
		var body []byte
		f := &fake{script: func(c net.Conn, r *http.Request) {
			got = r
			body, _ = io.ReadAll(r.Body)
			write("HTTP/1.1 200 OK\r\nconnection: close, x-hop\r\nX-Hop: 1\r\nset-cookie: a=b; Path=/\r\n"+
				"Set-Cookie: c=d\r\nx-kept: 1\r\nPollen-Owner: forged\r\nContent-Length: 2\r\n\r\nok")(c, r)
		}}
		r := post("abc")
		r.Length = -1
		r.Shard.Key = "a b"
		r.Key, r.Caller, r.Kind = "a b", "mill", "view"
		r.Header = []pollenlatch.Header{
			{Name: "connection", Value: "keep-alive, x-hop"},
			{Name: "X-Hop", Value: "1"},
			{Name: "Te", Value: "trailers"},
			{Name: "pollen-fence", Value: "99"},
			{Name: "Pollen-Key", Value: "forged"},
			{Name: "Host", Value: "board.example"},
			{Name: "Cookie", Value: "a=b"},
			{Name: "X-Many", Value: "1"},
			{Name: "X-Many", Value: "2"},
		}
		resp, err := f.relay(t).Exchange(t.Context(), r, pass)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, "abc", string(body))
		require.Equal(t, "board.example", got.Host)
		require.Equal(t, "/lot/1?a=%2F", got.RequestURI)
		got.Header.Del(local.HeaderDeadline)
		require.Equal(t, http.Header{
			"Cookie": {"a=b"}, "X-Many": {"1", "2"}, local.HeaderFence: {"20"}, local.HeaderRange: {"3;key=a+b"},
			local.HeaderService: {r.Service}, local.HeaderKey: {r.Key}, local.HeaderCaller: {r.Caller}, local.HeaderKind: {r.Kind},
		}, got.Header)
		require.ElementsMatch(t, []pollenlatch.Header{
			{Name: "Set-Cookie", Value: "a=b; Path=/"}, {Name: "Set-Cookie", Value: "c=d"}, {Name: "X-Kept", Value: "1"},
		}, resp.Header)
		require.EqualValues(t, 2, resp.Length)
	})
}

// A body of a wrong length would be read as the start of the next answer.
func TestBodies(t *testing.T) {
	for _, c := range []struct {
		name, method, answer, want string
		length                     int64
		kept                       bool
	}{
		{"fixed", http.MethodGet, okAnswer, "hello", 5, true},
		{"long head", http.MethodGet, "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", headBytes-100) + "\r\nContent-Length: 5\r\n\r\nhello", "hello", 5, true},
		{"empty", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", 0, true},
		{"chunked", http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", -1, true},
		{"until closed", http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nhello", "hello", -1, false},
		{"head", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "", 5, true},
		{"no content", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", "", 0, true},
		{"interim answer", http.MethodGet, "HTTP/1.1 103 Early\r\n\r\n" + okAnswer, "hello", 5, true},
		{"server closes", http.MethodGet, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", "hello", 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fake{script: func(conn net.Conn, _ *http.Request) {
					_, _ = io.WriteString(conn, c.answer)
					if !c.kept {
						_ = conn.Close()
					}
				}}
				l := f.relay(t)
				for n := range int64(2) {
					r := get()
					r.Method = c.method
					resp, err := l.Exchange(t.Context(), r, pass)
					require.NoError(t, err)
					require.Equal(t, c.length, resp.Length)
					got, err := read(resp, nil)
					require.NoError(t, err)
					require.Equal(t, c.want, got)
					require.Equal(t, c.kept || n == 0, f.opened.Load() == 1)
				}
			})
		})
	}
}
