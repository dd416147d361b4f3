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
	// Drawn places by lot.
	Drawn Policy = "drawn"
	// LeastLoaded places where this entry has least under way.
	LeastLoaded Policy = "leastloaded"
	// Affine places among the few endpoints that rendezvous ranks first for the subject.
	Affine Policy = "affine"
	// Storeless is Predicted without saving to stores or reading from them.
	Storeless Policy = "storeless"
)

// BadPolicy reports a policy that does not exist.
var BadPolicy = errorx.NewType(namespace, "badpolicy")

// ParsePolicy checks the name of a policy; "" is Predicted.
func ParsePolicy(name string) (Policy, error) {
	p := Policy(name)
	if name == "" {
		p = Predicted
	}
	if !slices.Contains([]Policy{Predicted, Drawn, LeastLoaded, Affine, Storeless}, p) {
		return "", BadPolicy.New("there is no policy %q", name)
	}
	return p, nil
}

// narrow leaves the one endpoint that a baseline chooses, or all where the prediction is to
// choose; the caller holds mu.
func (e *Entry) narrow(j *job, able []*member.Endpoint) (left []*member.Endpoint, chosen bool) {
	seats := make([]route.Seat, len(able))
	for i, to := range able {
		seats[i] = route.Seat{ID: to.ID}
		if e.config.Policy != Drawn {
			seats[i].Load = float64(e.seat(to).flying)
		}
	}
	at := 0
	switch e.config.Policy {
	case Drawn, LeastLoaded:
		at = route.Scatter(route.Draw(j.call.ID+strconv.Itoa(len(j.tried))), seats)
	case Affine:
		at = route.Gather(j.subject(), seats)
	default:
		return able, false
	}
	return able[at : at+1], true
}

// subject names what prompts share that belong together: the last part but the request's own.
func (j *job) subject() string {
	parts := j.call.Parts
	if shared := j.call.Shared(); len(shared) > 0 {
		parts = shared
	}
	return parts[len(parts)-1].ID
}
