package state

import (
	"maps"

	"pollenlatch"
)

// MaxInstanceID bounds instance numbers. At 1,400 new names a day it is reached
// after 32 years, and the list of pages of instances stays below 256 KB.
const MaxInstanceID = 1<<24 - 1

// holder is an instance number with two flags in its highest bits.
type holder uint32

const (
	flagUnowned   holder = 1 << 31 // the number is of the last owner
	flagNoRecords holder = 1 << 30
	holderID             = holder(MaxInstanceID)
)

const (
	// A change copies the pages that it touches. Groups of 8 neighbouring ranges
	// change hands together, so a page of more of them copies mostly what stays; a
	// page of fewer makes the list of pages long, which is copied as well.
	tableShift = 6
	tableSize  = 1 << tableShift
	tableMask  = tableSize - 1
)

// page holds the records of 64 ranges in 12 bytes each. It is immutable once
// it belongs to a State.
type page struct {
	at     pollenlatch.Version // of its last change, or of the snapshot that it came with
	fence  [tableSize]pollenlatch.Fence
	holder [tableSize]holder
	// next holds the targets of hand-overs. It is nil when no range of the
	// page is frozen, which is the usual case.
	next   *[tableSize]pollenlatch.InstanceID
	frozen int
	// tokens of ranges that a server has released for its next one, nil when there
	// are none. The map may belong to other pages too unless own is set.
	tokens map[int]string
	own    bool
}

func (p *page) clone() *page {
	c := *p
	if p.next != nil {
		next := *p.next
		c.next = &next
	}
	c.own = false
	return &c
}

func (p *page) get(i int) (o pollenlatch.Owner) {
	h := p.holder[i]
	o.Fence = p.fence[i]
	o.NoRecords = h&flagNoRecords != 0
	id := pollenlatch.InstanceID(h & holderID)
	if h&flagUnowned != 0 {
		o.Previous = id
	} else {
		o.Instance = id
	}
	if p.next != nil {
		o.Next = p.next[i]
	}
	o.Token = p.tokens[i]
	return o
}

func (p *page) set(i int, o pollenlatch.Owner) {
	h := holder(o.Instance)
	if o.Instance == 0 && o.Previous != 0 {
		h = holder(o.Previous) | flagUnowned
	}
	if o.NoRecords {
		h |= flagNoRecords
	}
	p.fence[i], p.holder[i] = o.Fence, h
	p.setNext(i, o.Next)
	p.setToken(i, o.Token)
}

func (p *page) setToken(i int, token string) {
	if p.tokens[i] == token {
		return
	}
	if !p.own {
		p.tokens, p.own = maps.Clone(p.tokens), true
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

func (p *page) setNext(i int, next pollenlatch.InstanceID) {
	if p.next == nil {
		if next == 0 {
			return
		}
		p.next = new([tableSize]pollenlatch.InstanceID)
	}
	if p.next[i] != 0 {
		p.frozen--
	}
	if next != 0 {
		p.frozen++
	}
	p.next[i] = next
	if p.frozen == 0 {
		p.next = nil
	}
}

// service is a service with its owner table.
type service struct {
	pollenlatch.Service
	begun pollenlatch.Version          // of its creation, or of the snapshot that it came with
	pages []*page                      // nil: no range of the page ever had an owner
	keys  map[string]pollenlatch.Owner // records of hot keys
}

func newService(s pollenlatch.Service) *service {
	return &service{Service: s, pages: make([]*page, (s.NumRanges()+tableMask)>>tableShift)}
}

func (s *service) shard(r pollenlatch.Range) pollenlatch.Shard {
	return pollenlatch.Shard{Service: s.Name, Range: r}
}

func (s *service) has(r pollenlatch.Range) bool { return int(r) < s.NumRanges() }

func (s *service) at(r pollenlatch.Range) pollenlatch.Owner {
	var o pollenlatch.Owner
	if p := s.pages[r>>tableShift]; p != nil {
		o = p.get(int(r & tableMask))
	}
	o.Shard = s.shard(r)
	return o
}

// owner returns the owner of a shard. ok is false when the service has no
// such range, or the key has no record of its own.
func (s *service) owner(p pollenlatch.Shard) (o pollenlatch.Owner, ok bool) {
	if !s.has(p.Range) {
		return pollenlatch.Owner{}, false
	}
	if p.Key == "" {
		return s.at(p.Range), true
	}
	o, ok = s.keys[p.Key]
	return o, ok && o.Range == p.Range
}

// each calls f for every range and every hot key's record until f returns
// false. Keys come after ranges, in order.
func (s *service) each(f func(pollenlatch.Owner) bool) bool {
	for r := range s.NumRanges() {
		if !f(s.at(pollenlatch.Range(r))) {
			return false
		}
	}
	for _, k := range s.sortedKeys() {
		if !f(s.keys[k]) {
			return false
		}
	}
	return true
}

// EachChangedRange calls f for the ranges that may have changed after the version. It
// returns false when the service is newer than that or does not exist.
func (s *State) EachChangedRange(service string, since pollenlatch.Version, f func(pollenlatch.Owner)) bool {
	svc, ok := s.services[service]
	if !ok || since < svc.begun {
		return false
	}
	for n, p := range svc.pages {
		if p == nil || p.at <= since {
			continue
		}
		for i := range min(tableSize, svc.NumRanges()-n<<tableShift) {
			f(svc.at(pollenlatch.Range(n<<tableShift | i)))
		}
	}
	return true
}

// held calls f for every shard that the instance owns, or that nobody owns
// when id is 0, until f returns false.
func (s *service) held(id pollenlatch.InstanceID, f func(pollenlatch.Owner) bool) bool {
	if id == 0 {
		return s.each(func(o pollenlatch.Owner) bool { return o.Instance != 0 || f(o) })
	}
	for i, p := range s.pages {
		if p == nil {
			continue
		}
		for j, h := range p.holder {
			if h&^flagNoRecords != holder(id) {
				continue
			}
			if !f(s.at(pollenlatch.Range(i<<tableShift | j))) {
				return false
			}
		}
	}
	for _, k := range s.sortedKeys() {
		if o := s.keys[k]; o.Instance == id && !f(o) {
			return false
		}
	}
	return true
}
