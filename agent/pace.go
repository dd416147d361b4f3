package agent

import (
	"net/http"
	"sync"
	"time"

	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/limit"
)

// headerLimit names the requests a second that an endpoint takes, for as long as its responses do.
const headerLimit = "X-Request-Limit"

// pace keeps the requests to the endpoint to the limit that it has named. The agent sees all of them, so it issues
// the permits itself.
type pace struct {
	events   *event.Log
	endpoint string

	// mu guards the rest. run is the endpoint's current incarnation.
	mu     sync.Mutex
	run    limit.EndpointRun
	rates  *limit.NamedRates
	issuer *limit.PermitIssuer
}

func newPace(endpoint string, events *event.Log) *pace {
	return &pace{events: events, endpoint: endpoint, run: limit.EndpointRun{ID: endpoint}, rates: limit.NewNamedRates(), issuer: limit.NewPermitIssuer()}
}

// restart forgets the limit of an incarnation that has ended.
func (p *pace) restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.issuer.Remove(p.run)
	p.run.Born++
}

// observe records what the response to a request that was sent at a time says of the limit.
func (p *pace) observe(h http.Header, sentAt, now time.Duration) {
	text := h.Get(headerLimit)
	r := limit.NamedRate{At: sentAt}
	if text != "" {
		rate, err := limit.ParseRate(text)
		if err != nil {
			p.events.Emit(event.BadLimit, "endpoint", p.endpoint, "text", text)
			return
		}
		r = limit.NamedRate{Rate: rate, Named: true, At: now}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.rates.Observe(p.run, r) {
		return
	}
	rate, named := p.rates.Rate(p.run)
	if named {
		p.issuer.SetRate(p.run, rate, now)
	} else {
		p.issuer.Remove(p.run)
	}
	p.events.Emit(event.EndpointLimited, "endpoint", p.endpoint, "rate", rate, "limited", named)
}

// take returns zero if a request may be sent now, and counts it, or else how long to wait.
func (p *pace) take(now time.Duration) (wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, named := p.rates.Rate(p.run); !named {
		return 0
	}
	one := limit.PermitWant{Count: 1, Runs: []limit.EndpointRun{p.run}}
	if len(p.issuer.Issue(one, now)) > 0 {
		return 0
	}
	return p.issuer.NextPermit(p.run, now)
}

// waitFor returns how long the request after some others waits for the limit.
func (p *pace) waitFor(ahead int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	rate, named := p.rates.Rate(p.run)
	if !named {
		return 0
	}
	return p.issuer.NextPermit(p.run, clock.Now()) + time.Duration(float64(ahead)/rate*float64(time.Second))
}
