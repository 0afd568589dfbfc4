package plan

import (
	"slices"

	"pollenlatch"
)

// ShardLister is implemented by a View that lists a service's shards in one pass.
// Without it the ranges are read one by one and EachOwned is called for each
// endpoint to find hot keys.
type ShardLister interface {
	// EachShard calls f for every range and every hot key's record, until f
	// returns false.
	EachShard(service string, f func(pollenlatch.Owner) bool)
	// HotKeys returns the records of the hot keys.
	HotKeys(service string) []pollenlatch.Owner
}

// ChangeLister is implemented by a View that finds the ranges changed after a
// version without listing all. EachChangedRange may also name unchanged ranges. It
// returns false when the version is too old to tell.
type ChangeLister interface {
	EachChangedRange(service string, since pollenlatch.Version, f func(pollenlatch.Owner)) bool
}

// index is the planner's copy of the owner table of one service: the ranges
// by owner. It follows the view by its changes. A list of all ranges for each
// plan would cost a scan of the whole table.
type index struct {
	version pollenlatch.Version
	read    bool
	holder  []pollenlatch.InstanceID // by range
	pos     []int32                  // of a range in its holder's list
	lists   map[pollenlatch.InstanceID][]pollenlatch.Range
	frozen  map[pollenlatch.Range]pollenlatch.InstanceID // target of the hand-over
	inbound map[pollenlatch.InstanceID]int               // hand-overs to an instance
	keys    map[pollenlatch.InstanceID][]pollenlatch.Owner
	records int // hot keys with a record of their own
}

// follow brings the index to the version of the view and reports whether that
// is another version than before.
func (x *index) follow(v pollenlatch.View, s pollenlatch.Service) bool {
	if len(x.holder) != s.NumRanges() {
		x.reset(s.NumRanges())
	} else if x.version == v.Version() {
		return false
	}
	if d, ok := v.(ChangeLister); !ok || !x.read || !d.EachChangedRange(s.Name, x.version, x.put) {
		x.scan(v, s)
	}
	x.readKeys(v, s)
	x.version, x.read = v.Version(), true
	return true
}

func (x *index) reset(n int) {
	x.read = false
	x.holder = make([]pollenlatch.InstanceID, n)
	x.pos = make([]int32, n)
	all := make([]pollenlatch.Range, n)
	for i := range all {
		all[i], x.pos[i] = pollenlatch.Range(i), int32(i)
	}
	x.lists = map[pollenlatch.InstanceID][]pollenlatch.Range{0: all}
	x.frozen = make(map[pollenlatch.Range]pollenlatch.InstanceID)
	x.inbound = make(map[pollenlatch.InstanceID]int)
}

func (x *index) scan(v pollenlatch.View, s pollenlatch.Service) {
	if t, ok := v.(ShardLister); ok {
		t.EachShard(s.Name, func(o pollenlatch.Owner) bool {
			x.put(o)
			return true
		})
		return
	}
	for i := range s.NumRanges() {
		if o, ok := v.ShardOwner(pollenlatch.Shard{Service: s.Name, Range: pollenlatch.Range(i)}); ok {
			x.put(o)
		}
	}
}

// put takes the present owner of a range.
func (x *index) put(o pollenlatch.Owner) {
	if o.Key != "" {
		return
	}
	if old := x.holder[o.Range]; old != o.Instance {
		from := x.lists[old]
		last := from[len(from)-1]
		from[x.pos[o.Range]], x.pos[last] = last, x.pos[o.Range]
		if len(from) == 1 {
			delete(x.lists, old)
		} else {
			x.lists[old] = from[:len(from)-1]
		}
		x.pos[o.Range] = int32(len(x.lists[o.Instance]))
		x.lists[o.Instance] = append(x.lists[o.Instance], o.Range)
		x.holder[o.Range] = o.Instance
	}
	if next := x.frozen[o.Range]; next != o.Next {
		if next != 0 {
			x.inbound[next]--
			delete(x.frozen, o.Range)
		}
		if o.Next != 0 {
			x.inbound[o.Next]++
			x.frozen[o.Range] = o.Next
		}
	}
}

// readKeys reads the records of hot keys, which are few.
func (x *index) readKeys(v pollenlatch.View, s pollenlatch.Service) {
	x.keys = make(map[pollenlatch.InstanceID][]pollenlatch.Owner)
	x.records = 0
	put := func(o pollenlatch.Owner) bool {
		if o.Key != "" {
			x.keys[o.Instance] = append(x.keys[o.Instance], o)
			x.records++
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
func (x *index) count(id pollenlatch.InstanceID) int { return len(x.lists[id]) + len(x.keys[id]) }

// owners returns the instances that own shards, by number.
func (x *index) owners() []pollenlatch.InstanceID {
	ids := make([]pollenlatch.InstanceID, 0, len(x.lists)+len(x.keys))
	for id := range x.lists {
		ids = append(ids, id)
	}
	for id := range x.keys {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	if len(ids) > 0 && ids[0] == 0 {
		ids = ids[1:]
	}
	return ids
}

// owned returns the shards of an instance with their fences, in order.
func (x *index) owned(v pollenlatch.View, service string, id pollenlatch.InstanceID) []orphan {
	list := make([]orphan, 0, x.count(id))
	for _, n := range x.lists[id] {
		if o, ok := v.ShardOwner(pollenlatch.Shard{Service: service, Range: n}); ok {
			list = append(list, orphan{Owner: o})
		}
	}
	for _, o := range x.keys[id] {
		list = append(list, orphan{Owner: o})
	}
	slices.SortFunc(list, func(a, b orphan) int { return compareShards(a.Shard, b.Shard) })
	return list
}
