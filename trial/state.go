package trial

import (
	"slices"

	"pollenlatch"
	"pollenlatch/plan"
)

// State is a replicated state with one service, for simulations and for tests of
// the planner. Unlike other views it changes in place. It is not safe for
// concurrent use.
type State struct {
	svc         pollenlatch.Service
	instances   []pollenlatch.Instance // by ID - 1
	ranges      []pollenlatch.Owner    // by range
	ownedRanges [][]pollenlatch.Range  // by owner; those of 0 have no owner
	ownedPos    []int32                // position of each range in its owner's list
	hotKeys     []pollenlatch.Owner    // records of hot keys, sorted by key
	version     pollenlatch.Version
	changes     []change // of ranges, in ascending order of versions
}

// change is a change of the owner or the next owner of a range.
type change struct {
	version pollenlatch.Version
	r       pollenlatch.Range
}

var (
	_ pollenlatch.View  = (*State)(nil)
	_ plan.ShardLister  = (*State)(nil)
	_ plan.ChangeLister = (*State)(nil)
)

// NewState returns a state in which the service has no endpoints and its ranges
// have no owners.
func NewState(s pollenlatch.Service) *State {
	n := s.NumRanges()
	st := &State{svc: s, ranges: make([]pollenlatch.Owner, n), ownedRanges: make([][]pollenlatch.Range, 1), ownedPos: make([]int32, n)}
	st.ownedRanges[0] = make([]pollenlatch.Range, n)
	for i := range n {
		r := pollenlatch.Range(i)
		st.ranges[i].Shard = pollenlatch.Shard{Service: s.Name, Range: r}
		st.ownedRanges[0][i], st.ownedPos[i] = r, int32(i)
	}
	return st
}

// Join adds an instance with a lease and a usable endpoint.
func (st *State) Join(dc string, slots uint32) pollenlatch.InstanceID {
	st.version++
	id := pollenlatch.InstanceID(len(st.instances) + 1)
	st.instances = append(st.instances, pollenlatch.Instance{
		ID: id, DC: dc, Lease: pollenlatch.Lease(st.version),
		Endpoint: &pollenlatch.Endpoint{Service: st.svc.Name, Slots: slots, MaxConns: 100, Fenced: true, Ready: true},
	})
	st.ownedRanges = append(st.ownedRanges, nil)
	return id
}

// Announce sets the flags that the server of an instance announces.
func (st *State) Announce(id pollenlatch.InstanceID, ready, draining bool) {
	st.version++
	e := *st.instances[id-1].Endpoint
	e.Ready, e.Draining = ready, draining
	st.instances[id-1].Endpoint = &e
}

// Evacuate starts or ends the evacuation of a data centre.
func (st *State) Evacuate(dc string, evacuated bool) {
	st.version++
	for n := range st.instances {
		if st.instances[n].DC == dc {
			st.instances[n].Evacuated = evacuated
		}
	}
}

// Rejoin gives an instance a new lease and makes its endpoint usable.
func (st *State) Rejoin(id pollenlatch.InstanceID) {
	st.Announce(id, true, false)
	st.instances[id-1].Lease = pollenlatch.Lease(st.version)
}

// Expire ends the lease of an instance. Afterwards its shards have no owner.
func (st *State) Expire(id pollenlatch.InstanceID) {
	st.version++
	st.instances[id-1].Lease = 0
	for len(st.ownedRanges[id]) > 0 {
		o := &st.ranges[st.ownedRanges[id][0]]
		o.Previous, o.Next = id, 0
		st.setRangeOwner(o, 0)
	}
	for i := range st.hotKeys {
		if k := &st.hotKeys[i]; k.Instance == id {
			k.Instance, k.Previous, k.Next = 0, id, 0
		}
	}
}

// Assign sets the owner of a shard. Owner 0 removes the record of a hot key.
func (st *State) Assign(s pollenlatch.Shard, to pollenlatch.InstanceID) {
	st.version++
	if s.Key == "" {
		o := &st.ranges[s.Range]
		o.Next, o.Fence = 0, pollenlatch.Fence(st.version)
		st.setRangeOwner(o, to)
		return
	}
	i, ok := st.findHotKey(s.Key)
	switch {
	case to == 0 && ok:
		st.hotKeys = slices.Delete(st.hotKeys, i, i+1)
	case to != 0 && ok:
		st.hotKeys[i].Instance, st.hotKeys[i].Next, st.hotKeys[i].Fence = to, 0, pollenlatch.Fence(st.version)
	case to != 0:
		st.hotKeys = slices.Insert(st.hotKeys, i, pollenlatch.Owner{Shard: s, Instance: to, Fence: pollenlatch.Fence(st.version)})
	}
}

// Freeze starts the hand-over of a shard to an instance. Instance 0 cancels it.
func (st *State) Freeze(s pollenlatch.Shard, to pollenlatch.InstanceID) {
	st.version++
	if o := st.owner(s); o != nil {
		o.Next = to
		st.changes = append(st.changes, change{st.version, s.Range})
	}
}

