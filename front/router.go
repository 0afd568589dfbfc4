package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"

	"pollenlatch"
	"pollenlatch/crash"
	"pollenlatch/hints"
	"pollenlatch/logs"
	"pollenlatch/pick"
)

const (
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
	// maxAttempts limits the attempts of a request without a Route. With the
	// backoff between them they take longer than the second in which a lost
	// owner is replaced.
	maxAttempts       = 12
	defaultRetryAfter = time.Second // for callers
	// minThrottledRetryAfter is the minimum Retry-After of a request that was not
	// sent because its target refuses most requests.
	minThrottledRetryAfter = 100 * time.Millisecond
)

// RouterConfig is the configuration of a Router.
type RouterConfig struct {
	Control        pollenlatch.Control
	Local          pollenlatch.Handler // runs requests at the local server
	Forwarder      pollenlatch.Forwarder
	Picker         pollenlatch.Picker
	RetryBudget    *pick.RetryBudget    // for requests without a Route; nil uses the defaults
	ServiceBudgets *pick.ServiceBudgets // for requests with a Route; nil allows no retry that sends to a second server
	Clock          pollenlatch.Clock
	// OwnServerFree reports whether the local server can run another request now. It then
	// gets the requests with large bodies; nil: it gets them like any other server.
	OwnServerFree func() bool
	Hints         *hints.Table // of the daemons beside the servers; nil keeps them in the router
	Adaptive      func() bool  // reports whether the parts for overload apply; nil: they do not
	DC            string       // of this instance
	Metrics       *metrics.Set // nil exports no metrics
	// Evacuated reports whether the servers of a data centre must get no requests that
	// are routed by shard, or none at all; nil is none.
	Evacuated func(dc string, sharded bool) bool
}

// Router sends each request to the daemon whose local server is to run it. It
// implements pollenlatch.Handler.
type Router struct {
	cfg            RouterConfig
	retries        *metrics.Counter
	retriesRefused *metrics.Counter // retries that the budget did not allow
	waits          *metrics.Counter // waits for an owner or endpoint
	throttled      *metrics.Counter // requests refused because their target refuses most of them
	abandoned      *metrics.Counter // requests not sent because their callers had disconnected
	ownServer      *metrics.Counter // requests with large bodies that the own server got instead of the picked one
	full           *metrics.Counter // requests refused because their servers are known to be full
	fullLog        *logs.Limiter
	shares         serviceShares
	nestedTimes    nestedMetrics
	throttle       throttle
	leaving        leavingServers
}

// NewRouter returns a router. Control, Local, Forwarder and Picker must be set.
func NewRouter(cfg RouterConfig) *Router {
	if cfg.RetryBudget == nil {
		cfg.RetryBudget = new(pick.RetryBudget)
	}
	if cfg.ServiceBudgets == nil {
		cfg.ServiceBudgets = new(pick.ServiceBudgets)
	}
	if cfg.Clock == nil {
		cfg.Clock = pollenlatch.SystemClock{}
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Hints == nil {
		cfg.Hints = new(hints.Table)
	}
	return &Router{
		cfg:            cfg,
		retries:        cfg.Metrics.GetOrCreateCounter("pollenlatch_front_retries_total"),
		retriesRefused: cfg.Metrics.GetOrCreateCounter("pollenlatch_front_retries_refused_total"),
		waits:          cfg.Metrics.GetOrCreateCounter("pollenlatch_front_waits_total"),
		throttled:      cfg.Metrics.GetOrCreateCounter("pollenlatch_front_throttled_total"),
		full:           cfg.Metrics.GetOrCreateCounter("pollenlatch_front_full_total"),
		fullLog:        logs.NewLimiter(fullLinesPerSecond, fullLinesPerSecond),
		abandoned:      cfg.Metrics.GetOrCreateCounter("pollenlatch_front_abandoned_total"),
		ownServer:      cfg.Metrics.GetOrCreateCounter("pollenlatch_front_own_server_total"),
		nestedTimes:    newNestedMetrics(cfg.Metrics),
	}
}

// pendingRequest is the state of one request in the router.
type pendingRequest struct {
	*Router
	request    *pollenlatch.Request
	body       rewindableBody // nil when there is none
	arrival    time.Time      // set for nested requests
	tried      pollenlatch.Set[pollenlatch.InstanceID]
	backoff    *backoff.ExponentialBackOff
	attempts   int
	sends      int                    // attempts that reached a server
	hasUntried bool                   // there is an endpoint that was not tried
	mayHaveRun bool                   // an earlier attempt may have run
	target     target                 // of the last attempt
	usable     []pollenlatch.Instance // endpoints that may run a request that is not routed by shard
	starved    bool                   // its route is served too rarely
	served     bool
}

// target is the destination of one attempt.
type target struct {
	instance   pollenlatch.Instance
	owner      pollenlatch.Owner // zero when the request is not routed by shard
	version    pollenlatch.Version
	idempotent bool
	done       func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration) // reports the result to the picker; nil for a request routed by shard
}

