package ctrl

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/fence"
	"egretshunt/member"
)

const (
	// rolloutInterval is how often the leader checks for engines that need other weights.
	rolloutInterval = 150 * time.Millisecond
	// reportMaxAge is how old an engine's report of its weights may be.
	reportMaxAge = 400 * time.Millisecond
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
			lt.sendDueCommands(ctx, &running, l, model, t.Version, lt.rolloutPace(model, t.Version))
		}
	}
}

// targetVersion is a target version of a model's weights and when this term first observed it.
type targetVersion struct {
	version uint64
	since   time.Duration
}

// rolloutPace returns how much of the time allowed for a rollout has passed. A target version set in
// an earlier term is treated as if half of the time had passed, since its actual start is not known.
func (lt *leaderTerm) rolloutPace(model string, version uint64) fence.RolloutProgress {
	now, allowed := clock.Now(), lt.tasks.config.RolloutTimeout
	target, ok := lt.targetSince[model]
	if !ok || target.version != version {
		target = targetVersion{version, now}
		if now-lt.began < 2*rolloutInterval {
			target.since -= allowed / 2
		}
		lt.targetSince[model] = target
	}
	return fence.RolloutProgress{Elapsed: now - target.since, Allowed: allowed}
}

// sendDueCommands starts the commands that are due for one model.
func (lt *leaderTerm) sendDueCommands(ctx context.Context, running *sync.WaitGroup, l *member.List, model string, want uint64, pace fence.RolloutProgress) {
	now := clock.Now()
	var workers []fence.Engine
	lt.termMu.Lock()
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		listed, ok := e.Weights[model]
		if !ok {
			continue
		}
		c := lt.lastCommand[e.ID]
		workers = append(workers, fence.Engine{
			ID: e.ID, Version: max(listed, lt.observedWeights[e.ID][model]), Target: want, LastCommand: c.sentAt, Busy: c.loading, Draining: e.Draining,
		})
	}
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
	done, err := lt.sendCommand(ctx, to, o)
	lt.tasks.config.Events.Emit(event.CommandSent, "endpoint", to.ID, "model", o.Model, "weights", o.Version, "epoch", o.Epoch, "done", done, "err", err)
	for err == nil && !done && ctx.Err() == nil && lt.leads() && clock.Now()-began < commandTimeout {
		select {
		case <-time.After(reportMaxAge / 2):
		case <-ctx.Done():
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
		report, reportErr := lt.tasks.config.Platform.Report(callCtx, to)
		cancel()
		if reportErr != nil {
			lt.tasks.config.Events.Emit(event.CommandFailed, "endpoint", to.ID, "duty", "report", "err", reportErr)
			break
		}
		if report.Weights[o.Model] >= o.Version {
			done = true
		} else if !report.Busy && clock.Now()-began > 2*reportMaxAge {
			// The engine did not receive the command, or will execute it later.
			break
		}
	}
	defer lt.publishEndpoints()
	lt.termMu.Lock()
	defer lt.termMu.Unlock()
	c := lt.lastCommand[to.ID]
	c.loading = false
	if done {
		if lt.observedWeights[to.ID] == nil {
			lt.observedWeights[to.ID] = map[string]uint64{}
		}
		lt.observedWeights[to.ID][o.Model] = o.Version
	}
	lt.lastCommand[to.ID] = c
}

func (lt *leaderTerm) sendCommand(ctx context.Context, to *member.Endpoint, o WeightsCommand) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if !lt.leads() {
		return false, NotLeader.New("this member is no longer the leader")
	}
	return lt.tasks.config.Platform.LoadWeights(ctx, to, o)
}
