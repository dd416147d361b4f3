package quorum

// memoryLog is the part of the log that is kept in memory. The entries up to and including
// baseIndex were compacted.
//
// Invariant: entries[i].Index == baseIndex+1+i, and baseIndex is at most the snapshot's index.
type memoryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
}

func (l *memoryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index and whether it is known.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// entriesFrom returns the entries from index on, up to limit bytes but at least one if there
// is any. Each entry counts 32 bytes besides its data.
func (l *memoryLog) entriesFrom(index uint64, limit int) []Entry {
	if index <= l.baseIndex || index > l.lastIndex() {
		return nil
	}
	tail := l.entries[index-l.baseIndex-1:]
	size := 0
	for i, e := range tail {
		size += len(e.Data) + 32
		if size > limit && i > 0 {
			return tail[:i:i]
		}
	}
	return tail[:len(tail):len(tail)]
}

// entriesBetween returns the entries after low, up to and including high.
func (l *memoryLog) entriesBetween(low, high uint64) []Entry {
	if high <= low || low < l.baseIndex {
		return nil
	}
	return l.entries[low-l.baseIndex : high-l.baseIndex : high-l.baseIndex]
}

// truncateAndAppend drops the entries from entries[0].Index on and appends entries.
func (l *memoryLog) truncateAndAppend(entries []Entry) {
	keep := entries[0].Index - l.baseIndex - 1
	l.entries = append(l.entries[:keep:keep], entries...)
}

// compact drops entries up to and including index.
func (l *memoryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.baseIndex {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

// trailing returns the index up to which entries may be dropped so that up to most entries and limit bytes, but at least one, remain of those up to
// index. Each entry counts 32 bytes besides its data.
func (l *memoryLog) trailing(index uint64, most, limit int) uint64 {
	size, base := 0, index
	for ; base > l.baseIndex && index-base < uint64(most); base-- {
		size += len(l.entries[base-l.baseIndex-1].Data) + 32
		if size > limit && base < index {
			break
		}
	}
	return base
}
