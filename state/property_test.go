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
// line sets them. It takes about 100 steps until hand-overs, releases and
// cancellations affect the same shards.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.steps": "100"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

const modelBits = 1 // few ranges, so that commands affect the same shards

var modelDCs = []string{"nadia", "howrah"}

var modelKeys = []string{"k0", "k1", "k2", "k3"}

// sentRelease is a release that an owner sent when no request of the shard ran
// there any more.
type sentRelease struct {
	shard pollenlatch.Shard
	fence pollenlatch.Fence
	lease pollenlatch.Lease
	to    pollenlatch.InstanceID
}

// model keeps track, independently of the state machine, of the owners that have
// stopped serving their shards.
type model struct {
	h         *harness
	log       []pollenlatch.Command
	releases  []sentRelease                      // may take effect at any later time
	pending   []pollenlatch.AssignItem           // items proposed but not applied yet
	stopped   pollenlatch.Set[pollenlatch.Shard] // frozen and released by the present owner
	fences    map[string]pollenlatch.Fence       // highest fence under which a key was owned
	verdicts  map[string]pollenlatch.Verdict     // by number and text
	reloaded  *State                             // state after the same log, encoded and loaded at times
	snapshots map[*State][]byte                  // earlier states with their encodings at the time
	evacuated map[string]bool                    // data centres
	ordered   pollenlatch.Version                // version of the newest order that had an effect
}

func (m *model) apply(c pollenlatch.Command) {
	m.log = append(m.log, c)
	old := m.h.state
	res := m.h.apply(c)
	m.reloaded, _ = m.reloaded.Apply(m.h.state.Version(), &c)
	for _, k := range modelKeys {
		m.checkKey(old, m.h.state, k)
	}
	m.checkChanges(old, m.h.state)
	m.checkEvacuated()
	for _, i := range old.Instances() {
		if lease := m.h.lease(i.ID); i.Alive() && lease != i.Lease {
			require.True(m.h.t, c.Expire != nil && c.Expire.Instance == i.ID && c.Expire.Lease == i.Lease, "lease %d ended without its Expire", i.Lease)
		}
	}
	for shard := range m.stopped {
		if o, ok := m.h.state.ShardOwner(shard); !ok || !o.Frozen() {
			delete(m.stopped, shard)
		}
	}
	if t := c.Ticket; t != nil {
		id := fmt.Sprint(t.Number, t.Text)
		if v, ok := m.verdicts[id]; ok {
			require.Equal(m.h.t, v, *res.Verdict)
		} else if t.Number == old.NextTicket() {
			m.verdicts[id] = *res.Verdict
		}
	}
}

// checkChanges checks that EachChangedRange lists every range that a command
// changed.
func (m *model) checkChanges(old, now *State) {
	for _, svc := range now.Services() {
		listed := make(pollenlatch.Set[pollenlatch.Shard])
		ok := now.EachChangedRange(svc.Name, old.Version(), func(o pollenlatch.Owner) {
			require.Equal(m.h.t, m.h.owner(o.Shard), o)
			listed[o.Shard] = struct{}{}
		})
		_, existed := old.Service(svc.Name)
		require.Equal(m.h.t, existed, ok, "changes of service %s", svc.Name)
		if !ok {
			continue
		}
		for r := range svc.NumRanges() {
			shard := pollenlatch.Shard{Service: svc.Name, Range: pollenlatch.Range(r)}
			before, _ := old.ShardOwner(shard)
			after, _ := now.ShardOwner(shard)
			require.True(m.h.t, before == after || listed.Has(shard), "a change of %v is not listed", shard)
		}
	}
}

// checkEvacuated checks that an instance is evacuated if and only if its data centre is,
// also in the lists of endpoints.
func (m *model) checkEvacuated() {
	for _, i := range m.h.state.Instances() {
		require.Equal(m.h.t, m.evacuated[i.DC], i.Evacuated, "instance %s in %s", i.Name, i.DC)
	}
	for _, i := range m.h.state.Endpoints("listing") {
		recorded, _ := m.h.state.Instance(i.ID)
		require.Equal(m.h.t, recorded, i)
	}
}

// evacuate orders or withdraws an evacuation, sometimes with a delayed order.
func (m *model) evacuate(t *rapid.T) {
	e := &pollenlatch.Evacuate{
		DC: rapid.SampledFrom(modelDCs).Draw(t, "dc"), Finish: rapid.Bool().Draw(t, "finish"),
		Known: m.h.state.Version() - pollenlatch.Version(rapid.IntRange(0, 3).Draw(t, "delay")),
	}
	if e.Known >= m.ordered && m.evacuated[e.DC] == e.Finish {
		m.evacuated[e.DC], m.ordered = !e.Finish, m.h.state.Version()+1
	}
	m.apply(pollenlatch.Command{Evacuate: e})
}

