package lint

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"egretshunt/board"
	"egretshunt/value"
)

// routeEffects and poolEffects say what a change of a field does, where the difference alone doesn't. A field without a
// text is reported with its values only. The fields of homes and cold endpoints are those that the page names.
var (
	routeEffects = map[string]string{
		"Kind":             "whether its requests may be repeated changes",
		"Timeout":          "requests that take longer than the new time are ended",
		"Rank":             "its requests are served earlier or later than those of other routes",
		"Attempts":         "the bound on endpoints that may run one request changes",
		"Resumable":        "whether a broken stream may continue at another endpoint changes",
		"Regions":          "its requests run in these regions only; without any, in all",
		"NamesPromptParts": "whether its requests can use cached prompt parts changes",
	}
	poolEffects = map[string]string{
		"Conns":    "the connections to each endpoint are bounded anew",
		"ColdTime": "endpoints that start get few requests for this long",
		"ColdRate": "cold endpoints get at most this many requests a second; without a rate there is no bound",
		"Engine":   "placement and cached parts are estimated by the new values",
		"Store":    "cached parts in the store may have to be read and saved anew",
	}
)

// SetChanges returns what differs between two valid table sets, with board's paths in the later one.
func SetChanges(before, after board.Draft) []Change {
	c := &setComparison{before: before, after: after}
	// Both drafts are those of valid sets.
	c.beforeSet, _ = board.Check(before)
	c.afterSet, _ = board.Check(after)
	if c.beforeSet == nil || c.afterSet == nil {
		return nil
	}
	c.compareAccess()
	c.compareAccounts()
	c.comparePools()
	c.compareRoutes()
	return c.changes
}

type setComparison struct {
	before, after       board.Draft
	beforeSet, afterSet *board.Set
	changes             []Change
}

func (c *setComparison) add(path, effect, format string, args ...any) {
	c.changes = append(c.changes, Change{Field: path, Text: fmt.Sprintf(format, args...), Effect: effect})
}

func (c *setComparison) compareAccess() {
	if c.before.RequireKeys && !c.after.RequireKeys {
		c.add("", "all requests without a key are accepted", "keys are no longer required")
	} else if !c.before.RequireKeys && c.after.RequireKeys {
		c.add("Accounts", "requests without a key are rejected, except on public routes", "keys are required")
	}
	for _, d := range differences(c.before.Limits, c.after.Limits) {
		c.add("Limits."+d.path, "", "%s", d.text)
	}
}

// accountRow is one account with the index of its first row.
type accountRow struct {
	row     int
	account *board.Account
}

// accountRows returns the accounts by name; of several rows with one name, the last is kept.
func accountRows(d board.Draft) map[string]accountRow {
	rows := map[string]accountRow{}
	for i := range d.Accounts {
		rows[d.Accounts[i].Name] = accountRow{i, &d.Accounts[i]}
	}
	return rows
}

