package relay

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"pollenlatch"
	"pollenlatch/local"
)

const headerOwner = "Pollen-Owner"

// notForwarded holds the hop-by-hop headers (RFC 9110, 7.6.1), and the headers that
// this package sets itself.
var notForwarded = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true,
	local.HeaderFence:     true,
	local.HeaderRange:     true,
	local.HeaderDeadline:  true,
	local.HeaderOutcome:   true,
	local.HeaderService:   true,
	local.HeaderKey:       true,
	local.HeaderCaller:    true,
	local.HeaderKind:      true,
	local.HeaderAttempt:   true,
	headerOwner:           true,
}

// addConnectionTokens adds the header names in the value of a Connection header to
// set, which may be nil, and returns it.
func addConnectionTokens(set map[string]bool, v string) map[string]bool {
	for token := range strings.SplitSeq(v, ",") {
		if set == nil {
			set = map[string]bool{}
		}
		set[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
	}
	return set
}

// checkRequest refuses requests that the server could parse as two requests.
func checkRequest(r *pollenlatch.Request) *pollenlatch.Failure {
	badRequest := func(detail string) *pollenlatch.Failure {
		return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonBadRequest, http.StatusBadRequest, detail)
	}
	switch {
	case !isToken(r.Method):
		return badRequest("malformed method")
	case r.URI == "" || strings.ContainsFunc(r.URI, func(c rune) bool { return c <= ' ' || c == 0x7f }):
		return badRequest("malformed URI")
	case r.Length > 0 && r.Body == nil:
		return badRequest("request body is missing")
	}
	for _, h := range metadataHeaders(r) {
		if strings.ContainsFunc(h.Value, func(c rune) bool { return c < ' ' || c == 0x7f }) {
			return badRequest("control character in " + h.Name)
		}
	}
	for _, h := range r.Header {
		if !isToken(h.Name) || strings.ContainsAny(h.Value, "\r\n\x00") {
			return badRequest("malformed header " + strconv.Quote(h.Name))
		}
	}
	return nil
}

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}

// setHeaders sets the request line and the headers of req.
func (x *exchange) setHeaders(req *fasthttp.Request, host string) {
	h := &req.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethod(x.r.Method)
	h.SetRequestURI(x.r.URI)
	h.SetHost(host)
	var connectionHeaders map[string]bool
	for _, f := range x.r.Header {
		if strings.EqualFold(f.Name, "Connection") {
			connectionHeaders = addConnectionTokens(connectionHeaders, f.Value)
		}
	}
	for _, f := range x.r.Header {
		name := http.CanonicalHeaderKey(f.Name)
		switch {
		case name == "Host":
			h.SetHost(f.Value)
		case !notForwarded[name] && !connectionHeaders[name]:
			h.Add(name, f.Value)
		}
	}
	if x.relay.cfg.Headers != nil {
		x.setPlatformHeaders(h)
		return
	}
	if x.r.Sharded() {
		h.Set(local.HeaderFence, strconv.FormatUint(uint64(x.r.Fence), 10))
		h.Set(local.HeaderRange, local.FormatRange(x.r.Shard))
	}
	h.Set(local.HeaderDeadline, strconv.FormatInt(x.runDeadline.UnixMilli(), 10))
	for _, f := range metadataHeaders(x.r) {
		if f.Value != "" {
			h.Set(f.Name, f.Value)
		}
	}
}

// metadataHeaders returns the headers with the metadata of the request, which the
// server may find nowhere else: a request in the path form has no header with the
// key.
func metadataHeaders(r *pollenlatch.Request) []pollenlatch.Header {
	out := []pollenlatch.Header{
		{Name: local.HeaderService, Value: r.Service},
		{Name: local.HeaderKey, Value: r.Key},
		{Name: local.HeaderCaller, Value: r.Caller},
		{Name: local.HeaderKind, Value: r.Kind},
	}
	if r.Attempt > 1 {
		out = append(out, pollenlatch.Header{Name: local.HeaderAttempt, Value: strconv.FormatUint(uint64(r.Attempt), 10)})
	}
	return out
}

// responseHeaders returns the headers of a response that are forwarded.
func responseHeaders(h *fasthttp.ResponseHeader) []pollenlatch.Header {
	var connectionHeaders map[string]bool
	if v := h.Peek("Connection"); len(v) > 0 {
		connectionHeaders = addConnectionTokens(nil, string(v))
	}
	out := make([]pollenlatch.Header, 0, h.Len())
	for k, v := range h.All() {
		name := http.CanonicalHeaderKey(string(k))
		if !notForwarded[name] && !connectionHeaders[name] {
			out = append(out, pollenlatch.Header{Name: name, Value: string(v)})
		}
	}
	return out
}

// endpointRefusal returns the failure for a response by which the server states that
// it did not run the request, or nil for other responses.
func endpointRefusal(status int, h *fasthttp.ResponseHeader) *pollenlatch.Failure {
	if string(h.Peek(local.HeaderOutcome)) != pollenlatch.OutcomeNotRun.String() {
		return nil
	}
	detail := "server responded with status " + strconv.Itoa(status) + " without running the request"
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		f := failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull, status, detail)
		f.RetryAfter = time.Second
		if n, err := strconv.Atoi(string(h.Peek("Retry-After"))); err == nil && n > 0 {
			f.RetryAfter = time.Duration(n) * time.Second
		}
		return f
	case http.StatusGatewayTimeout:
		return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonDeadlineExceeded, status, detail)
	default:
		return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerRefused, http.StatusServiceUnavailable, detail)
	}
}
