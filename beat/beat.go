// Package beat answers the heartbeats of the server beside this daemon. The
// answer lists the keys that the server is to hold, for no longer than this
// daemon's lease. The package knows which keys the server may hold at present,
// so that a hand-over waits for proof that it does not.
package beat

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/lease"
)

// Errors of heartbeats.
var (
	ErrSuperseded    = errors.New("heartbeat of a server that has ended")
	ErrUnknownServer = errors.New("no server of this name is here")
)

const (
	// ttlMargin is taken from every hold, for the time between reading the clock
	// and sending the answer.
	ttlMargin = 5 * time.Millisecond
	// silentBeats is the number of heartbeats that must be missing before a
	// server that started earlier by its own clock is taken for a new one: its
	// clock may have been set back.
	silentBeats = 3
)

// Control is what the package needs of the control state.
type Control interface {
	Self() pollenlatch.InstanceID
	View() pollenlatch.View
	// LeaseEnd returns the end of this daemon's lease, or 0.
	LeaseEnd() pollenlatch.MonoTime
	// JoinVersion returns the version of the first state that showed this process, or 0
	// before. An earlier process gave its server no fence above it.
	JoinVersion() pollenlatch.Version
}

// Config describes a Tracker. Control, Facts and Clock are required.
type Config struct {
	Control        Control
	Observer       pollenlatch.EndpointObserver
	Clock          pollenlatch.Clock
	Interval       time.Duration // usual interval of heartbeats
	MaxTTL         time.Duration // longest hold that a server accepts
	MaxRangesBytes int           // bytes for the rows of an answer; 0 is unbounded
	// InheritedTTL bounds the holds that an earlier process of this daemon may have
	// granted, from the start of this one.
	InheritedTTL time.Duration
}

// Tracker keeps what is known of one server. It implements
// pollenlatch.HeartbeatHandler. Use New.
type Tracker struct {
	cfg   Config
	start pollenlatch.MonoTime

	mu      sync.Mutex
	server  pollenlatch.Endpoint // zero before the first heartbeat
	seq     uint64               // of the newest heartbeat
	at      pollenlatch.MonoTime // when it arrived
	ended   map[pollenlatch.Incarnation]bool
	left    bool                                    // the server has said that it ends
	leftAt  pollenlatch.MonoTime                    // when it first said that it leaves or ends
	holds   []pollenlatch.KeyRange                  // as the newest heartbeat says, by key
	given   map[pollenlatch.Range]grant             // in answers that no later heartbeat has confirmed or denied
	fences  map[pollenlatch.Range]pollenlatch.Fence // highest that this server was given
	freed   []pollenlatch.KeyRange                  // released by the server, the newest last
	until   pollenlatch.MonoTime                    // the server holds nothing after this
	waiting map[lease.Key]func(token string)
	changed chan struct{} // closed at the next answer
}

// grant is a range in an answer.
type grant struct {
	fence pollenlatch.Fence // of the assignment
	seq   uint64            // of the heartbeat that was answered
	// denied says that the server refused a request for the range since then. It
	// may not have received the answer yet, and hold the range later.
	denied bool
}

// New returns a keeper that has heard of no server.
func New(cfg Config) *Tracker {
	now := cfg.Clock.Now()
	return &Tracker{
		cfg: cfg, start: now, until: now.Add(cfg.InheritedTTL),
		ended:   make(map[pollenlatch.Incarnation]bool),
		waiting: make(map[lease.Key]func(string)),
	}
}

// Heartbeat implements pollenlatch.HeartbeatHandler.
func (k *Tracker) Heartbeat(b pollenlatch.Heartbeat) (pollenlatch.HeartbeatReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock.Now()
	if err := k.meet(&b, now); err != nil {
		return pollenlatch.HeartbeatReply{}, err
	}
	if b.Seq <= k.seq {
		return pollenlatch.HeartbeatReply{}, nil // came late; a newer one was answered
	}
	k.seq, k.at = b.Seq, now
	if b.Endpoint.Draining && k.leftAt == 0 {
		k.leftAt = now
	}
	if k.left {
		b.Endpoint.Draining = true
	}
	if b.Endpoint != k.server {
		k.server = b.Endpoint
		k.cfg.Observer.Announce(b.Endpoint)
	}
	k.learn(&b)
	k.settle(now)
	hold := k.answer(now)
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
	return hold, nil
}

// meet finds out whether a heartbeat is of the present server, and takes a new
// server in place of one that has ended.
func (k *Tracker) meet(b *pollenlatch.Heartbeat, now pollenlatch.MonoTime) error {
	e := &b.Endpoint
	switch {
	case e.Incarnation == k.server.Incarnation:
		return nil
	case k.ended[e.Incarnation]:
		return ErrSuperseded
	case k.server.Incarnation != 0 && e.StartedAt < k.server.StartedAt && now.Sub(k.at) < silentBeats*k.cfg.Interval:
		return ErrSuperseded
	}
	if k.server.Incarnation != 0 {
		klog.InfoS("server was replaced", "old", k.server.ID, "new", e.ID, "silent", now.Sub(k.at))
		k.ended[k.server.Incarnation] = true
		k.forget()
	}
	k.seq, k.left, k.leftAt = 0, false, 0
	return nil
}

