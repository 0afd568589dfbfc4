package script

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pollenlatch/sample"
)

// Outcomes of a request, as its caller sees them.
const (
	outcomeRun     = "run"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown" // also without a complete response
)

// Caller sends requests and records their outcomes.
type Caller struct {
	client http.Client

	mu             sync.Mutex
	outcomes       map[string]string // by request identifier
	unknownDetails map[string]string // details of unknown outcomes, by request identifier
	lastID         atomic.Uint64     // last number given to a request

	failedAttempts atomic.Uint64 // attempts with an outcome other than run
	wg             sync.WaitGroup
	stop           chan struct{} // closed to stop the traffic; nil while there is none
}

// NewCaller returns a caller that has sent no requests.
func NewCaller() *Caller {
	return &Caller{outcomes: make(map[string]string), unknownDetails: make(map[string]string), client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// claim is a request that must not run twice.
type claim struct {
	front, service, key, id string // front is the daemon's address for callers
	timeout                 time.Duration
	header                  []string // pairs of name and value
}

// Send makes one attempt and returns its outcome. The error says that the response
// belongs to another request or has no outcome, or that the request is invalid.
func (c *Caller) Send(ctx context.Context, q claim) (outcome, detail string, err error) {
	outcome, detail, err = c.attempt(ctx, q)
	c.mu.Lock()
	defer c.mu.Unlock()
	// A request is retried only after not-run, so the last outcome is that of the
	// request.
	c.outcomes[q.id] = outcome
	if outcome != outcomeRun {
		c.failedAttempts.Add(1)
	}
	if outcome == outcomeUnknown {
		c.unknownDetails[q.id] = fmt.Sprintf("%s at %s: %s", time.Now().Format("15:04:05.000"), q.front, detail)
	}
	return outcome, detail, err
}

func (c *Caller) attempt(ctx context.Context, q claim) (outcome, detail string, err error) {
	body := "body of " + q.id
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.front+"/s/"+q.service+"/"+q.key+"/claim", strings.NewReader(body))
	if err != nil {
		return "", "", err
	}
	r.Header.Set(sample.HeaderRequestID, q.id)
	r.Header.Set("Pollen-Kind", "claim")
	r.Header.Set("Pollen-Timeout", fmt.Sprint(q.timeout.Milliseconds()))
	for i := 0; i+1 < len(q.header); i += 2 {
		r.Header.Set(q.header[i], q.header[i+1])
	}
	// Without GetBody, net/http does not retry the request by itself.
	r.GetBody = nil
	resp, err := c.client.Do(r)
	if connRefused(err) {
		return outcomeNotRun, err.Error(), nil
	}
	if err != nil {
		return outcomeUnknown, err.Error(), nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcomeUnknown, err.Error(), nil
	}
	outcome = resp.Header.Get("Pollen-Outcome")
	switch {
	case outcome == "" && resp.StatusCode == http.StatusOK:
		outcome = outcomeRun
	case outcome == "":
		return outcomeUnknown, fmt.Sprintf("status %d: %s", resp.StatusCode, b), fmt.Errorf("request %s: response with status %d has no Pollen-Outcome", q.id, resp.StatusCode)
	}
	if outcome == outcomeRun && string(b) != body {
		return outcome, "", fmt.Errorf("request %s received the body of another response: %q", q.id, b)
	}
	return outcome, fmt.Sprintf("status %d by %s: %s", resp.StatusCode, resp.Header.Get("Pollen-Owner"), b), nil
}

// connRefused reports whether the connection was refused, so that nothing was sent.
func connRefused(err error) bool {
	var op interface{ Timeout() bool }
	return err != nil && strings.Contains(err.Error(), "connect: connection refused") && errors.As(err, &op)
}

// StartTraffic sends claims from several workers until StopTraffic. Each worker uses
// one daemon, so that a paused daemon delays only its own workers, and retries there
// after not-run. onError receives errors of Send, which end a worker.
func (c *Caller) StartTraffic(workers int, service string, fronts []string, onError func(error)) {
	stop := make(chan struct{})
	c.stop = stop
	for worker := range workers {
		c.wg.Go(func() {
			for n := worker; ; n++ {
				id := fmt.Sprintf("traffic-%d", c.lastID.Add(1))
				q := claim{front: fronts[worker%len(fronts)], service: service, key: fmt.Sprintf("lot-%d", n%97), id: id, timeout: trafficTimeout}
				if !c.retryWhileNotRun(q, stop, onError) {
					return
				}
			}
		})
	}
}

const (
	// trafficTimeout is the timeout of a claim. It limits the wait for a paused owner.
	trafficTimeout = 3 * time.Second
	// trafficPause is the delay before each attempt, which limits the load of the
	// processes under test.
	trafficPause = 5 * time.Millisecond
)

// retryWhileNotRun makes attempts until one has an outcome other than not-run. It returns
// false when the worker must stop.
func (c *Caller) retryWhileNotRun(q claim, stop <-chan struct{}, onError func(error)) bool {
	for {
		select {
		case <-stop:
			return false
		case <-time.After(trafficPause):
		}
		ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
		outcome, _, err := c.Send(ctx, q)
		cancel()
		if err != nil {
			onError(err)
			return false
		}
		if outcome != outcomeNotRun {
			return true
		}
	}
}

// StopTraffic stops the traffic and waits for requests in flight.
func (c *Caller) StopTraffic() {
	if c.stop != nil {
		close(c.stop)
		c.stop = nil
	}
	c.wg.Wait()
}

// FailedAttempts returns the number of attempts so far with an outcome other than
// run.
func (c *Caller) FailedAttempts() uint64 { return c.failedAttempts.Load() }

// CountOutcome returns the number of requests whose last outcome is the given one.
func (c *Caller) CountOutcome(outcome string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outcomes {
		if o == outcome {
			n++
		}
	}
	return n
}

// UnknownDetails describes the requests with an unknown outcome, one on a line.
func (c *Caller) UnknownDetails() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b strings.Builder
	for id, detail := range c.unknownDetails {
		fmt.Fprintf(&b, "%s: %s\n", id, detail)
	}
	return b.String()
}
