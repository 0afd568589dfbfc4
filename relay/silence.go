package relay

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch/gauge"
)

const (
	// silenceInterval is the interval of the checks whether the server will respond to a
	// request that takes longer than expected.
	silenceInterval = 100 * time.Millisecond
	// silenceLogRate is the maximum number of log lines a second on such requests.
	silenceLogRate = 5
)

var errSilent = errors.New("server has gone silent: no response in several times the run time of the request")

// awaitResponse waits for the first byte of the response of a server that states its
// load. It fails with errSilent when the server will not respond.
func (x *exchange) awaitResponse() error {
	g := x.relay.cfg.Gauge
	if g == nil || x.inFlight == nil || !x.requestWritten || !g.StatesLoad() {
		return nil
	}
	expected := x.relay.cfg.ExpectedRun(x.r)
	if expected <= 0 {
		return nil
	}
	for until := time.Now().Add(gauge.SilenceAfter(expected)); until.Before(x.runDeadline); until = time.Now().Add(silenceInterval) {
		_ = x.conn.SetReadDeadline(until)
		if _, err := x.conn.r.Peek(1); err == nil || !isTimeout(err) {
			break // readHead returns the error again
		}
		if x.ctx.Err() == nil && g.Silence(x.inFlight, expected, x.r.Idempotent, time.Now()) && !x.conn.readable() {
			return errSilent
		}
	}
	_ = x.conn.SetReadDeadline(x.runDeadline)
	return nil
}

// afterSilence closes the connections on which the server may be silent too, after it has
// not responded to a request.
func (x *exchange) afterSilence(silent bool, now time.Time) {
	g := x.relay.cfg.Gauge
	if silent || (x.requestWritten && g.QuietSince(x.sentAt) && now.Sub(x.sentAt) > x.relay.cfg.ExpectedRun(x.r)) {
		x.relay.pool.closeIdleSince(x.sentAt)
	}
	if !silent {
		return
	}
	g.CountSilent()
	if suppressed, ok := x.relay.silenceLog.Allow(now); ok {
		klog.InfoS("server has gone silent", "server", x.conn.serverID, "id", x.r.ID, "route", x.r.Route, "sentMs", now.Sub(x.sentAt).Milliseconds(),
			"leftMs", x.runDeadline.Sub(now).Milliseconds(), "reused", x.conn.reused, "suppressed", suppressed)
	}
}
