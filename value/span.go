package value

import (
	"fmt"
	"time"
)

// Span is a duration that settings and JSON write as text such as "1.5s".
type Span struct{ time.Duration }

// SpanOf wraps d.
func SpanOf(d time.Duration) Span { return Span{d} }

// MarshalText writes the span as Go writes durations.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a Go duration; a missing unit or a negative span is an error.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("read duration %q: want a number with a unit such as 300ms or 5s", text)
	}
	if d < 0 {
		return fmt.Errorf("read duration %q: it is negative", text)
	}
	s.Duration = d
	return nil
}
