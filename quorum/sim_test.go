package quorum

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenlatch"
)

const (
	simStep      = 5 * time.Millisecond
	simHeartbeat = 40 * time.Millisecond
	simElection  = 120 * time.Millisecond
	simPadding   = 150 << 10 // bytes, so that a snapshot needs several pieces
)

// violation is an invariant that does not hold; sim panics with it.
type violation string

func fail(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// simRules are the rules that the harness, rather than the replica, can break.
type simRules struct {
	replica    rules
	forgetVote bool // a restart loses the vote
	noSyncWait bool // Persisted is reported before the sync
}

// node is one voter: its process, its disk and its state machine.
type node struct {
	self    pollenlatch.Member
	r       *Replica
	up      bool
	pause   time.Duration // end of a pause
	drift   int64         // of the clock, in 1/10000
	slow    time.Duration // until then nothing is synced
	hard    HardState     // synced
	snap    Snapshot
	log     []Entry
	queue   []Persist // written, not synced
	applied uint64
	sum     uint64 // of all applied entries
}

func (n *node) clock(now time.Duration) pollenlatch.MonoTime {
	return pollenlatch.MonoTime(int64(now) + int64(now)/10000*n.drift + 1)
}

type packet struct {
	due      time.Duration
	from, to int
	m        Message
}

// sim drives replicas over a network and disks that fail.
type sim struct {
	rules     simRules
	random    *rand.Rand
	now       time.Duration
	nodes     []*node
	genesis   []pollenlatch.Member
	packets   []packet
	cut       map[[2]int]bool
	lossy     bool
	leaders   map[uint64]memberID
	sums      []uint64 // of the entries up to each index, as first applied anywhere
	terms     []uint64
	committed uint64 // highest index that a leader has committed
	nextID    uint64
	nextInc   pollenlatch.Incarnation
	wiped     int // node whose folder was lost and that is not a voter again; -1 is none
}

func newSim(size int, seed uint64, broken simRules) *sim {
	s := &sim{
		rules: broken, random: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{}, lossy: true,
		leaders: map[uint64]memberID{}, sums: []uint64{0}, terms: []uint64{0}, nextInc: 100, wiped: -1,
	}
	s.genesis = voters("abcde"[:size])
	for i, m := range s.genesis {
		if seed%2 == 0 {
			s.genesis[i].Incarnation = 0 // left open in the settings
		}
		s.nodes = append(s.nodes, &node{self: m, drift: int64(s.random.IntN(90)) - 45})
	}
	for i := range s.nodes {
		s.boot(i)
	}
	return s
}

func (s *sim) boot(i int) {
	n := s.nodes[i]
	n.r = New(Config{
		Self: n.self, InitialVoters: s.genesis, HeartbeatInterval: simHeartbeat, MinElectionTimeout: simElection, Seed: s.random.Uint64(),
	})
	n.r.rules = s.rules.replica
	n.up, n.pause, n.applied, n.sum = true, 0, 0, 0
	hard := n.hard
	if s.rules.forgetVote {
		hard.Vote = ""
	}
	s.step(i, Start{Now: n.clock(s.now), HardState: hard, Snapshot: n.snap, Entries: slices.Clone(n.log)})
}

// crash keeps what was synced and, if flushed, what was written but not reported.
func (s *sim) crash(i int, flushed bool) {
	n := s.nodes[i]
	for flushed && len(n.queue) > 0 && !s.rules.noSyncWait {
		n.sync()
	}
	if len(n.queue) > 0 && n.queue[0].Snapshot != nil && s.random.IntN(2) == 0 {
		// The store writes such a batch in several parts.
		n.queue[0].Snapshot, n.queue[0].Entries = nil, nil
		n.sync()
	}
	n.queue, n.up, n.slow = nil, false, 0
}

func (n *node) sync() {
	p := n.queue[0]
	n.queue = n.queue[1:]
	if p.HardState != nil {
		n.hard = *p.HardState
	}
	if p.TruncateFrom > 0 {
		n.log = slices.DeleteFunc(n.log, func(e Entry) bool { return e.Index >= p.TruncateFrom })
	}
	if p.Snapshot != nil {
		n.snap = *p.Snapshot
		n.log = slices.DeleteFunc(n.log, func(e Entry) bool { return e.Index <= n.snap.Index })
	}
	n.log = append(n.log, p.Entries...)
	if err := CheckEntries(n.log, n.snap.Index, n.snap.Term, n.hard.Term); err != nil {
		fail("disk of %s: %v", n.self.Name, err)
	}
}

func (s *sim) step(i int, ev Event) {
	n := s.nodes[i]
	var early []Persisted
	defer func() {
		for _, p := range early {
			s.step(i, p)
		}
	}()
	members := n.r.Members() // in force when the step commits; it may change the group after that
	effects := n.r.Step(ev)
	if n.r.role == leader {
		s.checkSynced(n, members)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			s.send(i, e)
		case Persist:
			n.queue = append(n.queue, e)
			if s.rules.noSyncWait {
				early = append(early, Persisted{Now: n.clock(s.now), Seq: e.Seq})
			}
		case Apply:
			s.apply(n, e.Entries)
		case Restore:
			s.restore(n, e.Snapshot)
		case Halt:
			fail("%s halted: %v", n.self.Name, e.Err)
		}
	}
}

