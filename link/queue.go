package link

import (
	"sync"
	"time"
)

// queue holds the frames that wait for one lane of a peer. At most one
// goroutine drains it, and none while it is empty.
type queue struct {
	mu      sync.Mutex
	items   []queued
	bytes   int
	drained bool // a goroutine is draining it
}

type queued struct {
	frame []byte
	at    time.Time
}

// push appends a frame and drops the oldest ones above the bounds. It reports
// whether the caller must start a goroutine that drains the queue.
func (q *queue) push(frame []byte) (start bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, queued{frame, time.Now()})
	q.bytes += len(frame)
	for len(q.items) > 1 && (len(q.items) > queueLength || q.bytes > queueBytes) {
		q.dropLocked()
	}
	start = !q.drained
	q.drained = true
	return start
}

func (q *queue) dropLocked() {
	q.bytes -= len(q.items[0].frame)
	q.items[0] = queued{}
	q.items = q.items[1:]
	if len(q.items) == 0 {
		q.items = nil
	}
}

// pop removes the oldest frame that is not older than queueAge. When there is
// none the draining goroutine has ended.
func (q *queue) pop(now time.Time) (frame []byte, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.items) > 0 {
		i := q.items[0]
		q.dropLocked()
		if now.Sub(i.at) <= queueAge {
			return i.frame, true
		}
	}
	q.drained = false
	return nil, false
}

// stale drops the frames that are too old and reports whether none is left, in
// which case the draining goroutine has ended.
func (q *queue) stale(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.items) > 0 && now.Sub(q.items[0].at) > queueAge {
		q.dropLocked()
	}
	if len(q.items) == 0 {
		q.drained = false
	}
	return !q.drained
}

func (q *queue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items, q.bytes, q.drained = nil, 0, false
}
