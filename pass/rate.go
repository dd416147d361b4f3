package pass

import (
	"context"
	"math"
	"time"

	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/member"
)

const (
	// maxRateWaiters bounds the requests of one pool that wait for permits.
	maxRateWaiters = 1024
	// turnInterval is how often the entry looks whether its turn has come, while requests wait and control is silent.
	turnInterval = 20 * time.Millisecond
	// permitWindow is the time over which the rate of permits is estimated.
	permitWindow = 4 * time.Second
	// maxRateWait bounds the Retry-After time of requests for which there are no permits.
	maxRateWait = 10 * time.Second
)

// rateQueue holds the requests of one pool that wait for permits to send to endpoints with limits: by rank, then in fair shares among
// accounts.
//
// The load pattern is a pool all of whose endpoints are overloaded and take a few requests a second: more arrive than may be sent.
type rateQueue struct {
	queue *limit.Queue[*rateWaiter]
	// woken counts the requests that have been woken for a permit and not yet used one.
	woken int
	// passed counts the requests placed since the last sync beside endpoints with limits: further permits would be used.
	passed int
	// permitted holds when requests were woken, in the last permitWindow.
	permitted []time.Time
}

// rateWaiter is a request that waits for a permit or a turn. prefers is the endpoint that ranks first for its subject, if that is known.
type rateWaiter struct {
	ready   chan struct{}
	prefers string
}

func runOf(to *member.Endpoint) limit.EndpointRun {
	return limit.EndpointRun{ID: to.ID, Born: to.Born}
}

func (e *Entry) isLimited(run limit.EndpointRun) bool {
	_, named := e.config.View.NamedRate(run)
	return named
}

// recordRate records what a response says of its endpoint's limit.
func (e *Entry) recordRate(j *job, to *member.Endpoint, reply *Reply, sentAt time.Time) {
	switch {
	case reply.OtherEndpoint != "":
	case reply.BadLimit != "":
		e.config.Events.Emit(event.BadLimit, "id", j.call.ID, "endpoint", to.ID, "text", reply.BadLimit)
	default:
		e.config.View.RecordRate(runOf(to), reply.Limit, sentAt)
	}
}

// rateQueue returns the queue of a pool. The caller holds mu.
func (e *Entry) rateQueue(pool string) *rateQueue {
	q, ok := e.rateQueues[pool]
	if !ok {
		q = &rateQueue{queue: limit.NewQueue[*rateWaiter](maxRateWaiters)}
		e.rateQueues[pool] = q
	}
	return q
}

// limitedRuns are the endpoints of a pool that take requests and have named limits.
type limitedRuns struct {
	runs []limit.EndpointRun
	// rate is the sum of the limits, permits the number of permits on hand.
	rate    float64
	permits int
	// unlimited is set if others take requests without a permit or a turn.
	unlimited bool
	// free is how many requests may be sent now, by permits and turns; cold is what is known of the cold endpoints.
	free int
	cold coldRuns
}

// limitedRuns returns the endpoints of a pool that have named limits. The caller holds mu.
func (e *Entry) limitedRuns(pool string) limitedRuns {
	var got limitedRuns
	list := e.list()
	if list == nil {
		return got
	}
	now := time.Now()
	t := e.topologyOf(list, e.admission.tables().set)
	bound := e.coldPoolOf(t, pool)
	// last are the cold endpoints that are down or ejected: they get requests if there are no others.
	var last coldRuns
	for _, c := range t.pools[pool] {
		to, s, run := c.to, c.state, runOf(c.to)
		if s.isAvoided(to) || e.isEvacuated(to.Place) || now.Before(s.fullUntil) {
			continue
		}
		until, cold := bound.isCold(c)
		if to.Down || !s.health.Fit(now) {
			if cold {
				last.add(bound, to, until, bound.turns(to))
			}
			continue
		}
		rate, named := e.config.View.NamedRate(run)
		free := math.MaxInt
		if named {
			permits := e.config.View.PermitCount(run)
			got.runs, got.rate, got.permits = append(got.runs, run), got.rate+rate, got.permits+permits
			free = permits
		}
		if cold {
			free = min(free, bound.turns(to))
			got.cold.add(bound, to, until, free)
		}
		if named || cold {
			got.free += free
		} else {
			got.unlimited = true
		}
	}
	if !got.unlimited && len(got.runs)+got.cold.count == 0 {
		got.cold, got.free = last, len(last.ready)
	}
	return got
}

