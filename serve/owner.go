package serve

import (
	"context"
	"net/http"
	"time"

	"pollenlatch"
)

// owns returns the service of the request and the owner of its shard, which is
// this instance under the fence of the request. A request that was routed by
// another state is fine as long as both agree on its shard and fence; one that
// was routed by a newer state waits a little for this daemon to catch up.
func (s *Server) owns(ctx context.Context, r *pollenlatch.Request) (pollenlatch.Service, pollenlatch.Owner, error) {
	var give <-chan time.Time
	for {
		changed := s.cfg.Control.Changed()
		v := s.cfg.Control.View()
		service, owner, f := s.ownsIn(v, r)
		if f == nil {
			return service, owner, nil
		}
		if r.Version <= v.Version() || (f.Reason != pollenlatch.ReasonWrongOwner && f.Reason != pollenlatch.ReasonNoService) {
			return service, owner, f
		}
		if give == nil {
			t := time.NewTimer(s.patience(r))
			defer t.Stop()
			give = t.C
		}
		select {
		case <-changed:
		case <-give:
			return service, owner, refuse(pollenlatch.ReasonVersionMismatch, http.StatusServiceUnavailable,
				"the request was routed by a newer state than this instance holds")
		case <-ctx.Done():
			return service, owner, refuse(pollenlatch.ReasonCancelled, statusClosed, "the caller went away")
		}
	}
}

func (s *Server) patience(r *pollenlatch.Request) time.Duration {
	if r.Deadline.IsZero() {
		return s.cfg.CatchUpTimeout
	}
	return min(s.cfg.CatchUpTimeout, time.Until(r.Deadline))
}

func (s *Server) ownsIn(v pollenlatch.View, r *pollenlatch.Request) (pollenlatch.Service, pollenlatch.Owner, *pollenlatch.Failure) {
	if err := s.cfg.Control.Serving(); err != nil {
		return pollenlatch.Service{}, pollenlatch.Owner{}, asFailure(err)
	}
	service, ok := v.Service(r.Service)
	if !ok {
		return service, pollenlatch.Owner{}, refuse(pollenlatch.ReasonNoService, http.StatusNotFound, "no such service")
	}
	if !r.Sharded() {
		if service.Keyed {
			return service, pollenlatch.Owner{}, refuse(pollenlatch.ReasonBadRequest, http.StatusBadRequest, "the service is divided by key")
		}
		return service, pollenlatch.Owner{}, nil
	}
	// The key decides, not the shard of the request: the key may have got a
	// record of its own since, and the fence of its range does not show that.
	owner, ok := v.Owner(r.Service, routingKey(service, r))
	if !ok || owner.Shard != r.Shard || owner.Fence != r.Fence || owner.Instance != s.cfg.Control.Self() {
		return service, owner, refuse(pollenlatch.ReasonWrongOwner, http.StatusServiceUnavailable, "this instance does not own the key")
	}
	return service, owner, nil
}

// routingKey returns the key that decides the owner of a request.
func routingKey(service pollenlatch.Service, r *pollenlatch.Request) string {
	if service.Keyed {
		return r.Key
	}
	return r.IdempotencyKey
}

// available refuses what the server beside this daemon cannot take now. Keyed
// work goes on while the server drains, until its ranges have moved.
func (s *Server) available(r *pollenlatch.Request) *pollenlatch.Failure {
	e, ok := s.cfg.Endpoint()
	switch {
	case !ok || e.Service != r.Service || !e.Ready:
		return refuse(pollenlatch.ReasonNoEndpoint, http.StatusServiceUnavailable, "no server of this service is ready here")
	case e.Draining && (!r.Sharded() || s.drained()):
		return refuse(pollenlatch.ReasonDraining, http.StatusServiceUnavailable, "the server is leaving")
	default:
		return nil
	}
}
