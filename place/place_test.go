package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

const (
	bits  = 7 // 128 ranges, 16 groups
	slots = 4
	run   = 50 * time.Millisecond // so that a server does 80 requests a second
)

// deployment has one numeric service whose moves end at once.
type deployment struct {
	pollenlatch.View
	t       *testing.T
	svc     pollenlatch.Service
	servers []pollenlatch.Instance
	owners  []pollenlatch.Owner
	rates   map[pollenlatch.Range]float64 // requests a second
	now     pollenlatch.MonoTime
	planner Planner
	moved   int
}

func newDeployment(t *testing.T, servers int) *deployment {
	t.Helper()
	d := &deployment{
		t: t, now: pollenlatch.MonoTime(time.Hour),
		svc:   pollenlatch.Service{Name: "s", Keyed: true, NumericKeys: true, RangeBits: bits},
		rates: make(map[pollenlatch.Range]float64),
	}
	for n := range d.svc.NumRanges() {
		d.owners = append(d.owners, pollenlatch.Owner{Shard: pollenlatch.Shard{Service: "s", Range: pollenlatch.Range(n)}})
	}
	for range servers {
		d.join()
	}
	return d
}

func (d *deployment) join() pollenlatch.InstanceID {
	id := pollenlatch.InstanceID(len(d.servers) + 1)
	d.servers = append(d.servers, pollenlatch.Instance{ID: id, Lease: 1, Endpoint: &pollenlatch.Endpoint{
		Service: "s", Slots: slots, Ready: true, Incarnation: pollenlatch.Incarnation(id),
	}})
	return id
}

func (d *deployment) Services() []pollenlatch.Service                    { return []pollenlatch.Service{d.svc} }
func (d *deployment) Endpoints(string) []pollenlatch.Instance            { return d.servers }
func (d *deployment) EachShard(_ string, f func(pollenlatch.Owner) bool) { each(d.owners, f) }

func each(owners []pollenlatch.Owner, f func(pollenlatch.Owner) bool) {
	for _, o := range owners {
		if !f(o) {
			return
		}
	}
}

// loads are the reports of all servers.
func (d *deployment) loads() map[pollenlatch.InstanceID]pollenlatch.Load {
	m := make(map[pollenlatch.InstanceID]pollenlatch.Load)
	for _, i := range d.servers {
		l := pollenlatch.Load{TypicalRun: run}
		for _, o := range d.owners {
			if rate := d.rates[o.Range]; o.Instance == i.ID && rate > 0 {
				l.Rate += rate
				l.Ranges = append(l.Ranges, pollenlatch.RangeLoad{Service: "s", Range: o.Range, Rate: rate})
			}
		}
		m[i.ID] = l
	}
	return m
}

// step plans once and carries out the moves.
func (d *deployment) step() []pollenlatch.Move {
	d.t.Helper()
	moves := d.planner.Plan(pollenlatch.PlanInput{View: d, Loads: d.loads(), Now: d.now})
	seen := make(map[pollenlatch.Range]bool)
	for _, m := range moves {
		o := &d.owners[m.Range]
		require.False(d.t, seen[m.Range], "range %d moves twice in one plan", m.Range)
		seen[m.Range] = true
		require.Equal(d.t, o.Instance, m.From)
		require.Equal(d.t, o.Fence, m.Fence)
		require.NotEqual(d.t, m.From, m.To)
		o.Previous, o.Instance, o.Fence = o.Instance, m.To, o.Fence+1
	}
	d.moved += len(moves)
	d.now = d.now.Add(50 * time.Millisecond)
	return moves
}

// settle plans for a while and returns the number of moves.
func (d *deployment) settle(span time.Duration) int {
	d.t.Helper()
	before := d.moved
	for range int(span / (50 * time.Millisecond)) {
		d.step()
	}
	return d.moved - before
}

func (d *deployment) counts() map[pollenlatch.InstanceID]int {
	m := make(map[pollenlatch.InstanceID]int)
	for _, o := range d.owners {
		m[o.Instance]++
	}
	return m
}

// use returns the share of its slots that a server is asked for.
func (d *deployment) use(id pollenlatch.InstanceID) float64 {
	sum := 0.0
	for _, o := range d.owners {
		if o.Instance == id {
			sum += d.rates[o.Range]
		}
	}
	return sum * run.Seconds() / slots
}

// Every range gets an owner at once, and neighbouring groups different ones.
func TestFirstAssignment(t *testing.T) {
	d := newDeployment(t, 4)
	require.Len(t, d.step(), d.svc.NumRanges())
	for id, n := range d.counts() {
		require.Equal(t, d.svc.NumRanges()/4, n, "server %d", id)
	}
	for n := groupRanges; n < len(d.owners); n += groupRanges {
		require.NotEqual(t, d.owners[n-1].Instance, d.owners[n].Instance, "groups beside range %d", n)
	}
	require.Zero(t, d.settle(10*time.Second), "ranges move without a reason")
}

