package block

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Held is one part as a store lists it.
type Held struct {
	Name   string
	Tokens int
}

// Event is a change that a store tells of.
type Event struct {
	Held
	Gone bool
}

// ShelfConfig constructs a Shelf.
type ShelfConfig struct {
	Store netip.AddrPort
	// Tokens is the store's capacity.
	Tokens int
	// Quiet is how long after a part was withdrawn, or a store was found empty, an entry may
	// still have a fetch of it under way: the life of a catalogue and the longest fetch.
	Quiet time.Duration
	// Reuse is how long after its last use a part is worth keeping.
	Reuse time.Duration
}

const (
	// mismatchGrace is how long room may be taken up by unknown parts before they are looked for;
	// above the time that writing a part takes on a slow link.
	mismatchGrace = 4 * time.Second
	// headroomParts is how many parts of the largest size seen must fit into a store that takes parts:
	// several entries save at once, and what finds no room is lost.
	headroomParts = 2
	// acceptLimit is the share of a store's capacity at which it takes no more parts.
	acceptLimit = 0.94
	// evictHighWater is the share of a store's capacity above which parts are freed.
	evictHighWater = 0.88
	// evictLowWater is the share to which it is then brought.
	evictLowWater = 0.80
	// roomUnitTokens is the unit in which stores reserve room.
	roomUnitTokens = 16
)

// Shelf is the owner's knowledge of one store that drops nothing by itself: what lies
// there whole, what is being withdrawn, and when new parts may be saved. Times are those
// of one clock. Not safe for concurrent use.
type Shelf struct {
	config ShelfConfig
	// epoch is the store's run; known is false while the store does not answer.
	epoch    int64
	synced   bool
	hasEpoch bool
	// acceptAfter is when parts may be saved; open says that this has been published.
	acceptAfter  time.Duration
	accepting    bool
	parts        map[string]*partEntry
	listedTokens int
	// reportedTokens is the room taken up as the store tells it: parts that broke off and parts whose
	// events were lost take room too.
	used int
	// mismatchSince is since when used has been well above sum; zero while it is not.
	mismatchSince time.Duration
	// unfinishedSince are the parts that were unfinished when the store was last listed.
	unfinishedSince map[string]time.Duration
	// largestTokens is the size of the largest part seen.
	largestTokens int
}

type partEntry struct {
	tokens int
	used   time.Duration
	// withdrawnAt is when readers were told to fetch the part no more; zero while it is published.
	withdrawnAt time.Duration
}

// NewShelf returns a shelf of which nothing is known. Before now plus Quiet nothing is
// saved there: an earlier owner's readers may still trust what it published.
func NewShelf(c ShelfConfig, now time.Duration) *Shelf {
	return &Shelf{config: c, parts: map[string]*partEntry{}, acceptAfter: now + c.Quiet}
}

// Lose notes that the store does not answer; what is published of it must be withdrawn.
func (s *Shelf) Lose() []Part {
	if !s.synced {
		return nil
	}
	s.synced, s.accepting = false, false
	return []Part{{Store: s.config.Store}}
}

// Use notes the room that a store says is taken up, and reports whether it should be listed
// anew to find what takes it.
func (s *Shelf) Use(tokens int, now time.Duration) bool {
	s.used = tokens
	if tokens <= s.listedTokens+headroomParts*s.largestTokens {
		s.mismatchSince = 0
		return false
	}
	if s.mismatchSince == 0 {
		s.mismatchSince = now
	}
	return now-s.mismatchSince >= mismatchGrace
}

// Unfinished takes the parts that a listing shows as unfinished and returns those that have
// been so for long: their writer broke off, and they only take up room.
func (s *Shelf) Unfinished(names []string, now time.Duration) []string {
	next := map[string]time.Duration{}
	var abandoned []string
	for _, name := range names {
		since, ok := s.unfinishedSince[name]
		if !ok {
			since = now
		}
		next[name] = since
		if now-since >= mismatchGrace {
			abandoned = append(abandoned, name)
		}
	}
	s.unfinishedSince, s.mismatchSince = next, 0
	return abandoned
}

// Known reports whether the store's content is known.
func (s *Shelf) Known() bool { return s.synced }

// Epoch returns the store's run.
func (s *Shelf) Epoch() int64 { return s.epoch }

