package front

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"pollenlatch"
)

// parseRouted reads the head of a request that is routed by host and path. now
// is when it arrived.
func (s *Server) parseRouted(r *http.Request, now time.Time) (*pollenlatch.Request, *pollenlatch.Failure) {
	if !r.ProtoAtLeast(1, 1) {
		return nil, failed(pollenlatch.ReasonBadRequest, http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed")
	}
	uri := r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	if r.Method == http.MethodConnect || !strings.HasPrefix(uri, "/") {
		return nil, badRequest("method %s and target %q are not served", r.Method, r.RequestURI)
	}
	atlas, ok := s.cfg.Control.View().(pollenlatch.ConfigView)
	if !ok || !atlas.Configured() || s.cfg.Control.Serving() != nil {
		f := failed(pollenlatch.ReasonNoConfig, http.StatusServiceUnavailable, "this instance knows no configuration yet")
		f.RetryAfter = retryAfter
		return nil, f
	}
	path, _, _ := strings.Cut(uri, "?")
	route, ok := atlas.Route(hostOf(r), path)
	if !ok {
		return nil, failed(pollenlatch.ReasonNoRoute, http.StatusNotFound, "no route for host %q and path %q", r.Host, path)
	}
	q := &pollenlatch.Request{Trace: new(pollenlatch.RequestTrace)}
	h := &q.RequestHead
	h.Method, h.URI, h.Length = r.Method, uri, r.ContentLength
	h.Route, h.Idempotent, h.Class, h.Bulk = route.Name, route.Idempotent, route.Class, route.Bulk
	h.MaxAttempts = max(route.MaxAttempts, 1)
	h.Service = s.shares.choose(&route)
	h.Caller = s.cfg.LocalService
	h.Attempt = 1
	names := s.cfg.Headers
	var f *pollenlatch.Failure
	if h.ID, f = one(r, names.RequestID); f != nil {
		return nil, f
	}
	if h.ID != "" && s.cfg.LookupNested != nil {
		h.Nested, h.Retried = s.cfg.LookupNested(h.ID)
	}
	if h.Key, f = one(r, names.Key); f != nil {
		return nil, f
	}
	left, f := s.left(r)
	if f != nil {
		return nil, f
	}
	h.Timeout = route.Timeout
	if left >= 0 {
		h.Timeout = min(left, route.Timeout)
	}
	q.Deadline = now.Add(h.Timeout)
	if left > 0 && !h.Nested {
		q.Waited = s.waits.waited(route.Name, left, now)
	}
	if route.LatencyTarget > 0 {
		q.SoftDeadline = now.Add(route.LatencyTarget - q.Waited)
	}
	if limit := s.maxBody(atlas); h.Length > limit {
		return nil, failed(pollenlatch.ReasonTooLarge, http.StatusRequestEntityTooLarge, "body of %d bytes; the limit is %d", h.Length, limit)
	}
	h.Header = append(s.passedOnRouted(r.Header), pollenlatch.Header{Name: "Host", Value: r.Host})
	return q, nil
}

// hostOf returns the host of a request without its port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// left returns how long the caller of a request says that it will wait, or -1
// when it does not say so.
func (s *Server) left(r *http.Request) (time.Duration, *pollenlatch.Failure) {
	v, f := one(r, s.cfg.Headers.Deadline)
	if f != nil || v == "" {
		return -1, f
	}
	ms, err := strconv.ParseInt(v, 10, 32)
	if err != nil {
		return 0, badRequest("header %s is %q, not a number of milliseconds", s.cfg.Headers.Deadline, v)
	}
	return max(0, time.Duration(ms)*time.Millisecond), nil
}

func (s *Server) maxBody(a pollenlatch.ConfigView) int64 {
	if l, ok := a.Limits(); ok && l.MaxBodyBytes > 0 {
		return l.MaxBodyBytes
	}
	return s.cfg.MaxBodyBytes
}

// passedOnRouted returns the headers that the server gets besides those that
// the exchange sets itself.
func (s *Server) passedOnRouted(h http.Header) []pollenlatch.Header {
	names := s.cfg.Headers
	all := passedOn(h)
	out := all[:0]
	for _, x := range all {
		if x.Name != names.Deadline && x.Name != names.Caller && x.Name != names.ExpectedServer {
			out = append(out, x)
		}
	}
	return out
}

// shares spreads the requests of routes over their parts. The zero value is
// ready to use. Each part gets its weight's share over every run of requests,
// not only in the mean: smooth weighted round robin.
type shares struct {
	mu     sync.Mutex
	routes map[string]*turns
}

// turns is the state of one route.
type turns struct {
	parts  []pollenlatch.WeightedService
	credit []int64 // by part
}

// maxRoutes bounds the routes whose turns are remembered.
const maxRoutes = 1 << 14

// choose returns the service of the next request of a route.
func (s *shares) choose(r *pollenlatch.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.routes[r.Name]
	if t == nil || !sameParts(t.parts, r.Services) {
		if s.routes == nil || len(s.routes) >= maxRoutes {
			s.routes = make(map[string]*turns)
		}
		t = &turns{parts: r.Services, credit: make([]int64, len(r.Services))}
		s.routes[r.Name] = t
	}
	best, total := 0, int64(0)
	for n, p := range t.parts {
		t.credit[n] += int64(p.Weight)
		total += int64(p.Weight)
		if t.credit[n] > t.credit[best] {
			best = n
		}
	}
	t.credit[best] -= total
	return t.parts[best].Service
}

func sameParts(a, b []pollenlatch.WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for n := range a {
		if a[n] != b[n] {
			return false
		}
	}
	return true
}
