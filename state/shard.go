package state

import (
	"fmt"

	"pollenlatch"
)

// assign applies one item of an Assign and returns why it does not apply.
func (d *draft) assign(it *pollenlatch.AssignItem) string {
	svc, why := d.place(it.Shard)
	if why != "" {
		return why
	}
	if it.Key != "" {
		return d.assignKey(svc, it)
	}
	if it.To == 0 {
		return "a range needs an owner"
	}
	o := svc.at(it.Range)
	if why := d.transfer(o, it); why != "" {
		return why
	}
	d.put(d.owned(o, it))
	return ""
}

// assignKey applies an item for a hot key. A key without a record belongs to
// its range, so the first record needs what a move of the range needs.
func (d *draft) assignKey(svc *service, it *pollenlatch.AssignItem) string {
	o, ok := svc.keys[it.Key]
	switch {
	case it.To == 0 && !ok:
		return fmt.Sprintf("key %q has no record of its own", it.Key)
	case it.To == 0:
		return d.removeKey(svc, o, it)
	case !ok:
		return d.createKey(svc, it)
	}
	if why := d.transfer(o, it); why != "" {
		return why
	}
	d.put(d.owned(o, it))
	return ""
}

// createKey gives a key a record of its own. The range stays with its owner
// but gets a new fence: requests for the key that were routed by the range's
// old fence, and releases that name it, no longer count.
func (d *draft) createKey(svc *service, it *pollenlatch.AssignItem) string {
	if len(svc.keys) >= MaxHotKeys {
		return fmt.Sprintf("service %q already has %d hot keys", svc.Name, MaxHotKeys)
	}
	if len(it.Key) > MaxKeyBytes {
		return fmt.Sprintf("key has %d bytes, more than %d", len(it.Key), MaxKeyBytes)
	}
	o := svc.at(it.Range)
	if why := d.transfer(o, it); why != "" {
		return why
	}
	if o.Instance != 0 {
		kept := o
		kept.Next, kept.Fence = 0, d.fence
		d.put(kept)
	}
	o.Shard = it.Shard
	d.put(d.owned(o, it))
	return ""
}

// removeKey lets a key belong to its range again. The range gets a new fence,
// so that its owner has seen the removal before it serves the key.
func (d *draft) removeKey(svc *service, o pollenlatch.Owner, it *pollenlatch.AssignItem) string {
	r := svc.at(it.Range)
	switch {
	case o.Fence != it.ExpectedFence:
		return wrongFence(o, it.ExpectedFence)
	case r.Frozen():
		return fmt.Sprintf("%s is being handed over", text(r.Shard))
	case o.Instance != 0 && (!o.Frozen() || o.Next != r.Instance):
		return fmt.Sprintf("%s is owned by instance %d and not frozen to its range's owner, instance %d", text(o.Shard), o.Instance, r.Instance)
	case o.Instance != 0:
		if why := d.released(o, it.ReleasedLease); why != "" {
			return why
		}
	}
	d.drop(o.Shard)
	if r.Instance != 0 {
		r.Fence = d.fence
	}
	r.NoRecords = r.NoRecords || it.NoRecords
	d.put(r)
	return ""
}

// transfer returns why a shard may not go to the item's target.
func (d *draft) transfer(o pollenlatch.Owner, it *pollenlatch.AssignItem) string {
	switch {
	case o.Fence != it.ExpectedFence:
		return wrongFence(o, it.ExpectedFence)
	case !d.alive(it.To):
		return fmt.Sprintf("instance %d has no lease", it.To)
	case o.Instance == 0:
		return ""
	case o.Next != it.To:
		return fmt.Sprintf("%s is owned by instance %d and not frozen to instance %d", text(o.Shard), o.Instance, it.To)
	}
	return d.released(o, it.ReleasedLease)
}

// released returns why a release under the lease does not count.
func (d *draft) released(o pollenlatch.Owner, l pollenlatch.Lease) string {
	if i, ok := d.Instance(o.Instance); !ok || l == 0 || i.Lease != l {
		return fmt.Sprintf("%s was released under lease %d, but instance %d holds lease %d", text(o.Shard), l, o.Instance, i.Lease)
	}
	return ""
}

// owned returns the record of a shard that the item's target has now. Records
// that were lost while nobody owned the shard stay lost.
func (d *draft) owned(o pollenlatch.Owner, it *pollenlatch.AssignItem) pollenlatch.Owner {
	return pollenlatch.Owner{
		Shard:     o.Shard,
		Instance:  it.To,
		Fence:     d.fence,
		NoRecords: it.NoRecords || (o.Instance == 0 && o.NoRecords),
		Token:     it.Token,
	}
}

// freeze applies one item of a Freeze and returns why it does not apply.
func (d *draft) freeze(it *pollenlatch.FreezeItem) string {
	svc, why := d.place(it.Shard)
	if why != "" {
		return why
	}
	o, ok := svc.owner(it.Shard)
	switch {
	case !ok:
		return fmt.Sprintf("key %q has no record of its own", it.Key)
	case o.Fence != it.ExpectedFence:
		return wrongFence(o, it.ExpectedFence)
	case o.Instance == 0:
		return fmt.Sprintf("%s has no owner", text(o.Shard))
	case o.Frozen() && it.To == o.Instance:
		d.put(d.resumed(o))
		return ""
	case o.Frozen():
		return fmt.Sprintf("%s is already frozen to instance %d", text(o.Shard), o.Next)
	case it.To == o.Instance && (o.Key == "" || svc.at(o.Range).Instance != o.Instance):
		return fmt.Sprintf("%s is not frozen", text(o.Shard))
	case !d.alive(it.To):
		return fmt.Sprintf("instance %d has no lease", it.To)
	}
	o.Next = it.To
	d.put(o)
	return ""
}

// resumed returns the record of a shard whose hand-over is cancelled. It has a
// new fence, because the owner may have sent a release with the old one and
// must not be held to it after it serves the shard again.
func (d *draft) resumed(o pollenlatch.Owner) pollenlatch.Owner {
	o.Next, o.Fence = 0, d.fence
	return o
}

// place returns the service of a shard that can exist.
func (d *draft) place(p pollenlatch.Shard) (svc *service, why string) {
	svc = d.lookup(p.Service)
	switch {
	case svc == nil:
		return nil, fmt.Sprintf("service %q does not exist", p.Service)
	case !svc.has(p.Range):
		return nil, fmt.Sprintf("service %q has %d ranges, no range %d", p.Service, svc.NumRanges(), p.Range)
	case p.Key != "" && !svc.inRange(p):
		return nil, fmt.Sprintf("key %q is not in range %d of service %q", p.Key, p.Range, p.Service)
	}
	return svc, ""
}

// inRange reports whether the key of a shard lies in its range.
func (s *service) inRange(p pollenlatch.Shard) bool {
	r, ok := s.RangeOf(p.Key)
	return ok && r == p.Range
}

func (d *draft) alive(id pollenlatch.InstanceID) bool {
	i, ok := d.Instance(id)
	return ok && i.Alive()
}

func wrongFence(o pollenlatch.Owner, expect pollenlatch.Fence) string {
	return fmt.Sprintf("%s has fence %d, not %d", text(o.Shard), o.Fence, expect)
}

func text(p pollenlatch.Shard) string {
	if p.Key != "" {
		return fmt.Sprintf("key %q of service %q", p.Key, p.Service)
	}
	return fmt.Sprintf("range %d of service %q", p.Range, p.Service)
}
