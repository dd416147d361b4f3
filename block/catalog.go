package block

import (
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// CatalogChange is one change of a Catalog: a complete prompt part in one external store, its
// removal, or a new state of the store itself.
type CatalogChange struct {
	Store netip.AddrPort `json:"s"`
	// Name is the part's salt and identity, as joined by PartName; empty means that the change
	// concerns the store itself.
	Name string `json:"n,omitempty"`
	// Tokens is the part's length; zero for a part that was removed. For a store itself, zero
	// withdraws all its parts and makes it accept no new ones, StoreOpen makes it accept new parts
	// and StoreClosed makes it accept none.
	Tokens int `json:"t,omitempty"`
}

// Values of Tokens for a store itself.
const (
	StoreOpen   = 1
	StoreClosed = 2
)

// PartName joins the salt and the identity of a part. The salt keeps apart what must not share
// cached context, such as different versions of the weights.
func PartName(salt, id string) string { return salt + "/" + id }

// Holder is a store or engine that holds a part, with the part's length.
type Holder struct {
	Store  netip.AddrPort
	Tokens int
	// Ref numbers the store within its catalogue, from 1; zero means that it has no number.
	Ref uint32
}

// Catalog records which stores hold which complete parts. It is safe for concurrent use.
type Catalog struct {
	// mu guards all fields below.
	mu    sync.RWMutex
	rev   uint64
	parts map[string][]Holder
	open  map[netip.AddrPort]bool
	// partCount counts the parts of each store that has any.
	partCount map[netip.AddrPort]int
	log       *changeLog
	// whole is the encoded content at wholeRev.
	whole    []byte
	wholeRev uint64
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{parts: map[string][]Holder{}, open: map[netip.AddrPort]bool{}, partCount: map[netip.AddrPort]int{}, log: newChangeLog()}
}

// Rev returns the revision, which increases by one with each change.
func (c *Catalog) Rev() uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.rev
}

// Apply applies changes in order. It reports whether one of them withdrew a store that held parts or accepted
// new ones.
func (c *Catalog) Apply(changes []CatalogChange) (withdrew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range changes {
		c.log.append(p)
		withdrew = c.applyChange(p) || withdrew
	}
	c.rev = c.log.rev
	return withdrew
}

func (c *Catalog) applyChange(p CatalogChange) (withdrew bool) {
	if p.Name == "" && p.Tokens > 0 {
		c.open[p.Store] = p.Tokens == StoreOpen
		return false
	}
	if p.Name == "" {
		return c.withdraw(p.Store)
	}
	c.removeHolder(p.Name, p.Store)
	if p.Tokens > 0 {
		c.parts[p.Name] = append(c.parts[p.Name], Holder{p.Store, p.Tokens, uint32(c.log.store(p.Store)) + 1})
		c.partCount[p.Store]++
	}
	return false
}

// withdraw removes all parts of a store and makes it accept no new ones; it reports whether it changed anything.
func (c *Catalog) withdraw(store netip.AddrPort) bool {
	wasOpen := c.open[store]
	delete(c.open, store)
	if c.partCount[store] == 0 {
		return wasOpen
	}
	for name := range c.parts {
		c.removeHolder(name, store)
	}
	return true
}

func (c *Catalog) removeHolder(name string, store netip.AddrPort) {
	holders := c.parts[name]
	for i, h := range holders {
		if h.Store != store {
			continue
		}
		if c.partCount[store]--; c.partCount[store] == 0 {
			delete(c.partCount, store)
		}
		if len(holders) == 1 {
			delete(c.parts, name)
			return
		}
		c.parts[name] = append(append([]Holder(nil), holders[:i]...), holders[i+1:]...)
		return
	}
}

// Holders returns the stores that hold a part.
func (c *Catalog) Holders(name string) []Holder {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.parts[name]
}

// AcceptsParts reports whether parts may be saved to a store.
func (c *Catalog) AcceptsParts(store netip.AddrPort) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.open[store]
}

// Since returns the changes after rev and the current revision. If the history does not reach
// back to rev, it returns the whole content with all set. The work depends on the changes alone:
// readers share their encoding.
func (c *Catalog) Since(rev uint64) (changes Changes, now uint64, all bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if changes, ok := c.log.since(rev); ok {
		return changes, c.rev, false
	}
	after, ok := c.log.since(c.wholeRev)
	if c.whole == nil || !ok {
		c.whole, c.wholeRev = c.encodeWhole(), c.rev
		after = Changes{}
	}
	changes = c.log.after(changeMark{offset: len(c.log.records)})
	changes.Records = append(c.whole[:len(c.whole):len(c.whole)], after.Records...)
	return changes, c.rev, true
}

// encodeWhole returns the content as changes of an empty catalogue.
func (c *Catalog) encodeWhole() []byte {
	whole := []byte{}
	for store, open := range c.open {
		if open {
			whole = c.log.encode(whole, CatalogChange{Store: store, Tokens: StoreOpen})
		}
	}
	for name, holders := range c.parts {
		for _, h := range holders {
			whole = c.log.encode(whole, CatalogChange{Store: h.Store, Name: name, Tokens: h.Tokens})
		}
	}
	return whole
}

// Decode returns changes that Since returned.
func (c *Catalog) Decode(changes Changes) ([]CatalogChange, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var decoded []CatalogChange
	err := c.log.decode(changes.Records, func(p CatalogChange) { decoded = append(decoded, p) })
	return decoded, err
}

// Install applies what another catalog's Since returned. If it returns an error, the catalogue is
// empty and needs a whole.
func (c *Catalog) Install(changes Changes, rev uint64, all bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if all {
		c.clear()
	}
	err := error(nil)
	if !c.log.learn(changes) {
		err = BadChanges.New("changes continue %d stores and %d prefixes; %d and %d are known", changes.FirstStore, changes.FirstPrefix, len(c.log.stores), len(c.log.prefixes))
	} else {
		err = c.log.decode(changes.Records, func(p CatalogChange) { c.applyChange(p) })
	}
	if err != nil {
		c.clear()
		rev = 0
	}
	c.rev = rev
	return err
}

// InstallDecoded applies changes that aren't encoded.
func (c *Catalog) InstallDecoded(changes []CatalogChange, rev uint64, all bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if all {
		c.clear()
	}
	for _, p := range changes {
		c.applyChange(p)
	}
	c.rev = rev
}

// clear empties the catalogue. The caller holds mu.
func (c *Catalog) clear() {
	c.parts, c.open, c.log, c.whole = map[string][]Holder{}, map[netip.AddrPort]bool{}, newChangeLog(), nil
	c.partCount = map[netip.AddrPort]int{}
}

// Len returns the number of distinct parts held by any store.
func (c *Catalog) Len() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.parts)
}

// Salt returns the scope within which cached prompt parts may be shared: one version of the
// weights and, if account is set, that account alone.
func Salt(weights uint64, account string) string {
	salt := "w" + strconv.FormatUint(weights, 10)
	if account != "" {
		salt += "." + url.PathEscape(account)
	}
	return salt
}

// SaltWithin returns the scope within a salt for content that may be only in some regions. Another request with the same
// content, which isn't bound to them, would otherwise read it and so move it elsewhere. No escaped account has an
// exclamation mark.
func SaltWithin(salt string, regions []string) string {
	if !strings.Contains(salt, ".") {
		// What follows the first full stop isn't the weights' version.
		salt += "."
	}
	for _, r := range slices.Compact(slices.Sorted(slices.Values(regions))) {
		salt += "!" + url.PathEscape(r)
	}
	return salt
}