// announce announces an endpoint of an instance.
func (m *model) announce(t *rapid.T) {
	id := drawInstanceID(t)
	m.apply(pollenlatch.Command{Announce: &pollenlatch.Announce{
		Instance: id, Lease: m.h.lease(id), Endpoint: pollenlatch.Endpoint{Service: "listing", Ready: true},
	}})
}

// checkKey checks that a command did not decrease a key's fence, and moved the key
// only from an owner that had lost its lease or stopped serving it.
func (m *model) checkKey(old, now *State, key string) {
	oldOwner, _ := old.Owner("listing", key)
	newOwner, ok := now.Owner("listing", key)
	if !ok {
		return
	}
	if newOwner.Instance != 0 {
		i, _ := now.Instance(newOwner.Instance)
		require.True(m.h.t, i.Alive(), "owner of %s has no lease", key)
		require.GreaterOrEqual(m.h.t, newOwner.Fence, m.fences[key], "fence of %s decreased", key)
		m.fences[key] = newOwner.Fence
	}
	if oldOwner.Instance == newOwner.Instance {
		return
	}
	if newOwner.Instance != 0 {
		require.Greater(m.h.t, newOwner.Fence, oldOwner.Fence, "new owner of %s has no higher fence", key)
	}
	if oldOwner.Instance != 0 {
		before, _ := old.Instance(oldOwner.Instance)
		after, _ := now.Instance(oldOwner.Instance)
		ended := before.Lease != after.Lease
		require.True(m.h.t, ended || m.stopped.Has(oldOwner.Shard), "%s moved from %d to %d, but %d still serves it", key, oldOwner.Instance, newOwner.Instance, oldOwner.Instance)
		require.True(m.h.t, ended || oldOwner.Next == newOwner.Instance, "%s moved to %d, but its idempotency records were handed over to %d", key, newOwner.Instance, oldOwner.Next)
	}
}

func (m *model) drawShard(t *rapid.T) pollenlatch.Shard {
	if rapid.Bool().Draw(t, "hot") {
		return keyShard(rapid.SampledFrom(modelKeys).Draw(t, "key"), modelBits)
	}
	return rangeShard(pollenlatch.Range(rapid.IntRange(0, 1<<modelBits).Draw(t, "range")))
}

func drawInstanceID(t *rapid.T) pollenlatch.InstanceID {
	return pollenlatch.InstanceID(rapid.IntRange(0, 3).Draw(t, "instance"))
}

// drawFence draws the fence that a proposer expects: mostly the present one,
// sometimes a stale one.
func (m *model) drawFence(t *rapid.T, shard pollenlatch.Shard) pollenlatch.Fence {
	o, ok := m.h.state.ShardOwner(shard)
	if !ok {
		o, _ = m.h.state.ShardOwner(rangeShard(shard.Range))
	}
	return o.Fence - pollenlatch.Fence(rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "stale"))
}

func (m *model) join(t *rapid.T) {
	n := rapid.IntRange(1, 3).Draw(t, "name")
	m.apply(pollenlatch.Command{Join: &pollenlatch.Join{
		Name:        fmt.Sprint("i", n),
		DC:          rapid.SampledFrom(modelDCs).Draw(t, "dc"),
		Incarnation: pollenlatch.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")),
	}})
}

func (m *model) expire(t *rapid.T) {
	id := drawInstanceID(t)
	stale := pollenlatch.Lease(rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "late"))
	m.apply(pollenlatch.Command{Expire: &pollenlatch.Expire{Instance: id, Lease: m.h.lease(id) - stale}})
}

func (m *model) freeze(t *rapid.T) {
	shard := m.drawShard(t)
	m.apply(pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: []pollenlatch.FreezeItem{
		{Shard: shard, To: drawInstanceID(t), ExpectedFence: m.drawFence(t, shard)},
	}}})
}

// cancel cancels the hand-over of a shard if there is one.
func (m *model) cancel(t *rapid.T) {
	o, _ := m.h.state.ShardOwner(m.drawShard(t))
	if o.Frozen() {
		m.apply(pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: []pollenlatch.FreezeItem{
			{Shard: o.Shard, To: o.Instance, ExpectedFence: o.Fence},
		}}})
	}
}

