package state

import (
	"fmt"
	"slices"

	"pollenlatch"
)

// join starts a lease. A duplicate of the Join that created the current lease
// changes nothing and returns that lease.
func (d *draft) join(j *pollenlatch.Join) {
	old, ok := d.InstanceByName(j.Name)
	switch {
	case j.Name == "":
		d.result.Rejection = "instance has no name"
		return
	case anyTooLong(j.Name, j.DC, j.Addr, j.Front):
		d.result.Rejection = fmt.Sprintf("a name or address has more than %d bytes", MaxNameBytes)
		return
	case ok && old.Alive() && old.Incarnation != j.Incarnation && j.Takeover:
		d.takeover(old, j)
		return
	case ok && old.Alive() && old.Incarnation != j.Incarnation:
		d.result.Rejection = fmt.Sprintf("instance %q has lease %d with another incarnation", j.Name, old.Lease)
		return
	case ok && old.Alive():
		d.result.Instance, d.result.Lease = old.ID, old.Lease
		return
	case !ok:
		if !d.makeRoom() {
			return
		}
		d.lastInstanceID++
		d.instanceCount++
		old.ID = d.lastInstanceID
		d.idsByName = d.idsByName.with(j.Name, d.lastInstanceID)
	}
	d.result.Instance, d.result.Lease = old.ID, pollenlatch.Lease(d.fence)
	d.setInstance(instance{Instance: pollenlatch.Instance{
		Endpoint:    leavingEndpoint(old),
		ID:          old.ID,
		Name:        j.Name,
		DC:          j.DC,
		Addr:        j.Addr,
		Front:       j.Front,
		Incarnation: j.Incarnation,
		Lease:       pollenlatch.Lease(d.fence),
		Storage:     j.Storage,
	}})
}

// leavingEndpoint returns the endpoint of an instance if its server is leaving, or nil.
// Such a server may outlast the lease, and the next process of the daemon must not
// send requests to it.
func leavingEndpoint(i pollenlatch.Instance) *pollenlatch.Endpoint {
	if e := i.Endpoint; e != nil && e.Heartbeats && e.Draining {
		return e
	}
	return nil
}

// takeover replaces the lease of an instance whose process has ended by a new
// lease for its next process. Shards and the announced endpoint stay.
func (d *draft) takeover(old pollenlatch.Instance, j *pollenlatch.Join) {
	d.result.Instance, d.result.Lease = old.ID, pollenlatch.Lease(d.fence)
	old.DC, old.Addr, old.Front = j.DC, j.Addr, j.Front
	old.Incarnation, old.Storage = j.Incarnation, j.Storage
	old.Lease = pollenlatch.Lease(d.fence)
	d.setInstance(instance{Instance: old})
}

// makeRoom makes room for one more instance by removing the one whose lease
// ended first, if necessary. If that is impossible it rejects the command and
// returns false.
func (d *draft) makeRoom() bool {
	if d.lastInstanceID >= MaxInstanceID {
		d.result.Rejection = "no instance number is left"
		return false
	}
	if d.instanceCount < MaxInstances {
		return true
	}
	var oldest *instance
	d.instances.each(func(_ uint64, i *instance) bool {
		if !i.Alive() && (oldest == nil || i.leaseEndedAt < oldest.leaseEndedAt) {
			oldest = i
		}
		return true
	})
	if oldest == nil {
		d.result.Rejection = fmt.Sprintf("%d instances hold a lease, and there is no room for another", d.instanceCount)
		return false
	}
	d.idsByName = d.idsByName.without(oldest.Name)
	d.instances = d.instances.with(uint64(oldest.ID), nil)
	d.instanceCount--
	return true
}

// expire ends a lease. The announced endpoint is kept until the instance joins
// again, and longer if its server is leaving: the leader needs to know whether the server checks fences when it
// reassigns the shards.
func (d *draft) expire(e *pollenlatch.Expire) {
	i := d.instances.get(uint64(e.Instance))
	if rejection := checkLease(i, e.Instance, e.Lease); rejection != "" {
		d.result.Rejection = rejection
		return
	}
	c := *i
	c.Lease = 0
	c.leaseEndedAt = d.version
	d.setInstance(c)
	for _, name := range d.sortedServiceNames() {
		d.removeOwner(d.services[name], e.Instance)
	}
}

