package state

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollenlatch"
)

// TestMain fixes the seed and length of the property tests unless the command
// line sets them. Hand-overs, releases and cancellations need about 100 steps
// to meet each other.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.steps": "100"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

const propBits = 1 // few ranges, so that commands meet

var propKeys = []string{"k0", "k1", "k2", "k3"}

// release is what an owner sent when nothing of the shard ran there any more.
type release struct {
	shard pollenlatch.Shard
	fence pollenlatch.Fence
	lease pollenlatch.Lease
	to    pollenlatch.InstanceID
}

// oracle knows which owners have stopped, independently of the state machine.
type oracle struct {
	w        *world
	log      []pollenlatch.Command
	releases []release                          // may be used at any later time
	batch    []pollenlatch.AssignItem           // proposed but not applied yet
	stopped  pollenlatch.Set[pollenlatch.Shard] // frozen and released by the present owner
	fences   map[string]pollenlatch.Fence       // highest fence under which a key was owned
	verdicts map[string]pollenlatch.Verdict     // by number and text
	twin     *State                             // the same log, through snapshots
	copies   map[*State][]byte                  // earlier states as they were
}

func (m *oracle) apply(c pollenlatch.Command) {
	m.log = append(m.log, c)
	old := m.w.s
	res := m.w.apply(c)
	m.twin, _ = m.twin.Apply(m.w.s.Version(), &c)
	for _, k := range propKeys {
		m.checkKey(old, m.w.s, k)
	}
	m.checkChanges(old, m.w.s)
	for _, i := range old.Instances() {
		if l := m.w.lease(i.ID); i.Alive() && l != i.Lease {
			require.True(m.w.t, c.Expire != nil && c.Expire.Instance == i.ID && c.Expire.Lease == i.Lease, "lease %d ended without its Expire", i.Lease)
		}
	}
	for p := range m.stopped {
		if o, ok := m.w.s.ShardOwner(p); !ok || !o.Frozen() {
			delete(m.stopped, p)
		}
	}
	if t := c.Ticket; t != nil {
		id := fmt.Sprint(t.Number, t.Text)
		if v, ok := m.verdicts[id]; ok {
			require.Equal(m.w.t, v, *res.Verdict)
		} else if t.Number == old.NextTicket() {
			m.verdicts[id] = *res.Verdict
		}
	}
}

// checkKey follows one key over one command.
// checkChanges fails when a planner that follows the changes would miss one.
func (m *oracle) checkChanges(old, now *State) {
	for _, svc := range now.Services() {
		listed := make(pollenlatch.Set[pollenlatch.Shard])
		ok := now.EachChangedRange(svc.Name, old.Version(), func(o pollenlatch.Owner) {
			require.Equal(m.w.t, m.w.owner(o.Shard), o)
			listed[o.Shard] = struct{}{}
		})
		_, existed := old.Service(svc.Name)
		require.Equal(m.w.t, existed, ok, "changes of service %s", svc.Name)
		if !ok {
			continue
		}
		for r := range svc.NumRanges() {
			p := pollenlatch.Shard{Service: svc.Name, Range: pollenlatch.Range(r)}
			before, _ := old.ShardOwner(p)
			after, _ := now.ShardOwner(p)
			require.True(m.w.t, before == after || listed.Has(p), "a change of %v is not listed", p)
		}
	}
}

func (m *oracle) checkKey(old, now *State, key string) {
	a, _ := old.Owner("listing", key)
	b, ok := now.Owner("listing", key)
	if !ok {
		return
	}
	if b.Instance != 0 {
		i, _ := now.Instance(b.Instance)
		require.True(m.w.t, i.Alive(), "owner of %s has no lease", key)
		require.GreaterOrEqual(m.w.t, b.Fence, m.fences[key], "fence of %s fell", key)
		m.fences[key] = b.Fence
	}
	if a.Instance == b.Instance {
		return
	}
	if b.Instance != 0 {
		require.Greater(m.w.t, b.Fence, a.Fence, "new owner of %s has no higher fence", key)
	}
	if a.Instance != 0 {
		before, _ := old.Instance(a.Instance)
		after, _ := now.Instance(a.Instance)
		ended := before.Lease != after.Lease
		require.True(m.w.t, ended || m.stopped.Has(a.Shard), "%s moved from %d to %d, but %d still serves it", key, a.Instance, b.Instance, a.Instance)
		require.True(m.w.t, ended || a.Next == b.Instance, "%s moved to %d, but its records went to %d", key, b.Instance, a.Next)
	}
}