// Handle implements pollenlatch.Handler.
func (rt *Router) Handle(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	p := &pendingRequest{Router: rt, request: r}
	if r.Nested {
		p.arrival = time.Now()
	}
	switch b := r.Body.(type) {
	case nil:
	case rewindableBody:
		p.body = b
	default:
		p.body = newReplayBody(b)
	}
	if f := p.checkQuarantine(); f != nil {
		return nil, f
	}
	prepareRetry := p.prepareRetry
	if r.Routed() {
		if r.Retried {
			rt.cfg.ServiceBudgets.Charge(r.Service)
		} else {
			rt.cfg.ServiceBudgets.RecordRequest(r.Service)
		}
		if p.adaptive() {
			if p.starved = rt.shares.offer(r, time.Now()); r.Nested {
				rt.cfg.ServiceBudgets.KeepForNested(r.Service)
			}
			defer func() { rt.shares.end(r, p.starved, p.served) }()
		}
		prepareRetry = p.prepareRoutedRetry
	} else {
		rt.cfg.RetryBudget.RecordRequest()
	}
	for {
		f := p.findTarget(ctx)
		if f != nil {
			return nil, p.finalFailure(f)
		}
		if f := p.checkFull(); f != nil {
			return nil, p.finalFailure(f)
		}
		if f := p.checkThrottle(); f != nil {
			return nil, p.finalFailure(p.withRetryAfter(f))
		}
		resp, f := p.sendAttempt(ctx)
		if f == nil {
			p.recordThrottle(nil)
			p.served = resp.Status < http.StatusInternalServerError
			return resp, nil
		}
		p.recordThrottle(f)
		pollenlatch.RevocableOf(ctx).Reopen()
		if !prepareRetry(ctx, f) {
			return nil, p.finalFailure(p.withRetryAfter(f))
		}
	}
}

// checkQuarantine refuses a quarantined request. A body that is not in memory is checked
// only by the instance beside the server, so that it is not awaited here.
func (p *pendingRequest) checkQuarantine() *pollenlatch.Failure {
	r := *p.request
	if p.body != nil {
		b, buffered := p.body.(*bufferedBody)
		if !buffered {
			return nil
		}
		r.Body = b.rewind()
	}
	return crash.Check(p.cfg.Control.View(), &r)
}

// throttleTarget returns the target whose overload the throttle observes, or false
// for a request that it does not apply to: a nested one, whose parent holds a slot
// meanwhile, and one for the local server, which costs nothing to ask.
func (p *pendingRequest) throttleTarget() (throttleTarget, bool) {
	r := p.request
	if !r.Routed() || r.Nested || p.target.instance.ID == p.cfg.Control.Self() {
		return throttleTarget{}, false
	}
	return throttleTarget{instance: p.target.owner.Instance, service: r.Service, route: r.Route}, true
}

