package state

import (
	"maps"
	"slices"
	"sync"

	"pollenlatch"
)

// Limits on the size of the state.
const (
	MaxRanges    = 1 << pollenlatch.MaxRangeBits // ranges of all services together; they take 12 MB
	MaxHotKeys   = 256                           // hot keys of one service that have an owner record
	MaxKeyBytes  = 1024                          // length of a hot key
	MaxCallers   = 1 << 14
	MaxInstances = 1 << 14 // with and without a lease
)

// State is the replicated state at one version. The zero value is the empty
// state at version 0.
type State struct {
	version            pollenlatch.Version
	services           map[string]*service
	callers            map[string]pollenlatch.Caller
	voters             []pollenlatch.Member
	instances          vector[instance]
	instanceCount      int
	lastInstanceID     pollenlatch.InstanceID // highest ID assigned so far; IDs are not reused
	idsByName          nameTable
	endpointsByService map[string]*endpointList
	tickets            ticketHistory
	items              *itemSet    // nil before the first configuration change
	suspects           *suspectSet // nil before the first Crash
	evacuations        evacuationSet
}

// instance is an instance with the version at which its last lease ended.
type instance struct {
	pollenlatch.Instance
	leaseEndedAt pollenlatch.Version
}

// endpointList lists the instances with a lease and an endpoint of one service.
// It is replaced when any of them changes. instances is built on first use.
type endpointList struct {
	ids       []pollenlatch.InstanceID
	once      sync.Once
	instances []pollenlatch.Instance
}

var (
	_ pollenlatch.View        = (*State)(nil)
	_ pollenlatch.ConfigView  = (*State)(nil)
	_ pollenlatch.SuspectView = (*State)(nil)
)

// Version returns the index of the last applied entry.
func (s *State) Version() pollenlatch.Version { return s.version }

// Service returns a service by name.
func (s *State) Service(name string) (pollenlatch.Service, bool) {
	svc, ok := s.services[name]
	if !ok {
		return pollenlatch.Service{}, false
	}
	return svc.Service, true
}

// Services returns all services, sorted by name.
func (s *State) Services() []pollenlatch.Service {
	list := make([]pollenlatch.Service, 0, len(s.services))
	for _, name := range s.sortedServiceNames() {
		list = append(list, s.services[name].Service)
	}
	return list
}

// Caller returns a caller by name.
func (s *State) Caller(name string) (pollenlatch.Caller, bool) {
	c, ok := s.callers[name]
	return c, ok
}

// Callers returns all callers, sorted by name.
func (s *State) Callers() []pollenlatch.Caller {
	list := make([]pollenlatch.Caller, 0, len(s.callers))
	for _, name := range slices.Sorted(maps.Keys(s.callers)) {
		list = append(list, s.callers[name])
	}
	return list
}

// Voters returns the voters of the last accepted ticket that lists any. The
// result must not be changed.
func (s *State) Voters() []pollenlatch.Member { return s.voters }

// Owner returns the owner of a key: that of its own record if the key is hot,
// otherwise that of its range. ok is false when the service does not exist or
// the key is not valid for it.
func (s *State) Owner(service, key string) (o pollenlatch.Owner, ok bool) {
	svc, ok := s.services[service]
	if !ok {
		return pollenlatch.Owner{}, false
	}
	if o, ok := svc.hotKeys[key]; ok {
		return o, true
	}
	r, ok := svc.RangeOf(key)
	if !ok {
		return pollenlatch.Owner{}, false
	}
	return svc.rangeOwner(r), true
}

// ShardOwner returns the owner of a shard. ok is false when the service has no
// such range, or the key has no owner record.
func (s *State) ShardOwner(shard pollenlatch.Shard) (o pollenlatch.Owner, ok bool) {
	svc, ok := s.services[shard.Service]
	if !ok {
		return pollenlatch.Owner{}, false
	}
	return svc.owner(shard)
}

// Instance returns an instance by ID.
func (s *State) Instance(id pollenlatch.InstanceID) (pollenlatch.Instance, bool) {
	i := s.instances.get(uint64(id))
	if i == nil {
		return pollenlatch.Instance{}, false
	}
	return i.Instance, true
}

// Instances returns all instances, with and without a lease, sorted by ID.
func (s *State) Instances() []pollenlatch.Instance {
	list := make([]pollenlatch.Instance, 0, s.instanceCount)
	s.instances.each(func(_ uint64, i *instance) bool {
		list = append(list, i.Instance)
		return true
	})
	return list
}

// InstanceByName returns an instance by name.
func (s *State) InstanceByName(name string) (pollenlatch.Instance, bool) {
	return s.Instance(s.idsByName.get(name))
}

// Endpoints returns the instances that hold a lease and have an endpoint of
// the service, sorted by ID. The result must not be changed.
func (s *State) Endpoints(service string) []pollenlatch.Instance {
	e, ok := s.endpointsByService[service]
	if !ok {
		return nil
	}
	e.once.Do(func() {
		e.instances = make([]pollenlatch.Instance, len(e.ids))
		for n, id := range e.ids {
			e.instances[n] = s.instances.get(uint64(id)).Instance
		}
	})
	return e.instances[:len(e.instances):len(e.instances)]
}

// EachOwned calls f for every shard of the service that the instance owns, until f
// returns false. Service "" selects all services; instance 0 selects the shards
// without an owner.
func (s *State) EachOwned(id pollenlatch.InstanceID, service string, f func(pollenlatch.Owner) bool) {
	if service != "" {
		if svc, ok := s.services[service]; ok {
			svc.eachOwned(id, f)
		}
		return
	}
	for _, name := range s.sortedServiceNames() {
		if !s.services[name].eachOwned(id, f) {
			return
		}
	}
}

// EachShard calls f for every range of the service and then for every hot key
// with an owner record, until f returns false.
func (s *State) EachShard(service string, f func(pollenlatch.Owner) bool) {
	if svc, ok := s.services[service]; ok {
		svc.eachShard(f)
	}
}

// HotKeys returns the owner records of a service's hot keys, sorted by key.
func (s *State) HotKeys(service string) []pollenlatch.Owner {
	svc, ok := s.services[service]
	if !ok {
		return nil
	}
	list := make([]pollenlatch.Owner, 0, len(svc.hotKeys))
	for _, k := range svc.sortedHotKeys() {
		list = append(list, svc.hotKeys[k])
	}
	return list
}

func (s *State) sortedServiceNames() []string { return slices.Sorted(maps.Keys(s.services)) }

func (s *service) sortedHotKeys() []string {
	if len(s.hotKeys) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(s.hotKeys))
}
