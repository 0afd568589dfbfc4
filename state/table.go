package state

import (
	"maps"

	"pollenlatch"
)

// MaxInstanceID is the highest instance ID. At 1,400 new names a day it is reached
// after 32 years, and the page list of State.instances stays below 256 KB.
const MaxInstanceID = 1<<24 - 1

// packedOwner is the present or previous owner of a range, with two flags in the
// highest bits.
type packedOwner uint32

const (
	flagUnowned   packedOwner = 1 << 31 // the range has no owner; the ID is that of the previous one
	flagNoRecords packedOwner = 1 << 30
	packedIDMask              = packedOwner(MaxInstanceID)
)

const (
	// A change copies the pages that it modifies. Groups of 8 neighbouring ranges
	// move together, so larger pages would copy more ranges that don't change, and
	// smaller ones would lengthen the list of pages, which is copied too.
	ownerPageShift = 6
	ownerPageSize  = 1 << ownerPageShift
	ownerPageMask  = ownerPageSize - 1
)

// ownerPage holds the owner records of 64 ranges, in 12 bytes each. It is immutable
// once it belongs to a State.
type ownerPage struct {
	version pollenlatch.Version // of the last change, or of the snapshot that the page was loaded from
	fences  [ownerPageSize]pollenlatch.Fence
	owners  [ownerPageSize]packedOwner
	// nextOwners holds the targets of hand-overs. It is nil when no range of the
	// page is frozen, which is the common case.
	nextOwners *[ownerPageSize]pollenlatch.InstanceID
	numFrozen  int
	// tokens holds Owner.Token of the ranges that have one; nil when none has. The
	// map may be shared with other pages unless ownsTokens is set.
	tokens     map[int]string
	ownsTokens bool
}

func (p *ownerPage) clone() *ownerPage {
	c := *p
	if p.nextOwners != nil {
		next := *p.nextOwners
		c.nextOwners = &next
	}
	c.ownsTokens = false
	return &c
}

func (p *ownerPage) get(i int) (o pollenlatch.Owner) {
	h := p.owners[i]
	o.Fence = p.fences[i]
	o.NoRecords = h&flagNoRecords != 0
	id := pollenlatch.InstanceID(h & packedIDMask)
	if h&flagUnowned != 0 {
		o.Previous = id
	} else {
		o.Instance = id
	}
	if p.nextOwners != nil {
		o.Next = p.nextOwners[i]
	}
	o.Token = p.tokens[i]
	return o
}

func (p *ownerPage) set(i int, o pollenlatch.Owner) {
	h := packedOwner(o.Instance)
	if o.Instance == 0 && o.Previous != 0 {
		h = packedOwner(o.Previous) | flagUnowned
	}
	if o.NoRecords {
		h |= flagNoRecords
	}
	p.fences[i], p.owners[i] = o.Fence, h
	p.setNext(i, o.Next)
	p.setToken(i, o.Token)
}

func (p *ownerPage) setToken(i int, token string) {
	if p.tokens[i] == token {
		return
	}
	if !p.ownsTokens {
		p.tokens, p.ownsTokens = maps.Clone(p.tokens), true
	}
	switch {
	case token == "":
		delete(p.tokens, i)
	case p.tokens == nil:
		p.tokens = map[int]string{i: token}
	default:
		p.tokens[i] = token
	}
	if len(p.tokens) == 0 {
		p.tokens = nil
	}
}

func (p *ownerPage) setNext(i int, next pollenlatch.InstanceID) {
	if p.nextOwners == nil {
		if next == 0 {
			return
		}
		p.nextOwners = new([ownerPageSize]pollenlatch.InstanceID)
	}
	if p.nextOwners[i] != 0 {
		p.numFrozen--
	}
	if next != 0 {
		p.numFrozen++
	}
	p.nextOwners[i] = next
	if p.numFrozen == 0 {
		p.nextOwners = nil
	}
}

// service is a service with its owner table. It is immutable once it belongs to a
// State.
type service struct {
	pollenlatch.Service
	trackedSince pollenlatch.Version          // version since which changes are known: that of its creation or snapshot
	pages        []*ownerPage                 // a nil page has no range that ever had an owner
	hotKeys      map[string]pollenlatch.Owner // owner records of hot keys, by key
}

func newService(s pollenlatch.Service) *service {
	return &service{Service: s, pages: make([]*ownerPage, (s.NumRanges()+ownerPageMask)>>ownerPageShift)}
}

func (s *service) shard(r pollenlatch.Range) pollenlatch.Shard {
	return pollenlatch.Shard{Service: s.Name, Range: r}
}

func (s *service) hasRange(r pollenlatch.Range) bool { return int(r) < s.NumRanges() }

func (s *service) rangeOwner(r pollenlatch.Range) pollenlatch.Owner {
	var o pollenlatch.Owner
	if p := s.pages[r>>ownerPageShift]; p != nil {
		o = p.get(int(r & ownerPageMask))
	}
	o.Shard = s.shard(r)
	return o
}

// owner returns the owner of a shard. ok is false when the service has no
// such range, or the key has no owner record.
func (s *service) owner(shard pollenlatch.Shard) (o pollenlatch.Owner, ok bool) {
	if !s.hasRange(shard.Range) {
		return pollenlatch.Owner{}, false
	}
	if shard.Key == "" {
		return s.rangeOwner(shard.Range), true
	}
	o, ok = s.hotKeys[shard.Key]
	return o, ok && o.Range == shard.Range
}

// eachShard calls f for every range, and then for every hot key with an owner
// record in order of the keys, until f returns false. It reports whether it
// reached the end.
func (s *service) eachShard(f func(pollenlatch.Owner) bool) bool {
	for r := range s.NumRanges() {
		if !f(s.rangeOwner(pollenlatch.Range(r))) {
			return false
		}
	}
	for _, k := range s.sortedHotKeys() {
		if !f(s.hotKeys[k]) {
			return false
		}
	}
	return true
}

// EachChangedRange calls f for every range that changed after the version, and
// possibly for unchanged ones. It returns false without calling f when the changes
// since then are not known, or the service does not exist.
func (s *State) EachChangedRange(service string, since pollenlatch.Version, f func(pollenlatch.Owner)) bool {
	svc, ok := s.services[service]
	if !ok || since < svc.trackedSince {
		return false
	}
	for n, p := range svc.pages {
		if p == nil || p.version <= since {
			continue
		}
		for i := range min(ownerPageSize, svc.NumRanges()-n<<ownerPageShift) {
			f(svc.rangeOwner(pollenlatch.Range(n<<ownerPageShift | i)))
		}
	}
	return true
}

// eachOwned calls f for every shard that the instance owns, or that has no owner
// when id is 0, until f returns false. It reports whether it reached the end.
func (s *service) eachOwned(id pollenlatch.InstanceID, f func(pollenlatch.Owner) bool) bool {
	if id == 0 {
		return s.eachShard(func(o pollenlatch.Owner) bool { return o.Instance != 0 || f(o) })
	}
	for i, p := range s.pages {
		if p == nil {
			continue
		}
		for j, h := range p.owners {
			if h&^flagNoRecords != packedOwner(id) {
				continue
			}
			if !f(s.rangeOwner(pollenlatch.Range(i<<ownerPageShift | j))) {
				return false
			}
		}
	}
	for _, k := range s.sortedHotKeys() {
		if o := s.hotKeys[k]; o.Instance == id && !f(o) {
			return false
		}
	}
	return true
}
