package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// requireNotRefused checks that a request which a server runs was not reported as not
// run.
func requireNotRefused(t *testing.T, err error) {
	t.Helper()
	var f *pollenlatch.Failure
	if err == nil {
		return
	}
	require.ErrorAs(t, err, &f)
	require.NotEqual(t, pollenlatch.OutcomeNotRun, f.Outcome, f.Error())
}

// Guards against requests that are reported as not run while the server runs them,
// because it has sent an earlier refusal once more.
func TestRepeatedRefusal(t *testing.T) {
	refusal := "HTTP/1.1 503 X\r\nNot-Run: 1\r\nId: i1\r\nServer: s1\r\nContent-Length: 2\r\n\r\nno"
	for _, tt := range []struct {
		name, refusal, response string
		second                  string // ID of the second request
		platform                bool
	}{
		{"of another request", refusal, validResponse("i2", "hello"), "i2", true},
		{"of the same request, sent again", refusal, validResponse("i1", "hello"), "i1", true},
		{"without a request ID", strings.Replace(refusal, "Id: i1\r\n", "", 1), validResponse("i2", "hello"), "i2", true},
		{"of another status", strings.Replace(refusal, "503", "421", 1), validResponse("i1", "hello"), "i1", true},
		{"endpoint protocol", "HTTP/1.1 503 X\r\nPollen-Outcome: not-run\r\nContent-Length: 2\r\n\r\nno", okResponse, "i2", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var requests atomic.Int64
			f := &fakeServer{}
			f.handle = func(c net.Conn, _ *http.Request) {
				if requests.Add(1) == 1 {
					_, _ = io.WriteString(c, tt.refusal)
					return
				}
				if f.opened.Load() == 1 { // still on the connection of the refusal
					_, _ = io.WriteString(c, tt.refusal)
				}
				_, _ = io.WriteString(c, tt.response)
			}
			relay := f.newRelay(t)
			if tt.platform {
				relay = f.newPlatformRelay(t)
			}
			r := platformRequest()
			_, err := doExchange(relay, r)
			var refused *pollenlatch.Failure
			require.ErrorAs(t, err, &refused)
			require.Equal(t, pollenlatch.OutcomeNotRun, refused.Outcome)
			r = platformRequest()
			r.ID = tt.second
			_, err = doExchange(relay, r)
			requireNotRefused(t, err)
		})
	}
}

// Guards against successful responses made of a head that the server did not send
// completely.
func TestTruncatedHead(t *testing.T) {
	for name, response := range map[string]string{
		"with a length":     validResponse("i1", "hello"),
		"chunked":           "HTTP/1.1 200 OK\r\nId: i1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"until the close":   "HTTP/1.1 200 OK\r\nId: i1\r\nProof: p\r\nConnection: close\r\n\r\n",
		"bare line feeds":   "HTTP/1.1 200 OK\nId: i1\nProof: p\nContent-Length: 5\n\nhello",
		"after a refusal":   "HTTP/1.1 503 X\r\nId: i0\r\nContent-Length: 0\r\n\r\n" + validResponse("i1", "hello"),
		"length comes last": "HTTP/1.1 200 OK\r\nProof: p\r\nId: i1\r\nContent-Length: 5\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			head := strings.LastIndex(response, "\r\n\r\nhello")
			if head < 0 {
				head = strings.LastIndex(response, "\n\n")
			}
			if head < 0 || name == "chunked" {
				head = strings.Index(response, "\r\n\r\n")
			}
			for n := range head {
				f := &fakeServer{handle: respondAndClose(response[:n])}
				got, err := doExchange(f.newPlatformRelay(t), platformRequest())
				require.Error(t, err, "response %q with the body %q from the head %q", response, got, response[:n])
			}
		})
	}
}

// Guards against a success from the truncated head of a server that resets its
// connection.
func TestTruncatedHeadOverTCP(t *testing.T) {
	response := validResponse("i1", "hello")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	var cut atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(c, response[:cut.Load()])
			if cut.Load()%2 == 0 {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	for n := range strings.Index(response, "\r\n\r\n") + 3 {
		cut.Store(int64(n))
		relay := New(Config{MaxRun: func(string) time.Duration { return time.Second }, Headers: &platformHeaders})
		relay.SetEndpoint(pollenlatch.Endpoint{Addr: l.Addr().String(), MaxConns: 1, ID: "s1"})
		got, err := doExchange(relay, platformRequest())
		relay.Close()
		require.Error(t, err, "a body %q from the head %q", got, response[:n])
	}
}
