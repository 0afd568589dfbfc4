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
	simStep          = 5 * time.Millisecond
	simHeartbeat     = 40 * time.Millisecond
	simElection      = 120 * time.Millisecond
	simSnapshotBytes = 150 << 10 // large enough for several chunks
)

// violation describes an invariant that does not hold. The sim panics with it.
type violation string

func failf(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// simFaults are faults that break the protocol or its requirements on the caller.
type simFaults struct {
	protocol         protocolFaults
	forgetVote       bool // a restart forgets the vote
	reportBeforeSync bool // Persisted is reported before the disk has synced
}

// node simulates one voter: its process, its disk and its state machine.
type node struct {
	self             pollenlatch.Member
	r                *Replica
	running          bool
	pausedUntil      time.Duration // the process is paused until then
	clockDrift       int64         // in 1/10000
	diskStalledUntil time.Duration // the disk syncs nothing until then
	hardState        HardState     // synced
	snapshot         Snapshot
	log              []Entry
	unsynced         []Persist // writes that are not synced
	applied          uint64
	checksum         uint64 // of all applied entries, as the state of the state machine
}

func (n *node) clock(now time.Duration) pollenlatch.MonoTime {
	return pollenlatch.MonoTime(int64(now) + int64(now)/10000*n.clockDrift + 1)
}

type packet struct {
	due      time.Duration
	from, to int
	m        Message
}

// sim runs replicas in simulated time, on a network and disks with faults.
type sim struct {
	faults          simFaults
	random          *rand.Rand
	now             time.Duration
	nodes           []*node
	initialVoters   []pollenlatch.Member
	packets         []packet
	cut             map[[2]int]bool // {from, to}: packets are dropped
	lossy           bool
	leaders         map[uint64]memberID // by term
	checksums       []uint64            // of the entries up to each index, as first applied anywhere
	terms           []uint64            // of the same entries
	maxCommitted    uint64              // highest index that any leader has committed
	nextID          uint64
	nextIncarnation pollenlatch.Incarnation
	wipedNode       int // node whose folder was replaced and that is not a voter again yet; -1 is none
}

func newSim(size int, seed uint64, faults simFaults) *sim {
	s := &sim{
		faults: faults, random: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{}, lossy: true,
		leaders: map[uint64]memberID{}, checksums: []uint64{0}, terms: []uint64{0}, nextIncarnation: 100, wipedNode: -1,
	}
	s.initialVoters = voters("abcde"[:size])
	for i, m := range s.initialVoters {
		if seed%2 == 0 {
			s.initialVoters[i].Incarnation = 0 // not specified in the settings
		}
		s.nodes = append(s.nodes, &node{self: m, clockDrift: int64(s.random.IntN(90)) - 45})
	}
	for i := range s.nodes {
		s.boot(i)
	}
	return s
}

func (s *sim) boot(i int) {
	n := s.nodes[i]
	n.r = New(Config{
		Self: n.self, InitialVoters: s.initialVoters, HeartbeatInterval: simHeartbeat, MinElectionTimeout: simElection, Seed: s.random.Uint64(),
	})
	n.r.faults = s.faults.protocol
	n.running, n.pausedUntil, n.applied, n.checksum = true, 0, 0, 0
	hard := n.hardState
	if s.faults.forgetVote {
		hard.Vote = ""
	}
	s.step(i, Start{Now: n.clock(s.now), HardState: hard, Snapshot: n.snapshot, Entries: slices.Clone(n.log)})
}

// crash stops a node. Its disk keeps what was synced and, if flushWrites is set, also
// the writes that were not reported as synced.
func (s *sim) crash(i int, flushWrites bool) {
	n := s.nodes[i]
	for flushWrites && len(n.unsynced) > 0 && !s.faults.reportBeforeSync {
		n.sync()
	}
	if len(n.unsynced) > 0 && n.unsynced[0].Snapshot != nil && s.random.IntN(2) == 0 {
		// The store writes a batch with a snapshot in several parts.
		n.unsynced[0].Snapshot, n.unsynced[0].Entries = nil, nil
		n.sync()
	}
	n.unsynced, n.running, n.diskStalledUntil = nil, false, 0
}

func (n *node) sync() {
	p := n.unsynced[0]
	n.unsynced = n.unsynced[1:]
	if p.HardState != nil {
		n.hardState = *p.HardState
	}
	if p.TruncateFrom > 0 {
		n.log = slices.DeleteFunc(n.log, func(e Entry) bool { return e.Index >= p.TruncateFrom })
	}
	if p.Snapshot != nil {
		n.snapshot = *p.Snapshot
		n.log = slices.DeleteFunc(n.log, func(e Entry) bool { return e.Index <= n.snapshot.Index })
	}
	n.log = append(n.log, p.Entries...)
	if err := CheckEntries(n.log, n.snapshot.Index, n.snapshot.Term, n.hardState.Term); err != nil {
		failf("invalid log on the disk of %s: %v", n.self.Name, err)
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
	members := n.r.Members() // in force when the step commits; the step may change them afterwards
	effects := n.r.Step(ev)
	if n.r.role == leader {
		s.checkCommitSynced(n, members)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			s.send(i, e)
		case Persist:
			n.unsynced = append(n.unsynced, e)
			if s.faults.reportBeforeSync {
				early = append(early, Persisted{Now: n.clock(s.now), Seq: e.Seq})
			}
		case Apply:
			s.apply(n, e.Entries)
		case Restore:
			s.restore(n, e.Snapshot)
		case Halt:
			failf("%s halted: %v", n.self.Name, e.Err)
		}
	}
}

func (s *sim) apply(n *node, entries []Entry) {
	for _, e := range entries {
		if e.Index != n.applied+1 {
			failf("%s applied entry %d after %d", n.self.Name, e.Index, n.applied)
		}
		input := binary.LittleEndian.AppendUint64(e.Data[:len(e.Data):len(e.Data)], n.checksum)
		n.applied, n.checksum = e.Index, xxhash.Sum64(binary.LittleEndian.AppendUint64(input, e.Term))
		if e.Index == uint64(len(s.checksums)) {
			s.checksums, s.terms = append(s.checksums, n.checksum), append(s.terms, e.Term)
		}
		if s.checksums[e.Index] != n.checksum {
			failf("committed entry %d is different on %s", e.Index, n.self.Name)
		}
	}
}

// checkCommitSynced fails unless the last committed entry of a leader is on the disks
// of a majority of its voters. A wiped node counts, because it may have lost its
// disk after it acknowledged the entry.
func (s *sim) checkCommitSynced(n *node, members []pollenlatch.Member) {
	index, term := n.r.commit, n.r.log.termAt(n.r.commit)
	if index <= s.maxCommitted {
		return
	}
	s.maxCommitted = index
	synced := 0
	for _, o := range s.nodes {
		isVoter := slices.ContainsFunc(members, func(m pollenlatch.Member) bool { return m.Name == o.self.Name })
		if isVoter && (o.snapshot.Index >= index || slices.ContainsFunc(o.log, func(x Entry) bool {
			return x.Index == index && x.Term == term
		})) {
			synced++
		}
	}
	if s.wipedNode >= 0 {
		synced++
	}
	if synced <= len(members)/2 {
		failf("entry %d was committed by %s, but synced by only %d of %d voters", index, n.self.Name, synced, len(members))
	}
}

func (s *sim) restore(n *node, snap Snapshot) {
	if snap.Index < n.applied || snap.Index >= uint64(len(s.checksums)) {
		failf("%s restored snapshot %d after entry %d", n.self.Name, snap.Index, n.applied)
	}
	n.applied, n.checksum = snap.Index, binary.LittleEndian.Uint64(snap.Data)
	if s.checksums[snap.Index] != n.checksum || s.terms[snap.Index] != snap.Term || len(snap.Data) != simSnapshotBytes {
		failf("snapshot %d differs from the applied entries on %s", snap.Index, n.self.Name)
	}
}

func (s *sim) send(from int, e Send) {
	b, err := pollenlatch.Encode(&e.Message)
	if err != nil {
		failf("cannot encode a message: %v", err)
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
			failf("%s sent a message that cannot be decoded: %v", s.nodes[from].self.Name, err)
		}
		delay := time.Duration(s.random.IntN(15)) * time.Millisecond
		if s.lossy && s.random.IntN(50) == 0 {
			delay += time.Duration(s.random.IntN(500)) * time.Millisecond
		}
		s.packets = append(s.packets, packet{s.now + delay, from, to, m})
	}
}

