package plan

import (
	"slices"

	"pollenlatch"
)

// ShardLister is implemented by a View that can list a service's shards in one pass.
// For other views the ranges are read one by one, and EachOwned is called for each
// endpoint to find hot keys.
type ShardLister interface {
	// EachShard calls f for every range and for every hot key with an owner
	// record, until f returns false.
	EachShard(service string, f func(pollenlatch.Owner) bool)
	// HotKeys returns the owner records of the hot keys.
	HotKeys(service string) []pollenlatch.Owner
}

// ChangeLister is implemented by a View that can list the ranges that changed after a
// version. EachChangedRange may also call f for unchanged ranges. It returns false
// when the changes since the version are not known.
type ChangeLister interface {
	EachChangedRange(service string, since pollenlatch.Version, f func(pollenlatch.Owner)) bool
}

// ownerIndex is an index of the owner table of one service by owner. It is updated
// with the changes of the view, because a scan of the whole table for each plan
// would be expensive.
type ownerIndex struct {
	version        pollenlatch.Version
	complete       bool                     // includes all ranges of the version
	owner          []pollenlatch.InstanceID // by range
	position       []int32                  // of a range in its owner's list in rangesByOwner
	rangesByOwner  map[pollenlatch.InstanceID][]pollenlatch.Range
	nextOwner      map[pollenlatch.Range]pollenlatch.InstanceID // targets of hand-overs
	inbound        map[pollenlatch.InstanceID]int               // number of hand-overs of ranges to an instance
	hotKeysByOwner map[pollenlatch.InstanceID][]pollenlatch.Owner
	numHotKeys     int // hot keys with an owner record
}

// update updates the index to the version of the view and reports whether the
// version or the number of ranges has changed.
func (x *ownerIndex) update(v pollenlatch.View, s pollenlatch.Service) bool {
	if len(x.owner) != s.NumRanges() {
		x.reset(s.NumRanges())
	} else if x.version == v.Version() {
		return false
	}
	if d, ok := v.(ChangeLister); !ok || !x.complete || !d.EachChangedRange(s.Name, x.version, x.setRange) {
		x.scan(v, s)
	}
	x.readHotKeys(v, s)
	x.version, x.complete = v.Version(), true
	return true
}

func (x *ownerIndex) reset(n int) {
	x.complete = false
	x.owner = make([]pollenlatch.InstanceID, n)
	x.position = make([]int32, n)
	all := make([]pollenlatch.Range, n)
	for i := range all {
		all[i], x.position[i] = pollenlatch.Range(i), int32(i)
	}
	x.rangesByOwner = map[pollenlatch.InstanceID][]pollenlatch.Range{0: all}
	x.nextOwner = make(map[pollenlatch.Range]pollenlatch.InstanceID)
	x.inbound = make(map[pollenlatch.InstanceID]int)
}

func (x *ownerIndex) scan(v pollenlatch.View, s pollenlatch.Service) {
	if t, ok := v.(ShardLister); ok {
		t.EachShard(s.Name, func(o pollenlatch.Owner) bool {
			x.setRange(o)
			return true
		})
		return
	}
	for i := range s.NumRanges() {
		if o, ok := v.ShardOwner(pollenlatch.Shard{Service: s.Name, Range: pollenlatch.Range(i)}); ok {
			x.setRange(o)
		}
	}
}

// setRange records the present owner of a range. It ignores hot keys.
func (x *ownerIndex) setRange(o pollenlatch.Owner) {
	if o.Key != "" {
		return
	}
	if old := x.owner[o.Range]; old != o.Instance {
		from := x.rangesByOwner[old]
		last := from[len(from)-1]
		from[x.position[o.Range]], x.position[last] = last, x.position[o.Range]
		if len(from) == 1 {
			delete(x.rangesByOwner, old)
		} else {
			x.rangesByOwner[old] = from[:len(from)-1]
		}
		x.position[o.Range] = int32(len(x.rangesByOwner[o.Instance]))
		x.rangesByOwner[o.Instance] = append(x.rangesByOwner[o.Instance], o.Range)
		x.owner[o.Range] = o.Instance
	}
	if next := x.nextOwner[o.Range]; next != o.Next {
		if next != 0 {
			x.inbound[next]--
			delete(x.nextOwner, o.Range)
		}
		if o.Next != 0 {
			x.inbound[o.Next]++
			x.nextOwner[o.Range] = o.Next
		}
	}
}

// readHotKeys reads the owner records of all hot keys, of which there are few.
func (x *ownerIndex) readHotKeys(v pollenlatch.View, s pollenlatch.Service) {
	x.hotKeysByOwner = make(map[pollenlatch.InstanceID][]pollenlatch.Owner)
	x.numHotKeys = 0
	put := func(o pollenlatch.Owner) bool {
		if o.Key != "" {
			x.hotKeysByOwner[o.Instance] = append(x.hotKeysByOwner[o.Instance], o)
			x.numHotKeys++
		}
		return true
	}
	if t, ok := v.(ShardLister); ok {
		for _, o := range t.HotKeys(s.Name) {
			put(o)
		}
		return
	}
	v.EachOwned(0, s.Name, put)
	for _, i := range v.Endpoints(s.Name) {
		v.EachOwned(i.ID, s.Name, put)
	}
}

// count returns the number of shards that an instance owns.
func (x *ownerIndex) count(id pollenlatch.InstanceID) int {
	return len(x.rangesByOwner[id]) + len(x.hotKeysByOwner[id])
}

// owners returns the instances that own shards, sorted by ID.
func (x *ownerIndex) owners() []pollenlatch.InstanceID {
	ids := make([]pollenlatch.InstanceID, 0, len(x.rangesByOwner)+len(x.hotKeysByOwner))
	for id := range x.rangesByOwner {
		ids = append(ids, id)
	}
	for id := range x.hotKeysByOwner {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	if len(ids) > 0 && ids[0] == 0 {
		ids = ids[1:]
	}
	return ids
}

// owned returns the shards of an instance with their fences, sorted by range and key.
func (x *ownerIndex) owned(v pollenlatch.View, service string, id pollenlatch.InstanceID) []ratedShard {
	list := make([]ratedShard, 0, x.count(id))
	for _, n := range x.rangesByOwner[id] {
		if o, ok := v.ShardOwner(pollenlatch.Shard{Service: service, Range: n}); ok {
			list = append(list, ratedShard{Owner: o})
		}
	}
	for _, o := range x.hotKeysByOwner[id] {
		list = append(list, ratedShard{Owner: o})
	}
	slices.SortFunc(list, func(a, b ratedShard) int { return compareShards(a.Shard, b.Shard) })
	return list
}
