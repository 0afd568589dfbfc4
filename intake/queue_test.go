package intake

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The load of one of the 9 instances of deployment N that receive uploads: 13.3 uploads
// a second of 60 KB mean and nested calls on a link of 6 Mbit/s.
const (
	linkRate     = 6e6 / 8 // bytes a second
	uploadRate   = 120.0 / 9
	nestedRate   = 37.0
	nestedBytes  = 2 << 10
	senderDelay  = 5 * time.Millisecond // from a request for bytes until they reach the link
	uploadRun    = 200 * time.Millisecond
	uploadTarget = 1200 * time.Millisecond
	uploadLimit  = 8 * time.Second
	chunkBytes   = 16 << 10
)

// packet is a part of a body, or a nested call, on the link.
type packet struct {
	upload *upload // nil for a nested call
	bytes  float64
	sentAt time.Time // reached the link
}

type upload struct {
	body
	arrivedAt time.Time // when the caller sent it
	silent    bool      // its sender sends nothing
	refused   bool
	doneAt    time.Time
}

// simulation plays the link in steps of a millisecond.
type simulation struct {
	paced    bool // by a queue; otherwise each body is sent as it arrives
	queue    queue
	sizes    float64 // factor on the sizes of the uploads
	uploads  []*upload
	active   []*upload       // uploads in the queue
	nested   []time.Duration // time of each nested call on the link
	maxBytes int64           // most bytes that were on the way
}

func uploadSize(r *rand.Rand) int64 { return int64(min(360e3, max(1e3, r.ExpFloat64()*60e3))) }

// run plays the load for d, and then d more until the uploads have arrived. silentShare
// is the share of the senders that never send their bodies.
func (s *simulation) run(d time.Duration, silentShare float64) {
	r := rand.New(rand.NewPCG(7, 1))
	start := time.Unix(1000, 0)
	var link, delayed []packet
	credit := 0.0
	for step := range int(2 * d / time.Millisecond) {
		now := start.Add(time.Duration(step) * time.Millisecond)
		if now.Sub(start) < d {
			if r.Float64() < uploadRate*s.sizes/1000 {
				u := &upload{arrivedAt: now, silent: r.Float64() < silentShare}
				u.size = uploadSize(r)
				u.softDeadline, u.deadline = now.Add(uploadTarget-uploadRun), now.Add(uploadLimit-uploadRun)
				s.uploads = append(s.uploads, u)
				s.arrive(u, now, &link)
			}
			if r.Float64() < nestedRate/1000 {
				link = append(link, packet{bytes: nestedBytes, sentAt: now})
			}
		}
		if s.paced {
			s.step(now, &delayed)
		}
		for len(delayed) > 0 && now.Sub(delayed[0].sentAt) >= senderDelay {
			p := delayed[0]
			p.sentAt = now
			link, delayed = append(link, p), delayed[1:]
		}
		credit = min(credit+linkRate/1000, linkRate/1000*2)
		for len(link) > 0 && credit > 0 {
			n := min(credit, link[0].bytes)
			credit -= n
			link[0].bytes -= n
			if link[0].bytes <= 0 {
				s.deliver(link[0], now)
				link = link[1:]
			}
		}
	}
}

func (s *simulation) arrive(u *upload, now time.Time, link *[]packet) {
	if !s.paced {
		*link = append(*link, packet{u, float64(u.size), now})
		u.requested = u.size
		return
	}
	s.queue.add(&u.body)
	if s.queue.expectedArrival(&u.body, now).After(u.softDeadline) {
		u.refused = true
		s.queue.remove(&u.body)
		return
	}
	s.active = append(s.active, u)
}

// step starts bodies and requests their chunks.
func (s *simulation) step(now time.Time, delayed *[]packet) {
	for b := s.queue.next(now); b != nil; b = s.queue.next(now) {
		s.queue.start(b, now)
	}
	var onTheWay int64
	s.active = slices.DeleteFunc(s.active, func(u *upload) bool { return !u.doneAt.IsZero() })
	for _, u := range s.active {
		if u.started && u.chunk == 0 && u.requested == 0 && u.unrequested > 0 {
			n := min(chunkBytes, u.unrequested)
			u.chunk, u.turn = int(n), func() {
				if !u.silent {
					*delayed = append(*delayed, packet{u, float64(n), now})
				}
			}
		}
		if !u.silent {
			onTheWay += u.requested
		}
	}
	s.queue.release(now)
	s.maxBytes = max(s.maxBytes, onTheWay)
}

func (s *simulation) deliver(p packet, now time.Time) {
	if p.upload == nil {
		s.nested = append(s.nested, now.Sub(p.sentAt))
		s.queue.recordOther(nestedBytes, now)
		return
	}
	u := p.upload
	if !s.paced {
		u.doneAt = now
		return
	}
	s.queue.receive(&u.body, int(min(chunkBytes, u.size-u.arrived)), now)
	if u.arrived == u.size {
		u.doneAt = now
		s.queue.remove(&u.body)
	}
}