func (m *oracle) shard(t *rapid.T) pollenlatch.Shard {
	if rapid.Bool().Draw(t, "hot") {
		return keyed(rapid.SampledFrom(propKeys).Draw(t, "key"), propBits)
	}
	return rng(pollenlatch.Range(rapid.IntRange(0, 1<<propBits).Draw(t, "range")))
}

func instanceID(t *rapid.T) pollenlatch.InstanceID {
	return pollenlatch.InstanceID(rapid.IntRange(0, 3).Draw(t, "instance"))
}

// fenceOf draws the fence that a proposer may believe in: mostly the present.
func (m *oracle) fenceOf(t *rapid.T, p pollenlatch.Shard) pollenlatch.Fence {
	o, ok := m.w.s.ShardOwner(p)
	if !ok {
		o, _ = m.w.s.ShardOwner(rng(p.Range))
	}
	return o.Fence - pollenlatch.Fence(rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "stale"))
}

func (m *oracle) join(t *rapid.T) {
	n := rapid.IntRange(1, 3).Draw(t, "name")
	m.apply(pollenlatch.Command{Join: &pollenlatch.Join{
		Name:        fmt.Sprint("i", n),
		Incarnation: pollenlatch.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")),
	}})
}

func (m *oracle) expire(t *rapid.T) {
	id := instanceID(t)
	late := pollenlatch.Lease(rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "late"))
	m.apply(pollenlatch.Command{Expire: &pollenlatch.Expire{Instance: id, Lease: m.w.lease(id) - late}})
}

func (m *oracle) freeze(t *rapid.T) {
	p := m.shard(t)
	m.apply(pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: []pollenlatch.FreezeItem{
		{Shard: p, To: instanceID(t), ExpectedFence: m.fenceOf(t, p)},
	}}})
}

// cancel ends the hand-over of a shard if there is one.
func (m *oracle) cancel(t *rapid.T) {
	o, _ := m.w.s.ShardOwner(m.shard(t))
	if o.Frozen() {
		m.apply(pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: []pollenlatch.FreezeItem{
			{Shard: o.Shard, To: o.Instance, ExpectedFence: o.Fence},
		}}})
	}
}

// again starts a hand-over once more that was released before, so that the old
// release may wrongly count for it.
func (m *oracle) again(t *rapid.T) {
	if len(m.releases) == 0 {
		return
	}
	r := rapid.SampledFrom(m.releases[max(0, len(m.releases)-2):]).Draw(t, "release")
	for _, to := range []pollenlatch.InstanceID{m.owner(r.shard).Instance, r.to} {
		m.apply(pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: []pollenlatch.FreezeItem{
			{Shard: r.shard, To: to, ExpectedFence: m.owner(r.shard).Fence},
		}}})
	}
}

func (m *oracle) owner(p pollenlatch.Shard) pollenlatch.Owner {
	o, _ := m.w.s.ShardOwner(p)
	return o
}

// release stops the owner of a frozen shard, as the daemon beside it does.
func (m *oracle) release(t *rapid.T) {
	o, ok := m.w.s.ShardOwner(m.shard(t))
	if !ok || !o.Frozen() {
		return
	}
	m.stopped[o.Shard] = struct{}{}
	m.releases = append(m.releases, release{o.Shard, o.Fence, m.w.lease(o.Instance), o.Next})
}

