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

// Bounds of what a caller sends, in bytes.
const (
	maxServiceName = 64
	maxKey         = 1 << 10
	maxName        = 128 // caller, kind
	maxIdempotency = 256
)

// Names of the headers of section 6, in canonical form.
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

	// ownPrefix starts the names of all headers of ours. Those of a caller are
	// not passed on: a server takes its fence and deadline from them.
	ownPrefix = "Pollen-"
	// pathPrefix starts the path form /s/{service}/{key}/...
	pathPrefix = "/s/"
)

// hopHeaders concern one connection and are not passed on (RFC 9110, 7.6.1).
// Content-Length and Expect are settled by the head and by net/http.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// badRequest returns the failure of a request that cannot be understood.
func badRequest(format string, args ...any) *pollenlatch.Failure {
	return failed(pollenlatch.ReasonBadRequest, http.StatusBadRequest, format, args...)
}

// parse reads the head of a request. now is when it arrived.
func (s *Server) parse(r *http.Request, now time.Time) (*pollenlatch.Request, *pollenlatch.Failure) {
	if !r.ProtoAtLeast(1, 1) {
		// An answer of unknown length to HTTP/1.0 ends with the connection, so
		// one that was cut short looks complete.
		return nil, failed(pollenlatch.ReasonBadRequest, http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed")
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace || r.URL.Path == "" || r.URL.Path[0] != '/' {
		return nil, badRequest("method %s and target %q are not served", r.Method, r.RequestURI)
	}
	q := &pollenlatch.Request{}
	h := &q.RequestHead
	h.Method, h.URI, h.Length = r.Method, r.URL.RequestURI(), r.ContentLength
	if f := readOwnHeaders(r, h); f != nil {
		return nil, f
	}
	if h.Service == "" {
		if f := readPath(r.URL, h); f != nil {
			return nil, f
		}
	}
	if f := checkNames(h); f != nil {
		return nil, f
	}
	timeout, f := s.timeout(r)
	if f != nil {
		return nil, f
	}
	q.Deadline, h.Timeout = now.Add(timeout), timeout
	if h.Length > s.cfg.MaxBodyBytes {
		return nil, failed(pollenlatch.ReasonTooLarge, http.StatusRequestEntityTooLarge, "body of %d bytes; the limit is %d", h.Length, s.cfg.MaxBodyBytes)
	}
	h.Header = passedOn(r.Header)
	return q, nil
}

// one returns the only value of a header.
func one(r *http.Request, name string) (string, *pollenlatch.Failure) {
	v := r.Header[name]
	switch len(v) {
	case 0:
		return "", nil
	case 1:
		return v[0], nil
	default:
		return "", badRequest("header %s is sent %d times", name, len(v))
	}
}

func readOwnHeaders(r *http.Request, h *pollenlatch.RequestHead) *pollenlatch.Failure {
	for _, x := range []struct {
		name string
		to   *string
	}{
		{headerService, &h.Service},
		{headerKey, &h.Key},
		{headerCaller, &h.Caller},
		{headerKind, &h.Kind},
		{headerIdempotency, &h.IdempotencyKey},
	} {
		v, f := one(r, x.name)
		if f != nil {
			return f
		}
		*x.to = v
	}
	v, f := one(r, headerAttempt)
	if f != nil {
		return f
	}
	h.Attempt = 1
	if v != "" {
		n, err := strconv.ParseUint(v, 10, 32)
		if err != nil || n == 0 {
			return badRequest("header %s is %q, not a number from 1", headerAttempt, v)
		}
		h.Attempt = uint32(n)
	}
	return nil
}

// readPath reads the path form. The server gets what follows the key. A key in
// the header goes before one in the path.
func readPath(u *url.URL, h *pollenlatch.RequestHead) *pollenlatch.Failure {
	rest, ok := strings.CutPrefix(u.EscapedPath(), pathPrefix)
	if !ok {
		return badRequest("no service: neither header %s nor a path that starts with %s", headerService, pathPrefix)
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

func checkNames(h *pollenlatch.RequestHead) *pollenlatch.Failure {
	if h.Service == "" {
		return badRequest("the service is empty")
	}
	for _, x := range []struct {
		what, value string
		limit       int
	}{
		{"service", h.Service, maxServiceName},
		{"key", h.Key, maxKey},
		{"caller", h.Caller, maxName},
		{"kind", h.Kind, maxName},
		{"idempotency key", h.IdempotencyKey, maxIdempotency},
	} {
		if len(x.value) > x.limit {
			return badRequest("%s of %d bytes; the limit is %d", x.what, len(x.value), x.limit)
		}
		for i := range len(x.value) {
			// A key from the path may hold any byte; as a header of the
			// server's request, control bytes would end the header.
			if x.value[i] < ' ' || x.value[i] == 0x7f {
				return badRequest("%s holds a control character", x.what)
			}
		}
	}
	return nil
}

func (s *Server) timeout(r *http.Request) (time.Duration, *pollenlatch.Failure) {
	v, f := one(r, headerTimeout)
	if f != nil || v == "" {
		return s.cfg.Timeout, f
	}
	ms, err := strconv.ParseUint(v, 10, 32)
	if err != nil || ms == 0 {
		return 0, badRequest("header %s is %q, not a number of milliseconds from 1", headerTimeout, v)
	}
	return min(time.Duration(ms)*time.Millisecond, s.cfg.MaxTimeout), nil
}

// passedOn returns the headers that the server gets.
func passedOn(h http.Header) []pollenlatch.Header {
	named := connectionNames(h)
	out := make([]pollenlatch.Header, 0, len(h))
	for name, values := range h {
		if hopHeaders[name] || strings.HasPrefix(name, ownPrefix) || named[name] {
			continue
		}
		for _, v := range values {
			out = append(out, pollenlatch.Header{Name: name, Value: v})
		}
	}
	return out
}

// connectionNames returns the headers that Connection names as its own.
func connectionNames(h http.Header) map[string]bool {
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

// readBody sets the request's body. A short one is read at once: the request
// can then be repeated, and nothing has run if the caller breaks it off.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, q *pollenlatch.Request) (*replay, *pollenlatch.Failure) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		q.Length = 0
		return nil, nil
	}
	// net/http clears the deadline at the end of the body.
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(q.Deadline); err != nil {
		return nil, failed(pollenlatch.ReasonBadRequest, http.StatusInternalServerError, "set the read deadline: %v", err)
	}
	if r.ContentLength < 0 || r.ContentLength > smallBody {
		// Otherwise net/http drops what it has not read of the body when the
		// answer starts, and the server would take the rest for the whole.
		if err := rc.EnableFullDuplex(); err != nil {
			return nil, failed(pollenlatch.ReasonBadRequest, http.StatusInternalServerError, "read the body during the answer: %v", err)
		}
		body := newReplay(http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes))
		q.Body = body.rewind()
		return body, nil
	}
	b := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, b); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, failed(pollenlatch.ReasonDeadlineExceeded, http.StatusRequestTimeout, "the body did not arrive before the deadline")
		}
		return nil, badRequest("read the body: %v", err)
	}
	q.Body = &memory{data: b}
	return nil, nil
}
