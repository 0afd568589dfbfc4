package sample

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"pollenlatch"
	"pollenlatch/local"
)

// Reasons to reject a message about grants or a request under a fence.
var (
	errIncarnationMismatch = errors.New("message is for another incarnation of the server")
	errSeqMismatch         = errors.New("sequence number of the grants does not match")
	errMessageExpired      = errors.New("grant message has expired")
	errNotGranted          = errors.New("no grant for the shard")
	errFenceMismatch       = errors.New("fence differs from that of the grant")
	errGrantExpired        = errors.New("grant has expired")
)

// grantTable is the set of grants of one server, which expire together. expiresAt
// follows the monotonic clock, because it is derived from time.Now.
type grantTable struct {
	mu        sync.Mutex
	seq       uint64
	expiresAt time.Time
	fences    map[pollenlatch.Shard]pollenlatch.Fence
}

// replace installs the grants of a message that is newer than the present ones.
func (t *grantTable) replace(g local.Grants, now time.Time) error {
	left := local.TimeLeft(g.TTLMillis, g.ExpiryUnixMilli, now)
	if left <= 0 {
		return errMessageExpired
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if g.Seq <= t.seq {
		return errSeqMismatch
	}
	t.seq = g.Seq
	t.expiresAt = now.Add(left)
	t.fences = make(map[pollenlatch.Shard]pollenlatch.Fence, len(g.Grants))
	for _, v := range g.Grants {
		t.fences[v.Shard] = v.Fence
	}
	return nil
}

// extend moves the end of the present grants, if the message refers to them.
func (t *grantTable) extend(e local.Extend, now time.Time) error {
	left := local.TimeLeft(e.TTLMillis, e.ExpiryUnixMilli, now)
	if left <= 0 {
		return errMessageExpired
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Seq != t.seq {
		return errSeqMismatch
	}
	t.expiresAt = now.Add(left)
	return nil
}

func (t *grantTable) currentSeq() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seq
}

// check returns why a request with the fence must not run now, or nil.
func (t *grantTable) check(s pollenlatch.Shard, f pollenlatch.Fence, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	granted, ok := t.fences[s]
	switch {
	case !ok:
		return errNotGranted
	case granted != f:
		return fmt.Errorf("%w: granted %d, got %d", errFenceMismatch, granted, f)
	case !now.Before(t.expiresAt):
		return errGrantExpired
	default:
		return nil
	}
}

// confirm reports whether a run that began under the fence may take effect now:
// its shard is still granted, with this fence or a newer one, or the shard of a
// hot key was merged into its range and the range is granted. moved reports that
// the shard has left this server, so that the run may never take effect.
func (t *grantTable) confirm(s pollenlatch.Shard, f pollenlatch.Fence, now time.Time) (valid, moved bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rangeShard := pollenlatch.Shard{Service: s.Service, Range: s.Range}
	if t.fences[s] < f && (s.Key == "" || t.fences[rangeShard] < f) {
		return false, true
	}
	return now.Before(t.expiresAt), false
}

// hasValid reports whether any grant is valid now.
func (t *grantTable) hasValid(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.fences) > 0 && now.Before(t.expiresAt)
}
