// Package beat replies to the heartbeats of the local server. The reply grants
// key ranges to the server until this daemon's lease expires at the latest. The
// package tracks which ranges the server may still hold, so that a hand-over
// waits until the server is known to have released them.
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
	ErrSuperseded    = errors.New("heartbeat is from a server process that has ended")
	ErrUnknownServer = errors.New("this daemon has no server with this ID")
	ErrOtherService  = errors.New("heartbeat names another service than the settings of this daemon")
	ErrOtherAddress  = errors.New("heartbeat names another address than the settings of this daemon")
)

const (
	// ttlMargin is subtracted from the TTL of grants. It covers the time between
	// reading the clock and sending the reply.
	ttlMargin = 5 * time.Millisecond
	// replaceAfterMissed is the number of heartbeats that the current server must
	// miss before a server with an earlier start time replaces it. The start time
	// of the new server may be earlier because its clock was set back.
	replaceAfterMissed = 3
)

// Control gives access to the control state of this daemon.
type Control interface {
	Self() pollenlatch.InstanceID
	View() pollenlatch.View
	// Changed returns a channel that is closed when the view changes next.
	Changed() <-chan struct{}
	// LeaseEnd returns the end of this daemon's lease, or 0 without one.
	LeaseEnd() pollenlatch.MonoTime
	// JoinVersion returns the version of the first state that included this
	// process, or 0 before it has one. Earlier processes of this daemon granted no
	// higher fence.
	JoinVersion() pollenlatch.Version
}

// Config is the configuration of a Tracker. Control, Observer and Clock are
// required.
type Config struct {
	Control        Control
	Observer       pollenlatch.EndpointObserver
	Clock          pollenlatch.Clock
	Service        string        // service of the local server; empty accepts any
	Addr           string        // address of the local server; empty accepts any
	Interval       time.Duration // regular interval of the server's heartbeats
	MaxTTL         time.Duration // maximum TTL of grants that the server accepts; 0 is unlimited
	MaxRangesBytes int           // maximum size of the encoded key ranges of a reply; 0 is unlimited
	// InheritedTTL is the maximum time, from the start of this process, for which
	// grants of an earlier process of this daemon may remain valid.
	InheritedTTL time.Duration
	// Cold is called with the time for which a heartbeat says that the server stays
	// cold, and returns whether the server must be treated as cold. nil: it never is.
	Cold func(e pollenlatch.Endpoint, left time.Duration) bool
	// Moved is called when a reply grants ranges that the server did not hold and for
	// which it gets no token of the previous server. total is the number of its ranges.
	// nil: it is not reported.
	Moved func(added, total int)
}

// Tracker tracks the grants of the local server. It implements
// pollenlatch.HeartbeatHandler and serve.Grants. Use New.
type Tracker struct {
	cfg   Config
	start pollenlatch.MonoTime

	mu            sync.Mutex
	server        pollenlatch.Endpoint // zero before the first heartbeat
	announced     bool                 // server was announced; that waits for the state of this process
	seq           uint64               // of the newest heartbeat
	receivedAt    pollenlatch.MonoTime // when the newest heartbeat arrived
	ended         map[pollenlatch.Incarnation]bool
	leaving       bool                                    // the server has said so
	drainingSince pollenlatch.MonoTime                    // when it was first known that the server is leaving; 0 before
	held          []pollenlatch.KeyRange                  // listed by the newest heartbeat; they may overlap
	heldKeys      []pollenlatch.KeyRange                  // union of held, without fences
	granted       map[pollenlatch.Range]grant             // by the newest reply, without those that a later heartbeat did not list as held
	fences        map[pollenlatch.Range]pollenlatch.Fence // highest fence that the server has received for the range
	released      []pollenlatch.KeyRange                  // reported by the server as released, the newest last
	grantsEnd     pollenlatch.MonoTime                    // all grants of the server have expired then
	waiters       map[lease.Key]func(token string)        // see AwaitRelease
	releases      map[releaseCause]int                    // ranges that were released since the last log line
	replied       chan struct{}                           // closed at the next reply

	limit            float64                 // named by the responses of the server, in requests a second; 0 is none
	signalsOf        pollenlatch.Incarnation // the server that limit and leaving belong to
	limitAnnouncedAt pollenlatch.MonoTime
	coldAnnouncedAt  pollenlatch.MonoTime
}

// grant is the grant of one range in a reply.
type grant struct {
	fence pollenlatch.Fence // of the assignment
	seq   uint64            // of the heartbeat that the reply belongs to
	// refused says that the server has refused a request for the range since the
	// reply. The reply may still be on its way, so the server may hold the range
	// later.
	refused bool
}

