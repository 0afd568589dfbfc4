// Package pace schedules large responses on a network link of limited bandwidth.
package pace

import (
	"context"
	"slices"
	"sync"
	"time"

	"pollenlatch"
)

const (
	// sizeWeight is the weight of the newest response in the exponentially weighted
	// moving average of a route's response sizes, which differ by a factor of three.
	sizeWeight = 0.1
	// initialSize is the assumed size in bytes of a route's responses before the first
	// one.
	initialSize = 64 << 10
	// maxRoutes is the maximum number of routes whose sizes are kept.
	maxRoutes = 1024
	// maxAhead is how much time of the link may be reserved in advance: a timer fires
	// up to a millisecond late, and the link must not become idle in the meantime.
	maxAhead = 5 * time.Millisecond
)

// Link is a pollenlatch.Pacer. It releases the chunks of large responses at the rate
// of a network link, so that small responses never queue behind more than one chunk.
// The zero value is an unlimited link. It is safe for concurrent use.
//
// When the link is overloaded, Link first sends as many responses as possible of
// those that can still meet their latency objective, and the others after them.
// Sharing the link evenly would make all of them late.
type Link struct {
	bytesPerSecond float64 // 0 is unlimited

	mu           sync.Mutex
	busyUntil    time.Time          // when the chunks released so far have been sent
	transfers    []*transfer        // in progress
	timerSet     bool               // a call of dispatch is scheduled
	typicalSizes map[string]float64 // bytes, by route
}

// NewLink returns a link of the given bandwidth; 0 is unlimited.
func NewLink(bytesPerSecond float64) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// transfer is the paced sending of one response.
type transfer struct {
	link         *Link
	remaining    int // bytes
	softDeadline time.Time
	deadline     time.Time
	nextChunk    int           // bytes of the waiting chunk; 0 when none waits
	ready        chan struct{} // closed when the waiting chunk may be sent
}

// Begin implements pollenlatch.Pacer.
func (l *Link) Begin(route string, size int, softDeadline, deadline time.Time) pollenlatch.Transfer {
	t := &transfer{link: l, remaining: size, softDeadline: softDeadline, deadline: deadline}
	if l.bytesPerSecond <= 0 {
		return t
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordSize(route, size)
	l.transfers = append(l.transfers, t)
	return t
}

func (l *Link) recordSize(route string, size int) {
	if l.typicalSizes == nil || len(l.typicalSizes) >= maxRoutes {
		l.typicalSizes = make(map[string]float64)
	}
	old, ok := l.typicalSizes[route]
	if !ok {
		old = float64(size)
	}
	l.typicalSizes[route] = old + sizeWeight*(float64(size)-old)
}

// TypicalTime returns the time that a typical response of a route takes on the link.
func (l *Link) TypicalTime(route string) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	size, ok := l.typicalSizes[route]
	if !ok {
		size = initialSize
	}
	return l.sendTime(size)
}

// Backlog returns how long the present transfers keep the link busy.
func (l *Link) Backlog() time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	for _, t := range l.transfers {
		sum += t.remaining
	}
	return l.sendTime(float64(sum)) + max(0, time.Until(l.busyUntil))
}

// RecordUnpaced counts n bytes that were sent without a transfer.
func (l *Link) RecordUnpaced(n int) {
	if l.bytesPerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserve(n, time.Now())
}

func (l *Link) sendTime(bytes float64) time.Duration {
	return time.Duration(bytes / l.bytesPerSecond * float64(time.Second))
}

// reserve reserves the time that n bytes take on the link.
func (l *Link) reserve(n int, now time.Time) {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(l.sendTime(float64(n)))
}

// Wait implements pollenlatch.Transfer.
func (t *transfer) Wait(ctx context.Context, n int) error {
	l := t.link
	if l.bytesPerSecond <= 0 || n == 0 {
		return ctx.Err()
	}
	l.mu.Lock()
	ready := make(chan struct{})
	t.nextChunk, t.ready = n, ready
	l.dispatch()
	l.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// End implements pollenlatch.Transfer.
func (t *transfer) End() {
	l := t.link
	if l.bytesPerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transfers = slices.DeleteFunc(l.transfers, func(o *transfer) bool { return o == t })
}

// dispatch releases waiting chunks while the link has free time, and schedules its
// next call for when it has free time again. The caller must hold mu.
func (l *Link) dispatch() {
	now := time.Now()
	for {
		if limit := now.Add(maxAhead); l.busyUntil.After(limit) {
			if !l.timerSet && slices.ContainsFunc(l.transfers, (*transfer).isWaiting) {
				l.timerSet = true
				time.AfterFunc(l.busyUntil.Sub(limit), func() {
					l.mu.Lock()
					defer l.mu.Unlock()
					l.timerSet = false
					l.dispatch()
				})
			}
			return
		}
		t := l.nextWaiting(now)
		if t == nil {
			return
		}
		l.reserve(t.nextChunk, now)
		t.remaining = max(0, t.remaining-t.nextChunk)
		t.nextChunk = 0
		close(t.ready)
	}
}

func (t *transfer) isWaiting() bool { return t.nextChunk > 0 }

// nextWaiting returns the transfer whose waiting chunk is sent next, or nil.
func (l *Link) nextWaiting(now time.Time) *transfer {
	order := l.order(now)
	if n := slices.IndexFunc(order, (*transfer).isWaiting); n >= 0 {
		return order[n]
	}
	return nil
}

// order returns the transfers in the order in which they are sent.
func (l *Link) order(now time.Time) []*transfer {
	return Order(slices.Clone(l.transfers), now,
		func(t *transfer) time.Duration { return l.sendTime(float64(t.remaining)) },
		func(t *transfer) time.Time { return t.softDeadline },
		func(t *transfer) time.Time { return t.deadline },
	)
}
