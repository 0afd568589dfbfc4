package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

const (
	testRangeBits = 7 // 128 ranges, 16 groups
	testSlots     = 4
	testRunTime   = 50 * time.Millisecond // a server can run 80 requests a second
)

// deployment has one numeric service, whose moves complete at once. It is the
// planner's view of itself.
type deployment struct {
	pollenlatch.View
	t        *testing.T
	svc      pollenlatch.Service
	servers  []pollenlatch.Instance
	owners   []pollenlatch.Owner
	rates    map[pollenlatch.Range]float64 // requests a second
	now      pollenlatch.MonoTime
	planner  Planner
	numMoves int
}

func newDeployment(t *testing.T, servers int) *deployment {
	t.Helper()
	d := &deployment{
		t: t, now: pollenlatch.MonoTime(time.Hour),
		svc:   pollenlatch.Service{Name: "s", Keyed: true, NumericKeys: true, RangeBits: testRangeBits},
		rates: make(map[pollenlatch.Range]float64),
	}
	for n := range d.svc.NumRanges() {
		d.owners = append(d.owners, pollenlatch.Owner{Shard: pollenlatch.Shard{Service: "s", Range: pollenlatch.Range(n)}})
	}
	for range servers {
		d.addServer()
	}
	return d
}

func (d *deployment) addServer() pollenlatch.InstanceID {
	id := pollenlatch.InstanceID(len(d.servers) + 1)
	d.servers = append(d.servers, pollenlatch.Instance{ID: id, Lease: 1, Endpoint: &pollenlatch.Endpoint{
		Service: "s", Slots: testSlots, Ready: true, Incarnation: pollenlatch.Incarnation(id),
	}})
	return id
}

func (d *deployment) Services() []pollenlatch.Service                    { return []pollenlatch.Service{d.svc} }
func (d *deployment) Endpoints(string) []pollenlatch.Instance            { return d.servers }
func (d *deployment) EachShard(_ string, f func(pollenlatch.Owner) bool) { eachOwner(d.owners, f) }

func eachOwner(owners []pollenlatch.Owner, f func(pollenlatch.Owner) bool) {
	for _, o := range owners {
		if !f(o) {
			return
		}
	}
}

