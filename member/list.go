package member

import (
	"net/netip"
	"time"
)

// Endpoint is one running endpoint from the platform's list.
type Endpoint struct {
	ID   string         `json:"id"`
	Pool string         `json:"pool"`
	Addr netip.AddrPort `json:"addr"`
	// Place is the data centre.
	Place    string `json:"place"`
	Slots    int    `json:"slots,omitempty"`
	Draining bool   `json:"leaving,omitempty"`
	// WarmupLeft is how much longer the endpoint will be slow after its start.
	WarmupLeft time.Duration `json:"cold,omitempty"`
	// Born identifies the incarnation among several starts under one ID.
	Born int64 `json:"born,omitempty"`
	// Build is the version of the endpoint's software.
	Build string `json:"build,omitempty"`
	// Weights are the loaded model versions, by model.
	Weights map[string]uint64 `json:"weights,omitempty"`
	// Loading is true while a command of this system changes the weights.
	Loading bool `json:"loading,omitempty"`
	// Down is true while control assumes that the endpoint responds to nobody.
	Down bool `json:"down,omitempty"`
}

// List is the set of endpoints known at one moment. A published list is immutable.
type List struct {
	Rev       uint64     `json:"rev"`
	Endpoints []Endpoint `json:"endpoints"`

	pools map[string][]*Endpoint
	ids   map[string]*Endpoint
	addrs map[netip.AddrPort]*Endpoint
}

// Index builds the lookup tables and returns the list; call it once before publishing.
func (l *List) Index() *List {
	l.pools, l.ids, l.addrs = map[string][]*Endpoint{}, map[string]*Endpoint{}, map[netip.AddrPort]*Endpoint{}
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		l.pools[e.Pool] = append(l.pools[e.Pool], e)
		l.ids[e.ID] = e
		l.addrs[e.Addr] = e
	}
	return l
}

// Pool returns the endpoints of a pool.
func (l *List) Pool(name string) []*Endpoint { return l.pools[name] }

// Find returns the endpoint with the ID, or nil.
func (l *List) Find(id string) *Endpoint { return l.ids[id] }

// At returns the endpoint at the address, or nil.
func (l *List) At(addr netip.AddrPort) *Endpoint { return l.addrs[addr] }
