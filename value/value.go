// Package value provides small generic types that other packages share: Set, Option, Cache
// and Span.
//
// It has no state and imports no other package of this module.
package value

import (
	"cmp"
	"maps"
	"slices"
)

// Set is an unordered collection of distinct values. The zero value is an empty set that can't
// be added to.
type Set[T cmp.Ordered] map[T]struct{}

// SetOf returns a set of values.
func SetOf[T cmp.Ordered](values ...T) Set[T] {
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

// Add adds v to the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Remove removes v from the set.
func (s Set[T]) Remove(v T) { delete(s, v) }

// Sorted returns the values in ascending order.
func (s Set[T]) Sorted() []T { return slices.Sorted(maps.Keys(s)) }

// Option is a value that may be absent. The zero value is absent.
type Option[T any] struct {
	value T
	ok    bool
}

// Some returns an Option that holds v.
func Some[T any](v T) Option[T] { return Option[T]{value: v, ok: true} }

// None returns an absent Option.
func None[T any]() Option[T] { return Option[T]{} }

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.value, o.ok }

// Equal reports whether o and other hold equal values or none. Values of T must be comparable.
func (o Option[T]) Equal(other Option[T]) bool {
	return o.ok == other.ok && any(o.value) == any(other.value)
}

// Or returns the value, or other if it is absent.
func (o Option[T]) Or(other T) T {
	if o.ok {
		return o.value
	}
	return other
}