// forget drops what the server held: it has ended.
func (k *Tracker) forget() {
	k.holds, k.given, k.fences, k.freed = nil, nil, nil, nil
	k.until = 0
	for key, done := range k.waiting {
		delete(k.waiting, key)
		done("")
	}
}

// freedMost bounds the released rows whose tokens are remembered.
const freedMost = 1024

// learn takes what the server says of its holds. A range of an earlier answer
// that it does not name is not held. The rows are kept as keys: this daemon may
// not know yet how the service is divided.
func (k *Tracker) learn(b *pollenlatch.Heartbeat) {
	k.holds = slices.Clone(b.Held)
	slices.SortFunc(k.holds, byKey)
	k.freed = append(k.freed, b.Released...)
	k.freed = k.freed[max(0, len(k.freed)-freedMost):]
	svc, ok := k.service()
	if !ok {
		return
	}
	for r, g := range k.given {
		if g.seq < b.Seq && !k.reports(svc, r) {
			delete(k.given, r)
		}
	}
}

func byKey(a, b pollenlatch.KeyRange) int { return cmp.Compare(a.First, b.First) }

// service returns the server's service, if this daemon knows how it is divided.
func (k *Tracker) service() (pollenlatch.Service, bool) {
	svc, ok := k.cfg.Control.View().Service(k.server.Service)
	return svc, ok && svc.NumericKeys && svc.RangeBits > 0
}

// reports tells whether the newest heartbeat lists a key of a range.
func (k *Tracker) reports(svc pollenlatch.Service, r pollenlatch.Range) bool {
	first, last := svc.Keys(r)
	n, _ := slices.BinarySearchFunc(k.holds, first, func(row pollenlatch.KeyRange, key uint32) int { return cmp.Compare(row.Last, key) })
	return n < len(k.holds) && k.holds[n].First <= last
}

// token returns the token that the server gave for a range when it released it.
func (k *Tracker) token(r pollenlatch.Range) string {
	svc, ok := k.service()
	if !ok {
		return ""
	}
	first, last := svc.Keys(r)
	for _, row := range slices.Backward(k.freed) {
		if row.First <= first && row.Last >= last {
			return row.Token
		}
	}
	return ""
}

// each calls f for every range that a row touches.
func each(svc pollenlatch.Service, row pollenlatch.KeyRange, f func(pollenlatch.Range)) {
	shift := pollenlatch.KeyBits - svc.RangeBits
	for r := row.First >> shift; r <= row.Last>>shift && r < uint32(svc.NumRanges()); r++ {
		f(pollenlatch.Range(r))
	}
}

// answer lists what the server is to hold from now on.
func (k *Tracker) answer(now pollenlatch.MonoTime) pollenlatch.HeartbeatReply {
	v := k.cfg.Control.View()
	svc, ok := v.Service(k.server.Service)
	me, known := v.Instance(k.cfg.Control.Self())
	left := k.cfg.Control.LeaseEnd().Sub(now)
	ttl := holdFor(left, k.cfg.MaxTTL)
	if !ok || !svc.Heartbeats || !known || ttl <= 0 || me.Endpoint == nil || me.Endpoint.Incarnation != k.server.Incarnation {
		return pollenlatch.HeartbeatReply{}
	}
	k.raise(svc)
	// The server may have seen fences that an earlier process gave it for merged
	// rows, and it refuses lower ones. Every later assignment has a higher fence.
	floor := pollenlatch.Fence(k.cfg.Control.JoinVersion())
	var rows []pollenlatch.KeyRange
	given := make(map[pollenlatch.Range]grant)
	v.EachOwned(me.ID, svc.Name, func(o pollenlatch.Owner) bool {
		if o.Frozen() || o.Key != "" {
			return true
		}
		reported := k.reports(svc, o.Range)
		if !reported {
			k.fences[o.Range] = max(k.fences[o.Range], floor)
		}
		k.fences[o.Range] = max(k.fences[o.Range], o.Fence)
		given[o.Range] = grant{fence: o.Fence, seq: k.seq}
		row := pollenlatch.KeyRange{Fence: k.fences[o.Range]}
		row.First, row.Last = svc.Keys(o.Range)
		if !reported {
			row.Token = o.Token
		}
		rows = append(rows, row)
		return true
	})
	rows = fit(merge(rows), k.cfg.MaxRangesBytes, func(row pollenlatch.KeyRange) bool {
		held := false
		each(svc, row, func(r pollenlatch.Range) { held = held || k.reports(svc, r) })
		return held
	})
	granted := make(map[pollenlatch.Range]bool, len(given))
	for _, row := range rows {
		each(svc, row, func(r pollenlatch.Range) {
			k.fences[r] = row.Fence
			granted[r] = true
		})
	}
	for r := range given {
		if !granted[r] {
			delete(given, r)
		}
	}
	k.note(given, len(rows), ttl, v.Version())
	k.given = given
	k.until = max(k.until, now.Add(lease.WithDrift(ttl)))
	return pollenlatch.HeartbeatReply{Ranges: rows, TTL: ttl}
}

