package serve

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"pollenlatch"
	"pollenlatch/crash"
)

const (
	// bodyChunkBytes is how much of a body is requested at a time: 22 ms of a link of
	// 6 Mbit/s, about half of what package intake lets be on the way.
	bodyChunkBytes = 16 << 10
	// maxReceivedBytes is how much of a large body is received before the request is sent
	// to the server, so that a sender that stops in the middle occupies no server and the
	// request has not run. The bodies in all slots of a server amount to a few MB.
	maxReceivedBytes = 512 << 10
	// bodyStallTime is the time without progress after which a body is given up, since
	// its request occupies a slot. A lost packet is sent again within that time.
	bodyStallTime = 2 * time.Second
	// bodyDeadlineMargin is how long before the deadline a body is given up, so that the
	// failure, which says that the request has not run, reaches the caller in time. One
	// that arrives later leaves no time for the run anyway.
	bodyDeadlineMargin = 50 * time.Millisecond
)

// awaitsBody reports whether a request has a large body that is still at its sender.
func awaitsBody(r *pollenlatch.Request) bool {
	if !r.LargeBody || r.Body == nil || r.Length == 0 {
		return false
	}
	_, inMemory := r.Body.(interface{ Len() int })
	return !inMemory
}

// incomingBody is the large body of a request, or zero when it has none.
type incomingBody struct {
	pollenlatch.IncomingBody
	server *Server
}

// beginBody returns the body of a request for the network link.
func (s *Server) beginBody(r *pollenlatch.Request) incomingBody {
	if !awaitsBody(r) {
		return incomingBody{}
	}
	b := incomingBody{server: s}
	if s.cfg.Intake != nil {
		b.IncomingBody = s.cfg.Intake.Begin(r.Route, r.Length, r.SoftDeadline, r.Deadline)
	}
	return b
}

// End ends the body on the network link.
func (b incomingBody) End(received bool) {
	if b.IncomingBody != nil {
		b.IncomingBody.End(received)
	}
}

// countRefusal counts a request that was refused before its body moved.
func (b incomingBody) countRefusal() {
	if b.server != nil {
		b.server.meter.bodiesRefused.Inc()
	}
}

// receiveBody replaces the body of an admitted request, if it is still at its sender, by
// one in memory. A part beyond maxReceivedBytes is received while it is passed on. sender
// is the body that bytes are requested from; r.Body may compute a digest of it.
func (s *Server) receiveBody(ctx context.Context, r *pollenlatch.Request, sender io.Reader, incoming incomingBody) *pollenlatch.Failure {
	if incoming.server == nil {
		return nil
	}
	start := time.Now()
	limited, cancel := context.WithDeadline(ctx, r.Deadline.Add(-bodyDeadlineMargin))
	defer cancel()
	paced := &pacedBody{ctx: limited, Reader: r.Body, incoming: incoming, left: r.Length, deadline: r.Deadline}
	paced.sender, _ = sender.(pollenlatch.RequestedBody)
	prefix, err := readBody(limited, paced)
	if err != nil {
		s.meter.bodiesFailed.Inc()
		return bodyFailure(limited, err, incoming)
	}
	if len(prefix) < maxReceivedBytes {
		incoming.End(true)
		r.Body = bytes.NewReader(prefix)
		s.meter.bodySeconds.Update(time.Since(start).Seconds())
	} else {
		paced.ctx, paced.stall = ctx, nil
		r.Body = io.MultiReader(bytes.NewReader(prefix), paced)
	}
	return crash.Check(s.cfg.Control.View(), r)
}

// turnRecheckInterval is the interval at which a body that waits for its turn is checked
// for whether it can still arrive in time.
const turnRecheckInterval = 50 * time.Millisecond

// minBodyRetryAfter is the minimum time after which the caller of a body that was given
// up is asked to retry.
const minBodyRetryAfter = 20 * time.Millisecond

// errBodyLate says that others that are due earlier keep the link busy for too long.
var errBodyLate = errors.New("the rest of the body would arrive after the deadline")

// errBodyStalled says that the sender of a body has stopped.
var errBodyStalled = errors.New("no byte of the body arrived in time")

