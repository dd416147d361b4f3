package pass

import (
	"slices"
	"time"

	"egretshunt/clock"
	"egretshunt/limit"
	"egretshunt/member"
)

// recordEnded records that an endpoint's process has ended, or takes no connection. Its next incarnation has a state of its own.
func (e *Entry) recordEnded(to *member.Endpoint) { e.setEnded(to, true) }

// recordRunning records that an endpoint responds. One that started again may be listed as the former incarnation for some time.
func (e *Entry) recordRunning(to *member.Endpoint) { e.setEnded(to, false) }

// recordRestart records that nothing listens at an endpoint's address, so that the process that does so next is another one.
func (e *Entry) recordRestart(to *member.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endpointState(to).endedAt = time.Now()
}

func (e *Entry) setEnded(to *member.Endpoint, ended bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.endpointState(to)
	if s.ended = ended; ended {
		s.lostAt = clock.Now()
	}
}

// countRunning returns how many endpoints of a pool, without the one with the ID, run and take requests, as far as this entry knows, and how
// many of the pool are listed. Only those at places that are open to requests with the homes count.
func (e *Entry) countRunning(pool, without string, h homes) (running, listed int) {
	list := e.list()
	if list == nil {
		return 0, 0
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, to := range list.Pool(pool) {
		if !e.isOpenTo(h, to.Place) {
			continue
		}
		listed++
		if s := e.endpointState(to); to.ID != without && !s.ended && !to.Down && !s.isAvoided(to) && s.health.Fit(now) {
			running++
		}
	}
	return running, listed
}

// canLoseMore reports whether a pool would still run if one more request ended all the endpoints that it can before
// control has counted them: ended, which has just ended, is the first.
//
// The load pattern is a request that ends each endpoint it reaches, in a pool of few: its retries would leave the pool's other
// requests without an endpoint for the time of a restart.
func (e *Entry) canLoseMore(pool string, ended *member.Endpoint, h homes) bool {
	running, _ := e.countRunning(pool, ended.ID, h)
	return running >= limit.MaxAttributedCrashes
}

// endangersPool reports whether a request under which endpoints have ended would be sent to the last one of its pool that runs, while
// others are about to start again.
func (e *Entry) endangersPool(j *job) bool {
	if !slices.ContainsFunc(j.fingerprints(), e.isSuspected) {
		return false
	}
	running, listed := e.countRunning(j.pool, "", j.homes)
	return running < 2 && listed > 1
}

// isSuspected reports whether endpoints have ended under requests with the fingerprint, by what control and this entry know, or may
// have.
func (e *Entry) isSuspected(fingerprint func() string) bool {
	if e.config.View.IsSuspected(fingerprint) {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unanswered.AnyBroken() && e.unanswered.MayHaveEnded(fingerprint())
}
