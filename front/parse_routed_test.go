package front

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// fakeConfigView is a view with one route.
type fakeConfigView struct {
	*fakeView
	route  *pollenlatch.Route // nil before the first configuration
	limits pollenlatch.Limits
}

func (v fakeConfigView) Configured() bool { return v.route != nil }

func (v fakeConfigView) Route(host, path string) (pollenlatch.Route, bool) {
	if v.route == nil || host != v.route.Host || len(path) < len(v.route.Prefix) {
		return pollenlatch.Route{}, false
	}
	return *v.route, true
}

func (v fakeConfigView) Limits() (pollenlatch.Limits, bool) {
	return v.limits, v.limits != (pollenlatch.Limits{})
}

// routedControl is the control state with a fakeConfigView.
type routedControl struct {
	pollenlatch.Control
	view    fakeConfigView
	serving error
}

func (c *routedControl) View() pollenlatch.View { return c.view }
func (c *routedControl) Serving() error         { return c.serving }

var testHeaders = pollenlatch.Headers{RequestID: "Id", Deadline: "Left", Key: "Key", Caller: "Caller", ExpectedServer: "Expected"}

func newRoutedServer(t *testing.T) (*Server, *routedControl) {
	t.Helper()
	c := &routedControl{view: fakeConfigView{fakeView: &fakeView{}, route: &pollenlatch.Route{
		Name: "r1", Host: "a.example", Prefix: "/b/", Idempotent: true, Bulk: true, Class: pollenlatch.ClassUrgent,
		Timeout: time.Second, LatencyTarget: 200 * time.Millisecond, MaxAttempts: 2, Services: []pollenlatch.WeightedService{{Service: "s1", Weight: 1}},
	}}}
	headers := testHeaders
	s, err := NewServer(Config{Control: c, Handler: pollenlatch.HandlerFunc(nil), Headers: &headers, LocalService: "here"})
	require.NoError(t, err)
	return s, c
}

func newRoutedRequest(header map[string]string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/b/x?y=1", nil)
	r.Host = "a.example:80"
	for k, v := range header {
		r.Header.Set(k, v)
	}
	return r
}

// The head of a request with a Route decides where it runs, how often and for
// how long.
func TestParseRouted(t *testing.T) {
	s, _ := newRoutedServer(t)
	now := time.Now()
	req, f := s.parseRouted(newRoutedRequest(map[string]string{
		"Id": "i", "Key": "7", "Left": "600", "Caller": "forged", "Expected": "forged", "Accept": "*/*", "Connection": "X-Hop", "X-Hop": "1",
	}), now)
	require.Nil(t, f)
	h := req.RequestHead
	require.Equal(t, "i", h.ID)
	require.Equal(t, "7", h.Key)
	require.Equal(t, "s1", h.Service)
	require.Equal(t, "/b/x?y=1", h.URI)
	require.Equal(t, "here", h.Caller, "the Caller header of the caller must be ignored")
	require.True(t, h.Idempotent && h.Bulk)
	require.EqualValues(t, 2, h.MaxAttempts)
	require.Equal(t, now.Add(600*time.Millisecond), req.Deadline)
	require.Equal(t, now.Add(200*time.Millisecond), req.SoftDeadline)
	require.ElementsMatch(t, []pollenlatch.Header{
		{Name: "Accept", Value: "*/*"}, {Name: "Id", Value: "i"}, {Name: "Key", Value: "7"}, {Name: "Host", Value: "a.example:80"},
	}, h.Header, "headers of the exchange and of the connection must not be forwarded")
}

func TestParseRoutedRejects(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(c *routedControl, r *http.Request)
		status int
		reason pollenlatch.Reason
	}{
		{"no configuration", func(c *routedControl, _ *http.Request) { c.view.route = nil }, 503, pollenlatch.ReasonNoConfig},
		{"outdated configuration", func(c *routedControl, _ *http.Request) { c.serving = errors.New("not current") }, 503, pollenlatch.ReasonNoConfig},
		{"another host", func(_ *routedControl, r *http.Request) { r.Host = "b.example" }, 404, pollenlatch.ReasonNoRoute},
		{"another path", func(_ *routedControl, r *http.Request) { r.RequestURI = "/" }, 404, pollenlatch.ReasonNoRoute},
		{"HTTP/1.0", func(_ *routedControl, r *http.Request) { r.ProtoMinor = 0 }, 505, pollenlatch.ReasonBadRequest},
		{"CONNECT", func(_ *routedControl, r *http.Request) { r.Method = http.MethodConnect }, 400, pollenlatch.ReasonBadRequest},
		{"target without a slash", func(_ *routedControl, r *http.Request) { r.RequestURI = "*"; r.URL.Path = "*" }, 400, pollenlatch.ReasonBadRequest},
		{"two request IDs", func(_ *routedControl, r *http.Request) { r.Header["Id"] = []string{"a", "b"} }, 400, pollenlatch.ReasonBadRequest},
		{"two keys", func(_ *routedControl, r *http.Request) { r.Header["Key"] = []string{"1", "2"} }, 400, pollenlatch.ReasonBadRequest},
		{"deadline is not a number", func(_ *routedControl, r *http.Request) { r.Header.Set("Left", "soon") }, 400, pollenlatch.ReasonBadRequest},
		{"body too large", func(c *routedControl, r *http.Request) {
			c.view.limits.MaxBodyBytes = 10
			r.ContentLength = 11
		}, 413, pollenlatch.ReasonTooLarge},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, c := newRoutedServer(t)
			r := newRoutedRequest(map[string]string{"Id": "i"})
			tt.change(c, r)
			_, f := s.parseRouted(r, time.Now())
			require.NotNil(t, f)
			require.Equal(t, tt.status, f.Status)
			require.Equal(t, tt.reason, f.Reason)
			require.Equal(t, pollenlatch.OutcomeNotRun, f.Outcome)
			if tt.status == 503 {
				require.NotZero(t, f.RetryAfter, "Retry-After is missing")
			}
		})
	}
}

