package block

import (
	"net/netip"
	"net/url"
	"strconv"
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
}

// maxHistory bounds the changes that a Catalog remembers for those that lag.
const maxHistory = 8192

// Catalog records which stores hold which complete parts. It is safe for concurrent use.
type Catalog struct {
	// mu guards all fields below.
	mu      sync.RWMutex
	rev     uint64
	parts   map[string][]Holder
	open    map[netip.AddrPort]bool
	history []CatalogChange
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{parts: map[string][]Holder{}, open: map[netip.AddrPort]bool{}}
}

// Rev returns the revision, which increases by one with each change.
func (c *Catalog) Rev() uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.rev
}

// Apply applies changes in order.
func (c *Catalog) Apply(changes []CatalogChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range changes {
		c.applyChange(p)
	}
	c.rev += uint64(len(changes))
	c.history = append(c.history, changes...)
	if extra := len(c.history) - maxHistory; extra > maxHistory {
		c.history = append([]CatalogChange(nil), c.history[extra:]...)
	}
}

func (c *Catalog) applyChange(p CatalogChange) {
	if p.Name == "" && p.Tokens > 0 {
		c.open[p.Store] = p.Tokens == StoreOpen
		return
	}
	if p.Name == "" {
		delete(c.open, p.Store)
		for name := range c.parts {
			c.removeHolder(name, p.Store)
		}
		return
	}
	c.removeHolder(p.Name, p.Store)
	if p.Tokens > 0 {
		c.parts[p.Name] = append(c.parts[p.Name], Holder{p.Store, p.Tokens})
	}
}

func (c *Catalog) removeHolder(name string, store netip.AddrPort) {
	holders := c.parts[name]
	for i, h := range holders {
		if h.Store != store {
			continue
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
// back to rev, it returns the whole content with all set.
func (c *Catalog) Since(rev uint64) (changes []CatalogChange, now uint64, all bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if behind := c.rev - rev; rev <= c.rev && behind <= uint64(len(c.history)) {
		return append([]CatalogChange(nil), c.history[uint64(len(c.history))-behind:]...), c.rev, false
	}
	for store, open := range c.open {
		if open {
			changes = append(changes, CatalogChange{Store: store, Tokens: StoreOpen})
		}
	}
	for name, holders := range c.parts {
		for _, h := range holders {
			changes = append(changes, CatalogChange{Store: h.Store, Name: name, Tokens: h.Tokens})
		}
	}
	return changes, c.rev, true
}

// Install applies what another catalog's Since returned.
func (c *Catalog) Install(changes []CatalogChange, rev uint64, all bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if all {
		c.parts, c.open = map[string][]Holder{}, map[netip.AddrPort]bool{}
	}
	for _, p := range changes {
		c.applyChange(p)
	}
	c.rev, c.history = rev, nil
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
