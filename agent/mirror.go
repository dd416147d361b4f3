package agent

import (
	"encoding/hex"
	"sync"

	"egretshunt/block"
)

// mirror is the agent's copy of an engine's prefix cache index, built from cache
// events. Events arrive late and with gaps; a gap clears the copy, and only later
// events count.
type mirror struct {
	// mu guards the fields below.
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

// apply applies newly published events. A gap may hide removals, so it clears the
// mirror; a cached block missing from the mirror costs only an extra fetch.
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
		// The newest events are missing from this batch.
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
	n, ok := block.ParseName(raw)
	if !ok {
		return
	}
	if e.Op == "remove" {
		delete(m.cached, n)
		return
	}
	m.cached[n] = struct{}{}
}

// add records an imported block ahead of its cache event.
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

// blockBytes returns the size of the last observed KV block, in bytes.
func (m *mirror) blockBytes() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytesPerBlock
}

// cachedPrefix returns how many leading blocks of the chain are in the mirror.
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
