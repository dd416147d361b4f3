package block

import (
	"net/netip"
	"slices"
)

// Engines knows what lies in the memory of engines that tell of it, and which of that is
// worth telling entries: parts that requests were seen to share. Not safe for concurrent use.
type Engines struct {
	held   map[string]map[netip.AddrPort]int
	shared map[string]bool
	dirty  []Part
}

// NewEngines returns a knowledge of nothing.
func NewEngines() *Engines {
	return &Engines{held: map[string]map[netip.AddrPort]int{}, shared: map[string]bool{}}
}

// Take takes the events of one engine.
func (e *Engines) Take(at netip.AddrPort, events []Event) {
	for _, ev := range events {
		held := e.held[ev.Name]
		_, had := held[at]
		if ev.Gone {
			if delete(held, at); len(held) == 0 {
				delete(e.held, ev.Name)
			}
			if had && e.shared[ev.Name] {
				e.dirty = append(e.dirty, Part{Store: at, Name: ev.Name})
			}
			continue
		}
		if held == nil {
			held = map[netip.AddrPort]int{}
			e.held[ev.Name] = held
		}
		held[at] = ev.Tokens
		if e.shared[ev.Name] {
			e.dirty = append(e.dirty, Part{Store: at, Name: ev.Name, Tokens: ev.Tokens})
		}
	}
}

// Lose forgets one engine: it is gone, or has started anew.
func (e *Engines) Lose(at netip.AddrPort) {
	for name, held := range e.held {
		if delete(held, at); len(held) == 0 {
			delete(e.held, name)
		}
	}
	e.dirty = append(e.dirty, Part{Store: at})
}

// Share notes that requests share parts.
func (e *Engines) Share(names []string) {
	for _, name := range names {
		if e.shared[name] {
			continue
		}
		e.shared[name] = true
		for at, tokens := range e.held[name] {
			e.dirty = append(e.dirty, Part{Store: at, Name: name, Tokens: tokens})
		}
	}
}

// Flush returns the changes to publish since the last call.
func (e *Engines) Flush() []Part {
	out := slices.Clone(e.dirty)
	e.dirty = e.dirty[:0]
	return out
}