// PermitWants returns the demand for endpoints that have named limits, by pool.
func (e *Entry) PermitWants() []limit.PermitWant {
	e.mu.Lock()
	defer e.mu.Unlock()
	var wants []limit.PermitWant
	for pool, q := range e.rateQueues {
		waiting := q.queue.Len()
		demand := waiting + q.woken + q.passed
		q.passed = 0
		if demand == 0 {
			continue
		}
		limited := e.limitedRuns(pool)
		if count := demand - limited.permits; count > 0 && len(limited.runs) > 0 {
			wants = append(wants, limit.PermitWant{Count: count, Waiting: waiting, Runs: limited.runs})
		}
	}
	return wants
}

// permitWait returns how long one more request of a pool would wait for a turn, or for a permit, by the permits of the last permitWindow or
// an equal share of the limits. The caller holds mu.
func (e *Entry) permitWait(q *rateQueue, ahead int, limited limitedRuns, now time.Time) time.Duration {
	rate := limited.rate
	if len(limited.runs) == 0 && limited.cold.count > 0 {
		return limited.cold.wait(ahead)
	}
	for len(q.permitted) > 0 && now.Sub(q.permitted[0]) > permitWindow {
		q.permitted = q.permitted[1:]
	}
	share := max(rate/float64(e.config.View.EntryCount()), float64(len(q.permitted))/permitWindow.Seconds())
	if share <= 0 {
		return maxRateWait
	}
	return min(time.Duration(float64(ahead+1)/share*float64(time.Second)), maxRateWait)
}

// awaitPermit waits until the request may be sent to an endpoint with a limit; place then takes it off the woken ones. A request
// that can't be sent in time is rejected at once.
func (e *Entry) awaitPermit(ctx context.Context, j *job) *failure {
	now := time.Now()
	left := j.deadline.Sub(now) - minTimeLeft
	if p := j.route.Patience; p > 0 {
		left = min(left, p-now.Sub(j.call.Arrived))
	}
	w := &rateWaiter{ready: make(chan struct{})}
	item := &limit.Item[*rateWaiter]{Account: j.account, Rank: uint32(max(j.rank, 0)), Cost: 1, Value: w}
	e.mu.Lock()
	q := e.rateQueue(j.pool)
	limited := e.limitedRuns(j.pool)
	w.prefers = limited.cold.preferred(j)
	wait := e.permitWait(q, int(q.queue.Ahead(item.Account, item.Rank)), limited, now)
	rejected := wait > left
	if !rejected {
		if dropped := q.queue.Push(item); dropped == item {
			rejected = true
		} else if dropped != nil {
			// Less urgent than all that wait now.
			q.wake(dropped)
		}
	}
	e.mu.Unlock()
	select {
	case e.rateWaiting <- struct{}{}:
	default:
	}
	if rejected {
		return j.finalFailure(limited.reason(), max(wait, fullRetryAfter))
	}
	timeout := time.NewTimer(left)
	defer timeout.Stop()
	select {
	case <-w.ready:
		return nil
	case <-timeout.C:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !q.queue.Remove(item) {
		// It has been woken at the same moment; its permit is for the next one.
		q.woken--
	}
	limited = e.limitedRuns(j.pool)
	return j.finalFailure(limited.reason(), max(e.permitWait(q, q.queue.Len(), limited, time.Now()), fullRetryAfter))
}

// runRateQueues wakes waiting requests as permits come, until ctx ends. Those that still find no endpoint wait again: they are
// woken each turnInterval at most.
func (e *Entry) runRateQueues(ctx context.Context) {
	t := time.NewTimer(turnInterval)
	defer t.Stop()
	for ticking := true; ; {
		permitted, waiting := e.config.View.Permitted(), true
		select {
		case <-permitted:
			waiting = e.wakeRateWaiters(time.Now())
		case <-t.C:
			ticking = false
			waiting = e.wakeRateWaiters(time.Now())
		case <-e.rateWaiting:
		case <-ctx.Done():
			return
		}
		if waiting && !ticking {
			t.Reset(turnInterval)
			ticking = true
		}
	}
}

// wakeRateWaiters wakes as many requests as there are permits, and reports whether others still wait.
func (e *Entry) wakeRateWaiters(now time.Time) (waiting bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for pool, q := range e.rateQueues {
		if q.queue.Len() == 0 {
			continue
		}
		limited := e.limitedRuns(pool)
		permits := limited.free
		if limited.unlimited || len(limited.runs)+limited.cold.count == 0 {
			// A limit has ended, or there is nothing to wait for.
			permits = q.queue.Len() + q.woken
		}
		for permits > q.woken && q.queue.Len() > 0 {
			item := limited.cold.pop(q.queue)
			q.permitted = append(q.permitted, now)
			q.wake(item)
		}
		waiting = waiting || q.queue.Len() > 0
	}
	return waiting
}

// wake wakes a request that is no longer queued. The caller holds the entry's mu.
func (q *rateQueue) wake(item *limit.Item[*rateWaiter]) {
	q.woken++
	close(item.Value.ready)
}