// readBody reads a body to its end, or up to maxReceivedBytes. A read may still be in
// progress when it returns an error.
func readBody(ctx context.Context, body *pacedBody) ([]byte, error) {
	type result struct {
		data []byte
		err  error
	}
	done, stalled := make(chan result, 1), make(chan struct{})
	timer := time.AfterFunc(bodyStallTime, sync.OnceFunc(func() { close(stalled) }))
	defer timer.Stop()
	body.stall = timer
	length := body.left
	go func() {
		var b bytes.Buffer
		if length > 0 {
			b.Grow(int(min(length, maxReceivedBytes)) + bytes.MinRead)
		}
		n, err := b.ReadFrom(io.LimitReader(body, maxReceivedBytes))
		if err == nil && n < maxReceivedBytes && length >= 0 && n != length {
			err = io.ErrUnexpectedEOF
		}
		done <- result{b.Bytes(), err}
	}()
	select {
	case r := <-done:
		return r.data, r.err
	case <-stalled:
		return nil, errBodyStalled
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// bodyFailure returns the failure of a request whose body could not be received. It has
// not reached the server.
func bodyFailure(ctx context.Context, err error, incoming incomingBody) *pollenlatch.Failure {
	switch {
	case errors.Is(err, errBodyLate):
		f := refuse(pollenlatch.ReasonOverloaded, http.StatusServiceUnavailable, err.Error())
		f.RetryAfter = max(minBodyRetryAfter, time.Until(incoming.Arrival(time.Now()))-incoming.TransferTime())
		return f
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refuse(pollenlatch.ReasonDeadlineExceeded, http.StatusGatewayTimeout, "the body did not arrive before the deadline")
	case ctx.Err() != nil:
		return refuse(pollenlatch.ReasonCancelled, statusClientClosedRequest, "the caller disconnected")
	case errors.Is(err, errBodyStalled):
		return refuse(pollenlatch.ReasonDeadlineExceeded, http.StatusRequestTimeout, err.Error())
	default:
		return refuse(pollenlatch.ReasonBadRequest, http.StatusBadRequest, "request body could not be read: "+err.Error())
	}
}

// pacedBody reads a body in chunks for which the network link has room.
type pacedBody struct {
	io.Reader
	ctx      context.Context
	incoming incomingBody
	sender   pollenlatch.RequestedBody // nil when the sender is not asked
	granted  int                       // bytes that may be read
	left     int64                     // bytes that were not granted yet; negative when the length is unknown
	deadline time.Time                 // of the request
	stall    *time.Timer               // fires when a read makes no progress; nil after the part in memory
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.granted == 0 && b.left != 0 {
		if err := b.grant(); err != nil {
			return 0, err
		}
	}
	if b.stall != nil {
		b.stall.Reset(bodyStallTime)
	}
	n, err := b.Reader.Read(p[:min(len(p), max(1, b.granted))]) // the last read returns only the end
	b.granted = max(0, b.granted-n)
	if n > 0 && b.incoming.IncomingBody != nil {
		b.incoming.Arrived(n)
	}
	if errors.Is(err, io.EOF) && b.stall == nil {
		b.incoming.End(true)
	}
	return n, err
}

// grant waits for room on the link, and requests a chunk. The wait is not the fault of
// the sender.
func (b *pacedBody) grant() error {
	if b.stall != nil {
		b.stall.Stop()
	}
	n := bodyChunkBytes
	if b.left > 0 {
		n = int(min(bodyChunkBytes, b.left))
		b.left -= int64(n)
	}
	if b.incoming.IncomingBody != nil {
		if err := b.awaitTurn(n); err != nil {
			return err
		}
	}
	if b.sender != nil {
		if err := b.sender.Request(n); err != nil {
			return err
		}
	}
	b.granted = n
	return nil
}

// awaitTurn waits until the next n bytes may be requested. It gives up when the body is
// likely to arrive too late.
func (b *pacedBody) awaitTurn(n int) error {
	for {
		if b.stall != nil && b.incoming.Arrival(time.Now()).After(b.deadline) {
			return errBodyLate
		}
		ctx, cancel := context.WithTimeout(b.ctx, turnRecheckInterval)
		err := b.incoming.Wait(ctx, n)
		cancel()
		if err == nil || b.ctx.Err() != nil {
			return err
		}
	}
}
