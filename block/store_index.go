package block

import (
	"cmp"
	"iter"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Held is one prompt part in a store's listing.
type Held struct {
	Name   string
	Tokens int
}

// PartEvent is a change of a store's content, as the store reports it: a part was removed if
// Removed is set, else it was added.
type PartEvent struct {
	Held
	Removed bool
}

// StoreIndexConfig constructs a StoreIndex.
type StoreIndexConfig struct {
	Store netip.AddrPort
	// Tokens is the store's capacity, in tokens.
	Tokens int
	// FetchGrace is how long an entry may still be fetching a part after it was withdrawn or the
	// store was found empty: the lifetime of a catalog plus the longest fetch.
	FetchGrace time.Duration
	// RetainTime is how long after its last use a part is worth keeping.
	RetainTime time.Duration
}

const (
	// mismatchGrace is how long unknown parts may occupy room before the store is listed again.
	// It exceeds the time that writing a part takes on a slow link.
	mismatchGrace = 4 * time.Second
	// headroomParts is how many parts of the largest size seen must still fit into a store that
	// accepts new parts: several entries save at once, and a part that finds no room is lost.
	headroomParts = 2
	// acceptLimit is the fraction of a store's capacity at which it accepts no more parts.
	acceptLimit = 0.94
	// evictHighWater is the fraction of a store's capacity above which parts are withdrawn.
	evictHighWater = 0.88
	// evictLowWater is the fraction of capacity to which withdrawal then brings it.
	evictLowWater = 0.80
	// roomUnitTokens is the unit, in tokens, in which stores reserve room.
	roomUnitTokens = 16
)

// StoreIndex is the leader's index of one external store that evicts nothing by itself. It
// records which complete parts the store holds, which are being withdrawn, and when new
// parts may be saved. All times are readings of one monotonic clock. Not safe for
// concurrent use.
type StoreIndex struct {
	config StoreIndexConfig
	// epoch is the store's incarnation; synced is false while the store is unreachable.
	epoch    int64
	synced   bool
	hasEpoch bool
	// acceptAfter is when parts may be saved; accepting is the state published last.
	acceptAfter  time.Duration
	accepting    bool
	parts        map[string]*partEntry
	listedTokens int
	// reportedTokens is the occupied room that the store reports, in tokens. It includes unfinished
	// parts and parts whose events were lost.
	reportedTokens int
	// mismatchSince is since when reportedTokens has been well above listedTokens; zero while it is
	// not.
	mismatchSince time.Duration
	// unfinishedSince maps each part that was unfinished in the last listing to when it was
	// first seen so.
	unfinishedSince map[string]time.Duration
	// largestTokens is the size of the largest part seen.
	largestTokens int
}

type partEntry struct {
	tokens   int
	lastUsed time.Duration
	// withdrawnAt is when the part's withdrawal was published; zero while the part is published.
	withdrawnAt time.Duration
}

// NewStoreIndex returns the index of a store that was not listed yet. Nothing is saved there
// before now plus FetchGrace, because entries may still rely on what an earlier leader published.
func NewStoreIndex(c StoreIndexConfig, now time.Duration) *StoreIndex {
	return &StoreIndex{config: c, parts: map[string]*partEntry{}, acceptAfter: now + c.FetchGrace}
}

// MarkUnreachable marks the store as unreachable and returns the change that withdraws all its
// parts.
func (s *StoreIndex) MarkUnreachable() []CatalogChange {
	if !s.synced {
		return nil
	}
	s.synced, s.accepting = false, false
	return []CatalogChange{{Store: s.config.Store}}
}

// SetUsed records the occupied room that the store reports, and reports whether the store
// should be listed again to find what occupies it.
func (s *StoreIndex) SetUsed(tokens int, now time.Duration) bool {
	s.reportedTokens = tokens
	if tokens <= s.listedTokens+headroomParts*s.largestTokens {
		s.mismatchSince = 0
		return false
	}
	if s.mismatchSince == 0 {
		s.mismatchSince = now
	}
	return now-s.mismatchSince >= mismatchGrace
}

// Unfinished records the parts that a listing shows as unfinished and returns those that
// have been so for mismatchGrace: their writer has stopped, and they only occupy room.
func (s *StoreIndex) Unfinished(names []string, now time.Duration) []string {
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

// Synced reports whether the store's content is known.
func (s *StoreIndex) Synced() bool { return s.synced }

// Epoch returns the store's incarnation.
func (s *StoreIndex) Epoch() int64 { return s.epoch }

// ApplyListing replaces the index by a full listing of the store and returns the changes to
// publish.
func (s *StoreIndex) ApplyListing(epoch int64, list []Held, now time.Duration) []CatalogChange {
	if s.hasEpoch && epoch != s.epoch {
		// Entries may still be fetching parts of the previous incarnation, so nothing is saved
		// until the last such fetch has ended.
		s.acceptAfter = now + s.config.FetchGrace
		s.parts = map[string]*partEntry{}
	}
	s.epoch, s.hasEpoch, s.synced, s.accepting = epoch, true, true, false
	old := s.parts
	s.parts, s.listedTokens = map[string]*partEntry{}, 0
	changes := []CatalogChange{{Store: s.config.Store}}
	for _, h := range list {
		if _, ok := s.parts[h.Name]; ok || !s.fits(h) {
			continue
		}
		part := &partEntry{tokens: h.Tokens, lastUsed: now}
		if previous, ok := old[h.Name]; ok {
			part.lastUsed, part.withdrawnAt = previous.lastUsed, previous.withdrawnAt
		}
		s.parts[h.Name] = part
		s.listedTokens += roundUpTokens(h.Tokens)
		s.largestTokens = max(s.largestTokens, h.Tokens)
		if part.withdrawnAt == 0 {
			changes = append(changes, CatalogChange{Store: s.config.Store, Name: h.Name, Tokens: h.Tokens})
		}
	}
	return changes
}

// ApplyEvents applies events of the current incarnation and returns the changes to publish.
func (s *StoreIndex) ApplyEvents(events []PartEvent, now time.Duration) []CatalogChange {
	var changes []CatalogChange
	for _, e := range events {
		old, ok := s.parts[e.Name]
		switch {
		case e.Removed && ok:
			s.removePart(e.Name)
			if old.withdrawnAt == 0 {
				changes = append(changes, CatalogChange{Store: s.config.Store, Name: e.Name})
			}
		case !e.Removed && !ok && s.fits(e.Held):
			s.parts[e.Name] = &partEntry{tokens: e.Tokens, lastUsed: now}
			s.listedTokens += roundUpTokens(e.Tokens)
			s.largestTokens = max(s.largestTokens, e.Tokens)
			changes = append(changes, CatalogChange{Store: s.config.Store, Name: e.Name, Tokens: e.Tokens})
		}
	}
	return changes
}

// fits reports whether the store can hold a part. Others are left out: the largest part decides how much room must be
// left for a store to accept new ones.
func (s *StoreIndex) fits(h Held) bool {
	return h.Tokens >= 0 && (s.config.Tokens <= 0 || h.Tokens <= s.config.Tokens)
}

func (s *StoreIndex) removePart(name string) {
	s.listedTokens -= roundUpTokens(s.parts[name].tokens)
	delete(s.parts, name)
}

// UpdateAccepting reports whether the store accepts new parts, and whether that differs from the
// state published last.
func (s *StoreIndex) UpdateAccepting(now time.Duration) (accepting, changed bool) {
	if !s.synced || now < s.acceptAfter {
		return false, false
	}
	usedTokens := max(s.listedTokens, s.reportedTokens)
	room := s.config.Tokens - usedTokens
	accepting = float64(usedTokens) < acceptLimit*float64(s.config.Tokens) && room > headroomParts*s.largestTokens
	changed = accepting != s.accepting
	s.accepting = accepting
	return accepting, changed
}

// Names returns the names of the parts in the index.
func (s *StoreIndex) Names() iter.Seq[string] { return maps.Keys(s.parts) }

// WithdrawParts chooses the parts to free, and returns the changes to publish. It withdraws parts
// that can't be used any more and, when the store is nearly full, the least recently used.
// Current reports whether a part may still be requested; used holds the time of each part's last
// known use.
//
// The policy is for workloads with more returning contexts than the stores can hold. Parts used
// within the last RetainTime are kept even if the store is nearly full, because keeping them still
// pays.
func (s *StoreIndex) WithdrawParts(now time.Duration, current func(name string) bool, used map[string]time.Duration) []CatalogChange {
	type candidate struct {
		name string
		part *partEntry
	}
	var changes []CatalogChange
	var candidates []candidate
	remaining := max(s.listedTokens, s.reportedTokens)
	withdraw := func(c candidate) {
		c.part.withdrawnAt = now
		remaining -= roundUpTokens(c.part.tokens)
		changes = append(changes, CatalogChange{Store: s.config.Store, Name: c.name})
	}
	for name, p := range s.parts {
		if at, ok := used[name]; ok && at > p.lastUsed {
			p.lastUsed = at
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
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.part.lastUsed, b.part.lastUsed) })
	for _, c := range candidates {
		if float64(remaining) <= evictLowWater*float64(s.config.Tokens) || now-c.part.lastUsed < s.config.RetainTime {
			break
		}
		withdraw(c)
	}
	return changes
}

// FreeableParts returns the names of the withdrawn parts that no entry can be fetching any more.
func (s *StoreIndex) FreeableParts(now time.Duration) []string {
	if !s.synced {
		return nil
	}
	var names []string
	for name, p := range s.parts {
		if p.withdrawnAt > 0 && now-p.withdrawnAt >= s.config.FetchGrace {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Freed removes parts that the store has freed.
func (s *StoreIndex) Freed(names []string) {
	for _, name := range names {
		if _, ok := s.parts[name]; ok {
			s.removePart(name)
		}
	}
}

// Usage returns the tokens of all listed parts and the capacity, in tokens.
func (s *StoreIndex) Usage() (tokens, capacity int) { return s.listedTokens, s.config.Tokens }

func roundUpTokens(tokens int) int {
	return (tokens + roomUnitTokens - 1) / roomUnitTokens * roomUnitTokens
}
