// Package table holds the two configuration tables that operators edit: routes and pools.
//
// It owns the rows, their validation and consistency checks, immutable snapshots, deltas
// between snapshots, change ids and the audit trail. It does no I/O and reads no clock:
// package ctrl replicates changes and applies them here in log order, so that all replicas
// reach the same state. On a request's path, an entry finds the route of the account and
// target in its current snapshot, and package route chooses an endpoint from the pools.
package table

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"egretshunt/value"
)

// Kind is what the endpoints of a pool serve.
type Kind string

// Kinds of pools.
const (
	Model   Kind = "model"
	Service Kind = "service"
	Store   Kind = "store"
)

// Class is the urgency of a route's requests; the class with the lowest rank is served first.
type Class string

// Classes of routes, most urgent first.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Batch  Class = "batch"
)

// Rank returns the class as a number: 0 for the most urgent, 2 for the least.
func (c Class) Rank() uint32 {
	switch c {
	case Urgent:
		return 0
	case Batch:
		return 2
	}
	return 1
}

// Behaviour of a route on a node whose tables are no longer fresh.
const (
	StaleRefuse = "refuse"
	StaleServe  = "serve"
)

// Weights are the cost weights of a route's objective: the cost of one second to the first
// token, of one recomputed token and of one fetched byte.
type Weights struct {
	First     float64 `json:"first" toml:"first"`
	Recompute float64 `json:"recompute" toml:"recompute"`
	Link      float64 `json:"link" toml:"link"`
}

// Limits bound what the account may send over one route. Zero means no limit.
type Limits struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate,omitempty" toml:"rate,omitempty"`
	// Burst is how many requests may exceed the rate.
	Burst float64 `json:"burst,omitempty" toml:"burst,omitempty"`
	// MaxInFlight is how many requests may be in flight at once on one entry.
	MaxInFlight int `json:"flight,omitempty" toml:"flight,omitempty"`
}

// Route is a row of the routes table: where one client account's requests for one target
// may go. A published route is immutable.
type Route struct {
	Name    string `json:"name" toml:"name"`
	Account string `json:"account" toml:"account"`
	// Target is the name of a model, or of a service that is not a model.
	Target string `json:"target" toml:"target"`
	// Pools are tried in order; only their endpoints may receive the request.
	Pools []string `json:"pools" toml:"pools"`
	// Stores are the store pools that may hold this account's cached KV blocks.
	Stores []string `json:"stores,omitempty" toml:"stores,omitempty"`
	// Places, if set, are the only data centres that Pools and Stores may be in.
	Places  []string   `json:"places,omitempty" toml:"places,omitempty"`
	Class   Class      `json:"class,omitempty" toml:"class,omitempty"`
	Weights Weights    `json:"weights,omitzero" toml:"weights,omitempty"`
	Limits  Limits     `json:"limits,omitzero" toml:"limits,omitempty"`
	Stale   string     `json:"stale,omitempty" toml:"stale,omitempty"`
	Retry   float64    `json:"retry,omitempty" toml:"retry,omitempty"`
	Time    value.Span `json:"time,omitzero" toml:"time,omitempty"`
	// Rev is the table revision of the row's last change; it serves as the row's version.
	Rev uint64 `json:"rev,omitempty" toml:"-"`
}

// DefaultTimeout limits a request whose route sets no Time.
const DefaultTimeout = 2 * time.Minute

// Timeout returns how long a request of the route may take.
func (r *Route) Timeout() time.Duration {
	if r.Time.Duration > 0 {
		return r.Time.Duration
	}
	return DefaultTimeout
}

// Endpoint is one back end, reached through the agent on its machine.
type Endpoint struct {
	Name string `json:"name" toml:"name"`
	// Addr is where the agent, or the store itself, listens.
	Addr netip.AddrPort `json:"addr" toml:"addr"`
	// Drain keeps new requests away from the endpoint.
	Drain bool `json:"drain,omitempty" toml:"drain,omitempty"`
}

