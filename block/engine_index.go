package block

import (
	"net/netip"
	"slices"
)

// Engines knows what lies in the memory of engines that tell of it, and which of that is
// worth telling entries: parts that requests were seen to share. Not safe for concurrent use.
type Engines struct {
	holders map[string]map[netip.AddrPort]int
	shared  map[string]bool
	pending []Part
}

// NewEngines returns a knowledge of nothing.
func NewEngines() *Engines {
	return &Engines{holders: map[string]map[netip.AddrPort]int{}, shared: map[string]bool{}}
}

// Take takes the events of one engine.
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

// Lose forgets one engine: it is gone, or has started anew.
func (e *Engines) Lose(at netip.AddrPort) {
	for name, holders := range e.holders {
		if delete(holders, at); len(holders) == 0 {
			delete(e.holders, name)
		}
	}
	e.pending = append(e.pending, Part{Store: at})
}

// Share notes that requests share parts.
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

// Flush returns the changes to publish since the last call.
func (e *Engines) Flush() []Part {
	flushed := slices.Clone(e.pending)
	e.pending = e.pending[:0]
	return flushed
}
