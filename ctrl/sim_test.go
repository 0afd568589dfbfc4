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

// sim runs the reducers of a small deployment under one fake clock, over a
// network with delays and faults, and with disks that keep what was synced.
type sim struct {
	now   pollenlatch.MonoTime
	rng   *rand.Rand
	nodes map[string]*node
	order []string
	queue events
	seq   uint64

	delay   func(from, to string) time.Duration
	cut     map[[2]string]bool       // messages from the first to the second are lost
	slow    map[string]time.Duration // longest extra delay of what a process receives
	drop    float64                  // share of messages lost
	double  float64                  // share of messages delivered twice
	sync    time.Duration            // time of one disk write
	check   func()                   // called after every event that changed what a process may do
	changed bool
	timing  Timing

	verdicts map[uint64]pollenlatch.Verdict
	voters   []pollenlatch.Member
	planner  func() pollenlatch.Planner
	compact  uint64
	rules    rules
	work     time.Duration // length of the requests that keep a shard busy; 0 is none
	traffic  *traffic      // nil without requests
	takeover bool          // a process has ended for certain when the next one starts
}

// node is one process.
type node struct {
	sim     *sim
	name    string
	dc      string
	voter   bool
	life    pollenlatch.Incarnation
	epoch   int // raised when the process is killed; events of older ones are dropped
	up      bool
	paused  bool
	backlog []func()
	r       *Reducer
	access  Access
	disk    memDisk
	facts   pollenlatch.Endpoint
	left    bool
	drained bool
	halted  error
	busy    map[lease.Key]pollenlatch.MonoTime // requests in flight end then
	ppm     int64                              // by which its clock is fast
	member  *pollenlatch.Member                // as a voter, if not one of the first
	current func(ReadIndexReached)             // answers to questions; may be nil
	side    *side                              // traffic and the server beside it; nil without traffic
}

// now returns the time on the clock of the node's machine.
func (n *node) now() pollenlatch.MonoTime {
	return n.sim.now + n.sim.now/1_000_000*pollenlatch.MonoTime(n.ppm)
}

// memDisk is a data folder that keeps what was synced.
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

type event struct {
	at  pollenlatch.MonoTime
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const simVoters = 3

// newSim makes voters v1.. with an endpoint beside each, and daemons d1..
func newSim(seed uint64, voters, daemons int, planner func() pollenlatch.Planner) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*node), cut: make(map[[2]string]bool), slow: make(map[string]time.Duration),
		sync: 2 * time.Millisecond, timing: DefaultTiming(), verdicts: make(map[uint64]pollenlatch.Verdict), planner: planner,
	}
	s.delay = func(string, string) time.Duration {
		return 500*time.Microsecond + time.Duration(s.rng.Int64N(int64(200*time.Microsecond)))
	}
	for i := range voters {
		name := fmt.Sprintf("v%d", i+1)
		s.voters = append(s.voters, pollenlatch.Member{Name: name, Incarnation: pollenlatch.Incarnation(i + 1), Addr: name})
	}
	for i := range voters {
		s.add(s.voters[i].Name, fmt.Sprintf("dc%d", i%simVoters+1), true)
	}
	for i := range daemons {
		s.add(fmt.Sprintf("d%d", i+1), fmt.Sprintf("dc%d", i%simVoters+1), false)
	}
	return s
}

func (s *sim) add(name, dc string, voter bool) *node {
	n := &node{sim: s, name: name, dc: dc, voter: voter, busy: make(map[lease.Key]pollenlatch.MonoTime)}
	n.facts = pollenlatch.Endpoint{Service: "listing", Addr: name, Incarnation: 1, Slots: 10, MaxConns: 100, Fenced: true, Ready: true}
	s.nodes[name] = n
	s.order = append(s.order, name)
	n.start()
	return n
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, do: f})
}

// run lets time pass.
func (s *sim) run(d time.Duration) { s.until(d, func() bool { return false }) }

// until lets time pass until the condition holds, for d at the most, and
// reports whether it held.
func (s *sim) until(d time.Duration, ok func() bool) bool {
	end := s.now.Add(d)
	for {
		if ok() {
			return true
		}
		if len(s.queue) == 0 || s.queue[0].at > end {
			s.now = end
			return ok()
		}
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
		if s.changed && s.check != nil {
			s.changed = false
			s.check()
		}
	}
}

func (n *node) start() {
	n.epoch++
	n.up, n.paused, n.left, n.drained = true, false, false, false
	n.life = pollenlatch.Incarnation(n.sim.rng.Uint64() | 1)
	cfg := Config{
		Self:         pollenlatch.Join{Name: n.name, DC: n.dc, Addr: n.name, Front: n.name, Incarnation: n.life, Takeover: n.sim.takeover},
		Voters:       n.sim.voters,
		Timing:       n.sim.timing,
		CompactAfter: n.sim.compact,
	}
	boot := Boot{Now: n.now()}
	if n.voter {
		self := n.self()
		cfg.Planner = n.sim.planner()
		cfg.Quorum = &quorum.Config{
			Self: self, InitialVoters: n.sim.voters, HeartbeatInterval: n.sim.timing.Heartbeat,
			MinElectionTimeout: n.sim.timing.Election, Seed: n.sim.rng.Uint64(),
		}
		boot.RecoveredLog = &quorum.Start{Now: n.now(), HardState: n.disk.hard, Snapshot: n.disk.snapshot, Entries: slices.Clone(n.disk.entries)}
	}
	n.r = New(cfg)
	n.r.rules = n.sim.rules
	n.access = Access{View: n.r.State()}
	if n.side != nil {
		n.side.begin()
	}
	n.step(boot)
	n.step(Announced{Now: n.now(), Endpoint: n.facts})
	n.tick(n.epoch)
}

