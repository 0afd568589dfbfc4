package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"

	"pollenlatch"
	"pollenlatch/pick"
)

const (
	retryFirst = 5 * time.Millisecond
	retryMost  = 200 * time.Millisecond
	// retryLimit bounds the attempts of one request; with the waits between
	// them they span more than the second in which a lost owner is replaced.
	retryLimit = 12
	retryAfter = time.Second // that a caller is told to wait
)

// RouterConfig is what a router is made of.
type RouterConfig struct {
	Control        pollenlatch.Control
	Local          pollenlatch.Handler // runs requests at the server beside this daemon
	Forwarder      pollenlatch.Forwarder
	Picker         pollenlatch.Picker
	RetryBudget    *pick.RetryBudget    // nil uses the defaults
	ServiceBudgets *pick.ServiceBudgets // for requests with a Route; nil allows none
	Clock          pollenlatch.Clock
	DC             string       // of this instance
	Metrics        *metrics.Set // nil keeps the figures to itself
}

// Router sends each request to the daemon beside the server that is to run it.
// It implements pollenlatch.Handler.
type Router struct {
	cfg     RouterConfig
	retries *metrics.Counter
	spent   *metrics.Counter // retries that the budget did not allow
	waits   *metrics.Counter // waits for an owner or endpoint
}

// NewRouter returns a router. Control, Local, Forward and Picker must be set.
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
	return &Router{
		cfg:     cfg,
		retries: cfg.Metrics.GetOrCreateCounter("pollenlatch_front_retries_total"),
		spent:   cfg.Metrics.GetOrCreateCounter("pollenlatch_front_retries_refused_total"),
		waits:   cfg.Metrics.GetOrCreateCounter("pollenlatch_front_waits_total"),
	}
}

// route is one request on its way through the router.
type route struct {
	*Router
	request *pollenlatch.Request
	body    rewinder // nil when there is none
	tried   pollenlatch.Set[pollenlatch.InstanceID]
	backoff *backoff.ExponentialBackOff
	count   int
	sends   int    // attempts that reached a server
	others  bool   // an endpoint is left that was not tried
	unsure  bool   // an earlier attempt may have run
	target  target // of the last attempt
}

// target is where one attempt goes.
type target struct {
	instance pollenlatch.Instance
	owner    pollenlatch.Owner // zero when the request is not routed by shard
	version  pollenlatch.Version
	safe     bool
	done     func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration) // nil with an owner
}

// Handle implements pollenlatch.Handler.
func (rt *Router) Handle(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	x := &route{Router: rt, request: r}
	switch b := r.Body.(type) {
	case nil:
	case rewinder:
		x.body = b
	default:
		x.body = newReplay(b)
	}
	retry := x.again
	if r.Routed() {
		if r.Retried {
			rt.cfg.ServiceBudgets.Charge(r.Service)
		} else {
			rt.cfg.ServiceBudgets.RecordRequest(r.Service)
		}
		retry = x.againRouted
	} else {
		rt.cfg.RetryBudget.RecordRequest()
	}
	for {
		f := x.find(ctx)
		if f != nil {
			return nil, x.final(f)
		}
		w, f := x.try(ctx)
		if f == nil {
			return w, nil
		}
		if !retry(ctx, f) {
			return nil, x.final(f)
		}
	}
}

// final returns the failure that the caller is told. When an earlier attempt
// may have run, the request was not proven not to run.
func (x *route) final(f *pollenlatch.Failure) *pollenlatch.Failure {
	if !x.unsure || f.Outcome != pollenlatch.OutcomeNotRun {
		return f
	}
	g := *f
	g.Outcome = pollenlatch.OutcomeUnknown
	g.Detail = "an earlier attempt may have run; then: " + f.Detail
	if g.Status != http.StatusGatewayTimeout {
		g.Status = http.StatusBadGateway
	}
	return &g
}

// find chooses the target of the next attempt. It waits until the deadline
// while nobody may run the request.
func (x *route) find(ctx context.Context) *pollenlatch.Failure {
	for {
		changed := x.cfg.Control.Changed()
		if err := x.cfg.Control.Serving(); err != nil {
			var f *pollenlatch.Failure
			if errors.As(err, &f) {
				return f
			}
			return failed(pollenlatch.ReasonNoLease, http.StatusServiceUnavailable, "%v", err)
		}
		v := x.cfg.Control.View()
		s, ok := v.Service(x.request.Service)
		if !ok {
			return failed(pollenlatch.ReasonNoService, http.StatusNotFound, "no service %q", x.request.Service)
		}
		x.target = target{version: v.Version(), safe: x.safe(s)}
		reason, f := x.aim(v, s)
		if f != nil || reason == "" {
			return f
		}
		f = failed(reason, http.StatusServiceUnavailable, "no server for the request until its deadline")
		f.RetryAfter = retryAfter
		x.waits.Inc()
		if !waitChange(ctx, changed, time.Until(x.request.Deadline)) {
			if err := ctx.Err(); err != nil && time.Now().Before(x.request.Deadline) {
				return failed(pollenlatch.ReasonCancelled, http.StatusServiceUnavailable, "the caller went away")
			}
			return f
		}
	}
}

