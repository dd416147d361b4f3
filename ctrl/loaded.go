package ctrl

import (
	"context"
	"time"

	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/member"
	"egretshunt/value"
)

// engineState is what an engine last said of itself.
type engineState struct {
	// born identifies the engine's incarnation.
	born int64
	// weights holds the versions that it had loaded, by model, as received at a time.
	weights map[string]uint64
	at      time.Duration
	// commands is the number of commands that it has accepted; none while that isn't known.
	commands value.Option[uint64]
}

// loadedVersion returns the version of a model's weights that an engine has: the one that it reported, until the list can't
// be older than the report, and then the listed one. The caller holds termMu.
func (lt *leaderTerm) loadedVersion(e *member.Endpoint, model string) uint64 {
	s, ok := lt.reports[e.ID]
	if reported, known := s.weights[model]; ok && known && s.born == e.Born && lt.listedAt < s.at+lt.tasks.config.ListLag+reportMaxAge {
		return reported
	}
	return e.Weights[model]
}

// report requests an engine's state and records it.
func (lt *leaderTerm) report(ctx context.Context, to *member.Endpoint) (EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	r, err := lt.tasks.config.Platform.Report(ctx, to)
	if err != nil {
		lt.tasks.config.Events.Emit(event.CommandFailed, "endpoint", to.ID, "duty", "report", "err", err)
		return r, err
	}
	lt.termMu.Lock()
	defer lt.termMu.Unlock()
	lt.reports[to.ID] = engineState{born: to.Born, weights: r.Weights, at: clock.Now(), commands: r.Commands}
	return r, nil
}

// updateState changes what is known of an engine.
func (lt *leaderTerm) updateState(to *member.Endpoint, change func(s *engineState)) {
	lt.termMu.Lock()
	defer lt.termMu.Unlock()
	s := lt.reports[to.ID]
	if s.born != to.Born {
		s = engineState{born: to.Born}
	}
	change(&s)
	lt.reports[to.ID] = s
}
