package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

var plainNames = pollenlatch.Headers{
	RequestID: "Id", Deadline: "Left", Key: "Key", Caller: "Caller", ExpectedServer: "Expected", ServerName: "Server", Signature: "Proof", NotRun: "Not-Run",
}

func (f *fake) plain(t *testing.T) *Relay {
	t.Helper()
	l := New(Config{Dial: f.dial, MaxRun: func(string) time.Duration { return 300 * time.Millisecond }, Headers: &plainNames})
	l.SetEndpoint(pollenlatch.Endpoint{Addr: "server:80", MaxConns: 2, ID: "s1"})
	t.Cleanup(l.Close)
	return l
}

func plainGet() *pollenlatch.Request {
	r := get()
	r.ID, r.Caller = "i1", "shop"
	return r
}

// good is an answer that the caller may get.
func good(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nServer: s1\r\nProof: p\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// An answer that is not the server's own whole answer to this request must not
// reach the caller as one; and "not run" is told only on the server's word.
func TestPlainOutcomes(t *testing.T) {
	const notRun, unknown = pollenlatch.OutcomeNotRun, pollenlatch.OutcomeUnknown
	refused := "HTTP/1.1 %d X\r\nNot-Run: 1\r\nServer: %s\r\nContent-Length: 2\r\n\r\nno"
	for _, tt := range []struct {
		name, answer string
		outcome      pollenlatch.Outcome
		why          pollenlatch.Reason
		status       int
	}{
		{"full", fmt.Sprintf(refused, 503, "s1"), notRun, pollenlatch.ReasonQueueFull, 503},
		{"too many requests", fmt.Sprintf(refused, 429, "s1"), notRun, pollenlatch.ReasonQueueFull, 503},
		{"does not hold the key", fmt.Sprintf(refused, 421, "s1"), notRun, pollenlatch.ReasonServerRefused, 503},
		{"another server has the address", fmt.Sprintf(refused, 421, "s2"), notRun, pollenlatch.ReasonServerReplaced, 503},
		{"does not understand", fmt.Sprintf(refused, 400, "s1"), notRun, pollenlatch.ReasonBadRequest, 400},
		{"nothing", "", unknown, pollenlatch.ReasonConnectionLost, 502},
		{"without an id", strings.Replace(good("i1", "hello"), "Id: i1\r\n", "", 1), unknown, pollenlatch.ReasonInvalidResponse, 502},
		{"without proof", strings.Replace(good("i1", "hello"), "Proof: p\r\n", "", 1), unknown, pollenlatch.ReasonInvalidResponse, 502},
		{"encoded", strings.Replace(good("i1", "hello"), "Proof", "Content-Encoding: gzip\r\nProof", 1), unknown, pollenlatch.ReasonInvalidResponse, 502},
		{"to another request", good("i2", "hello"), unknown, pollenlatch.ReasonConnectionLost, 502},
		{"to other requests without end", strings.Repeat(good("i2", "hello"), 2*maxOther), unknown, pollenlatch.ReasonInvalidResponse, 502},
		{"to another request without a length", "HTTP/1.1 200 OK\r\nId: i2\r\nProof: p\r\n\r\nhello", unknown, pollenlatch.ReasonInvalidResponse, 502},
		{"cut", strings.TrimSuffix(good("i1", "hello"), "lo"), unknown, pollenlatch.ReasonConnectionLost, 502},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := &fake{script: write(tt.answer)}
			_, err := call(f.plain(t), plainGet())
			requireFailure(t, err, tt.outcome, tt.why, tt.status)
		})
	}
}

// A late answer to an earlier request on the connection comes before the one
// that is waited for.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	f := &fake{script: write(good("i0", "old") + good("i1", "hello"))}
	got, err := call(f.plain(t), plainGet())
	require.NoError(t, err)
	require.Equal(t, "hello", got)
}

// The server goes by these headers when it decides what to run and for how long.
func TestPlainHeaders(t *testing.T) {
	seen := make(chan http.Header, 1)
	f := &fake{script: func(c net.Conn, r *http.Request) {
		seen <- r.Header
		_, _ = io.WriteString(c, good("i1", "hello"))
	}}
	_, err := call(f.plain(t), plainGet())
	require.NoError(t, err)
	h := <-seen
	require.Equal(t, "s1", h.Get("Expected"))
	require.Equal(t, "shop", h.Get("Caller"))
	require.NotEmpty(t, h.Get("Left"))
	for name := range h {
		require.False(t, strings.HasPrefix(name, "Pollen-"), "header %s is not for such a server", name)
	}
}

// A request that has waited while the address went to a server of another
// service must not run there.
func TestServerOfAnotherService(t *testing.T) {
	f := &fake{script: write(good("i1", "hello"))}
	l := f.plain(t)
	l.SetEndpoint(pollenlatch.Endpoint{Addr: "server:80", MaxConns: 2, ID: "s2", Service: "other", Incarnation: 2})
	_, err := call(l, plainGet())
	requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerReplaced, 503)
	require.Zero(t, f.served.Load())
	l.SetEndpoint(pollenlatch.Endpoint{Addr: "server:80", MaxConns: 2, ID: "s3", Service: "listing", Incarnation: 3})
	got, err := call(l, plainGet())
	require.NoError(t, err)
	require.Equal(t, "hello", got)
}

// A connection that the server is about to close loses the request on it.
func TestServerTellsItsIdleTime(t *testing.T) {
	for seconds, opened := range map[int]int64{30: 1, 1: 2} {
		t.Run(fmt.Sprintf("%d s", seconds), func(t *testing.T) {
			f := &fake{script: func(c net.Conn, _ *http.Request) {
				keep := fmt.Sprintf("Keep-Alive: timeout=%d, max=9\r\nProof", seconds)
				_, _ = io.WriteString(c, strings.Replace(good("i1", "hello"), "Proof", keep, 1))
			}}
			l := f.plain(t)
			for range 2 {
				_, err := call(l, plainGet())
				require.NoError(t, err)
			}
			require.Equal(t, opened, f.opened.Load())
		})
	}
}
