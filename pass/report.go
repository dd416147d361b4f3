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
	var bad []string
	now := time.Now()
	for id, s := range e.seats {
		if !s.grade.Fit(now) {
			bad = append(bad, id)
		}
	}
	return bad
}

// hear notes that an endpoint answers; that counts against control's word that it is down.
func (e *Entry) hear(to *member.Endpoint) {
	l := e.list()
	if l == nil {
		return
	}
	if now := l.Find(to.ID); now == nil || !now.Down {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seat(to).heard = time.Now()
}

// answerAge is how long an answer counts against control's word that its endpoint is down.
const answerAge = time.Second

// Heard returns the endpoints that answer though control has them as down.
func (e *Entry) Heard() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var heard []string
	for id, s := range e.seats {
		if time.Since(s.heard) < answerAge {
			heard = append(heard, id)
		}
	}
	return heard
}

// Work returns the prompt tokens that this entry awaits of each endpoint, by identity, and
// those to be read over each source's link, by address.
func (e *Entry) Work() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	work := map[string]int{}
	for id, s := range e.seats {
		for level, tokens := range s.awaited {
			if tokens > 0 {
				work[workKey(id, level)] = tokens
			}
		}
	}
	for id, s := range e.seats {
		if s.memory > 0 {
			work[memoryKey(id)] = s.memory
		}
	}
	for at, tokens := range e.links {
		work[at.String()] = tokens
	}
	return work
}

// backlog returns the prompt tokens that this entry awaits of all endpoints.
func (e *Entry) backlog() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for _, s := range e.seats {
		for _, tokens := range s.awaited {
			sum += tokens
		}
	}
	return sum
}

// workKey names the work at one level of urgency of an endpoint.
func workKey(id string, level int) string { return id + "/" + strconv.Itoa(level) }

// memoryKey names the memory taken up at an endpoint.
func memoryKey(id string) string { return id + "/m" }

// seatKeys are the names of one endpoint's work in what entries exchange.
type seatKeys struct {
	work   [limit.Levels]string
	memory string
}

func keysOf(id string) seatKeys {
	keys := seatKeys{memory: memoryKey(id)}
	for level := range keys.work {
		keys.work[level] = workKey(id, level)
	}
	return keys
}

// ahead returns the prompt tokens that an endpoint computes before a request of a level; the
// caller holds mu.
func (e *Entry) ahead(s *seat, level int) int {
	sum := 0
	for l := range level + 1 {
		sum += s.awaited[l] + e.config.View.Others(s.keys.work[l])
	}
	return sum
}
