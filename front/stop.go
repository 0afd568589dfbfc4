package front

import (
	"net/http"
	"sync"
	"time"
)

// bodyReads are the requests whose short bodies are being received. The zero value is
// ready to use.
type bodyReads struct {
	mu        sync.Mutex
	stopsAt   time.Time                              // zero: the server does not stop
	deadlines map[*http.ResponseController]time.Time // of their connections
}

// begin registers a request. deadline is the read deadline of its connection, which is
// moved forward if the server stops.
func (b *bodyReads) begin(rc *http.ResponseController, deadline time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.deadlines == nil {
		b.deadlines = make(map[*http.ResponseController]time.Time)
	}
	b.deadlines[rc] = deadline
	b.limitLocked(rc, deadline)
}

// end is called once the body was received or given up.
func (b *bodyReads) end(rc *http.ResponseController) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.deadlines, rc)
}

// stopAt sets the time until which bodies may arrive.
func (b *bodyReads) stopAt(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopsAt = t
	for rc, deadline := range b.deadlines {
		b.limitLocked(rc, deadline)
	}
}

func (b *bodyReads) limitLocked(rc *http.ResponseController, deadline time.Time) {
	if !b.stopsAt.IsZero() && b.stopsAt.Before(deadline) {
		_ = rc.SetReadDeadline(b.stopsAt) // fails only if the connection has ended
	}
}

// RefuseBodiesAfter refuses the requests whose short bodies have not been received by t,
// since the process stops soon after it.
func (s *Server) RefuseBodiesAfter(t time.Time) { s.bodies.stopAt(t) }
