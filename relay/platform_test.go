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

var platformHeaders = pollenlatch.Headers{
	RequestID: "Id", Deadline: "Left", Key: "Key", Caller: "Caller", ExpectedServer: "Expected", ServerName: "Server", Signature: "Proof", NotRun: "Not-Run", Load: "Load", Limit: "Limit", Leaving: "Leaving", Cold: "Cold",
}

func (f *fakeServer) newPlatformRelay(t *testing.T) *Relay {
	t.Helper()
	relay := New(Config{Dial: f.dial, MaxRun: func(string) time.Duration { return 300 * time.Millisecond }, Headers: &platformHeaders})
	relay.SetEndpoint(pollenlatch.Endpoint{Addr: "server:80", MaxConns: 2, ID: "s1"})
	t.Cleanup(relay.Close)
	return relay
}

func platformRequest() *pollenlatch.Request {
	r := getRequest()
	r.ID, r.Caller = "i1", "shop"
	return r
}

// validResponse returns a response that may be forwarded.
func validResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nServer: s1\r\nProof: p\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// A response that is incomplete, or that does not belong to the request, must not be
// forwarded. The outcome is "not run" only if the server states it.
func TestPlatformOutcomes(t *testing.T) {
	const notRun, unknown = pollenlatch.OutcomeNotRun, pollenlatch.OutcomeUnknown
	refused := "HTTP/1.1 %d X\r\nNot-Run: 1\r\nServer: %s\r\nContent-Length: 2\r\n\r\nno"
	for _, tt := range []struct {
		name, response string
		outcome        pollenlatch.Outcome
		reason         pollenlatch.Reason
		status         int
	}{
		{"server full", fmt.Sprintf(refused, 503, "s1"), notRun, pollenlatch.ReasonQueueFull, 503},
		{"too many requests", fmt.Sprintf(refused, 429, "s1"), notRun, pollenlatch.ReasonQueueFull, 503},
		{"key not granted to the server", fmt.Sprintf(refused, 421, "s1"), notRun, pollenlatch.ReasonServerRefused, 503},
		{"another server has the address", fmt.Sprintf(refused, 421, "s2"), notRun, pollenlatch.ReasonServerReplaced, 503},
		{"bad request", fmt.Sprintf(refused, 400, "s1"), notRun, pollenlatch.ReasonBadRequest, 400},
		{"no response", "", unknown, pollenlatch.ReasonConnectionLost, 502},
		{"no request ID", strings.Replace(validResponse("i1", "hello"), "Id: i1\r\n", "", 1), unknown, pollenlatch.ReasonInvalidResponse, 502},
		{"no signature", strings.Replace(validResponse("i1", "hello"), "Proof: p\r\n", "", 1), unknown, pollenlatch.ReasonInvalidResponse, 502},
		{"unrequested encoding", strings.Replace(validResponse("i1", "hello"), "Proof", "Content-Encoding: gzip\r\nProof", 1), unknown, pollenlatch.ReasonInvalidResponse, 502},
		{"response to another request", validResponse("i2", "hello"), unknown, pollenlatch.ReasonConnectionLost, 502},
		{"too many responses to other requests", strings.Repeat(validResponse("i2", "hello"), 2*maxSkippedResponses), unknown, pollenlatch.ReasonInvalidResponse, 502},
		{"response to another request without a length", "HTTP/1.1 200 OK\r\nId: i2\r\nProof: p\r\n\r\nhello", unknown, pollenlatch.ReasonInvalidResponse, 502},
		{"truncated body", strings.TrimSuffix(validResponse("i1", "hello"), "lo"), unknown, pollenlatch.ReasonConnectionLost, 502},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeServer{handle: respondAndClose(tt.response)}
			_, err := doExchange(f.newPlatformRelay(t), platformRequest())
			requireFailure(t, err, tt.outcome, tt.reason, tt.status)
		})
	}
}

// A late response to an earlier request on the connection must be skipped.
func TestResponseToOtherRequestIsSkipped(t *testing.T) {
	f := &fakeServer{handle: respondAndClose(validResponse("i0", "old") + validResponse("i1", "hello"))}
	got, err := doExchange(f.newPlatformRelay(t), platformRequest())
	require.NoError(t, err)
	require.Equal(t, "hello", got)
}

// The server decides by these headers whether it runs a request, and for how long.
func TestPlatformHeaders(t *testing.T) {
	seen := make(chan http.Header, 1)
	f := &fakeServer{handle: func(c net.Conn, r *http.Request) {
		seen <- r.Header
		_, _ = io.WriteString(c, validResponse("i1", "hello"))
	}}
	_, err := doExchange(f.newPlatformRelay(t), platformRequest())
	require.NoError(t, err)
	h := <-seen
	require.Equal(t, "s1", h.Get("Expected"))
	require.Equal(t, "shop", h.Get("Caller"))
	require.NotEmpty(t, h.Get("Left"))
	for name := range h {
		require.False(t, strings.HasPrefix(name, "Pollen-"), "header %s must not be sent to a platform's server", name)
	}
}

// A request must not be sent to a server of another service that has taken over the
// address meanwhile.
func TestServerOfAnotherService(t *testing.T) {
	f := &fakeServer{handle: respondAndClose(validResponse("i1", "hello"))}
	relay := f.newPlatformRelay(t)
	relay.SetEndpoint(pollenlatch.Endpoint{Addr: "server:80", MaxConns: 2, ID: "s2", Service: "other", Incarnation: 2})
	_, err := doExchange(relay, platformRequest())
	requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerReplaced, 503)
	require.Zero(t, f.served.Load())
	relay.SetEndpoint(pollenlatch.Endpoint{Addr: "server:80", MaxConns: 2, ID: "s3", Service: "listing", Incarnation: 3})
	got, err := doExchange(relay, platformRequest())
	require.NoError(t, err)
	require.Equal(t, "hello", got)
}

// A request on a connection that the server is about to close would be lost, so the
// idle timeout that the server states must be respected.
func TestServerIdleTimeout(t *testing.T) {
	for timeout, opened := range map[int]int64{30: 1, 1: 2} {
		t.Run(fmt.Sprintf("%d s", timeout), func(t *testing.T) {
			f := &fakeServer{handle: func(c net.Conn, _ *http.Request) {
				keep := fmt.Sprintf("Keep-Alive: timeout=%d, max=9\r\nProof", timeout)
				_, _ = io.WriteString(c, strings.Replace(validResponse("i1", "hello"), "Proof", keep, 1))
			}}
			relay := f.newPlatformRelay(t)
			for range 2 {
				_, err := doExchange(relay, platformRequest())
				require.NoError(t, err)
			}
			require.Equal(t, opened, f.opened.Load())
		})
	}
}
