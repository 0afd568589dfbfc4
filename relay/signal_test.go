package relay

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// What a server says about itself must be taken from its own responses only: bytes of
// another request, or of anything else at the address, must neither set nor end a limit,
// nor take the server out of use.
func TestServerSignals(t *testing.T) {
	valid := validResponse("i1", "hello")
	with := func(header string) string { return strings.Replace(valid, "Proof", header+"\r\nProof", 1) }
	refusal := func(header string) string {
		return "HTTP/1.1 503 X\r\nNot-Run: 1\r\n" + header + "Content-Length: 2\r\n\r\nno"
	}
	type signals struct {
		limit   float64
		leaving bool
		counts  bool // the absence of a limit ends an earlier one
		load    pollenlatch.ServerLoad
	}
	for _, tt := range []struct {
		name, response string
		want           []signals
	}{
		{"a limit", with("Limit: 31.9"), []signals{{limit: 31.9, counts: true}}},
		{"no limit", valid, []signals{{counts: true}}},
		{"leaving", with("Leaving: 1"), []signals{{leaving: true, counts: true}}},
		{"not leaving", with("Leaving: 0"), []signals{{counts: true}}},
		{"a refusal with a limit", refusal("Limit: 7\r\n"), []signals{{limit: 7}}},
		{"a refusal by a leaving server", refusal("Leaving: 1\r\n"), []signals{{leaving: true}}},
		{"a refusal without a limit", refusal(""), []signals{{}}},
		{"an invalid limit", with("Limit: few"), []signals{{}}},
		{"a success without a signature", "HTTP/1.1 200 OK\r\nId: i1\r\nLimit: 7\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nno", nil},
		{"a late response to another request", strings.Replace(validResponse("i0", "old"), "Proof", "Limit: 7\r\nLeaving: 1\r\nProof", 1) + valid, []signals{{counts: true}}},
		{"no response", "", nil},
		{"a load", with("Load: 3,1,12,300"), []signals{{counts: true, load: pollenlatch.ServerLoad{Running: 3, Waiting: 1, Slots: 12, Slowness: 300}}}},
		{"a load without slowness", with("Load: 3,1,12"), []signals{{counts: true, load: pollenlatch.ServerLoad{Running: 3, Waiting: 1, Slots: 12}}}},
		{"an invalid load", with("Load: 3,1"), []signals{{counts: true}}},
		{"a refusal with a load", refusal("Load: 12,48,12,90\r\n"), []signals{{load: pollenlatch.ServerLoad{Running: 12, Waiting: 48, Slots: 12, Slowness: 90}}}},
		{"a load without a signature", "HTTP/1.1 200 OK\r\nId: i1\r\nLoad: 3,1,12\r\nContent-Length: 2\r\n\r\nno", nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeServer{handle: respondAndClose(tt.response)}
			relay := f.newPlatformRelay(t)
			var got []signals
			relay.cfg.Observe = func(s pollenlatch.ServerSignals) {
				one := signals{limit: s.Limit, leaving: s.Leaving, counts: !s.SentAt.IsZero()}
				if s.Load != nil {
					one.load = *s.Load
				}
				got = append(got, one)
			}
			_, _ = doExchange(relay, platformRequest())
			require.Equal(t, tt.want, got)
		})
	}
}