// checkThrottle refuses the request if its target refuses most requests. A request
// for any server of a service counts once, however many servers are asked.
func (p *pendingRequest) checkThrottle() *pollenlatch.Failure {
	k, ok := p.throttleTarget()
	if !ok || (k.instance == 0 && p.attempts > 0) {
		return nil
	}
	admitted, retryAfter := p.throttle.admit(k, time.Now())
	if admitted || p.starved {
		return nil
	}
	p.throttled.Inc()
	if p.target.done != nil {
		p.target.done(pollenlatch.OutcomeNotRun, pollenlatch.ReasonCancelled, 0)
	}
	f := notRunFailure(pollenlatch.ReasonOverloaded, http.StatusServiceUnavailable, "the target of the request refuses most requests")
	f.RetryAfter = max(minThrottledRetryAfter, retryAfter)
	return f
}

// recordThrottle records the result of an attempt; f is nil after a response.
func (p *pendingRequest) recordThrottle(f *pollenlatch.Failure) {
	if k, ok := p.throttleTarget(); ok {
		p.throttle.record(k, f, time.Now())
	}
}

// finalFailure returns the failure to report to the caller. If an earlier
// attempt may have run, its outcome cannot be OutcomeNotRun.
func (p *pendingRequest) finalFailure(f *pollenlatch.Failure) *pollenlatch.Failure {
	if !p.mayHaveRun || f.Outcome != pollenlatch.OutcomeNotRun {
		return f
	}
	g := *f
	g.Outcome = pollenlatch.OutcomeUnknown
	g.Detail = "an earlier attempt may have run; last failure: " + f.Detail
	if g.Status != http.StatusGatewayTimeout {
		g.Status = http.StatusBadGateway
	}
	return &g
}

// findTarget chooses the target of the next attempt. While there is none, it
// waits for one until the deadline. It fails when the caller has disconnected.
func (p *pendingRequest) findTarget(ctx context.Context) *pollenlatch.Failure {
	for {
		if pollenlatch.CallerLeft(ctx) {
			p.abandoned.Inc()
			return notRunFailure(pollenlatch.ReasonCancelled, http.StatusServiceUnavailable, "caller disconnected")
		}
		changed := p.cfg.Control.Changed()
		if err := p.cfg.Control.Serving(); err != nil {
			var f *pollenlatch.Failure
			if errors.As(err, &f) {
				return f
			}
			return notRunFailure(pollenlatch.ReasonNoLease, http.StatusServiceUnavailable, "%v", err)
		}
		v := p.cfg.Control.View()
		s, ok := v.Service(p.request.Service)
		if !ok {
			return notRunFailure(pollenlatch.ReasonNoService, http.StatusNotFound, "service %q does not exist", p.request.Service)
		}
		p.target = target{version: v.Version(), idempotent: p.isIdempotent(s)}
		reason, f := p.resolveTarget(v, s)
		if f != nil || reason == "" {
			return f
		}
		f = notRunFailure(reason, http.StatusServiceUnavailable, "no server became available before the deadline")
		f.RetryAfter = defaultRetryAfter
		p.waits.Inc()
		if !waitForChange(ctx, changed, time.Until(p.request.Deadline)) && ctx.Err() == nil {
			return f
		}
	}
}

// isIdempotent reports whether the request may run more than once.
func (p *pendingRequest) isIdempotent(s pollenlatch.Service) bool {
	if p.request.Routed() {
		return p.request.Idempotent
	}
	return s.IsIdempotent(p.request.Method, p.request.Kind)
}