// assign proposes a shard that the leader may believe to have no owner.
func (m *oracle) assign(t *rapid.T) {
	p := m.shard(t)
	m.propose(t, pollenlatch.AssignItem{Shard: p, To: instanceID(t), ExpectedFence: m.fenceOf(t, p)})
}

// complete proposes what a leader may after any release that it ever got.
func (m *oracle) complete(t *rapid.T) {
	if len(m.releases) == 0 {
		return
	}
	newest := max(0, len(m.releases)-3)
	from := rapid.SampledFrom([]int{newest, newest, 0}).Draw(t, "from")
	r := rapid.SampledFrom(m.releases[from:]).Draw(t, "release")
	it := pollenlatch.AssignItem{Shard: r.shard, To: r.to, ExpectedFence: r.fence, ReleasedLease: r.lease}
	if p := m.shard(t); r.shard.Key == "" && p.Range == r.shard.Range {
		it.Shard = p
	}
	if it.Key != "" && rapid.Bool().Draw(t, "remove") {
		it.To = 0
	}
	if rapid.IntRange(0, 4).Draw(t, "astray") == 0 {
		it.To = instanceID(t)
	}
	m.propose(t, it)
}

// propose applies an item at once or together with later ones.
func (m *oracle) propose(t *rapid.T, it pollenlatch.AssignItem) {
	m.batch = append(m.batch, it)
	if rapid.IntRange(0, 3).Draw(t, "more") > 0 {
		m.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: m.batch}})
		m.batch = nil
	}
}

func (m *oracle) ticket(t *rapid.T) {
	text := rapid.SampledFrom([]string{"one", "two", "bits"}).Draw(t, "text")
	spec := pollenlatch.Spec{Services: []pollenlatch.Service{service1(text, 1)}}
	if text == "bits" {
		spec.Services[0] = service1("listing", 3)
	}
	m.apply(pollenlatch.Command{Ticket: &pollenlatch.Ticket{
		Number: uint64(rapid.IntRange(0, int(m.w.s.NextTicket())+1).Draw(t, "number")),
		Text:   text,
		Spec:   spec,
	}})
}

func (m *oracle) reload(t *rapid.T) {
	b, err := m.twin.Snapshot()
	require.NoError(t, err)
	m.twin, err = Load(b)
	require.NoError(t, err)
	m.copies[m.w.s] = b
}

// Any order of commands, with stale fences and old releases among them, must
// never move a key from an owner that still serves it, lower a fence, change a
// verdict, change an earlier copy of the state, or differ between a replay and
// a snapshot.
func TestAnyOrderOfCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &oracle{
			w:        newWorld(t, propBits, "i1", "i2", "i3"),
			stopped:  pollenlatch.SetOf[pollenlatch.Shard](),
			fences:   make(map[string]pollenlatch.Fence),
			verdicts: make(map[string]pollenlatch.Verdict),
			copies:   make(map[*State][]byte),
		}
		m.twin = m.w.s
		start := m.w.s
		t.Repeat(map[string]func(*rapid.T){
			"join": m.join,

			"expire":    m.expire,
			"freeze":    m.freeze,
			"freeze2":   m.freeze,
			"freeze3":   m.freeze,
			"cancel":    m.cancel,
			"again":     m.again,
			"release":   m.release,
			"release2":  m.release,
			"assign":    m.assign,
			"assign2":   m.assign,
			"complete":  m.complete,
			"complete2": m.complete,
			"ticket":    m.ticket,
			"reload":    m.reload,
		})
		replay := start
		for i := range m.log {
			replay, _ = replay.Apply(replay.Version()+1, &m.log[i])
		}
		want := snapshot(t, m.w.s)
		require.Equal(t, want, snapshot(t, replay))
		require.Equal(t, want, snapshot(t, m.twin))
		for s, b := range m.copies {
			require.Equal(t, b, snapshot(t, s), "an earlier copy changed")
		}
	})
}

func snapshot(t require.TestingT, s *State) []byte {
	b, err := s.Snapshot()
	require.NoError(t, err)
	return b
}
