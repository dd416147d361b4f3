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
	mu            sync.Mutex
	cached        map[block.Name]struct{}
	incarnation   string
	seq           uint64
	bytesPerBlock float64
	gaps          int
}

func newMirror() *mirror {
	return &mirror{cached: map[block.Name]struct{}{}, bytesPerBlock: defaultBlockBytes}
}

func (m *mirror) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cached, m.seq, m.incarnation = map[block.Name]struct{}{}, 0, ""
}

func (m *mirror) lastSeq() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seq
}

// apply takes newly published events in. A gap may have hidden removals, so all
// belief is dropped; a block believed gone that is there costs a fetch, no more.
func (m *mirror) apply(ev CacheEvents) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ev.Incarnation != m.incarnation {
		m.cached, m.incarnation, m.seq = map[block.Name]struct{}{}, ev.Incarnation, 0
	}
	for _, e := range ev.Events {
		if e.Seq <= m.seq {
			continue
		}
		if m.seq > 0 && e.Seq != m.seq+1 {
			m.gaps++
			m.cached = map[block.Name]struct{}{}
		}
		m.seq = e.Seq
		m.applyOne(e)
	}
	if ev.Last > m.seq && m.seq > 0 {
		// The newest events are missing.
		m.gaps++
		m.cached = map[block.Name]struct{}{}
		m.seq = ev.Last
	}
}

func (m *mirror) applyOne(e CacheEvent) {
	raw, err := hex.DecodeString(e.Name)
	if err != nil {
		return
	}
	n, ok := block.NameOf(raw)
	if !ok {
		return
	}
	if e.Op == "remove" {
		delete(m.cached, n)
		return
	}
	m.cached[n] = struct{}{}
}

// add notes a block that was imported; its event follows later.
func (m *mirror) add(n block.Name, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cached[n] = struct{}{}
	m.bytesPerBlock = float64(bytes)
}

func (m *mirror) setBlockBytes(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytesPerBlock = float64(bytes)
}

// blockBytes returns the size of a kept block as last seen.
func (m *mirror) blockBytes() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytesPerBlock
}

// cachedPrefix returns how many blocks from the start of the chain are believed held.
func (m *mirror) cachedPrefix(chain []block.Name) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, n := range chain {
		if _, ok := m.cached[n]; !ok {
			return i
		}
	}
	return len(chain)
}