func (s *sim) apply(n *node, entries []Entry) {
	for _, e := range entries {
		if e.Index != n.applied+1 {
			fail("%s applied %d after %d", n.self.Name, e.Index, n.applied)
		}
		d := binary.LittleEndian.AppendUint64(e.Data[:len(e.Data):len(e.Data)], n.sum)
		n.applied, n.sum = e.Index, xxhash.Sum64(binary.LittleEndian.AppendUint64(d, e.Term))
		if e.Index == uint64(len(s.sums)) {
			s.sums, s.terms = append(s.sums, n.sum), append(s.terms, e.Term)
		}
		if s.sums[e.Index] != n.sum {
			fail("committed entry %d changed at %s", e.Index, n.self.Name)
		}
	}
}

// checkSynced requires what a leader has newly committed on the disks of a
// majority of its voters. One voter may have lost its disk since it
// acknowledged.
func (s *sim) checkSynced(n *node, members []pollenlatch.Member) {
	index, term := n.r.commit, n.r.log.termAt(n.r.commit)
	if index <= s.committed {
		return
	}
	s.committed = index
	have := 0
	for _, o := range s.nodes {
		named := slices.ContainsFunc(members, func(m pollenlatch.Member) bool { return m.Name == o.self.Name })
		if named && (o.snap.Index >= index || slices.ContainsFunc(o.log, func(x Entry) bool {
			return x.Index == index && x.Term == term
		})) {
			have++
		}
	}
	if s.wiped >= 0 {
		have++
	}
	if have <= len(members)/2 {
		fail("entry %d is committed at %s but synced by %d of %d voters", index, n.self.Name, have, len(members))
	}
}

func (s *sim) restore(n *node, snap Snapshot) {
	if snap.Index < n.applied || snap.Index >= uint64(len(s.sums)) {
		fail("%s restored %d after %d", n.self.Name, snap.Index, n.applied)
	}
	n.applied, n.sum = snap.Index, binary.LittleEndian.Uint64(snap.Data)
	if s.sums[snap.Index] != n.sum || s.terms[snap.Index] != snap.Term || len(snap.Data) != simPadding {
		fail("snapshot %d differs at %s", snap.Index, n.self.Name)
	}
}

func (s *sim) send(from int, e Send) {
	b, err := pollenlatch.Encode(&e.Message)
	if err != nil {
		fail("encode: %v", err)
	}
	to := slices.IndexFunc(s.nodes, func(n *node) bool { return n.self.Name == e.To.Name })
	copies := 1
	if s.lossy {
		switch s.random.IntN(40) {
		case 0, 1:
			copies = 0
		case 2:
			copies = 2
		}
	}
	for range copies {
		var m Message
		if err := pollenlatch.Decode(b, &m); err != nil {
			fail("%s sent a message that cannot be decoded: %v", s.nodes[from].self.Name, err)
		}
		delay := time.Duration(s.random.IntN(15)) * time.Millisecond
		if s.lossy && s.random.IntN(50) == 0 {
			delay += time.Duration(s.random.IntN(500)) * time.Millisecond
		}
		s.packets = append(s.packets, packet{s.now + delay, from, to, m})
	}
}

// run lets time pass and checks the invariants after every step.
func (s *sim) run(steps int) {
	for range steps {
		s.now += simStep
		due := s.packets
		s.packets = nil
		for _, p := range due {
			n := s.nodes[p.to]
			switch {
			case p.due > s.now || (n.up && n.pause > s.now):
				s.packets = append(s.packets, p)
			case n.up && !s.cut[[2]int{p.from, p.to}]:
				s.step(p.to, Receive{Now: n.clock(s.now), From: s.nodes[p.from].self.Name, Message: p.m})
				s.check()
			}
		}
		for _, i := range s.random.Perm(len(s.nodes)) {
			n := s.nodes[i]
			if !n.up || n.pause > s.now {
				continue
			}
			if len(n.queue) > 0 && n.slow <= s.now && s.random.IntN(3) > 0 {
				seq := n.queue[0].Seq
				n.sync()
				if !s.rules.noSyncWait {
					s.step(i, Persisted{Now: n.clock(s.now), Seq: seq})
					s.check()
				}
			}
			s.step(i, Tick{n.clock(s.now)})
			s.check()
		}
		s.repair()
	}
}

