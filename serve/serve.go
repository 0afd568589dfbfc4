// Package serve is the request pipeline of the daemon that owns a shard: ownership
// check, idempotency record, admission, and the exchange with the local server.
package serve

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pollenlatch"
	"pollenlatch/crash"
	"pollenlatch/dedup"
	"pollenlatch/gauge"
	"pollenlatch/logs"
)

const (
	// DefaultCatchUpTimeout is the maximum wait of a request that was routed by a
	// newer version of the state than this daemon has. Deltas arrive within one or
	// two heartbeats of 40 ms after a commit.
	DefaultCatchUpTimeout = 200 * time.Millisecond

	retryAfter                = time.Second
	statusClientClosedRequest = 499
)

// Config configures a Server. Control, Admitter, Exchanger, Records and Endpoint
// are required.
type Config struct {
	Control   pollenlatch.Control
	Admitter  pollenlatch.Admitter
	Exchanger pollenlatch.Exchanger
	Records   *dedup.Store
	// Endpoint returns the current state of the local server.
	Endpoint func() (e pollenlatch.Endpoint, ok bool)
	// Probe requests a probe of the server. It is called when the server failed a
	// request.
	Probe          func()
	FrontAddr      string         // address of this daemon for callers, added to responses
	CatchUpTimeout time.Duration  // 0 is DefaultCatchUpTimeout
	Metrics        *metrics.Set   // nil: metrics are not exported
	Grants         Grants         // nil: the server has the grants of all shards that this instance owns
	Crashes        *crash.Monitor // tells which requests may end servers; nil: none
	// Evacuated reports whether the local server must get no requests that are routed by
	// shard, or none at all, since its data centre is evacuated; nil is never.
	Evacuated func(sharded bool) bool
	// ReportCleared is called after a suspect has completed; nil reports nothing.
	ReportCleared func(pollenlatch.Fingerprint)
	// Adaptive reports whether the parts for overload apply; nil: they do not.
	Adaptive func() bool
	// Hint returns what other daemons need to know of the load of the local server; nil:
	// they are told nothing.
	Hint func() *pollenlatch.ServerHint
	// Failing estimates which share of the exchanges fails; nil: nobody uses it.
	Failing *gauge.Failing
	// Full reports whether more requests are at the local server, by this daemon's count,
	// than it has slots; nil: a refusal by the server never counts as its fault.
	Full func() bool
	// ExpectedRun returns how long a request is likely to run, at most, if it starts now; 0
	// is unknown. nil: nothing is known.
	ExpectedRun func(*pollenlatch.Request) time.Duration
	// ReadAheadBytes is how many bytes of a response are buffered before the first
	// is passed on; 0 disables buffering.
	ReadAheadBytes int
	// MaxBufferedBytes is the maximum of these bytes over all responses; 0 is unlimited.
	// Beyond it, little more than the head of a response is buffered.
	MaxBufferedBytes int64
	// Intake schedules the bodies of requests with LargeBody on the network link; nil
	// is an unlimited link.
	Intake pollenlatch.Intake
}

// Grants tells which shards the local server has been granted, for a server that
// receives its grants by heartbeats.
type Grants interface {
	// HasGrant reports whether the server has been granted a shard with a fence, and
	// otherwise the time until its next heartbeat.
	HasGrant(s pollenlatch.Shard, f pollenlatch.Fence) (granted bool, nextHeartbeat time.Duration)
	// Changed returns a channel that is closed at the next heartbeat reply.
	Changed() <-chan struct{}
	// DrainingSince returns when the server announced that it drains, or 0.
	DrainingSince() pollenlatch.MonoTime
	// ServerRefused reports that the server refused a request because it does not
	// have the grant of the shard.
	ServerRefused(s pollenlatch.Shard)
	// ServerReplaced reports that another server has taken over the address.
	ServerReplaced()
}

// Server is a pollenlatch.Handler that passes requests to the local server. Use
// New.
type Server struct {
	cfg        Config
	meter      *meter
	logLimiter *logs.RequestLimiter

	active   activeRequests
	buffered readAheadBudget
}

// New returns a Server with the defaults of cfg filled in.
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
	if cfg.Crashes == nil {
		cfg.Crashes = new(crash.Monitor)
	}
	if cfg.ReportCleared == nil {
		cfg.ReportCleared = func(pollenlatch.Fingerprint) {}
	}
	if cfg.Failing == nil {
		cfg.Failing = new(gauge.Failing)
	}
	if cfg.Full == nil {
		cfg.Full = func() bool { return true }
	}
	if cfg.Adaptive == nil {
		cfg.Adaptive = func() bool { return false }
	}
	s := &Server{cfg: cfg, meter: newMeter(cfg), logLimiter: logs.NewRequestLimiter()}
	s.buffered.limit = cfg.MaxBufferedBytes
	cfg.Metrics.GetOrCreateGauge("pollenlatch_serve_buffered_bytes", func() float64 { return float64(s.buffered.used.Load()) })
	return s
}