// safe reports whether the request may run more than once.
func (x *route) safe(s pollenlatch.Service) bool {
	if x.request.Routed() {
		return x.request.Idempotent
	}
	return s.IsIdempotent(x.request.Method, x.request.Kind)
}

// aim sets the target, or tells why there is none at present.
func (x *route) aim(v pollenlatch.View, s pollenlatch.Service) (pollenlatch.Reason, *pollenlatch.Failure) {
	key := x.request.Key
	switch {
	case s.Keyed && key == "":
		return "", failed(pollenlatch.ReasonBadRequest, http.StatusBadRequest, "service %q is divided by key and the request has none", s.Name)
	case !s.Keyed && x.request.IdempotencyKey == "":
		return x.choose(v, s)
	case !s.Keyed:
		key = x.request.IdempotencyKey
	}
	o, ok := v.Owner(s.Name, key)
	if !ok && s.NumericKeys {
		return "", failed(pollenlatch.ReasonBadRequest, http.StatusBadRequest, "%q is no key of service %q", key, s.Name)
	}
	// A server that fetches its grants serves a shard until it releases it.
	if !ok || o.Instance == 0 || (o.Frozen() && !s.Heartbeats) {
		return pollenlatch.ReasonNoOwner, nil
	}
	if x.target.instance, ok = v.Instance(o.Instance); !ok {
		return pollenlatch.ReasonNoOwner, nil
	}
	x.target.owner = o
	return "", nil
}

// choose picks an endpoint for a request that is not routed by shard. When all
// have been tried, all may be tried again.
func (x *route) choose(v pollenlatch.View, s pollenlatch.Service) (pollenlatch.Reason, *pollenlatch.Failure) {
	all := v.Endpoints(s.Name)
	usable := make([]pollenlatch.Instance, 0, len(all))
	for _, i := range all {
		if i.Usable() && (len(s.DCs) == 0 || slices.Contains(s.DCs, i.DC)) {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return pollenlatch.ReasonNoEndpoint, nil
	}
	x.others = len(x.tried)+1 < len(usable)
	i, done, ok := x.cfg.Picker.Pick(usable, x.cfg.DC, x.tried)
	if !ok && len(x.tried) > 0 {
		x.tried = nil
		i, done, ok = x.cfg.Picker.Pick(usable, x.cfg.DC, nil)
	}
	if !ok {
		return pollenlatch.ReasonNoEndpoint, nil
	}
	x.target.instance, x.target.done = i, done
	return "", nil
}

// try makes one attempt.
func (x *route) try(ctx context.Context) (*pollenlatch.Response, *pollenlatch.Failure) {
	t := x.target
	q := *x.request
	q.Version, q.Shard, q.Fence, q.Idempotent = t.version, t.owner.Shard, t.owner.Fence, t.safe
	q.Retried = q.Retried || x.sends > 0
	start := time.Now()
	if x.body != nil {
		if q.Body = x.body.rewind(); q.Body == nil {
			return nil, x.report(failed(pollenlatch.ReasonConnectionLost, http.StatusServiceUnavailable, "%v", errReplay), start)
		}
	}
	x.count++
	if trail := x.request.Trace; trail != nil {
		*trail = pollenlatch.RequestTrace{Hops: x.count, Sends: x.sends, Instance: t.instance.Name, Fence: t.owner.Fence, Version: t.version}
	}
	var w *pollenlatch.Response
	var err error
	if t.instance.ID == x.cfg.Control.Self() {
		w, err = x.cfg.Local.Handle(ctx, &q)
	} else {
		w, err = x.cfg.Forwarder.Forward(ctx, t.instance.Addr, &q)
	}
	if err != nil {
		return nil, x.report(asFailure(err), start)
	}
	if w.OwnerAddr == "" {
		w.OwnerAddr = t.instance.Front
	}
	if f := x.faulty(w); f != nil {
		return nil, x.report(f, start)
	}
	if t.done != nil {
		b := &watched{ReadCloser: w.Body, done: t.done, took: time.Since(start)}
		if w.Status >= http.StatusInternalServerError {
			b.reason = pollenlatch.ReasonServerError
		}
		w.Body = b
	}
	return w, nil
}

// report tells the picker of a failed attempt.
func (x *route) report(f *pollenlatch.Failure, start time.Time) *pollenlatch.Failure {
	x.unsure = x.unsure || f.Outcome == pollenlatch.OutcomeUnknown
	if done := x.target.done; done != nil {
		done(f.Outcome, f.Reason, time.Since(start))
		x.tried = x.tried.With(x.target.instance.ID)
	}
	return f
}

// watched reports the end of an answer to the picker.
type watched struct {
	io.ReadCloser
	done   func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration)
	took   time.Duration      // until the head of the answer
	reason pollenlatch.Reason // of a complete answer
}

