package state

import (
	"fmt"

	"pollenlatch"
)

// assign applies one item of an Assign and returns why it is rejected, or "".
func (d *draft) assign(item *pollenlatch.AssignItem) string {
	svc, rejection := d.checkShard(item.Shard)
	if rejection != "" {
		return rejection
	}
	if item.Key != "" {
		return d.assignHotKey(svc, item)
	}
	if item.To == 0 {
		return "a range needs an owner"
	}
	o := svc.rangeOwner(item.Range)
	if rejection := d.checkTransfer(o, item); rejection != "" {
		return rejection
	}
	d.setOwner(d.newOwner(o, item))
	return ""
}

// assignHotKey applies an item for a hot key. A key without an owner record belongs
// to its range, so creating the record has the conditions of moving the range.
func (d *draft) assignHotKey(svc *service, item *pollenlatch.AssignItem) string {
	o, ok := svc.hotKeys[item.Key]
	switch {
	case item.To == 0 && !ok:
		return fmt.Sprintf("key %q has no record of its own", item.Key)
	case item.To == 0:
		return d.removeHotKey(svc, o, item)
	case !ok:
		return d.createHotKey(svc, item)
	}
	if rejection := d.checkTransfer(o, item); rejection != "" {
		return rejection
	}
	d.setOwner(d.newOwner(o, item))
	return ""
}

// createHotKey creates the owner record of a hot key. The range stays with its
// owner but gets a new fence: requests for the key that were routed with the old
// fence of the range, and releases with that fence, are no longer valid.
func (d *draft) createHotKey(svc *service, item *pollenlatch.AssignItem) string {
	if len(svc.hotKeys) >= MaxHotKeys {
		return fmt.Sprintf("service %q already has %d hot keys", svc.Name, MaxHotKeys)
	}
	if len(item.Key) > MaxKeyBytes {
		return fmt.Sprintf("key has %d bytes, more than %d", len(item.Key), MaxKeyBytes)
	}
	o := svc.rangeOwner(item.Range)
	if rejection := d.checkTransfer(o, item); rejection != "" {
		return rejection
	}
	if o.Instance != 0 {
		rangeOwner := o
		rangeOwner.Next, rangeOwner.Fence = 0, d.fence
		d.setOwner(rangeOwner)
	}
	o.Shard = item.Shard
	d.setOwner(d.newOwner(o, item))
	return ""
}

// removeHotKey removes the owner record of a hot key, which then belongs to its
// range again. The range gets a new fence, so that its owner has seen the removal
// before it serves the key.
func (d *draft) removeHotKey(svc *service, o pollenlatch.Owner, item *pollenlatch.AssignItem) string {
	rangeOwner := svc.rangeOwner(item.Range)
	switch {
	case o.Fence != item.ExpectedFence:
		return fenceMismatch(o, item.ExpectedFence)
	case rangeOwner.Frozen():
		return fmt.Sprintf("%s is being handed over", describeShard(rangeOwner.Shard))
	case o.Instance != 0 && (!o.Frozen() || o.Next != rangeOwner.Instance):
		return fmt.Sprintf("%s is owned by instance %d and not frozen to its range's owner, instance %d", describeShard(o.Shard), o.Instance, rangeOwner.Instance)
	case o.Instance != 0:
		if rejection := d.checkReleased(o, item.ReleasedLease); rejection != "" {
			return rejection
		}
	}
	d.deleteHotKey(o.Shard)
	if rangeOwner.Instance != 0 {
		rangeOwner.Fence = d.fence
	}
	rangeOwner.NoRecords = rangeOwner.NoRecords || item.NoRecords
	d.setOwner(rangeOwner)
	return ""
}

// checkTransfer returns why a shard may not be assigned to the item's target, or
// "".
func (d *draft) checkTransfer(o pollenlatch.Owner, item *pollenlatch.AssignItem) string {
	switch {
	case o.Fence != item.ExpectedFence:
		return fenceMismatch(o, item.ExpectedFence)
	case !d.hasLease(item.To):
		return fmt.Sprintf("instance %d has no lease", item.To)
	case o.Instance == 0:
		return ""
	case o.Next != item.To:
		return fmt.Sprintf("%s is owned by instance %d and not frozen to instance %d", describeShard(o.Shard), o.Instance, item.To)
	}
	return d.checkReleased(o, item.ReleasedLease)
}

