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
	maxControl = 8 << 20 // bytes of a control message
	maxBody    = 8 << 20 // bytes of a request body
	notRun     = "not-run"
)

// Paths for tests in other processes.
const (
	PathFault = "/sample/fault" // POST a Fault
	PathStats = "/sample/stats" // GET the Stats
	PathRuns  = "/sample/runs"  // GET the number of runs of ?id=
)

// HeaderRequestID names the request in the ledger. The Idempotency-Key is used
// when it is absent.
const HeaderRequestID = "X-Request-Id"

// HeaderRuns of an answer says how often the request has run, this run
// included.
const HeaderRuns = "X-Runs"

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+local.PathGrants, s.handleGrants)
	mux.HandleFunc("POST "+local.PathExtend, s.handleExtend)
	mux.HandleFunc("GET "+local.PathHealth, s.handleHealth)
	mux.HandleFunc("POST "+PathFault, s.handleFault)
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Stats()) })
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, r *http.Request) {
		reply(w, http.StatusOK, s.ledger.Count(r.URL.Query().Get("id")))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Requests bypass the mux, which would redirect paths that it cleans.
		if strings.HasPrefix(r.URL.Path, "/pollen/") || strings.HasPrefix(r.URL.Path, "/sample/") {
			mux.ServeHTTP(w, r)
			return
		}
		s.handleWork(w, r)
	})
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte(`{"error":"cannot encode the answer"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxControl)).Decode(v)
	if err != nil {
		reply(w, http.StatusBadRequest, local.ErrorResponse{Error: err.Error()})
		return false
	}
	return true
}

func (s *Server) handleGrants(w http.ResponseWriter, r *http.Request) {
	var g local.Grants
	if !decode(w, r, &g) {
		return
	}
	if g.Incarnation != s.cfg.Endpoint.Incarnation {
		s.refuseGrant(w, errIncarnation)
		return
	}
	if err := s.grants.replace(g, time.Now()); err != nil {
		s.refuseGrant(w, err)
		return
	}
	reply(w, http.StatusOK, s.held())
}

func (s *Server) handleExtend(w http.ResponseWriter, r *http.Request) {
	var e local.Extend
	if !decode(w, r, &e) {
		return
	}
	if e.Incarnation != s.cfg.Endpoint.Incarnation {
		s.refuseGrant(w, errIncarnation)
		return
	}
	if err := s.grants.extend(e, time.Now()); err != nil {
		s.refuseGrant(w, err)
		return
	}
	reply(w, http.StatusOK, s.held())
}

func (s *Server) held() local.GrantsReply {
	return local.GrantsReply{Incarnation: s.cfg.Endpoint.Incarnation, Seq: s.grants.held()}
}

func (s *Server) refuseGrant(w http.ResponseWriter, err error) {
	status := http.StatusConflict
	if errors.Is(err, errLate) {
		status = http.StatusGone
	}
	reply(w, status, s.held())
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	e := s.Endpoint()
	h := local.Health{Incarnation: e.Incarnation, Ready: e.Ready, Draining: e.Draining, Running: s.report().Running}
	if v := s.fault.Load().ReportedReady; v != nil {
		h.Ready = *v
	}
	reply(w, http.StatusOK, h)
}

func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if decode(w, r, &f) {
		s.SetFault(f)
		reply(w, http.StatusOK, f)
	}
}

// work is one request while it is handled.
type work struct {
	id       string
	shard    pollenlatch.Shard
	fence    pollenlatch.Fence
	deadline time.Time // zero: none
	body     []byte
}

func (s *Server) handleWork(w http.ResponseWriter, r *http.Request) {
	k, err := s.parse(r)
	if err != nil {
		reply(w, http.StatusBadRequest, local.ErrorResponse{Error: err.Error()})
		return
	}
	if !s.Endpoint().Ready {
		s.refuse(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	if s.running.Add(1) > int64(s.cfg.Endpoint.Slots) {
		s.running.Add(-1)
		s.shed.Add(1)
		s.refuse(w, http.StatusServiceUnavailable, "every slot is in use")
		return
	}
	defer s.running.Add(-1)
	s.notePeak()
	if status, err := s.mayRun(r.Context(), k); err != nil {
		s.refuse(w, status, err.Error())
		return
	}
	s.run(w, r, k)
}

func (s *Server) notePeak() {
	n := s.running.Load()
	for p := s.peak.Load(); n > p && !s.peak.CompareAndSwap(p, n); p = s.peak.Load() {
	}
}

func (s *Server) refuse(w http.ResponseWriter, status int, why string) {
	w.Header().Set(local.HeaderOutcome, notRun)
	reply(w, status, local.ErrorResponse{Error: why})
}

func (s *Server) parse(r *http.Request) (work, error) {
	k := work{id: r.Header.Get(HeaderRequestID)}
	if k.id == "" {
		k.id = r.Header.Get("Idempotency-Key")
	}
	if v := r.Header.Get(local.HeaderFence); v != "" {
		f, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return k, err
		}
		k.fence = pollenlatch.Fence(f)
		k.shard, err = local.ParseRange(s.cfg.Endpoint.Service, r.Header.Get(local.HeaderRange))
		if err != nil {
			return k, err
		}
	}
	if v := r.Header.Get(local.HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return k, err
		}
		k.deadline = time.UnixMilli(ms)
	}
	var err error
	k.body, err = io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBody))
	return k, err
}

// mayRun makes the checks last before the run. The deadline is checked first:
// a server that froze finds it passed whether it checks fences or not.
func (s *Server) mayRun(ctx context.Context, k work) (int, error) {
	s.frozen.wait()
	now := time.Now()
	if !k.deadline.IsZero() && !now.Before(k.deadline) {
		s.late.Add(1)
		return http.StatusGatewayTimeout, errors.New("deadline has passed")
	}
	if ctx.Err() != nil {
		s.cancelled.Add(1)
		return http.StatusServiceUnavailable, ctx.Err()
	}
	if s.cfg.Endpoint.Fenced && k.fence != 0 {
		if err := s.grants.check(k.shard, k.fence, now); err != nil {
			s.refused.Add(1)
			return http.StatusConflict, err
		}
	}
	return 0, nil
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, k work) {
	now := time.Now()
	s.starts.Add(1)
	s.mu.Lock()
	s.lastStart = now
	s.mu.Unlock()
	n := s.ledger.begin(Run{ID: k.id, Server: s.cfg.Endpoint.Incarnation, Shard: k.shard, Fence: k.fence, Start: now})
	f := s.pickFault()
	whole := s.spend(r.Context(), k, s.serviceTime()+f.Delay)
	s.frozen.wait()
	whole = whole && s.mayTakeEffect(r.Context(), k)
	s.ledger.end(n, time.Now(), whole)
	if !whole {
		// The run was stopped part way: its caller can't be told the result.
		s.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
	s.answer(w, k, f)
}

// confirmPoll is how often a run that is done looks for its grant.
const confirmPoll = 5 * time.Millisecond

// mayTakeEffect checks the grant again after a run. When the grants have
// expired, the shard may have its next owner or the daemon may be late with an
// extension: the run waits for that, until its deadline.
func (s *Server) mayTakeEffect(ctx context.Context, k work) bool {
	if !s.cfg.Endpoint.Fenced || k.fence == 0 {
		return true
	}
	if !k.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, k.deadline)
		defer cancel()
	}
	for {
		lasts, moved := s.grants.lasts(k.shard, k.fence, time.Now())
		if lasts || moved {
			return lasts
		}
		select {
		case <-time.After(confirmPoll):
		case <-ctx.Done():
			return false
		case <-s.done:
			return false
		}
	}
}

// spend takes the service time, and stops early when the connection closes or
// the deadline passes.
func (s *Server) spend(ctx context.Context, k work, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	if !k.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, k.deadline)
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

// pickFault returns the faults of this request.
func (s *Server) pickFault() Fault {
	f := *s.fault.Load()
	if f.EveryNth > 1 && s.seq.Add(1)%f.EveryNth != 0 {
		return Fault{}
	}
	return f
}

func (s *Server) answer(w http.ResponseWriter, k work, f Fault) {
	body := append(k.body, strings.Repeat("x", s.cfg.PaddingBytes)...)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if k.id != "" {
		w.Header().Set(HeaderRuns, strconv.Itoa(s.ledger.Count(k.id)))
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
