package block

import (
	"net/netip"
	"slices"
)

// Engines is the index of prompt parts in the memory of engines that report them. It
// publishes only the parts that several requests share. Not safe for concurrent use.
type Engines struct {
	holders map[string]map[netip.AddrPort]int
	shared  map[string]bool
	pending []Part
}

// NewEngines returns an empty index.
func NewEngines() *Engines {
	return &Engines{holders: map[string]map[netip.AddrPort]int{}, shared: map[string]bool{}}
}

// Take applies the events of one engine.
func (e *Engines) Take(at netip.AddrPort, events []Event) {
	for _, ev := range events {
		holders := e.holders[ev.Name]
		_, wasHeld := holders[at]
		if ev.Gone {
			if delete(holders, at); len(holders) == 0 {
				delete(e.holders, ev.Name)
			}
			if wasHeld && e.shared[ev.Name] {
				e.pending = append(e.pending, Part{Store: at, Name: ev.Name})
			}
			continue
		}
		if holders == nil {
			holders = map[netip.AddrPort]int{}
			e.holders[ev.Name] = holders
		}
		holders[at] = ev.Tokens
		if e.shared[ev.Name] {
			e.pending = append(e.pending, Part{Store: at, Name: ev.Name, Tokens: ev.Tokens})
		}
	}
}

// Lose removes one engine, which has stopped or restarted.
func (e *Engines) Lose(at netip.AddrPort) {
	for name, holders := range e.holders {
		if delete(holders, at); len(holders) == 0 {
			delete(e.holders, name)
		}
	}
	e.pending = append(e.pending, Part{Store: at})
}

// Share marks parts as shared by several requests, so that their holders are published.
func (e *Engines) Share(names []string) {
	for _, name := range names {
		if e.shared[name] {
			continue
		}
		e.shared[name] = true
		for at, tokens := range e.holders[name] {
			e.pending = append(e.pending, Part{Store: at, Name: name, Tokens: tokens})
		}
	}
}

// Flush returns the changes to publish that accumulated since the last call.
func (e *Engines) Flush() []Part {
	flushed := slices.Clone(e.pending)
	e.pending = e.pending[:0]
	return flushed
}
