package tally

import (
	"encoding/binary"
	"math"
	"slices"
)

// Reader holds a reader's copy of the names. It is not safe for concurrent use.
type Reader struct {
	edition uint64
	names   []string
	numbers map[string]uint32
}

// NewReader returns a reader that knows no names.
func NewReader() *Reader { return &Reader{numbers: map[string]uint32{}} }

// Known returns the edition and the number of the names that the reader holds.
func (r *Reader) Known() (edition uint64, names uint32) { return r.edition, uint32(len(r.names)) }

// Reset makes the reader ask for a whole.
func (r *Reader) Reset() { r.edition, r.names, r.numbers = 0, nil, map[string]uint32{} }

// Install applies an update and returns the sums without the reader's own amounts, which the update
// includes. After an error the reader is reset.
func (r *Reader) Install(u Update, own []Amount) (*Snapshot, error) {
	s, err := r.install(u, own)
	if err != nil {
		r.Reset()
	}
	return s, err
}

func (r *Reader) install(u Update, own []Amount) (*Snapshot, error) {
	if u.First == 0 {
		r.edition, r.names, r.numbers = u.Edition, nil, map[string]uint32{}
	}
	if u.Edition != r.edition || int(u.First) != len(r.names) {
		return nil, Malformed.New("an update continues edition %d after %d names; the reader holds edition %d and %d names", u.Edition, u.First, r.edition, len(r.names))
	}
	for _, name := range u.Names {
		r.numbers[name] = uint32(len(r.names))
		r.names = append(r.names, name)
	}
	s := &Snapshot{edition: r.edition, names: slices.Clip(r.names)}
	rest, last := u.Totals, uint64(0)
	for len(rest) > 0 {
		step, n := binary.Uvarint(rest)
		if n <= 0 {
			return nil, Malformed.New("the totals end within a number, %d bytes from their end", len(rest))
		}
		total, m := binary.Uvarint(rest[n:])
		if last += step; m <= 0 || step > math.MaxUint32 || last >= uint64(len(r.names)) || total > math.MaxUint32 {
			return nil, Malformed.New("a total of number %d can't be read: %d names are known", last, len(r.names))
		}
		rest = rest[n+m:]
		s.numbers, s.values = append(s.numbers, uint32(last)), append(s.values, uint32(total))
	}
	for _, a := range own {
		n, ok := r.numbers[a.Name]
		if !ok {
			continue
		}
		if at, ok := slices.BinarySearch(s.numbers, n); ok {
			s.values[at] -= min(a.Value, s.values[at])
		}
	}
	return s, nil
}

// Snapshot is a copy of the sums. It is immutable.
type Snapshot struct {
	edition uint64
	names   []string
	// numbers are the numbers of the names with sums, ascending; values are the sums.
	numbers, values []uint32
}

// SnapshotOf returns a snapshot of amounts with an edition of its own.
func SnapshotOf(edition uint64, amounts []Amount) *Snapshot {
	s := New(edition)
	s.Report("", amounts, 0)
	// The update is whole, so that it can't be malformed.
	got, _ := NewReader().Install(s.Encode().For(0, 0), nil)
	return got
}

// All calls yield with the number and the sum of each name that has one. Numbers identify names
// within an edition.
func (s *Snapshot) All(yield func(number int, value uint32) bool) {
	if s == nil {
		return
	}
	for i, n := range s.numbers {
		if !yield(int(n), s.values[i]) {
			return
		}
	}
}

// Name returns the name with a number.
func (s *Snapshot) Name(number int) string { return s.names[number] }

// Edition identifies the numbering of the names; zero for a nil snapshot.
func (s *Snapshot) Edition() uint64 {
	if s == nil {
		return 0
	}
	return s.edition
}

// Value returns the sum under a name.
func (s *Snapshot) Value(name string) uint32 {
	for number, value := range s.All {
		if s.names[number] == name {
			return value
		}
	}
	return 0
}
