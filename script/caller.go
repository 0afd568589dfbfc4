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

// Outcomes as a caller sees them.
const (
	outcomeRun     = "run"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown" // also: no whole answer came
)

// Caller sends requests and keeps what it was told about each.
type Caller struct {
	client http.Client

	mu   sync.Mutex
	told map[string]string // outcome by request
	why  map[string]string // details of unknown outcomes
	last atomic.Uint64

	failed atomic.Uint64 // attempts that were refused or left unknown
	wg     sync.WaitGroup
	stop   chan struct{} // of the traffic; nil while there is none
}

// NewCaller returns a caller without requests.
func NewCaller() *Caller {
	return &Caller{told: make(map[string]string), why: make(map[string]string), client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// claim is one request that must not run twice.
type claim struct {
	front, service, key, id string
	timeout                 time.Duration
	header                  []string
}

// Send makes one attempt and returns its outcome. Its error says that an
// answer was not that of this request, or that the request had no beginning.
func (c *Caller) Send(ctx context.Context, q claim) (outcome, detail string, err error) {
	outcome, detail, err = c.attempt(ctx, q)
	c.mu.Lock()
	defer c.mu.Unlock()
	// A later attempt is made only after not-run, so its outcome replaces that.
	c.told[q.id] = outcome
	if outcome != outcomeRun {
		c.failed.Add(1)
	}
	if outcome == outcomeUnknown {
		c.why[q.id] = fmt.Sprintf("%s at %s: %s", time.Now().Format("15:04:05.000"), q.front, detail)
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
	// net/http repeats a request by itself only if it may; this one may not.
	r.GetBody = nil
	w, err := c.client.Do(r)
	if refused(err) {
		return outcomeNotRun, err.Error(), nil
	}
	if err != nil {
		return outcomeUnknown, err.Error(), nil
	}
	defer func() { _ = w.Body.Close() }()
	b, err := io.ReadAll(w.Body)
	if err != nil {
		return outcomeUnknown, err.Error(), nil
	}
	outcome = w.Header.Get("Pollen-Outcome")
	switch {
	case outcome == "" && w.StatusCode == http.StatusOK:
		outcome = outcomeRun
	case outcome == "":
		return outcomeUnknown, fmt.Sprintf("status %d: %s", w.StatusCode, b), fmt.Errorf("request %s: status %d without an outcome", q.id, w.StatusCode)
	}
	if outcome == outcomeRun && string(b) != body {
		return outcome, "", fmt.Errorf("request %s got the answer %q", q.id, b)
	}
	return outcome, fmt.Sprintf("status %d by %s: %s", w.StatusCode, w.Header.Get("Pollen-Owner"), b), nil
}

// refused reports whether no connection was made, so nothing was sent.
func refused(err error) bool {
	var op interface{ Timeout() bool }
	return err != nil && strings.Contains(err.Error(), "connect: connection refused") && errors.As(err, &op)
}

// StartTraffic sends claims from some workers, until StopTraffic. Each worker stays with
// one daemon, so that a paused one holds up only its own workers, and repeats
// there what did not run.
func (c *Caller) StartTraffic(workers int, service string, fronts []string, failed func(error)) {
	stop := make(chan struct{})
	c.stop = stop
	for w := range workers {
		c.wg.Go(func() {
			for n := w; ; n++ {
				id := fmt.Sprintf("traffic-%d", c.last.Add(1))
				q := claim{front: fronts[w%len(fronts)], service: service, key: fmt.Sprintf("lot-%d", n%97), id: id, timeout: trafficTimeout}
				if !c.finish(q, stop, failed) {
					return
				}
			}
		})
	}
}

const (
	// trafficTimeout bounds the wait for an owner that is paused.
	trafficTimeout = 3 * time.Second
	// trafficPause keeps the workers from filling the machine.
	trafficPause = 5 * time.Millisecond
)

// finish makes attempts until one is not refused. It reports whether the
// traffic goes on.
func (c *Caller) finish(q claim, stop <-chan struct{}, failed func(error)) bool {
	for {
		select {
		case <-stop:
			return false
		case <-time.After(trafficPause):
		}
		ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
		outcome, _, err := c.Send(ctx, q)
		cancel()
		if err != nil {
			failed(err)
			return false
		}
		if outcome != outcomeNotRun {
			return true
		}
	}
}

// StopTraffic ends the traffic and waits for the requests that are under way.
func (c *Caller) StopTraffic() {
	if c.stop != nil {
		close(c.stop)
		c.stop = nil
	}
	c.wg.Wait()
}

// FailedAttempts returns how many attempts were refused or left unknown so far.
func (c *Caller) FailedAttempts() uint64 { return c.failed.Load() }

// CountOutcome returns how many requests had the outcome so far.
func (c *Caller) CountOutcome(outcome string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.told {
		if o == outcome {
			n++
		}
	}
	return n
}

// UnknownDetails returns the details of the requests whose outcome is unknown.
func (c *Caller) UnknownDetails() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b strings.Builder
	for id, why := range c.why {
		fmt.Fprintf(&b, "%s: %s\n", id, why)
	}
	return b.String()
}
