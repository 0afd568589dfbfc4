package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"pollenlatch"
)

const (
	// maxOther bounds the answers to other requests that are skipped while the
	// answer to this one is awaited.
	maxOther = 4
	// maxSkip bounds the body of such an answer, in bytes.
	maxSkip = 1 << 20
)

var (
	errOther = errors.New("answer is to another request")
	errFaith = errors.New("answer is not the server's whole answer")
)

// fillPlain sets the headers that the server is told besides the caller's, for
// servers that are spoken to by pollenlatch.Headers.
func (x *exchange) fillPlain(h *fasthttp.RequestHeader) {
	names := x.relay.cfg.Headers
	left := max(time.Until(x.limit).Milliseconds(), 1)
	h.Set(names.Deadline, strconv.FormatInt(left, 10))
	h.Set(names.Caller, x.r.Caller)
	if x.conn.id != "" {
		h.Set(names.ExpectedServer, x.conn.id)
	}
}

// refusal returns the failure for an answer by which the server promises that
// it ran nothing, or nil for other answers.
func (x *exchange) refusal(status int, h *fasthttp.ResponseHeader) *pollenlatch.Failure {
	names := x.relay.cfg.Headers
	if names == nil {
		return refusal(status, h)
	}
	if len(h.Peek(names.NotRun)) == 0 && status != http.StatusMisdirectedRequest {
		return nil
	}
	detail := "server answered " + strconv.Itoa(status) + " without running the request"
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull, http.StatusServiceUnavailable, detail)
	case http.StatusMisdirectedRequest:
		if id := string(h.Peek(names.ServerName)); id != "" && id != x.conn.id {
			return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerReplaced, http.StatusServiceUnavailable, "server "+id+" has the address of "+x.conn.id)
		}
		return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerRefused, http.StatusServiceUnavailable, detail)
	case http.StatusBadRequest:
		return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonBadRequest, http.StatusBadRequest, detail)
	default:
		return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerRefused, http.StatusServiceUnavailable, detail)
	}
}

// judge reports why an answer is not one that the caller may get: it is to
// another request, or it is a success without id or mark of the server, or it
// is encoded although no encoding was asked for.
func (x *exchange) judge(resp *fasthttp.Response) error {
	names := x.relay.cfg.Headers
	if names == nil {
		return nil
	}
	x.conn.learn(&resp.Header)
	id := string(resp.Header.Peek(names.RequestID))
	success := resp.StatusCode()/100 == 2
	switch {
	case id != "" && id != x.r.ID:
		return errOther
	case success && (id == "" || len(resp.Header.Peek(names.Signature)) == 0):
		return errFaith
	case len(resp.Header.Peek("Content-Encoding")) > 0:
		return errFaith
	default:
		return nil
	}
}

// skip reads an answer to another request to its end, and reports whether the
// next one may follow.
func (x *exchange) skip(resp *fasthttp.Response) bool {
	if resp.Header.ConnectionClose() || resp.Header.ContentLength() == -2 { // ends with the connection
		return false
	}
	s := resp.BodyStream()
	if s == nil {
		return true
	}
	n, err := io.Copy(io.Discard, io.LimitReader(s, maxSkip))
	return err == nil && n < maxSkip
}

// learn takes from an answer how long the server keeps an idle connection.
func (c *conn) learn(h *fasthttp.ResponseHeader) {
	for part := range strings.SplitSeq(string(h.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			c.idle = time.Duration(n) * time.Second
		}
	}
}
