package front

import (
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"pollenlatch"
)

// Limits on what callers send.
const (
	maxServiceBytes        = 64
	maxKeyBytes            = 1 << 10
	maxLabelBytes          = 128 // for the caller and the kind
	maxIdempotencyKeyBytes = 256
)

// Names of headers, in canonical form.
const (
	headerService     = "Pollen-Service"
	headerKey         = "Pollen-Key"
	headerCaller      = "Pollen-Caller"
	headerKind        = "Pollen-Kind"
	headerTimeout     = "Pollen-Timeout"
	headerAttempt     = "Pollen-Attempt"
	headerIdempotency = "Idempotency-Key"
	headerOwner       = "Pollen-Owner"
	headerOutcome     = "Pollen-Outcome"

	// pollenPrefix is the prefix of the headers that daemons exchange with
	// callers and servers. Callers may not send them to a server, which takes
	// its fence and deadline from them.
	pollenPrefix = "Pollen-"
	// pathPrefix is the prefix of paths of the form /s/{service}/{key}/...
	pathPrefix = "/s/"
)

// hopHeaders apply to one connection and are not forwarded (RFC 9110, 7.6.1).
// Content-Length and Expect are handled separately: by RequestHead.Length and
// by net/http.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// badRequest returns the failure of a malformed request.
func badRequest(format string, args ...any) *pollenlatch.Failure {
	return notRunFailure(pollenlatch.ReasonBadRequest, http.StatusBadRequest, format, args...)
}

