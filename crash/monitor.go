package crash

import (
	"slices"
	"sync"
	"time"

	"pollenlatch"
)

const (
	// recentSuccesses is how many completed requests are remembered. A request that
	// is sent often completes within them, and is no suspect when a server ends.
	recentSuccesses = 1024
	// attributionTime is the maximum time from the loss of a connection until its
	// server is known to have ended: two connection attempts, and the pause between
	// two probes.
	attributionTime = time.Second
	// maxSuspects limits the suspects for the end of one server.
	maxSuspects = 64
)

// Monitor tracks the requests at the local server, and tells which of them may be why
// it has ended. The zero value is ready to use. It is safe for concurrent use.
type Monitor struct {
	mu        sync.Mutex
	running   map[*Run]struct{}
	broken    []brokenRun // runs without a response, the newest last
	succeeded [recentSuccesses]pollenlatch.Fingerprint
	next      int // index in succeeded
}

// Run is one run of a request at the local server.
type Run struct {
	monitor *Monitor
	id      string
	head    uint64
	body    *hashingBody // nil without a body
}

// brokenRun is a run that ended without a response.
type brokenRun struct {
	Suspect
	at time.Time
}

// Suspect is a request that was running when a server ended.
type Suspect struct {
	pollenlatch.Fingerprint
	ID string // of the attempt, for the log
}

// Begin records that a request is sent to the server. It may replace the body of the
// request. The caller must call End.
func (m *Monitor) Begin(r *pollenlatch.Request) *Run {
	run := &Run{monitor: m, id: r.ID, head: headDigest(&r.RequestHead)}
	if r.Body != nil && r.Length != 0 {
		run.body = newHashingBody(r.Body)
		r.Body = run.body
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		m.running = make(map[*Run]struct{})
	}
	m.running[run] = struct{}{}
	return run
}

// Fingerprint returns the fingerprint of the request, with what has been read of its
// body so far.
func (run *Run) Fingerprint() pollenlatch.Fingerprint {
	f := pollenlatch.Fingerprint{Head: run.head}
	if run.body != nil {
		f.Body = run.body.sum()
	}
	return f
}

// End records the end of the run at now. f is nil after a response. Further calls have
// no effect.
func (run *Run) End(f *pollenlatch.Failure, now time.Time) {
	m := run.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.running[run]; !ok {
		return
	}
	delete(m.running, run)
	switch {
	case f == nil:
		m.succeeded[m.next] = run.Fingerprint()
		m.next = (m.next + 1) % recentSuccesses
	case f.Outcome == pollenlatch.OutcomeUnknown && abandonedReasons.Has(f.Reason):
		m.dropOld(now)
		m.broken = append(m.broken, brokenRun{Suspect{run.Fingerprint(), run.id}, now})
	}
}

// abandonedReasons are the reasons of runs that ended without a response. The server may
// also run on after this daemon has given up a request for its caller or its deadline.
var abandonedReasons = pollenlatch.SetOf(pollenlatch.ReasonConnectionLost, pollenlatch.ReasonCancelled, pollenlatch.ReasonDeadlineExceeded)

// dropOld forgets the broken runs that are older than attributionTime. The caller holds
// mu.
func (m *Monitor) dropOld(now time.Time) {
	n := 0
	for n < len(m.broken) && now.Sub(m.broken[n].at) > attributionTime {
		n++
	}
	m.broken = slices.Delete(m.broken, 0, n)
}

// ServerEnded returns the requests that may be why the server has ended: those that ran
// without having completed before. It is called once for each server.
func (m *Monitor) ServerEnded(now time.Time) []Suspect {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropOld(now)
	var suspects []Suspect
	add := func(s Suspect) {
		known := slices.ContainsFunc(suspects, func(o Suspect) bool { return o.Fingerprint == s.Fingerprint })
		if !known && len(suspects) < maxSuspects && !slices.Contains(m.succeeded[:], s.Fingerprint) {
			suspects = append(suspects, s)
		}
	}
	for _, b := range slices.Backward(m.broken) {
		add(b.Suspect)
	}
	for run := range m.running {
		add(Suspect{run.Fingerprint(), run.id})
	}
	m.broken = nil
	return suspects
}
