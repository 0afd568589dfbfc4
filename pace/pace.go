// Package pace shares a narrow network link between long answers.
package pace

import (
	"context"
	"slices"
	"sync"
	"time"

	"pollenlatch"
)

const (
	// sizeShare is the weight of the newest answer in the mean size of a route's
	// answers: the sizes of one route differ by a factor of three.
	sizeShare = 0.1
	// firstSize stands for the size in bytes of the answers of a route that has
	// none yet.
	firstSize = 64 << 10
	// maxRoutes bounds the routes whose sizes are remembered.
	maxRoutes = 1024
	// ahead is how much of the link's time may be given out early: a timer fires
	// up to a millisecond late, and the link must not fall idle meanwhile.
	ahead = 5 * time.Millisecond
)

// Link is a pollenlatch.Pacer. It gives the chunks of long answers their turns
// at the rate of a network link, so that short answers never queue behind more
// than one chunk. The zero value has no bound. It is safe for concurrent use.
//
// It answers the load of a link that is asked for more than it carries. Then it
// sends the answers that still arrive within their objective, as many of them as
// possible, and the others after them: sharing the link evenly would make all of
// them late.
type Link struct {
	rate float64 // bytes a second; 0 is no bound

	mu    sync.Mutex
	free  time.Time // when the chunks given out so far have left
	turns []*turn   // of answers that have not been sent
	armed bool      // a timer is set
	sizes map[string]float64
}

// NewLink returns a link that carries a number of bytes a second.
func NewLink(rate float64) *Link { return &Link{rate: rate} }

// turn is one answer.
type turn struct {
	link  *Link
	left  int // bytes
	aim   time.Time
	end   time.Time     // deadline
	want  int           // bytes of the chunk that waits; 0 when none does
	grant chan struct{} // closed when that chunk may be sent
}

// Begin implements pollenlatch.Pacer.
func (l *Link) Begin(route string, size int, aim, deadline time.Time) pollenlatch.Transfer {
	t := &turn{link: l, left: size, aim: aim, end: deadline}
	if l.rate <= 0 {
		return t
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learn(route, size)
	l.turns = append(l.turns, t)
	return t
}

func (l *Link) learn(route string, size int) {
	if l.sizes == nil || len(l.sizes) >= maxRoutes {
		l.sizes = make(map[string]float64)
	}
	old, ok := l.sizes[route]
	if !ok {
		old = float64(size)
	}
	l.sizes[route] = old + sizeShare*(float64(size)-old)
}

// TypicalTime returns the time on the link of a usual answer of a route.
func (l *Link) TypicalTime(route string) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	size, ok := l.sizes[route]
	if !ok {
		size = firstSize
	}
	return l.time(size)
}

// Backlog returns how long the answers that have entered keep the link busy.
func (l *Link) Backlog() time.Duration {
	if l.rate <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	for _, t := range l.turns {
		sum += t.left
	}
	return l.time(float64(sum)) + max(0, time.Until(l.free))
}

// RecordUnpaced takes note of bytes that were sent without a turn.
func (l *Link) RecordUnpaced(n int) {
	if l.rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(n, time.Now())
}

func (l *Link) time(bytes float64) time.Duration {
	return time.Duration(bytes / l.rate * float64(time.Second))
}

// take counts bytes as sent from now on.
func (l *Link) take(n int, now time.Time) {
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(l.time(float64(n)))
}

// Wait implements pollenlatch.Transfer.
func (t *turn) Wait(ctx context.Context, n int) error {
	l := t.link
	if l.rate <= 0 || n == 0 {
		return ctx.Err()
	}
	l.mu.Lock()
	grant := make(chan struct{})
	t.want, t.grant = n, grant
	l.pump()
	l.mu.Unlock()
	select {
	case <-grant:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// End implements pollenlatch.Transfer.
func (t *turn) End() {
	l := t.link
	if l.rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turns = slices.DeleteFunc(l.turns, func(o *turn) bool { return o == t })
}

// pump gives out chunks while the link has room, and is called again when it
// has more.
func (l *Link) pump() {
	now := time.Now()
	for {
		if room := now.Add(ahead); l.free.After(room) {
			if !l.armed && slices.ContainsFunc(l.turns, (*turn).waits) {
				l.armed = true
				time.AfterFunc(l.free.Sub(room), func() {
					l.mu.Lock()
					defer l.mu.Unlock()
					l.armed = false
					l.pump()
				})
			}
			return
		}
		t := l.next(now)
		if t == nil {
			return
		}
		l.take(t.want, now)
		t.left = max(0, t.left-t.want)
		t.want = 0
		close(t.grant)
	}
}

func (t *turn) waits() bool { return t.want > 0 }

// next returns the answer whose chunk is to be sent next, or nil.
func (l *Link) next(now time.Time) *turn {
	order := l.order(now)
	if n := slices.IndexFunc(order, (*turn).waits); n >= 0 {
		return order[n]
	}
	return nil
}

// order sorts the answers: those that arrive within their objective, then those
// that arrive before their deadline, then the rest.
func (l *Link) order(now time.Time) []*turn {
	rest := slices.Clone(l.turns)
	at := now
	var order []*turn
	for _, due := range []func(*turn) time.Time{
		func(t *turn) time.Time { return t.aim },
		func(t *turn) time.Time { return t.end },
	} {
		var fit []*turn
		fit, rest = l.fit(rest, at, due)
		for _, t := range fit {
			at = at.Add(l.time(float64(t.left)))
		}
		order = append(order, fit...)
	}
	slices.SortStableFunc(rest, func(a, b *turn) int { return a.left - b.left })
	return append(order, rest...)
}

// fit returns the largest number of answers that are sent before they are due,
// in the order in which they are due, and the others. It takes them in that
// order, and whenever one would be late it puts back the longest.
func (l *Link) fit(all []*turn, at time.Time, due func(*turn) time.Time) (fit, rest []*turn) {
	slices.SortStableFunc(all, func(a, b *turn) int { return due(a).Compare(due(b)) })
	for _, t := range all {
		fit = append(fit, t)
		at = at.Add(l.time(float64(t.left)))
		if !at.After(due(t)) {
			continue
		}
		longest := 0
		for n, o := range fit {
			if o.left >= fit[longest].left {
				longest = n
			}
		}
		at = at.Add(-l.time(float64(fit[longest].left)))
		rest = append(rest, fit[longest])
		fit = slices.Delete(fit, longest, longest+1)
	}
	return fit, rest
}
