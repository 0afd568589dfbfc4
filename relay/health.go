package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"pollenlatch"
)

const (
	// healthTimeout limits a health check. Servers answer them at once, also under load.
	healthTimeout = 500 * time.Millisecond
	// maxHealthBytes is the maximum size of the body of the response to a health check.
	maxHealthBytes = 64 << 10
	// maxColdFor limits the time for which a server may say that it stays cold.
	maxColdFor = time.Hour
)

var (
	errInvalidHealth   = errors.New("invalid response to a health check")
	errOtherServer     = errors.New("another server has responded to a health check")
	errInvalidColdTime = errors.New("invalid time for which a server stays cold")
)

// CheckHealth sends a health check to the server on a connection that does not wait for
// those of requests and is kept for the next check, and returns what the response says
// about the server. It needs Headers. Concurrent calls wait for each other.
func (rl *Relay) CheckHealth(ctx context.Context, path string) (pollenlatch.ServerSignals, error) {
	rl.healthMu.Lock()
	defer rl.healthMu.Unlock()
	deadline := time.Now().Add(healthTimeout)
	c := rl.healthConn
	rl.healthConn = nil
	if c == nil || !rl.pool.isCurrent(c) || time.Since(c.idleSince) >= c.idleLimit() || !c.alive() {
		if c != nil {
			_ = c.Close()
		}
		var err error
		if c, err = rl.pool.open(ctx, deadline); err != nil {
			return pollenlatch.ServerSignals{}, fmt.Errorf("health check: %w", err)
		}
	}
	signals, reusable, err := rl.checkHealthOn(ctx, c, path, deadline)
	if err != nil || !reusable {
		_ = c.Close()
		return signals, err
	}
	c.idleSince = time.Now()
	rl.healthConn = c
	return signals, nil
}

// checkHealthOn makes a health check on a connection, and reports whether the connection
// may be used for another one.
func (rl *Relay) checkHealthOn(ctx context.Context, c *conn, path string, deadline time.Time) (signals pollenlatch.ServerSignals, reusable bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer func() { reusable = stop() && reusable }()
	_ = c.SetDeadline(deadline) // fails only on a closed connection, on which writes fail too
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(path)
	req.SetHost(c.host)
	c.w.Reset(c.Conn)
	if err := req.Write(c.w); err != nil {
		return pollenlatch.ServerSignals{}, false, fmt.Errorf("health check: %w", err)
	}
	if err := c.w.Flush(); err != nil {
		return pollenlatch.ServerSignals{}, false, fmt.Errorf("health check: %w", err)
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := readFinal(c.r, resp, maxHealthBytes); err != nil {
		return pollenlatch.ServerSignals{}, false, fmt.Errorf("health check: %w", err)
	}
	c.recordKeepAlive(&resp.Header)
	if signals, err = rl.healthSignals(c, resp); err != nil {
		return signals, false, err
	}
	return signals, !resp.Header.ConnectionClose() && c.r.Buffered() == 0, nil
}

func (rl *Relay) healthSignals(c *conn, resp *fasthttp.Response) (pollenlatch.ServerSignals, error) {
	if status := resp.StatusCode(); status < http.StatusOK {
		return pollenlatch.ServerSignals{}, fmt.Errorf("%w: status %d", errInvalidHealth, status)
	}
	if id := string(resp.Header.Peek(rl.cfg.Headers.ServerName)); id != "" && c.serverID != "" && id != c.serverID {
		return pollenlatch.ServerSignals{}, fmt.Errorf("%w: %.60q", errOtherServer, id)
	}
	return pollenlatch.ServerSignals{Incarnation: c.incarnation, ColdFor: rl.coldFor(c, &resp.Header), Load: rl.load(c, &resp.Header)}, nil
}

// coldFor returns the time for which a response says that its server stays cold, or nil
// if it does not say.
func (rl *Relay) coldFor(c *conn, h *fasthttp.ResponseHeader) *time.Duration {
	name := rl.cfg.Headers.Cold
	if name == "" {
		return nil
	}
	v := h.Peek(name)
	if len(v) == 0 {
		return nil
	}
	ms, err := strconv.ParseInt(string(v), 10, 64)
	if err != nil || ms < 0 || ms > maxColdFor.Milliseconds() {
		rl.invalidCold.Do(func() {
			klog.ErrorS(errInvalidColdTime, "cold state in a response is ignored", "server", c.serverID, "value", fmt.Sprintf("%.40q", v))
		})
		return nil
	}
	d := time.Duration(ms) * time.Millisecond
	return &d
}
