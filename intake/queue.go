package intake

import (
	"math"
	"slices"
	"time"

	"pollenlatch/pace"
)

const (
	// reservedShare is the share of the link that bodies leave to small requests, nested
	// calls and responses: 100 KB/s of a link of 6 Mbit/s. A server of deployment N receives
	// 37 nested calls a second there; 1 KB is assumed for each, and as much for the rest.
	reservedShare = 0.15
	// reservedBurst is how long the reserved share is kept when it is not used.
	reservedBurst = time.Second
	// maxAhead is how much time of the link may be requested in advance. It covers the
	// way of a request for bytes to another data centre and back, and delays a nested
	// call with an objective of 200 ms and a run of 48 ms by a quarter of the rest.
	maxAhead = 40 * time.Millisecond
	// startAhead is the time of the link that admitted bodies which move before the next
	// one may need for that one to be admitted. The link must not become idle while it
	// gets its slot; more of them would occupy slots without running.
	startAhead = 100 * time.Millisecond
	// maxStarted is the maximum number of admitted bodies of senders that do not stall.
	// Each occupies one of the 9 to 12 slots of a server, which cannot run nested calls
	// in it. A body of 360 KB must leave room for shorter ones that are due earlier.
	maxStarted = 4
	// stallTime is the time without progress after which a sender counts as stalled. Its
	// bytes are no longer expected on the link, so that others are requested instead.
	stallTime = 250 * time.Millisecond
	// maxRoutes is the maximum number of routes whose sizes are kept, sizeWeight the
	// weight of the newest body in the average, and initialSize the size in bytes that is
	// assumed before the first one. Only bodies of unknown size need an assumption.
	maxRoutes   = 1024
	sizeWeight  = 0.1
	initialSize = 64 << 10
)

// body is a large request body that waits at its sender or is being received.
type body struct {
	route        string
	size         int64     // bytes; an estimate when the head does not state it
	softDeadline time.Time // by which it must have arrived for its request to meet its objective
	deadline     time.Time // by which it must have arrived for its request to meet its deadline
	started      bool      // its request is admitted
	unrequested  int64     // bytes that have not been requested
	requested    int64     // bytes that were requested and have not arrived
	arrived      int64     // bytes
	progressAt   time.Time // last request or arrival of bytes
	chunk        int       // bytes that wait for their turn; 0 when none do
	turn         func()    // called when the chunk may be requested
}

// remaining returns the number of bytes that have not arrived.
func (b *body) remaining() int64 { return b.unrequested + b.requested }

func (b *body) stalled(now time.Time) bool {
	return b.requested > 0 && now.Sub(b.progressAt) >= stallTime
}

// queue decides which large bodies move over a link into this instance, and when. It
// takes the time as an argument, and its callers must lock it.
//
// It addresses uploads that need more than the link carries, beside small nested calls:
// as many bodies as possible arrive in time for their objective, in the order of package
// pace. Bytes are requested in chunks at the rate of the link less the reserved share,
// so that a small request waits behind maxAhead of them at most.
type queue struct {
	rate      float64   // bytes a second for bodies
	reserved  float64   // bytes a second for everything else
	tokens    float64   // unused bytes of the reserved share
	tokensAt  time.Time // time of tokens
	busyUntil time.Time // when the bytes requested so far have arrived
	bodies    []*body   // in order of arrival
	sizes     map[string]float64

	changes   uint64 // of anything that first depends on
	first     *body  // result of next for the following arguments
	firstOf   uint64
	firstTime time.Time
}

func newQueue(bytesPerSecond float64) queue {
	return queue{rate: bytesPerSecond * (1 - reservedShare), reserved: bytesPerSecond * reservedShare}
}

func (q *queue) moveTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / q.rate * float64(time.Second))
}

// add adds a body that waits at its sender.
func (q *queue) add(b *body) {
	b.unrequested = b.size
	q.bodies = append(q.bodies, b)
	q.changes++
}

// remove removes a body that was received or is no longer wanted.
func (q *queue) remove(b *body) {
	q.bodies = slices.DeleteFunc(q.bodies, func(o *body) bool { return o == b })
	q.changes++
}

// typicalSize returns the typical size of the bodies of a route.
func (q *queue) typicalSize(route string) int64 {
	if size, ok := q.sizes[route]; ok {
		return int64(size)
	}
	return initialSize
}

func (q *queue) recordSize(route string, size int64) {
	if q.sizes == nil || len(q.sizes) >= maxRoutes {
		q.sizes = make(map[string]float64)
	}
	old, ok := q.sizes[route]
	if !ok {
		old = float64(size)
	}
	q.sizes[route] = old + sizeWeight*(float64(size)-old)
}

// recordOther counts n bytes that arrived besides the bodies. Those above the reserved
// share delay the bodies.
func (q *queue) recordOther(n int, now time.Time) {
	limit := q.reserved * reservedBurst.Seconds()
	q.tokens = min(limit, q.tokens+q.reserved*max(0, now.Sub(q.tokensAt).Seconds()))
	if q.tokensAt.IsZero() {
		q.tokens = limit
	}
	q.tokensAt = now
	q.tokens -= float64(n)
	if q.tokens < 0 {
		q.reserve(int64(-q.tokens), now)
		q.tokens = 0
	}
}

