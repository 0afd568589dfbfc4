package local

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"pollenlatch"
)

// grantSet is the newest set of grants that the server is to have.
type grantSet struct {
	seq    uint64
	grants []pollenlatch.Grant
	sent   pollenlatch.Incarnation // the server that confirmed it; 0: none
}

// StatusError is an answer of the server that is not 2xx.
type StatusError struct {
	Path   string
	Status int
}

// Error returns the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("server answered %s with status %d", e.Path, e.Status)
}

// Grant replaces the server's grants; they last for ttl from the call. When it
// fails, the next Extend sends the whole set again. Errors are ErrNoServer,
// *StatusError, the context's or those of the connection.
func (l *Monitor) Grant(ctx context.Context, grants []pollenlatch.Grant, ttl time.Duration) error {
	until := time.Now().Add(ttl)
	if err := l.lock(ctx); err != nil {
		return err
	}
	defer l.unlock()
	l.want.grants = slices.Clone(grants)
	l.want.sent = 0
	return l.sendAll(ctx, until)
}

// Extend lets the present grants last for ttl from the call. It sends the
// whole set when the server does not have it. Errors are those of Grant.
func (l *Monitor) Extend(ctx context.Context, ttl time.Duration) error {
	until := time.Now().Add(ttl)
	if err := l.lock(ctx); err != nil {
		return err
	}
	defer l.unlock()
	e, ok := l.Endpoint()
	if !ok {
		return ErrNoServer
	}
	if l.want.sent != e.Incarnation {
		return l.sendAll(ctx, until)
	}
	m := Extend{Incarnation: e.Incarnation, Seq: l.want.seq, TTLMillis: time.Until(until).Milliseconds(), ExpiryUnixMilli: until.UnixMilli()}
	var h GrantsReply
	status, err := l.call(fasthttp.MethodPost, e.Addr, PathExtend, m, &h, l.limit(ctx, until))
	if status == fasthttp.StatusConflict {
		return l.sendAll(ctx, until)
	}
	return ignoreUnfenced(e, status, err)
}

// sendAll sends the whole set under a new sequence number. A message of an
// earlier daemon may have left a higher one at the server; then it is sent
// once more above that.
func (l *Monitor) sendAll(ctx context.Context, until time.Time) error {
	e, ok := l.Endpoint()
	if !ok {
		return ErrNoServer
	}
	var h GrantsReply
	for range 2 {
		l.want.seq = max(l.want.seq, h.Seq) + 1
		m := Grants{
			Incarnation:     e.Incarnation,
			Seq:             l.want.seq,
			TTLMillis:       time.Until(until).Milliseconds(),
			ExpiryUnixMilli: until.UnixMilli(),
			Grants:          l.want.grants,
		}
		status, err := l.call(fasthttp.MethodPut, e.Addr, PathGrants, m, &h, l.limit(ctx, until))
		if status == fasthttp.StatusConflict && h.Incarnation == e.Incarnation && h.Seq == l.want.seq {
			err = nil // an attempt that seemed lost had arrived
		}
		if err = ignoreUnfenced(e, status, err); err == nil {
			l.want.sent = e.Incarnation
			return nil
		}
		if status != fasthttp.StatusConflict || h.Seq < l.want.seq {
			return err
		}
	}
	return &StatusError{Path: PathGrants, Status: fasthttp.StatusConflict}
}

// ignoreUnfenced accepts that a server that does not check fences does not
// know about grants.
func ignoreUnfenced(e pollenlatch.Endpoint, status int, err error) error {
	if !e.Fenced && (status == fasthttp.StatusNotFound || status == fasthttp.StatusNotImplemented) {
		return nil
	}
	return err
}

func (l *Monitor) lock(ctx context.Context) error {
	select {
	case <-l.sender:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Monitor) unlock() { l.sender <- struct{}{} }

// limit returns until when a message may take: never longer than it is valid.
func (l *Monitor) limit(ctx context.Context, until time.Time) time.Time {
	t := time.Now().Add(l.cfg.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(t) {
		t = d
	}
	if until.Before(t) {
		t = until
	}
	return t
}

// call makes one exchange with the server. It returns the status also when the
// error is a *StatusError, and decodes the body of any answer.
func (l *Monitor) call(method, addr, path string, in, out any, by time.Time) (int, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(b)
	}
	if err := l.client.DoDeadline(req, resp, by); err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	status := resp.StatusCode()
	err := json.Unmarshal(resp.Body(), out)
	if status/100 != 2 {
		return status, &StatusError{Path: path, Status: status}
	}
	return status, err
}