// run advances the simulated time and checks the invariants after every event.
func (s *sim) run(steps int) {
	for range steps {
		s.now += simStep
		due := s.packets
		s.packets = nil
		for _, p := range due {
			n := s.nodes[p.to]
			switch {
			case p.due > s.now || (n.running && n.pausedUntil > s.now):
				s.packets = append(s.packets, p)
			case n.running && !s.cut[[2]int{p.from, p.to}]:
				s.step(p.to, Receive{Now: n.clock(s.now), From: s.nodes[p.from].self.Name, Message: p.m})
				s.checkLeaders()
			}
		}
		for _, i := range s.random.Perm(len(s.nodes)) {
			n := s.nodes[i]
			if !n.running || n.pausedUntil > s.now {
				continue
			}
			if len(n.unsynced) > 0 && n.diskStalledUntil <= s.now && s.random.IntN(3) > 0 {
				seq := n.unsynced[0].Seq
				n.sync()
				if !s.faults.reportBeforeSync {
					s.step(i, Persisted{Now: n.clock(s.now), Seq: seq})
					s.checkLeaders()
				}
			}
			s.step(i, Tick{n.clock(s.now)})
			s.checkLeaders()
		}
		s.repairWiped()
	}
}

// checkLeaders checks that each term has at most one leader, and that no leader of an
// earlier term may still act.
func (s *sim) checkLeaders() {
	for _, n := range s.nodes {
		if !n.running || n.r.role != leader {
			continue
		}
		term := n.r.hardState.Term
		id := idOf(n.self)
		if other, ok := s.leaders[term]; ok && other != id {
			failf("term %d has two leaders, %v and %v", term, other, id)
		}
		s.leaders[term] = id
		for _, o := range s.nodes {
			if o.running && o != n && o.r.hardState.Term < term && o.r.Leading(o.clock(s.now)) {
				failf("%s leads in term %d although %s was elected in term %d", o.self.Name, o.r.hardState.Term, n.self.Name, term)
			}
		}
	}
}

