package pass

import (
	"slices"
	"strconv"

	"github.com/joomcode/errorx"

	"egretshunt/route"
)

// Policy selects how prompts are placed. All but Predicted are baselines for comparison.
type Policy string

// Placement policies.
const (
	// Predicted places by predicted time to first token and sheds prompts that can't be served
	// in time.
	Predicted Policy = "predicted"
	// Random places at random.
	Random Policy = "drawn"
	// LeastLoaded places at the endpoint with the fewest requests in flight from this entry.
	LeastLoaded Policy = "leastloaded"
	// Affinity places among the few endpoints that rendezvous hashing ranks first for the
	// affinity key.
	Affinity Policy = "affine"
	// Storeless is Predicted without saving to stores or fetching from them.
	Storeless Policy = "storeless"
)

// UnknownPolicy reports a policy name that does not exist.
var UnknownPolicy = errorx.NewType(namespace, "badpolicy")

// ParsePolicy returns the policy with a name; "" means Predicted.
func ParsePolicy(name string) (Policy, error) {
	p := Policy(name)
	if name == "" {
		p = Predicted
	}
	if !slices.Contains([]Policy{Predicted, Random, LeastLoaded, Affinity, Storeless}, p) {
		return "", UnknownPolicy.New("unknown placement policy %q", name)
	}
	return p, nil
}

// applyBaseline returns the one candidate that a baseline policy chooses, with decided set, or
// all candidates where the prediction is to choose. The caller holds mu.
func (e *Entry) applyBaseline(j *job, eligible []*candidate) (remaining []*candidate, decided bool) {
	switch e.config.Policy {
	case Random, LeastLoaded, Affinity:
	default:
		return eligible, false
	}
	loads := e.scratch.loads[:0]
	for _, c := range eligible {
		load := route.EndpointState{ID: c.to.ID}
		if e.config.Policy != Random {
			load.Load = float64(c.state.inFlight)
		}
		loads = append(loads, load)
	}
	e.scratch.loads = loads
	at := 0
	if e.config.Policy == Affinity {
		at = route.PlaceBySubject(j.affinityKey(), loads)
	} else {
		at = route.SpreadLoad(route.UniformHash(j.call.ID+strconv.Itoa(len(j.tried))), loads)
	}
	return eligible[at : at+1], true
}

// affinityKey returns the subject for route.PlaceBySubject, the ID of what related prompts share:
// the last part before the request's own.
func (j *job) affinityKey() string {
	parts := j.call.Parts
	if shared := j.call.Shared(); len(shared) > 0 {
		parts = shared
	}
	return parts[len(parts)-1].ID
}
