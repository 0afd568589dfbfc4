package sample

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"pollenlatch"
	"pollenlatch/local"
)

// Errors of grants and fences.
var (
	errIncarnation = errors.New("message is for another incarnation")
	errSeq         = errors.New("sequence number does not match")
	errLate        = errors.New("message has expired")
	errNoGrant     = errors.New("no grant")
	errFence       = errors.New("fence differs from the grant")
	errGrantOver   = errors.New("grant has expired")
)

// holding is the set of grants of one server. Its end is kept on the
// monotonic clock, because time.Time values from time.Now carry it.
type holding struct {
	mu     sync.Mutex
	seq    uint64
	end    time.Time
	fences map[pollenlatch.Shard]pollenlatch.Fence
}

func (h *holding) replace(g local.Grants, now time.Time) error {
	left := local.TimeLeft(g.TTLMillis, g.ExpiryUnixMilli, now)
	if left <= 0 {
		return errLate
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if g.Seq <= h.seq {
		return errSeq
	}
	h.seq = g.Seq
	h.end = now.Add(left)
	h.fences = make(map[pollenlatch.Shard]pollenlatch.Fence, len(g.Grants))
	for _, v := range g.Grants {
		h.fences[v.Shard] = v.Fence
	}
	return nil
}

func (h *holding) extend(e local.Extend, now time.Time) error {
	left := local.TimeLeft(e.TTLMillis, e.ExpiryUnixMilli, now)
	if left <= 0 {
		return errLate
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.Seq != h.seq {
		return errSeq
	}
	h.end = now.Add(left)
	return nil
}

func (h *holding) held() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seq
}

// check reports why a request with the fence must not run now.
func (h *holding) check(s pollenlatch.Shard, f pollenlatch.Fence, now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	have, ok := h.fences[s]
	switch {
	case !ok:
		return errNoGrant
	case have != f:
		return fmt.Errorf("%w: granted %d, got %d", errFence, have, f)
	case !now.Before(h.end):
		return errGrantOver
	default:
		return nil
	}
}

// lasts reports whether what began under the fence may take effect now: the
// shard is granted, also with a newer fence, or the key belongs to its range
// again and that is granted. moved means that it never may again.
func (h *holding) lasts(s pollenlatch.Shard, f pollenlatch.Fence, now time.Time) (lasts, moved bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	whole := pollenlatch.Shard{Service: s.Service, Range: s.Range}
	if h.fences[s] < f && (s.Key == "" || h.fences[whole] < f) {
		return false, true
	}
	return now.Before(h.end), false
}

// any reports whether some shard is granted.
func (h *holding) any(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.fences) > 0 && now.Before(h.end)
}
