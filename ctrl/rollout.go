package ctrl

import (
	"cmp"
	"context"
	"maps"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/fence"
	"egretshunt/member"
	"egretshunt/value"
)

const (
	// rolloutInterval is how often the leader checks for engines that need other weights.
	rolloutInterval = 150 * time.Millisecond
	// reportMaxAge is how old an engine's report of its weights may be.
	reportMaxAge = 400 * time.Millisecond
	// loadTimeSamples is about how many loads the average of their times covers.
	loadTimeSamples = 8
)

// rolloutWeights brings all engines to the target versions of their models during the term.
func (lt *leaderTerm) rolloutWeights(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		l := lt.List()
		targets := lt.node.View().Weights
		if l == nil || len(targets) == 0 || !lt.leads() {
			continue
		}
		for model, t := range targets {
			lt.sendDueCommands(ctx, &running, l, model, lt.observeTargets(model, t))
		}
	}
}

// sendDueCommands starts the commands that are due for one model.
func (lt *leaderTerm) sendDueCommands(ctx context.Context, running *sync.WaitGroup, l *member.List, model string, targets fence.Targets) {
	now, moment, want := clock.Now(), clock.Time(), targets.Latest()
	var workers []fence.Engine
	lt.termMu.Lock()
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		if _, ok := e.Weights[model]; !ok {
			continue
		}
		c := lt.lastCommand[e.ID]
		version := lt.loadedVersion(e, model)
		workers = append(workers, fence.Engine{
			ID: e.ID, Version: version, Target: want, Behind: targets.Behind(version, moment), LastCommand: c.sentAt, Busy: c.loading, Draining: e.Draining,
		})
	}
	pace := lt.pace(targets)
	lt.termMu.Unlock()
	due := fence.PlanRollout(workers, now, pace)
	if len(due) == 0 {
		return
	}
	if lt.epoch == 0 && !lt.acquireEpoch(ctx) {
		return
	}
	for _, id := range due {
		e := l.Find(id)
		lt.termMu.Lock()
		lt.lastCommand[id] = lastCommand{sentAt: now, loading: true}
		lt.termMu.Unlock()
		lt.publishEndpoints()
		running.Go(func() {
			lt.loadWeights(ctx, e, WeightsCommand{Model: model, Version: want, Holder: lt.tasks.config.Holder, Epoch: lt.epoch})
		})
	}
}

// acquireEpoch takes an epoch for this term's commands, once those of another VM can no longer be
// executed. It reports whether the term has an epoch.
func (lt *leaderTerm) acquireEpoch(ctx context.Context) bool {
	first := lt.node.View().Epoch == 0
	if !first && clock.Now()-lt.began < lt.tasks.config.Handover {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	got, err := lt.node.Propose(ctx, Command{Epoch: &Epoch{CommandIssuer: lt.tasks.config.Holder, Nonce: uuid.NewString()}})
	if err != nil {
		lt.tasks.config.Events.Emit(event.CommandFailed, "duty", "epoch", "err", err)
		return false
	}
	lt.epoch = got.Epoch
	return true
}

// loadWeights commands one engine to load weights and polls it until it has loaded them.
func (lt *leaderTerm) loadWeights(ctx context.Context, to *member.Endpoint, o WeightsCommand) {
	began := clock.Now()
	done, err := lt.commandLoad(ctx, to, o)
	for err == nil && !done && ctx.Err() == nil && lt.leads() && clock.Now()-began < commandTimeout {
		select {
		case <-time.After(reportMaxAge / 2):
		case <-ctx.Done():
			return
		}
		report, reportErr := lt.report(ctx, to)
		if reportErr != nil {
			break
		}
		if report.Weights[o.Model] >= o.Version {
			done = true
		} else if !report.Busy && clock.Now()-began > 2*reportMaxAge {
			// The engine did not receive the command, or will execute it later.
			break
		}
	}
	again := errorx.IsOfType(err, CommandConflict)
	if again {
		// The next report may still be older than what the engine has accepted meanwhile.
		select {
		case <-time.After(reportMaxAge):
		case <-ctx.Done():
		}
	}
	defer lt.publishEndpoints()
	lt.termMu.Lock()
	defer lt.termMu.Unlock()
	c := lt.lastCommand[to.ID]
	c.loading = false
	if again {
		c.sentAt = 0
	}
	if done {
		took := clock.Now() - began
		former := cmp.Or(lt.loadTime, took)
		lt.loadTime = former + (took-former)/loadTimeSamples
	}
	lt.lastCommand[to.ID] = c
}

// commandLoad commands an engine to load weights and reports whether it has them already. The command names how many others
// the engine has accepted, so that the engine rejects it if it arrives after a later one.
func (lt *leaderTerm) commandLoad(ctx context.Context, to *member.Endpoint, o WeightsCommand) (done bool, err error) {
	lt.termMu.Lock()
	state := lt.reports[to.ID]
	lt.termMu.Unlock()
	if _, known := state.commands.Get(); !known || state.born != to.Born {
		report, err := lt.report(ctx, to)
		if err != nil {
			return false, err
		}
		if report.Weights[o.Model] >= o.Version {
			return true, nil
		}
		if report.Busy {
			return false, CommandConflict.New("%s carries out another command", to.ID)
		}
		state.commands = report.Commands
	}
	o.Expect = state.commands
	done, err = lt.sendCommand(ctx, to, o)
	expect, _ := o.Expect.Get()
	lt.tasks.config.Events.Emit(event.CommandSent, "endpoint", to.ID, "model", o.Model, "weights", o.Version, "epoch", o.Epoch, "expect", expect, "done", done, "err", err)
	lt.updateState(to, func(s *engineState) {
		switch {
		case err != nil:
			// It may have been accepted, or may be later.
			s.commands = value.None[uint64]()
		case done:
			s.weights, s.at = maps.Clone(s.weights), clock.Now()
			if s.weights == nil {
				s.weights = map[string]uint64{}
			}
			s.weights[o.Model] = o.Version
		}
	})
	return done, err
}

func (lt *leaderTerm) sendCommand(ctx context.Context, to *member.Endpoint, o WeightsCommand) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if !lt.leads() {
		return false, NotLeader.New("this member is no longer the leader")
	}
	return lt.tasks.config.Platform.LoadWeights(ctx, to, o)
}
