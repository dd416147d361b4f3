package lint

import (
	"net/netip"
	"testing"

	"egretshunt/check"
	"egretshunt/table"
)

func TestTablesWarnings(t *testing.T) {
	up := []table.Endpoint{{Name: "e", Addr: netip.MustParseAddrPort("10.0.0.1:80")}}
	for name, c := range map[string]struct {
		change func(route *table.Route, pools []*table.Pool)
		want   []string
	}{
		"none":              {func(*table.Route, []*table.Pool) {}, nil},
		"no endpoint":       {func(_ *table.Route, p []*table.Pool) { p[0].Endpoints = nil }, []string{"routes[0].pools", "pools[0].endpoints"}},
		"drained":           {func(_ *table.Route, p []*table.Pool) { p[0].Drain = true }, []string{"routes[0].pools"}},
		"endpoint drained":  {func(_ *table.Route, p []*table.Pool) { p[0].Endpoints = []table.Endpoint{{Name: "e", Drain: true}} }, []string{"routes[0].pools"}},
		"store drained":     {func(_ *table.Route, p []*table.Pool) { p[1].Drain = true }, []string{"routes[0].stores[0]"}},
		"listed twice":      {func(r *table.Route, _ []*table.Pool) { r.Pools = []string{"p", "p"} }, []string{"routes[0].pools[1]"}},
		"store twice":       {func(r *table.Route, _ []*table.Pool) { r.Stores = []string{"s", "s"} }, []string{"routes[0].stores[1]"}},
		"unused pool":       {func(r *table.Route, _ []*table.Pool) { r.Stores = nil }, []string{"pools[1].name"}},
		"place unused":      {func(r *table.Route, _ []*table.Pool) { r.Places = []string{"north", "south"} }, []string{"routes[0].places[1]"}},
		"burst of no rate":  {func(r *table.Route, _ []*table.Pool) { r.Limits.Burst = 2 }, []string{"routes[0].limits.burst"}},
		"look-up at stores": {func(_ *table.Route, p []*table.Pool) { p[1].Lookup = "/KEY" }, []string{"pools[1].lookup"}},
		"look-up of no key": {func(_ *table.Route, p []*table.Pool) { p[0].Lookup = "/" }, []string{"pools[0].lookup"}},
		"account unknown":   {func(r *table.Route, _ []*table.Pool) { r.Account = "b" }, []string{"routes[0].account"}},
	} {
		t.Run(name, func(t *testing.T) {
			route := &table.Route{Name: "r", Account: "a", Target: "t", Pools: []string{"p"}, Stores: []string{"s"}}
			pools := []*table.Pool{{Name: "p", Place: "north", Kind: table.Service, Endpoints: up}, {Name: "s", Place: "north", Kind: table.Store, Endpoints: up}}
			c.change(route, pools)
			all, err := table.Empty().Install(&table.Delta{To: 1, Full: true, Pools: pools, Routes: []*table.Route{route}})
			check.NoError(t, err)
			var fields []string
			for _, f := range Tables(Rows{pools, []*table.Route{route}, map[string]struct{}{"a": {}}}, all) {
				fields = append(fields, f.Field)
			}
			check.Equal(t, "fields", fields, c.want)
		})
	}
}
