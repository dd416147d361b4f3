package quorum

// memlog is the part of the log that is kept in memory.
//
// Invariant: entries[i].Index == base+1+i, and base is at most the snapshot's index.
type memlog struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
}

func (l *memlog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *memlog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index and whether it is known.
func (l *memlog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// from returns up to limit bytes of entries beginning at index, at least one if there is any.
func (l *memlog) from(index uint64, limit int) []Entry {
	if index <= l.base || index > l.last() {
		return nil
	}
	tail := l.entries[index-l.base-1:]
	size := 0
	for i, e := range tail {
		size += len(e.Data) + 32
		if size > limit && i > 0 {
			return tail[:i:i]
		}
	}
	return tail[:len(tail):len(tail)]
}

// between returns the entries after low up to and including high.
func (l *memlog) between(low, high uint64) []Entry {
	if high <= low || low < l.base {
		return nil
	}
	return l.entries[low-l.base : high-l.base : high-l.base]
}

// replace puts entries into the log, dropping whatever stood from their first index on.
func (l *memlog) replace(entries []Entry) {
	keep := entries[0].Index - l.base - 1
	l.entries = append(l.entries[:keep:keep], entries...)
}

// compact drops entries up to and including index.
func (l *memlog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}
