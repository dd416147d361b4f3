package limit

import "time"

// sharedReadShare is the part of a rate that many readers use together. The rest is for the one that
// reads regularly, and for readers that count fewer of each other than there are.
const sharedReadShare = 0.5

// SharedReads spreads the reads of many readers that all lose their common source at the same
// moment, so that together they stay below the rate of calls that another source accepts.
//
// The load pattern is a leader that stops: hundreds of entries then read a list that takes tens of
// calls a second from all of them.
type SharedReads struct {
	// Readers is the number of readers, Calls the number of calls that one read takes.
	Readers, Calls int
	// CallsPerSecond is the rate that the source accepts from all readers; zero means that it isn't known.
	CallsPerSecond float64
	// Place is this reader's place among the readers, evenly distributed in [0, 1).
	Place float64
}

// minReadInterval is the least time between two reads of one reader.
const minReadInterval = 500 * time.Millisecond

// Interval returns the time between two reads of one reader.
func (s SharedReads) Interval() time.Duration {
	if s.CallsPerSecond <= 0 {
		return minReadInterval
	}
	calls := float64(max(s.Readers, 1) * max(s.Calls, 1))
	return max(time.Duration(calls/(sharedReadShare*s.CallsPerSecond)*float64(time.Second)), minReadInterval)
}

// Due reports whether the reader should read now: silence is how long the common source has been
// lost, negative while it isn't, and last the time since the reader's last read if it has read
// before.
func (s SharedReads) Due(silence, last time.Duration, read bool) bool {
	interval := s.Interval()
	if silence < 0 || read && last < interval {
		return false
	}
	return silence >= time.Duration(s.Place*float64(interval-minReadInterval))
}
