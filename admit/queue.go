package admit

import (
	"container/list"
	"time"

	"pollenlatch"
)

// Discipline is the order in which a queue serves the requests of one class.
type Discipline int

// Disciplines that Simulate compares. The results are in docs/admit.md.
const (
	// FIFO serves the oldest request first and drops only expired requests.
	FIFO Discipline = iota
	// AdaptiveLIFO serves the oldest request first, but the newest under overload.
	AdaptiveLIFO
	// CoDel (controlled delay) serves the oldest request first, and under overload
	// drops requests that have waited for longer than TargetDelay.
	CoDel
	// AdaptiveLIFOCoDel combines AdaptiveLIFO and CoDel.
	AdaptiveLIFOCoDel
)

// String returns the name of the discipline in the tables of docs/admit.md.
func (d Discipline) String() string {
	return [...]string{"oldest", "newest", "delay", "newest+delay"}[d]
}

const (
	// OverloadInterval is the time for which every served request of a class must
	// have waited for longer than TargetDelay before the class is overloaded. Bursts
	// below capacity end sooner.
	OverloadInterval = 100 * time.Millisecond
	// TargetDelay is the acceptable wait under overload.
	TargetDelay = 20 * time.Millisecond
	// MaxSkips is how often requests of higher classes may be served before one of a
	// waiting class. It limits starvation, and costs the higher classes at most one
	// slot in MaxSkips+1.
	MaxSkips = 16

	numClasses = int(pollenlatch.ClassRoutine)
)

// item is a queued request.
type item struct {
	class      int // 0 is served first
	enqueuedAt time.Time
	deadline   time.Time
	decided    chan decision // receives the decision; nil in simulations
	element    *list.Element
}

// decision is the reason why an item left the queue.
type decision int

const (
	decisionAdmitted decision = iota
	decisionExpired
	decisionDropped
	decisionNoServer
)

// queue orders waiting requests. It takes the time as an argument, and its callers
// must lock it.
type queue struct {
	discipline       Discipline
	waiting          [numClasses]list.List // oldest at the front
	aboveTargetSince [numClasses]time.Time // start of the present series of waits above TargetDelay; zero if the last was not
	lastAboveTarget  [numClasses]time.Time // time of the last wait above TargetDelay
	overloaded       [numClasses]bool
	skipped          [numClasses]int // requests of higher classes served since the last of this one
	n                int
	onEvict          func(*item, decision) // called for every item that is evicted
}

func classIndex(c pollenlatch.Class) int {
	if c < pollenlatch.ClassUrgent || c > pollenlatch.ClassRoutine {
		return int(pollenlatch.ClassRoutine) - 1
	}
	return int(c) - 1
}

// push adds an item, and reports whether it did. When limit items wait already, one
// of a lower class is evicted, or with AdaptiveLIFO and AdaptiveLIFOCoDel under
// overload the oldest one of the same class; otherwise the new item is not added.
func (q *queue) push(it *item, limit int, now time.Time) bool {
	if q.n >= limit {
		q.evictExpired(now)
	}
	if q.n >= limit && !q.makeRoom(it) {
		return false
	}
	it.enqueuedAt = now
	it.element = q.waiting[it.class].PushBack(it)
	q.n++
	return true
}

func (q *queue) makeRoom(it *item) bool {
	for c := numClasses - 1; c > it.class; c-- {
		if e := q.waiting[c].Back(); e != nil {
			q.evict(e, decisionDropped)
			return true
		}
	}
	if (q.discipline != AdaptiveLIFO && q.discipline != AdaptiveLIFOCoDel) || !q.overloaded[it.class] {
		return false
	}
	e := q.waiting[it.class].Front()
	if e == nil {
		return false
	}
	q.evict(e, decisionDropped)
	return true
}

// evictExpired evicts the expired items at the front of each class.
func (q *queue) evictExpired(now time.Time) {
	for c := range q.waiting {
		for e := q.waiting[c].Front(); e != nil && !now.Before(itemOf(e).deadline); e = q.waiting[c].Front() {
			q.evict(e, decisionExpired)
		}
	}
}

func itemOf(e *list.Element) *item { return e.Value.(*item) }

func (q *queue) evict(e *list.Element, d decision) {
	it := itemOf(e)
	q.remove(it)
	q.onEvict(it, d)
}

// remove removes an item and reports whether it was queued.
func (q *queue) remove(it *item) bool {
	if it.element == nil {
		return false
	}
	q.waiting[it.class].Remove(it.element)
	it.element = nil
	q.n--
	if q.waiting[it.class].Len() == 0 {
		q.aboveTargetSince[it.class] = time.Time{}
		q.skipped[it.class] = 0
	}
	return true
}

// updateOverload updates the overload state of a class by the wait of its oldest
// item, before one is served. Overload ends after OverloadInterval without a wait
// above TargetDelay. If it ended when the queue is empty, a discipline that empties
// the queue would flap.
func (q *queue) updateOverload(c int, now time.Time) {
	if q.overloaded[c] && now.Sub(q.lastAboveTarget[c]) >= OverloadInterval {
		q.overloaded[c] = false
		q.aboveTargetSince[c] = time.Time{}
	}
	if now.Sub(itemOf(q.waiting[c].Front()).enqueuedAt) <= TargetDelay {
		q.aboveTargetSince[c] = time.Time{}
		return
	}
	q.lastAboveTarget[c] = now
	if q.aboveTargetSince[c].IsZero() {
		q.aboveTargetSince[c] = now
	}
	if now.Sub(q.aboveTargetSince[c]) >= OverloadInterval {
		q.overloaded[c] = true
	}
}

// pop removes and returns the item to be served next, or nil when there is none.
// It evicts items that must not be served any more.
func (q *queue) pop(now time.Time) *item {
	for q.n > 0 {
		c := q.nextClass()
		if it := q.popClass(c, now); it != nil {
			q.countSkips(c)
			return it
		}
	}
	return nil
}

// nextClass returns the class to serve. The queue must not be empty.
func (q *queue) nextClass() int {
	for c := numClasses - 1; c > 0; c-- {
		if q.skipped[c] >= MaxSkips && q.waiting[c].Len() > 0 {
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

// countSkips records that class c was served before the waiting classes below it.
func (q *queue) countSkips(c int) {
	q.skipped[c] = 0
	for lower := c + 1; lower < numClasses; lower++ {
		if q.waiting[lower].Len() > 0 {
			q.skipped[lower]++
		}
	}
}

// popClass removes and returns the next item of a class, or nil when none is left
// that may be served.
func (q *queue) popClass(c int, now time.Time) *item {
	for q.waiting[c].Len() > 0 {
		q.updateOverload(c, now)
		e := q.waiting[c].Front()
		it := itemOf(e)
		overdue := q.overloaded[c] && q.discipline >= CoDel && now.Sub(it.enqueuedAt) > TargetDelay
		switch {
		case !now.Before(it.deadline):
			q.evict(e, decisionExpired)
			continue
		case overdue:
			q.evict(e, decisionDropped)
			continue
		}
		if q.overloaded[c] && (q.discipline == AdaptiveLIFO || q.discipline == AdaptiveLIFOCoDel) {
			it = itemOf(q.waiting[c].Back())
		}
		q.remove(it)
		if now.Before(it.deadline) {
			return it
		}
		q.onEvict(it, decisionExpired)
	}
	return nil
}
