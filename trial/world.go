package trial

import (
	"slices"

	"pollenlatch"
	"pollenlatch/plan"
)

// World is a replicated state in memory with one service. It is the view of
// the planner's experiments and tests. It is not safe for concurrent use and,
// unlike a real view, it changes in place.
type World struct {
	svc     pollenlatch.Service
	insts   []pollenlatch.Instance // by ID - 1
	ranges  []pollenlatch.Owner
	owned   [][]pollenlatch.Range // by instance; 0 is without owner
	pos     []int32               // of a range in its owner's list
	keys    []pollenlatch.Owner   // records of hot keys, by key
	version pollenlatch.Version
	log     []change // of ranges, by version
}

type change struct {
	at pollenlatch.Version
	r  pollenlatch.Range
}

var (
	_ pollenlatch.View  = (*World)(nil)
	_ plan.ShardLister  = (*World)(nil)
	_ plan.ChangeLister = (*World)(nil)
)

// NewWorld returns a world whose service has no endpoints and no owners.
func NewWorld(s pollenlatch.Service) *World {
	n := s.NumRanges()
	w := &World{svc: s, ranges: make([]pollenlatch.Owner, n), owned: make([][]pollenlatch.Range, 1), pos: make([]int32, n)}
	w.owned[0] = make([]pollenlatch.Range, n)
	for i := range n {
		r := pollenlatch.Range(i)
		w.ranges[i].Shard = pollenlatch.Shard{Service: s.Name, Range: r}
		w.owned[0][i], w.pos[i] = r, int32(i)
	}
	return w
}

// Join adds a usable endpoint and returns its instance.
func (w *World) Join(dc string, slots uint32) pollenlatch.InstanceID {
	w.version++
	id := pollenlatch.InstanceID(len(w.insts) + 1)
	w.insts = append(w.insts, pollenlatch.Instance{
		ID: id, DC: dc, Lease: pollenlatch.Lease(w.version),
		Endpoint: &pollenlatch.Endpoint{Service: w.svc.Name, Slots: slots, MaxConns: 100, Fenced: true, Ready: true},
	})
	w.owned = append(w.owned, nil)
	return id
}

// Announce sets what an endpoint says of itself.
func (w *World) Announce(id pollenlatch.InstanceID, ready, draining bool) {
	w.version++
	e := *w.insts[id-1].Endpoint
	e.Ready, e.Draining = ready, draining
	w.insts[id-1].Endpoint = &e
}

// Rejoin gives an instance a lease again, with a ready endpoint.
func (w *World) Rejoin(id pollenlatch.InstanceID) {
	w.Announce(id, true, false)
	w.insts[id-1].Lease = pollenlatch.Lease(w.version)
}

// Expire ends the lease of an instance. Its shards have no owner after it.
func (w *World) Expire(id pollenlatch.InstanceID) {
	w.version++
	w.insts[id-1].Lease = 0
	for len(w.owned[id]) > 0 {
		o := &w.ranges[w.owned[id][0]]
		o.Previous, o.Next = id, 0
		w.own(o, 0)
	}
	for i := range w.keys {
		if k := &w.keys[i]; k.Instance == id {
			k.Instance, k.Previous, k.Next = 0, id, 0
		}
	}
}

// Assign gives a shard to an owner. Owner 0 removes the record of a hot key.
func (w *World) Assign(s pollenlatch.Shard, to pollenlatch.InstanceID) {
	w.version++
	if s.Key == "" {
		o := &w.ranges[s.Range]
		o.Next, o.Fence = 0, pollenlatch.Fence(w.version)
		w.own(o, to)
		return
	}
	i, ok := w.key(s.Key)
	switch {
	case to == 0 && ok:
		w.keys = slices.Delete(w.keys, i, i+1)
	case to != 0 && ok:
		w.keys[i].Instance, w.keys[i].Next, w.keys[i].Fence = to, 0, pollenlatch.Fence(w.version)
	case to != 0:
		w.keys = slices.Insert(w.keys, i, pollenlatch.Owner{Shard: s, Instance: to, Fence: pollenlatch.Fence(w.version)})
	}
}

// Freeze starts the hand-over of a shard to an instance, or cancels it with 0.
func (w *World) Freeze(s pollenlatch.Shard, to pollenlatch.InstanceID) {
	w.version++
	if o := w.at(s); o != nil {
		o.Next = to
		w.log = append(w.log, change{w.version, s.Range})
	}
}

// at returns the record of a shard, or nil when a hot key has none.
func (w *World) at(s pollenlatch.Shard) *pollenlatch.Owner {
	if s.Key == "" {
		return &w.ranges[s.Range]
	}
	if i, ok := w.key(s.Key); ok {
		return &w.keys[i]
	}
	return nil
}