func TestNoServers(t *testing.T) {
	require.Empty(t, newDeployment(t, 0).step())
}

// Only what a lost or leaving server had moves.
func TestServerEnds(t *testing.T) {
	t.Run("lost", func(t *testing.T) {
		d := newDeployment(t, 4)
		d.step()
		had := d.counts()[2]
		d.servers[1].Lease = 0
		for n := range d.owners {
			if d.owners[n].Instance == 2 {
				d.owners[n].Previous, d.owners[n].Instance = 2, 0
			}
		}
		require.Len(t, d.step(), had)
		require.Zero(t, d.counts()[2])
		require.Zero(t, d.settle(5*time.Second))
	})
	t.Run("leaving", func(t *testing.T) {
		d := newDeployment(t, 4)
		d.step()
		had := d.counts()[2]
		d.servers[1].Endpoint.Draining = true
		moves := d.step()
		require.Len(t, moves, had)
		require.Equal(t, reasonLeaving, moves[0].Reason)
		require.Zero(t, d.counts()[2])
	})
	t.Run("back before its ranges went elsewhere", func(t *testing.T) {
		d := newDeployment(t, 4)
		d.step()
		for n := range d.owners {
			if d.owners[n].Instance == 2 {
				d.owners[n].Previous, d.owners[n].Instance = 2, 0
			}
		}
		for _, m := range d.step() {
			require.EqualValues(t, 2, m.To)
			require.Equal(t, reasonBack, m.Reason)
		}
	})
	t.Run("the target of a hand-over", func(t *testing.T) {
		d := newDeployment(t, 2)
		d.step()
		d.servers[1].Lease = 0
		o := &d.owners[0]
		o.Instance, o.Next = 1, 2
		moves := d.planner.Plan(pollenlatch.PlanInput{View: d, Loads: d.loads(), Now: d.now})
		require.Equal(t, pollenlatch.Move{Shard: o.Shard, From: 1, To: 1, Fence: o.Fence, Reason: reasonCancel}, moves[0])
	})
}

// A server that joins gets about its share, in one plan, and no more later.
func TestServerJoins(t *testing.T) {
	d := newDeployment(t, 3)
	d.step()
	id := d.join()
	d.settle(5 * time.Second)
	require.InDelta(t, d.svc.NumRanges()/4, d.counts()[id], groupRanges)
	require.LessOrEqual(t, d.moved-d.svc.NumRanges(), d.svc.NumRanges()/4+groupRanges, "ranges moved that did not have to")
}

// Unequal load that the servers can carry moves nothing: a move costs callers
// more than it gains.
func TestLoadBelowCapacity(t *testing.T) {
	d := newDeployment(t, 4)
	d.step()
	for _, o := range d.owners {
		if o.Instance == 1 {
			d.rates[o.Range] = 1.8 // 0.72 of the slots
		}
	}
	require.Zero(t, d.settle(10*time.Second))
}

// A server that is asked for too much while others have room gives load away,
// not for a spike shorter than a move costs, and not back and forth.
func TestOverload(t *testing.T) {
	busy := func() *deployment {
		d := newDeployment(t, 4)
		d.step()
		for _, o := range d.owners {
			d.rates[o.Range] = 0.5
			if o.Instance == 1 {
				d.rates[o.Range] = 3.5 // 1.4 of the slots
			}
		}
		return d
	}
	t.Run("a spike", func(t *testing.T) {
		d := busy()
		require.Zero(t, d.settle(confirmTime-100*time.Millisecond))
		clear(d.rates)
		require.Zero(t, d.settle(5*time.Second))
	})
	t.Run("lasting", func(t *testing.T) {
		d := busy()
		moved := d.settle(10 * time.Second)
		require.NotZero(t, moved)
		for id := pollenlatch.InstanceID(1); id <= 4; id++ {
			require.Less(t, d.use(id), startUse+startExcess, "server %d", id)
		}
		require.Less(t, moved, 3*groupRanges, "more moves than the load asks for")
		require.Zero(t, d.settle(10*time.Second))
	})
	t.Run("everywhere", func(t *testing.T) {
		d := newDeployment(t, 4)
		d.step()
		for _, o := range d.owners {
			d.rates[o.Range] = 4
		}
		require.Zero(t, d.settle(10*time.Second), "moves that help nobody")
	})
}

// One busy key that a single server can only just carry is left alone there, and
// what lies beside it goes elsewhere.
func TestBusyKey(t *testing.T) {
	d := newDeployment(t, 4)
	d.step()
	for _, o := range d.owners {
		d.rates[o.Range] = 0.6
	}
	d.rates[0] = 70 // 0.88 of one server's slots
	d.settle(10 * time.Second)
	require.Less(t, d.use(d.owners[0].Instance), 1.05, "the busy key shares its server: %v", d.counts())
	rest := 0.0
	for id := pollenlatch.InstanceID(1); id <= 4; id++ {
		if id != d.owners[0].Instance {
			rest = max(rest, d.use(id))
		}
	}
	require.Less(t, rest, startUse)
}
