// Package tally adds up the amounts that many reporters hold by name, such as the prompt tokens that
// each entry has outstanding at each endpoint, and passes the sums on.
//
// It owns the running sums, the numbering of names that makes them short on the wire, and the
// reader's copy. A report costs the reporter's own amounts, not those of all reporters; a published
// snapshot is encoded once and shared by all readers. The package has no I/O and no clock.
package tally

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("tally")
	// Malformed reports an update that doesn't continue what the reader holds or can't be decoded.
	// The reader then needs a whole.
	Malformed = namespace.NewType("malformed")
)

// Amount is an amount under a name.
type Amount struct {
	Name  string
	Value uint32
}

// Sums holds the sums over the latest reports of all reporters. It is not safe for concurrent use.
type Sums struct {
	edition uint64
	// numbers holds the number of each name, names the reverse. Names are only added within an edition.
	numbers map[string]uint32
	names   []string
	totals  []uint64
	reports map[string]report
	// reporters are the keys of reports, sorted.
	reporters []string
	// live counts the totals above zero.
	live int
}

// report is the latest report of one reporter.
type report struct {
	at      time.Duration
	numbers []uint32
	values  []uint32
}

// New returns empty sums. The edition identifies their numbering; no two may have the same.
func New(edition uint64) *Sums {
	return &Sums{edition: edition, numbers: map[string]uint32{}, reports: map[string]report{}}
}

// Report replaces the amounts of a reporter. A name that occurs several times counts each time.
func (s *Sums) Report(reporter string, amounts []Amount, now time.Duration) {
	old, known := s.reports[reporter]
	if !known {
		at, _ := slices.BinarySearch(s.reporters, reporter)
		s.reporters = slices.Insert(s.reporters, at, reporter)
	}
	next := report{at: now, numbers: make([]uint32, 0, len(amounts)), values: make([]uint32, 0, len(amounts))}
	for _, a := range amounts {
		if a.Value == 0 {
			continue
		}
		n := s.number(a.Name)
		next.numbers, next.values = append(next.numbers, n), append(next.values, a.Value)
		if s.totals[n] == 0 {
			s.live++
		}
		s.totals[n] += uint64(a.Value)
	}
	s.reports[reporter] = next
	s.subtract(old)
}

// Expire drops the reporters whose latest report is older than ttl.
func (s *Sums) Expire(now, ttl time.Duration) {
	s.reporters = slices.DeleteFunc(s.reporters, func(reporter string) bool {
		r := s.reports[reporter]
		if now-r.at <= ttl {
			return false
		}
		delete(s.reports, reporter)
		s.subtract(r)
		return true
	})
	s.renumber()
}

func (s *Sums) subtract(r report) {
	for i, n := range r.numbers {
		if s.totals[n] -= uint64(r.values[i]); s.totals[n] == 0 {
			s.live--
		}
	}
}

// Reporters returns the number of reporters, and how many of them precede one in the order of their
// names.
func (s *Sums) Reporters(of string) (count, before int) {
	before, _ = slices.BinarySearch(s.reporters, of)
	return len(s.reporters), before
}

// Total returns the sum of the amounts under a name.
func (s *Sums) Total(name string) uint64 {
	n, ok := s.numbers[name]
	if !ok {
		return 0
	}
	return s.totals[n]
}

func (s *Sums) number(name string) uint32 {
	n, ok := s.numbers[name]
	if !ok {
		n = uint32(len(s.names))
		s.numbers[name] = n
		s.names = append(s.names, name)
		s.totals = append(s.totals, 0)
	}
	return n
}

const (
	// minRenumber is the number of names below which unused ones are kept, maxUnusedShare how many
	// times more names than used ones there may be: endpoints come and go under new IDs.
	minRenumber    = 4096
	maxUnusedShare = 4
)

// renumber begins another edition if most of the names are no longer used.
func (s *Sums) renumber() {
	if len(s.names) < minRenumber || len(s.names) < maxUnusedShare*s.live {
		return
	}
	old := s.names
	s.edition++
	s.numbers, s.names, s.totals = map[string]uint32{}, nil, nil
	for _, r := range s.reports {
		for i, n := range r.numbers {
			r.numbers[i] = s.number(old[n])
			s.totals[r.numbers[i]] += uint64(r.values[i])
		}
	}
}

// Update is what a reader needs to bring its copy up to date.
type Update struct {
	Edition uint64
	// First is the number of the first of Names.
	First uint32
	Names []string
	// Totals holds the sums above zero, encoded; readers share it.
	Totals []byte
}

// Encoded is the state of the sums at one moment, ready to be sent to any reader. It is immutable.
type Encoded struct {
	edition uint64
	names   []string
	totals  []byte
}

// Encode returns the current state.
func (s *Sums) Encode() *Encoded {
	e := &Encoded{edition: s.edition, names: s.names[:len(s.names):len(s.names)]}
	last := 0
	for n, total := range s.totals {
		if total == 0 {
			continue
		}
		e.totals = binary.AppendUvarint(e.totals, uint64(n-last))
		e.totals = binary.AppendUvarint(e.totals, min(total, math.MaxUint32))
		last = n
	}
	return e
}

// For returns the update for a reader that holds the first known names of an edition.
func (e *Encoded) For(edition uint64, known uint32) Update {
	if edition != e.edition || int(known) > len(e.names) {
		known = 0
	}
	return Update{Edition: e.edition, First: known, Names: e.names[known:], Totals: e.totals}
}
