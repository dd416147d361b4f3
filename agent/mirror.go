package agent

import (
	"encoding/hex"
	"sync"

	"egretshunt/block"
)

// mirror is what an engine is believed to hold in its prefix cache. Its events
// come late and with gaps: after a gap only what later events say is believed.
type mirror struct {
	// mu guards the rest.
	mu   sync.Mutex
	held map[block.Name]struct{}
	boot string
	last uint64
	size float64
	gaps int
}

func newMirror() *mirror { return &mirror{held: map[block.Name]struct{}{}, size: blockBytes} }

func (m *mirror) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held, m.last, m.boot = map[block.Name]struct{}{}, 0, ""
}

func (m *mirror) since() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last
}

// apply takes newly published events in. A gap may have hidden removals, so all
// belief is dropped; a block believed gone that is there costs a fetch, no more.
func (m *mirror) apply(ev CacheEvents) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ev.Boot != m.boot {
		m.held, m.boot, m.last = map[block.Name]struct{}{}, ev.Boot, 0
	}
	for _, e := range ev.Events {
		if e.Seq <= m.last {
			continue
		}
		if m.last > 0 && e.Seq != m.last+1 {
			m.gaps++
			m.held = map[block.Name]struct{}{}
		}
		m.last = e.Seq
		m.note(e)
	}
	if ev.Last > m.last && m.last > 0 {
		// The newest events are missing.
		m.gaps++
		m.held = map[block.Name]struct{}{}
		m.last = ev.Last
	}
}

func (m *mirror) note(e CacheEvent) {
	raw, err := hex.DecodeString(e.Name)
	if err != nil {
		return
	}
	n, ok := block.NameOf(raw)
	if !ok {
		return
	}
	if e.Op == "remove" {
		delete(m.held, n)
		return
	}
	m.held[n] = struct{}{}
}

// add notes a block that was imported; its event follows later.
func (m *mirror) add(n block.Name, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held[n] = struct{}{}
	m.size = float64(bytes)
}

func (m *mirror) sized(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.size = float64(bytes)
}

// blockBytes returns the size of a kept block as last seen.
func (m *mirror) blockBytes() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.size
}

// longest returns how many blocks from the start of the chain are believed held.
func (m *mirror) longest(chain []block.Name) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, n := range chain {
		if _, ok := m.held[n]; !ok {
			return i
		}
	}
	return len(chain)
}