// restartHandOver cancels a hand-over that was released and starts it again, so
// that the old release could wrongly be used for it.
func (m *model) restartHandOver(t *rapid.T) {
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

func (m *model) owner(shard pollenlatch.Shard) pollenlatch.Owner {
	o, _ := m.h.state.ShardOwner(shard)
	return o
}

// release stops the owner of a frozen shard, as the owner's daemon does.
func (m *model) release(t *rapid.T) {
	o, ok := m.h.state.ShardOwner(m.drawShard(t))
	if !ok || !o.Frozen() {
		return
	}
	m.stopped[o.Shard] = struct{}{}
	m.releases = append(m.releases, sentRelease{o.Shard, o.Fence, m.h.lease(o.Instance), o.Next})
}

// assign proposes to assign a shard that may have an owner, as a leader with an
// outdated state does.
func (m *model) assign(t *rapid.T) {
	shard := m.drawShard(t)
	m.propose(t, pollenlatch.AssignItem{Shard: shard, To: drawInstanceID(t), ExpectedFence: m.drawFence(t, shard)})
}

// completeHandOver proposes the assignment after a release, mostly a recent one.
// Some items have another shard of the range, or another target.
func (m *model) completeHandOver(t *rapid.T) {
	if len(m.releases) == 0 {
		return
	}
	newest := max(0, len(m.releases)-3)
	from := rapid.SampledFrom([]int{newest, newest, 0}).Draw(t, "from")
	r := rapid.SampledFrom(m.releases[from:]).Draw(t, "release")
	item := pollenlatch.AssignItem{Shard: r.shard, To: r.to, ExpectedFence: r.fence, ReleasedLease: r.lease}
	if shard := m.drawShard(t); r.shard.Key == "" && shard.Range == r.shard.Range {
		item.Shard = shard
	}
	if item.Key != "" && rapid.Bool().Draw(t, "remove") {
		item.To = 0
	}
	if rapid.IntRange(0, 4).Draw(t, "astray") == 0 {
		item.To = drawInstanceID(t)
	}
	m.propose(t, item)
}

// propose applies an item at once, or later together with others.
func (m *model) propose(t *rapid.T, item pollenlatch.AssignItem) {
	m.pending = append(m.pending, item)
	if rapid.IntRange(0, 3).Draw(t, "more") > 0 {
		m.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: m.pending}})
		m.pending = nil
	}
}

func (m *model) ticket(t *rapid.T) {
	text := rapid.SampledFrom([]string{"one", "two", "bits"}).Draw(t, "text")
	spec := pollenlatch.Spec{Services: []pollenlatch.Service{keyedService(text, 1)}}
	if text == "bits" {
		spec.Services[0] = keyedService("listing", 3)
	}
	m.apply(pollenlatch.Command{Ticket: &pollenlatch.Ticket{
		Number: uint64(rapid.IntRange(0, int(m.h.state.NextTicket())+1).Draw(t, "number")),
		Text:   text,
		Spec:   spec,
	}})
}

func (m *model) reload(t *rapid.T) {
	b, err := m.reloaded.Snapshot()
	require.NoError(t, err)
	m.reloaded, err = Load(b)
	require.NoError(t, err)
	m.snapshots[m.h.state] = b
}

// No sequence of commands, including stale fences and old releases, may move a key
// from an owner that still serves it, decrease a fence, change a verdict, modify an
// earlier state, or give a state that differs after a replay or a snapshot.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			h:         newHarness(t, modelBits, "i1", "i2", "i3"),
			stopped:   pollenlatch.SetOf[pollenlatch.Shard](),
			fences:    make(map[string]pollenlatch.Fence),
			verdicts:  make(map[string]pollenlatch.Verdict),
			snapshots: make(map[*State][]byte),
			evacuated: make(map[string]bool),
		}
		m.reloaded = m.h.state
		start := m.h.state
		t.Repeat(map[string]func(*rapid.T){
			"join": m.join,

			"expire":    m.expire,
			"freeze":    m.freeze,
			"freeze2":   m.freeze,
			"freeze3":   m.freeze,
			"cancel":    m.cancel,
			"again":     m.restartHandOver,
			"release":   m.release,
			"release2":  m.release,
			"assign":    m.assign,
			"assign2":   m.assign,
			"complete":  m.completeHandOver,
			"complete2": m.completeHandOver,
			"ticket":    m.ticket,
			"reload":    m.reload,
			"evacuate":  m.evacuate,
			"announce":  m.announce,
		})
		replay := start
		for i := range m.log {
			replay, _ = replay.Apply(replay.Version()+1, &m.log[i])
		}
		want := snapshot(t, m.h.state)
		require.Equal(t, want, snapshot(t, replay))
		require.Equal(t, want, snapshot(t, m.reloaded))
		for s, b := range m.snapshots {
			require.Equal(t, b, snapshot(t, s), "an earlier state was modified")
		}
	})
}

func snapshot(t require.TestingT, s *State) []byte {
	b, err := s.Snapshot()
	require.NoError(t, err)
	return b
}
