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

// hopByHop are headers that apply to one connection only (RFC 9110, 7.6.1),
// and those that this package sets itself.
var hopByHop = map[string]bool{
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

// connectionTokens adds the names in the value of a Connection header to the
// set, which may be nil.
func connectionTokens(set map[string]bool, v string) map[string]bool {
	for token := range strings.SplitSeq(v, ",") {
		if set == nil {
			set = map[string]bool{}
		}
		set[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
	}
	return set
}

// checkRequest refuses what could be read as two requests by the server.
func checkRequest(r *pollenlatch.Request) *pollenlatch.Failure {
	bad := func(what string) *pollenlatch.Failure {
		return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonBadRequest, http.StatusBadRequest, what)
	}
	switch {
	case !isToken(r.Method):
		return bad("malformed method")
	case r.URI == "" || strings.ContainsFunc(r.URI, func(c rune) bool { return c <= ' ' || c == 0x7f }):
		return bad("malformed URI")
	case r.Length > 0 && r.Body == nil:
		return bad("body is missing")
	}
	for _, h := range heads(r) {
		if strings.ContainsFunc(h.Value, func(c rune) bool { return c < ' ' || c == 0x7f }) {
			return bad("control character in " + h.Name)
		}
	}
	for _, h := range r.Header {
		if !isToken(h.Name) || strings.ContainsAny(h.Value, "\r\n\x00") {
			return bad("malformed header " + strconv.Quote(h.Name))
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

// fill sets everything of req but the body.
func (x *exchange) fill(req *fasthttp.Request, host string) {
	h := &req.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethod(x.r.Method)
	h.SetRequestURI(x.r.URI)
	h.SetHost(host)
	var listed map[string]bool
	for _, f := range x.r.Header {
		if strings.EqualFold(f.Name, "Connection") {
			listed = connectionTokens(listed, f.Value)
		}
	}
	for _, f := range x.r.Header {
		name := http.CanonicalHeaderKey(f.Name)
		switch {
		case name == "Host":
			h.SetHost(f.Value)
		case !hopByHop[name] && !listed[name]:
			h.Add(name, f.Value)
		}
	}
	if x.relay.cfg.Headers != nil {
		x.fillPlain(h)
		return
	}
	if x.r.Sharded() {
		h.Set(local.HeaderFence, strconv.FormatUint(uint64(x.r.Fence), 10))
		h.Set(local.HeaderRange, local.FormatRange(x.r.Shard))
	}
	h.Set(local.HeaderDeadline, strconv.FormatInt(x.limit.UnixMilli(), 10))
	for _, f := range heads(x.r) {
		if f.Value != "" {
			h.Set(f.Name, f.Value)
		}
	}
}

// heads returns what the server is told of the request besides its own
// headers: the path form of a request has the key in no other place.
func heads(r *pollenlatch.Request) []pollenlatch.Header {
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

// responseHeader returns the headers that are passed on.
func responseHeader(h *fasthttp.ResponseHeader) []pollenlatch.Header {
	var listed map[string]bool
	if v := h.Peek("Connection"); len(v) > 0 {
		listed = connectionTokens(nil, string(v))
	}
	out := make([]pollenlatch.Header, 0, h.Len())
	for k, v := range h.All() {
		name := http.CanonicalHeaderKey(string(k))
		if !hopByHop[name] && !listed[name] {
			out = append(out, pollenlatch.Header{Name: name, Value: string(v)})
		}
	}
	return out
}

// refusal returns the failure for an answer by which the server promises that
// it ran nothing, or nil for other answers.
func refusal(status int, h *fasthttp.ResponseHeader) *pollenlatch.Failure {
	if string(h.Peek(local.HeaderOutcome)) != pollenlatch.OutcomeNotRun.String() {
		return nil
	}
	detail := "server answered " + strconv.Itoa(status) + " without running the request"
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