func (c *setComparison) compareAccounts() {
	before, after := accountRows(c.before), accountRows(c.after)
	lost, gained := c.keyChanges(c.beforeSet, c.afterSet, c.before), c.keyChanges(c.afterSet, c.beforeSet, c.after)
	names := value.Set[string]{}
	for _, rows := range []map[string]accountRow{before, after} {
		for name := range rows {
			names.Add(name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, had := before[name]
		row, has := after[name]
		path := ""
		if has {
			path = fmt.Sprintf("Accounts[%d]", row.row)
		}
		lostText := c.lostAccess(lost[name])
		switch {
		case !has:
			c.add("", lostText, "account %s is removed", name)
		case !had:
			c.add(path, "requests with its "+count(len(row.account.Keys), "key")+" are accepted", "account %s is new", name)
		default:
			if n := len(lost[name]); n > 0 {
				c.add(path+".Keys", lostText, "account %s loses %s", name, count(n, "key"))
			}
			if n := len(gained[name]); n > 0 {
				c.add(path+".Keys", "requests with these keys count as its own", "account %s gets %s", name, count(n, "key"))
			}
			for _, d := range differences(*old.account, *row.account, "Name", "Keys") {
				c.add(path+"."+d.path, accountEffects[d.name], "account %s: %s", name, d.text)
			}
		}
	}
}

var accountEffects = map[string]string{
	"Rank":     "its requests are served earlier or later than those of other accounts",
	"Regions":  "its requests run in these regions only; without any, in all",
	"Isolated": "whether it shares cached prompt parts changes, so those it used are computed anew",
}

// keyChanges returns, by account, the keys that are of the account in one set and not in the other.
func (c *setComparison) keyChanges(in, other *board.Set, d board.Draft) map[string][]string {
	changed := map[string][]string{}
	for i := range d.Accounts {
		name := d.Accounts[i].Name
		for _, k := range d.Accounts[i].Keys {
			if holder := other.Account(k); holder == nil || holder.Name != name {
				changed[name] = append(changed[name], k)
			}
		}
	}
	return changed
}

// lostAccess says what happens to requests with keys that an account has lost.
func (c *setComparison) lostAccess(keys []string) string {
	if !c.after.RequireKeys {
		return "requests need no key"
	}
	moved := map[string]int{}
	for _, k := range keys {
		if a := c.afterSet.Account(k); a != nil {
			moved[a.Name]++
		}
	}
	rejected := len(keys)
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(moved)) {
		rejected -= moved[name]
		parts = append(parts, fmt.Sprintf("requests with %d of its keys count as those of account %s", moved[name], name))
	}
	if rejected > 0 || len(parts) == 0 {
		parts = append(parts, fmt.Sprintf("requests with %d of its keys lose access to all routes that aren't public", rejected))
	}
	return strings.Join(parts, "; ")
}

func (c *setComparison) comparePools() {
	before := map[string]*board.Pool{}
	for i := range c.before.Pools {
		before[c.before.Pools[i].Name] = &c.before.Pools[i]
	}
	for i := range c.after.Pools {
		p := &c.after.Pools[i]
		path := fmt.Sprintf("Pools[%d]", i)
		old := before[p.Name]
		if old == nil {
			c.add(path, "", "pool %s is new", p.Name)
			continue
		}
		delete(before, p.Name)
		for _, d := range differences(*old, *p, "Name") {
			c.add(path+"."+d.path, poolEffects[d.name], "pool %s: %s", p.Name, d.text)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		effect := "its endpoints get no more requests"
		if before[name].Store != nil {
			effect = "its cached parts are no longer read"
		}
		c.add("", effect, "pool %s is removed", name)
	}
}

func routeOf(r *board.Route) string { return fmt.Sprintf("%s%s", strings.ToLower(r.Host), r.Prefix) }

// compareRoutes compares routes by host and prefix, which decide what requests they get; a name may change freely.
func (c *setComparison) compareRoutes() {
	before := map[string]*board.Route{}
	for i := range c.before.Routes {
		before[routeOf(&c.before.Routes[i])] = &c.before.Routes[i]
	}
	for i := range c.after.Routes {
		r := &c.after.Routes[i]
		old := before[routeOf(r)]
		if old == nil {
			c.addNewRoute(r, i)
			continue
		}
		delete(before, routeOf(r))
		c.compareRoute(old, r, fmt.Sprintf("Routes[%d]", i))
	}
	for _, key := range slices.Sorted(maps.Keys(before)) {
		r := before[key]
		effect := "its requests are rejected, as no route matches them"
		if next := c.afterSet.Match(r.Host, r.Prefix); next != nil {
			effect = fmt.Sprintf("its requests move to route %s%s", next.Name, c.movedTo(r, next))
		}
		c.add("", effect, "route %s (%s) is removed", r.Name, key)
	}
}

func (c *setComparison) addNewRoute(r *board.Route, i int) {
	effect := "requests that no route matched are accepted"
	if former := c.beforeSet.Match(r.Host, r.Prefix); former != nil {
		effect = fmt.Sprintf("requests move to it from route %s%s", former.Name, c.movedTo(former, r))
	}
	c.add(fmt.Sprintf("Routes[%d]", i), effect, "route %s (%s) is new", r.Name, routeOf(r))
}

// movedTo says to which pools requests move, if they differ.
func (c *setComparison) movedTo(from, to *board.Route) string {
	if a, b := shares(from), shares(to); !maps.Equal(a, b) {
		return fmt.Sprintf(", from %s to %s", describeShares(a), describeShares(b))
	}
	return ", with the same pools"
}

func (c *setComparison) compareRoute(old, r *board.Route, path string) {
	if old.Name != r.Name {
		c.add(path+".Name", "", "route %s is now called %s", old.Name, r.Name)
	}
	if a, b := shares(old), shares(r); !maps.Equal(a, b) {
		c.add(path+".Split", fmt.Sprintf("its requests move from %s to %s", describeShares(a), describeShares(b)), "route %s: the pools change", r.Name)
	}
	if old.Public != r.Public && c.after.RequireKeys {
		effect := "requests without a key are accepted on it"
		if old.Public {
			effect = "requests without a key lose access to it"
		}
		c.add(path+".Public", effect, "route %s: %v → %v", r.Name, old.Public, r.Public)
	}
	for _, d := range differences(*old, *r, "Name", "Host", "Prefix", "Split", "Public", "Patience") {
		c.add(path+"."+d.path, routeEffects[d.name], "route %s: %s", r.Name, d.text)
	}
}

// shares returns the share of requests of each pool, in thousandths.
func shares(r *board.Route) map[string]int {
	total := 0.0
	weights := map[string]float64{}
	for _, s := range r.Split {
		total += float64(s.Weight)
		weights[s.Pool] += float64(s.Weight)
	}
	out := map[string]int{}
	for pool, w := range weights {
		if w > 0 {
			out[pool] = int(1000*w/total + 0.5)
		}
	}
	return out
}

func describeShares(shares map[string]int) string {
	pools := slices.SortedFunc(maps.Keys(shares), func(a, b string) int {
		return cmp.Or(cmp.Compare(shares[b], shares[a]), cmp.Compare(a, b))
	})
	for i, p := range pools {
		pools[i] = fmt.Sprintf("%s (%g %%)", p, float64(shares[p])/10)
	}
	return strings.Join(pools, ", ")
}
