package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/gauge"
	"pollenlatch/quota"
)

const (
	// maxSkippedResponses is the maximum number of responses to other requests that
	// are skipped before the response to a request.
	maxSkippedResponses = 4
	// maxSkippedBytes is the maximum size of the body of a skipped response.
	maxSkippedBytes = 1 << 20
)

var (
	errOtherRequest    = errors.New("response belongs to another request")
	errInvalidResponse = errors.New("response lacks an ID or signature, or has an unrequested encoding")
)

// setPlatformHeaders sets the metadata headers of the request for a server that uses
// the header names of a platform.
func (x *exchange) setPlatformHeaders(h *fasthttp.RequestHeader) {
	names := x.relay.cfg.Headers
	remaining := max(time.Until(x.runDeadline).Milliseconds(), 1)
	h.Set(names.Deadline, strconv.FormatInt(remaining, 10))
	h.Set(names.Caller, x.r.Caller)
	if x.conn.serverID != "" {
		h.Set(names.ExpectedServer, x.conn.serverID)
	}
}

// refusal returns the failure for a response by which the server states that it did
// not run the request, or nil for other responses.
func (x *exchange) refusal(status int, h *fasthttp.ResponseHeader) *pollenlatch.Failure {
	names := x.relay.cfg.Headers
	if names == nil {
		return endpointRefusal(status, h)
	}
	if len(h.Peek(names.NotRun)) == 0 && status != http.StatusMisdirectedRequest {
		return nil
	}
	detail := "server responded with status " + strconv.Itoa(status) + " without running the request"
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull, http.StatusServiceUnavailable, detail)
	case http.StatusMisdirectedRequest:
		if id := string(h.Peek(names.ServerName)); id != "" && id != x.conn.serverID {
			return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerReplaced, http.StatusServiceUnavailable, "server "+id+" has taken over the address of "+x.conn.serverID)
		}
		return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerRefused, http.StatusServiceUnavailable, detail)
	case http.StatusBadRequest:
		return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonBadRequest, http.StatusBadRequest, detail)
	default:
		return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerRefused, http.StatusServiceUnavailable, detail)
	}
}

// responseID returns the ID of the request that a response belongs to, or "" if it does
// not say.
func (x *exchange) responseID(h *fasthttp.ResponseHeader) string {
	if names := x.relay.cfg.Headers; names != nil {
		return string(h.Peek(names.RequestID))
	}
	return ""
}

// validate returns an error when a response must not be forwarded: it belongs to
// another request, it is a success without the request ID or the server's signature,
// or it is encoded although no encoding was requested.
func (x *exchange) validate(resp *fasthttp.Response) error {
	names := x.relay.cfg.Headers
	if names == nil {
		return nil
	}
	x.conn.recordKeepAlive(&resp.Header)
	id := x.responseID(&resp.Header)
	success := resp.StatusCode()/100 == 2
	switch {
	case id != "" && id != x.r.ID:
		return errOtherRequest
	case success && (id == "" || len(resp.Header.Peek(names.Signature)) == 0):
		return errInvalidResponse
	case len(resp.Header.Peek("Content-Encoding")) > 0:
		return errInvalidResponse
	default:
		return nil
	}
}

// observe reports what a response says about the server. A response that neither bears
// the server's signature nor says that the request was not run may come from anything
// at its address. The absence of a limit counts in signed responses only.
func (x *exchange) observe(h *fasthttp.ResponseHeader) {
	names := x.relay.cfg.Headers
	if names == nil || x.relay.cfg.Observe == nil {
		return
	}
	signed, refused := len(h.Peek(names.Signature)) > 0, len(h.Peek(names.NotRun)) > 0
	if !signed && !refused {
		return
	}
	signals := pollenlatch.ServerSignals{Incarnation: x.conn.incarnation, Leaving: isLeaving(names, h)}
	if signed {
		signals.SentAt = x.sentAt
		signals.ColdFor = x.relay.coldFor(x.conn, h)
	}
	if v := h.Peek(names.Limit); len(v) > 0 {
		var err error
		if signals.Limit, err = quota.Parse(string(v)); err != nil {
			x.relay.invalidLimit.Do(func() { klog.ErrorS(err, "limit in a response is ignored", "server", x.conn.serverID) })
			signals.SentAt = time.Time{}
		}
	}
	signals.Load = x.relay.load(x.conn, h)
	x.relay.cfg.Observe(signals)
}

// load returns the load that a response states, or nil.
func (rl *Relay) load(c *conn, h *fasthttp.ResponseHeader) *pollenlatch.ServerLoad {
	v := h.Peek(rl.cfg.Headers.Load)
	if len(v) == 0 {
		return nil
	}
	l, err := gauge.Parse(string(v))
	if err != nil {
		rl.invalidLoad.Do(func() { klog.ErrorS(err, "load in a response is ignored", "server", c.serverID) })
		return nil
	}
	return &l
}

// isLeaving reports whether a response says that its server is leaving.
func isLeaving(names *pollenlatch.Headers, h *fasthttp.ResponseHeader) bool {
	v := h.Peek(names.Leaving)
	return len(v) > 0 && string(v) != "0"
}

// skipResponse reads a response to another request to its end, and reports whether
// another response may follow.
func (x *exchange) skipResponse(resp *fasthttp.Response) bool {
	if resp.Header.ConnectionClose() || resp.Header.ContentLength() == -2 { // the body ends with the connection
		return false
	}
	s := resp.BodyStream()
	if s == nil {
		return true
	}
	n, err := io.Copy(io.Discard, io.LimitReader(s, maxSkippedBytes))
	return err == nil && n < maxSkippedBytes
}

// recordKeepAlive records how long the server keeps an idle connection open, if the
// response says so.
func (c *conn) recordKeepAlive(h *fasthttp.ResponseHeader) {
	for part := range strings.SplitSeq(string(h.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			c.serverIdleTimeout = time.Duration(n) * time.Second
		}
	}
}
