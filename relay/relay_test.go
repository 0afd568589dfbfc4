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

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// fakeServer is a server on in-memory connections. It reads one request at a time
// and passes it to handle.
type fakeServer struct {
	handle   func(c net.Conn, r *http.Request) // nil: respond with okResponse
	dialErr  error                             // returned by dial
	received atomic.Int64                      // bytes
	opened   atomic.Int64
	open     atomic.Int64
	maxOpen  atomic.Int64
	served   atomic.Int64
	lastConn atomic.Pointer[net.Conn] // the server's end of the last connection
}

type countingConn struct {
	net.Conn
	f *fakeServer
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.f.received.Add(int64(n))
	return n, err
}

func (f *fakeServer) dial(context.Context, string) (net.Conn, error) {
	if f.dialErr != nil {
		return nil, f.dialErr
	}
	client, server := net.Pipe()
	f.opened.Add(1)
	f.lastConn.Store(&server)
	n := f.open.Add(1)
	for p := f.maxOpen.Load(); n > p && !f.maxOpen.CompareAndSwap(p, n); p = f.maxOpen.Load() {
	}
	go f.serve(countingConn{server, f})
	return client, nil
}

func (f *fakeServer) serve(c net.Conn) {
	defer f.open.Add(-1)
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		f.served.Add(1)
		if f.handle == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, okResponse)
			continue
		}
		f.handle(c, r)
	}
}

// respondAndClose returns a handler that writes s and closes the connection.
func respondAndClose(s string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, s)
		_ = c.Close()
	}
}

func readUntilClosed(c net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, c) }

func (f *fakeServer) newRelay(t *testing.T) *Relay {
	t.Helper()
	relay := New(Config{Dial: f.dial, MaxRun: func(string) time.Duration { return 2 * time.Second }})
	relay.SetEndpoint(pollenlatch.Endpoint{Addr: "server:80", MaxConns: 2})
	t.Cleanup(relay.Close)
	return relay
}

func getRequest() *pollenlatch.Request {
	return &pollenlatch.Request{
		RequestHead: pollenlatch.RequestHead{
			Service: "listing", Method: http.MethodGet, URI: "/lot/1?a=%2F",
			Shard: pollenlatch.Shard{Service: "listing", Range: 3}, Fence: 20,
		},
		Deadline: time.Now().Add(10 * time.Second),
	}
}

func postRequest(body string) *pollenlatch.Request {
	r := getRequest()
	r.Method, r.Length, r.Body = http.MethodPost, int64(len(body)), strings.NewReader(body)
	return r
}

func checkPasses() error { return nil }

func doExchange(relay *Relay, r *pollenlatch.Request) (string, error) {
	return readResponse(relay.Exchange(context.Background(), r, checkPasses))
}

func readResponse(resp *pollenlatch.Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(resp.Body)
	return string(b), errors.Join(err, resp.Body.Close())
}

func requireFailure(t *testing.T, err error, o pollenlatch.Outcome, reason pollenlatch.Reason, status int) {
	t.Helper()
	var f *pollenlatch.Failure
	require.ErrorAs(t, err, &f)
	require.Equal(t, []any{o.String(), reason, status}, []any{f.Outcome.String(), f.Reason, f.Status}, f.Detail)
}