// Fill takes a whole list of the store and returns what to publish.
func (s *Shelf) Fill(epoch int64, list []Held, now time.Duration) []Part {
	if s.hasEpoch && epoch != s.epoch {
		// Parts of the former run may still be asked for; until nobody does, none is made anew.
		s.acceptAfter = now + s.config.Quiet
		s.parts = map[string]*partEntry{}
	}
	s.epoch, s.hasEpoch, s.synced, s.accepting = epoch, true, true, false
	old := s.parts
	s.parts, s.listedTokens = map[string]*partEntry{}, 0
	changes := []Part{{Store: s.config.Store}}
	for _, h := range list {
		part := &partEntry{tokens: h.Tokens, used: now}
		if previous, ok := old[h.Name]; ok {
			part.used, part.withdrawnAt = previous.used, previous.withdrawnAt
		}
		s.parts[h.Name] = part
		s.listedTokens += roundUpTokens(h.Tokens)
		s.largestTokens = max(s.largestTokens, h.Tokens)
		if part.withdrawnAt == 0 {
			changes = append(changes, Part{Store: s.config.Store, Name: h.Name, Tokens: h.Tokens})
		}
	}
	return changes
}

// Take takes events of the present run and returns what to publish.
func (s *Shelf) Take(events []Event, now time.Duration) []Part {
	var changes []Part
	for _, e := range events {
		old, ok := s.parts[e.Name]
		switch {
		case e.Gone && ok:
			s.removePart(e.Name)
			if old.withdrawnAt == 0 {
				changes = append(changes, Part{Store: s.config.Store, Name: e.Name})
			}
		case !e.Gone && !ok:
			s.parts[e.Name] = &partEntry{tokens: e.Tokens, used: now}
			s.listedTokens += roundUpTokens(e.Tokens)
			s.largestTokens = max(s.largestTokens, e.Tokens)
			changes = append(changes, Part{Store: s.config.Store, Name: e.Name, Tokens: e.Tokens})
		}
	}
	return changes
}

func (s *Shelf) removePart(name string) {
	s.listedTokens -= roundUpTokens(s.parts[name].tokens)
	delete(s.parts, name)
}

// Opens reports whether it has changed that parts may be saved, and to what.
func (s *Shelf) Opens(now time.Duration) (accepting, changed bool) {
	if !s.synced || now < s.acceptAfter {
		return false, false
	}
	usedTokens := max(s.listedTokens, s.used)
	room := s.config.Tokens - usedTokens
	accepting = float64(usedTokens) < acceptLimit*float64(s.config.Tokens) && room > headroomParts*s.largestTokens
	changed = accepting != s.accepting
	s.accepting = accepting
	return accepting, changed
}

// Withdraw chooses what to free when the store is nearly full, or what can't be used any
// more, and returns what to publish. Current tells whether a part may still be asked for;
// used gives the last use known.
//
// It answers the pattern of more contexts returning than the stores can hold: the least
// recently used go first, and none that was used within the time in which it pays.
func (s *Shelf) Withdraw(now time.Duration, current func(name string) bool, used map[string]time.Duration) []Part {
	type candidate struct {
		name string
		part *partEntry
	}
	var changes []Part
	var candidates []candidate
	remaining := max(s.listedTokens, s.used)
	withdraw := func(c candidate) {
		c.part.withdrawnAt = now
		remaining -= roundUpTokens(c.part.tokens)
		changes = append(changes, Part{Store: s.config.Store, Name: c.name})
	}
	for name, p := range s.parts {
		if at, ok := used[name]; ok && at > p.used {
			p.used = at
		}
		switch {
		case p.withdrawnAt > 0:
			remaining -= roundUpTokens(p.tokens)
		case !current(name):
			withdraw(candidate{name, p})
		default:
			candidates = append(candidates, candidate{name, p})
		}
	}
	if float64(remaining) <= evictHighWater*float64(s.config.Tokens) {
		return changes
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.part.used, b.part.used) })
	for _, c := range candidates {
		if float64(remaining) <= evictLowWater*float64(s.config.Tokens) || now-c.part.used < s.config.Reuse {
			break
		}
		withdraw(c)
	}
	return changes
}

// Free returns the parts that no reader can be fetching any more.
func (s *Shelf) Free(now time.Duration) []string {
	if !s.synced {
		return nil
	}
	var names []string
	for name, p := range s.parts {
		if p.withdrawnAt > 0 && now-p.withdrawnAt >= s.config.Quiet {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Freed notes that the store has freed parts.
func (s *Shelf) Freed(names []string) {
	for _, name := range names {
		if _, ok := s.parts[name]; ok {
			s.removePart(name)
		}
	}
}

// Held returns the tokens held and the capacity.
func (s *Shelf) Held() (tokens, capacity int) { return s.listedTokens, s.config.Tokens }

func roundUpTokens(tokens int) int {
	return (tokens + roomUnitTokens - 1) / roomUnitTokens * roomUnitTokens
}
