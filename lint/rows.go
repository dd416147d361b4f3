package lint

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"egretshunt/table"
	"egretshunt/value"
)

// Rows are the project's own tables as a document lists them; paths are those of the document, such as routes[2].pools.
type Rows struct {
	Pools  []*table.Pool
	Routes []*table.Route
	// Accounts are those with keys; nil if they aren't known.
	Accounts value.Set[string]
}

// rowRules are the rules for valid rows. A rule for a new field is a function in this list.
var rowRules = []func(*rowCheck){
	(*rowCheck).checkAccounts, (*rowCheck).checkRoutePools, (*rowCheck).checkPlaces, (*rowCheck).checkLimits, (*rowCheck).checkPools,
}

// Tables returns the warnings for the rows of a document. All holds these rows and those that are in force beside them.
func Tables(rows Rows, all *table.Tables) []Finding {
	c := &rowCheck{Rows: rows, all: all, used: value.Set[string]{}}
	for _, r := range all.Routes {
		for _, name := range slices.Concat(r.Pools, r.Stores) {
			c.used.Add(name)
		}
	}
	for _, rule := range rowRules {
		rule(c)
	}
	return c.findings
}

type rowCheck struct {
	Rows
	all *table.Tables
	// used are the pools that a route names.
	used     value.Set[string]
	findings []Finding
}

func (c *rowCheck) warnRoute(i int, field, format string, args ...any) {
	c.findings = append(c.findings, Finding{Warning, 0, fmt.Sprintf("routes[%d].%s", i, field), fmt.Sprintf("route %s: "+format, append([]any{c.Routes[i].Name}, args...)...)})
}

func (c *rowCheck) warnPool(i int, field, format string, args ...any) {
	c.findings = append(c.findings, Finding{Warning, 0, fmt.Sprintf("pools[%d].%s", i, field), fmt.Sprintf("pool %s: "+format, append([]any{c.Pools[i].Name}, args...)...)})
}

func (c *rowCheck) checkAccounts() {
	for i, r := range c.Routes {
		if c.Accounts != nil && !c.Accounts.Has(r.Account) {
			c.warnRoute(i, "account", "account %s has no key; no request can be of this account", r.Account)
		}
	}
}

// takesRequests reports whether the pool has an endpoint that isn't drained.
func takesRequests(p *table.Pool) bool {
	return !p.Drain && slices.ContainsFunc(p.Endpoints, func(e table.Endpoint) bool { return !e.Drain })
}

// checkRoutePools finds pools that a route can't use, and routes whose pools leave no endpoint.
func (c *rowCheck) checkRoutePools() {
	for i, r := range c.Routes {
		usable := false
		for n, name := range r.Pools {
			if slices.Contains(r.Pools[:n], name) {
				c.warnRoute(i, fmt.Sprintf("pools[%d]", n), "pool %s is listed before; it isn't tried again", name)
			}
			usable = usable || takesRequests(c.all.Pools[name])
		}
		if !usable {
			c.warnRoute(i, "pools", "its pools have no endpoint that takes requests; every request is rejected")
		}
		for n, name := range r.Stores {
			if slices.Contains(r.Stores[:n], name) {
				c.warnRoute(i, fmt.Sprintf("stores[%d]", n), "store pool %s is listed before", name)
			} else if !takesRequests(c.all.Pools[name]) {
				c.warnRoute(i, fmt.Sprintf("stores[%d]", n), "store pool %s has no store that takes blocks", name)
			}
		}
	}
}

func (c *rowCheck) checkPlaces() {
	for i, r := range c.Routes {
		for n, place := range r.Places {
			inPlace := func(name string) bool { return c.all.Pools[name].Place == place }
			if !slices.ContainsFunc(slices.Concat(r.Pools, r.Stores), inPlace) {
				c.warnRoute(i, fmt.Sprintf("places[%d]", n), "no pool of the route lies in %s", place)
			}
		}
	}
}

func (c *rowCheck) checkLimits() {
	for i, r := range c.Routes {
		if r.Limits.Burst > 0 && r.Limits.Rate == 0 {
			c.warnRoute(i, "limits.burst", "the burst has no effect without a rate")
		}
	}
}