// onTime returns the number of uploads that arrive in time for their objective, and
// their bytes.
func (s *simulation) onTime() (n int, bytes int64) {
	for _, u := range s.uploads {
		if !u.doneAt.IsZero() && !u.doneAt.After(u.arrivedAt.Add(uploadTarget-uploadRun)) {
			n++
			bytes += u.size
		}
	}
	return n, bytes
}

func percentile(d []time.Duration, share float64) time.Duration {
	slices.Sort(d)
	return d[int(share*float64(len(d)-1))]
}

// Guards against nested calls that wait behind large bodies, and against uploads that
// are all late because each gets a share of a link that cannot carry all of them.
func TestUploadsOfDeploymentN(t *testing.T) {
	const d = 30 * time.Second
	for _, overload := range []float64{0.7, 1, 1.5} {
		baseline := simulation{sizes: overload}
		baseline.run(d, 0)
		paced := simulation{sizes: overload, paced: true, queue: newQueue(0.9 * linkRate)}
		paced.run(d, 0)
		wasOnTime, _ := baseline.onTime()
		onTime, bytes := paced.onTime()
		before, after := percentile(baseline.nested, 0.99), percentile(paced.nested, 0.99)
		used := float64(bytes) / (paced.queue.rate * d.Seconds())
		t.Logf("load %.1f: %d uploads, on time %d, was %d; share of the link for bodies used %.2f; 99%% of nested calls %v on the link, was %v; at most %d bytes on the way",
			overload, len(paced.uploads), onTime, wasOnTime, used, after, before, paced.maxBytes)
		require.Less(t, after, 3*maxAhead/2, "a nested call waits behind bodies")
		require.LessOrEqual(t, paced.maxBytes, int64(2*maxAhead.Seconds()*linkRate)+chunkBytes)
		if overload < 1 {
			require.GreaterOrEqual(t, onTime, len(paced.uploads)*95/100, "uploads are late although the link carries them")
		} else {
			require.GreaterOrEqual(t, used, 0.95, "fewer uploads on time than the link carries")
		}
		for _, u := range paced.uploads {
			require.True(t, u.refused || !u.doneAt.IsZero(), "an admitted upload did not arrive")
		}
	}
}

// Guards against senders that stop in the middle of their bodies and so keep the link
// from being used by others.
func TestSilentSenders(t *testing.T) {
	s := simulation{sizes: 0.5, paced: true, queue: newQueue(0.9 * linkRate)}
	s.run(20*time.Second, 0.1)
	silent, late := 0, 0
	for _, u := range s.uploads {
		switch {
		case u.silent:
			silent++
			s.queue.remove(&u.body)
		case u.refused || u.doneAt.IsZero():
			late++
		}
	}
	require.Positive(t, silent)
	require.LessOrEqual(t, late, len(s.uploads)/10, "uploads that could not be received beside %d of silent senders", silent)
}

// Guards against a body that waits behind a longer one which is due later.
func TestShortBodyOvertakesLongOne(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newQueue(1 << 20)
	long := &body{size: 360 << 10, softDeadline: now.Add(2 * time.Second), deadline: now.Add(3 * time.Second)}
	short := &body{size: 10 << 10, softDeadline: now.Add(100 * time.Millisecond), deadline: now.Add(time.Second)}
	q.add(long)
	q.start(q.next(now), now)
	q.add(short)
	require.Same(t, short, q.next(now))
	require.Less(t, q.expectedArrival(short, now).Sub(now), 20*time.Millisecond)
	require.Greater(t, q.expectedArrival(long, now).Sub(now), 350*time.Millisecond)
}

// Guards against a body of which a part has moved and that then misses its deadline behind
// bodies that came later.
func TestStartedBodyIsNotLost(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newQueue(1 << 20)
	late := &body{size: 360 << 10, softDeadline: now, deadline: now.Add(500 * time.Millisecond)}
	q.add(late)
	q.start(late, now)
	for range 20 {
		q.add(&body{size: 20 << 10, softDeadline: now.Add(time.Second), deadline: now.Add(2 * time.Second)})
	}
	require.False(t, q.expectedArrival(late, now).After(late.deadline))
}

// BenchmarkArrival measures the decision on a body while 20 others wait.
func BenchmarkArrival(b *testing.B) {
	now := time.Unix(1000, 0)
	q := newQueue(linkRate)
	for n := range 20 {
		due := now.Add(time.Duration(n) * 50 * time.Millisecond)
		q.add(&body{size: 60e3, softDeadline: due, deadline: due.Add(time.Second)})
	}
	x := &body{size: 60e3, softDeadline: now.Add(time.Second), deadline: now.Add(2 * time.Second)}
	b.ReportAllocs()
	for b.Loop() {
		q.add(x)
		_ = q.expectedArrival(x, now)
		q.remove(x)
	}
}
