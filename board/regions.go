package board

import (
	"slices"
	"strings"
)

// CheckRegions returns an Invalid error for the first route, by name, that is bound to regions of which none is known: none of its
// requests could run.
func (s *Set) CheckRegions(known []string) error {
	var lost []*Route
	for _, hostRoutes := range s.routes {
		for _, r := range hostRoutes {
			if len(r.Regions) > 0 && !slices.ContainsFunc(r.Regions, func(region string) bool { return region != "" && slices.Contains(known, region) }) {
				lost = append(lost, r)
			}
		}
	}
	if len(lost) == 0 {
		return nil
	}
	first := slices.MinFunc(lost, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	return Invalid.New("route %s is bound to the regions %q, and none of them is known", first.Name, first.Regions)
}
