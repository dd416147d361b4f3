// Package board holds table sets: numbered, immutable configuration snapshots with routes by host
// and path prefix, weighted pools, client accounts with their keys, and limits on what clients
// send.
//
// It owns the checks of a set (Check) and the lookups that the request path makes in it. A set is replaced
// as a whole by one with a higher number; ctrl replicates it, and the adapter that reads the
// operator's document builds it with New.
package board

import (
	"net/netip"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/value"
)

var (
	namespace = errorx.NewNamespace("board")
	// Invalid reports a set that fails a check.
	Invalid = namespace.NewType("invalid")
)

// Kind defines whether a request may be repeated.
type Kind int

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests run at most once per client attempt.
	AtMostOnce
	// Stream requests are answered with events; they run at most once, unless the route is
	// resumable.
	Stream
)

// String returns the kind's name.
func (k Kind) String() string { return [...]string{"safe", "once", "stream"}[k] }

// WeightedPool is one pool of a route with its traffic weight.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Route maps requests for a host and path prefix to pools.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Split              []WeightedPool
	// Timeout is the longest time that a client waits for a response.
	Timeout time.Duration
	// Goal is the latency objective: the time to the first byte, or first event, within which a
	// response is on time.
	Goal time.Duration
	// EventGapGoal is the longest pause between events of a response that is on time.
	EventGapGoal time.Duration
	// Patience is how long clients wait for the next event, including the first, before they
	// disconnect; zero means until the response ends.
	Patience time.Duration
	// Rank is the route's priority; 0 is the most urgent.
	Rank int
	// Attempts bounds the number of endpoints that may run one client attempt.
	Attempts int
	// Public routes require no key.
	Public bool
	// NamesPromptParts is true if the route's requests identify the parts of their prompts.
	NamesPromptParts bool
	// Resumable streams may continue at another endpoint after the last event received.
	Resumable bool
	// Regions are the only ones in which the route's requests may run; none means any.
	Regions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Pool is a group of endpoints of the same kind.
type Pool struct {
	Name string
	// Conns bounds the connections from all entries together to one endpoint; zero means no bound.
	Conns int
	// ColdTime is how long an endpoint is cold after its start, and ColdRate how many requests a second it tolerates then from all
	// entries together. Zero means that there is no bound.
	ColdTime time.Duration
	ColdRate float64
	// Engine is set for pools of model engines.
	Engine *Engine
	// Store is set for external stores of cached KV blocks.
	Store *Store
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is how many requests one engine runs concurrently.
	Slots int
	// Tokens is one engine's KV cache capacity, in tokens.
	Tokens int
	// TokenBytes is the size of one token's KV cache, in bytes.
	TokenBytes int
	// Bandwidth is the capacity of the link that transfers KV blocks, in bits per second.
	Bandwidth float64
	Models    []string
}

// Store is one external store of cached KV blocks, not run by this system.
type Store struct {
	Addr  netip.AddrPort
	Place string
	// Tokens is the store's capacity, in tokens.
	Tokens int
	// Bandwidth is the capacity of the store's link, in bits per second.
	Bandwidth float64
	// Delay precedes each transfer.
	Delay time.Duration
	// Managed stores evict nothing on their own.
	Managed bool
}

// Account is one client account.
type Account struct {
	Name string
	Keys []string
	// Rank overrides the rank of the routes.
	Rank value.Option[int]
	// Isolated accounts share no cached prompt parts with other accounts.
	Isolated bool
	// Regions are the only ones in which the account's requests may run; none means any.
	Regions []string
}

// Limits bound what clients send; zero means no bound. Header and Body are in bytes.
type Limits struct {
	Header, Body               int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Draft is the content of a set before the checks.
type Draft struct {
	Number   uint64
	Routes   []Route
	Pools    []Pool
	Accounts []Account
	// RequireKeys is true if requests need a key unless their route is public.
	RequireKeys bool
	Limits      Limits
}

// Set is one checked table set.
type Set struct {
	Number      uint64
	RequireKeys bool
	Limits      Limits

	routes map[string][]*Route
	pools  map[string]*Pool
	keys   map[string]*Account
	stores []*Pool
}

// New checks a draft and returns the set, or an Invalid error with its first problem.
func New(d Draft) (*Set, error) {
	s, problems := Check(d)
	if s == nil {
		return nil, Invalid.New("%s: %s", problems[0].Path, problems[0].Text)
	}
	return s, nil
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (s *Set) Match(host, path string) *Route {
	for _, r := range s.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that holds the key, or nil.
func (s *Set) Account(key string) *Account { return s.keys[key] }

// Pool returns the pool with the name, or nil.
func (s *Set) Pool(name string) *Pool { return s.pools[name] }

// Stores returns the pools that are stores, sorted by name.
func (s *Set) Stores() []*Pool { return s.stores }

// Pick returns the name of the pool for a request, in proportion to the weights; draw is uniform
// in [0, 1).
func (r *Route) Pick(draw float64) string {
	// A sum of integers might overflow.
	total := 0.0
	for _, share := range r.Split {
		total += float64(share.Weight)
	}
	position := draw * total
	for _, share := range r.Split {
		if position < float64(share.Weight) {
			return share.Pool
		}
		position -= float64(share.Weight)
	}
	return r.Split[len(r.Split)-1].Pool
}