// A daemon that has lost the voters does not know of routes that were added since.
// Callers do not retry after 404, so it must not answer that.
func TestParseRoutedWithOutdatedConfig(t *testing.T) {
	s, _ := newRoutedServer(t)
	current := false
	s.cfg.ConfigCurrent = func() bool { return current }
	r := newRoutedRequest(map[string]string{"Id": "i"})
	_, f := s.parseRouted(r, time.Now())
	require.Nil(t, f, "known routes are served meanwhile")
	r.Host = "b.example"
	_, f = s.parseRouted(r, time.Now())
	require.Equal(t, http.StatusServiceUnavailable, f.Status)
	require.NotZero(t, f.RetryAfter)
	current = true
	_, f = s.parseRouted(r, time.Now())
	require.Equal(t, http.StatusNotFound, f.Status)
}

// A caller must not be able to extend the timeout of the route.
func TestRoutedTimeout(t *testing.T) {
	s, _ := newRoutedServer(t)
	now := time.Now()
	for header, want := range map[string]time.Duration{"": time.Second, "300": 300 * time.Millisecond, "90000": time.Second} {
		r := newRoutedRequest(map[string]string{"Id": "i"})
		if header != "" {
			r.Header.Set("Left", header)
		}
		req, f := s.parseRouted(r, now)
		require.Nil(t, f)
		require.Equal(t, want, req.Timeout, header)
		require.Equal(t, now.Add(want), req.Deadline, header)
	}
}

// Any run of requests must be split by the weights, and a change of the
// services must apply at once.
func TestTrafficSplitter(t *testing.T) {
	var splitter trafficSplitter
	r := &pollenlatch.Route{Name: "r1", Services: []pollenlatch.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := func(n int) map[string]int {
		m := make(map[string]int)
		for range n {
			m[splitter.choose(r)]++
		}
		return m
	}
	for range 5 {
		require.Equal(t, map[string]int{"a": 9, "b": 1}, count(10))
	}
	r.Services = []pollenlatch.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}, {Service: "c", Weight: 0}}
	require.Equal(t, map[string]int{"a": 5, "b": 5}, count(10), "a service without weight must get no requests")
	r.Services = []pollenlatch.WeightedService{{Service: "c", Weight: 3}}
	require.Equal(t, map[string]int{"c": 10}, count(10))
}

// A nested request must be marked. Otherwise it would queue behind new requests
// while the request that sent it holds a slot.
func TestParseNestedRequest(t *testing.T) {
	s, _ := newRoutedServer(t)
	s.cfg.LookupNested = func(id string) (nested, retried bool) { return id == "i.1" || id == "j.1", id == "j.1" }
	for id, want := range map[string][2]bool{"i.1": {true, false}, "j.1": {true, true}, "i": {}} {
		req, f := s.parseRouted(newRoutedRequest(map[string]string{"Id": id, "Left": "600"}), time.Now())
		require.Nil(t, f)
		require.Equal(t, want, [2]bool{req.Nested, req.Retried}, id)
	}
}

// The latency objective of a caller that retries starts at its first attempt.
func TestParseCallerRetry(t *testing.T) {
	s, _ := newRoutedServer(t)
	now := time.Now()
	parse := func(left string) *pollenlatch.Request {
		req, f := s.parseRouted(newRoutedRequest(map[string]string{"Id": "i", "Left": left}), now)
		require.Nil(t, f)
		return req
	}
	for range 10 {
		require.Equal(t, now.Add(200*time.Millisecond), parse("3000").SoftDeadline)
	}
	req := parse("1900")
	require.InDelta(t, 1100, req.Waited.Milliseconds(), 20)
	require.True(t, req.SoftDeadline.Before(now), "the objective must have passed")
	require.Equal(t, now.Add(time.Second), req.Deadline)
}
