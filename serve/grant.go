package serve

import (
	"context"
	"net/http"
	"time"

	"pollenlatch"
)

// drainStop is how long after its word that it leaves a server gets requests for
// keys that have not moved yet. A leaving server must get nothing after 2 s; the
// rest is for requests on their way.
const drainStop = 1700 * time.Millisecond

// drained reports whether a leaving server gets no more requests at all.
func (s *Server) drained() bool {
	if s.cfg.Grants == nil {
		return false
	}
	since := s.cfg.Grants.DrainingSince()
	return since != 0 && pollenlatch.BootClock{}.Now().Sub(since) >= drainStop
}

// granted waits until the server has been granted the shard of a request. A
// request that would wait in vain is refused at once, with the time until the
// server asks for its grants.
func (s *Server) granted(ctx context.Context, r *pollenlatch.Request) *pollenlatch.Failure {
	for {
		changed := s.cfg.Grants.Changed()
		held, wait := s.cfg.Grants.HasGrant(r.Shard, r.Fence)
		if held {
			return nil
		}
		if f := s.moved(r); f != nil {
			return f
		}
		left := time.Until(r.Deadline)
		if wait >= left/2 {
			f := refuse(pollenlatch.ReasonNotGranted, http.StatusServiceUnavailable, "the server has not been granted the key yet")
			f.RetryAfter = max(wait, time.Millisecond)
			return f
		}
		t := time.NewTimer(wait + grantSlack)
		select {
		case <-changed:
			t.Stop()
		case <-t.C:
			if again, _ := s.cfg.Grants.HasGrant(r.Shard, r.Fence); !again {
				return refuse(pollenlatch.ReasonNotGranted, http.StatusServiceUnavailable, "the server's heartbeat is late")
			}
		case <-ctx.Done():
			t.Stop()
			return refuse(pollenlatch.ReasonCancelled, statusClosed, "the caller went away")
		}
	}
}

// grantSlack is how much later than usual a heartbeat may come.
const grantSlack = 150 * time.Millisecond

// moved reports that this daemon's server does not own the shard any more, or
// that it is being handed over and the server was told so.
func (s *Server) moved(r *pollenlatch.Request) *pollenlatch.Failure {
	o, ok := s.cfg.Control.View().ShardOwner(r.Shard)
	if !ok || o.Instance != s.cfg.Control.Self() || o.Fence != r.Fence {
		return refuse(pollenlatch.ReasonWrongOwner, http.StatusServiceUnavailable, "this instance does not own the key")
	}
	if o.Frozen() {
		return refuse(pollenlatch.ReasonWrongOwner, http.StatusServiceUnavailable, "the key is moving to another owner")
	}
	return nil
}
