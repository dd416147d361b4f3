package pass

import (
	"strconv"
	"time"

	"egretshunt/limit"
	"egretshunt/member"
)

// Unfit returns the endpoints that get no work because of what became of it.
func (e *Entry) Unfit() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ejected []string
	now := time.Now()
	for id, s := range e.endpointStates {
		if !s.health.Fit(now) {
			ejected = append(ejected, id)
		}
	}
	return ejected
}

// notifyData notes that an endpoint answers; that counts against control's word that it is down.
func (e *Entry) recordResponse(to *member.Endpoint) {
	l := e.list()
	if l == nil {
		return
	}
	if now := l.Find(to.ID); now == nil || !now.Down {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endpointState(to).alive = time.Now()
}

// downOverrideTime is how long an answer counts against control's word that its endpoint is down.
const downOverrideTime = time.Second

// Heard returns the endpoints that answer though control has them as down.
func (e *Entry) Heard() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var alive []string
	for id, s := range e.endpointStates {
		if time.Since(s.alive) < downOverrideTime {
			alive = append(alive, id)
		}
	}
	return alive
}

// Work returns the prompt tokens that this entry awaits of each endpoint, by identity, and
// those to be read over each source's link, by address.
func (e *Entry) Work() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	work := map[string]int{}
	for id, s := range e.endpointStates {
		for level, tokens := range s.pendingTokens {
			if tokens > 0 {
				work[workKey(id, level)] = tokens
			}
		}
	}
	for id, s := range e.endpointStates {
		if s.memoryTokens > 0 {
			work[memoryKey(id)] = s.memoryTokens
		}
	}
	for at, tokens := range e.linkTokens {
		work[at.String()] = tokens
	}
	return work
}

// backlog returns the prompt tokens that this entry awaits of all endpoints.
func (e *Entry) backlog() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for _, s := range e.endpointStates {
		for _, tokens := range s.pendingTokens {
			sum += tokens
		}
	}
	return sum
}

// workKey names the work at one level of urgency of an endpoint.
func workKey(id string, level int) string { return id + "/" + strconv.Itoa(level) }

// memoryKey names the memory taken up at an endpoint.
func memoryKey(id string) string { return id + "/m" }

// workKeys are the names of one endpoint's work in what entries exchange.
type workKeys struct {
	work         [limit.Levels]string
	memoryTokens string
}

func newWorkKeys(id string) workKeys {
	keys := workKeys{memoryTokens: memoryKey(id)}
	for level := range keys.work {
		keys.work[level] = workKey(id, level)
	}
	return keys
}

// tokensAhead returns the prompt tokens that an endpoint computes before a request of a level; the
// caller holds mu.
func (e *Entry) tokensAhead(s *endpointState, level int) int {
	sum := 0
	for l := range level + 1 {
		sum += s.pendingTokens[l] + e.config.View.Others(s.keys.work[l])
	}
	return sum
}