// resolveTarget sets the target, or returns the reason why there is none at
// present. It fails when there can be no target.
func (p *pendingRequest) resolveTarget(v pollenlatch.View, s pollenlatch.Service) (pollenlatch.Reason, *pollenlatch.Failure) {
	key := p.request.Key
	switch {
	case s.Keyed && key == "":
		return "", notRunFailure(pollenlatch.ReasonBadRequest, http.StatusBadRequest, "service %q is routed by key and the request has none", s.Name)
	case !s.Keyed && p.request.IdempotencyKey == "":
		return p.pickEndpoint(v, s)
	case !s.Keyed:
		key = p.request.IdempotencyKey
	}
	o, ok := v.Owner(s.Name, key)
	if !ok && s.NumericKeys {
		return "", notRunFailure(pollenlatch.ReasonBadRequest, http.StatusBadRequest, "key %q is not valid for service %q", key, s.Name)
	}
	// A server that receives its grants by heartbeats serves a shard until it
	// releases it, so also during a hand-over.
	if !ok || o.Instance == 0 || (o.Frozen() && !s.Heartbeats) {
		return pollenlatch.ReasonNoOwner, nil
	}
	if p.target.instance, ok = v.Instance(o.Instance); !ok || p.leaving.hasLeft(p.target.instance, time.Now()) {
		return pollenlatch.ReasonNoOwner, nil
	}
	if p.cfg.Evacuated != nil && p.cfg.Evacuated(p.target.instance.DC, true) {
		if onlyEvacuated(v.Endpoints(s.Name), s) {
			return "", p.refuseEvacuated()
		}
		return pollenlatch.ReasonNoOwner, nil
	}
	p.target.owner = o
	return "", nil
}

// onlyEvacuated reports whether all endpoints that a service may use are in evacuated
// data centres. A request for it is refused at once then: the evacuation ends by an
// order of the operators, which may take hours.
func onlyEvacuated(endpoints []pollenlatch.Instance, s pollenlatch.Service) bool {
	evacuated := 0
	for _, i := range endpoints {
		switch {
		case len(s.DCs) > 0 && !slices.Contains(s.DCs, i.DC):
		case !i.Evacuated:
			return false
		default:
			evacuated++
		}
	}
	return evacuated > 0
}

func (p *pendingRequest) refuseEvacuated() *pollenlatch.Failure {
	f := notRunFailure(pollenlatch.ReasonEvacuated, http.StatusServiceUnavailable, "all servers of the service are in evacuated data centres")
	f.RetryAfter = defaultRetryAfter
	return f
}

