package front

import (
	"sync"
	"time"

	"pollenlatch"
)

// maxLeaving limits the leaving servers that are remembered.
const maxLeaving = 4096

// leavingServers remembers which servers have said in a response that they leave. The
// state of this instance may not show that for as long as it or the server's instance
// has no connection to the voters. The zero value is ready to use. It is safe for
// concurrent use.
type leavingServers struct {
	mu    sync.RWMutex
	since map[pollenlatch.Incarnation]time.Time
}

// record records that a server has said that it leaves.
func (l *leavingServers) record(of pollenlatch.Incarnation, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.since[of]; known {
		return
	}
	if l.since == nil || len(l.since) >= maxLeaving {
		l.since = make(map[pollenlatch.Incarnation]time.Time)
	}
	l.since[of] = now
}

// hasLeft reports whether a server must get no more requests.
func (l *leavingServers) hasLeft(i pollenlatch.Instance, now time.Time) bool {
	if i.Endpoint == nil {
		return false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	since, known := l.since[i.Endpoint.Incarnation]
	return known && now.Sub(since) >= pollenlatch.DrainGrace
}