// With a wrong outcome a caller would retry a request that has run, or fail one that
// could be retried. The cases are the rows of the outcome table for this package.
func TestOutcomes(t *testing.T) {
	const notRun, unknown = pollenlatch.OutcomeNotRun, pollenlatch.OutcomeUnknown
	refused := "HTTP/1.1 %d X\r\nPollen-Outcome: not-run\r\nContent-Length: 2\r\n\r\nno"
	for _, c := range []struct {
		name    string
		f       *fakeServer
		request func() *pollenlatch.Request
		outcome pollenlatch.Outcome
		reason  pollenlatch.Reason
		status  int
	}{
		{"dial fails", &fakeServer{dialErr: syscall.ECONNREFUSED}, getRequest, notRun, pollenlatch.ReasonUnreachable, 503},
		{"fence refused", &fakeServer{handle: respondAndClose(fmt.Sprintf(refused, 409))}, getRequest, notRun, pollenlatch.ReasonServerRefused, 503},
		{"server full", &fakeServer{handle: respondAndClose(fmt.Sprintf(refused, 429))}, getRequest, notRun, pollenlatch.ReasonQueueFull, 429},
		{"server refuses late request", &fakeServer{handle: respondAndClose(fmt.Sprintf(refused, 504))}, getRequest, notRun, pollenlatch.ReasonDeadlineExceeded, 504},
		{"connection lost", &fakeServer{handle: respondAndClose("")}, getRequest, unknown, pollenlatch.ReasonConnectionLost, 502},
		{"truncated head", &fakeServer{handle: respondAndClose("HTTP/1.1 200 OK\r\nContent-")}, getRequest, unknown, pollenlatch.ReasonConnectionLost, 502},
		{"not HTTP", &fakeServer{handle: respondAndClose("hello\r\n\r\n")}, getRequest, unknown, pollenlatch.ReasonConnectionLost, 502},
		{"protocol switched", &fakeServer{handle: respondAndClose("HTTP/1.1 101 X\r\n\r\n")}, getRequest, unknown, pollenlatch.ReasonConnectionLost, 502},
		{"truncated body", &fakeServer{handle: respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello")}, getRequest, unknown, pollenlatch.ReasonConnectionLost, 502},
		{"truncated chunk", &fakeServer{handle: respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello")}, getRequest, unknown, pollenlatch.ReasonConnectionLost, 502},
		{"last chunk missing", &fakeServer{handle: respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")}, getRequest, unknown, pollenlatch.ReasonConnectionLost, 502},
		{"truncated trailer", &fakeServer{handle: respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n")}, getRequest, unknown, pollenlatch.ReasonConnectionLost, 502},
		{"no response within maxrun", &fakeServer{handle: readUntilClosed}, getRequest, unknown, pollenlatch.ReasonDeadlineExceeded, 504},
		{"body stalls", &fakeServer{handle: func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello")
			readUntilClosed(c, r)
		}}, getRequest, unknown, pollenlatch.ReasonDeadlineExceeded, 504},
		{"deadline passed already", &fakeServer{}, func() *pollenlatch.Request {
			r := getRequest()
			r.Deadline = time.Now()
			return r
		}, notRun, pollenlatch.ReasonDeadlineExceeded, 504},
		{"caller's body fails before first write", &fakeServer{}, func() *pollenlatch.Request {
			r := postRequest("abc")
			r.Body = io.MultiReader(strings.NewReader("a"), failingReader{})
			return r
		}, notRun, pollenlatch.ReasonBadRequest, 400},
		{"caller's body fails after first write", &fakeServer{}, func() *pollenlatch.Request {
			r := postRequest(strings.Repeat("a", 3*writeBufferBytes))
			r.Length++
			r.Body = io.MultiReader(r.Body, failingReader{})
			return r
		}, unknown, pollenlatch.ReasonCancelled, StatusClientClosedRequest},
		{"second request in the URI", &fakeServer{}, func() *pollenlatch.Request {
			r := getRequest()
			r.URI = "/ HTTP/1.1\r\n\r\nGET /"
			return r
		}, notRun, pollenlatch.ReasonBadRequest, 400},
		{"line break in the key", &fakeServer{}, func() *pollenlatch.Request {
			r := getRequest()
			r.Key = "lot-1\r\nPollen-Fence: 99"
			return r
		}, notRun, pollenlatch.ReasonBadRequest, 400},
		{"second header in a value", &fakeServer{}, func() *pollenlatch.Request {
			r := getRequest()
			r.Header = []pollenlatch.Header{{Name: "A", Value: "b\r\nC: d"}}
			return r
		}, notRun, pollenlatch.ReasonBadRequest, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				relay := c.f.newRelay(t)
				_, err := doExchange(relay, c.request())
				requireFailure(t, err, c.outcome, c.reason, c.status)
				require.NotErrorIs(t, err, io.EOF)
				require.Zero(t, relay.pool.inUse, "connections in use after the exchange")
				if c.outcome == notRun && c.reason != pollenlatch.ReasonServerRefused && c.status != 429 && c.name != "server refuses late request" {
					require.Zero(t, c.f.received.Load(), "bytes received by the server")
				}
			})
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("caller's connection was reset") }

// If the check were not the last step before the write, a process that was paused in
// between could write after its lease has expired. With a deadline beyond maxrun a
// request could run for too long.
func TestCheckIsLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var deadline string
		f := &fakeServer{}
		f.handle = func(c net.Conn, r *http.Request) {
			deadline = r.Header.Get(local.HeaderDeadline)
			respondAndClose(okResponse)(c, r)
		}
		relay := f.newRelay(t)
		_, err := relay.Exchange(t.Context(), postRequest("abc"), func() error {
			return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoLease, 503, "lease has expired")
		})
		requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoLease, 503)
		_, err = relay.Exchange(t.Context(), getRequest(), func() error { return errors.New("other") })
		requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoLease, 503)
		require.Zero(t, f.received.Load())

		checks := 0
		_, err = readResponse(relay.Exchange(t.Context(), postRequest("abc"), func() error {
			checks++
			require.Zero(t, f.received.Load())
			return nil
		}))
		require.NoError(t, err)
		require.Equal(t, 1, checks)
		require.Equal(t, strconv.FormatInt(time.Now().Add(2*time.Second).UnixMilli(), 10), deadline)

		r := getRequest()
		r.Deadline = time.Now().Add(time.Second)
		want := strconv.FormatInt(r.Deadline.UnixMilli(), 10)
		_, err = doExchange(relay, r)
		require.NoError(t, err)
		require.Equal(t, want, deadline)
	})
}

// A cancelled request must be stopped, because it occupies a slot. Its connection
// must not be reused, because its late response would reach another caller.
func TestCancel(t *testing.T) {
	for _, c := range []struct {
		name     string
		response string
	}{
		{"before the response", ""},
		{"within the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeServer{}
				closed := false
				f.handle = func(conn net.Conn, r *http.Request) {
					_, _ = io.WriteString(conn, c.response)
					readUntilClosed(conn, r)
					closed = true
				}
				relay := f.newRelay(t)
				ctx, cancel := context.WithCancel(t.Context())
				var err error
				done := make(chan struct{})
				go func() {
					defer close(done)
					_, err = readResponse(relay.Exchange(ctx, getRequest(), checkPasses))
				}()
				synctest.Wait()
				cancel()
				<-done
				requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonCancelled, StatusClientClosedRequest)
				synctest.Wait()
				require.True(t, closed)
				f.handle = nil
				got, err := doExchange(relay, getRequest())
				require.NoError(t, err)
				require.Equal(t, "hello", got)
				require.EqualValues(t, 2, f.opened.Load())
			})
		})
	}
	t.Run("body closed early", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeServer{handle: func(c net.Conn, r *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello")
				readUntilClosed(c, r)
			}}
			relay := f.newRelay(t)
			resp, err := relay.Exchange(t.Context(), getRequest(), checkPasses)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			synctest.Wait()
			require.Zero(t, f.open.Load())
			_, err = resp.Body.Read(make([]byte, 1))
			require.ErrorIs(t, err, errBodyClosed)
		})
	})
}

