package board

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is a reason why a draft is no valid set.
type Problem struct {
	// Path names the value, such as Routes[3].Split[0].Pool.
	Path string
	Text string
}

// MaxProblems bounds the problems that one check collects: a document of the largest size could have millions.
const MaxProblems = 1000

// maxProblemBytes bounds the text of a problem, which may name values as long as the document.
const maxProblemBytes = 300

// Problems collects up to MaxProblems problems.
type Problems []Problem

// Full reports whether no more problems are collected.
func (p Problems) Full() bool { return len(p) >= MaxProblems }

// Add adds a problem of the value at the path.
func (p *Problems) Add(path, format string, args ...any) {
	if !p.Full() {
		text := fmt.Sprintf(format, args...)
		if len(text) > maxProblemBytes {
			text = strings.ToValidUTF8(text[:maxProblemBytes], "") + " ..."
		}
		*p = append(*p, Problem{path, text})
	}
}

// Check checks a draft. It returns the set, or nil and all problems.
func Check(d Draft) (*Set, Problems) {
	c := checker{set: &Set{
		Number: d.Number, RequireKeys: d.RequireKeys, Limits: d.Limits,
		routes: map[string][]*Route{}, pools: map[string]*Pool{}, keys: map[string]*Account{},
	}, prefixes: map[hostPrefix]*Route{}}
	for i := 0; i < len(d.Pools) && !c.problems.Full(); i++ {
		c.addPool(&d.Pools[i], i)
	}
	slices.SortFunc(c.set.stores, func(a, b *Pool) int { return strings.Compare(a.Name, b.Name) })
	for i := 0; i < len(d.Accounts) && !c.problems.Full(); i++ {
		c.addAccount(&d.Accounts[i], i)
	}
	for i := 0; i < len(d.Routes) && !c.problems.Full(); i++ {
		c.addRoute(&d.Routes[i], i)
	}
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	for _, hostRoutes := range c.set.routes {
		slices.SortFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c.set, nil
}

type hostPrefix struct{ host, prefix string }

// checker builds a set. After a problem it goes on only to find the others.
type checker struct {
	set      *Set
	problems Problems
	prefixes map[hostPrefix]*Route
}

func (c *checker) addPool(p *Pool, i int) {
	if p.Name == "" || c.set.pools[p.Name] != nil {
		c.problems.Add(fmt.Sprintf("Pools[%d].Name", i), "the name %q is empty or a duplicate", p.Name)
		return
	}
	c.set.pools[p.Name] = p
	if p.Store != nil {
		c.set.stores = append(c.set.stores, p)
	}
}

func (c *checker) addAccount(a *Account, i int) {
	if a.Name == "" {
		c.problems.Add(fmt.Sprintf("Accounts[%d].Name", i), "an account's name is empty")
	}
	for n, k := range a.Keys {
		if holder := c.set.keys[k]; k == "" || holder != nil && holder.Name != a.Name {
			c.problems.Add(fmt.Sprintf("Accounts[%d].Keys[%d]", i, n), "account %s: a key is empty or also belongs to another account", a.Name)
			continue
		}
		c.set.keys[k] = a
	}
}

func (c *checker) addRoute(r *Route, i int) {
	report := func(field, format string, args ...any) {
		c.problems.Add(fmt.Sprintf("Routes[%d].%s", i, field), "route %s: "+format, append([]any{r.Name}, args...)...)
	}
	if r.Host == "" {
		report("Host", "the host is empty")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		report("Prefix", "the prefix %q does not begin and end with /", r.Prefix)
	}
	host := strings.ToLower(r.Host)
	if other := c.prefixes[hostPrefix{host, r.Prefix}]; other != nil {
		report("Prefix", "route %s has the same host and prefix", other.Name)
	}
	c.prefixes[hostPrefix{host, r.Prefix}] = r
	if r.Timeout <= 0 {
		report("Timeout", "the timeout must be positive")
	}
	c.checkSplit(r, report)
	r.Attempts = max(r.Attempts, 1)
	c.set.routes[host] = append(c.set.routes[host], r)
}

func (c *checker) checkSplit(r *Route, report func(field, format string, args ...any)) {
	total := 0.0
	for n, share := range r.Split {
		if c.set.pools[share.Pool] == nil {
			report(fmt.Sprintf("Split[%d].Pool", n), "pool %q does not exist", share.Pool)
		}
		if share.Weight < 0 {
			report(fmt.Sprintf("Split[%d].Weight", n), "the weight %d is negative", share.Weight)
		}
		total += float64(share.Weight)
	}
	if total <= 0 {
		report("Split", "the sum of the weights must be positive")
	}
}