// reserve reserves the time that n bytes take on the link.
func (q *queue) reserve(n int64, now time.Time) {
	if q.busyUntil.Before(now) {
		q.busyUntil = now
	}
	q.busyUntil = q.busyUntil.Add(q.moveTime(n))
}

// order returns the bodies in the order in which they move. A body that has started
// yields to one that is due earlier only if it can still meet its deadline: bytes that
// have moved would be lost. Those of stalled senders come last: they cannot use their
// turn.
func (q *queue) order(now time.Time) []*body {
	moving, stalled := make([]*body, 0, len(q.bodies)), []*body(nil)
	for _, b := range q.bodies {
		if b.stalled(now) {
			stalled = append(stalled, b)
		} else {
			moving = append(moving, b)
		}
	}
	order := q.orderOf(moving, now)
	if end := now; q.losesStarted(order, end) {
		var started, waiting []*body
		for _, b := range order {
			if b.started {
				started = append(started, b)
				end = end.Add(q.moveTime(b.remaining()))
			} else {
				waiting = append(waiting, b)
			}
		}
		order = append(q.orderOf(started, now), q.orderOf(waiting, end)...)
	}
	return append(order, stalled...)
}

func (q *queue) orderOf(bodies []*body, now time.Time) []*body {
	return pace.Order(bodies, now,
		func(b *body) time.Duration { return q.moveTime(b.remaining()) },
		func(b *body) time.Time { return b.softDeadline },
		func(b *body) time.Time { return b.deadline },
	)
}

// losesStarted reports whether a started body misses its deadline in an order that puts
// others before it.
func (q *queue) losesStarted(order []*body, now time.Time) bool {
	end, waiting := now, false
	for _, b := range order {
		end = end.Add(q.moveTime(b.remaining()))
		if b.started && waiting && end.After(b.deadline) {
			return true
		}
		waiting = waiting || !b.started
	}
	return false
}

// expectedArrival returns when a body is likely to have arrived.
func (q *queue) expectedArrival(b *body, now time.Time) time.Time {
	end := now
	for _, o := range q.order(now) {
		end = end.Add(q.moveTime(o.remaining()))
		if o == b {
			break
		}
	}
	return end
}

// next returns the body whose request may be admitted next, or nil when those that are
// admitted keep the link busy.
func (q *queue) next(now time.Time) *body {
	if q.firstOf == q.changes && q.firstTime.Equal(now) {
		return q.first
	}
	q.first, q.firstOf, q.firstTime = nil, q.changes, now
	started := 0
	for _, b := range q.bodies {
		if b.started && !b.stalled(now) {
			started++
		}
	}
	if started >= maxStarted {
		return nil
	}
	var ahead int64 // bytes that move before the first body that waits
	for _, b := range q.order(now) {
		if !b.started {
			if q.moveTime(ahead) < startAhead {
				q.first = b
			}
			break
		}
		if !b.stalled(now) {
			ahead += b.remaining()
		}
	}
	return q.first
}

// start says that the request of a body is admitted.
func (q *queue) start(b *body, now time.Time) {
	b.started, b.progressAt = true, now
	q.changes++
}

// release lets chunks be requested while the link has free time. It returns the time
// until it has some for the chunks that wait, or zero when only an arrival helps.
func (q *queue) release(now time.Time) time.Duration {
	for {
		var expected int64
		waiting := false
		for _, b := range q.bodies {
			waiting = waiting || b.chunk > 0
			if !b.stalled(now) {
				expected += b.requested
			}
		}
		if !waiting || q.moveTime(expected) > maxAhead {
			return 0
		}
		if free := q.busyUntil.Add(-maxAhead); free.After(now) {
			return free.Sub(now)
		}
		order := q.order(now)
		n := slices.IndexFunc(order, func(b *body) bool { return b.chunk > 0 })
		q.request(order[n], now)
	}
}

// request lets the chunk of a body be requested.
func (q *queue) request(b *body, now time.Time) {
	n := int64(b.chunk)
	q.reserve(n, now)
	if b.requested == 0 {
		b.progressAt = now
	}
	b.requested += n
	b.unrequested = max(0, b.unrequested-n)
	b.chunk = 0
	q.changes++
	b.turn()
}

// receive says that n bytes of a body have arrived.
func (q *queue) receive(b *body, n int, now time.Time) {
	b.requested = max(0, b.requested-int64(n))
	b.arrived += int64(n)
	b.progressAt = now
	q.changes++
}

// backlog returns how long the bodies that wait or move keep the link busy.
func (q *queue) backlog() time.Duration {
	var sum int64
	for _, b := range q.bodies {
		sum += b.remaining()
	}
	return q.moveTime(min(sum, math.MaxInt32))
}
