package relay

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// What a health check says of the cold state must be taken from the server itself and
// from valid values only. Anything else must neither end nor start the limit.
func TestCheckHealth(t *testing.T) {
	millis := func(n int) *time.Duration { d := time.Duration(n) * time.Millisecond; return &d }
	head := func(status, headers string) string {
		return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 2\r\n\r\nok"
	}
	for _, tt := range []struct {
		name, response string
		want           *time.Duration
		fails          bool
	}{
		{"cold", head("200 OK", "Cold: 2900\r\n"), millis(2900), false},
		{"warm", head("200 OK", "Cold: 0\r\n"), millis(0), false},
		{"not ready but cold", head("503 X", "Cold: 2900\r\n"), millis(2900), false},
		{"not stated", head("200 OK", ""), nil, false},
		{"negative", head("200 OK", "Cold: -1\r\n"), nil, false},
		{"no number", head("200 OK", "Cold: soon\r\n"), nil, false},
		{"too large", head("200 OK", "Cold: 99999999999\r\n"), nil, false},
		{"of another server", head("200 OK", "Server: s9\r\nCold: 0\r\n"), nil, true},
		{"invalid status", head("999 X", "Cold: 0\r\n"), nil, true},
		{"status 000", head("000 OK", "Cold: 0\r\n"), nil, true},
		{"status 099", head("099 OK", "Cold: 0\r\n"), nil, true},
		{"status 600", head("600 OK", "Cold: 0\r\n"), nil, true},
		{"status 000 after an interim response", "HTTP/1.1 100 X\r\n\r\n" + head("000 OK", "Cold: 0\r\n"), nil, true},
		{"no response", "", nil, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeServer{handle: respondAndClose(tt.response)}
			relay := f.newPlatformRelay(t)
			signals, err := relay.CheckHealth(t.Context(), "/healthz")
			require.Equal(t, tt.fails, err != nil, "%v", err)
			require.Equal(t, tt.want, signals.ColdFor)
			require.Nil(t, signals.Load)
		})
	}
}

// Guards against a load in a health check that is not used: after a restart it is the first
// that the daemon learns of the requests at the server.
func TestLoadInHealthCheck(t *testing.T) {
	f := &fakeServer{handle: respondAndClose("HTTP/1.1 200 OK\r\nLoad: 3,1,12,300\r\nContent-Length: 2\r\n\r\nok")}
	signals, err := f.newPlatformRelay(t).CheckHealth(t.Context(), "/healthz")
	require.NoError(t, err)
	require.Equal(t, &pollenlatch.ServerLoad{Running: 3, Waiting: 1, Slots: 12, Slowness: 300}, signals.Load)
}

// Each connection costs a server time. Guards against one for every health check, and
// against a check of a server that has ended on the connection to it.
func TestHealthCheckKeepsConnection(t *testing.T) {
	f := &fakeServer{handle: func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nCold: 0\r\nContent-Length: 2\r\n\r\nok")
	}}
	relay := f.newPlatformRelay(t)
	for range 3 {
		_, err := relay.CheckHealth(t.Context(), "/healthz")
		require.NoError(t, err)
	}
	require.EqualValues(t, 1, f.opened.Load())
	relay.SetEndpoint(pollenlatch.Endpoint{Addr: "server:80", MaxConns: 2, ID: "s2", Incarnation: 2})
	_, err := relay.CheckHealth(t.Context(), "/healthz")
	require.NoError(t, err)
	require.EqualValues(t, 2, f.opened.Load())
}