// removeOwner leaves the instance's shards of a service without an owner and
// cancels the hand-overs to the instance.
func (d *draft) removeOwner(svc *service, id pollenlatch.InstanceID) {
	update := func(o pollenlatch.Owner) {
		switch id {
		case o.Instance:
			o.Instance, o.Previous, o.Next, o.Token = 0, id, 0, ""
			d.setOwner(o)
		case o.Next:
			d.setOwner(d.cancelHandOver(o))
		}
	}
	for n, p := range svc.pages {
		if p == nil {
			continue
		}
		// Most pages have no shard of the instance, so the loop over the
		// owners does no other work.
		for i := range p.owners {
			if p.owners[i]&^flagNoRecords == packedOwner(id) {
				update(svc.rangeOwner(pollenlatch.Range(n<<ownerPageShift | i)))
			}
		}
		if p.nextOwners == nil {
			continue
		}
		for i, next := range p.nextOwners {
			if next == id && p.owners[i]&^flagNoRecords != packedOwner(id) {
				update(svc.rangeOwner(pollenlatch.Range(n<<ownerPageShift | i)))
			}
		}
	}
	for _, k := range svc.sortedHotKeys() {
		update(svc.hotKeys[k])
	}
}

// announce records the endpoint that an instance announces.
func (d *draft) announce(a *pollenlatch.Announce) {
	i := d.instances.get(uint64(a.Instance))
	if rejection := checkLease(i, a.Instance, a.Lease); rejection != "" {
		d.result.Rejection = rejection
		return
	}
	c, e := *i, a.Endpoint
	if anyTooLong(e.Service, e.Addr) {
		d.result.Rejection = fmt.Sprintf("a name or address has more than %d bytes", MaxNameBytes)
		return
	}
	restarted := e.Heartbeats && c.Endpoint != nil && c.Endpoint.Incarnation != e.Incarnation
	if left := leavingEndpoint(c.Instance); left != nil && !restarted {
		e.Draining = true // a server does not return from that, and a restarted daemon may not know it yet
	}
	c.Endpoint = &e
	d.setInstance(c)
	if !restarted {
		return
	}
	// The server that had the grants has ended. Its successor starts without
	// any and needs higher fences.
	for _, name := range d.sortedServiceNames() {
		d.removeOwner(d.services[name], a.Instance)
	}
}

// anyTooLong reports whether any of the names or addresses exceeds MaxNameBytes.
func anyTooLong(list ...string) bool {
	return slices.ContainsFunc(list, func(s string) bool { return len(s) > MaxNameBytes })
}

// checkLease returns why a command under the lease l must be rejected, or "".
func checkLease(i *instance, id pollenlatch.InstanceID, l pollenlatch.Lease) string {
	switch {
	case i == nil:
		return fmt.Sprintf("instance %d does not exist", id)
	case l == 0 || i.Lease != l:
		return fmt.Sprintf("instance %q holds lease %d, not %d", i.Name, i.Lease, l)
	}
	return ""
}

// setInstance stores a changed instance and updates the lists of endpoints. Whether the
// instance is evacuated follows from its data centre.
func (d *draft) setInstance(i instance) {
	i.Evacuated = d.evacuations.has(i.DC)
	old := d.instances.get(uint64(i.ID))
	d.instances = d.instances.with(uint64(i.ID), &i)
	before, after := listedService(old), listedService(&i)
	if before == "" && after == "" {
		return
	}
	d.endpointsByService = cloneMap(d.endpointsByService)
	if before != "" {
		d.updateEndpointList(before, i.ID, false)
	}
	if after != "" {
		d.updateEndpointList(after, i.ID, true)
	}
}

// listedService returns the service under which an instance's endpoint is
// listed, or "" when it is not.
func listedService(i *instance) string {
	if i == nil || !i.Alive() || i.Endpoint == nil {
		return ""
	}
	return i.Endpoint.Service
}

// updateEndpointList adds an instance to the endpoints of a service, or removes
// it. It replaces the list also when the IDs stay, because the instance changed.
func (d *draft) updateEndpointList(service string, id pollenlatch.InstanceID, add bool) {
	var ids []pollenlatch.InstanceID
	if e, ok := d.endpointsByService[service]; ok {
		ids = slices.Clone(e.ids)
	}
	n, found := slices.BinarySearch(ids, id)
	switch {
	case add && !found:
		ids = slices.Insert(ids, n, id)
	case !add && found:
		ids = slices.Delete(ids, n, n+1)
	}
	if len(ids) == 0 {
		delete(d.endpointsByService, service)
		return
	}
	d.endpointsByService[service] = &endpointList{ids: ids}
}
