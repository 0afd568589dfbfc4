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

// announceLoop announces the server and reports its load at every interval, so
// that a daemon that restarted learns of the server within one interval.
func (s *Server) announceLoop() {
	t := time.NewTicker(s.cfg.AnnounceInterval)
	defer t.Stop()
	for {
		s.freezeGate.wait()
		accepted := s.announce(s.ctx)
		s.notifyDaemon(s.ctx, local.PathLoad, s.loadReport())
		var retry <-chan time.Time
		if !accepted {
			retry = time.After(announceRetryDelay)
		}
		select {
		case <-s.ctx.Done():
			return
		case <-retry:
		case <-t.C:
		case <-s.coldStartEnd():
			s.announce(s.ctx)
		}
	}
}

// coldStartEnd returns a channel that receives once at the end of the cold start,
// or nil after it.
func (s *Server) coldStartEnd() <-chan time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.cfg.ColdStart - time.Since(s.startedAt)
	if left <= 0 {
		return nil
	}
	return time.After(left)
}

// announceRetryDelay is the delay before a failed announcement is sent again. The
// daemon may still be starting.
const announceRetryDelay = 50 * time.Millisecond

// announce sends the current endpoint to the daemon. It reports whether the daemon
// accepted it.
func (s *Server) announce(ctx context.Context) bool {
	e := s.Endpoint()
	if r := s.activeFault.Load().ReportedReady; r != nil {
		e.Ready = *r
	}
	return s.notifyDaemon(ctx, local.PathAnnounce, e)
}

// loadReport returns the number of running requests, or that of the injected
// fault.
func (s *Server) loadReport() local.LoadReport {
	r := local.LoadReport{Incarnation: s.cfg.Endpoint.Incarnation, Running: uint32(s.running.Load())}
	if n := s.activeFault.Load().ReportedLoad; n != nil {
		r.Running = *n
	}
	return r
}

// notifyDaemon posts v to the local daemon and logs a failure. It reports whether
// the daemon accepted it.
func (s *Server) notifyDaemon(ctx context.Context, path string, v any) bool {
	if s.cfg.Daemon == "" {
		return true
	}
	err := s.post(ctx, path, v)
	if err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("cannot notify the local daemon", "path", path, "err", err)
	}
	return err == nil
}

func (s *Server) post(ctx context.Context, path string, v any) error {
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