// Pool is a row of the pools table: a named group of endpoints in one data centre. A
// published pool is immutable.
type Pool struct {
	Name      string     `json:"name" toml:"name"`
	Place     string     `json:"place" toml:"place"`
	Kind      Kind       `json:"kind" toml:"kind"`
	Model     string     `json:"model,omitempty" toml:"model,omitempty"`
	Version   string     `json:"version,omitempty" toml:"version,omitempty"`
	Drain     bool       `json:"drain,omitempty" toml:"drain,omitempty"`
	Endpoints []Endpoint `json:"endpoints" toml:"endpoints"`
	// Lookup is the path at which a service reports the outcome of the request with an
	// idempotency key; KEY in it stands for the key.
	Lookup string `json:"lookup,omitempty" toml:"lookup,omitempty"`
	// Link is the bandwidth budget between each endpoint and the stores, in bytes per second.
	Link uint64 `json:"link,omitempty" toml:"link,omitempty"`
	// Rev is the table revision of the row's last change; it serves as the row's version.
	Rev uint64 `json:"rev,omitempty" toml:"-"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Check validates the row without regard to other rows; it returns the first problem.
func (r *Route) Check() error { return firstError(r.Problems()) }

// Problems validates the row without regard to other rows.
func (r *Route) Problems() []Problem {
	var p problems
	p.checkName("name", "route name", r.Name)
	p.checkName("account", "account", r.Account)
	p.checkName("target", "target", r.Target)
	if len(r.Pools) == 0 {
		p.add("pools", Invalid.New("route %s: pools is empty; name at least one pool", r.Name))
	}
	switch r.Class {
	case "", Urgent, Normal, Batch:
	default:
		p.add("class", Invalid.New("route %s: class %q: want urgent, normal or batch", r.Name, r.Class))
	}
	if r.Stale != "" && r.Stale != StaleRefuse && r.Stale != StaleServe {
		p.add("stale", Invalid.New("route %s: stale %q: want refuse or serve", r.Name, r.Stale))
	}
	r.checkNumbers(&p)
	return p
}

func (r *Route) checkNumbers(p *problems) {
	for _, n := range []struct {
		key    string
		number float64
	}{
		{"weights.first", r.Weights.First},
		{"weights.recompute", r.Weights.Recompute},
		{"weights.link", r.Weights.Link},
		{"limits.rate", r.Limits.Rate},
		{"limits.burst", r.Limits.Burst},
		{"limits.flight", float64(r.Limits.MaxInFlight)},
	} {
		if n.number < 0 || n.number != n.number {
			p.add(n.key, Invalid.New("route %s: %s is %v: want zero or more", r.Name, n.key, n.number))
		}
	}
	if r.Retry < 0 || r.Retry > 1 {
		p.add("retry", Invalid.New("route %s: retry is %v: want 0 to 1, the share of requests that may be retried", r.Name, r.Retry))
	}
}

// Check validates the row without regard to other rows; it returns the first problem.
func (p *Pool) Check() error { return firstError(p.Problems()) }

// Problems validates the row without regard to other rows.
func (p *Pool) Problems() []Problem {
	var found problems
	found.checkName("name", "pool name", p.Name)
	found.checkName("place", "place", p.Place)
	switch p.Kind {
	case Service, Store:
	case Model:
		if p.Model == "" || p.Version == "" {
			found.add("model", Invalid.New("pool %s: a model pool needs model and version", p.Name))
		}
	default:
		found.add("kind", Invalid.New("pool %s: kind %q: want model, service or store", p.Name, p.Kind))
	}
	endpointNames := value.Set[string]{}
	for i, e := range p.Endpoints {
		if found.full() {
			break
		}
		field := fmt.Sprintf("endpoints[%d].", i)
		found.checkName(field+"name", "endpoint", e.Name)
		if endpointNames.Has(e.Name) {
			found.add(field+"name", Invalid.New("pool %s: endpoint %s stands twice", p.Name, e.Name))
		}
		if !e.Addr.IsValid() || e.Addr.Port() == 0 {
			found.add(field+"addr", Invalid.New("pool %s: endpoint %s: addr is missing or has port 0", p.Name, e.Name))
		}
		endpointNames.Add(e.Name)
	}
	return found
}

// Endpoint returns the endpoint of that name in the pool.
func (p *Pool) Endpoint(name string) (Endpoint, bool) {
	i := slices.IndexFunc(p.Endpoints, func(e Endpoint) bool { return e.Name == name })
	if i < 0 {
		return Endpoint{}, false
	}
	return p.Endpoints[i], true
}