// Handle runs one request. The request stays in flight until the body of the
// response has been read to its end or closed. The error is a
// *pollenlatch.Failure.
func (s *Server) Handle(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	start := time.Now()
	resp, err := s.handle(ctx, r)
	if err != nil {
		f := asFailure(err)
		s.meter.countFailure(f)
		if r.Routed() {
			s.logFailure(r, f, time.Since(start))
		}
		if h := s.hint(r); h != nil {
			g := *f
			g.Hint = h
			return nil, &g
		}
		return nil, f
	}
	s.meter.responses.Inc()
	resp.OwnerAddr, resp.Hint = s.cfg.FrontAddr, s.hint(r)
	if r.Nested {
		resp.TotalTime = time.Since(start)
	}
	return resp, nil
}

// hint returns what the response to a request, or its failure, says of the load of the
// local server; nil when that is not the server of the request.
func (s *Server) hint(r *pollenlatch.Request) *pollenlatch.ServerHint {
	if s.cfg.Hint == nil || !r.Routed() || !s.cfg.Adaptive() {
		return nil
	}
	if e, ok := s.cfg.Endpoint(); !ok || e.Service != r.Service || !e.Ready {
		return nil
	}
	return s.cfg.Hint()
}

func (s *Server) handle(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	service, owner, err := s.checkOwner(ctx, r)
	if err != nil {
		return nil, err
	}
	if !awaitsBody(r) { // else it is checked when the body has arrived
		if f := crash.Check(s.cfg.Control.View(), r); f != nil {
			return nil, f
		}
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

// begin looks for an idempotency record of the request. It returns a response if
// the request ran before, a run if it may run now, and neither if the request
// needs no record.
func (s *Server) begin(
	ctx context.Context, r *pollenlatch.Request, service pollenlatch.Service, owner pollenlatch.Owner,
) (*dedup.Run, *pollenlatch.Response, error) {
	switch {
	case r.Idempotent || r.IdempotencyKey == "":
		return nil, nil, nil
	case !r.Sharded():
		return nil, nil, refuse(pollenlatch.ReasonBadRequest, http.StatusBadRequest, "a request with an idempotency key must be routed by shard")
	}
	return s.cfg.Records.Begin(ctx, r, dedup.BeginOptions{
		TTL: service.RecordTTL, Fence: owner.Fence, NoRecords: owner.NoRecords, RoutingKey: routingKey(service, r),
	})
}

// run admits the request and sends it to the server. After a failure its slot is
// released and its record has the outcome; its permit is released at once, or
// after maxRun if the request may still run.
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
	arrival := time.Now()
	pollenlatch.RevocableOf(ctx).ExpectRun(func() time.Duration { return s.expectedRun(r, arrival) })
	if f := s.checkEndpoint(r); f != nil {
		return nil, fail(f)
	}
	if r.Sharded() && service.Heartbeats && s.cfg.Grants != nil {
		if f := s.awaitGrant(ctx, r); f != nil {
			return nil, fail(f)
		}
	}
	adaptive := s.cfg.Adaptive()
	incoming := s.beginBody(r)
	defer incoming.End(false)
	release, err := s.cfg.Admitter.Admit(ctx, pollenlatch.AdmitRequest{
		Service:      r.Service,
		Caller:       r.Caller,
		Class:        classOf(service, r),
		Deadline:     r.Deadline,
		Route:        r.Route,
		SoftDeadline: r.SoftDeadline,
		Nested:       r.Nested,
		Bulk:         r.Bulk,
		Body:         incoming.IncomingBody,
		Returned:     r.Returned,
		Starved:      r.Starved,
		Adaptive:     adaptive,
	})
	if err != nil {
		incoming.countRefusal()
		return nil, fail(err)
	}
	q := *r
	if run != nil {
		q.Body = run.Body()
	}
	admitted := time.Now()
	if f := s.receiveBody(ctx, &q, r.Body, incoming); f != nil {
		release()
		return nil, fail(f)
	}
	permit, err := s.cfg.Control.Acquire(r.Shard, r.Fence)
	if err != nil {
		release()
		return nil, fail(err)
	}
	// A ticket may raise maxrun while the request waits, and the relay applies the
	// value at the time when it writes the request.
	maxRun := s.maxRun(service)
	check := func() error {
		maxRun = max(maxRun, s.maxRun(service))
		if pollenlatch.CallerLeft(ctx) {
			return refuse(pollenlatch.ReasonCancelled, statusClientClosedRequest, "the caller disconnected")
		}
		// The server may have begun to drain while the request waited for its slot.
		if s.drainGraceOver() {
			return refuse(pollenlatch.ReasonDraining, http.StatusServiceUnavailable, "the server has been draining for too long")
		}
		if s.evacuated(r) {
			return Evacuated()
		}
		if err := permit.Check(); err != nil {
			return err
		}
		if !pollenlatch.BeginRun(ctx) {
			return refuse(pollenlatch.ReasonDeadlineExceeded, http.StatusServiceUnavailable, "the request was revoked")
		}
		return nil
	}
	tracked := false // released with the response body
	notRun := false  // the server did not run it
	defer func() {
		if tracked {
			return
		}
		// The record is completed before the permit is released, because a hand-over
		// exports the records as soon as nothing is in flight. Fail has no effect
		// unless the exchange panicked.
		if run != nil {
			run.Fail(pollenlatch.OutcomeUnknown)
		}
		releasePermit(permit, notRun, maxRun)
		release()
	}()
	if run != nil {
		run.MarkStarted()
	}
	monitored := s.cfg.Crashes.Begin(&q)
	failure := abandoned // of the run; nil once it has a response
	defer func() {
		monitored.End(failure, time.Now())
		if failure == nil && monitored.ClearsSuspect(s.cfg.Control.View()) {
			s.cfg.ReportCleared(monitored.Fingerprint())
		}
	}()
	start := time.Now()
	resp, err := s.exchange(ctx, &q, check)
	if err != nil {
		f := fail(err)
		failure = f
		notRun = f.Outcome == pollenlatch.OutcomeNotRun
		s.recordServerFailure(f)
		s.recordFailing(f)
		s.reportRefusal(r, f)
		return nil, f
	}
	failure = nil
	s.meter.recordExchange(true, time.Since(start))
	if run != nil {
		resp = run.RecordResponse(resp)
	}
	tracked = true
	resp = trackResponse(resp, permit, maxRun, release)
	if s.cfg.ReadAheadBytes > 0 && r.Method != http.MethodHead {
		if resp, err = s.buffered.readAhead(resp, s.cfg.ReadAheadBytes); err != nil {
			failure = s.truncated(err)
			s.recordFailing(failure)
			return nil, failure
		}
	}
	s.cfg.Failing.Record(false, time.Now())
	if now := time.Now(); !r.SoftDeadline.IsZero() && now.After(r.SoftDeadline) {
		s.logLate(r, admitted.Sub(arrival), start.Sub(admitted), now.Sub(start), now.Sub(r.SoftDeadline))
	}
	if r.Nested {
		resp.QueueTime = start.Sub(arrival)
	}
	return resp, nil
}

// expectedRun returns how long a request that arrived at arrival is likely to run, at most.
// The latency objective stands for a run time that is not known yet.
func (s *Server) expectedRun(r *pollenlatch.Request, arrival time.Time) time.Duration {
	if s.cfg.ExpectedRun != nil {
		if d := s.cfg.ExpectedRun(r); d > 0 {
			return d
		}
	}
	if r.SoftDeadline.IsZero() {
		return 0
	}
	return max(0, r.SoftDeadline.Sub(arrival))
}

// abandoned is the failure of a run that a panic has ended.
var abandoned = &pollenlatch.Failure{Outcome: pollenlatch.OutcomeUnknown, Reason: pollenlatch.ReasonCancelled}

// exchange sends a request to the server. The request is active until its response
// begins, because a server waits for its nested requests before it responds.
func (s *Server) exchange(ctx context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error) {
	s.active.begin(r.ID, r.Retried)
	defer s.active.end(r.ID)
	return s.cfg.Exchanger.Exchange(ctx, r, check)
}

// truncated returns the failure of a request whose response was truncated.
func (s *Server) truncated(err error) *pollenlatch.Failure {
	f := *asFailure(err)
	f.Outcome, f.Sent = pollenlatch.OutcomeUnknown, true
	s.recordServerFailure(&f)
	return &f
}

// classOf returns the class of the request's route, or else the class by the
// service's rules.
func classOf(s pollenlatch.Service, r *pollenlatch.Request) pollenlatch.Class {
	if r.Routed() {
		return r.Class
	}
	return s.ClassOf(r.Caller, r.Kind)
}

// reportRefusal updates Grants after the server refused a request.
func (s *Server) reportRefusal(r *pollenlatch.Request, f *pollenlatch.Failure) {
	switch {
	case s.cfg.Grants == nil:
	case f.Reason == pollenlatch.ReasonServerReplaced:
		s.cfg.Grants.ServerReplaced()
	case f.Reason == pollenlatch.ReasonServerRefused && r.Sharded():
		s.cfg.Grants.ServerRefused(r.Shard)
	}
}

// maxRun returns the larger of the service's maxrun now and at the arrival of the
// request.
func (s *Server) maxRun(atArrival pollenlatch.Service) time.Duration {
	now, _ := s.cfg.Control.View().Service(atArrival.Name)
	return max(atArrival.MaxRun, now.MaxRun)
}

// releasePermit releases the permit of a request. A request that may still run at
// the server stays in flight until the server drops it at its deadline, which is
// at most maxRun after the ownership check: another owner must not act before
// that.
func releasePermit(permit pollenlatch.Permit, completed bool, maxRun time.Duration) {
	if completed {
		permit.Release()
		return
	}
	permit.ReleaseAfter(maxRun)
}

func refuse(reason pollenlatch.Reason, status int, detail string) *pollenlatch.Failure {
	f := &pollenlatch.Failure{Outcome: pollenlatch.OutcomeNotRun, Reason: reason, Status: status, Detail: detail}
	if status == http.StatusServiceUnavailable {
		f.RetryAfter = retryAfter
	}
	return f
}

// asFailure returns err as a *pollenlatch.Failure. Another error, which violates
// the contract of the interfaces, becomes one with OutcomeUnknown.
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