func (w *World) key(key string) (int, bool) {
	return slices.BinarySearchFunc(w.keys, key, func(o pollenlatch.Owner, k string) int {
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

// own moves a range to another owner's list.
func (w *World) own(o *pollenlatch.Owner, to pollenlatch.InstanceID) {
	w.log = append(w.log, change{w.version, o.Range})
	from := w.owned[o.Instance]
	last := from[len(from)-1]
	from[w.pos[o.Range]], w.pos[last] = last, w.pos[o.Range]
	w.owned[o.Instance] = from[:len(from)-1]
	w.pos[o.Range] = int32(len(w.owned[to]))
	w.owned[to] = append(w.owned[to], o.Range)
	o.Instance = to
}

// Version returns the number of changes.
func (w *World) Version() pollenlatch.Version { return w.version }

// Service returns the service if it has the name.
func (w *World) Service(name string) (pollenlatch.Service, bool) {
	return w.svc, name == w.svc.Name
}

// Services returns the one service.
func (w *World) Services() []pollenlatch.Service { return []pollenlatch.Service{w.svc} }

// Caller knows no caller.
func (w *World) Caller(string) (pollenlatch.Caller, bool) { return pollenlatch.Caller{}, false }

// Owner returns the owner of a key.
func (w *World) Owner(service, key string) (pollenlatch.Owner, bool) {
	if service != w.svc.Name {
		return pollenlatch.Owner{}, false
	}
	if i, ok := w.key(key); ok {
		return w.keys[i], true
	}
	return w.ranges[pollenlatch.RangeOf(service, key, w.svc.RangeBits)], true
}

// ShardOwner returns the owner of a shard.
func (w *World) ShardOwner(s pollenlatch.Shard) (pollenlatch.Owner, bool) {
	if s.Service != w.svc.Name {
		return pollenlatch.Owner{}, false
	}
	if o := w.at(s); o != nil {
		return *o, true
	}
	return pollenlatch.Owner{}, false
}

// Instance returns an instance.
func (w *World) Instance(id pollenlatch.InstanceID) (pollenlatch.Instance, bool) {
	if id == 0 || int(id) > len(w.insts) {
		return pollenlatch.Instance{}, false
	}
	return w.insts[id-1], true
}

// InstanceByName finds no instance: they have no names here.
func (w *World) InstanceByName(string) (pollenlatch.Instance, bool) {
	return pollenlatch.Instance{}, false
}

// Endpoints returns the instances that hold a lease.
func (w *World) Endpoints(service string) []pollenlatch.Instance {
	if service != w.svc.Name {
		return nil
	}
	list := make([]pollenlatch.Instance, 0, len(w.insts))
	for _, i := range w.insts {
		if i.Alive() {
			list = append(list, i)
		}
	}
	return list
}

// EachOwned lists an instance's shards, or for instance 0 those without owner.
func (w *World) EachOwned(id pollenlatch.InstanceID, service string, f func(pollenlatch.Owner) bool) {
	if service != "" && service != w.svc.Name {
		return
	}
	for _, r := range w.owned[id] {
		if !f(w.ranges[r]) {
			return
		}
	}
	for _, k := range w.keys {
		if k.Instance == id && !f(k) {
			return
		}
	}
}

// OwnedCount returns the number of an instance's shards.
func (w *World) OwnedCount(id pollenlatch.InstanceID, service string) int {
	if service != w.svc.Name {
		return 0
	}
	n := len(w.owned[id])
	for _, k := range w.keys {
		if k.Instance == id {
			n++
		}
	}
	return n
}

// HotKeys returns the records of hot keys.
func (w *World) HotKeys(service string) []pollenlatch.Owner {
	if service != w.svc.Name {
		return nil
	}
	return w.keys
}

// EachShard calls f for every range and every hot key's record.
func (w *World) EachShard(service string, f func(pollenlatch.Owner) bool) {
	if service != w.svc.Name {
		return
	}
	for _, list := range [][]pollenlatch.Owner{w.ranges, w.keys} {
		for _, o := range list {
			if !f(o) {
				return
			}
		}
	}
}

// EachChangedRange calls f for every range that changed after a version.
func (w *World) EachChangedRange(service string, since pollenlatch.Version, f func(pollenlatch.Owner)) bool {
	if service != w.svc.Name {
		return false
	}
	for i := len(w.log) - 1; i >= 0 && w.log[i].at > since; i-- {
		f(w.ranges[w.log[i].r])
	}
	return true
}
