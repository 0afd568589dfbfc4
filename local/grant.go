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

// grantSet is the set of grants that the server should have.
type grantSet struct {
	seq         uint64
	grants      []pollenlatch.Grant
	confirmedBy pollenlatch.Incarnation // the server that has confirmed the set; 0 is none
}

// StatusError is a response of the server with a status other than 2xx.
type StatusError struct {
	Path   string
	Status int
}

// Error returns the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("server responded to %s with status %d", e.Path, e.Status)
}

// Grant replaces the server's grants. They expire ttl after the call. When Grant
// fails, the next Extend sends the whole set. The error is ErrNoServer, a
// *StatusError, the error of ctx, or that of the connection.
func (m *Monitor) Grant(ctx context.Context, grants []pollenlatch.Grant, ttl time.Duration) error {
	expiry := time.Now().Add(ttl)
	if err := m.lock(ctx); err != nil {
		return err
	}
	defer m.unlock()
	m.desired.grants = slices.Clone(grants)
	m.desired.confirmedBy = 0
	return m.sendAll(ctx, expiry)
}

// Extend makes the current grants expire ttl after the call. It sends the whole set
// when the server does not have it. The errors are those of Grant.
func (m *Monitor) Extend(ctx context.Context, ttl time.Duration) error {
	expiry := time.Now().Add(ttl)
	if err := m.lock(ctx); err != nil {
		return err
	}
	defer m.unlock()
	e, ok := m.Endpoint()
	if !ok {
		return ErrNoServer
	}
	if m.desired.confirmedBy != e.Incarnation {
		return m.sendAll(ctx, expiry)
	}
	msg := Extend{Incarnation: e.Incarnation, Seq: m.desired.seq, TTLMillis: time.Until(expiry).Milliseconds(), ExpiryUnixMilli: expiry.UnixMilli()}
	var reply GrantsReply
	status, err := m.exchange(fasthttp.MethodPost, e.Addr, PathExtend, msg, &reply, m.requestDeadline(ctx, expiry))
	if status == fasthttp.StatusConflict {
		return m.sendAll(ctx, expiry)
	}
	return ignoreUnfenced(e, status, err)
}

// sendAll sends the whole set with a new sequence number. The server may have
// received a higher number from an earlier process of this daemon. In that case the
// set is sent a second time with a number above that.
func (m *Monitor) sendAll(ctx context.Context, expiry time.Time) error {
	e, ok := m.Endpoint()
	if !ok {
		return ErrNoServer
	}
	var reply GrantsReply
	for range 2 {
		m.desired.seq = max(m.desired.seq, reply.Seq) + 1
		msg := Grants{
			Incarnation:     e.Incarnation,
			Seq:             m.desired.seq,
			TTLMillis:       time.Until(expiry).Milliseconds(),
			ExpiryUnixMilli: expiry.UnixMilli(),
			Grants:          m.desired.grants,
		}
		status, err := m.exchange(fasthttp.MethodPut, e.Addr, PathGrants, msg, &reply, m.requestDeadline(ctx, expiry))
		if status == fasthttp.StatusConflict && reply.Incarnation == e.Incarnation && reply.Seq == m.desired.seq {
			err = nil // an earlier transmission of this message had arrived
		}
		if err = ignoreUnfenced(e, status, err); err == nil {
			m.desired.confirmedBy = e.Incarnation
			return nil
		}
		if status != fasthttp.StatusConflict || reply.Seq < m.desired.seq {
			return err
		}
	}
	return &StatusError{Path: PathGrants, Status: fasthttp.StatusConflict}
}

// ignoreUnfenced ignores the error of a server that does not check fences and does
// not support grants.
func ignoreUnfenced(e pollenlatch.Endpoint, status int, err error) error {
	if !e.Fenced && (status == fasthttp.StatusNotFound || status == fasthttp.StatusNotImplemented) {
		return nil
	}
	return err
}

// lock waits until no other goroutine sends grants.
func (m *Monitor) lock(ctx context.Context) error {
	select {
	case <-m.sendLock:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Monitor) unlock() { m.sendLock <- struct{}{} }

// requestDeadline returns the deadline for sending grants: that of ctx, the end of
// the timeout, or the expiry of the grants, whichever is first.
func (m *Monitor) requestDeadline(ctx context.Context, expiry time.Time) time.Time {
	deadline := time.Now().Add(m.cfg.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if expiry.Before(deadline) {
		deadline = expiry
	}
	return deadline
}

// exchange sends one request to the server and decodes the body of the response,
// whatever its status. It returns the status also with a *StatusError.
func (m *Monitor) exchange(method, addr, path string, in, out any, deadline time.Time) (int, error) {
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
	if err := m.client.DoDeadline(req, resp, deadline); err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	status := resp.StatusCode()
	err := json.Unmarshal(resp.Body(), out)
	if status/100 != 2 {
		return status, &StatusError{Path: path, Status: status}
	}
	return status, err
}
