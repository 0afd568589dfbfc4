package state

import (
	"maps"

	"pollenlatch"
)

// MaxInstanceID bounds instance numbers. At 1,400 new names a day it is reached
// after 32 years, and the list of pages of instances stays below 256 KB.
const MaxInstanceID = 1<<24 - 1

// holder is an instance number with two flags in its highest bits.
type packedOwner uint32

const (
	flagUnowned   packedOwner = 1 << 31 // the number is of the last owner
	flagNoRecords packedOwner = 1 << 30
	packedIDMask              = packedOwner(MaxInstanceID)
)

const (
	// A change copies the pages that it touches. Groups of 8 neighbouring ranges
	// change hands together, so a page of more of them copies mostly what stays; a
	// page of fewer makes the list of pages long, which is copied as well.
	ownerPageShift = 6
	ownerPageSize  = 1 << ownerPageShift
	ownerPageMask  = ownerPageSize - 1
)

// page holds the records of 64 ranges in 12 bytes each. It is immutable once
// it belongs to a State.
type ownerPage struct {
	version pollenlatch.Version // of its last change, or of the snapshot that it came with
	fences  [ownerPageSize]pollenlatch.Fence
	owners  [ownerPageSize]packedOwner
	// next holds the targets of hand-overs. It is nil when no range of the
	// page is frozen, which is the usual case.
	nextOwners *[ownerPageSize]pollenlatch.InstanceID
	numFrozen  int
	// tokens of ranges that a server has released for its next one, nil when there
	// are none. The map may belong to other pages too unless own is set.
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

// service is a service with its owner table.
type service struct {
	pollenlatch.Service
	trackedSince pollenlatch.Version          // of its creation, or of the snapshot that it came with
	pages        []*ownerPage                 // nil: no range of the page ever had an owner
	hotKeys      map[string]pollenlatch.Owner // records of hot keys
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
// such range, or the key has no record of its own.
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

// each calls f for every range and every hot key's record until f returns
// false. Keys come after ranges, in order.
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

// EachChangedRange calls f for the ranges that may have changed after the version. It
// returns false when the service is newer than that or does not exist.
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

// held calls f for every shard that the instance owns, or that nobody owns
// when id is 0, until f returns false.
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
