package ctrl

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/quorum"
)

// sim is a deterministic simulation of a small deployment: reducers with a fake clock,
// a network with delays and faults, and disks that keep what was synced.
type sim struct {
	now           pollenlatch.MonoTime
	rng           *rand.Rand
	nodes         map[string]*node
	names         []string
	pendingEvents eventHeap
	seq           uint64

	delay           func(from, to string) time.Duration
	cutLinks        map[[2]string]bool       // messages from the first to the second are lost
	maxExtraDelay   map[string]time.Duration // maximum extra delay of messages, by receiver
	lossRate        float64                  // share of messages that are lost
	duplicateRate   float64                  // share of messages that are delivered twice
	diskDelay       time.Duration            // time of one disk write
	checkInvariants func()                   // called after every event that changed the Access of a node
	accessChanged   bool
	timing          Timing

	verdicts       map[uint64]pollenlatch.Verdict
	voters         []pollenlatch.Member
	newPlanner     func() pollenlatch.Planner
	compactAfter   uint64
	injected       injectedFaults
	maxRequestTime time.Duration // maximum time of the requests that a hand-over waits for; 0 is none
	traffic        *trafficSim   // nil in a simulation without requests
	takeover       bool          // Takeover of the Joins
}

// node is one process.
type node struct {
	sim                *sim
	name               string
	dc                 string
	voter              bool
	incarnation        pollenlatch.Incarnation
	processEpoch       int // increases when the process starts or is killed; events of older epochs are dropped
	up                 bool
	paused             bool
	deferred           []func() // events that arrived while it is paused
	reducer            *Reducer
	access             Access
	disk               memDisk
	endpoint           pollenlatch.Endpoint
	left               bool
	drained            bool
	haltErr            error
	busyUntil          map[lease.Key]pollenlatch.MonoTime // end of the requests in flight
	clockPPM           int64                              // parts per million by which its clock is fast
	member             *pollenlatch.Member                // as a voter, if it differs from the initial group
	onReadIndexReached func(ReadIndexReached)             // may be nil
	env                *nodeEnv                           // nil in a simulation without requests
}

// now returns the time by the clock of the node's instance.
func (n *node) now() pollenlatch.MonoTime {
	return n.sim.now + n.sim.now/1_000_000*pollenlatch.MonoTime(n.clockPPM)
}

// memDisk is a data folder in memory.
type memDisk struct {
	hard     quorum.HardState
	snapshot quorum.Snapshot
	entries  []quorum.Entry
}

func (d *memDisk) save(p quorum.Persist) {
	if p.HardState != nil {
		d.hard = *p.HardState
	}
	if p.Snapshot != nil {
		d.snapshot = *p.Snapshot
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e quorum.Entry) bool { return e.Index <= p.Snapshot.Index })
	}
	if p.TruncateFrom != 0 {
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e quorum.Entry) bool { return e.Index >= p.TruncateFrom })
	}
	d.entries = append(slices.Clone(d.entries), p.Entries...)
}

type simEvent struct {
	at  pollenlatch.MonoTime
	seq uint64
	do  func()
}

type eventHeap []simEvent

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const simDCs = 3

// newSim creates voters v1, v2, ... and daemons d1, d2, ..., each with an endpoint.
func newSim(seed uint64, voters, daemons int, newPlanner func() pollenlatch.Planner) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*node), cutLinks: make(map[[2]string]bool), maxExtraDelay: make(map[string]time.Duration),
		diskDelay: 2 * time.Millisecond, timing: DefaultTiming(), verdicts: make(map[uint64]pollenlatch.Verdict), newPlanner: newPlanner,
	}
	s.delay = func(string, string) time.Duration {
		return 500*time.Microsecond + time.Duration(s.rng.Int64N(int64(200*time.Microsecond)))
	}
	for i := range voters {
		name := fmt.Sprintf("v%d", i+1)
		s.voters = append(s.voters, pollenlatch.Member{Name: name, Incarnation: pollenlatch.Incarnation(i + 1), Addr: name})
	}
	for i := range voters {
		s.add(s.voters[i].Name, fmt.Sprintf("dc%d", i%simDCs+1), true)
	}
	for i := range daemons {
		s.add(fmt.Sprintf("d%d", i+1), fmt.Sprintf("dc%d", i%simDCs+1), false)
	}
	return s
}

