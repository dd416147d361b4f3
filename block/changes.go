package block

import (
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"strings"
)

// Changes are changes of a Catalog, encoded so that many readers can share them. Stores and the
// prefixes of part names are numbered; a reader learns the numbers with the first changes that use
// them.
type Changes struct {
	// FirstStore and FirstPrefix are the numbers of the first of Stores and Prefixes.
	FirstStore, FirstPrefix int
	Stores                  []netip.AddrPort
	Prefixes                []string
	// Records are the changes, one after the other.
	Records []byte
}

// changeLog is the encoded history of a catalogue's changes and the numbers that it uses.
type changeLog struct {
	stores   []netip.AddrPort
	prefixes []string
	storeOf  map[netip.AddrPort]int
	prefixOf map[string]int

	// rev is the revision after the last change. marks holds the state before each change, and records
	// the changes from the first mark on. Bytes that were returned to readers are never overwritten.
	rev     uint64
	marks   []changeMark
	records []byte
}

// changeMark is the state of a log before one change.
type changeMark struct{ offset, stores, prefixes int }

func newChangeLog() *changeLog {
	return &changeLog{storeOf: map[netip.AddrPort]int{}, prefixOf: map[string]int{}}
}

// store returns the number of a store.
func (l *changeLog) store(at netip.AddrPort) int {
	n, ok := l.storeOf[at]
	if !ok {
		n = len(l.stores)
		l.storeOf[at] = n
		l.stores = append(l.stores, at)
	}
	return n
}

func (l *changeLog) prefix(text string) int {
	n, ok := l.prefixOf[text]
	if !ok {
		n = len(l.prefixes)
		l.prefixOf[text] = n
		l.prefixes = append(l.prefixes, text)
	}
	return n
}

// maxHistory bounds the changes that a catalogue remembers for those that lag.
const maxHistory = 8192

// append adds a change.
func (l *changeLog) append(p CatalogChange) {
	l.marks = append(l.marks, changeMark{len(l.records), len(l.stores), len(l.prefixes)})
	l.records = l.encode(l.records, p)
	l.rev++
	if len(l.marks) <= 2*maxHistory {
		return
	}
	l.marks = append([]changeMark(nil), l.marks[len(l.marks)-maxHistory:]...)
	dropped := l.marks[0].offset
	l.records = append([]byte(nil), l.records[dropped:]...)
	for i := range l.marks {
		l.marks[i].offset -= dropped
	}
}

// since returns the changes after a revision; false if the history doesn't reach back that far.
func (l *changeLog) since(rev uint64) (Changes, bool) {
	behind := l.rev - rev
	if rev > l.rev || behind > uint64(len(l.marks)) {
		return Changes{}, false
	}
	if behind == 0 {
		return l.after(changeMark{len(l.records), len(l.stores), len(l.prefixes)}), true
	}
	return l.after(l.marks[len(l.marks)-int(behind)]), true
}

func (l *changeLog) after(m changeMark) Changes {
	return Changes{FirstStore: m.stores, FirstPrefix: m.prefixes, Stores: l.stores[m.stores:], Prefixes: l.prefixes[m.prefixes:], Records: l.records[m.offset:]}
}

// encode appends a change: the store's number, the tokens with a flag for a part, and for a part the
// number of its name's prefix, the length of the rest with a flag for hexadecimal text, and the rest.
func (l *changeLog) encode(to []byte, p CatalogChange) []byte {
	to = binary.AppendUvarint(to, uint64(l.store(p.Store)))
	if p.Name == "" {
		return binary.AppendUvarint(to, uint64(p.Tokens)<<1)
	}
	to = binary.AppendUvarint(to, uint64(p.Tokens)<<1|1)
	prefix, rest := p.Name[:strings.LastIndexByte(p.Name, '/')+1], p.Name[strings.LastIndexByte(p.Name, '/')+1:]
	to = binary.AppendUvarint(to, uint64(l.prefix(prefix)))
	if raw, err := hex.DecodeString(rest); err == nil && hex.EncodeToString(raw) == rest {
		to = binary.AppendUvarint(to, uint64(len(raw))<<1|1)
		return append(to, raw...)
	}
	to = binary.AppendUvarint(to, uint64(len(rest))<<1)
	return append(to, rest...)
}

// decode calls yield for each change of the records.
func (l *changeLog) decode(records []byte, yield func(p CatalogChange)) error {
	d := recordDecoder{rest: records}
	for len(d.rest) > 0 {
		store, tokens := d.number(), d.number()
		p := CatalogChange{Tokens: int(tokens >> 1)}
		if store < uint64(len(l.stores)) {
			p.Store = l.stores[store]
		} else {
			d.failed = true
		}
		if tokens&1 == 1 {
			prefix, size := d.number(), d.number()
			text := d.bytes(size >> 1)
			if prefix >= uint64(len(l.prefixes)) || d.failed {
				d.failed = true
			} else if p.Name = l.prefixes[prefix] + string(text); size&1 == 1 {
				p.Name = l.prefixes[prefix] + hex.EncodeToString(text)
			}
		}
		if d.failed {
			return BadChanges.New("a change can't be read, %d of %d bytes from the end", len(d.rest), len(records))
		}
		yield(p)
	}
	return nil
}

// recordDecoder reads numbers and texts; failed is set once one could not be read.
type recordDecoder struct {
	rest   []byte
	failed bool
}

func (d *recordDecoder) number() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.failed, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *recordDecoder) bytes(n uint64) []byte {
	if n > uint64(len(d.rest)) {
		d.failed, d.rest = true, nil
		return nil
	}
	text := d.rest[:n]
	d.rest = d.rest[n:]
	return text
}

// learn adds the numbers that changes bring; false if they don't continue those known.
func (l *changeLog) learn(c Changes) bool {
	if c.FirstStore != len(l.stores) || c.FirstPrefix != len(l.prefixes) {
		return false
	}
	for _, at := range c.Stores {
		l.store(at)
	}
	for _, text := range c.Prefixes {
		l.prefix(text)
	}
	return len(l.stores) == c.FirstStore+len(c.Stores) && len(l.prefixes) == c.FirstPrefix+len(c.Prefixes)
}
