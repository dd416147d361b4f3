package pass

import (
	"slices"
	"strconv"

	"github.com/joomcode/errorx"

	"egretshunt/member"
	"egretshunt/route"
)

// Policy names how prompts are placed. All but Predicted are baselines to measure it against.
type Policy string

// Policies.
const (
	// Predicted places by the predicted first token and turns away what can't be served.
	Predicted Policy = "predicted"
	// Random places by lot.
	Random Policy = "drawn"
	// LeastLoaded places where this entry has least under way.
	LeastLoaded Policy = "leastloaded"
	// Affinity places among the few endpoints that rendezvous ranks first for the subject.
	Affinity Policy = "affine"
	// Storeless is Predicted without saving to stores or reading from them.
	Storeless Policy = "storeless"
)

// UnknownPolicy reports a policy that does not exist.
var UnknownPolicy = errorx.NewType(namespace, "badpolicy")

// ParsePolicy checks the name of a policy; "" is Predicted.
func ParsePolicy(name string) (Policy, error) {
	p := Policy(name)
	if name == "" {
		p = Predicted
	}
	if !slices.Contains([]Policy{Predicted, Random, LeastLoaded, Affinity, Storeless}, p) {
		return "", UnknownPolicy.New("there is no policy %q", name)
	}
	return p, nil
}

// applyBaseline leaves the one endpoint that a baseline chooses, or all where the prediction is to
// choose; the caller holds mu.
func (e *Entry) applyBaseline(j *job, eligible []*member.Endpoint) (remaining []*member.Endpoint, decided bool) {
	candidates := make([]route.Seat, len(eligible))
	for i, to := range eligible {
		candidates[i] = route.Seat{ID: to.ID}
		if e.config.Policy != Random {
			candidates[i].Load = float64(e.endpointState(to).inFlight)
		}
	}
	at := 0
	switch e.config.Policy {
	case Random, LeastLoaded:
		at = route.Scatter(route.Draw(j.call.ID+strconv.Itoa(len(j.tried))), candidates)
	case Affinity:
		at = route.Gather(j.affinityKey(), candidates)
	default:
		return eligible, false
	}
	return eligible[at : at+1], true
}

// subject names what prompts share that belong together: the last part but the request's own.
func (j *job) affinityKey() string {
	parts := j.call.Parts
	if shared := j.call.Shared(); len(shared) > 0 {
		parts = shared
	}
	return parts[len(parts)-1].ID
}
