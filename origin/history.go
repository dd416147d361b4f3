// Package origin knows at which build of its endpoint's software a stream began. What two builds write doesn't fit
// together, so that a stream that broke off may go on only at endpoints of the build that began it.
//
// It owns two records. A History holds the builds that each pool's endpoints have had within MaxAge: while there was only one,
// each stream of the pool began there. A Register holds where streams began while there were several. Package ctrl replicates
// both and passes the group time to them; package pass reports streams and asks for those that clients resume.
package origin

import (
	"cmp"
	"slices"
	"time"
)

// MaxAge is how long after a build has left the list, or after the last report of a stream, a client may resume a stream that
// began there. Clients give up within seconds.
const MaxAge = 2 * time.Minute

// Build names a build of the software that the endpoints of a pool run.
type Build struct {
	Pool string `json:"pool"`
	Name string `json:"name"`
}

// Compare orders builds by pool and name.
func (b Build) Compare(other Build) int {
	return cmp.Or(cmp.Compare(b.Pool, other.Pool), cmp.Compare(b.Name, other.Name))
}

// Served is a build that endpoints have had. Left is the group time at which the list no longer showed one; zero while it does.
type Served struct {
	Build
	Left time.Time `json:"left,omitzero"`
}

// History holds the builds that endpoints have, or had within MaxAge. It is immutable; the methods of a nil History are those
// of an empty one.
type History struct {
	Builds []Served `json:"builds"`
}

// Observe returns the history after a read of the list that shows endpoints of the listed builds, and no others.
func (h *History) Observe(listed []Build, now time.Time) *History {
	next := &History{}
	for _, b := range h.served() {
		present := slices.Contains(listed, b.Build)
		switch {
		case present:
			b.Left = time.Time{}
		case b.Left.IsZero():
			b.Left = now
		case now.Sub(b.Left) >= MaxAge:
			continue
		}
		next.Builds = append(next.Builds, b)
	}
	for _, b := range listed {
		if !next.Has(b) {
			next.Builds = append(next.Builds, Served{Build: b})
		}
	}
	slices.SortFunc(next.Builds, func(a, b Served) int { return a.Compare(b.Build) })
	return next
}

func (h *History) served() []Served {
	if h == nil {
		return nil
	}
	return h.Builds
}

// Has reports whether endpoints have the build, or had it within MaxAge.
func (h *History) Has(b Build) bool {
	return slices.ContainsFunc(h.served(), func(s Served) bool { return s.Build == b })
}

// Shows reports whether the history has exactly the listed builds as those that endpoints have now.
func (h *History) Shows(listed []Build) bool {
	present := 0
	for _, b := range h.served() {
		if b.Left.IsZero() {
			present++
			if !slices.Contains(listed, b.Build) {
				return false
			}
		}
	}
	return present == len(listed)
}

// Possible returns the names of the builds at which a stream of the pool that a client resumes now may have begun.
func (h *History) Possible(pool string, now time.Time) []string {
	var names []string
	for _, b := range h.served() {
		if b.Pool == pool && (b.Left.IsZero() || now.Sub(b.Left) < MaxAge) {
			names = append(names, b.Name)
		}
	}
	return names
}
