package route

import (
	"time"

	"egretshunt/table"
)

// Policy scores one endpoint for a request; the endpoint with the lowest cost is chosen.
type Policy interface {
	Score(c Candidate) PrefillSplit
}

// Candidate is one endpoint to score for a request.
type Candidate struct {
	Weights table.Weights
	Request Request
	State   EndpointEstimate
	Rank    int
	// Top is true for the endpoint with the highest rendezvous weight.
	Top bool
	// Draw is a pseudo-random number that depends on the candidate and the request.
	Draw uint64
}

// Choice is the result of a decision.
type Choice struct {
	// Index is the position in the plan's targets.
	Index int
	PrefillSplit
}

// Score is one line of the explanation of a decision.
type Score struct {
	Endpoint string        `json:"endpoint"`
	Cost     float64       `json:"cost"`
	First    time.Duration `json:"first"`
	Reused   float64       `json:"reused"`
	Fetched  float64       `json:"fetched"`
	Computed float64       `json:"computed"`
	Queue    float64       `json:"queue"`
	Top      bool          `json:"top,omitempty"`
}

// Decide returns the considered target with the lowest cost. If explain isn't nil, Decide calls it
// for each candidate; otherwise it allocates nothing.
func Decide[P Policy](policy P, p *Plan, c *Considered, q Request, state func(i int) EndpointEstimate, explain func(Score)) (Choice, bool) {
	best := Choice{Index: -1}
	w := WeightsOf(p.Route)
	for _, i := range c.Indexes() {
		candidate := Candidate{
			Weights: w, Request: q, State: state(i), Rank: p.Targets[i].Rank, Top: i == c.top,
			Draw: rendezvousWeight(q.HistoryRoot+uint64(i)*0x9e37, p.Targets[i].hash),
		}
		s := policy.Score(candidate)
		if explain != nil {
			explain(Score{
				Endpoint: p.Targets[i].Name, Cost: s.Cost, First: s.First, Reused: s.Reused, Fetched: s.Fetched,
				Computed: s.Computed, Queue: candidate.State.Queue, Top: candidate.Top,
			})
		}
		if best.Index < 0 || s.Cost < best.Cost {
			best = Choice{Index: i, PrefillSplit: s}
		}
	}
	return best, best.Index >= 0
}

const (
	// laterPoolSeconds is how many seconds earlier a pool's first token must be for each position
	// that the pool comes later in the route's order.
	laterPoolSeconds = 0.25
	// homeAdvantageSeconds is the advantage of the rendezvous target among equals, in seconds. It
	// makes entries that share no state send a history to the same endpoint.
	homeAdvantageSeconds = 0.02
)

// Weighted is the policy used in production: the predicted time to first token and the costs of
// recomputing and fetching, with the route's weights.
type Weighted struct{}

// Score implements Policy.
func (Weighted) Score(c Candidate) PrefillSplit {
	s := BestSplit(c.Weights, c.Request, c.State)
	s.Cost += float64(c.Weights.First * laterPoolSeconds * float64(c.Rank))
	if !c.Top {
		s.Cost += float64(c.Weights.First * homeAdvantageSeconds)
	}
	return s
}

// Random spreads requests evenly. It is a baseline for comparisons.
type Random struct{}

// Score implements Policy.
func (Random) Score(c Candidate) PrefillSplit {
	s := BestSplit(c.Weights, c.Request, c.State)
	s.Cost = float64(c.Draw>>11) / (1 << 53)
	return s
}

// LeastLoaded considers only queues. It is a baseline for comparisons.
type LeastLoaded struct{}

// Score implements Policy.
func (LeastLoaded) Score(c Candidate) PrefillSplit {
	s := BestSplit(c.Weights, c.Request, c.State)
	s.Cost = c.State.Queue/max(c.State.Rate, 1) + c.State.Wait.Seconds() + float64(float64(c.Draw>>11)/(1<<53)*1e-6)
	return s
}

// Affinity always takes the rendezvous target. It is a baseline for comparisons.
type Affinity struct{}

// Score implements Policy.
func (Affinity) Score(c Candidate) PrefillSplit {
	s := BestSplit(c.Weights, c.Request, c.State)
	s.Cost = 1
	if c.Top {
		s.Cost = 0
	}
	return s
}

// AlwaysFetch fetches everything that is stored, however slow the link. It is a baseline for
// comparisons.
type AlwaysFetch struct{}

// Score implements Policy.
func (AlwaysFetch) Score(c Candidate) PrefillSplit {
	gap := max(0, min(c.State.Stored, c.Request.Tokens)-c.State.Cached)
	return NewSplit(c.Weights, c.Request, c.State, gap)
}

// NeverFetch recomputes everything that the endpoint has not cached. It is a baseline for
// comparisons.
type NeverFetch struct{}

// Score implements Policy.
func (NeverFetch) Score(c Candidate) PrefillSplit { return NewSplit(c.Weights, c.Request, c.State, 0) }
