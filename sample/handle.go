package sample

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pollenlatch"
	"pollenlatch/local"
)

const (
	maxControlBytes = 8 << 20 // bytes of a control message
	maxBodyBytes    = 8 << 20 // bytes of a request body
	outcomeNotRun   = "not-run"
)

// Paths through which tests in other processes control and observe the server.
const (
	PathFault = "/sample/fault" // POST a Fault
	PathStats = "/sample/stats" // GET the Stats
	PathRuns  = "/sample/runs"  // GET the number of runs of the request ?id=
)

// HeaderRequestID identifies the request in the ledger. Without it, the
// Idempotency-Key does.
const HeaderRequestID = "X-Request-Id"

// HeaderRuns is the header of a response that says how often the request has run,
// including this run.
const HeaderRuns = "X-Runs"

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+local.PathGrants, s.handleGrants)
	mux.HandleFunc("POST "+local.PathExtend, s.handleExtend)
	mux.HandleFunc("GET "+local.PathHealth, s.handleHealth)
	mux.HandleFunc("POST "+PathFault, s.handleFault)
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Stats()) })
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, s.ledger.Count(r.URL.Query().Get("id")))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Callers' requests bypass the mux, because it redirects paths that are not
		// in canonical form.
		if strings.HasPrefix(r.URL.Path, "/pollen/") || strings.HasPrefix(r.URL.Path, "/sample/") {
			mux.ServeHTTP(w, r)
			return
		}
		s.handleRequest(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte(`{"error":"cannot encode the response"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// readJSON decodes the body of a control message. On failure it writes the response
// and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxControlBytes)).Decode(v)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, local.ErrorResponse{Error: err.Error()})
		return false
	}
	return true
}

func (s *Server) handleGrants(w http.ResponseWriter, r *http.Request) {
	var g local.Grants
	if !readJSON(w, r, &g) {
		return
	}
	if g.Incarnation != s.cfg.Endpoint.Incarnation {
		s.refuseGrant(w, errIncarnationMismatch)
		return
	}
	if err := s.grants.replace(g, time.Now()); err != nil {
		s.refuseGrant(w, err)
		return
	}
	writeJSON(w, http.StatusOK, s.heldGrants())
}

func (s *Server) handleExtend(w http.ResponseWriter, r *http.Request) {
	var e local.Extend
	if !readJSON(w, r, &e) {
		return
	}
	if e.Incarnation != s.cfg.Endpoint.Incarnation {
		s.refuseGrant(w, errIncarnationMismatch)
		return
	}
	if err := s.grants.extend(e, time.Now()); err != nil {
		s.refuseGrant(w, err)
		return
	}
	writeJSON(w, http.StatusOK, s.heldGrants())
}

// heldGrants describes the present grants to the daemon.
func (s *Server) heldGrants() local.GrantsReply {
	return local.GrantsReply{Incarnation: s.cfg.Endpoint.Incarnation, Seq: s.grants.currentSeq()}
}

// refuseGrant rejects a message about grants: 410 when it has expired, otherwise
// 409, with the present sequence number.
func (s *Server) refuseGrant(w http.ResponseWriter, err error) {
	status := http.StatusConflict
	if errors.Is(err, errMessageExpired) {
		status = http.StatusGone
	}
	writeJSON(w, status, s.heldGrants())
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	e := s.Endpoint()
	h := local.Health{Incarnation: e.Incarnation, Ready: e.Ready, Draining: e.Draining, Running: s.loadReport().Running}
	if v := s.activeFault.Load().ReportedReady; v != nil {
		h.Ready = *v
	}
	writeJSON(w, http.StatusOK, h)
}

func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if readJSON(w, r, &f) {
		s.SetFault(f)
		writeJSON(w, http.StatusOK, f)
	}
}

// request is a parsed request of a caller.
type request struct {
	id       string
	shard    pollenlatch.Shard
	fence    pollenlatch.Fence
	deadline time.Time // zero when there is none
	body     []byte
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	req, err := s.parse(r)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, local.ErrorResponse{Error: err.Error()})
		return
	}
	if !s.Endpoint().Ready {
		s.refuse(w, http.StatusServiceUnavailable, "server is not ready")
		return
	}
	if s.running.Add(1) > int64(s.cfg.Endpoint.Slots) {
		s.running.Add(-1)
		s.shed.Add(1)
		s.refuse(w, http.StatusServiceUnavailable, "all slots are in use")
		return
	}
	defer s.running.Add(-1)
	s.updatePeakRunning()
	if status, err := s.checkBeforeRun(r.Context(), req); err != nil {
		s.refuse(w, status, err.Error())
		return
	}
	s.run(w, r, req)
}

func (s *Server) updatePeakRunning() {
	n := s.running.Load()
	for p := s.peakRunning.Load(); n > p && !s.peakRunning.CompareAndSwap(p, n); p = s.peakRunning.Load() {
	}
}

// refuse responds that the request did not run.
func (s *Server) refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(local.HeaderOutcome, outcomeNotRun)
	writeJSON(w, status, local.ErrorResponse{Error: reason})
}

func (s *Server) parse(r *http.Request) (request, error) {
	req := request{id: r.Header.Get(HeaderRequestID)}
	if req.id == "" {
		req.id = r.Header.Get("Idempotency-Key")
	}
	if v := r.Header.Get(local.HeaderFence); v != "" {
		f, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return req, err
		}
		req.fence = pollenlatch.Fence(f)
		req.shard, err = local.ParseRange(s.cfg.Endpoint.Service, r.Header.Get(local.HeaderRange))
		if err != nil {
			return req, err
		}
	}
	if v := r.Header.Get(local.HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return req, err
		}
		req.deadline = time.UnixMilli(ms)
	}
	var err error
	req.body, err = io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	return req, err
}

// checkBeforeRun returns an error with its HTTP status if the request must not run.
// It is called immediately before the run. The deadline comes first, so that a
// server that was frozen reports an expired deadline whether it checks fences or
// not.
func (s *Server) checkBeforeRun(ctx context.Context, req request) (int, error) {
	s.freezeGate.wait()
	now := time.Now()
	if !req.deadline.IsZero() && !now.Before(req.deadline) {
		s.expired.Add(1)
		return http.StatusGatewayTimeout, errors.New("deadline exceeded before the run")
	}
	if ctx.Err() != nil {
		s.cancelled.Add(1)
		return http.StatusServiceUnavailable, ctx.Err()
	}
	if s.cfg.Endpoint.Fenced && req.fence != 0 {
		if err := s.grants.check(req.shard, req.fence, now); err != nil {
			s.refused.Add(1)
			return http.StatusConflict, err
		}
	}
	return 0, nil
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, req request) {
	now := time.Now()
	s.runsStarted.Add(1)
	s.mu.Lock()
	s.lastRunStart = now
	s.mu.Unlock()
	n := s.ledger.begin(Run{ID: req.id, Server: s.cfg.Endpoint.Incarnation, Shard: req.shard, Fence: req.fence, Start: now})
	f := s.nextFault()
	completed := s.simulateWork(r.Context(), req, s.serviceTime()+f.Delay)
	s.freezeGate.wait()
	completed = completed && s.awaitValidGrant(r.Context(), req)
	s.ledger.end(n, time.Now(), completed)
	if !completed {
		// The run was stopped part way, so there is no result to respond with.
		s.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
	s.respond(w, req, f)
}

// grantPollInterval is the interval at which a run that has ended checks for a valid
// grant.
const grantPollInterval = 5 * time.Millisecond

// awaitValidGrant checks the grant again after a run. If the grants have expired,
// either the shard has its next owner or the daemon is late with an extension, so
// it waits for new grants until the deadline.
func (s *Server) awaitValidGrant(ctx context.Context, req request) bool {
	if !s.cfg.Endpoint.Fenced || req.fence == 0 {
		return true
	}
	if !req.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.deadline)
		defer cancel()
	}
	for {
		valid, moved := s.grants.confirm(req.shard, req.fence, time.Now())
		if valid || moved {
			return valid
		}
		select {
		case <-time.After(grantPollInterval):
		case <-ctx.Done():
			return false
		case <-s.done:
			return false
		}
	}
}

// simulateWork waits for the service time d. It returns false when the connection
// closes, the deadline passes or the server stops before that.
func (s *Server) simulateWork(ctx context.Context, req request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	if !req.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.deadline)
		defer cancel()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.done:
		return false
	}
}

// nextFault returns the faults of the next request, as Fault.EveryNth selects them.
func (s *Server) nextFault() Fault {
	f := *s.activeFault.Load()
	if f.EveryNth > 1 && s.faultSeq.Add(1)%f.EveryNth != 0 {
		return Fault{}
	}
	return f
}

// respond echoes the body with padding and applies the faults to the response.
func (s *Server) respond(w http.ResponseWriter, req request, f Fault) {
	body := append(req.body, strings.Repeat("x", s.cfg.PaddingBytes)...)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if req.id != "" {
		w.Header().Set(HeaderRuns, strconv.Itoa(s.ledger.Count(req.id)))
	}
	status := http.StatusOK
	if f.Status != 0 {
		status = f.Status
	}
	w.WriteHeader(status)
	if f.TruncateAfter > 0 && f.TruncateAfter < len(body) {
		_, _ = w.Write(body[:f.TruncateAfter])
		if fl, ok := w.(http.Flusher); ok {
			fl.Flush()
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}
