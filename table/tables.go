package table

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("table")
	// Invalid reports a row or change that fails validation.
	Invalid = namespace.NewType("invalid")
	// Inconsistent reports a row that conflicts with other rows or refers to a missing one.
	Inconsistent = namespace.NewType("unjoined")
	// Conflict reports a base version that is not the row's current version.
	Conflict = namespace.NewType("conflict")
	// IDReused reports a change id that was used for another change.
	IDReused = namespace.NewType("reused")
	// RevisionGap reports a delta that starts after the installed revision.
	RevisionGap = namespace.NewType("backward")
)

// MaxGone is how many deletions a snapshot keeps for deltas.
const MaxGone = 4096

// RouteKey is the lookup key of a route.
type RouteKey struct {
	Account string
	Target  string
}

// Gone is the tombstone of a deleted row.
type Gone struct {
	Table string `json:"table"`
	Name  string `json:"name"`
	Rev   uint64 `json:"rev"`
}

// Tables is an immutable snapshot of both tables. A change makes a modified copy.
type Tables struct {
	// Rev is the revision: the number of accepted changes.
	Rev    uint64            `json:"rev"`
	Routes map[string]*Route `json:"routes"`
	Pools  map[string]*Pool  `json:"pools"`
	// Gone holds deletions in ascending order of revision, all later than
	// MinDeltaRev.
	Gone []Gone `json:"gone"`
	// MinDeltaRev is the oldest revision from which a delta can be computed.
	MinDeltaRev uint64 `json:"floor"`

	// byKey maps accounts and targets to routes; it is derived from Routes.
	byKey map[RouteKey]*Route
}

// Empty returns the tables of a new system.
func Empty() *Tables {
	return &Tables{Routes: map[string]*Route{}, Pools: map[string]*Pool{}, byKey: map[RouteKey]*Route{}}
}

// Find returns the route of an account to a target.
func (t *Tables) Find(account, target string) (*Route, bool) {
	r, ok := t.byKey[RouteKey{account, target}]
	return r, ok
}

// Targets returns the targets that an account has routes to, sorted.
func (t *Tables) Targets(account string) []string {
	var targets []string
	for k := range t.byKey {
		if k.Account == account {
			targets = append(targets, k.Target)
		}
	}
	slices.Sort(targets)
	return targets
}

func (t *Tables) clone() *Tables {
	return &Tables{
		Rev:         t.Rev,
		Routes:      maps.Clone(t.Routes),
		Pools:       maps.Clone(t.Pools),
		Gone:        slices.Clone(t.Gone),
		MinDeltaRev: t.MinDeltaRev,
		byKey:       maps.Clone(t.byKey),
	}
}

func (t *Tables) setRoute(r *Route) {
	if old, ok := t.Routes[r.Name]; ok {
		delete(t.byKey, RouteKey{old.Account, old.Target})
	}
	t.Routes[r.Name] = r
	t.byKey[RouteKey{r.Account, r.Target}] = r
}

func (t *Tables) deleteRow(table, name string) {
	if table == "pools" {
		delete(t.Pools, name)
		return
	}
	if old, ok := t.Routes[name]; ok {
		delete(t.byKey, RouteKey{old.Account, old.Target})
		delete(t.Routes, name)
	}
}

func (t *Tables) markDeleted(g Gone) {
	t.Gone = append(t.Gone, g)
	if len(t.Gone) > MaxGone {
		excess := len(t.Gone) - MaxGone
		t.MinDeltaRev = t.Gone[excess-1].Rev
		t.Gone = slices.Clone(t.Gone[excess:])
	}
}

// checkRouteRefs checks a route against the pools that it names and the other routes.
func (t *Tables) checkRouteRefs(r *Route) []Problem {
	var p problems
	if other, ok := t.byKey[RouteKey{r.Account, r.Target}]; ok && other.Name != r.Name {
		p.add("target", Inconsistent.New("route %s: route %s already leads account %s to %s", r.Name, other.Name, r.Account, r.Target))
	}
	for i, name := range r.Pools {
		if p.full() {
			break
		}
		p.add(fmt.Sprintf("pools[%d]", i), t.checkPoolRef(r, name, false))
	}
	for i, name := range r.Stores {
		if p.full() {
			break
		}
		p.add(fmt.Sprintf("stores[%d]", i), t.checkPoolRef(r, name, true))
	}
	return p
}

func (t *Tables) checkPoolRef(r *Route, name string, store bool) error {
	p, ok := t.Pools[name]
	if !ok {
		return Inconsistent.New("route %s: there is no pool %s", r.Name, name)
	}
	if store != (p.Kind == Store) {
		return Inconsistent.New("route %s: pool %s is of kind %s", r.Name, name, p.Kind)
	}
	if p.Kind == Model && p.Model != r.Target {
		return Inconsistent.New("route %s: pool %s serves model %s, not %s", r.Name, name, p.Model, r.Target)
	}
	if len(r.Places) > 0 && !slices.Contains(r.Places, p.Place) {
		return Inconsistent.New("route %s: pool %s lies in %s, which is not among the route's places", r.Name, name, p.Place)
	}
	return nil
}

