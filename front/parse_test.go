package front

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

func newTestServer(t *testing.T) *Server {
	t.Helper()
	s, err := NewServer(Config{Control: newFakeControl(1), Handler: pollenlatch.HandlerFunc(nil)})
	require.NoError(t, err)
	return s
}

// A request that is parsed wrongly goes to the wrong owner.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		name, target string
		header       map[string]string
		want         pollenlatch.RequestHead
	}{
		{
			"headers", "/lots/7?x=1",
			map[string]string{"Pollen-Service": "claims", "Pollen-Key": "a/b"},
			pollenlatch.RequestHead{Service: "claims", Key: "a/b", URI: "/lots/7?x=1"},
		},
		{
			"path", "/s/claims/a%2Fb/lots/7?x=1", nil,
			pollenlatch.RequestHead{Service: "claims", Key: "a/b", URI: "/lots/7?x=1"},
		},
		{
			"path ends with the key", "/s/claims/k", nil,
			pollenlatch.RequestHead{Service: "claims", Key: "k", URI: "/"},
		},
		{
			"path without key", "/s/claims", nil,
			pollenlatch.RequestHead{Service: "claims", URI: "/"},
		},
		{
			"path with an empty key", "/s/claims//x", nil,
			pollenlatch.RequestHead{Service: "claims", URI: "/x"},
		},
		{
			"escapes after the key are kept", "/s/claims/k/a%2Fb", nil,
			pollenlatch.RequestHead{Service: "claims", Key: "k", URI: "/a%2Fb"},
		},
		{
			"key in the header, service in the path", "/s/claims//x",
			map[string]string{"Pollen-Key": "k"},
			pollenlatch.RequestHead{Service: "claims", Key: "k", URI: "/x"},
		},
		{
			"service header takes precedence over the path form", "/s/claims/k",
			map[string]string{"Pollen-Service": "listing"},
			pollenlatch.RequestHead{Service: "listing", URI: "/s/claims/k"},
		},
		{"all other headers", "/", map[string]string{
			"Pollen-Service": "claims", "Pollen-Caller": "c", "Pollen-Kind": "d", "Pollen-Timeout": "70000",
			"Idempotency-Key": "i", "Pollen-Attempt": "2",
		}, pollenlatch.RequestHead{
			Service: "claims", URI: "/", Caller: "c", Kind: "d", IdempotencyKey: "i", Attempt: 2, Timeout: DefaultMaxTimeout,
			Header: []pollenlatch.Header{{Name: "Idempotency-Key", Value: "i"}},
		}},
		{"Pollen headers and headers of the connection are not forwarded", "/", map[string]string{
			"Pollen-Service": "claims", "Pollen-Fence": "9", "Pollen-Deadline": "9", "Connection": "x-hop, close", "X-Hop": "1",
			"Te": "trailers", "Upgrade": "h2c", "Accept": "*/*",
		}, pollenlatch.RequestHead{Service: "claims", URI: "/", Header: []pollenlatch.Header{{Name: "Accept", Value: "*/*"}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, c.target, nil)
			for k, v := range c.header {
				r.Header.Set(k, v)
			}
			now := time.Unix(1000, 0)
			got, f := newTestServer(t).parse(r, now)
			require.Nil(t, f)
			want := c.want
			want.Method = http.MethodGet
			if want.Attempt == 0 {
				want.Attempt = 1
			}
			if want.Timeout == 0 {
				want.Timeout = DefaultTimeout
			}
			if want.Header == nil {
				want.Header = []pollenlatch.Header{}
			}
			require.Equal(t, want, got.RequestHead)
			require.Equal(t, now.Add(want.Timeout), got.Deadline)
		})
	}
}

// A malformed request that is not rejected here would fail later, when it may
// already have run.
func TestParseRejects(t *testing.T) {
	for _, c := range []struct {
		name   string
		set    func(r *http.Request)
		status int
	}{
		{"no service", func(r *http.Request) { r.URL.Path = "/x" }, 400},
		{"empty service", func(r *http.Request) { r.URL.Path = "/s//k" }, 400},
		{"long service", func(r *http.Request) { r.URL.Path = "/s/" + strings.Repeat("x", maxServiceBytes+1) }, 400},
		{"long key", func(r *http.Request) { r.URL.Path = "/s/claims/" + strings.Repeat("x", maxKeyBytes+1) }, 400},
		{"line break in the key", func(r *http.Request) { r.URL.Path = "/s/claims/a\r\nb" }, 400},
		{"two keys", func(r *http.Request) { r.Header["Pollen-Key"] = []string{"a", "b"} }, 400},
		{"header and path differ", func(r *http.Request) { r.Header.Set("Pollen-Key", "other") }, 400},
		{"long caller", func(r *http.Request) { r.Header.Set("Pollen-Caller", strings.Repeat("x", maxLabelBytes+1)) }, 400},
		{"long idempotency key", func(r *http.Request) { r.Header.Set("Idempotency-Key", strings.Repeat("x", maxIdempotencyKeyBytes+1)) }, 400},
		{"timeout 0", func(r *http.Request) { r.Header.Set("Pollen-Timeout", "0") }, 400},
		{"timeout with a unit", func(r *http.Request) { r.Header.Set("Pollen-Timeout", "5s") }, 400},
		{"attempt 0", func(r *http.Request) { r.Header.Set("Pollen-Attempt", "0") }, 400},
		{"CONNECT", func(r *http.Request) { r.Method = http.MethodConnect }, 400},
		{"HTTP/1.0", func(r *http.Request) { r.ProtoMinor = 0 }, 505},
		{"body too large", func(r *http.Request) { r.ContentLength = DefaultMaxBodyBytes + 1 }, 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, "/s/claims/k", nil)
			c.set(r)
			_, f := newTestServer(t).parse(r, time.Now())
			require.NotNil(t, f)
			require.Equal(t, pollenlatch.OutcomeNotRun, f.Outcome)
			require.Equal(t, c.status, f.Status)
		})
	}
}
