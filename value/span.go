package value

import (
	"fmt"
	"time"
)

// Span is a duration that is encoded as text such as "1.5s" in settings and JSON.
type Span struct{ time.Duration }

// SpanOf returns d as a Span.
func SpanOf(d time.Duration) Span { return Span{d} }

// MarshalText returns the span in the format of time.Duration.String.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the format of time.ParseDuration. It rejects negative durations and
// durations without a unit.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration %q: want a number with a unit, such as 300ms or 5s", text)
	}
	if d < 0 {
		return fmt.Errorf("parse duration %q: must not be negative", text)
	}
	s.Duration = d
	return nil
}
