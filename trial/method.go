package trial

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"pollenlatch"
)

// place returns the owner of each of n ranges among members, which are sorted.
type place func(n int, members []pollenlatch.InstanceID) []pollenlatch.InstanceID

// rehash is a planner that places ranges by a function of the usable
// endpoints alone. It knows no load, no hot keys and no budget.
type rehash struct {
	place   place
	members []pollenlatch.InstanceID
	want    []pollenlatch.InstanceID
}

// Plan returns a move for every range that is not where the function puts it.
func (p *rehash) Plan(in pollenlatch.PlanInput) []pollenlatch.Move {
	var moves []pollenlatch.Move
	for _, s := range in.View.Services() {
		var members []pollenlatch.InstanceID
		for _, i := range in.View.Endpoints(s.Name) {
			if i.Usable() {
				members = append(members, i.ID)
			}
		}
		if len(members) == 0 {
			continue
		}
		if !slices.Equal(members, p.members) || len(p.want) != s.NumRanges() {
			p.members, p.want = members, p.place(s.NumRanges(), members)
		}
		for i, to := range p.want {
			o, _ := in.View.ShardOwner(pollenlatch.Shard{Service: s.Name, Range: pollenlatch.Range(i)})
			if o.Instance != to && !o.Frozen() {
				moves = append(moves, pollenlatch.Move{Shard: o.Shard, From: o.Instance, To: to, Fence: o.Fence, Reason: "rehash"})
			}
		}
	}
	return moves
}

func hash(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// Modulo places range i on member i modulo their number.
func Modulo() pollenlatch.Planner {
	return &rehash{place: func(n int, m []pollenlatch.InstanceID) []pollenlatch.InstanceID {
		want := make([]pollenlatch.InstanceID, n)
		for i := range want {
			want[i] = m[i%len(m)]
		}
		return want
	}}
}

// Rendezvous places each range on the member with the highest hash of both.
func Rendezvous() pollenlatch.Planner {
	return &rehash{place: func(n int, m []pollenlatch.InstanceID) []pollenlatch.InstanceID {
		want := make([]pollenlatch.InstanceID, n)
		for i := range want {
			want[i] = slices.MaxFunc(m, func(a, b pollenlatch.InstanceID) int {
				return cmp.Compare(hash(uint64(a), uint64(i)), hash(uint64(b), uint64(i)))
			})
		}
		return want
	}}
}

// point is a virtual node on the ring of consistent hashing.
type point struct {
	at uint64
	id pollenlatch.InstanceID
}

func ring(m []pollenlatch.InstanceID, virtual int) []point {
	points := make([]point, 0, len(m)*virtual)
	for _, id := range m {
		for v := range virtual {
			points = append(points, point{hash(uint64(id), uint64(v)<<32), id})
		}
	}
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.at, b.at) })
	return points
}

// Consistent is consistent hashing with virtual nodes for each member.
func Consistent(virtual int) pollenlatch.Planner { return Bounded(virtual, 0) }

// Bounded is consistent hashing with bounded loads: no member gets more than
// factor times the mean number of ranges. Factor 0 is no bound.
func Bounded(virtual int, factor float64) pollenlatch.Planner {
	return &rehash{place: func(n int, m []pollenlatch.InstanceID) []pollenlatch.InstanceID {
		points := ring(m, virtual)
		most := n
		if factor > 0 {
			most = int(factor*float64(n)/float64(len(m))) + 1
		}
		count := make(map[pollenlatch.InstanceID]int, len(m))
		want := make([]pollenlatch.InstanceID, n)
		for i := range want {
			h := hash(uint64(i), 1)
			k := sort.Search(len(points), func(k int) bool { return points[k].at >= h })
			for count[points[k%len(points)].id] >= most {
				k++
			}
			want[i] = points[k%len(points)].id
			count[want[i]]++
		}
		return want
	}}
}