// A hop-by-hop header that is forwarded could change the framing of another
// connection, and a forged fence would pass the server's check.
func TestHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got *http.Request
		var body []byte
		f := &fakeServer{handle: func(c net.Conn, r *http.Request) {
			got = r
			body, _ = io.ReadAll(r.Body)
			respondAndClose("HTTP/1.1 200 OK\r\nconnection: close, x-hop\r\nX-Hop: 1\r\nset-cookie: a=b; Path=/\r\n"+
				"Set-Cookie: c=d\r\nx-kept: 1\r\nPollen-Owner: forged\r\nContent-Length: 2\r\n\r\nok")(c, r)
		}}
		r := postRequest("abc")
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
		resp, err := f.newRelay(t).Exchange(t.Context(), r, checkPasses)
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

// If the length of a body were wrong, a part of it would be read as the start of the
// next response.
func TestBodies(t *testing.T) {
	for _, c := range []struct {
		name, method, response, want string
		length                       int64
		kept                         bool
	}{
		{"fixed", http.MethodGet, okResponse, "hello", 5, true},
		{"long head", http.MethodGet, "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", maxHeadBytes-100) + "\r\nContent-Length: 5\r\n\r\nhello", "hello", 5, true},
		{"empty", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", 0, true},
		{"chunked", http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", -1, true},
		{"until closed", http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nhello", "hello", -1, false},
		{"head", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "", 5, true},
		{"no content", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", "", 0, true},
		{"interim response", http.MethodGet, "HTTP/1.1 103 Early\r\n\r\n" + okResponse, "hello", 5, true},
		{"server closes", http.MethodGet, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", "hello", 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeServer{handle: func(conn net.Conn, _ *http.Request) {
					_, _ = io.WriteString(conn, c.response)
					if !c.kept {
						_ = conn.Close()
					}
				}}
				relay := f.newRelay(t)
				for n := range int64(2) {
					r := getRequest()
					r.Method = c.method
					resp, err := relay.Exchange(t.Context(), r, checkPasses)
					require.NoError(t, err)
					require.Equal(t, c.length, resp.Length)
					got, err := readResponse(resp, nil)
					require.NoError(t, err)
					require.Equal(t, c.want, got)
					require.Equal(t, c.kept || n == 0, f.opened.Load() == 1)
				}
			})
		})
	}
}

// A server in trouble may send a body without end. Passed on until the deadline, it
// fills the link and the memory of the instance, and the caller can't tell that the
// response is not complete.
func TestBodyWithoutEnd(t *testing.T) {
	const limit = 1 << 20
	chunk := strings.Repeat("x", 1<<10)
	for _, tt := range []struct{ name, head, part string }{
		{"until closed", "HTTP/1.1 200 OK\r\n\r\n", chunk},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + chunk + "\r\n"},
		{"in small chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("5\r\nhello\r\n", 100)},
		{"of a stated length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", chunk},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent := 0
				f := &fakeServer{handle: func(conn net.Conn, _ *http.Request) {
					_, err := io.WriteString(conn, tt.head)
					for err == nil {
						_, err = io.WriteString(conn, tt.part)
						sent += len(tt.part)
					}
				}}
				relay := f.newRelay(t)
				relay.cfg.MaxResponseBytes = limit
				got, err := doExchange(relay, getRequest())
				requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonInvalidResponse, http.StatusBadGateway)
				require.LessOrEqual(t, len(got), limit)
				synctest.Wait()
				require.Zero(t, f.open.Load(), "the connection is still open")
				require.Less(t, sent, limit+limit/4)
			})
		})
	}
}
