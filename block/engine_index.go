package block

import (
	"net/netip"
	"slices"
)

// EngineIndex is the index of prompt parts in the memory of engines that report them. It
// publishes only the parts that several requests share. Not safe for concurrent use.
type EngineIndex struct {
	holders map[string]map[netip.AddrPort]int
	shared  map[string]bool
	pending []CatalogChange
}

// NewEngineIndex returns an empty index.
func NewEngineIndex() *EngineIndex {
	return &EngineIndex{holders: map[string]map[netip.AddrPort]int{}, shared: map[string]bool{}}
}

// ApplyEvents applies the events of one engine.
func (e *EngineIndex) ApplyEvents(at netip.AddrPort, events []PartEvent) {
	for _, ev := range events {
		holders := e.holders[ev.Name]
		_, wasHeld := holders[at]
		if ev.Removed {
			if delete(holders, at); len(holders) == 0 {
				delete(e.holders, ev.Name)
			}
			if wasHeld && e.shared[ev.Name] {
				e.pending = append(e.pending, CatalogChange{Store: at, Name: ev.Name})
			}
			continue
		}
		if holders == nil {
			holders = map[netip.AddrPort]int{}
			e.holders[ev.Name] = holders
		}
		holders[at] = ev.Tokens
		if e.shared[ev.Name] {
			e.pending = append(e.pending, CatalogChange{Store: at, Name: ev.Name, Tokens: ev.Tokens})
		}
	}
}

// RemoveEngine removes one engine, which has stopped or restarted.
func (e *EngineIndex) RemoveEngine(at netip.AddrPort) {
	for name, holders := range e.holders {
		if delete(holders, at); len(holders) == 0 {
			delete(e.holders, name)
		}
	}
	e.pending = append(e.pending, CatalogChange{Store: at})
}

// MarkShared marks parts as shared by several requests, so that their holders are published.
func (e *EngineIndex) MarkShared(names []string) {
	for _, name := range names {
		if e.shared[name] {
			continue
		}
		e.shared[name] = true
		for at, tokens := range e.holders[name] {
			e.pending = append(e.pending, CatalogChange{Store: at, Name: name, Tokens: tokens})
		}
	}
}

// Flush returns the changes to publish that accumulated since the last call.
func (e *EngineIndex) Flush() []CatalogChange {
	flushed := slices.Clone(e.pending)
	e.pending = e.pending[:0]
	return flushed
}
