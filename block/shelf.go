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
	// strayTime is how long room may be taken up by unknown parts before they are looked for;
	// above the time that writing a part takes on a slow link.
	strayTime = 4 * time.Second
	// roomParts is how many parts of the largest size seen must fit into a store that takes parts:
	// several entries save at once, and what finds no room is lost.
	roomParts = 2
	// shelfFull is the share of a store's capacity at which it takes no more parts.
	shelfFull = 0.94
	// shelfHigh is the share of a store's capacity above which parts are freed.
	shelfHigh = 0.88
	// shelfLow is the share to which it is then brought.
	shelfLow = 0.80
	// blockTokens is the unit in which stores reserve room.
	blockTokens = 16
)

// Shelf is the owner's knowledge of one store that drops nothing by itself: what lies
// there whole, what is being withdrawn, and when new parts may be saved. Times are those
// of one clock. Not safe for concurrent use.
type Shelf struct {
	config ShelfConfig
	// epoch is the store's run; known is false while the store does not answer.
	epoch int64
	known bool
	had   bool
	// opens is when parts may be saved; open says that this has been published.
	opens time.Duration
	open  bool
	parts map[string]*shelved
	sum   int
	// used is the room taken up as the store tells it: parts that broke off and parts whose
	// events were lost take room too.
	used int
	// astray is since when used has been well above sum; zero while it is not.
	astray time.Duration
	// partial are the parts that were unfinished when the store was last listed.
	partial map[string]time.Duration
	// largest is the size of the largest part seen.
	largest int
}

type shelved struct {
	tokens int
	used   time.Duration
	// withdrawn is when readers were told to fetch the part no more; zero while it is published.
	withdrawn time.Duration
}

// NewShelf returns a shelf of which nothing is known. Before now plus Quiet nothing is
// saved there: an earlier owner's readers may still trust what it published.
func NewShelf(c ShelfConfig, now time.Duration) *Shelf {
	return &Shelf{config: c, parts: map[string]*shelved{}, opens: now + c.Quiet}
}

// Lose notes that the store does not answer; what is published of it must be withdrawn.
func (s *Shelf) Lose() []Part {
	if !s.known {
		return nil
	}
	s.known, s.open = false, false
	return []Part{{Store: s.config.Store}}
}

// Use notes the room that a store says is taken up, and reports whether it should be listed
// anew to find what takes it.
func (s *Shelf) Use(tokens int, now time.Duration) bool {
	s.used = tokens
	if tokens <= s.sum+roomParts*s.largest {
		s.astray = 0
		return false
	}
	if s.astray == 0 {
		s.astray = now
	}
	return now-s.astray >= strayTime
}

// Unfinished takes the parts that a listing shows as unfinished and returns those that have
// been so for long: their writer broke off, and they only take up room.
func (s *Shelf) Unfinished(names []string, now time.Duration) []string {
	next := map[string]time.Duration{}
	var broken []string
	for _, name := range names {
		since, ok := s.partial[name]
		if !ok {
			since = now
		}
		next[name] = since
		if now-since >= strayTime {
			broken = append(broken, name)
		}
	}
	s.partial, s.astray = next, 0
	return broken
}

// Known reports whether the store's content is known.
func (s *Shelf) Known() bool { return s.known }

// Epoch returns the store's run.
func (s *Shelf) Epoch() int64 { return s.epoch }

// Fill takes a whole list of the store and returns what to publish.
func (s *Shelf) Fill(epoch int64, list []Held, now time.Duration) []Part {
	if s.had && epoch != s.epoch {
		// Parts of the former run may still be asked for; until nobody does, none is made anew.
		s.opens = now + s.config.Quiet
		s.parts = map[string]*shelved{}
	}
	s.epoch, s.had, s.known, s.open = epoch, true, true, false
	old := s.parts
	s.parts, s.sum = map[string]*shelved{}, 0
	changes := []Part{{Store: s.config.Store}}
	for _, h := range list {
		part := &shelved{tokens: h.Tokens, used: now}
		if was, ok := old[h.Name]; ok {
			part.used, part.withdrawn = was.used, was.withdrawn
		}
		s.parts[h.Name] = part
		s.sum += rounded(h.Tokens)
		s.largest = max(s.largest, h.Tokens)
		if part.withdrawn == 0 {
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
			s.forget(e.Name)
			if old.withdrawn == 0 {
				changes = append(changes, Part{Store: s.config.Store, Name: e.Name})
			}
		case !e.Gone && !ok:
			s.parts[e.Name] = &shelved{tokens: e.Tokens, used: now}
			s.sum += rounded(e.Tokens)
			s.largest = max(s.largest, e.Tokens)
			changes = append(changes, Part{Store: s.config.Store, Name: e.Name, Tokens: e.Tokens})
		}
	}
	return changes
}

func (s *Shelf) forget(name string) {
	s.sum -= rounded(s.parts[name].tokens)
	delete(s.parts, name)
}

// Opens reports whether it has changed that parts may be saved, and to what.
func (s *Shelf) Opens(now time.Duration) (open, changed bool) {
	if !s.known || now < s.opens {
		return false, false
	}
	held := max(s.sum, s.used)
	room := s.config.Tokens - held
	open = float64(held) < shelfFull*float64(s.config.Tokens) && room > roomParts*s.largest
	changed = open != s.open
	s.open = open
	return open, changed
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
		part *shelved
	}
	var changes []Part
	var candidates []candidate
	left := max(s.sum, s.used)
	withdraw := func(c candidate) {
		c.part.withdrawn = now
		left -= rounded(c.part.tokens)
		changes = append(changes, Part{Store: s.config.Store, Name: c.name})
	}
	for name, p := range s.parts {
		if at, ok := used[name]; ok && at > p.used {
			p.used = at
		}
		switch {
		case p.withdrawn > 0:
			left -= rounded(p.tokens)
		case !current(name):
			withdraw(candidate{name, p})
		default:
			candidates = append(candidates, candidate{name, p})
		}
	}
	if float64(left) <= shelfHigh*float64(s.config.Tokens) {
		return changes
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.part.used, b.part.used) })
	for _, c := range candidates {
		if float64(left) <= shelfLow*float64(s.config.Tokens) || now-c.part.used < s.config.Reuse {
			break
		}
		withdraw(c)
	}
	return changes
}

// Free returns the parts that no reader can be fetching any more.
func (s *Shelf) Free(now time.Duration) []string {
	if !s.known {
		return nil
	}
	var names []string
	for name, p := range s.parts {
		if p.withdrawn > 0 && now-p.withdrawn >= s.config.Quiet {
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
			s.forget(name)
		}
	}
}

// Held returns the tokens held and the capacity.
func (s *Shelf) Held() (tokens, capacity int) { return s.sum, s.config.Tokens }

func rounded(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }
