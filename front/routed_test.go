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

// atlas is a view with one route.
type atlas struct {
	*fakeView
	route  *pollenlatch.Route // nil before the first configuration
	limits pollenlatch.Limits
}

func (a atlas) Configured() bool { return a.route != nil }

func (a atlas) Route(host, path string) (pollenlatch.Route, bool) {
	if a.route == nil || host != a.route.Host || len(path) < len(a.route.Prefix) {
		return pollenlatch.Route{}, false
	}
	return *a.route, true
}

func (a atlas) Limits() (pollenlatch.Limits, bool) {
	return a.limits, a.limits != (pollenlatch.Limits{})
}

// routedControl serves an atlas.
type routedControl struct {
	pollenlatch.Control
	view    atlas
	serving error
}

func (c *routedControl) View() pollenlatch.View { return c.view }
func (c *routedControl) Serving() error         { return c.serving }

var testNames = pollenlatch.Headers{RequestID: "Id", Deadline: "Left", Key: "Key", Caller: "Caller", ExpectedServer: "Expected"}

func routedServer(t *testing.T) (*Server, *routedControl) {
	t.Helper()
	c := &routedControl{view: atlas{fakeView: &fakeView{}, route: &pollenlatch.Route{
		Name: "r1", Host: "a.example", Prefix: "/b/", Idempotent: true, Bulk: true, Class: pollenlatch.ClassUrgent,
		Timeout: time.Second, LatencyTarget: 200 * time.Millisecond, MaxAttempts: 2, Services: []pollenlatch.WeightedService{{Service: "s1", Weight: 1}},
	}}}
	names := testNames
	s, err := NewServer(Config{Control: c, Handler: pollenlatch.HandlerFunc(nil), Headers: &names, LocalService: "here"})
	require.NoError(t, err)
	return s, c
}

func routedRequest(header map[string]string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/b/x?y=1", nil)
	r.Host = "a.example:80"
	for k, v := range header {
		r.Header.Set(k, v)
	}
	return r
}

// The head of a routed request decides where it runs, how often and how long.
func TestParseRouted(t *testing.T) {
	s, _ := routedServer(t)
	now := time.Now()
	q, f := s.parseRouted(routedRequest(map[string]string{
		"Id": "i", "Key": "7", "Left": "600", "Caller": "forged", "Expected": "forged", "Accept": "*/*", "Connection": "X-Hop", "X-Hop": "1",
	}), now)
	require.Nil(t, f)
	h := q.RequestHead
	require.Equal(t, "i", h.ID)
	require.Equal(t, "7", h.Key)
	require.Equal(t, "s1", h.Service)
	require.Equal(t, "/b/x?y=1", h.URI)
	require.Equal(t, "here", h.Caller, "the caller's own word on who calls")
	require.True(t, h.Idempotent && h.Bulk)
	require.EqualValues(t, 2, h.MaxAttempts)
	require.Equal(t, now.Add(600*time.Millisecond), q.Deadline)
	require.Equal(t, now.Add(200*time.Millisecond), q.SoftDeadline)
	require.ElementsMatch(t, []pollenlatch.Header{
		{Name: "Accept", Value: "*/*"}, {Name: "Id", Value: "i"}, {Name: "Key", Value: "7"}, {Name: "Host", Value: "a.example:80"},
	}, h.Header, "headers that the exchange or the connection sets are passed on")
}