func (s *sim) add(name, dc string, voter bool) *node {
	n := &node{sim: s, name: name, dc: dc, voter: voter, busyUntil: make(map[lease.Key]pollenlatch.MonoTime)}
	n.endpoint = pollenlatch.Endpoint{Service: "listing", Addr: name, Incarnation: 1, Slots: 10, MaxConns: 100, Fenced: true, Ready: true}
	s.nodes[name] = n
	s.names = append(s.names, name)
	n.start()
	return n
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.pendingEvents, simEvent{at: s.now.Add(d), seq: s.seq, do: f})
}

// advance runs the simulation for d.
func (s *sim) advance(d time.Duration) { s.advanceUntil(d, func() bool { return false }) }

// advanceUntil runs the simulation until the condition is true, for at most d, and
// reports whether it became true.
func (s *sim) advanceUntil(d time.Duration, ok func() bool) bool {
	end := s.now.Add(d)
	for {
		if ok() {
			return true
		}
		if len(s.pendingEvents) == 0 || s.pendingEvents[0].at > end {
			s.now = end
			return ok()
		}
		e := heap.Pop(&s.pendingEvents).(simEvent)
		s.now = e.at
		e.do()
		if s.accessChanged && s.checkInvariants != nil {
			s.accessChanged = false
			s.checkInvariants()
		}
	}
}

func (n *node) start() {
	n.processEpoch++
	n.up, n.paused, n.left, n.drained = true, false, false, false
	n.incarnation = pollenlatch.Incarnation(n.sim.rng.Uint64() | 1)
	cfg := Config{
		Self:         pollenlatch.Join{Name: n.name, DC: n.dc, Addr: n.name, Front: n.name, Incarnation: n.incarnation, Takeover: n.sim.takeover},
		Voters:       n.sim.voters,
		Timing:       n.sim.timing,
		CompactAfter: n.sim.compactAfter,
	}
	boot := Boot{Now: n.now()}
	if n.voter {
		self := n.asVoter()
		cfg.Planner = n.sim.newPlanner()
		cfg.Quorum = &quorum.Config{
			Self: self, InitialVoters: n.sim.voters, HeartbeatInterval: n.sim.timing.Heartbeat,
			MinElectionTimeout: n.sim.timing.Election, Seed: n.sim.rng.Uint64(),
		}
		boot.RecoveredLog = &quorum.Start{Now: n.now(), HardState: n.disk.hard, Snapshot: n.disk.snapshot, Entries: slices.Clone(n.disk.entries)}
	}
	n.reducer = New(cfg)
	n.reducer.injected = n.sim.injected
	n.access = Access{View: n.reducer.State()}
	if n.env != nil {
		n.env.startProcess()
	}
	n.step(boot)
	n.step(Announced{Now: n.now(), Endpoint: n.endpoint})
	n.tick(n.processEpoch)
}

func (n *node) tick(epoch int) {
	if n.processEpoch != epoch || n.left {
		return
	}
	n.deliverEvent(epoch, func() Event { return Tick{Now: n.now()} })
	n.sim.after(TickInterval, func() { n.tick(epoch) })
}

// asVoter returns the node as a member of the voter group.
func (n *node) asVoter() pollenlatch.Member {
	if n.member != nil {
		return *n.member
	}
	return n.sim.voters[slices.IndexFunc(n.sim.voters, func(m pollenlatch.Member) bool { return m.Name == n.name })]
}

// deliverEvent delivers an event to the process of the epoch, once it is not paused.
func (n *node) deliverEvent(epoch int, ev func() Event) {
	if n.processEpoch != epoch || !n.up {
		return
	}
	if n.paused {
		n.deferred = append(n.deferred, func() { n.deliverEvent(epoch, ev) })
		return
	}
	n.step(ev())
}

func (n *node) kill() { n.processEpoch++; n.up = false; n.access = Access{}; n.deferred = nil }

func (n *node) pause() { n.paused = true }

func (n *node) resume() {
	n.paused = false
	deferred := n.deferred
	n.deferred = nil
	for _, f := range deferred {
		f()
	}
}

func (n *node) step(ev Event) {
	for _, e := range n.reducer.Step(ev) {
		if n.env == nil || !n.env.carryOut(e) {
			n.carryOut(e)
		}
	}
}

