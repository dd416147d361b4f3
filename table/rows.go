// Package table holds the two tables that operators edit, routes and pools.
//
// It owns the rows, the checks that join them, immutable snapshots, differences
// between snapshots, change identities and the audit trail. It does no input or
// output and reads no clock: ctrl replicates changes and hands them in, in order.
// route reads the snapshots.
package table

import (
	"net/netip"
	"regexp"
	"slices"
	"time"

	"egretshunt/value"
)

// Kind says what the endpoints of a pool are.
type Kind string

// Kinds of pool.
const (
	Model   Kind = "model"
	Service Kind = "service"
	Store   Kind = "store"
)

// Class orders requests by urgency; a lower class is served first.
type Class string

// Classes of route, most urgent first.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Batch  Class = "batch"
)

// Rank returns 0 for the most urgent class.
func (c Class) Rank() uint32 {
	switch c {
	case Urgent:
		return 0
	case Batch:
		return 2
	}
	return 1
}

// Behaviour of a route on a node whose freshness ran out.
const (
	StaleRefuse = "refuse"
	StaleServe  = "serve"
)

// Weights are the objective of a route: what one second of waiting, one
// recomputed token and one fetched byte count for.
type Weights struct {
	First     float64 `json:"first" toml:"first"`
	Recompute float64 `json:"recompute" toml:"recompute"`
	Link      float64 `json:"link" toml:"link"`
}

// Limits bound one route's account. Zero means no bound.
type Limits struct {
	// Rate is in requests a second.
	Rate float64 `json:"rate,omitempty" toml:"rate,omitempty"`
	// Burst is in requests above the rate.
	Burst float64 `json:"burst,omitempty" toml:"burst,omitempty"`
	// Flight is how many requests may run at once on one entry.
	Flight int `json:"flight,omitempty" toml:"flight,omitempty"`
}

// Route says where one client account's requests for one target may go.
// A published route is immutable.
type Route struct {
	Name    string `json:"name" toml:"name"`
	Account string `json:"account" toml:"account"`
	// Target is a model name, or a service name for plain services.
	Target string `json:"target" toml:"target"`
	// Pools are tried in order; only their endpoints may see the request.
	Pools []string `json:"pools" toml:"pools"`
	// Stores are the store pools that may keep this account's blocks.
	Stores []string `json:"stores,omitempty" toml:"stores,omitempty"`
	// Places, when set, are the only places that Pools and Stores may lie in.
	Places  []string   `json:"places,omitempty" toml:"places,omitempty"`
	Class   Class      `json:"class,omitempty" toml:"class,omitempty"`
	Weights Weights    `json:"weights,omitzero" toml:"weights,omitempty"`
	Limits  Limits     `json:"limits,omitzero" toml:"limits,omitempty"`
	Stale   string     `json:"stale,omitempty" toml:"stale,omitempty"`
	Retry   float64    `json:"retry,omitempty" toml:"retry,omitempty"`
	Time    value.Span `json:"time,omitzero" toml:"time,omitempty"`
	// Rev is the table revision of the row's last change and its version.
	Rev uint64 `json:"rev,omitempty" toml:"-"`
}

// DefaultTimeout bounds a request whose route sets no time.
const DefaultTimeout = 2 * time.Minute

// Limit returns how long a request of the route may take.
func (r *Route) Limit() time.Duration {
	if r.Time.Duration > 0 {
		return r.Time.Duration
	}
	return DefaultTimeout
}

// Endpoint is one back end, reached through the agent beside it.
type Endpoint struct {
	Name string `json:"name" toml:"name"`
	// Addr is where the agent, or the store itself, listens.
	Addr netip.AddrPort `json:"addr" toml:"addr"`
	// Drain keeps new work away from the endpoint.
	Drain bool `json:"drain,omitempty" toml:"drain,omitempty"`
}

