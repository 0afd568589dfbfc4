package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/valyala/fasthttp"

	"pollenlatch/admin"
)

// Environment variables that stand for flags.
const (
	adminVar = "POLLENLATCH_ADMIN"
	tokenVar = "POLLENLATCH_TOKEN_FILE"
)

const (
	defaultAdmin   = "127.0.0.1:7002"
	defaultTimeout = 15 * time.Second // a ticket is in force everywhere within 11 s
	// answerTime is what an answer may take beyond the time that the server
	// is asked to wait.
	answerTime = 5 * time.Second
)

// client talks to the administration API of one instance.
type client struct {
	addr    string
	token   string // file
	output  string
	outputs []string // allowed; nil is table and json
	timeout time.Duration
	env     *env
}

func newClient(f *flags) *client {
	c := &client{output: outputTable, timeout: defaultTimeout}
	f.text(&c.addr, "a", "admin", "administration address of any instance; "+adminVar+" or "+defaultAdmin+" if not given")
	f.text(&c.token, "t", "token-file", "file with the token; "+tokenVar+" if not given")
	f.text(&c.output, "o", "output", "table or json")
	f.duration(&c.timeout, "timeout", "longest time to wait, such as 15s")
	return c
}

// open completes the flags. It is called first by every command with a client.
func (c *client) open(e *env) error {
	c.env = e
	if c.addr == "" {
		c.addr = e.getenv(adminVar)
	}
	if c.addr == "" {
		c.addr = defaultAdmin
	}
	if c.outputs == nil {
		c.outputs = []string{outputTable, outputJSON}
	}
	if !slices.Contains(c.outputs, c.output) {
		return exitf(exitUsage, "--output %s is not one of %s", c.output, strings.Join(c.outputs, ", "))
	}
	if c.timeout <= 0 || c.timeout > 30*time.Second {
		return exitf(exitUsage, "--timeout %v is not above 0 and up to 30s", c.timeout)
	}
	file := c.token
	if file == "" {
		file = e.getenv(tokenVar)
	}
	c.token = ""
	if file == "" {
		return nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return exitf(exitUsage, "token: %w", err)
	}
	c.token = strings.TrimSpace(string(b))
	return nil
}

// answer is what the instance said.
type answer struct {
	status int
	body   []byte
}

// unreachable says that an instance gave no answer.
type unreachable struct {
	addr string
	err  error
}

func (e *unreachable) Error() string { return fmt.Sprintf("no answer from %s: %v", e.addr, e.err) }
func (e *unreachable) Unwrap() error { return e.err }

// do sends one request. The error is an *unreachable.
func (c *client) do(method, path string, query url.Values, body []byte) (answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.addr + path)
	req.URI().SetQueryString(query.Encode())
	req.SetBodyRaw(body)
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	// fasthttp would send a request again by itself; send decides that.
	http := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := http.DoTimeout(req, resp, c.timeout+answerTime); err != nil {
		return answer{}, &unreachable{addr: c.addr, err: err}
	}
	return answer{status: resp.StatusCode(), body: bytes.Clone(resp.Body())}, nil
}

// send sends one request and decodes the answer into out. Answers with one of
// the given other statuses are decoded too. A request that the instance could
// not decide on is sent again until the timeout, which is safe: reading changes
// nothing, and a ticket gets one verdict however often it is sent.
func (c *client) send(method, path string, query url.Values, body []byte, out any, others ...int) (answer, error) {
	a, err := backoff.Retry(context.Background(), func() (answer, error) {
		a, err := c.do(method, path, query, body)
		switch {
		case err != nil:
			return a, backoff.Permanent(err)
		case a.status == fasthttp.StatusServiceUnavailable:
			return a, errUndecided
		}
		return a, nil
	}, backoff.WithBackOff(backoff.NewConstantBackOff(c.env.pause)), backoff.WithMaxElapsedTime(c.timeout))
	if err != nil && !errors.Is(err, errUndecided) {
		return a, &exitError{code: exitRetry, err: err}
	}
	return a, c.decode(a, out, others)
}

var errUndecided = errors.New("not decided")

func (c *client) decode(a answer, out any, others []int) error {
	good := a.status/100 == 2
	for _, s := range others {
		good = good || a.status == s
	}
	if good {
		if err := json.Unmarshal(a.body, out); err != nil {
			return fmt.Errorf("answer of %s: %w", c.addr, err)
		}
		return nil
	}
	var e admin.Error
	if json.Unmarshal(a.body, &e) != nil || e.Error == "" {
		e.Error = fmt.Sprintf("status %d", a.status)
	}
	code := exitFailed
	switch a.status {
	case fasthttp.StatusUnauthorized, fasthttp.StatusForbidden:
		code = exitNoRight
	case fasthttp.StatusServiceUnavailable:
		code = exitRetry
	}
	return exitf(code, "%s", e.Error)
}
