package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"pollenlatch"
)

// sendAttempt sends the request to the target.
func (p *pendingRequest) sendAttempt(ctx context.Context) (*pollenlatch.Response, *pollenlatch.Failure) {
	t := p.target
	req := *p.request
	req.Version, req.Shard, req.Fence, req.Idempotent = t.version, t.owner.Shard, t.owner.Fence, t.idempotent
	req.Retried, req.Returned = req.Retried || p.sends > 0, req.Waited > 0
	req.Starved = p.starved
	start := time.Now()
	if p.body != nil {
		if req.Body = p.body.rewind(); req.Body == nil {
			return nil, p.reportFailure(notRunFailure(pollenlatch.ReasonConnectionLost, http.StatusServiceUnavailable, "%v", errNotReplayable), start)
		}
	}
	p.attempts++
	if trace := p.request.Trace; trace != nil {
		*trace = pollenlatch.RequestTrace{Hops: p.attempts, Sends: p.sends, Instance: t.instance.Name, Fence: t.owner.Fence, Version: t.version}
	}
	var resp *pollenlatch.Response
	var err error
	if t.instance.ID == p.cfg.Control.Self() {
		resp, err = p.cfg.Local.Handle(ctx, &req)
	} else {
		resp, err = p.cfg.Forwarder.Forward(ctx, t.instance.Addr, &req)
	}
	if err != nil {
		f := asFailure(err)
		p.recordHint(f.Hint)
		return nil, p.reportFailure(f, start)
	}
	p.recordHint(resp.Hint)
	if resp.Leaving && t.instance.Endpoint != nil {
		p.leaving.record(t.instance.Endpoint.Incarnation, time.Now())
	}
	if resp.OwnerAddr == "" {
		resp.OwnerAddr = t.instance.Front
	}
	if f := p.retryableServerError(resp); f != nil {
		return nil, p.reportFailure(f, start)
	}
	p.recordNestedTimes(&resp.ResponseHead, start, time.Now())
	if t.done != nil {
		b := &observedBody{ReadCloser: resp.Body, done: t.done, took: time.Since(start)}
		if resp.Status >= http.StatusInternalServerError {
			b.reason = pollenlatch.ReasonServerError
		}
		resp.Body = b
	}
	return resp, nil
}

// reportFailure reports a failed attempt to the picker, and returns its
// failure.
func (p *pendingRequest) reportFailure(f *pollenlatch.Failure, start time.Time) *pollenlatch.Failure {
	p.mayHaveRun = p.mayHaveRun || f.Outcome == pollenlatch.OutcomeUnknown
	if done := p.target.done; done != nil {
		done(f.Outcome, f.Reason, time.Since(start))
		p.tried = p.tried.With(p.target.instance.ID)
	}
	return f
}

// observedBody reports the result of a request to the picker when its response
// body ends.
type observedBody struct {
	io.ReadCloser
	done   func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration)
	took   time.Duration      // time until the response head
	reason pollenlatch.Reason // if the body is read completely
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.end(pollenlatch.OutcomeRan, b.reason)
	case err != nil:
		b.end(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
	}
	return n, err
}

// Close implements io.Closer.
func (b *observedBody) Close() error {
	b.end(pollenlatch.OutcomeUnknown, pollenlatch.ReasonCancelled)
	return b.ReadCloser.Close()
}

func (b *observedBody) end(o pollenlatch.Outcome, r pollenlatch.Reason) {
	if b.done != nil {
		b.done(o, r, b.took)
		b.done = nil
	}
}