func (n *node) carryOut(e Effect) {
	s, epoch := n.sim, n.processEpoch
	switch e := e.(type) {
	case Send:
		n.transmit(e.Addr, e.Message)
	case Reply:
		n.transmit(e.To, e.Message)
	case Persist:
		s.after(n.syncTime(), func() {
			if n.processEpoch != epoch || n.paused {
				if n.processEpoch == epoch {
					n.disk.save(e.Persist)
					n.deferred = append(n.deferred, func() { n.deliverEvent(epoch, func() Event { return n.syncedEvent(e.Seq) }) })
				}
				return
			}
			n.disk.save(e.Persist)
			n.step(n.syncedEvent(e.Seq))
		})
	case Publish:
		n.access = e.Access
		s.accessChanged = true
	case AwaitIdle:
		wait := time.Duration(0)
		if s.maxRequestTime > 0 {
			wait = time.Duration(s.rng.Int64N(int64(s.maxRequestTime)))
			n.busyUntil[e.Key] = s.now.Add(wait)
		}
		s.after(wait, func() {
			n.deliverEvent(epoch, func() Event {
				delete(n.busyUntil, e.Key)
				return ShardsIdle{Now: n.now(), Shards: []IdleShard{{Key: e.Key}}}
			})
		})
	case SendRecords:
		s.after(2*s.delay(n.name, e.To.Name), func() {
			n.deliverEvent(epoch, func() Event { return RecordsSent{Now: n.now(), Key: e.Key, OK: true} })
		})
	case DeliverVerdict:
		s.verdicts[e.ID] = e.Verdict
	case Drained:
		n.drained = true
	case Left:
		n.left = true
	case Halt:
		n.haltErr = e.Err
	case ReadIndexReached:
		if n.onReadIndexReached != nil {
			n.onReadIndexReached(e)
		}
	}
}

// syncTime returns the time that the next disk write takes. A node has no more than
// one write outstanding, so its writes keep their order.
func (n *node) syncTime() time.Duration {
	if n.env != nil && n.env.maxDiskDelay > 0 {
		return time.Duration(n.sim.rng.Int64N(int64(n.env.maxDiskDelay)))
	}
	return n.sim.diskDelay
}

// syncedEvent returns the result of a disk write.
func (n *node) syncedEvent(seq uint64) Synced {
	ev := Synced{Now: n.now(), Seq: seq}
	if n.env != nil && n.env.diskFails {
		ev.Err = errDisk
	}
	return ev
}

func (n *node) transmit(to string, m *pollenlatch.Message) {
	s := n.sim
	dest, ok := s.nodes[to]
	if !ok || s.cutLinks[[2]string{n.name, to}] || s.rng.Float64() < s.lossRate {
		return
	}
	copies := 1
	if s.rng.Float64() < s.duplicateRate {
		copies = 2
	}
	for range copies {
		epoch := dest.processEpoch
		delay := s.delay(n.name, to)
		if maxExtra := s.maxExtraDelay[to]; maxExtra > 0 {
			delay += time.Duration(s.rng.Int64N(int64(maxExtra)))
		}
		s.after(delay, func() {
			dest.deliverEvent(epoch, func() Event { return Received{Now: dest.now(), From: n.name, Message: m} })
		})
	}
}

// isolate cuts or restores the links between a node and all others, in both
// directions.
func (s *sim) isolate(name string, cut bool) {
	for _, other := range s.names {
		s.cutLinks[[2]string{name, other}] = cut
		s.cutLinks[[2]string{other, name}] = cut
	}
}

func (s *sim) leader() *node {
	for _, name := range s.names {
		if n := s.nodes[name]; n.up && n.access.IsLeader {
			return n
		}
	}
	return nil
}

// owners returns the nodes that may act as the owner of a shard now, each by its own
// Access.
func (s *sim) owners(sh pollenlatch.Shard) []string {
	var out []string
	for _, name := range s.names {
		n := s.nodes[name]
		if !n.up || n.paused || n.now() >= n.access.LeaseEnd {
			continue
		}
		o, ok := n.access.View.ShardOwner(sh)
		if !ok || o.Instance != n.access.Self || o.Instance == 0 {
			continue
		}
		// A frozen shard gets no new requests. Its owner only acts for those in
		// flight.
		if o.Frozen() && o.Next != o.Instance && n.busyUntil[KeyOf(o)] <= s.now {
			continue
		}
		out = append(out, name)
	}
	return out
}

// submit submits a ticket through a node.
func (s *sim) submit(via string, id uint64, t pollenlatch.Ticket) {
	n := s.nodes[via]
	n.deliverEvent(n.processEpoch, func() Event { return Submitted{Now: n.now(), ID: id, Ticket: t} })
}
