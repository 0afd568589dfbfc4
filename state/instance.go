package state

import (
	"fmt"
	"slices"

	"pollenlatch"
)

// join starts a lease. A repeat of a Join under the lease that it created
// changes nothing and returns that lease.
func (d *draft) join(j *pollenlatch.Join) {
	old, ok := d.InstanceByName(j.Name)
	switch {
	case j.Name == "":
		d.res.Rejection = "instance has no name"
		return
	case tooLong(j.Name, j.DC, j.Addr, j.Front):
		d.res.Rejection = fmt.Sprintf("a name or address has more than %d bytes", MaxNameBytes)
		return
	case ok && old.Alive() && old.Incarnation != j.Incarnation && j.Takeover:
		d.takeover(old, j)
		return
	case ok && old.Alive() && old.Incarnation != j.Incarnation:
		d.res.Rejection = fmt.Sprintf("instance %q has lease %d with another incarnation", j.Name, old.Lease)
		return
	case ok && old.Alive():
		d.res.Instance, d.res.Lease = old.ID, old.Lease
		return
	case !ok:
		if !d.room() {
			return
		}
		d.last++
		d.count++
		old.ID = d.last
		d.names = d.names.with(j.Name, d.last)
	}
	d.res.Instance, d.res.Lease = old.ID, pollenlatch.Lease(d.fence)
	d.replace(instance{Instance: pollenlatch.Instance{
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

// takeover passes the lease of an instance's process that has ended to the next
// process, under a new number. Shards, and what was said of the endpoint, stay.
func (d *draft) takeover(old pollenlatch.Instance, j *pollenlatch.Join) {
	d.res.Instance, d.res.Lease = old.ID, pollenlatch.Lease(d.fence)
	old.DC, old.Addr, old.Front = j.DC, j.Addr, j.Front
	old.Incarnation, old.Storage = j.Incarnation, j.Storage
	old.Lease = pollenlatch.Lease(d.fence)
	d.replace(instance{Instance: old})
}

// room makes room for one more instance by forgetting the one whose lease
// ended first. It is false when there is none, and the command is rejected.
func (d *draft) room() bool {
	if d.last >= MaxInstanceID {
		d.res.Rejection = "no instance number is left"
		return false
	}
	if d.count < MaxInstances {
		return true
	}
	var oldest *instance
	d.instances.each(func(_ uint64, i *instance) bool {
		if !i.Alive() && (oldest == nil || i.ended < oldest.ended) {
			oldest = i
		}
		return true
	})
	if oldest == nil {
		d.res.Rejection = fmt.Sprintf("%d instances hold a lease, and there is no room for another", d.count)
		return false
	}
	d.names = d.names.without(oldest.Name)
	d.instances = d.instances.with(uint64(oldest.ID), nil)
	d.count--
	return true
}

// expire ends a lease. What the instance says of its endpoint is kept until
// it joins again: whoever reassigns its shards needs to know whether the
// server checks fences.
func (d *draft) expire(e *pollenlatch.Expire) {
	i := d.instances.get(uint64(e.Instance))
	if why := leaseFits(i, e.Instance, e.Lease); why != "" {
		d.res.Rejection = why
		return
	}
	c := *i
	c.Lease = 0
	c.ended = d.version
	d.replace(c)
	for _, name := range d.sortedServices() {
		d.disown(d.services[name], e.Instance)
	}
}

// disown takes the shards of a service from an instance and cancels the
// hand-overs to it.
func (d *draft) disown(svc *service, id pollenlatch.InstanceID) {
	take := func(o pollenlatch.Owner) {
		switch id {
		case o.Instance:
			o.Instance, o.Previous, o.Next, o.Token = 0, id, 0, ""
			d.put(o)
		case o.Next:
			d.put(d.resumed(o))
		}
	}
	for n, p := range svc.pages {
		if p == nil {
			continue
		}
		// Most pages hold nothing of the instance, so the loop over holders
		// does nothing else.
		for i := range p.holder {
			if p.holder[i]&^flagNoRecords == holder(id) {
				take(svc.at(pollenlatch.Range(n<<tableShift | i)))
			}
		}
		if p.next == nil {
			continue
		}
		for i, next := range p.next {
			if next == id && p.holder[i]&^flagNoRecords != holder(id) {
				take(svc.at(pollenlatch.Range(n<<tableShift | i)))
			}
		}
	}
	for _, k := range svc.sortedKeys() {
		take(svc.keys[k])
	}
}

// announce records what an endpoint says of itself.
func (d *draft) announce(a *pollenlatch.Announce) {
	i := d.instances.get(uint64(a.Instance))
	if why := leaseFits(i, a.Instance, a.Lease); why != "" {
		d.res.Rejection = why
		return
	}
	c, e := *i, a.Endpoint
	if tooLong(e.Service, e.Addr) {
		d.res.Rejection = fmt.Sprintf("a name or address has more than %d bytes", MaxNameBytes)
		return
	}
	restarted := e.Heartbeats && c.Endpoint != nil && c.Endpoint.Incarnation != e.Incarnation
	c.Endpoint = &e
	d.replace(c)
	if !restarted {
		return
	}
	// The server that held the shards has ended. Its successor needs higher
	// fences.
	for _, name := range d.sortedServices() {
		d.disown(d.services[name], a.Instance)
	}
}

// tooLong reports whether a name or address would take too much of the state.
func tooLong(list ...string) bool {
	return slices.ContainsFunc(list, func(s string) bool { return len(s) > MaxNameBytes })
}

func leaseFits(i *instance, id pollenlatch.InstanceID, l pollenlatch.Lease) string {
	switch {
	case i == nil:
		return fmt.Sprintf("instance %d does not exist", id)
	case l == 0 || i.Lease != l:
		return fmt.Sprintf("instance %q holds lease %d, not %d", i.Name, i.Lease, l)
	}
	return ""
}

// replace puts a changed instance in place and keeps the lists of endpoints.
func (d *draft) replace(i instance) {
	old := d.instances.get(uint64(i.ID))
	d.instances = d.instances.with(uint64(i.ID), &i)
	before, after := listedAs(old), listedAs(&i)
	if before == "" && after == "" {
		return
	}
	d.endpoints = cloned(d.endpoints)
	if before != "" {
		d.list(before, i.ID, false)
	}
	if after != "" {
		d.list(after, i.ID, true)
	}
}

// listedAs returns the service under which an instance's endpoint is listed.
func listedAs(i *instance) string {
	if i == nil || !i.Alive() || i.Endpoint == nil {
		return ""
	}
	return i.Endpoint.Service
}

func (d *draft) list(service string, id pollenlatch.InstanceID, add bool) {
	var ids []pollenlatch.InstanceID
	if e, ok := d.endpoints[service]; ok {
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
		delete(d.endpoints, service)
		return
	}
	d.endpoints[service] = &endpoints{ids: ids}
}
