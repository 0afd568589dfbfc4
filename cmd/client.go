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

// Environment variables that are used if the flag is not given.
const (
	adminEnvVar     = "POLLENLATCH_ADMIN"
	tokenFileEnvVar = "POLLENLATCH_TOKEN_FILE"
)

const (
	defaultAdmin   = "127.0.0.1:7002"
	defaultTimeout = 15 * time.Second // a ticket is in force everywhere within 11 s
	// responseMargin is how much longer a response may take than the time that the
	// server is asked to wait.
	responseMargin = 5 * time.Second
)

// client calls the administration API of one instance.
type client struct {
	addr           string
	token          string // the token's file; after resolveFlags the token itself
	output         string
	allowedOutputs []string // nil is table and json
	timeout        time.Duration
	env            *env
}

func newClient(f *flags) *client {
	c := &client{output: outputTable, timeout: defaultTimeout}
	f.stringVar(&c.addr, "a", "admin", "administration address of any instance; "+adminEnvVar+" or "+defaultAdmin+" if not given")
	f.stringVar(&c.token, "t", "token-file", "file with the token; "+tokenFileEnvVar+" if not given")
	f.stringVar(&c.output, "o", "output", "table or json")
	f.durationVar(&c.timeout, "timeout", "longest time to wait, such as 15s")
	return c
}

// resolveFlags applies environment variables and defaults, checks the flags and
// reads the token. Every command with a client calls it first.
func (c *client) resolveFlags(e *env) error {
	c.env = e
	if c.addr == "" {
		c.addr = e.getenv(adminEnvVar)
	}
	if c.addr == "" {
		c.addr = defaultAdmin
	}
	if c.allowedOutputs == nil {
		c.allowedOutputs = []string{outputTable, outputJSON}
	}
	if !slices.Contains(c.allowedOutputs, c.output) {
		return exitf(exitUsage, "--output %s is not one of %s", c.output, strings.Join(c.allowedOutputs, ", "))
	}
	if c.timeout <= 0 || c.timeout > 30*time.Second {
		return exitf(exitUsage, "--timeout %v is not above 0 and up to 30s", c.timeout)
	}
	file := c.token
	if file == "" {
		file = e.getenv(tokenFileEnvVar)
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

// response is the response of an instance.
type response struct {
	status int
	body   []byte
}

// unreachableError says that an instance did not respond.
type unreachableError struct {
	addr string
	err  error
}

func (e *unreachableError) Error() string { return fmt.Sprintf("no answer from %s: %v", e.addr, e.err) }
func (e *unreachableError) Unwrap() error { return e.err }

// sendOnce sends one request. The error is an *unreachableError.
func (c *client) sendOnce(method, path string, query url.Values, body []byte) (response, error) {
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
	// Prevents retries by fasthttp; sendWithRetries decides about them.
	httpClient := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := httpClient.DoTimeout(req, resp, c.timeout+responseMargin); err != nil {
		return response{}, &unreachableError{addr: c.addr, err: err}
	}
	return response{status: resp.StatusCode(), body: bytes.Clone(resp.Body())}, nil
}

// sendWithRetries sends one request and decodes the response into out. Besides
// responses of success it decodes those with one of otherStatuses. A request that
// the instance could not decide on is retried until the timeout, which is safe:
// reading changes nothing, and a ticket gets one verdict however often it is sent.
func (c *client) sendWithRetries(method, path string, query url.Values, body []byte, out any, otherStatuses ...int) (response, error) {
	resp, err := backoff.Retry(context.Background(), func() (response, error) {
		resp, err := c.sendOnce(method, path, query, body)
		switch {
		case err != nil:
			return resp, backoff.Permanent(err)
		case resp.status == fasthttp.StatusServiceUnavailable:
			return resp, errUndecided
		}
		return resp, nil
	}, backoff.WithBackOff(backoff.NewConstantBackOff(c.env.retryInterval)), backoff.WithMaxElapsedTime(c.timeout))
	if err != nil && !errors.Is(err, errUndecided) {
		return resp, &exitError{code: exitRetry, err: err}
	}
	return resp, c.decode(resp, out, otherStatuses)
}

var errUndecided = errors.New("not decided")

// decode decodes a response into out, or returns the error that it reports.
func (c *client) decode(resp response, out any, otherStatuses []int) error {
	decodable := resp.status/100 == 2
	for _, status := range otherStatuses {
		decodable = decodable || resp.status == status
	}
	if decodable {
		if err := json.Unmarshal(resp.body, out); err != nil {
			return fmt.Errorf("cannot decode the response of %s: %w", c.addr, err)
		}
		return nil
	}
	var e admin.Error
	if json.Unmarshal(resp.body, &e) != nil || e.Error == "" {
		e.Error = fmt.Sprintf("status %d", resp.status)
	}
	code := exitFailed
	switch resp.status {
	case fasthttp.StatusUnauthorized, fasthttp.StatusForbidden:
		code = exitForbidden
	case fasthttp.StatusServiceUnavailable:
		code = exitRetry
	}
	return exitf(code, "%s", e.Error)
}