// wipe replaces the data folder of a voter with an empty one and a new incarnation.
// It returns false for the leader, and until the previous wiped node is a voter again.
func (s *sim) wipe(i int) bool {
	l := s.activeLeader()
	if s.wipedNode >= 0 || l == nil || l == s.nodes[i] {
		return false
	}
	s.crash(i, false)
	s.nextIncarnation++
	*s.nodes[i] = node{self: pollenlatch.Member{Name: s.nodes[i].self.Name, Incarnation: s.nextIncarnation}, clockDrift: s.nodes[i].clockDrift}
	s.wipedNode = i
	s.boot(i)
	return true
}

// repairWiped requests from the leader that the wiped node becomes a voter again,
// until that is committed.
func (s *sim) repairWiped() {
	l := s.activeLeader()
	if s.wipedNode < 0 || l == nil || l.pausedUntil > s.now {
		return
	}
	self := s.nodes[s.wipedNode].self
	ms := l.r.log.membership()
	if slices.Contains(ms.members, self) && len(ms.members) == len(s.nodes) && l.r.CommitIndex() >= ms.index {
		s.wipedNode = -1
		return
	}
	if l.r.leaderState.pendingChange == nil {
		want := slices.Clone(ms.members)
		if _, ok := memberByName(want, self.Name); ok {
			want = withoutMember(want, self)
		}
		s.step(slices.Index(s.nodes, l), ChangeMembership{Now: l.clock(s.now), ID: 1, Members: append(want, self)})
	}
}

// activeLeader returns the leader that may act, or nil.
func (s *sim) activeLeader() *node {
	var l *node
	for _, n := range s.nodes {
		if n.running && n.r.Leading(n.clock(s.now)) {
			l = n
		}
	}
	return l
}

func (s *sim) propose(i, size int) {
	n := s.nodes[i]
	if !n.running || n.pausedUntil > s.now {
		return
	}
	s.nextID++
	data := [][]byte{fmt.Appendf(nil, "entry %d", s.nextID), make([]byte, 1+s.random.IntN(size))}
	s.step(i, Propose{Now: n.clock(s.now), ID: s.nextID, Data: data})
}

func (s *sim) compact(i int) {
	n := s.nodes[i]
	if !n.running || n.pausedUntil > s.now {
		return
	}
	data := binary.LittleEndian.AppendUint64(make([]byte, 0, simSnapshotBytes), n.checksum)
	s.step(i, Compact{Now: n.clock(s.now), Index: n.applied, Data: data[:simSnapshotBytes]})
}

// converge ends all faults and fails unless every voter applies all entries that any
// voter has applied, and a new one.
func (s *sim) converge() {
	clear(s.cut)
	s.lossy = false
	for i, n := range s.nodes {
		n.pausedUntil, n.diskStalledUntil = 0, 0
		if !n.running {
			s.boot(i)
		}
	}
	const maxSteps = 4000
	want := uint64(0)
	for range maxSteps {
		s.run(1)
		l := s.activeLeader()
		if l == nil || s.wipedNode >= 0 {
			continue
		}
		if want == 0 || l.r.LastIndex() < want {
			s.propose(slices.Index(s.nodes, l), 10)
			want = l.r.LastIndex()
		}
		if !slices.ContainsFunc(s.nodes, func(n *node) bool {
			return n.applied < want || n.applied+1 < uint64(len(s.checksums))
		}) {
			return
		}
	}
	states := ""
	for _, n := range s.nodes {
		states += fmt.Sprintf("; %s applied %d, role %d in term %d, voters %v", n.self.Name, n.applied, n.r.role, n.r.hardState.Term, n.r.Members())
	}
	failf("the voters did not converge after the faults ended%s", states)
}