// loads returns the load reports of all servers.
func (d *deployment) loads() map[pollenlatch.InstanceID]pollenlatch.Load {
	m := make(map[pollenlatch.InstanceID]pollenlatch.Load)
	for _, i := range d.servers {
		l := pollenlatch.Load{TypicalRun: testRunTime}
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

// planOnce plans once and executes the moves.
func (d *deployment) planOnce() []pollenlatch.Move {
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
	d.numMoves += len(moves)
	d.now = d.now.Add(50 * time.Millisecond)
	return moves
}

// planFor plans every 50 ms for a time span and returns the number of moves.
func (d *deployment) planFor(span time.Duration) int {
	d.t.Helper()
	movesBefore := d.numMoves
	for range int(span / (50 * time.Millisecond)) {
		d.planOnce()
	}
	return d.numMoves - movesBefore
}

func (d *deployment) rangeCounts() map[pollenlatch.InstanceID]int {
	m := make(map[pollenlatch.InstanceID]int)
	for _, o := range d.owners {
		m[o.Instance]++
	}
	return m
}

// utilisation returns the offered load of a server relative to its slots.
func (d *deployment) utilisation(id pollenlatch.InstanceID) float64 {
	sum := 0.0
	for _, o := range d.owners {
		if o.Instance == id {
			sum += d.rates[o.Range]
		}
	}
	return sum * testRunTime.Seconds() / testSlots
}

// Ranges without an owner would stay unavailable. If neighbouring groups had the
// same owner, it would get all requests of neighbouring busy keys.
func TestFirstAssignment(t *testing.T) {
	d := newDeployment(t, 4)
	require.Len(t, d.planOnce(), d.svc.NumRanges())
	for id, n := range d.rangeCounts() {
		require.Equal(t, d.svc.NumRanges()/4, n, "server %d", id)
	}
	for n := rangesPerGroup; n < len(d.owners); n += rangesPerGroup {
		require.NotEqual(t, d.owners[n-1].Instance, d.owners[n].Instance, "the groups on both sides of range %d have the same owner", n)
	}
	require.Zero(t, d.planFor(10*time.Second), "ranges moved without a reason")
}

func TestNoServers(t *testing.T) {
	require.Empty(t, newDeployment(t, 0).planOnce())
}

// The ranges of a lost or leaving server must move, and no others, since each move
// delays requests.
func TestUnusableServer(t *testing.T) {
	t.Run("lost", func(t *testing.T) {
		d := newDeployment(t, 4)
		d.planOnce()
		owned := d.rangeCounts()[2]
		d.servers[1].Lease = 0
		for n := range d.owners {
			if d.owners[n].Instance == 2 {
				d.owners[n].Previous, d.owners[n].Instance = 2, 0
			}
		}
		require.Len(t, d.planOnce(), owned)
		require.Zero(t, d.rangeCounts()[2])
		require.Zero(t, d.planFor(5*time.Second))
	})
	t.Run("leaving", func(t *testing.T) {
		d := newDeployment(t, 4)
		d.planOnce()
		owned := d.rangeCounts()[2]
		d.servers[1].Endpoint.Draining = true
		moves := d.planOnce()
		require.Len(t, moves, owned)
		require.Equal(t, reasonLeaving, moves[0].Reason)
		require.Zero(t, d.rangeCounts()[2])
	})
	t.Run("evacuated", func(t *testing.T) {
		d := newDeployment(t, 4)
		d.planOnce()
		owned := d.rangeCounts()[2]
		d.servers[1].Evacuated = true
		moves := d.planOnce()
		require.Len(t, moves, owned)
		require.Equal(t, reasonEvacuated, moves[0].Reason)
		require.Zero(t, d.planFor(5*time.Second), "ranges return during the evacuation")
	})
	t.Run("back before its ranges have another owner", func(t *testing.T) {
		d := newDeployment(t, 4)
		d.planOnce()
		for n := range d.owners {
			if d.owners[n].Instance == 2 {
				d.owners[n].Previous, d.owners[n].Instance = 2, 0
			}
		}
		for _, m := range d.planOnce() {
			require.EqualValues(t, 2, m.To)
			require.Equal(t, reasonReturned, m.Reason)
		}
	})
	t.Run("target of a hand-over", func(t *testing.T) {
		d := newDeployment(t, 2)
		d.planOnce()
		d.servers[1].Lease = 0
		o := &d.owners[0]
		o.Instance, o.Next = 1, 2
		moves := d.planner.Plan(pollenlatch.PlanInput{View: d, Loads: d.loads(), Now: d.now})
		require.Equal(t, pollenlatch.Move{Shard: o.Shard, From: 1, To: 1, Fence: o.Fence, Reason: reasonCancel}, moves[0])
	})
}

// A server that joins must get about its share of the ranges. Moves beyond that
// would delay requests without need.
func TestJoinedServer(t *testing.T) {
	d := newDeployment(t, 3)
	d.planOnce()
	id := d.addServer()
	d.planFor(5 * time.Second)
	require.InDelta(t, d.svc.NumRanges()/4, d.rangeCounts()[id], rangesPerGroup)
	require.LessOrEqual(t, d.numMoves-d.svc.NumRanges(), d.svc.NumRanges()/4+rangesPerGroup, "more ranges moved than necessary")
}

// All servers of a data centre may join at once. Guards against plans that move a range
// to several of them, and against shares that are smaller the later a server's turn is.
func TestServersThatJoinAtOnce(t *testing.T) {
	d := newDeployment(t, 1)
	d.planOnce()
	for range 7 {
		d.addServer()
	}
	d.planFor(5 * time.Second)
	for id := range pollenlatch.InstanceID(8) {
		require.InDelta(t, d.svc.NumRanges()/8, d.rangeCounts()[id+1], rangesPerGroup/2, "server %d", id+1)
	}
}

// Guards against servers that join together and get the same ranges in one plan, of which
// only one gets them: a data centre that comes back, or servers that are warm again.
func TestServersJoinTogether(t *testing.T) {
	d := newDeployment(t, 2)
	d.planOnce()
	for range 2 {
		d.addServer()
	}
	d.planFor(5 * time.Second)
	for id, n := range d.rangeCounts() {
		require.InDelta(t, d.svc.NumRanges()/4, n, rangesPerGroup, "server %d", id)
	}
}

// Guards against a server that gets no ranges for good, because it was lost for a moment
// right after it had joined, while its first ranges were on their way.
func TestServerLostWhileItJoins(t *testing.T) {
	d := newDeployment(t, 3)
	d.planOnce()
	id := d.addServer()
	d.planOnce()
	d.servers[id-1].Endpoint.Ready = false
	d.planOnce()
	require.Zero(t, d.rangeCounts()[id])
	d.servers[id-1].Endpoint.Ready = true
	d.planFor(5 * time.Second)
	require.InDelta(t, d.svc.NumRanges()/4, d.rangeCounts()[id], rangesPerGroup)
}

// Evacuations, one after the other and together with the loss of a server. Ranges that
// stay at evacuated servers get no service, and servers without ranges after the
// withdrawal are idle.
func TestEvacuation(t *testing.T) {
	d := newDeployment(t, 8) // servers 1 to 4 and 5 to 8 are in two data centres
	d.planOnce()
	evacuate := func(first, last int, evacuated bool) {
		for n := first - 1; n < last; n++ {
			d.servers[n].Evacuated = evacuated
		}
	}
	fair := func(ids ...pollenlatch.InstanceID) {
		t.Helper()
		for _, id := range ids {
			require.GreaterOrEqual(t, float64(d.rangeCounts()[id]), (1-minJoinDeficit)*float64(d.svc.NumRanges()/len(ids)), "server %d: %v", id, d.rangeCounts())
		}
	}
	evacuate(1, 3, true)
	d.planOnce()
	fair(4, 5, 6, 7, 8)
	d.servers[7].Lease = 0
	for n := range d.owners {
		if d.owners[n].Instance == 8 {
			d.owners[n].Previous, d.owners[n].Instance = 8, 0
		}
	}
	d.servers[6].Endpoint.Draining = true
	evacuate(5, 6, true)
	d.planOnce()
	require.Equal(t, map[pollenlatch.InstanceID]int{4: d.svc.NumRanges()}, d.rangeCounts(), "only server 4 is usable")
	evacuate(4, 4, true)
	require.Empty(t, d.planOnce(), "no server is usable")
	evacuate(1, 6, false)
	d.servers[6].Endpoint.Draining = false
	d.servers[7].Lease = 1
	d.planFor(10 * time.Second)
	fair(1, 2, 3, 4, 5, 6, 7, 8)

	t.Run("withdrawn before all ranges are handed over", func(t *testing.T) {
		evacuate(1, 1, true)
		before := d.rangeCounts()[1]
		moves := d.planner.Plan(pollenlatch.PlanInput{View: d, Loads: d.loads(), Now: d.now})
		require.Len(t, moves, before)
		for _, m := range moves[:len(moves)-1] {
			d.owners[m.Range].Instance = m.To
		}
		evacuate(1, 1, false)
		d.planFor(10 * time.Second)
		require.InDelta(t, d.svc.NumRanges()/8, d.rangeCounts()[1], rangesPerGroup/2)
	})
}

// Unequal load that all servers can handle must not cause moves: a move costs
// callers more than it gains.
func TestLoadBelowCapacity(t *testing.T) {
	d := newDeployment(t, 4)
	d.planOnce()
	for _, o := range d.owners {
		if o.Instance == 1 {
			d.rates[o.Range] = 1.8 // utilisation 0.72
		}
	}
	require.Zero(t, d.planFor(10*time.Second))
}

// An overloaded server must lose load while others have spare capacity, but not
// because of a short spike, and without moving ranges back and forth.
func TestOverload(t *testing.T) {
	newOverloaded := func() *deployment {
		d := newDeployment(t, 4)
		d.planOnce()
		for _, o := range d.owners {
			d.rates[o.Range] = 0.5
			if o.Instance == 1 {
				d.rates[o.Range] = 3.5 // utilisation 1.4
			}
		}
		return d
	}
	t.Run("spike", func(t *testing.T) {
		d := newOverloaded()
		require.Zero(t, d.planFor(confirmTime-100*time.Millisecond))
		clear(d.rates)
		require.Zero(t, d.planFor(5*time.Second))
	})
	t.Run("lasting overload", func(t *testing.T) {
		d := newOverloaded()
		moved := d.planFor(10 * time.Second)
		require.NotZero(t, moved)
		for id := pollenlatch.InstanceID(1); id <= 4; id++ {
			require.Less(t, d.utilisation(id), overloadUtilisation+overloadExcess, "server %d", id)
		}
		require.Less(t, moved, 3*rangesPerGroup, "more moves than the load requires")
		require.Zero(t, d.planFor(10*time.Second))
	})
	t.Run("all servers overloaded", func(t *testing.T) {
		d := newDeployment(t, 4)
		d.planOnce()
		for _, o := range d.owners {
			d.rates[o.Range] = 4
		}
		require.Zero(t, d.planFor(10*time.Second), "ranges moved although no server has spare capacity")
	})
}

// The keys of a server that names a limit must move until the rest fits into the limit.
// Otherwise callers are refused there while other servers have free slots.
func TestLimitedServer(t *testing.T) {
	d := newDeployment(t, 4)
	d.planOnce()
	for _, o := range d.owners {
		d.rates[o.Range] = 1 // 32 requests a second at each server, which can run 80
	}
	require.Zero(t, d.planFor(2*time.Second))
	const limit = 16.0
	d.servers[0].Endpoint.Limit = limit
	require.NotZero(t, d.planFor(10*time.Second))
	require.LessOrEqual(t, float64(d.rangeCounts()[1]), limit, "requests a second")
	d.servers[0].Endpoint.Limit = 0
	require.Zero(t, d.planFor(10*time.Second), "ranges move back although no server is overloaded")
}

// A busy key that takes almost the whole capacity of a server must not share it:
// the other ranges of that server must move away.
func TestBusyKey(t *testing.T) {
	d := newDeployment(t, 4)
	d.planOnce()
	for _, o := range d.owners {
		d.rates[o.Range] = 0.6
	}
	d.rates[0] = 70 // utilisation 0.88 of one server
	d.planFor(10 * time.Second)
	require.Less(t, d.utilisation(d.owners[0].Instance), 1.05, "other ranges still load the server of the busy key: %v", d.rangeCounts())
	maxOther := 0.0
	for id := pollenlatch.InstanceID(1); id <= 4; id++ {
		if id != d.owners[0].Instance {
			maxOther = max(maxOther, d.utilisation(id))
		}
	}
	require.Less(t, maxOther, overloadUtilisation)
}

// A cold server that gets further ranges refuses most of their requests. Its own ranges
// must stay, and it must get its share once it is warm. When all servers are cold, or the
// others are full, ranges must still have an owner.
func TestColdServer(t *testing.T) {
	lose := func(d *deployment, id pollenlatch.InstanceID) {
		for n := range d.owners {
			if d.owners[n].Instance == id {
				d.owners[n].Previous, d.owners[n].Instance = id, 0
			}
		}
	}
	t.Run("turns cold", func(t *testing.T) {
		d := newDeployment(t, 4)
		d.planOnce()
		for n := range d.owners {
			d.rates[pollenlatch.Range(n)] = 0.5
			if d.owners[n].Instance == 2 {
				d.rates[pollenlatch.Range(n)] = 3.5 // utilisation 1.4
			}
		}
		d.servers[1].Endpoint.Cold = true
		require.Zero(t, d.planFor(5*time.Second), "its ranges move")
	})
	t.Run("is not a target", func(t *testing.T) {
		d := newDeployment(t, 4)
		d.planOnce()
		d.servers[1].Endpoint.Cold = true
		owned := d.rangeCounts()[2]
		d.servers[2].Endpoint.Draining = true
		require.NotEmpty(t, d.planOnce())
		require.Equal(t, owned, d.rangeCounts()[2])
	})
	t.Run("restarts cold", func(t *testing.T) {
		d := newDeployment(t, 4)
		d.planOnce()
		lose(d, 2)
		d.servers[1].Endpoint.Cold, d.servers[1].Endpoint.Incarnation = true, 102
		for _, m := range d.planOnce() {
			require.NotEqualValues(t, 2, m.To)
		}
		require.Zero(t, d.planFor(3*time.Second))
		d.servers[1].Endpoint.Cold = false
		d.planFor(5 * time.Second)
		require.InDelta(t, d.svc.NumRanges()/4, d.rangeCounts()[2], rangesPerGroup)
	})
	t.Run("all are cold", func(t *testing.T) {
		d := newDeployment(t, 2)
		d.servers[0].Endpoint.Cold, d.servers[1].Endpoint.Cold = true, true
		require.Len(t, d.planOnce(), d.svc.NumRanges())
		for id, n := range d.rangeCounts() {
			require.Equal(t, d.svc.NumRanges()/2, n, "server %d", id)
		}
	})
	t.Run("all but one are cold", func(t *testing.T) {
		d := newDeployment(t, 8)
		for n := range d.servers[1:] {
			d.servers[n+1].Endpoint.Cold = true
		}
		require.Len(t, d.planOnce(), d.svc.NumRanges())
		require.LessOrEqual(t, d.rangeCounts()[1], maxCover*d.svc.NumRanges()/8+rangesPerGroup)
		for n := range d.servers {
			d.servers[n].Endpoint.Cold = false
		}
		d.planFor(10 * time.Second)
		for id := range pollenlatch.InstanceID(8) {
			require.Positive(t, d.rangeCounts()[id+1])
		}
	})
	t.Run("the others are full", func(t *testing.T) {
		d := newDeployment(t, 2)
		d.planOnce()
		for n := range d.owners {
			d.rates[pollenlatch.Range(n)] = 2.5 // utilisation 2 of each server
		}
		id := d.addServer()
		d.servers[id-1].Endpoint.Cold = true
		d.servers[0].Endpoint.Draining = true
		require.NotEmpty(t, d.planOnce())
		require.Positive(t, d.rangeCounts()[id])
	})
}
