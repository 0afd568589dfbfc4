package admit

import (
	"container/list"
	"time"

	"pollenlatch"
)

// Discipline is the order in which a queue serves requests of one class.
type Discipline int

// Disciplines that Simulate compares. docs/admit.md holds the figures.
const (
	// FIFO serves the oldest first and drops only what is past its deadline.
	FIFO Discipline = iota
	// AdaptiveLIFO serves the oldest first, and the newest first under overload.
	AdaptiveLIFO
	// CoDel serves the oldest first, and under overload drops what has waited
	// for longer than TargetDelay.
	CoDel
	// AdaptiveLIFOCoDel does both under overload.
	AdaptiveLIFOCoDel
)

// String returns the discipline's name in tables.
func (d Discipline) String() string {
	return [...]string{"oldest", "newest", "delay", "newest+delay"}[d]
}

const (
	// OverloadInterval is how long every served request of a class must have waited
	// for longer than TargetDelay before the class counts as overloaded. Bursts
	// below capacity are over earlier.
	OverloadInterval = 100 * time.Millisecond
	// TargetDelay is the wait that is acceptable under overload.
	TargetDelay = 20 * time.Millisecond
	// MaxSkips is how often a waiting class may be passed over by higher ones
	// before one of its requests is served. It bounds starvation, and costs
	// the higher classes at most one slot in MaxSkips+1.
	MaxSkips = 16

	classes = int(pollenlatch.ClassRoutine)
)

// item is one waiting request.
type item struct {
	class    int // 0 is served first
	since    time.Time
	deadline time.Time
	ready    chan verdict // nil in simulations
	element  *list.Element
}

// verdict ends the wait of an item.
type verdict int

const (
	admitted verdict = iota
	expired
	dropped
	withdrawn // no server
)

// queue orders waiting requests. It has no clock and no lock of its own.
type queue struct {
	discipline Discipline
	waiting    [classes]list.List // the oldest in front
	slow       [classes]time.Time // since when every wait was above TargetDelay; zero: the last was not
	last       [classes]time.Time // when a wait was last above TargetDelay
	over       [classes]bool      // overloaded
	passed     [classes]int
	n          int
	end        func(*item, verdict) // told of every item that leaves without push's caller asking
}

func classIndex(c pollenlatch.Class) int {
	if c < pollenlatch.ClassUrgent || c > pollenlatch.ClassRoutine {
		return int(pollenlatch.ClassRoutine) - 1
	}
	return int(c) - 1
}

// push adds an item unless bound items wait already that may not give way to
// it. An item gives way to one of a higher class. With AdaptiveLIFO and AdaptiveLIFOCoDel
// under overload it gives way to a newer one of the same class, too.
func (q *queue) push(it *item, bound int, now time.Time) bool {
	if q.n >= bound {
		q.purge(now)
	}
	if q.n >= bound && !q.makeRoom(it) {
		return false
	}
	it.since = now
	it.element = q.waiting[it.class].PushBack(it)
	q.n++
	return true
}

func (q *queue) makeRoom(it *item) bool {
	for c := classes - 1; c > it.class; c-- {
		if e := q.waiting[c].Back(); e != nil {
			q.evict(e, dropped)
			return true
		}
	}
	if (q.discipline != AdaptiveLIFO && q.discipline != AdaptiveLIFOCoDel) || !q.over[it.class] {
		return false
	}
	e := q.waiting[it.class].Front()
	if e == nil {
		return false
	}
	q.evict(e, dropped)
	return true
}

// purge drops what is past its deadline at the front of each class.
func (q *queue) purge(now time.Time) {
	for c := range q.waiting {
		for e := q.waiting[c].Front(); e != nil && !now.Before(itemOf(e).deadline); e = q.waiting[c].Front() {
			q.evict(e, expired)
		}
	}
}

func itemOf(e *list.Element) *item { return e.Value.(*item) }

func (q *queue) evict(e *list.Element, v verdict) {
	it := itemOf(e)
	q.remove(it)
	q.end(it, v)
}

// remove takes out an item. It reports whether the item was waiting.
func (q *queue) remove(it *item) bool {
	if it.element == nil {
		return false
	}
	q.waiting[it.class].Remove(it.element)
	it.element = nil
	q.n--
	if q.waiting[it.class].Len() == 0 {
		q.slow[it.class] = time.Time{}
		q.passed[it.class] = 0
	}
	return true
}

// judge notes how long the oldest item of a class has waited when one is to be
// served, and decides whether the class is overloaded. Overload ends after
// Interval without a wait above TargetDelay: if it ended with an empty queue, a
// discipline that empties the queue would go back and forth.
func (q *queue) judge(c int, now time.Time) {
	if q.over[c] && now.Sub(q.last[c]) >= OverloadInterval {
		q.over[c] = false
		q.slow[c] = time.Time{}
	}
	if now.Sub(itemOf(q.waiting[c].Front()).since) <= TargetDelay {
		q.slow[c] = time.Time{}
		return
	}
	q.last[c] = now
	if q.slow[c].IsZero() {
		q.slow[c] = now
	}
	if now.Sub(q.slow[c]) >= OverloadInterval {
		q.over[c] = true
	}
}

// pop removes the item that is to be served next, or returns nil. Items that
// are not to be served any more leave with a verdict.
func (q *queue) pop(now time.Time) *item {
	for q.n > 0 {
		c := q.next()
		if it := q.take(c, now); it != nil {
			q.pass(c)
			return it
		}
	}
	return nil
}

// next returns the class to serve. At least one item must wait.
func (q *queue) next() int {
	for c := classes - 1; c > 0; c-- {
		if q.passed[c] >= MaxSkips && q.waiting[c].Len() > 0 {
			return c
		}
	}
	for c := range q.waiting {
		if q.waiting[c].Len() > 0 {
			return c
		}
	}
	return 0
}

// pass counts that the waiting classes below c were passed over.
func (q *queue) pass(c int) {
	q.passed[c] = 0
	for lower := c + 1; lower < classes; lower++ {
		if q.waiting[lower].Len() > 0 {
			q.passed[lower]++
		}
	}
}

// take removes the next item of a class, or nil when none is left that may be
// served.
func (q *queue) take(c int, now time.Time) *item {
	for q.waiting[c].Len() > 0 {
		q.judge(c, now)
		e := q.waiting[c].Front()
		it := itemOf(e)
		late := q.over[c] && q.discipline >= CoDel && now.Sub(it.since) > TargetDelay
		switch {
		case !now.Before(it.deadline):
			q.evict(e, expired)
			continue
		case late:
			q.evict(e, dropped)
			continue
		}
		if q.over[c] && (q.discipline == AdaptiveLIFO || q.discipline == AdaptiveLIFOCoDel) {
			it = itemOf(q.waiting[c].Back())
		}
		q.remove(it)
		if now.Before(it.deadline) {
			return it
		}
		q.end(it, expired)
	}
	return nil
}