// pickEndpoint picks an endpoint for a request that is not routed by shard.
// When all have been tried, all may be tried again.
func (p *pendingRequest) pickEndpoint(v pollenlatch.View, s pollenlatch.Service) (pollenlatch.Reason, *pollenlatch.Failure) {
	all := v.Endpoints(s.Name)
	usable := make([]pollenlatch.Instance, 0, len(all))
	now := time.Now()
	for _, i := range all {
		if i.Usable() && !p.leaving.hasLeft(i, now) && (len(s.DCs) == 0 || slices.Contains(s.DCs, i.DC)) {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		if onlyEvacuated(all, s) {
			return "", p.refuseEvacuated()
		}
		return pollenlatch.ReasonNoEndpoint, nil
	}
	p.hasUntried = len(p.tried)+1 < len(usable)
	p.usable = usable
	i, done, ok := p.pick(usable)
	if !ok && len(p.tried) > 0 {
		p.tried = nil
		i, done, ok = p.pick(usable)
	}
	if !ok {
		return pollenlatch.ReasonNoEndpoint, nil
	}
	p.target.instance, p.target.done = p.preferOwnServer(usable, i, done)
	return "", nil
}

// prepareRetry reports whether to retry a request without a Route after f. It
// takes a token of the budget, and waits for the backoff.
func (p *pendingRequest) prepareRetry(ctx context.Context, f *pollenlatch.Failure) bool {
	if !p.retryable(f) || p.attempts >= maxAttempts || ctx.Err() != nil {
		return false
	}
	if p.body != nil && p.body.notRewindable() {
		return false
	}
	if p.backoff == nil {
		p.backoff = backoff.NewExponentialBackOff()
		p.backoff.InitialInterval, p.backoff.MaxInterval, p.backoff.Multiplier = initialBackoff, maxBackoff, 2
	}
	wait := p.backoff.NextBackOff()
	if time.Until(p.request.Deadline) <= wait {
		return false
	}
	if !p.cfg.RetryBudget.TakeRetry(p.cfg.Clock.Now()) {
		p.retriesRefused.Inc()
		return ownerFailureReasons.Has(f.Reason) && f.Outcome == pollenlatch.OutcomeNotRun && p.awaitOwner(ctx)
	}
	p.retries.Inc()
	return p.awaitBackoff(ctx, wait)
}

// ownerFailureReasons are the reasons of failures that another owner would not
// cause.
var ownerFailureReasons = pollenlatch.SetOf(pollenlatch.ReasonUnreachable, pollenlatch.ReasonWrongOwner, pollenlatch.ReasonNoLease)

// awaitOwner waits for another owner of the shard until the deadline. A retry
// there needs no budget, since it adds no load to the owner that failed.
func (p *pendingRequest) awaitOwner(ctx context.Context) bool {
	for p.target.owner.Instance != 0 {
		changed := p.cfg.Control.Changed()
		if p.ownerReplacedOrMoving() {
			p.backoff = nil
			return ctx.Err() == nil
		}
		if !waitForChange(ctx, changed, time.Until(p.request.Deadline)) {
			return false
		}
	}
	return false
}

// ownerReplacedOrMoving reports whether the owner or the fence of the shard has
// changed since the last attempt, or a hand-over has started.
func (p *pendingRequest) ownerReplacedOrMoving() bool {
	now, ok := p.cfg.Control.View().ShardOwner(p.target.owner.Shard)
	return p.ownerReplaced() || (ok && now.Frozen())
}

// retryable reports whether a request without a Route may be retried after f,
// according to its outcome and reason.
func (p *pendingRequest) retryable(f *pollenlatch.Failure) bool {
	switch f.Outcome {
	case pollenlatch.OutcomeNotRun:
		switch f.Reason {
		case pollenlatch.ReasonUnreachable, pollenlatch.ReasonWrongOwner, pollenlatch.ReasonVersionMismatch, pollenlatch.ReasonQueueFull,
			pollenlatch.ReasonDraining, pollenlatch.ReasonEvacuated, pollenlatch.ReasonServerRefused, pollenlatch.ReasonNoLease, pollenlatch.ReasonNoEndpoint:
			return true
		default:
			return false
		}
	case pollenlatch.OutcomeUnknown:
		return p.target.idempotent && f.Reason == pollenlatch.ReasonConnectionLost
	default:
		return false
	}
}

// awaitBackoff waits for d, or until the owner or the fence of the shard
// changes or a hand-over starts. It returns false when ctx has ended.
func (p *pendingRequest) awaitBackoff(ctx context.Context, d time.Duration) bool {
	until := time.Now().Add(d)
	for {
		changed := p.cfg.Control.Changed()
		if p.target.owner.Instance != 0 && p.ownerReplacedOrMoving() {
			// The backoff was for the previous owner. It starts again for the
			// new one, whose server may refuse the first attempt shortly before
			// it receives its grant.
			p.backoff = nil
			return ctx.Err() == nil
		}
		if !waitForChange(ctx, changed, time.Until(until)) {
			return ctx.Err() == nil
		}
	}
}

// waitForChange waits for a change, but no longer than d. It reports whether
// there was one.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// notRunFailure returns the failure of a request that was not run.
func notRunFailure(reason pollenlatch.Reason, status int, format string, args ...any) *pollenlatch.Failure {
	return &pollenlatch.Failure{
		Outcome: pollenlatch.OutcomeNotRun,
		Reason:  reason,
		Detail:  fmt.Sprintf(format, args...),
		Status:  status,
	}
}

// asFailure returns err as a failure. Handlers should return no other errors;
// after one that is not a failure the outcome is unknown.
func asFailure(err error) *pollenlatch.Failure {
	var f *pollenlatch.Failure
	if errors.As(err, &f) {
		return f
	}
	return &pollenlatch.Failure{
		Outcome: pollenlatch.OutcomeUnknown,
		Reason:  pollenlatch.ReasonConnectionLost,
		Detail:  err.Error(),
		Status:  http.StatusBadGateway,
	}
}
