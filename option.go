package pollenlatch

// Option is a value that may be absent. The zero value is absent.
type Option[T any] struct {
	value T
	set   bool
}

// Some returns an option that holds v.
func Some[T any](v T) Option[T] { return Option[T]{value: v, set: true} }

// Get returns the value, and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.value, o.set }

// Or returns the value, or other when it is absent.
func (o Option[T]) Or(other T) T {
	if o.set {
		return o.value
	}
	return other
}

// Set is a set of comparable values. The zero value is empty and read-only;
// With returns a changed copy.
type Set[T comparable] map[T]struct{}

// SetOf returns a set of the given values.
func SetOf[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s[v] = struct{}{}
	}
	return s
}

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// With returns a copy of the set that also holds v.
func (s Set[T]) With(v T) Set[T] {
	c := make(Set[T], len(s)+1)
	for k := range s {
		c[k] = struct{}{}
	}
	c[v] = struct{}{}
	return c
}
