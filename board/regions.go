package board

import (
	"fmt"
	"slices"
)

// CheckRegions returns a problem for each route that is bound to regions of which none is known: none of its requests could
// run.
func CheckRegions(d Draft, known []string) Problems {
	var problems Problems
	for i := range d.Routes {
		r := &d.Routes[i]
		isKnown := func(region string) bool { return region != "" && slices.Contains(known, region) }
		if len(r.Regions) > 0 && !slices.ContainsFunc(r.Regions, isKnown) {
			problems.Add(fmt.Sprintf("Routes[%d].Regions", i), "route %s is bound to the regions %q, and none of them is known", r.Name, r.Regions)
		}
	}
	return problems
}
