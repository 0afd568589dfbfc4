package load

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pollenlatch"
)

// reasonTransport is the reason of an attempt without a complete response.
const reasonTransport = "transport"

// attempt is the result of one attempt.
type attempt struct {
	outcome    pollenlatch.Outcome
	reason     string
	status     int
	retryAfter time.Duration // Retry-After
	owner      string        // Pollen-Owner
}

// client sends single attempts. It never retries by itself.
type client struct {
	cfg  Config
	http *fasthttp.Client

	mu     sync.Mutex
	owners map[string]string // address by key, with cfg.FollowOwner
}

func newClient(cfg Config) *client {
	return &client{
		cfg:    cfg,
		owners: map[string]string{},
		http: &fasthttp.Client{
			Dial:                          cfg.Dial,
			MaxConnsPerHost:               cfg.MaxConns,
			MaxIdemponentCallAttempts:     1,
			RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader:      true,
			DisablePathNormalizing:        true,
			DisableHeaderNamesNormalizing: false,
		},
	}
}

// targetFor returns the daemon's address for an attempt.
func (c *client) targetFor(key string, seq int) string {
	if c.cfg.FollowOwner {
		c.mu.Lock()
		defer c.mu.Unlock()
		if addr := c.owners[key]; addr != "" {
			return addr
		}
	}
	return c.cfg.Targets[seq%len(c.cfg.Targets)]
}

// recordOwner stores the owner of a key that a response named. Without a name it
// deletes the entry.
func (c *client) recordOwner(key, owner string) {
	if !c.cfg.FollowOwner {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if owner == "" {
		delete(c.owners, key)
		return
	}
	c.owners[key] = owner
}

// send makes one attempt. unknownAttempts is the number of earlier attempts that may
// have run.
func (c *client) send(addr string, q plannedRequest, unknownAttempts int, deadline time.Time) attempt {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.buildRequest(req, addr, q, unknownAttempts, time.Until(deadline))
	err := c.http.DoDeadline(req, resp, deadline)
	var op *net.OpError
	if errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) || (errors.As(err, &op) && op.Op == "dial") {
		return attempt{outcome: pollenlatch.OutcomeNotRun, reason: reasonTransport}
	}
	if err != nil {
		return attempt{outcome: pollenlatch.OutcomeUnknown, reason: reasonTransport}
	}
	return parseResponse(resp)
}

func (c *client) buildRequest(req *fasthttp.Request, addr string, q plannedRequest, unknownAttempts int, left time.Duration) {
	k := q.kind
	req.SetRequestURI("http://" + addr + "/" + q.key)
	req.Header.SetMethod(k.Method)
	req.Header.Set("Pollen-Service", c.cfg.Service)
	req.Header.Set("Pollen-Key", q.key)
	req.Header.Set("Pollen-Caller", k.Caller)
	req.Header.Set("Pollen-Kind", k.Name)
	req.Header.Set("Pollen-Timeout", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	req.Header.Set("X-Request-Id", q.id)
	if k.Idempotent {
		req.Header.Set("Idempotency-Key", q.id)
	}
	if unknownAttempts > 0 {
		req.Header.Set("Pollen-Attempt", strconv.Itoa(unknownAttempts+1))
	}
	if k.BodyBytes > 0 {
		req.SetBodyRaw(make([]byte, k.BodyBytes))
	}
}

// parseResponse returns the result of a response. A response without Pollen-Outcome
// is the server's.
func parseResponse(resp *fasthttp.Response) attempt {
	a := attempt{outcome: pollenlatch.OutcomeRan, status: resp.StatusCode(), owner: string(resp.Header.Peek("Pollen-Owner"))}
	if s, err := strconv.Atoi(string(resp.Header.Peek("Retry-After"))); err == nil {
		a.retryAfter = time.Duration(s) * time.Second
	}
	switch string(resp.Header.Peek("Pollen-Outcome")) {
	case "", pollenlatch.OutcomeRan.String():
	case pollenlatch.OutcomeNotRun.String():
		a.outcome = pollenlatch.OutcomeNotRun
	default:
		a.outcome = pollenlatch.OutcomeUnknown
	}
	if len(resp.Header.Peek("Pollen-Outcome")) == 0 {
		return a
	}
	var f pollenlatch.Failure
	if json.Unmarshal(resp.Body(), &f) == nil && f.Reason != "" {
		a.reason = string(f.Reason)
	}
	return a
}

// retryable reports whether a caller should retry: the request can't run twice, and
// the retry may succeed.
func retryable(q plannedRequest, a attempt) bool {
	switch a.outcome {
	case pollenlatch.OutcomeNotRun:
		return a.status == 0 || a.status >= http.StatusInternalServerError || a.status == http.StatusTooManyRequests
	case pollenlatch.OutcomeUnknown:
		return q.kind.Idempotent || q.kind.Method == http.MethodGet
	default:
		return false
	}
}
