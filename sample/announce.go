package sample

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch/local"
)

// announceLoop repeats the announcement, so that a daemon that restarted
// learns of the server within one interval.
func (s *Server) announceLoop() {
	t := time.NewTicker(s.cfg.AnnounceInterval)
	defer t.Stop()
	for {
		s.frozen.wait()
		reached := s.announce(s.ctx)
		s.post(s.ctx, local.PathLoad, s.report())
		var again <-chan time.Time
		if !reached {
			again = time.After(announceRetry)
		}
		select {
		case <-s.ctx.Done():
			return
		case <-again:
		case <-t.C:
		case <-s.ready():
			s.announce(s.ctx)
		}
	}
}

// ready returns a channel that fires once when the cold start ends, or nil
// when it has ended.
func (s *Server) ready() <-chan time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.cfg.ColdStart - time.Since(s.started)
	if left <= 0 {
		return nil
	}
	return time.After(left)
}

// announceRetry is the pause before another try to reach a daemon that may be
// starting.
const announceRetry = 50 * time.Millisecond

// announce reports whether the daemon took the announcement.
func (s *Server) announce(ctx context.Context) bool {
	e := s.Endpoint()
	if r := s.fault.Load().ReportedReady; r != nil {
		e.Ready = *r
	}
	return s.post(ctx, local.PathAnnounce, e)
}

func (s *Server) report() local.LoadReport {
	r := local.LoadReport{Incarnation: s.cfg.Endpoint.Incarnation, Running: uint32(s.running.Load())}
	if n := s.fault.Load().ReportedLoad; n != nil {
		r.Running = *n
	}
	return r
}

func (s *Server) post(ctx context.Context, path string, v any) bool {
	if s.cfg.Daemon == "" {
		return true
	}
	err := s.send(ctx, path, v)
	if err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("Cannot reach the daemon", "path", path, "err", err)
	}
	return err == nil
}

func (s *Server) send(ctx context.Context, path string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.cfg.Daemon+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return nil
}
