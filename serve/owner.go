package serve

import (
	"context"
	"net/http"
	"time"

	"pollenlatch"
)

// checkOwner returns the service of the request and the owner of its shard, which
// must be this instance with the fence of the request. A request that was routed
// by another version of the state is accepted as long as both versions agree on
// the shard and the fence. One that was routed by a newer version waits for this
// daemon to catch up.
func (s *Server) checkOwner(ctx context.Context, r *pollenlatch.Request) (pollenlatch.Service, pollenlatch.Owner, error) {
	var timeout <-chan time.Time
	for {
		changed := s.cfg.Control.Changed()
		v := s.cfg.Control.View()
		service, owner, f := s.checkOwnerIn(v, r)
		if f == nil {
			return service, owner, nil
		}
		if r.Version <= v.Version() || (f.Reason != pollenlatch.ReasonWrongOwner && f.Reason != pollenlatch.ReasonNoService) {
			return service, owner, f
		}
		if timeout == nil {
			t := time.NewTimer(s.catchUpTimeout(r))
			defer t.Stop()
			timeout = t.C
		}
		select {
		case <-changed:
		case <-timeout:
			return service, owner, refuse(pollenlatch.ReasonVersionMismatch, http.StatusServiceUnavailable,
				"the request was routed by a newer version of the state than this instance has")
		case <-ctx.Done():
			return service, owner, refuse(pollenlatch.ReasonCancelled, statusClientClosedRequest, "the caller disconnected")
		}
	}
}

func (s *Server) catchUpTimeout(r *pollenlatch.Request) time.Duration {
	if r.Deadline.IsZero() {
		return s.cfg.CatchUpTimeout
	}
	return min(s.cfg.CatchUpTimeout, time.Until(r.Deadline))
}

func (s *Server) checkOwnerIn(v pollenlatch.View, r *pollenlatch.Request) (pollenlatch.Service, pollenlatch.Owner, *pollenlatch.Failure) {
	if err := s.cfg.Control.Serving(); err != nil {
		return pollenlatch.Service{}, pollenlatch.Owner{}, asFailure(err)
	}
	service, ok := v.Service(r.Service)
	if !ok {
		return service, pollenlatch.Owner{}, refuse(pollenlatch.ReasonNoService, http.StatusNotFound, "unknown service")
	}
	if !r.Sharded() {
		if service.Keyed {
			return service, pollenlatch.Owner{}, refuse(pollenlatch.ReasonBadRequest, http.StatusBadRequest, "the service is sharded by key, and the request was not routed by shard")
		}
		return service, pollenlatch.Owner{}, nil
	}
	// The owner is looked up by key, not by the shard of the request: the key may
	// have become a shard of its own since, which does not change the fence of its
	// range.
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

// checkEndpoint refuses requests that the local server cannot take now. A draining
// server still gets requests for its shards until they have moved or pollenlatch.DrainGrace
// has passed.
func (s *Server) checkEndpoint(r *pollenlatch.Request) *pollenlatch.Failure {
	e, ok := s.cfg.Endpoint()
	switch {
	case !ok || e.Service != r.Service || !e.Ready:
		return refuse(pollenlatch.ReasonNoEndpoint, http.StatusServiceUnavailable, "no server of this service is ready on this instance")
	case s.evacuated(r):
		return Evacuated()
	case e.Draining && (!r.Sharded() || s.drainGraceOver()):
		return refuse(pollenlatch.ReasonDraining, http.StatusServiceUnavailable, "the server is draining")
	default:
		return nil
	}
}

// evacuated reports whether the server must not get a request since its data centre is
// evacuated. Requests that are routed by shard are served until the shard has moved or
// the time limit of the evacuation is near.
func (s *Server) evacuated(r *pollenlatch.Request) bool {
	return s.cfg.Evacuated != nil && s.cfg.Evacuated(r.Sharded())
}

// Evacuated returns the failure of a request for a server of an evacuated data centre.
func Evacuated() *pollenlatch.Failure {
	return refuse(pollenlatch.ReasonEvacuated, http.StatusServiceUnavailable, "the data centre of the server is evacuated")
}