// Read implements io.Reader.
func (b *watched) Read(p []byte) (int, error) {
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
func (b *watched) Close() error {
	b.end(pollenlatch.OutcomeUnknown, pollenlatch.ReasonCancelled)
	return b.ReadCloser.Close()
}

func (b *watched) end(o pollenlatch.Outcome, r pollenlatch.Reason) {
	if b.done != nil {
		b.done(o, r, b.took)
		b.done = nil
	}
}

// again reports whether the request may be tried once more after f, and waits
// before that.
func (x *route) again(ctx context.Context, f *pollenlatch.Failure) bool {
	if !x.repeatable(f) || x.count >= retryLimit || ctx.Err() != nil {
		return false
	}
	if x.body != nil && x.body.gone() {
		return false
	}
	if x.backoff == nil {
		x.backoff = backoff.NewExponentialBackOff()
		x.backoff.InitialInterval, x.backoff.MaxInterval, x.backoff.Multiplier = retryFirst, retryMost, 2
	}
	wait := x.backoff.NextBackOff()
	if time.Until(x.request.Deadline) <= wait {
		return false
	}
	if !x.cfg.RetryBudget.TakeRetry(x.cfg.Clock.Now()) {
		x.spent.Inc()
		return ownerLost.Has(f.Reason) && f.Outcome == pollenlatch.OutcomeNotRun && x.awaitOwner(ctx)
	}
	x.retries.Inc()
	return x.pause(ctx, wait)
}

// ownerLost lists the reasons that another owner would help against.
var ownerLost = pollenlatch.SetOf(pollenlatch.ReasonUnreachable, pollenlatch.ReasonWrongOwner, pollenlatch.ReasonNoLease)

// awaitOwner waits for another owner of the shard until the deadline. An
// attempt there needs no budget: it adds nothing to the load of the owner that
// failed.
func (x *route) awaitOwner(ctx context.Context) bool {
	for x.target.owner.Instance != 0 {
		changed := x.cfg.Control.Changed()
		if x.ownerChanged() {
			x.backoff = nil
			return ctx.Err() == nil
		}
		if !waitChange(ctx, changed, time.Until(x.request.Deadline)) {
			return false
		}
	}
	return false
}

// ownerChanged reports whether the shard has another owner or fence than at the
// last attempt, or is moving.
func (x *route) ownerChanged() bool {
	now, ok := x.cfg.Control.View().ShardOwner(x.target.owner.Shard)
	return x.ownerReplaced() || (ok && now.Frozen())
}

// repeatable is the last column of the outcome table.
func (x *route) repeatable(f *pollenlatch.Failure) bool {
	switch f.Outcome {
	case pollenlatch.OutcomeNotRun:
		switch f.Reason {
		case pollenlatch.ReasonUnreachable, pollenlatch.ReasonWrongOwner, pollenlatch.ReasonVersionMismatch, pollenlatch.ReasonQueueFull,
			pollenlatch.ReasonDraining, pollenlatch.ReasonServerRefused, pollenlatch.ReasonNoLease, pollenlatch.ReasonNoEndpoint:
			return true
		default:
			return false
		}
	case pollenlatch.OutcomeUnknown:
		return x.target.safe && f.Reason == pollenlatch.ReasonConnectionLost
	default:
		return false
	}
}

// pause waits for d, or until another instance owns the shard or owns it with
// another fence.
func (x *route) pause(ctx context.Context, d time.Duration) bool {
	until := time.Now().Add(d)
	for {
		changed := x.cfg.Control.Changed()
		if x.target.owner.Instance != 0 && x.ownerChanged() {
			// The next owner is not the one that the waits were for. Its server
			// may refuse the first attempt, a moment before it gets its grant.
			x.backoff = nil
			return ctx.Err() == nil
		}
		if !waitChange(ctx, changed, time.Until(until)) {
			return ctx.Err() == nil
		}
	}
}

// waitChange waits for a change, at most for d. It reports false when there
// was none.
func waitChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
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

// failed returns a failure of a request that was not run.
func failed(reason pollenlatch.Reason, status int, format string, args ...any) *pollenlatch.Failure {
	return &pollenlatch.Failure{
		Outcome: pollenlatch.OutcomeNotRun,
		Reason:  reason,
		Detail:  fmt.Sprintf(format, args...),
		Status:  status,
	}
}

// asFailure returns err as a failure. Handlers return no other errors; one
// that does says nothing about the request.
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
