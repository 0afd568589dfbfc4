package state

import "slices"

// A page has 512 elements: changing one element of 2^19 copies a page of 4 KB and a
// list of 1,024 pages, which takes 8 KB. The sum is close to the minimum.
const (
	pageShift = 9
	pageSize  = 1 << pageShift
	pageMask  = pageSize - 1
)

// vector is a persistent vector of pointers: copies share the pages in which they
// don't differ. Elements that were never set are nil.
type vector[T any] struct {
	pages []*[pageSize]*T
}

func (v vector[T]) get(i uint64) *T {
	p := i >> pageShift
	if p >= uint64(len(v.pages)) || v.pages[p] == nil {
		return nil
	}
	return v.pages[p][i&pageMask]
}

// with returns a copy with one element changed.
func (v vector[T]) with(i uint64, e *T) vector[T] {
	p := i >> pageShift
	pages := make([]*[pageSize]*T, max(uint64(len(v.pages)), p+1))
	copy(pages, v.pages)
	page := new([pageSize]*T)
	if pages[p] != nil {
		*page = *pages[p]
	}
	page[i&pageMask] = e
	pages[p] = page
	return vector[T]{pages: pages}
}

// replaced returns a copy in which each element is replaced by the result of f, which
// returns its argument for an element that stays. It copies each changed page once.
func (v vector[T]) replaced(f func(e *T) *T) vector[T] {
	pages := slices.Clone(v.pages)
	for p, page := range v.pages {
		if page == nil {
			continue
		}
		for i, e := range page {
			if e == nil {
				continue
			}
			next := f(e)
			if next == e {
				continue
			}
			if pages[p] == page {
				c := *page
				pages[p] = &c
			}
			pages[p][i] = next
		}
	}
	return vector[T]{pages: pages}
}

// setInPlace sets an element of a vector that is not shared yet.
func (v *vector[T]) setInPlace(i uint64, e *T) {
	p := i >> pageShift
	if n := p + 1; n > uint64(len(v.pages)) {
		v.pages = append(v.pages, make([]*[pageSize]*T, n-uint64(len(v.pages)))...)
	}
	if v.pages[p] == nil {
		v.pages[p] = new([pageSize]*T)
	}
	v.pages[p][i&pageMask] = e
}

// withoutPagesBefore returns a copy without the pages that end before element i.
func (v vector[T]) withoutPagesBefore(i uint64) vector[T] {
	n := min(i>>pageShift, uint64(len(v.pages)))
	if n == 0 || v.pages[n-1] == nil {
		return v
	}
	pages := slices.Clone(v.pages)
	clear(pages[:n])
	return vector[T]{pages: pages}
}

// each calls f for every element that is not nil, in order, until f returns false.
func (v vector[T]) each(f func(i uint64, e *T) bool) {
	for p, page := range v.pages {
		if page == nil {
			continue
		}
		for i, e := range page {
			if e != nil && !f(uint64(p)<<pageShift|uint64(i), e) {
				return
			}
		}
	}
}