func (n *node) tick(epoch int) {
	if n.epoch != epoch || n.left {
		return
	}
	n.deliver(epoch, func() Event { return Tick{Now: n.now()} })
	n.sim.after(TickInterval, func() { n.tick(epoch) })
}

// self returns the node as a voter.
func (n *node) self() pollenlatch.Member {
	if n.member != nil {
		return *n.member
	}
	return n.sim.voters[slices.IndexFunc(n.sim.voters, func(m pollenlatch.Member) bool { return m.Name == n.name })]
}

// deliver gives an event to the process, or keeps it while it is paused.
func (n *node) deliver(epoch int, ev func() Event) {
	if n.epoch != epoch || !n.up {
		return
	}
	if n.paused {
		n.backlog = append(n.backlog, func() { n.deliver(epoch, ev) })
		return
	}
	n.step(ev())
}

func (n *node) kill() { n.epoch++; n.up = false; n.access = Access{}; n.backlog = nil }

func (n *node) pause() { n.paused = true }

func (n *node) resume() {
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, f := range backlog {
		f()
	}
}

func (n *node) step(ev Event) {
	for _, e := range n.r.Step(ev) {
		if n.side == nil || !n.side.carryOut(e) {
			n.carryOut(e)
		}
	}
}

func (n *node) carryOut(e Effect) {
	s, epoch := n.sim, n.epoch
	switch e := e.(type) {
	case Send:
		n.transmit(e.Addr, e.Message)
	case Reply:
		n.transmit(e.To, e.Message)
	case Persist:
		s.after(n.syncTime(), func() {
			if n.epoch != epoch || n.paused {
				if n.epoch == epoch {
					n.disk.save(e.Persist)
					n.backlog = append(n.backlog, func() { n.deliver(epoch, func() Event { return n.synced(e.Seq) }) })
				}
				return
			}
			n.disk.save(e.Persist)
			n.step(n.synced(e.Seq))
		})
	case Publish:
		n.access = e.Access
		s.changed = true
	case AwaitIdle:
		wait := time.Duration(0)
		if s.work > 0 {
			wait = time.Duration(s.rng.Int64N(int64(s.work)))
			n.busy[e.Key] = s.now.Add(wait)
		}
		s.after(wait, func() {
			n.deliver(epoch, func() Event {
				delete(n.busy, e.Key)
				return ShardsIdle{Now: n.now(), Shards: []IdleShard{{Key: e.Key}}}
			})
		})
	case SendRecords:
		s.after(2*s.delay(n.name, e.To.Name), func() {
			n.deliver(epoch, func() Event { return RecordsSent{Now: n.now(), Key: e.Key, OK: true} })
		})
	case DeliverVerdict:
		s.verdicts[e.ID] = e.Verdict
	case Drained:
		n.drained = true
	case Left:
		n.left = true
	case Halt:
		n.halted = e.Err
	case ReadIndexReached:
		if n.current != nil {
			n.current(e)
		}
	}
}

// syncTime returns how long the next disk write takes. Writes of one node keep
// their order because no more than one is outstanding.
func (n *node) syncTime() time.Duration {
	if n.side != nil && n.side.slowDisk > 0 {
		return time.Duration(n.sim.rng.Int64N(int64(n.side.slowDisk)))
	}
	return n.sim.sync
}

// synced reports a disk write, or that the disk has failed.
func (n *node) synced(seq uint64) Synced {
	ev := Synced{Now: n.now(), Seq: seq}
	if n.side != nil && n.side.badDisk {
		ev.Err = errDisk
	}
	return ev
}

func (n *node) transmit(to string, m *pollenlatch.Message) {
	s := n.sim
	dest, ok := s.nodes[to]
	if !ok || s.cut[[2]string{n.name, to}] || s.rng.Float64() < s.drop {
		return
	}
	copies := 1
	if s.rng.Float64() < s.double {
		copies = 2
	}
	for range copies {
		epoch := dest.epoch
		delay := s.delay(n.name, to)
		if slow := s.slow[to]; slow > 0 {
			delay += time.Duration(s.rng.Int64N(int64(slow)))
		}
		s.after(delay, func() {
			dest.deliver(epoch, func() Event { return Received{Now: dest.now(), From: n.name, Message: m} })
		})
	}
}

// isolate cuts a process off from all others, both ways.
func (s *sim) isolate(name string, cut bool) {
	for _, other := range s.order {
		s.cut[[2]string{name, other}] = cut
		s.cut[[2]string{other, name}] = cut
	}
}

func (s *sim) leader() *node {
	for _, name := range s.order {
		if n := s.nodes[name]; n.up && n.access.IsLeader {
			return n
		}
	}
	return nil
}

// owners returns who acts as the owner of a shard now, by what the processes
// themselves hold to be true.
func (s *sim) owners(sh pollenlatch.Shard) []string {
	var out []string
	for _, name := range s.order {
		n := s.nodes[name]
		if !n.up || n.paused || n.now() >= n.access.LeaseEnd {
			continue
		}
		o, ok := n.access.View.ShardOwner(sh)
		if !ok || o.Instance != n.access.Self || o.Instance == 0 {
			continue
		}
		// A frozen shard takes no new requests: its owner acts only for those
		// that are still in flight.
		if o.Frozen() && o.Next != o.Instance && n.busy[KeyOf(o)] <= s.now {
			continue
		}
		out = append(out, name)
	}
	return out
}

// submit sends a ticket through a process.
func (s *sim) submit(via string, id uint64, t pollenlatch.Ticket) {
	n := s.nodes[via]
	n.deliver(n.epoch, func() Event { return Submitted{Now: n.now(), ID: id, Ticket: t} })
}
