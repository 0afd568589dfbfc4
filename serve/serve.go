// Package serve is the pipeline of the owner's daemon: ownership, idempotency
// record, admission, and the exchange with the server beside it.
package serve

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pollenlatch"
	"pollenlatch/dedup"
	"pollenlatch/logs"
)

const (
	// DefaultCatchUpTimeout bounds the wait of a request that was routed by a newer
	// state than this daemon holds. Deltas follow a commit within a heartbeat
	// or two of 40 ms.
	DefaultCatchUpTimeout = 200 * time.Millisecond

	retryAfter   = time.Second
	statusClosed = 499
)

// Config connects the parts of the pipeline. Control, Gate, Exchanger, Records
// and Endpoint are required.
type Config struct {
	Control   pollenlatch.Control
	Admitter  pollenlatch.Admitter
	Exchanger pollenlatch.Exchanger
	Records   *dedup.Store
	// Endpoint returns what this daemon knows of the server beside it.
	Endpoint func() (e pollenlatch.Endpoint, ok bool)
	// Probe is called when the server failed a request: it should be probed.
	Probe          func()
	FrontAddr      string        // callers' address of this daemon, for answers
	CatchUpTimeout time.Duration // 0 is DefaultCatchUpTimeout
	Metrics        *metrics.Set  // nil keeps the figures to itself
	Grants         Grants        // nil: the server has every grant that the state gives it
	// ReadAheadBytes is how many bytes of an answer are read from the server before the
	// first is passed on; 0 passes them on as they come.
	ReadAheadBytes int
}

// Grants tells which shards the server beside this daemon has been granted, for
// a server that fetches its grants by heartbeats.
type Grants interface {
	// HasGrant reports whether the server has a shard under a fence, and otherwise
	// how long it takes until its next heartbeat.
	HasGrant(s pollenlatch.Shard, f pollenlatch.Fence) (held bool, wait time.Duration)
	// Changed returns a channel that is closed at the next answer to a heartbeat.
	Changed() <-chan struct{}
	// DrainingSince returns when the server said that it leaves, or 0.
	DrainingSince() pollenlatch.MonoTime
	// ServerRefused says that the server refused a request for a shard because it does
	// not hold it.
	ServerRefused(s pollenlatch.Shard)
	// ServerReplaced says that another server has the address.
	ServerReplaced()
}

// Server is a pollenlatch.Handler for requests of the server beside this
// daemon. Use New.
type Server struct {
	cfg   Config
	meter *meter
	lines *logs.Outcomes

	exchanges exchanges
}