func (c *rowCheck) checkPools() {
	for i, p := range c.Pools {
		switch {
		case !c.used.Has(p.Name):
			c.warnPool(i, "name", "no route names it; it gets no requests")
		case len(p.Endpoints) == 0:
			c.warnPool(i, "endpoints", "it has no endpoint")
		}
		if p.Lookup != "" && p.Kind != table.Service {
			c.warnPool(i, "lookup", "outcomes are looked up at services only, not at a pool of kind %s", p.Kind)
		} else if p.Lookup != "" && !strings.Contains(p.Lookup, "KEY") {
			c.warnPool(i, "lookup", "the path %q lacks KEY, so every look-up is for the same request", p.Lookup)
		}
	}
}

// rowEffects say what a change of a field of a route or pool does, where the difference alone doesn't.
var (
	rowEffects = map[string]string{
		"class":   "its requests are served earlier or later than those of other routes",
		"weights": "endpoints are chosen by the new costs",
		"limits":  "requests over the new limits are rejected",
		"time":    "requests that take longer than the new time are ended",
		"stale":   "nodes without contact to control behave differently on it",
		"retry":   "a different share of its requests may be retried",
		"stores":  "cached blocks in other stores are no longer used by it",
	}
	poolRowEffects = map[string]string{
		"version": "its engines load these weights, two at a time; cached blocks of other weights are no longer used",
		"drain":   "its endpoints get no new requests while it is true",
		"place":   "placement and places of routes use the new data centre",
		"lookup":  "outcomes of lost requests are asked for under the new path",
		"link":    "transfers are bounded by the new bandwidth",
	}
)

// TableChanges returns what an import of the rows changes in the tables in force. An import deletes nothing.
func TableChanges(rows Rows, inForce *table.Tables) []Change {
	var changes []Change
	add := func(field, effect, format string, args ...any) {
		changes = append(changes, Change{Field: field, Text: fmt.Sprintf(format, args...), Effect: effect})
	}
	kept := map[string]string{}
	for name := range inForce.Pools {
		kept["pool "+name] = "its endpoints still get requests of routes that name it"
	}
	for name, r := range inForce.Routes {
		kept["route "+name] = fmt.Sprintf("account %s keeps its access to %s", r.Account, r.Target)
	}
	for i, p := range rows.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		delete(kept, "pool "+p.Name)
		old := inForce.Pools[p.Name]
		if old == nil {
			add(path, "", "pool %s is new", p.Name)
			continue
		}
		if text := endpointChanges(old, p); text != "" {
			add(path+".endpoints", "requests go to the endpoints listed only; accepted work is finished", "pool %s: %s", p.Name, text)
		}
		for _, d := range differences(*old, *p, "name", "rev", "endpoints") {
			add(path+"."+d.path, poolRowEffects[d.name], "pool %s: %s", p.Name, d.text)
		}
	}
	for i, r := range rows.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		delete(kept, "route "+r.Name)
		old := inForce.Routes[r.Name]
		if old == nil {
			add(path, fmt.Sprintf("account %s gets access to %s", r.Account, r.Target), "route %s is new", r.Name)
			continue
		}
		if old.Account != r.Account || old.Target != r.Target {
			add(path, fmt.Sprintf("account %s loses access to %s, unless by another route; account %s gets access to %s", old.Account, old.Target, r.Account, r.Target),
				"route %s leads elsewhere", r.Name)
		}
		if !slices.Equal(old.Pools, r.Pools) {
			add(path+".pools", fmt.Sprintf("its requests move from %s to %s", strings.Join(old.Pools, ", "), strings.Join(r.Pools, ", ")), "route %s: the pools change", r.Name)
		}
		for _, d := range differences(*old, *r, "name", "account", "target", "pools", "rev") {
			add(path+"."+d.path, rowEffects[d.name], "route %s: %s", r.Name, d.text)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(kept)) {
		add("", kept[name], "%s isn't in the document and stays, since an import deletes nothing", name)
	}
	return changes
}

// endpointChanges says which endpoints of a pool are added, removed or changed.
func endpointChanges(before, after *table.Pool) string {
	var parts []string
	for _, e := range after.Endpoints {
		old, ok := before.Endpoint(e.Name)
		if !ok {
			parts = append(parts, fmt.Sprintf("%s (%s) is new", e.Name, e.Addr))
			continue
		}
		for _, d := range differences(old, e, "name") {
			parts = append(parts, fmt.Sprintf("%s: %s %s", e.Name, d.path, d.text))
		}
	}
	for _, e := range before.Endpoints {
		if _, ok := after.Endpoint(e.Name); !ok {
			parts = append(parts, e.Name+" is removed")
		}
	}
	return strings.Join(parts, "; ")
}
