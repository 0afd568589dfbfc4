package serve

import (
	"context"
	"net/http"
	"time"

	"pollenlatch"
)

// drainGraceOver reports whether the server has been draining for so long that it
// receives no more requests at all.
func (s *Server) drainGraceOver() bool {
	if s.cfg.Grants == nil {
		return false
	}
	since := s.cfg.Grants.DrainingSince()
	return since != 0 && pollenlatch.BootClock{}.Now().Sub(since) >= pollenlatch.DrainGrace
}

// awaitGrant waits until the server has been granted the shard of a request. When
// the next heartbeat, which renews the grants, comes too late for the request, it
// is refused at once with the time until that heartbeat.
func (s *Server) awaitGrant(ctx context.Context, r *pollenlatch.Request) *pollenlatch.Failure {
	for {
		changed := s.cfg.Grants.Changed()
		granted, nextHeartbeat := s.cfg.Grants.HasGrant(r.Shard, r.Fence)
		if granted {
			return nil
		}
		if f := s.checkNotMoved(r); f != nil {
			return f
		}
		left := time.Until(r.Deadline)
		if nextHeartbeat >= left/2 {
			f := refuse(pollenlatch.ReasonNotGranted, http.StatusServiceUnavailable, "the server has not been granted the key yet")
			f.RetryAfter = max(nextHeartbeat, time.Millisecond)
			return f
		}
		t := time.NewTimer(nextHeartbeat + heartbeatTolerance)
		select {
		case <-changed:
			t.Stop()
		case <-t.C:
			if granted, _ := s.cfg.Grants.HasGrant(r.Shard, r.Fence); !granted {
				return refuse(pollenlatch.ReasonNotGranted, http.StatusServiceUnavailable, "the server's heartbeat is overdue")
			}
		case <-ctx.Done():
			t.Stop()
			return refuse(pollenlatch.ReasonCancelled, statusClientClosedRequest, "the caller disconnected")
		}
	}
}

// heartbeatTolerance is how late a heartbeat may arrive.
const heartbeatTolerance = 150 * time.Millisecond

// checkNotMoved refuses a request when this instance no longer owns its shard, or
// when the shard is frozen for a hand-over.
func (s *Server) checkNotMoved(r *pollenlatch.Request) *pollenlatch.Failure {
	o, ok := s.cfg.Control.View().ShardOwner(r.Shard)
	if !ok || o.Instance != s.cfg.Control.Self() || o.Fence != r.Fence {
		return refuse(pollenlatch.ReasonWrongOwner, http.StatusServiceUnavailable, "this instance does not own the key")
	}
	if o.Frozen() {
		return refuse(pollenlatch.ReasonWrongOwner, http.StatusServiceUnavailable, "the key is being handed over to another owner")
	}
	return nil
}