// note logs a change of what the server is to hold.
func (k *Tracker) note(next map[pollenlatch.Range]grant, rows int, ttl time.Duration, version pollenlatch.Version) {
	added, removed := 0, 0
	for r, g := range next {
		if old, ok := k.given[r]; !ok || old.fence != g.fence {
			added++
		}
	}
	for r := range k.given {
		if _, ok := next[r]; !ok {
			removed++
		}
	}
	if added == 0 && removed == 0 {
		return
	}
	klog.InfoS("grants of the server changed", "server", k.server.ID, "seq", k.seq, "added", added, "removed", removed,
		"ranges", len(next), "rows", rows, "holdMs", ttl.Milliseconds(), "version", version)
}

// raise notes the fences that the server says it has seen, so that it is never
// given a lower one.
func (k *Tracker) raise(svc pollenlatch.Service) {
	if k.fences == nil {
		k.fences = make(map[pollenlatch.Range]pollenlatch.Fence)
	}
	for _, row := range k.holds {
		each(svc, row, func(r pollenlatch.Range) { k.fences[r] = max(k.fences[r], row.Fence) })
	}
}

// holdFor returns how long a server may hold its keys when the lease of the
// daemon has so much left: by a clock that is 2% slow it ends before the lease.
func holdFor(left, most time.Duration) time.Duration {
	ttl := left - ttlMargin - left/50
	if most > 0 {
		ttl = min(ttl, most)
	}
	return max(ttl, 0).Truncate(time.Millisecond)
}

// merge joins neighbouring rows. The joined row has the highest fence: every
// later assignment of a part of it has a higher one.
func merge(rows []pollenlatch.KeyRange) []pollenlatch.KeyRange {
	slices.SortFunc(rows, byKey)
	out := rows[:0]
	for _, row := range rows {
		if n := len(out); n > 0 && out[n-1].Last+1 == row.First && out[n-1].Token == row.Token {
			out[n-1].Last = row.Last
			out[n-1].Fence = max(out[n-1].Fence, row.Fence)
			continue
		}
		out = append(out, row)
	}
	return out
}

// rowBytes is the length of a row in an answer besides its token.
func rowBytes(r pollenlatch.KeyRange) int {
	n := len(`[,,,""],`)
	for _, v := range []uint64{uint64(r.First), uint64(r.Last), uint64(r.Fence)} {
		for n++; v >= 10; v /= 10 {
			n++
		}
	}
	return n
}

// fit leaves out what does not fit into an answer of so many bytes: tokens
// first, and then rows that the server does not hold yet. Leaving out a row that
// it holds would take it away.
func fit(rows []pollenlatch.KeyRange, room int, held func(pollenlatch.KeyRange) bool) []pollenlatch.KeyRange {
	total, tokens := 0, 0
	for _, r := range rows {
		total += rowBytes(r)
		tokens += len(r.Token)
	}
	if room <= 0 || total+tokens <= room {
		return rows
	}
	for n := range rows {
		rows[n].Token = ""
	}
	return slices.DeleteFunc(rows, func(r pollenlatch.KeyRange) bool {
		if total <= room || held(r) {
			return false
		}
		total -= rowBytes(r)
		return true
	})
}

// mayHold reports whether the server may hold a range now.
func (k *Tracker) mayHold(r pollenlatch.Range, now pollenlatch.MonoTime) bool {
	if now >= k.until {
		return false
	}
	if k.server.Incarnation == 0 {
		return true // an earlier process of this daemon may have granted it
	}
	if _, given := k.given[r]; given {
		return true
	}
	svc, ok := k.service()
	return !ok || k.reports(svc, r)
}

// AwaitRelease calls done once the server does not hold a shard any more, with the
// token that it gave.
func (k *Tracker) AwaitRelease(key lease.Key, done func(token string)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.mayHold(key.Range, k.cfg.Clock.Now()) {
		done(k.token(key.Range))
		return
	}
	k.waiting[key] = done
}

// settle ends the waits for ranges that the server does not hold any more.
func (k *Tracker) settle(now pollenlatch.MonoTime) {
	for key, done := range k.waiting {
		if !k.mayHold(key.Range, now) {
			delete(k.waiting, key)
			done(k.token(key.Range))
		}
	}
}
