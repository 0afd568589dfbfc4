package trial

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"pollenlatch"
)

// rangePlacement returns the owners of n ranges. members are sorted.
type rangePlacement func(n int, members []pollenlatch.InstanceID) []pollenlatch.InstanceID

// hashPlanner is a planner that places ranges by a function of the usable
// endpoints alone. It ignores load and hot keys and does not limit moves.
type hashPlanner struct {
	place   rangePlacement
	members []pollenlatch.InstanceID // for which owners was computed
	owners  []pollenlatch.InstanceID // by range
}

// Plan returns a move for every range whose owner is not the one that the placement
// function returns.
func (p *hashPlanner) Plan(in pollenlatch.PlanInput) []pollenlatch.Move {
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
		if !slices.Equal(members, p.members) || len(p.owners) != s.NumRanges() {
			p.members, p.owners = members, p.place(s.NumRanges(), members)
		}
		for i, to := range p.owners {
			o, _ := in.View.ShardOwner(pollenlatch.Shard{Service: s.Name, Range: pollenlatch.Range(i)})
			if o.Instance != to && !o.Frozen() {
				moves = append(moves, pollenlatch.Move{Shard: o.Shard, From: o.Instance, To: to, Fence: o.Fence, Reason: "rehash"})
			}
		}
	}
	return moves
}

func hashPair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// Modulo places range i on member i modulo the number of members.
func Modulo() pollenlatch.Planner {
	return &hashPlanner{place: func(n int, members []pollenlatch.InstanceID) []pollenlatch.InstanceID {
		owners := make([]pollenlatch.InstanceID, n)
		for i := range owners {
			owners[i] = members[i%len(members)]
		}
		return owners
	}}
}

// Rendezvous is rendezvous hashing: it places each range on the member with the
// highest hash of range and member.
func Rendezvous() pollenlatch.Planner {
	return &hashPlanner{place: func(n int, members []pollenlatch.InstanceID) []pollenlatch.InstanceID {
		owners := make([]pollenlatch.InstanceID, n)
		for i := range owners {
			owners[i] = slices.MaxFunc(members, func(a, b pollenlatch.InstanceID) int {
				return cmp.Compare(hashPair(uint64(a), uint64(i)), hashPair(uint64(b), uint64(i)))
			})
		}
		return owners
	}}
}

// ringPoint is a virtual node on the ring of consistent hashing.
type ringPoint struct {
	position uint64
	id       pollenlatch.InstanceID
}

// newRing returns the virtual nodes of all members in ascending order of their
// positions.
func newRing(members []pollenlatch.InstanceID, virtualNodes int) []ringPoint {
	points := make([]ringPoint, 0, len(members)*virtualNodes)
	for _, id := range members {
		for v := range virtualNodes {
			points = append(points, ringPoint{hashPair(uint64(id), uint64(v)<<32), id})
		}
	}
	slices.SortFunc(points, func(a, b ringPoint) int { return cmp.Compare(a.position, b.position) })
	return points
}

// ConsistentHashing is consistent hashing with so many virtual nodes for each
// member.
func ConsistentHashing(virtualNodes int) pollenlatch.Planner { return BoundedLoads(virtualNodes, 0) }

// BoundedLoads is consistent hashing with bounded loads: no member gets more than
// factor times the mean number of ranges, plus 1. Factor 0 means no limit.
func BoundedLoads(virtualNodes int, factor float64) pollenlatch.Planner {
	return &hashPlanner{place: func(n int, members []pollenlatch.InstanceID) []pollenlatch.InstanceID {
		points := newRing(members, virtualNodes)
		maxRanges := n
		if factor > 0 {
			maxRanges = int(factor*float64(n)/float64(len(members))) + 1
		}
		count := make(map[pollenlatch.InstanceID]int, len(members))
		owners := make([]pollenlatch.InstanceID, n)
		for i := range owners {
			h := hashPair(uint64(i), 1)
			k := sort.Search(len(points), func(k int) bool { return points[k].position >= h })
			for count[points[k%len(points)].id] >= maxRanges {
				k++
			}
			owners[i] = points[k%len(points)].id
			count[owners[i]]++
		}
		return owners
	}}
}