// check holds the invariants on leaders: one in each term, and none of an
// earlier term that still may act.
func (s *sim) check() {
	for _, n := range s.nodes {
		if !n.up || n.r.role != leader {
			continue
		}
		term := n.r.hard.Term
		id := idOf(n.self)
		if other, ok := s.leaders[term]; ok && other != id {
			fail("term %d has two leaders: %v and %v", term, other, id)
		}
		s.leaders[term] = id
		for _, o := range s.nodes {
			if o.up && o != n && o.r.hard.Term < term && o.r.Leading(o.clock(s.now)) {
				fail("%s leads in term %d although %s was elected in term %d", o.self.Name, o.r.hard.Term, n.self.Name, term)
			}
		}
	}
}

// wipe replaces the folder of a voter, at most one at a time until the group
// is whole again.
func (s *sim) wipe(i int) bool {
	l := s.lead()
	if s.wiped >= 0 || l == nil || l == s.nodes[i] {
		return false
	}
	s.crash(i, false)
	s.nextInc++
	*s.nodes[i] = node{self: pollenlatch.Member{Name: s.nodes[i].self.Name, Incarnation: s.nextInc}, drift: s.nodes[i].drift}
	s.wiped = i
	s.boot(i)
	return true
}

// repair asks the leader to replace the lost voter until it has.
func (s *sim) repair() {
	l := s.lead()
	if s.wiped < 0 || l == nil || l.pause > s.now {
		return
	}
	self := s.nodes[s.wiped].self
	g := l.r.log.group()
	if slices.Contains(g.members, self) && len(g.members) == len(s.nodes) && l.r.CommitIndex() >= g.index {
		s.wiped = -1
		return
	}
	if l.r.leading.change == nil {
		want := slices.Clone(g.members)
		if _, ok := byName(want, self.Name); ok {
			want = without(want, self)
		}
		s.step(slices.Index(s.nodes, l), ChangeMembership{Now: l.clock(s.now), ID: 1, Members: append(want, self)})
	}
}

// lead returns the leader of the highest term, if it may act.
func (s *sim) lead() *node {
	var l *node
	for _, n := range s.nodes {
		if n.up && n.r.Leading(n.clock(s.now)) {
			l = n
		}
	}
	return l
}

func (s *sim) propose(i, size int) {
	n := s.nodes[i]
	if !n.up || n.pause > s.now {
		return
	}
	s.nextID++
	data := [][]byte{fmt.Appendf(nil, "entry %d", s.nextID), make([]byte, 1+s.random.IntN(size))}
	s.step(i, Propose{Now: n.clock(s.now), ID: s.nextID, Data: data})
}

func (s *sim) compact(i int) {
	n := s.nodes[i]
	if !n.up || n.pause > s.now {
		return
	}
	data := binary.LittleEndian.AppendUint64(make([]byte, 0, simPadding), n.sum)
	s.step(i, Compact{Now: n.clock(s.now), Index: n.applied, Data: data[:simPadding]})
}

// converge ends all faults and requires that every voter applies everything
// that was ever applied, and a new entry.
func (s *sim) converge() {
	clear(s.cut)
	s.lossy = false
	for i, n := range s.nodes {
		n.pause, n.slow = 0, 0
		if !n.up {
			s.boot(i)
		}
	}
	const limit = 4000 // steps
	want := uint64(0)
	for range limit {
		s.run(1)
		l := s.lead()
		if l == nil || s.wiped >= 0 {
			continue
		}
		if want == 0 || l.r.LastIndex() < want {
			s.propose(slices.Index(s.nodes, l), 10)
			want = l.r.LastIndex()
		}
		if !slices.ContainsFunc(s.nodes, func(n *node) bool {
			return n.applied < want || n.applied+1 < uint64(len(s.sums))
		}) {
			return
		}
	}
	state := ""
	for _, n := range s.nodes {
		state += fmt.Sprintf("; %s applied %d, role %d in term %d, voters %v", n.self.Name, n.applied, n.r.role, n.r.hard.Term, n.r.Members())
	}
	fail("no agreement after the faults ended%s", state)
}
