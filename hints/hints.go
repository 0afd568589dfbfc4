// Package hints keeps what the daemons beside other servers have said of their load, and
// decides which requests are sent to none of them.
package hints

import (
	"sync/atomic"

	"pollenlatch"
)

// Applies reports whether the parts for overload apply to a deployment: a service has
// cold servers, or a route has large request bodies. Its servers then have more load at
// times than they can run. It applies to all services or to none, because the runs of
// one service call others. A daemon whose own server reports its slowness applies the
// parts as well; see Condition.
func Applies(v pollenlatch.View) bool {
	if c, ok := v.(interface{ HasLargeBodies() bool }); ok && c.HasLargeBodies() {
		return true
	}
	for _, s := range v.Services() {
		if s.ColdTime > 0 || s.ColdRate > 0 {
			return true
		}
	}
	return false
}

// Condition evaluates Applies once for each version of the state. The zero value is
// ready to use. It is safe for concurrent use.
type Condition struct {
	cached   atomic.Pointer[verdict]
	slowness atomic.Bool
}

type verdict struct {
	version pollenlatch.Version
	applies bool
}

// RecordLoad records the load that the local server has reported.
func (c *Condition) RecordLoad(l *pollenlatch.ServerLoad) {
	if l != nil && l.Slowness > 0 && !c.slowness.Load() {
		c.slowness.Store(true)
	}
}

// Applies reports whether the parts for overload apply at this daemon.
func (c *Condition) Applies(v pollenlatch.View) bool {
	if c.slowness.Load() {
		return true
	}
	known := c.cached.Load()
	if known == nil || known.version != v.Version() {
		known = &verdict{version: v.Version(), applies: Applies(v)}
		c.cached.Store(known)
	}
	return known.applies
}
