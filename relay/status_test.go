package relay

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// Guards against a response with an invalid status that reaches the caller, or that
// becomes a success: the HTTP library returns 200 for 000.
func TestInvalidStatus(t *testing.T) {
	for name, newRelay := range map[string]func(*fakeServer, *testing.T) *Relay{
		"platform": (*fakeServer).newPlatformRelay,
		"endpoint": (*fakeServer).newRelay,
	} {
		t.Run(name, func(t *testing.T) {
			response := func(start string) string {
				return start + strings.TrimPrefix(validResponse("i1", "hello"), "HTTP/1.1 200 OK")
			}
			for _, start := range []string{
				"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 000", "HTTP/1.1 0 OK", "HTTP/1.1 20 OK",
				"HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1  000 OK", "\r\nHTTP/1.1 000 OK", "HTTP/1.0 000 OK", "HTTP/1.1 000 OK\r\nNot-Run: 1\r\nPollen-Outcome: not-run",
				"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK", "HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 100 X\r\n\r\nHTTP/1.1 600 OK",
				strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 2*maxInterim) + "HTTP/1.1 200 OK",
			} {
				f := &fakeServer{handle: respondAndClose(response(start))}
				got, err := doExchange(newRelay(f, t), platformRequest())
				require.Error(t, err, "%q gave %q", start, got)
				var refused *pollenlatch.Failure
				require.ErrorAs(t, err, &refused)
				require.Equal(t, pollenlatch.OutcomeUnknown, refused.Outcome, start)
				require.Equal(t, 502, refused.Status, start)
			}
			for _, start := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1  200 OK", "\r\nHTTP/1.1 200 OK", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", "HTTP/1.1 599 X", "HTTP/1.1 400 X"} {
				f := &fakeServer{handle: respondAndClose(response(start))}
				got, err := doExchange(newRelay(f, t), platformRequest())
				require.NoError(t, err, start)
				require.Equal(t, "hello", got, start)
			}
		})
	}
}