// parse parses the head of a request that names its service in a header or in
// the path. now is the time of its arrival.
func (s *Server) parse(r *http.Request, now time.Time) (*pollenlatch.Request, *pollenlatch.Failure) {
	if !r.ProtoAtLeast(1, 1) {
		// With HTTP/1.0 a response of unknown length ends with the connection,
		// so a truncated response would look complete.
		return nil, notRunFailure(pollenlatch.ReasonBadRequest, http.StatusHTTPVersionNotSupported, "HTTP/1.1 is required")
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace || r.URL.Path == "" || r.URL.Path[0] != '/' {
		return nil, badRequest("method %s with target %q is not supported", r.Method, r.RequestURI)
	}
	req := &pollenlatch.Request{}
	h := &req.RequestHead
	h.Method, h.URI, h.Length = r.Method, r.URL.RequestURI(), r.ContentLength
	if f := readPollenHeaders(r, h); f != nil {
		return nil, f
	}
	if h.Service == "" {
		if f := parsePathForm(r.URL, h); f != nil {
			return nil, f
		}
	}
	if f := checkFieldValues(h); f != nil {
		return nil, f
	}
	timeout, f := s.timeout(r)
	if f != nil {
		return nil, f
	}
	req.Deadline, h.Timeout = now.Add(timeout), timeout
	if h.Length > s.cfg.MaxBodyBytes {
		return nil, notRunFailure(pollenlatch.ReasonTooLarge, http.StatusRequestEntityTooLarge, "body of %d bytes exceeds the limit of %d", h.Length, s.cfg.MaxBodyBytes)
	}
	h.Header = forwardedHeaders(r.Header)
	return req, nil
}

// singleHeader returns the value of a header that may occur once. It is empty
// when the header is absent.
func singleHeader(r *http.Request, name string) (string, *pollenlatch.Failure) {
	v := r.Header[name]
	switch len(v) {
	case 0:
		return "", nil
	case 1:
		return v[0], nil
	default:
		return "", badRequest("header %s occurs %d times", name, len(v))
	}
}

func readPollenHeaders(r *http.Request, h *pollenlatch.RequestHead) *pollenlatch.Failure {
	for _, x := range []struct {
		name string
		dst  *string
	}{
		{headerService, &h.Service},
		{headerKey, &h.Key},
		{headerCaller, &h.Caller},
		{headerKind, &h.Kind},
		{headerIdempotency, &h.IdempotencyKey},
	} {
		v, f := singleHeader(r, x.name)
		if f != nil {
			return f
		}
		*x.dst = v
	}
	v, f := singleHeader(r, headerAttempt)
	if f != nil {
		return f
	}
	h.Attempt = 1
	if v != "" {
		n, err := strconv.ParseUint(v, 10, 32)
		if err != nil || n == 0 {
			return badRequest("header %s is %q; want an integer of at least 1", headerAttempt, v)
		}
		h.Attempt = uint32(n)
	}
	return nil
}

// parsePathForm parses a path of the form /s/{service}/{key}/... and leaves the
// part after the key as the URI for the server. A key in a header takes
// precedence over an empty one in the path; different keys are an error.
func parsePathForm(u *url.URL, h *pollenlatch.RequestHead) *pollenlatch.Failure {
	rest, ok := strings.CutPrefix(u.EscapedPath(), pathPrefix)
	if !ok {
		return badRequest("no service given: neither header %s nor a path that starts with %s", headerService, pathPrefix)
	}
	service, rest, _ := strings.Cut(rest, "/")
	key, rest, _ := strings.Cut(rest, "/")
	service, err := url.PathUnescape(service)
	if err != nil {
		return badRequest("service in the path: %v", err)
	}
	key, err = url.PathUnescape(key)
	if err != nil {
		return badRequest("key in the path: %v", err)
	}
	if h.Key != "" && key != "" && h.Key != key {
		return badRequest("header %s and the path name different keys", headerKey)
	}
	if h.Key == "" {
		h.Key = key
	}
	h.Service = service
	h.URI = "/" + rest
	if u.RawQuery != "" {
		h.URI += "?" + u.RawQuery
	}
	return nil
}

func checkFieldValues(h *pollenlatch.RequestHead) *pollenlatch.Failure {
	if h.Service == "" {
		return badRequest("service is empty")
	}
	for _, x := range []struct {
		field, value string
		limit        int
	}{
		{"service", h.Service, maxServiceBytes},
		{"key", h.Key, maxKeyBytes},
		{"caller", h.Caller, maxLabelBytes},
		{"kind", h.Kind, maxLabelBytes},
		{"idempotency key", h.IdempotencyKey, maxIdempotencyKeyBytes},
	} {
		if len(x.value) > x.limit {
			return badRequest("%s of %d bytes exceeds the limit of %d", x.field, len(x.value), x.limit)
		}
		for i := range len(x.value) {
			// A key from the path may contain any byte. The exchange with the
			// server sends it as a header, where control characters would allow
			// header injection.
			if x.value[i] < ' ' || x.value[i] == 0x7f {
				return badRequest("%s contains a control character", x.field)
			}
		}
	}
	return nil
}

func (s *Server) timeout(r *http.Request) (time.Duration, *pollenlatch.Failure) {
	v, f := singleHeader(r, headerTimeout)
	if f != nil || v == "" {
		return s.cfg.Timeout, f
	}
	ms, err := strconv.ParseUint(v, 10, 32)
	if err != nil || ms == 0 {
		return 0, badRequest("header %s is %q; want at least 1 whole millisecond", headerTimeout, v)
	}
	return min(time.Duration(ms)*time.Millisecond, s.cfg.MaxTimeout), nil
}

// forwardedHeaders returns the headers that are forwarded to the server.
func forwardedHeaders(h http.Header) []pollenlatch.Header {
	connection := connectionHeaders(h)
	out := make([]pollenlatch.Header, 0, len(h))
	for name, values := range h {
		if hopHeaders[name] || strings.HasPrefix(name, pollenPrefix) || connection[name] {
			continue
		}
		for _, v := range values {
			out = append(out, pollenlatch.Header{Name: name, Value: v})
		}
	}
	return out
}

// connectionHeaders returns the headers that Connection lists, which apply to
// that connection only.
func connectionHeaders(h http.Header) map[string]bool {
	var m map[string]bool
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if m == nil {
				m = make(map[string]bool)
			}
			m[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return m
}

// readBody sets the body of a request. A short body is read completely first:
// the request can then always be retried, and it has not run if the caller
// disconnects while sending it.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, req *pollenlatch.Request) (*replayBody, *pollenlatch.Failure) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		req.Length = 0
		return nil, nil
	}
	// net/http clears the deadline at the end of the body.
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(req.Deadline); err != nil {
		return nil, notRunFailure(pollenlatch.ReasonBadRequest, http.StatusInternalServerError, "set the read deadline: %v", err)
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBodyBytes {
		// Without full duplex, net/http discards the unread part of the body
		// when the response starts, and the server would take the truncated
		// body for a complete one.
		if err := rc.EnableFullDuplex(); err != nil {
			return nil, notRunFailure(pollenlatch.ReasonBadRequest, http.StatusInternalServerError, "enable reading the body during the response: %v", err)
		}
		body := newReplayBody(http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes))
		req.Body = body.rewind()
		return body, nil
	}
	s.bodies.begin(rc, req.Deadline)
	defer s.bodies.end(rc)
	b := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, b); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, notRunFailure(pollenlatch.ReasonDeadlineExceeded, http.StatusRequestTimeout, "body did not arrive before the deadline")
		}
		return nil, badRequest("read the body: %v", err)
	}
	req.Body = &bufferedBody{data: b}
	return nil, nil
}