// owner returns the record of a shard, or nil if a hot key has none.
func (st *State) owner(s pollenlatch.Shard) *pollenlatch.Owner {
	if s.Key == "" {
		return &st.ranges[s.Range]
	}
	if i, ok := st.findHotKey(s.Key); ok {
		return &st.hotKeys[i]
	}
	return nil
}

func (st *State) findHotKey(key string) (int, bool) {
	return slices.BinarySearchFunc(st.hotKeys, key, func(o pollenlatch.Owner, k string) int {
		switch {
		case o.Key < k:
			return -1
		case o.Key > k:
			return 1
		default:
			return 0
		}
	})
}

// setRangeOwner changes the owner of a range and records the change.
func (st *State) setRangeOwner(o *pollenlatch.Owner, to pollenlatch.InstanceID) {
	st.changes = append(st.changes, change{st.version, o.Range})
	from := st.ownedRanges[o.Instance]
	last := from[len(from)-1]
	from[st.ownedPos[o.Range]], st.ownedPos[last] = last, st.ownedPos[o.Range]
	st.ownedRanges[o.Instance] = from[:len(from)-1]
	st.ownedPos[o.Range] = int32(len(st.ownedRanges[to]))
	st.ownedRanges[to] = append(st.ownedRanges[to], o.Range)
	o.Instance = to
}

// Version returns the number of commands applied so far.
func (st *State) Version() pollenlatch.Version { return st.version }

// Service returns the only service, and whether it has the name.
func (st *State) Service(name string) (pollenlatch.Service, bool) {
	return st.svc, name == st.svc.Name
}

// Services returns the only service.
func (st *State) Services() []pollenlatch.Service { return []pollenlatch.Service{st.svc} }

// Caller returns false: there are no callers.
func (st *State) Caller(string) (pollenlatch.Caller, bool) { return pollenlatch.Caller{}, false }

// Owner returns the owner of a key.
func (st *State) Owner(service, key string) (pollenlatch.Owner, bool) {
	if service != st.svc.Name {
		return pollenlatch.Owner{}, false
	}
	if i, ok := st.findHotKey(key); ok {
		return st.hotKeys[i], true
	}
	return st.ranges[pollenlatch.RangeOf(service, key, st.svc.RangeBits)], true
}

// ShardOwner returns the owner of a shard.
func (st *State) ShardOwner(s pollenlatch.Shard) (pollenlatch.Owner, bool) {
	if s.Service != st.svc.Name {
		return pollenlatch.Owner{}, false
	}
	if o := st.owner(s); o != nil {
		return *o, true
	}
	return pollenlatch.Owner{}, false
}

// Instance returns an instance.
func (st *State) Instance(id pollenlatch.InstanceID) (pollenlatch.Instance, bool) {
	if id == 0 || int(id) > len(st.instances) {
		return pollenlatch.Instance{}, false
	}
	return st.instances[id-1], true
}

// InstanceByName returns false: the instances have no names.
func (st *State) InstanceByName(string) (pollenlatch.Instance, bool) {
	return pollenlatch.Instance{}, false
}

// Endpoints returns the instances that hold a lease, sorted by ID.
func (st *State) Endpoints(service string) []pollenlatch.Instance {
	if service != st.svc.Name {
		return nil
	}
	list := make([]pollenlatch.Instance, 0, len(st.instances))
	for _, i := range st.instances {
		if i.Alive() {
			list = append(list, i)
		}
	}
	return list
}

// EachOwned calls f for every shard of an instance until f returns false. Instance
// 0 stands for the shards without owner. Service "" stands for the only service.
func (st *State) EachOwned(id pollenlatch.InstanceID, service string, f func(pollenlatch.Owner) bool) {
	if service != "" && service != st.svc.Name {
		return
	}
	for _, r := range st.ownedRanges[id] {
		if !f(st.ranges[r]) {
			return
		}
	}
	for _, k := range st.hotKeys {
		if k.Instance == id && !f(k) {
			return
		}
	}
}

// OwnedCount returns the number of an instance's shards.
func (st *State) OwnedCount(id pollenlatch.InstanceID, service string) int {
	if service != st.svc.Name {
		return 0
	}
	n := len(st.ownedRanges[id])
	for _, k := range st.hotKeys {
		if k.Instance == id {
			n++
		}
	}
	return n
}

// HotKeys returns the records of hot keys.
func (st *State) HotKeys(service string) []pollenlatch.Owner {
	if service != st.svc.Name {
		return nil
	}
	return st.hotKeys
}

// EachShard calls f for every range and for every record of a hot key until f
// returns false.
func (st *State) EachShard(service string, f func(pollenlatch.Owner) bool) {
	if service != st.svc.Name {
		return
	}
	for _, list := range [][]pollenlatch.Owner{st.ranges, st.hotKeys} {
		for _, o := range list {
			if !f(o) {
				return
			}
		}
	}
}

// EachChangedRange calls f for every range that changed after a version, latest
// first, and more than once if the range changed more than once.
func (st *State) EachChangedRange(service string, since pollenlatch.Version, f func(pollenlatch.Owner)) bool {
	if service != st.svc.Name {
		return false
	}
	for i := len(st.changes) - 1; i >= 0 && st.changes[i].version > since; i-- {
		f(st.ranges[st.changes[i].r])
	}
	return true
}
