// Package evac decides which requests the servers of an evacuated data centre still
// get. Requests that any server of a service may run are refused at once, since other
// servers can run them. Requests by key are served until the key has another owner, but
// no longer than the time limit of the evacuation allows.
package evac

import (
	"time"

	"pollenlatch"
)

const (
	// DefaultLimit is the time from the acknowledgement of an evacuation until its
	// servers get no requests, where the settings have none.
	DefaultLimit = 5 * time.Second
	// margin is reserved for the time from the last check of a request until it has
	// reached the server, on an instance with a share of a processor core.
	margin = 500 * time.Millisecond
)

// Rule is the rule for evacuated data centres. The zero value uses DefaultLimit and
// knows of no evacuation.
type Rule struct {
	Limit time.Duration // 0 is DefaultLimit
	// Since returns a time by which the evacuation of a data centre was not
	// acknowledged yet, or 0 when it is not evacuated.
	Since func(dc string) pollenlatch.MonoTime
	Clock pollenlatch.Clock // of Since; nil is BootClock
}

// Grace returns how long requests by key are still sent to servers of an evacuated data
// centre.
func (r Rule) Grace() time.Duration {
	limit := r.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	return limit - min(margin, limit/2)
}

// Refuses reports whether a server of a data centre must not get a request. byKey says
// that only the owner of its key may run it.
func (r Rule) Refuses(dc string, byKey bool) bool {
	if r.Since == nil {
		return false
	}
	since := r.Since(dc)
	if since == 0 || !byKey {
		return since != 0
	}
	return r.now().Sub(since) >= r.Grace()
}

// Left returns the time until requests by key are refused too, and false for a data
// centre that is not evacuated.
func (r Rule) Left(dc string) (time.Duration, bool) {
	if r.Since == nil {
		return 0, false
	}
	since := r.Since(dc)
	return max(0, since.Add(r.Grace()).Sub(r.now())), since != 0
}

func (r Rule) now() pollenlatch.MonoTime {
	if r.Clock == nil {
		return pollenlatch.BootClock{}.Now()
	}
	return r.Clock.Now()
}
