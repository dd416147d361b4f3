package bench

import (
	"math"
	"runtime"
	"slices"
	"sync"
	"time"

	"egretshunt/route"
)

// Result accumulates the measurements of one run.
type Result struct {
	firstTokenTimes, lookupTimes, tokenGaps []time.Duration
	// smallAccountTimes holds times to first token of all accounts but the largest.
	smallAccountTimes []time.Duration
	known, recomputed float64
	fetched, written  float64
}

// recordPrefill counts the tokens of a returning prompt that an earlier prompt of its
// history had and that are computed again.
func (r *Result) recordPrefill(j *job) {
	if j.p.knownTokens > 0 {
		r.recomputed += max(0, j.prefill.Computed-(j.p.tokens-j.p.knownTokens))
	}
}

func (r *Result) recordResponse(p prompt, first, gap time.Duration) {
	r.firstTokenTimes = append(r.firstTokenTimes, first)
	r.tokenGaps = append(r.tokenGaps, gap)
	if p.rank == 0 {
		r.lookupTimes = append(r.lookupTimes, first)
	}
	if p.account > 0 {
		r.smallAccountTimes = append(r.smallAccountTimes, first)
	}
	r.known += p.knownTokens
}

// Row is one line of the comparison.
type Row struct {
	Deployment, Policy, Fault string
	// P50 and FirstTokenP95 are times to first token; Urgent and Small are its p95 over look-ups
	// and over all accounts but the largest.
	P50, FirstTokenP95, Urgent, Small time.Duration
	Gap                               time.Duration
	// RecomputedShare is the share of returning prompts' known tokens that were computed again.
	RecomputedShare float64
	// Link is the number of bytes fetched from stores, Written that of bytes written to them.
	Link, Written float64
	Prompts       int
}

func percentile(d []time.Duration, share float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[min(len(sorted)-1, int(math.Ceil(share*float64(len(sorted))))-1)].Round(time.Millisecond)
}

// Row summarizes the run.
func (r *Result) Row(deployment, policy, fault string) Row {
	return Row{
		Deployment: deployment, Policy: policy, Fault: fault, Prompts: len(r.firstTokenTimes),
		P50: percentile(r.firstTokenTimes, 0.5), FirstTokenP95: percentile(r.firstTokenTimes, 0.95), Urgent: percentile(r.lookupTimes, 0.95),
		Small: percentile(r.smallAccountTimes, 0.95), Gap: percentile(r.tokenGaps, 0.95),
		RecomputedShare: r.recomputed / max(r.known, 1), Link: r.fetched, Written: r.written,
	}
}

// Policies lists the names of the compared policies, ours first.
var Policies = []string{"weighted", "oracle", "random", "least loaded", "affinity only", "always fetch", "never fetch"}

// Compare runs the named policy under a fault and returns its row.
func Compare(d Deployment, f Fault, policy string, seed uint64) Row {
	var r *Result
	switch policy {
	case "weighted":
		r = Run(d, f, route.Weighted{}, false, seed)
	case "oracle":
		r = Run(d, f, route.Weighted{}, true, seed)
	case "random":
		r = Run(d, f, route.Random{}, false, seed)
	case "least loaded":
		r = Run(d, f, route.LeastLoaded{}, false, seed)
	case "affinity only":
		r = Run(d, f, route.Affinity{}, false, seed)
	case "always fetch":
		r = Run(d, f, route.AlwaysFetch{}, false, seed)
	default:
		r = Run(d, f, route.NeverFetch{}, false, seed)
	}
	return r.Row(d.Name, policy, f.Name)
}

// Table runs every policy under every fault for the deployments, as many at a time as there
// are processors. The rows have a fixed order and are identical on every machine.
func Table(deployments []Deployment, faults []Fault, policies []string, seed uint64) []Row {
	rows := make([]Row, len(deployments)*len(faults)*len(policies))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	i := 0
	for _, d := range deployments {
		for _, f := range faults {
			for _, p := range policies {
				index := i
				i++
				slots <- struct{}{}
				wg.Go(func() {
					defer func() { <-slots }()
					rows[index] = Compare(d, f, p, seed)
				})
			}
		}
	}
	wg.Wait()
	return rows
}
