package member

import (
	"slices"
	"time"

	"egretshunt/value"
)

// Silence records since when registered nodes have not reported. It is not safe for concurrent use.
type Silence struct {
	since map[string]time.Time
}

// NewSilence returns a record without silent nodes.
func NewSilence() *Silence { return &Silence{since: map[string]time.Time{}} }

// Overdue returns the registered nodes that have been silent for at least the limit, sorted.
func (s *Silence) Overdue(registered []string, reporting value.Set[string], limit time.Duration, now time.Time) []string {
	since := map[string]time.Time{}
	var overdue []string
	for _, name := range registered {
		if reporting.Has(name) {
			continue
		}
		since[name] = now
		if before, silent := s.since[name]; silent {
			since[name] = before
		}
		if now.Sub(since[name]) >= limit {
			overdue = append(overdue, name)
		}
	}
	s.since = since
	slices.Sort(overdue)
	return overdue
}
