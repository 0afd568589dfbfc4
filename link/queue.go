package link

import (
	"sync"
	"time"
)

// queue holds the frames to be sent on one lane of a peer. At most one goroutine
// sends them, and none while the queue is empty.
type queue struct {
	mu      sync.Mutex
	items   []queuedFrame
	bytes   int
	sending bool // a goroutine is sending its frames
}

type queuedFrame struct {
	frame    []byte
	queuedAt time.Time
}

// push appends a frame, and drops the oldest frames while a limit is exceeded. It
// reports whether the caller must start a goroutine that sends the queue.
func (q *queue) push(frame []byte) (start bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, queuedFrame{frame, time.Now()})
	q.bytes += len(frame)
	for len(q.items) > 1 && (len(q.items) > maxQueueLength || q.bytes > maxQueueBytes) {
		q.dropOldestLocked()
	}
	start = !q.sending
	q.sending = true
	return start
}

func (q *queue) dropOldestLocked() {
	q.bytes -= len(q.items[0].frame)
	q.items[0] = queuedFrame{}
	q.items = q.items[1:]
	if len(q.items) == 0 {
		q.items = nil
	}
}

// pop removes and returns the oldest frame that is not older than maxQueueAge. When
// there is none, the sending goroutine must end.
func (q *queue) pop(now time.Time) (frame []byte, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.items) > 0 {
		i := q.items[0]
		q.dropOldestLocked()
		if now.Sub(i.queuedAt) <= maxQueueAge {
			return i.frame, true
		}
	}
	q.sending = false
	return nil, false
}

// dropExpired drops the frames that are older than maxQueueAge. When none is left
// it returns true, and the sending goroutine must end.
func (q *queue) dropExpired(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.items) > 0 && now.Sub(q.items[0].queuedAt) > maxQueueAge {
		q.dropOldestLocked()
	}
	if len(q.items) == 0 {
		q.sending = false
	}
	return !q.sending
}

func (q *queue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items, q.bytes, q.sending = nil, 0, false
}