// New returns the pipeline.
func New(cfg Config) *Server {
	if cfg.CatchUpTimeout == 0 {
		cfg.CatchUpTimeout = DefaultCatchUpTimeout
	}
	if cfg.Probe == nil {
		cfg.Probe = func() {}
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	return &Server{cfg: cfg, meter: newMeter(cfg), lines: logs.NewOutcomes()}
}

// Handle runs one request. The request stays counted as in flight until the
// body of the response has been read to its end or closed. The error is a
// *pollenlatch.Failure.
func (s *Server) Handle(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	start := time.Now()
	resp, err := s.handle(ctx, r)
	if err != nil {
		f := asFailure(err)
		s.meter.failed(f)
		if r.Routed() {
			s.log(r, f, time.Since(start))
		}
		return nil, f
	}
	s.meter.answered.Inc()
	resp.OwnerAddr = s.cfg.FrontAddr
	return resp, nil
}

func (s *Server) handle(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	service, owner, err := s.owns(ctx, r)
	if err != nil {
		return nil, err
	}
	run, resp, err := s.begin(ctx, r, service, owner)
	if err != nil {
		return nil, err
	}
	if run == nil && resp != nil {
		return resp, nil
	}
	resp, f := s.run(ctx, r, service, run)
	if f != nil {
		return nil, f
	}
	return resp, nil
}

// begin looks for an earlier run of the request. It returns neither a run nor
// a response for requests that need no record.
func (s *Server) begin(
	ctx context.Context, r *pollenlatch.Request, service pollenlatch.Service, owner pollenlatch.Owner,
) (*dedup.Run, *pollenlatch.Response, error) {
	switch {
	case r.Idempotent || r.IdempotencyKey == "":
		return nil, nil, nil
	case !r.Sharded():
		return nil, nil, refuse(pollenlatch.ReasonBadRequest, http.StatusBadRequest, "a request with an idempotency key must be routed by shard")
	}
	return s.cfg.Records.Begin(ctx, r, dedup.Rule{
		TTL: service.RecordTTL, Fence: owner.Fence, NoRecords: owner.NoRecords, Key: routingKey(service, r),
	})
}

// run admits the request and exchanges it with the server. After a failure
// nothing of it stays counted, and its record says what became of it.
func (s *Server) run(
	ctx context.Context, r *pollenlatch.Request, service pollenlatch.Service, run *dedup.Run,
) (*pollenlatch.Response, *pollenlatch.Failure) {
	fail := func(err error) *pollenlatch.Failure {
		f := asFailure(err)
		if run != nil {
			run.Fail(f.Outcome)
		}
		return f
	}
	arrived := time.Now()
	if f := s.available(r); f != nil {
		return nil, fail(f)
	}
	if r.Sharded() && service.Heartbeats && s.cfg.Grants != nil {
		if f := s.granted(ctx, r); f != nil {
			return nil, fail(f)
		}
	}
	release, err := s.cfg.Admitter.Admit(ctx, pollenlatch.AdmitRequest{
		Service:      r.Service,
		Caller:       r.Caller,
		Class:        classOf(service, r),
		Deadline:     r.Deadline,
		Route:        r.Route,
		SoftDeadline: r.SoftDeadline,
		Nested:       r.Nested,
		Bulk:         r.Bulk,
	})
	if err != nil {
		return nil, fail(err)
	}
	pass, err := s.cfg.Control.Acquire(r.Shard, r.Fence)
	if err != nil {
		release()
		return nil, fail(err)
	}
	// A ticket may raise maxrun while the request waits, and the relay goes by
	// what holds when it writes the request.
	maxRun := s.maxRun(service)
	check := func() error {
		maxRun = max(maxRun, s.maxRun(service))
		return pass.Check()
	}
	kept := false   // counted until the answer has been read
	proven := false // it did not run
	defer func() {
		if kept {
			return
		}
		// The record comes first: a hand-over exports it once nothing is in
		// flight. Fail does nothing unless the exchange panicked.
		if run != nil {
			run.Fail(pollenlatch.OutcomeUnknown)
		}
		exit(pass, proven, maxRun)
		release()
	}()
	q := *r
	if run != nil {
		run.Start()
		q.Body = run.Body()
	}
	start := time.Now()
	resp, err := s.exchange(ctx, &q, check)
	if err != nil {
		f := fail(err)
		proven = f.Outcome == pollenlatch.OutcomeNotRun
		s.suspect(f)
		s.tell(r, f)
		return nil, f
	}
	s.meter.exchanged(true, time.Since(start))
	if run != nil {
		resp = run.Response(resp)
	}
	kept = true
	resp = counted(resp, pass, maxRun, release)
	if s.cfg.ReadAheadBytes > 0 && r.Method != http.MethodHead {
		if resp, err = readAhead(resp, s.cfg.ReadAheadBytes); err != nil {
			return nil, s.cut(err)
		}
	}
	if now := time.Now(); !r.SoftDeadline.IsZero() && now.After(r.SoftDeadline) {
		s.logLate(r, start.Sub(arrived), now.Sub(start), now.Sub(r.SoftDeadline))
	}
	return resp, nil
}

// exchange passes a request to the server and keeps its id until the answer
// begins: a server that makes calls waits for them before it answers.
func (s *Server) exchange(ctx context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error) {
	s.exchanges.begin(r.ID, r.Retried)
	defer s.exchanges.end(r.ID)
	return s.cfg.Exchanger.Exchange(ctx, r, check)
}

// cut returns the failure of a request whose answer broke off.
func (s *Server) cut(err error) *pollenlatch.Failure {
	f := *asFailure(err)
	f.Outcome, f.Sent = pollenlatch.OutcomeUnknown, true
	s.suspect(&f)
	return &f
}

// classOf returns the class that the route gives, or else the service's rules.
func classOf(s pollenlatch.Service, r *pollenlatch.Request) pollenlatch.Class {
	if r.Routed() {
		return r.Class
	}
	return s.ClassOf(r.Caller, r.Kind)
}

// tell passes on what a refusal of the server says of its grants.
func (s *Server) tell(r *pollenlatch.Request, f *pollenlatch.Failure) {
	switch {
	case s.cfg.Grants == nil:
	case f.Reason == pollenlatch.ReasonServerReplaced:
		s.cfg.Grants.ServerReplaced()
	case f.Reason == pollenlatch.ReasonServerRefused && r.Sharded():
		s.cfg.Grants.ServerRefused(r.Shard)
	}
}

// maxRun returns the larger of a service's maxrun now and when the request came.
func (s *Server) maxRun(then pollenlatch.Service) time.Duration {
	now, _ := s.cfg.Control.View().Service(then.Name)
	return max(then.MaxRun, now.MaxRun)
}

// exit ends the pass of a request. One that may still run at the server stays
// counted until the server drops it for its deadline, which is at most maxRun
// after the ownership check: another owner must not act before that.
func exit(pass pollenlatch.Permit, ended bool, maxRun time.Duration) {
	if ended {
		pass.Release()
		return
	}
	pass.ReleaseAfter(maxRun)
}

func refuse(why pollenlatch.Reason, status int, detail string) *pollenlatch.Failure {
	f := &pollenlatch.Failure{Outcome: pollenlatch.OutcomeNotRun, Reason: why, Status: status, Detail: detail}
	if status == http.StatusServiceUnavailable {
		f.RetryAfter = retryAfter
	}
	return f
}

// asFailure returns err as a failure. A part that breaks its promise to return
// one leaves the outcome open.
func asFailure(err error) *pollenlatch.Failure {
	var f *pollenlatch.Failure
	if errors.As(err, &f) {
		return f
	}
	return &pollenlatch.Failure{
		Outcome: pollenlatch.OutcomeUnknown,
		Reason:  pollenlatch.ReasonConnectionLost,
		Status:  http.StatusBadGateway,
		Detail:  err.Error(),
	}
}