// New returns a tracker that has received no heartbeat yet.
func New(cfg Config) *Tracker {
	now := cfg.Clock.Now()
	return &Tracker{
		cfg: cfg, start: now, grantsEnd: now.Add(cfg.InheritedTTL),
		ended:   make(map[pollenlatch.Incarnation]bool),
		waiters: make(map[lease.Key]func(string)), releases: make(map[releaseCause]int),
	}
}

// Heartbeat implements pollenlatch.HeartbeatHandler.
func (t *Tracker) Heartbeat(b pollenlatch.Heartbeat) (pollenlatch.HeartbeatReply, error) {
	if err := t.checkLocal(&b.Endpoint); err != nil {
		return pollenlatch.HeartbeatReply{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	if err := t.acceptIncarnation(&b, now); err != nil {
		return pollenlatch.HeartbeatReply{}, err
	}
	if b.Seq <= t.seq { // delayed; a newer heartbeat was handled
		if b.Endpoint.Draining && !t.leavingRecorded(b.Endpoint.Incarnation) {
			return pollenlatch.HeartbeatReply{}, pollenlatch.ErrNotRecorded
		}
		return pollenlatch.HeartbeatReply{}, nil
	}
	t.seq, t.receivedAt = b.Seq, now
	draining := b.Endpoint.Draining
	if draining {
		t.leaving = true
		if t.drainingSince == 0 {
			t.drainingSince = now
		}
	}
	b.Endpoint.Draining = t.leaving
	b.Endpoint.Limit = t.limit
	b.Endpoint.Cold = t.cfg.Cold != nil && t.cfg.Cold(b.Endpoint, b.ColdFor)
	if b.Endpoint != t.server || !t.announced {
		t.announceLocked(b.Endpoint)
	}
	t.recordHeld(&b)
	t.notifyReleased(now)
	t.logReleases()
	if draining && !t.leavingRecorded(b.Endpoint.Incarnation) {
		t.mu.Unlock()
		err := t.awaitLeavingRecorded(b.Endpoint.Incarnation)
		t.mu.Lock()
		if err != nil || t.server.Incarnation != b.Endpoint.Incarnation || t.seq != b.Seq {
			return pollenlatch.HeartbeatReply{}, err
		}
		now = t.cfg.Clock.Now()
	}
	reply := t.buildReply(now)
	if t.replied != nil {
		close(t.replied)
		t.replied = nil
	}
	return reply, nil
}

// checkLocal checks that an endpoint is that of the local server. Anything that can
// reach this daemon can send a heartbeat, and one of another program says nothing about
// the local server. The settings decide, since this daemon may have no configuration
// yet, or one that does not name the service yet.
func (t *Tracker) checkLocal(e *pollenlatch.Endpoint) error {
	switch {
	case t.cfg.Service != "" && e.Service != t.cfg.Service:
		return ErrOtherService
	case t.cfg.Addr != "" && e.Addr != t.cfg.Addr:
		return ErrOtherAddress
	default:
		return nil
	}
}

// announceLocked replaces the endpoint of the server, and announces it once the state
// of this process is known: an endpoint recorded there may show that the server has
// ended. The caller holds mu.
func (t *Tracker) announceLocked(e pollenlatch.Endpoint) {
	if e.Limit != t.server.Limit {
		t.limitAnnouncedAt = t.cfg.Clock.Now()
		klog.InfoS("limit of the server changed", "server", e.ID, "from", t.server.Limit, "to", e.Limit)
	}
	if e.Cold != t.server.Cold {
		t.coldAnnouncedAt = t.cfg.Clock.Now()
	}
	t.server = e
	if t.announced = t.cfg.Control.JoinVersion() > 0; t.announced {
		t.cfg.Observer.Announce(e)
	}
}

// acceptIncarnation checks that a heartbeat is not from a server that has ended.
// A heartbeat of a new incarnation replaces the current server.
func (t *Tracker) acceptIncarnation(b *pollenlatch.Heartbeat, now pollenlatch.MonoTime) error {
	e := &b.Endpoint
	switch {
	case e.Incarnation == t.server.Incarnation:
		return nil
	case t.ended[e.Incarnation]:
		return ErrSuperseded
	case t.server.Incarnation != 0 && e.StartedAt < t.server.StartedAt && now.Sub(t.receivedAt) < replaceAfterMissed*t.cfg.Interval:
		return ErrSuperseded
	case t.server.Incarnation == 0 && t.recordedLaterLocked(e, now):
		return ErrSuperseded
	}
	if t.server.Incarnation != 0 {
		klog.InfoS("server was replaced", "old", t.server.ID, "new", e.ID, "silent", now.Sub(t.receivedAt))
		t.ended[t.server.Incarnation] = true
		t.clearGrants()
	}
	t.seq = 0
	t.setSignalsOf(e.Incarnation)
	return nil
}

// recordedLaterLocked reports whether an earlier process of this daemon has announced a
// server that started later than e. A heartbeat of e was delayed then. The clock of the
// machine may have been set back, so that holds only as long as the recorded server may
// still send its first heartbeats to this process. The caller holds mu.
func (t *Tracker) recordedLaterLocked(e *pollenlatch.Endpoint, now pollenlatch.MonoTime) bool {
	self, ok := t.cfg.Control.View().Instance(t.cfg.Control.Self())
	if !ok || self.Endpoint == nil || t.checkLocal(self.Endpoint) != nil {
		return false
	}
	return e.StartedAt < self.Endpoint.StartedAt && now.Sub(t.start) < replaceAfterMissed*t.cfg.Interval
}

// clearGrants discards the grants of a server that has ended, and notifies all
// waiters.
func (t *Tracker) clearGrants() {
	t.held, t.heldKeys, t.granted, t.fences, t.released = nil, nil, nil, nil, nil
	t.grantsEnd = 0
	for key, done := range t.waiters {
		delete(t.waiters, key)
		t.releases[causeEnded]++
		done("")
	}
}

// maxReleased limits the released key ranges whose tokens are kept.
const maxReleased = 1024

// recordHeld records the key ranges that a heartbeat lists as held and released.
// A range that an earlier reply granted and that the heartbeat does not list is
// not held. Key ranges are kept instead of ranges, since this daemon may not know
// yet how the service is divided.
func (t *Tracker) recordHeld(b *pollenlatch.Heartbeat) {
	t.held, t.heldKeys = slices.Clone(b.Held), union(b.Held)
	t.released = append(t.released, b.Released...)
	t.released = t.released[max(0, len(t.released)-maxReleased):]
	svc, ok := t.service()
	if !ok {
		return
	}
	for r, g := range t.granted {
		if g.seq < b.Seq && !t.reportsHeld(svc, r) {
			delete(t.granted, r)
		}
	}
}

func compareFirst(a, b pollenlatch.KeyRange) int { return cmp.Compare(a.First, b.First) }

// union returns the keys of key ranges that may overlap, as disjoint key ranges
// sorted by key. A server lists a key twice when its fence has risen while a request
// from before is still running.
func union(ranges []pollenlatch.KeyRange) []pollenlatch.KeyRange {
	sorted := slices.SortedFunc(slices.Values(ranges), compareFirst)
	out := sorted[:0]
	for _, kr := range sorted {
		if n := len(out); n > 0 && kr.First <= out[n-1].Last+1 {
			out[n-1].Last = max(out[n-1].Last, kr.Last)
			continue
		}
		out = append(out, pollenlatch.KeyRange{First: kr.First, Last: kr.Last})
	}
	return out
}

// service returns the service of the server. ok is false when this daemon does
// not know how the service is divided.
func (t *Tracker) service() (pollenlatch.Service, bool) {
	svc, ok := t.cfg.Control.View().Service(t.server.Service)
	return svc, ok && svc.NumericKeys && svc.RangeBits > 0
}

// reportsHeld reports whether the newest heartbeat lists any key of a range as
// held.
func (t *Tracker) reportsHeld(svc pollenlatch.Service, r pollenlatch.Range) bool {
	first, last := svc.Keys(r)
	n, _ := slices.BinarySearchFunc(t.heldKeys, first, func(kr pollenlatch.KeyRange, key uint32) int { return cmp.Compare(kr.Last, key) })
	return n < len(t.heldKeys) && t.heldKeys[n].First <= last
}

// releaseToken returns the token with which the server released a range, or "".
func (t *Tracker) releaseToken(r pollenlatch.Range) string {
	svc, ok := t.service()
	if !ok {
		return ""
	}
	first, last := svc.Keys(r)
	for _, kr := range slices.Backward(t.released) {
		if kr.First <= first && kr.Last >= last {
			return kr.Token
		}
	}
	return ""
}

// eachRange calls f for every range that overlaps a key range.
func eachRange(svc pollenlatch.Service, kr pollenlatch.KeyRange, f func(pollenlatch.Range)) {
	shift := pollenlatch.KeyBits - svc.RangeBits
	for r := kr.First >> shift; r <= kr.Last>>shift && r < uint32(svc.NumRanges()); r++ {
		f(pollenlatch.Range(r))
	}
}

// buildReply returns the reply to the newest heartbeat and records its grants.
func (t *Tracker) buildReply(now pollenlatch.MonoTime) pollenlatch.HeartbeatReply {
	v := t.cfg.Control.View()
	svc, ok := v.Service(t.server.Service)
	self, known := v.Instance(t.cfg.Control.Self())
	leaseLeft := t.cfg.Control.LeaseEnd().Sub(now)
	ttl := grantTTL(leaseLeft, t.cfg.MaxTTL)
	if !ok || !svc.Heartbeats || !known || ttl <= 0 || self.Endpoint == nil || self.Endpoint.Incarnation != t.server.Incarnation {
		return pollenlatch.HeartbeatReply{}
	}
	t.raiseFences(svc)
	// An earlier process may have granted merged key ranges with higher fences
	// than the assignments have, and the server refuses lower fences. None of them
	// is above minFence, and every later assignment is.
	minFence := pollenlatch.Fence(t.cfg.Control.JoinVersion())
	var ranges []pollenlatch.KeyRange
	granted := make(map[pollenlatch.Range]grant)
	moved := 0
	v.EachOwned(self.ID, svc.Name, func(o pollenlatch.Owner) bool {
		if o.Frozen() || o.Key != "" {
			return true
		}
		reported := t.reportsHeld(svc, o.Range)
		if !reported {
			t.fences[o.Range] = max(t.fences[o.Range], minFence)
		}
		t.fences[o.Range] = max(t.fences[o.Range], o.Fence)
		granted[o.Range] = grant{fence: o.Fence, seq: t.seq}
		if _, before := t.granted[o.Range]; !before && !reported && o.Token == "" {
			moved++
		}
		kr := pollenlatch.KeyRange{Fence: t.fences[o.Range]}
		kr.First, kr.Last = svc.Keys(o.Range)
		if !reported {
			kr.Token = o.Token
		}
		ranges = append(ranges, kr)
		return true
	})
	ranges = limitSize(mergeAdjacent(ranges), t.cfg.MaxRangesBytes, func(kr pollenlatch.KeyRange) bool {
		held := false
		eachRange(svc, kr, func(r pollenlatch.Range) { held = held || t.reportsHeld(svc, r) })
		return held
	})
	inReply := make(map[pollenlatch.Range]bool, len(granted))
	for _, kr := range ranges {
		eachRange(svc, kr, func(r pollenlatch.Range) {
			t.fences[r] = kr.Fence
			inReply[r] = true
		})
	}
	for r := range granted {
		if !inReply[r] {
			delete(granted, r)
		}
	}
	t.logChanges(granted, len(ranges), ttl, v.Version())
	if t.cfg.Moved != nil && moved > 0 {
		t.cfg.Moved(moved, len(granted))
	}
	t.granted = granted
	t.grantsEnd = max(t.grantsEnd, now.Add(lease.WithDrift(ttl)))
	return pollenlatch.HeartbeatReply{Ranges: ranges, TTL: ttl}
}

// logChanges logs how the grants of a reply differ from the previous ones.
func (t *Tracker) logChanges(next map[pollenlatch.Range]grant, keyRanges int, ttl time.Duration, version pollenlatch.Version) {
	added, removed := 0, 0
	for r, g := range next {
		if old, ok := t.granted[r]; !ok || old.fence != g.fence {
			added++
		}
	}
	for r := range t.granted {
		if _, ok := next[r]; !ok {
			removed++
		}
	}
	if added == 0 && removed == 0 {
		return
	}
	klog.InfoS("grants of the server changed", "server", t.server.ID, "seq", t.seq, "added", added, "removed", removed,
		"ranges", len(next), "rows", keyRanges, "holdMs", ttl.Milliseconds(), "version", version)
}

// raiseFences records the fences that the server reports, so that it is never
// granted a lower one.
func (t *Tracker) raiseFences(svc pollenlatch.Service) {
	if t.fences == nil {
		t.fences = make(map[pollenlatch.Range]pollenlatch.Fence)
	}
	for _, kr := range t.held {
		eachRange(svc, kr, func(r pollenlatch.Range) { t.fences[r] = max(t.fences[r], kr.Fence) })
	}
}

// grantTTL returns the TTL of grants for a lease that expires after leaseLeft.
// Measured by a clock that is 2% slow, the grants still expire before the lease.
func grantTTL(leaseLeft, maxTTL time.Duration) time.Duration {
	ttl := leaseLeft - ttlMargin - leaseLeft/50
	if maxTTL > 0 {
		ttl = min(ttl, maxTTL)
	}
	return max(ttl, 0).Truncate(time.Millisecond)
}

// mergeAdjacent merges adjacent key ranges with the same token. The result has
// the highest fence of them; every later assignment of a part of it has a higher
// one.
func mergeAdjacent(ranges []pollenlatch.KeyRange) []pollenlatch.KeyRange {
	slices.SortFunc(ranges, compareFirst)
	out := ranges[:0]
	for _, kr := range ranges {
		if n := len(out); n > 0 && out[n-1].Last+1 == kr.First && out[n-1].Token == kr.Token {
			out[n-1].Last = kr.Last
			out[n-1].Fence = max(out[n-1].Fence, kr.Fence)
			continue
		}
		out = append(out, kr)
	}
	return out
}

// encodedBytes returns the encoded size of a key range in a reply, without its
// token.
func encodedBytes(r pollenlatch.KeyRange) int {
	n := len(`[,,,""],`)
	for _, v := range []uint64{uint64(r.First), uint64(r.Last), uint64(r.Fence)} {
		for n++; v >= 10; v /= 10 {
			n++
		}
	}
	return n
}

// limitSize reduces the key ranges of a reply, sorted by key, to maxBytes. It omits
// tokens first, which lets neighbours with different tokens share a row, and then key
// ranges that the server does not hold yet. Omitting one that the server holds would
// revoke it.
func limitSize(ranges []pollenlatch.KeyRange, maxBytes int, isHeld func(pollenlatch.KeyRange) bool) []pollenlatch.KeyRange {
	total, tokenBytes := 0, 0
	for _, r := range ranges {
		total += encodedBytes(r)
		tokenBytes += len(r.Token)
	}
	if maxBytes <= 0 || total+tokenBytes <= maxBytes {
		return ranges
	}
	for n := range ranges {
		ranges[n].Token = ""
	}
	ranges, total = mergeAdjacent(ranges), 0
	for _, r := range ranges {
		total += encodedBytes(r)
	}
	return slices.DeleteFunc(ranges, func(r pollenlatch.KeyRange) bool {
		if total <= maxBytes || isHeld(r) {
			return false
		}
		total -= encodedBytes(r)
		return true
	})
}

// mayHold reports whether the server may hold a range at now.
func (t *Tracker) mayHold(r pollenlatch.Range, now pollenlatch.MonoTime) bool {
	if now >= t.grantsEnd {
		return false
	}
	if !t.announced {
		return true // an earlier process of this daemon may have granted the range
	}
	if _, granted := t.granted[r]; granted {
		return true
	}
	svc, ok := t.service()
	return !ok || t.reportsHeld(svc, r)
}

// releaseCause is why the server is known to hold a range no longer.
type releaseCause string

const (
	causeEnded     releaseCause = "server ended"
	causeExpired   releaseCause = "grants expired"
	causeNotListed releaseCause = "not listed"
)

// AwaitRelease calls done when the server no longer holds the shard, with the
// token from the server or "". That may be before AwaitRelease returns.
func (t *Tracker) AwaitRelease(key lease.Key, done func(token string)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := t.cfg.Clock.Now(); !t.mayHold(key.Range, now) {
		t.release(key, done, now)
		return
	}
	t.waiters[key] = done
}

// notifyReleased notifies the waiters for ranges that the server no longer holds.
func (t *Tracker) notifyReleased(now pollenlatch.MonoTime) {
	for key, done := range t.waiters {
		if !t.mayHold(key.Range, now) {
			delete(t.waiters, key)
			t.release(key, done, now)
		}
	}
}

// release reports a shard as released.
func (t *Tracker) release(key lease.Key, done func(token string), now pollenlatch.MonoTime) {
	switch {
	case t.grantsEnd == 0:
		t.releases[causeEnded]++
	case now >= t.grantsEnd:
		t.releases[causeExpired]++
	default:
		t.releases[causeNotListed]++
	}
	done(t.releaseToken(key.Range))
}

// logReleases logs the releases since the last call, by cause.
func (t *Tracker) logReleases() {
	for cause, n := range t.releases {
		klog.InfoS("ranges were released", "server", t.server.ID, "cause", cause, "ranges", n, "seq", t.seq,
			"listedRows", len(t.held), "grantsLeftMs", max(0, t.grantsEnd.Sub(t.cfg.Clock.Now())).Milliseconds())
	}
	clear(t.releases)
}