// checkPoolUsers checks all routes that name a pool against its new content; a nil pool means
// that it is deleted.
func (t *Tables) checkPoolUsers(name string, p *Pool) error {
	candidate := &Tables{Pools: maps.Clone(t.Pools), byKey: t.byKey}
	if p == nil {
		delete(candidate.Pools, name)
	} else {
		candidate.Pools[name] = p
	}
	// Map order differs between replicas, but all must report the same reason: that of the
	// route with the lowest name.
	var first *Route
	var reason error
	for _, r := range t.Routes {
		if !slices.Contains(r.Pools, name) && !slices.Contains(r.Stores, name) {
			continue
		}
		if first != nil && first.Name < r.Name {
			continue
		}
		if err := firstError(candidate.checkRouteRefs(r)); err != nil {
			first, reason = r, err
		}
	}
	return reason
}

// Delta is the difference between two revisions, or a whole snapshot if Full is set.
type Delta struct {
	From        uint64   `json:"from"`
	To          uint64   `json:"to"`
	Full        bool     `json:"full,omitempty"`
	Routes      []*Route `json:"routes,omitempty"`
	Pools       []*Pool  `json:"pools,omitempty"`
	Gone        []Gone   `json:"gone,omitempty"`
	MinDeltaRev uint64   `json:"floor,omitempty"`
}

// Since returns the delta from revision rev to t. It returns the whole snapshot if the
// delta would have more rows and deletions than the snapshot has rows, or can't be computed.
func (t *Tables) Since(rev uint64) *Delta {
	d := &Delta{From: rev, To: t.Rev, MinDeltaRev: t.MinDeltaRev}
	if rev < t.MinDeltaRev || rev > t.Rev || rev == 0 {
		return t.fullDelta()
	}
	for _, r := range t.Routes {
		if r.Rev > rev {
			d.Routes = append(d.Routes, r)
		}
	}
	for _, p := range t.Pools {
		if p.Rev > rev {
			d.Pools = append(d.Pools, p)
		}
	}
	i, _ := slices.BinarySearchFunc(t.Gone, rev+1, func(g Gone, r uint64) int { return int(int64(g.Rev) - int64(r)) })
	d.Gone = t.Gone[i:]
	if len(d.Routes)+len(d.Pools)+len(d.Gone) > len(t.Routes)+len(t.Pools) {
		return t.fullDelta()
	}
	d.sort()
	return d
}

func (t *Tables) fullDelta() *Delta {
	d := &Delta{To: t.Rev, Full: true, Gone: t.Gone, MinDeltaRev: t.MinDeltaRev}
	d.Routes = slices.Collect(maps.Values(t.Routes))
	d.Pools = slices.Collect(maps.Values(t.Pools))
	d.sort()
	return d
}

func (d *Delta) sort() {
	slices.SortFunc(d.Routes, func(a, b *Route) int { return int(int64(a.Rev) - int64(b.Rev)) })
	slices.SortFunc(d.Pools, func(a, b *Pool) int { return int(int64(a.Rev) - int64(b.Rev)) })
}

// Install returns the tables with d applied. Revisions never decrease: for a delta that
// ends at or before t's revision, it returns t itself. A delta that starts after t's
// revision is an error of type RevisionGap.
func (t *Tables) Install(d *Delta) (*Tables, error) {
	if d.To <= t.Rev {
		return t, nil
	}
	if d.Full {
		return d.applyTo(Empty())
	}
	if d.From > t.Rev {
		return nil, RevisionGap.New("delta starts at revision %d, after installed revision %d", d.From, t.Rev)
	}
	return d.applyTo(t.clone())
}

func (d *Delta) applyTo(next *Tables) (*Tables, error) {
	if d.Full {
		next.Gone = slices.Clone(d.Gone)
	} else {
		d.markDeleted(next)
	}
	for _, p := range d.Pools {
		next.Pools[p.Name] = p
	}
	for _, r := range d.Routes {
		next.setRoute(r)
	}
	next.MinDeltaRev = max(next.MinDeltaRev, d.MinDeltaRev)
	next.Rev = d.To
	return next, nil
}

// markDeleted deletes from next the rows that d deletes, unless next holds a later version.
func (d *Delta) markDeleted(next *Tables) {
	for _, g := range d.Gone {
		if g.Rev <= next.Rev {
			continue
		}
		if r, ok := next.Routes[g.Name]; ok && g.Table == "routes" && r.Rev < g.Rev {
			next.deleteRow(g.Table, g.Name)
		}
		if p, ok := next.Pools[g.Name]; ok && g.Table == "pools" && p.Rev < g.Rev {
			next.deleteRow(g.Table, g.Name)
		}
		next.markDeleted(g)
	}
}

// UnmarshalJSON decodes a snapshot and rebuilds its index of routes.
func (t *Tables) UnmarshalJSON(data []byte) error {
	type rawTables Tables
	if err := json.Unmarshal(data, (*rawTables)(t)); err != nil {
		return Invalid.Wrap(err, "read tables")
	}
	if t.Routes == nil {
		t.Routes = map[string]*Route{}
	}
	if t.Pools == nil {
		t.Pools = map[string]*Pool{}
	}
	t.byKey = make(map[RouteKey]*Route, len(t.Routes))
	for _, r := range t.Routes {
		t.byKey[RouteKey{r.Account, r.Target}] = r
	}
	return nil
}