// checkReleased returns why a release by the owner under the lease l is not valid,
// or "".
func (d *draft) checkReleased(o pollenlatch.Owner, l pollenlatch.Lease) string {
	if i, ok := d.Instance(o.Instance); !ok || l == 0 || i.Lease != l {
		return fmt.Sprintf("%s was released under lease %d, but instance %d holds lease %d", describeShard(o.Shard), l, o.Instance, i.Lease)
	}
	return ""
}

// newOwner returns the record of a shard after its assignment to the item's
// target. If idempotency records were lost while the shard had no owner, it stays
// marked with NoRecords.
func (d *draft) newOwner(o pollenlatch.Owner, item *pollenlatch.AssignItem) pollenlatch.Owner {
	return pollenlatch.Owner{
		Shard:     o.Shard,
		Instance:  item.To,
		Fence:     d.fence,
		NoRecords: item.NoRecords || (o.Instance == 0 && o.NoRecords),
		Token:     item.Token,
	}
}

// freeze applies one item of a Freeze and returns why it is rejected, or "".
func (d *draft) freeze(item *pollenlatch.FreezeItem) string {
	svc, rejection := d.checkShard(item.Shard)
	if rejection != "" {
		return rejection
	}
	o, ok := svc.owner(item.Shard)
	switch {
	case !ok:
		return fmt.Sprintf("key %q has no record of its own", item.Key)
	case o.Fence != item.ExpectedFence:
		return fenceMismatch(o, item.ExpectedFence)
	case o.Instance == 0:
		return fmt.Sprintf("%s has no owner", describeShard(o.Shard))
	case o.Frozen() && item.To == o.Instance:
		d.setOwner(d.cancelHandOver(o))
		return ""
	case o.Frozen():
		return fmt.Sprintf("%s is already frozen to instance %d", describeShard(o.Shard), o.Next)
	case item.To == o.Instance && (o.Key == "" || svc.rangeOwner(o.Range).Instance != o.Instance):
		return fmt.Sprintf("%s is not frozen", describeShard(o.Shard))
	case !d.hasLease(item.To):
		return fmt.Sprintf("instance %d has no lease", item.To)
	}
	o.Next = item.To
	d.setOwner(o)
	return ""
}

// cancelHandOver returns the record of a shard without its hand-over. It has a new
// fence: the owner may have sent a release with the old one, which must not be
// used after the owner serves the shard again.
func (d *draft) cancelHandOver(o pollenlatch.Owner) pollenlatch.Owner {
	o.Next, o.Fence = 0, d.fence
	return o
}

// checkShard returns the service of a shard, or why such a shard can't exist.
func (d *draft) checkShard(shard pollenlatch.Shard) (svc *service, rejection string) {
	svc = d.lookupService(shard.Service)
	switch {
	case svc == nil:
		return nil, fmt.Sprintf("service %q does not exist", shard.Service)
	case !svc.hasRange(shard.Range):
		return nil, fmt.Sprintf("service %q has %d ranges, no range %d", shard.Service, svc.NumRanges(), shard.Range)
	case shard.Key != "" && !svc.keyInRange(shard):
		return nil, fmt.Sprintf("key %q is not in range %d of service %q", shard.Key, shard.Range, shard.Service)
	}
	return svc, ""
}

// keyInRange reports whether the key of a shard lies in the shard's range.
func (s *service) keyInRange(shard pollenlatch.Shard) bool {
	r, ok := s.RangeOf(shard.Key)
	return ok && r == shard.Range
}

// hasLease reports whether an instance exists and has a lease.
func (d *draft) hasLease(id pollenlatch.InstanceID) bool {
	i, ok := d.Instance(id)
	return ok && i.Alive()
}

func fenceMismatch(o pollenlatch.Owner, expect pollenlatch.Fence) string {
	return fmt.Sprintf("%s has fence %d, not %d", describeShard(o.Shard), o.Fence, expect)
}

func describeShard(shard pollenlatch.Shard) string {
	if shard.Key != "" {
		return fmt.Sprintf("key %q of service %q", shard.Key, shard.Service)
	}
	return fmt.Sprintf("range %d of service %q", shard.Range, shard.Service)
}
