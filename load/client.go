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

// reasonTransport is the reason of an attempt without a usable answer.
const reasonTransport = "transport"

// attempt is what one exchange with a daemon gave.
type attempt struct {
	outcome pollenlatch.Outcome
	reason  string
	status  int
	after   time.Duration // Retry-After
	owner   string
}

// client sends single attempts. It never repeats one by itself.
type client struct {
	cfg  Config
	http *fasthttp.Client

	mu    sync.Mutex
	owner map[string]string // by key, when cfg.Follow
}

func newClient(cfg Config) *client {
	return &client{
		cfg:   cfg,
		owner: map[string]string{},
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

// target returns where to send an attempt.
func (c *client) target(key string, n int) string {
	if c.cfg.FollowOwner {
		c.mu.Lock()
		defer c.mu.Unlock()
		if a := c.owner[key]; a != "" {
			return a
		}
	}
	return c.cfg.Targets[n%len(c.cfg.Targets)]
}

// learn remembers the owner that an answer named, or forgets one that failed.
func (c *client) learn(key, owner string) {
	if !c.cfg.FollowOwner {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if owner == "" {
		delete(c.owner, key)
		return
	}
	c.owner[key] = owner
}

// send makes one attempt, after as many as doubts that may have run.
func (c *client) send(addr string, p plan, doubts int, by time.Time) attempt {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, addr, p, doubts, time.Until(by))
	err := c.http.DoDeadline(req, resp, by)
	var op *net.OpError
	if errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) || (errors.As(err, &op) && op.Op == "dial") {
		return attempt{outcome: pollenlatch.OutcomeNotRun, reason: reasonTransport}
	}
	if err != nil {
		return attempt{outcome: pollenlatch.OutcomeUnknown, reason: reasonTransport}
	}
	return read(resp)
}

func (c *client) fill(req *fasthttp.Request, addr string, p plan, doubts int, left time.Duration) {
	k := p.kind
	req.SetRequestURI("http://" + addr + "/" + p.key)
	req.Header.SetMethod(k.Method)
	req.Header.Set("Pollen-Service", c.cfg.Service)
	req.Header.Set("Pollen-Key", p.key)
	req.Header.Set("Pollen-Caller", k.Caller)
	req.Header.Set("Pollen-Kind", k.Name)
	req.Header.Set("Pollen-Timeout", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	req.Header.Set("X-Request-Id", p.id)
	if k.Idempotent {
		req.Header.Set("Idempotency-Key", p.id)
	}
	if doubts > 0 {
		req.Header.Set("Pollen-Attempt", strconv.Itoa(doubts+1))
	}
	if k.BodyBytes > 0 {
		req.SetBodyRaw(make([]byte, k.BodyBytes))
	}
}

// read classifies an answer. One without Pollen-Outcome is the server's own.
func read(resp *fasthttp.Response) attempt {
	a := attempt{outcome: pollenlatch.OutcomeRan, status: resp.StatusCode(), owner: string(resp.Header.Peek("Pollen-Owner"))}
	if s, err := strconv.Atoi(string(resp.Header.Peek("Retry-After"))); err == nil {
		a.after = time.Duration(s) * time.Second
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

// mayRepeat reports whether a careful caller sends the request again.
func mayRepeat(p plan, a attempt) bool {
	switch a.outcome {
	case pollenlatch.OutcomeNotRun:
		return a.status == 0 || a.status >= http.StatusInternalServerError || a.status == http.StatusTooManyRequests
	case pollenlatch.OutcomeUnknown:
		return p.kind.Idempotent || p.kind.Method == http.MethodGet
	default:
		return false
	}
}
