// Package cold decides how many requests a server gets that tolerates few of them for
// some time after its start, or in mid-life. It addresses a load that would end such a
// server: the full traffic of a warm one. All requests to a server pass the daemon
// beside it, so that daemon alone keeps the bound, without messages between daemons.
package cold

import "time"

const (
	// signalDelay is how long a heartbeat may have been on its way. One that says that
	// the server is warm does not end a cold state that was stated less than this
	// before it arrived.
	signalDelay = 150 * time.Millisecond
	// endMargin is added to the time for which a server says that it stays cold, with
	// 2% of it, for the transmission of the signal and for the clock of the server.
	endMargin = 20 * time.Millisecond
)

// Monitor derives whether a server is cold from what it states. The zero value is that
// of a server of which nothing is known yet; it counts as cold. It takes the time as an
// argument, and its callers must lock it.
type Monitor struct {
	known    bool
	until    time.Time // end of the cold state
	statedAt time.Time // when the newest signal that says that the server is cold arrived
}

// Heartbeat records a heartbeat that arrived at now. left is the time for which the
// server stays cold, or 0.
func (m *Monitor) Heartbeat(left time.Duration, now time.Time) {
	m.observe(left, now.Add(-signalDelay), now)
}

// Response records a response that arrived at now to a request that was sent at sentAt.
func (m *Monitor) Response(left time.Duration, sentAt, now time.Time) { m.observe(left, sentAt, now) }

// observe records a signal that the server sent after sentAt. Signals may overtake each
// other, so one without a cold state ends it only if it is newer than the last with one.
func (m *Monitor) observe(left time.Duration, sentAt, now time.Time) {
	switch {
	case left > 0:
		m.known, m.until, m.statedAt = true, now.Add(left+left/50+endMargin), now
	case !m.known || sentAt.After(m.statedAt):
		m.known, m.until = true, time.Time{}
	}
}

// Known reports whether the server has stated whether it is cold.
func (m *Monitor) Known() bool { return m.known }

// Cold reports whether the server must be treated as cold.
func (m *Monitor) Cold(now time.Time) bool { return !m.known || now.Before(m.until) }

// Until returns when the cold state ends without another signal. It is zero for a server
// that is warm, or of which nothing is known.
func (m *Monitor) Until() time.Time { return m.until }