// Pool is a named group of endpoints in one place. A published pool is immutable.
type Pool struct {
	Name      string     `json:"name" toml:"name"`
	Place     string     `json:"place" toml:"place"`
	Kind      Kind       `json:"kind" toml:"kind"`
	Model     string     `json:"model,omitempty" toml:"model,omitempty"`
	Version   string     `json:"version,omitempty" toml:"version,omitempty"`
	Drain     bool       `json:"drain,omitempty" toml:"drain,omitempty"`
	Endpoints []Endpoint `json:"endpoints" toml:"endpoints"`
	// Lookup is a path of a service that tells the outcome of an idempotency
	// key; KEY in it stands for the key.
	Lookup string `json:"lookup,omitempty" toml:"lookup,omitempty"`
	// Link is the budget towards the stores of each endpoint, in bytes a second.
	Link uint64 `json:"link,omitempty" toml:"link,omitempty"`
	// Rev is the table revision of the row's last change and its version.
	Rev uint64 `json:"rev,omitempty" toml:"-"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func checkName(field, name string) error {
	if !namePattern.MatchString(name) {
		return Invalid.New("%s %q: want 1 to 63 of a-z, 0-9, dot, dash, underscore, beginning with a letter or digit", field, name)
	}
	return nil
}

// Check reports what is wrong with the row by itself.
func (r *Route) Check() error {
	if err := checkName("route name", r.Name); err != nil {
		return err
	}
	if err := checkName("account", r.Account); err != nil {
		return err
	}
	if err := checkName("target", r.Target); err != nil {
		return err
	}
	if len(r.Pools) == 0 {
		return Invalid.New("route %s: pools is empty; name at least one pool", r.Name)
	}
	switch r.Class {
	case "", Urgent, Normal, Batch:
	default:
		return Invalid.New("route %s: class %q: want urgent, normal or batch", r.Name, r.Class)
	}
	if r.Stale != "" && r.Stale != StaleRefuse && r.Stale != StaleServe {
		return Invalid.New("route %s: stale %q: want refuse or serve", r.Name, r.Stale)
	}
	return r.checkNumbers()
}

func (r *Route) checkNumbers() error {
	for _, n := range []struct {
		key    string
		number float64
	}{
		{"weights.first", r.Weights.First},
		{"weights.recompute", r.Weights.Recompute},
		{"weights.link", r.Weights.Link},
		{"limits.rate", r.Limits.Rate},
		{"limits.burst", r.Limits.Burst},
		{"limits.flight", float64(r.Limits.Flight)},
	} {
		if n.number < 0 || n.number != n.number {
			return Invalid.New("route %s: %s is %v: want zero or more", r.Name, n.key, n.number)
		}
	}
	if r.Retry < 0 || r.Retry > 1 {
		return Invalid.New("route %s: retry is %v: want 0 to 1, the share of requests that may be retried", r.Name, r.Retry)
	}
	return nil
}

// Check reports what is wrong with the row by itself.
func (p *Pool) Check() error {
	if err := checkName("pool name", p.Name); err != nil {
		return err
	}
	if err := checkName("place", p.Place); err != nil {
		return err
	}
	switch p.Kind {
	case Service, Store:
	case Model:
		if p.Model == "" || p.Version == "" {
			return Invalid.New("pool %s: a model pool needs model and version", p.Name)
		}
	default:
		return Invalid.New("pool %s: kind %q: want model, service or store", p.Name, p.Kind)
	}
	endpointNames := value.Set[string]{}
	for _, e := range p.Endpoints {
		if err := checkName("endpoint", e.Name); err != nil {
			return err
		}
		if endpointNames.Has(e.Name) {
			return Invalid.New("pool %s: endpoint %s stands twice", p.Name, e.Name)
		}
		if !e.Addr.IsValid() || e.Addr.Port() == 0 {
			return Invalid.New("pool %s: endpoint %s: addr is missing or has port 0", p.Name, e.Name)
		}
		endpointNames.Add(e.Name)
	}
	return nil
}

// Endpoint returns the named endpoint of the pool.
func (p *Pool) Endpoint(name string) (Endpoint, bool) {
	i := slices.IndexFunc(p.Endpoints, func(e Endpoint) bool { return e.Name == name })
	if i < 0 {
		return Endpoint{}, false
	}
	return p.Endpoints[i], true
}
