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

// parseRouted parses the head of a request that is routed by host and path. now
// is the time of its arrival.
func (s *Server) parseRouted(r *http.Request, now time.Time) (*pollenlatch.Request, *pollenlatch.Failure) {
	if !r.ProtoAtLeast(1, 1) {
		return nil, notRunFailure(pollenlatch.ReasonBadRequest, http.StatusHTTPVersionNotSupported, "HTTP/1.1 is required")
	}
	uri := r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	if r.Method == http.MethodConnect || !strings.HasPrefix(uri, "/") {
		return nil, badRequest("method %s with target %q is not supported", r.Method, r.RequestURI)
	}
	config, ok := s.cfg.Control.View().(pollenlatch.ConfigView)
	if !ok || !config.Configured() || s.cfg.Control.Serving() != nil {
		f := notRunFailure(pollenlatch.ReasonNoConfig, http.StatusServiceUnavailable, "this instance has no current configuration")
		f.RetryAfter = defaultRetryAfter
		return nil, f
	}
	path, _, _ := strings.Cut(uri, "?")
	route, ok := config.Route(hostOf(r), path)
	if !ok && s.cfg.ConfigCurrent != nil && !s.cfg.ConfigCurrent() {
		// The route may have been added meanwhile, and callers do not retry after 404.
		f := notRunFailure(pollenlatch.ReasonNoConfig, http.StatusServiceUnavailable, "no route for host %q and path %q, and the configuration of this instance may be outdated", r.Host, path)
		f.RetryAfter = defaultRetryAfter
		return nil, f
	}
	if !ok {
		return nil, notRunFailure(pollenlatch.ReasonNoRoute, http.StatusNotFound, "no route for host %q and path %q", r.Host, path)
	}
	req := &pollenlatch.Request{Trace: new(pollenlatch.RequestTrace)}
	h := &req.RequestHead
	h.Method, h.URI, h.Length = r.Method, uri, r.ContentLength
	h.Route, h.Idempotent, h.Class, h.Bulk, h.LargeBody = route.Name, route.Idempotent, route.Class, route.Bulk, route.LargeBody
	h.MaxAttempts = max(route.MaxAttempts, 1)
	h.Service = s.splitter.choose(&route)
	h.Caller = s.cfg.LocalService
	h.Attempt = 1
	names := s.cfg.Headers
	var f *pollenlatch.Failure
	if h.ID, f = singleHeader(r, names.RequestID); f != nil {
		return nil, f
	}
	if h.ID != "" && s.cfg.LookupNested != nil {
		h.Nested, h.Retried = s.cfg.LookupNested(h.ID)
	}
	if h.Key, f = singleHeader(r, names.Key); f != nil {
		return nil, f
	}
	left, f := s.callerTimeLeft(r)
	if f != nil {
		return nil, f
	}
	h.Timeout = route.Timeout
	if left >= 0 {
		h.Timeout = min(left, route.Timeout)
	}
	req.Deadline = now.Add(h.Timeout)
	if left > 0 && !h.Nested {
		req.Waited = s.callerWaits.estimate(route.Name, left, now)
	}
	if route.LatencyTarget > 0 {
		req.SoftDeadline = now.Add(route.LatencyTarget - req.Waited)
	}
	if limit := s.maxBodyBytes(config); h.Length > limit {
		return nil, notRunFailure(pollenlatch.ReasonTooLarge, http.StatusRequestEntityTooLarge, "body of %d bytes exceeds the limit of %d", h.Length, limit)
	}
	h.Header = append(s.forwardedRoutedHeaders(r.Header), pollenlatch.Header{Name: "Host", Value: r.Host})
	return req, nil
}

// hostOf returns the host of a request without its port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// callerTimeLeft returns how much longer the caller says that it will wait, or
// -1 when it does not say.
func (s *Server) callerTimeLeft(r *http.Request) (time.Duration, *pollenlatch.Failure) {
	v, f := singleHeader(r, s.cfg.Headers.Deadline)
	if f != nil || v == "" {
		return -1, f
	}
	ms, err := strconv.ParseInt(v, 10, 32)
	if err != nil {
		return 0, badRequest("header %s is %q; want a whole number of milliseconds", s.cfg.Headers.Deadline, v)
	}
	return max(0, time.Duration(ms)*time.Millisecond), nil
}

func (s *Server) maxBodyBytes(config pollenlatch.ConfigView) int64 {
	if l, ok := config.Limits(); ok && l.MaxBodyBytes > 0 {
		return l.MaxBodyBytes
	}
	return s.cfg.MaxBodyBytes
}

// forwardedRoutedHeaders returns the headers that are forwarded to the server,
// without those that the exchange with the server sets itself.
func (s *Server) forwardedRoutedHeaders(h http.Header) []pollenlatch.Header {
	names := s.cfg.Headers
	all := forwardedHeaders(h)
	out := all[:0]
	for _, x := range all {
		if x.Name != names.Deadline && x.Name != names.Caller && x.Name != names.ExpectedServer {
			out = append(out, x)
		}
	}
	return out
}

// trafficSplitter distributes the requests of routes over their services by
// smooth weighted round robin: every run of consecutive requests is split by
// the weights, not only the long-term average. The zero value is ready to use.
type trafficSplitter struct {
	mu     sync.Mutex
	routes map[string]*splitState
}

// splitState is the round-robin state of one route.
type splitState struct {
	services []pollenlatch.WeightedService
	credit   []int64 // by service
}

// maxRoutes limits the routes whose state is kept.
const maxRoutes = 1 << 14

// choose returns the service for the next request of a route.
func (s *trafficSplitter) choose(r *pollenlatch.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.routes[r.Name]
	if t == nil || !sameServices(t.services, r.Services) {
		if s.routes == nil || len(s.routes) >= maxRoutes {
			s.routes = make(map[string]*splitState)
		}
		t = &splitState{services: r.Services, credit: make([]int64, len(r.Services))}
		s.routes[r.Name] = t
	}
	best, total := 0, int64(0)
	for n, p := range t.services {
		t.credit[n] += int64(p.Weight)
		total += int64(p.Weight)
		if t.credit[n] > t.credit[best] {
			best = n
		}
	}
	t.credit[best] -= total
	return t.services[best].Service
}

func sameServices(a, b []pollenlatch.WeightedService) bool {
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