func TestParseRoutedRefuses(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(c *routedControl, r *http.Request)
		status int
		reason pollenlatch.Reason
	}{
		{"no configuration", func(c *routedControl, _ *http.Request) { c.view.route = nil }, 503, pollenlatch.ReasonNoConfig},
		{"an old configuration", func(c *routedControl, _ *http.Request) { c.serving = errors.New("not current") }, 503, pollenlatch.ReasonNoConfig},
		{"another host", func(_ *routedControl, r *http.Request) { r.Host = "b.example" }, 404, pollenlatch.ReasonNoRoute},
		{"another path", func(_ *routedControl, r *http.Request) { r.RequestURI = "/" }, 404, pollenlatch.ReasonNoRoute},
		{"an old protocol", func(_ *routedControl, r *http.Request) { r.ProtoMinor = 0 }, 505, pollenlatch.ReasonBadRequest},
		{"a tunnel", func(_ *routedControl, r *http.Request) { r.Method = http.MethodConnect }, 400, pollenlatch.ReasonBadRequest},
		{"a target without a slash", func(_ *routedControl, r *http.Request) { r.RequestURI = "*"; r.URL.Path = "*" }, 400, pollenlatch.ReasonBadRequest},
		{"two ids", func(_ *routedControl, r *http.Request) { r.Header["Id"] = []string{"a", "b"} }, 400, pollenlatch.ReasonBadRequest},
		{"two keys", func(_ *routedControl, r *http.Request) { r.Header["Key"] = []string{"1", "2"} }, 400, pollenlatch.ReasonBadRequest},
		{"a time that is no number", func(_ *routedControl, r *http.Request) { r.Header.Set("Left", "soon") }, 400, pollenlatch.ReasonBadRequest},
		{"a body beyond the limit", func(c *routedControl, r *http.Request) {
			c.view.limits.MaxBodyBytes = 10
			r.ContentLength = 11
		}, 413, pollenlatch.ReasonTooLarge},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, c := routedServer(t)
			r := routedRequest(map[string]string{"Id": "i"})
			tt.change(c, r)
			_, f := s.parseRouted(r, time.Now())
			require.NotNil(t, f)
			require.Equal(t, tt.status, f.Status)
			require.Equal(t, tt.reason, f.Reason)
			require.Equal(t, pollenlatch.OutcomeNotRun, f.Outcome)
			if tt.status == 503 {
				require.NotZero(t, f.RetryAfter, "the caller is not told when to come back")
			}
		})
	}
}

// A caller cannot make a request last longer than its route allows.
func TestRoutedTimeout(t *testing.T) {
	s, _ := routedServer(t)
	now := time.Now()
	for header, want := range map[string]time.Duration{"": time.Second, "300": 300 * time.Millisecond, "90000": time.Second} {
		r := routedRequest(map[string]string{"Id": "i"})
		if header != "" {
			r.Header.Set("Left", header)
		}
		q, f := s.parseRouted(r, now)
		require.Nil(t, f)
		require.Equal(t, want, q.Timeout, header)
		require.Equal(t, now.Add(want), q.Deadline, header)
	}
}

// A part gets its share over every run of requests, and a change of the parts
// counts at once.
func TestShares(t *testing.T) {
	var s shares
	r := &pollenlatch.Route{Name: "r1", Services: []pollenlatch.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := func(n int) map[string]int {
		m := make(map[string]int)
		for range n {
			m[s.choose(r)]++
		}
		return m
	}
	for range 5 {
		require.Equal(t, map[string]int{"a": 9, "b": 1}, count(10))
	}
	r.Services = []pollenlatch.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}, {Service: "c", Weight: 0}}
	require.Equal(t, map[string]int{"a": 5, "b": 5}, count(10), "a part without weight gets requests")
	r.Services = []pollenlatch.WeightedService{{Service: "c", Weight: 3}}
	require.Equal(t, map[string]int{"c": 10}, count(10))
}

// A call of a running request must be marked, or it waits behind new requests
// while the request that made it holds a slot.
func TestParseCall(t *testing.T) {
	s, _ := routedServer(t)
	s.cfg.LookupNested = func(id string) (call, repeat bool) { return id == "i.1" || id == "j.1", id == "j.1" }
	for id, want := range map[string][2]bool{"i.1": {true, false}, "j.1": {true, true}, "i": {}} {
		q, f := s.parseRouted(routedRequest(map[string]string{"Id": id, "Left": "600"}), time.Now())
		require.Nil(t, f)
		require.Equal(t, want, [2]bool{q.Nested, q.Retried}, id)
	}
}

// The objective of a caller that comes back runs since its first attempt.
func TestParseReturning(t *testing.T) {
	s, _ := routedServer(t)
	now := time.Now()
	parse := func(left string) *pollenlatch.Request {
		q, f := s.parseRouted(routedRequest(map[string]string{"Id": "i", "Left": left}), now)
		require.Nil(t, f)
		return q
	}
	for range 10 {
		require.Equal(t, now.Add(200*time.Millisecond), parse("3000").SoftDeadline)
	}
	q := parse("1900")
	require.InDelta(t, 1100, q.Waited.Milliseconds(), 20)
	require.True(t, q.SoftDeadline.Before(now), "an objective that has passed counts as open")
	require.Equal(t, now.Add(time.Second), q.Deadline)
}
