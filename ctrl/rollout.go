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
	// rolloutInterval is how often the weights are looked after while some are to change.
	rolloutInterval = 150 * time.Millisecond
	// reportMaxAge is how old an engine's word of its weights may be.
	reportMaxAge = 400 * time.Millisecond
)

// rolloutWeights runs the swaps of the term.
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

// targetVersion is when this term first saw a version of a model's weights.
type targetVersion struct {
	version uint64
	since   time.Duration
}

// rolloutPace tells how much of the time for a change of weights has passed. A version named in an
// earlier term counts as half through: how long that was ago is not known.
func (lt *leaderTerm) rolloutPace(model string, version uint64) fence.Pace {
	now, allowed := clock.Now(), lt.tasks.config.SwapTime
	target, ok := lt.targetSince[model]
	if !ok || target.version != version {
		target = targetVersion{version, now}
		if now-lt.began < 2*rolloutInterval {
			target.since -= allowed / 2
		}
		lt.targetSince[model] = target
	}
	return fence.Pace{Elapsed: now - target.since, Allowed: allowed}
}

// sendDueCommands gives the orders that are due for one model.
func (lt *leaderTerm) sendDueCommands(ctx context.Context, running *sync.WaitGroup, l *member.List, model string, want uint64, pace fence.Pace) {
	now := clock.Now()
	var workers []fence.Worker
	lt.termMu.Lock()
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		listed, ok := e.Weights[model]
		if !ok {
			continue
		}
		c := lt.lastCommand[e.ID]
		workers = append(workers, fence.Worker{
			ID: e.ID, Version: max(listed, lt.observedWeights[e.ID][model]), Want: want, Ordered: c.sentAt, Busy: c.loading, Leaving: e.Leaving,
		})
	}
	lt.termMu.Unlock()
	due := fence.PlanSwap(workers, now, pace)
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
			lt.loadWeights(ctx, e, SwapOrder{Model: model, Version: want, Holder: lt.tasks.config.Holder, Epoch: lt.epoch})
		})
	}
}

// acquireEpoch takes an epoch for this term's orders, once those of another VM have rested long enough.
func (lt *leaderTerm) acquireEpoch(ctx context.Context) bool {
	first := lt.node.View().Epoch == 0
	if !first && clock.Now()-lt.began < lt.tasks.config.Handover {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	got, err := lt.node.Propose(ctx, Command{Epoch: &Epoch{Owner: lt.tasks.config.Holder, Nonce: uuid.NewString()}})
	if err != nil {
		lt.tasks.config.Events.Emit(event.OrderBad, "duty", "epoch", "err", err)
		return false
	}
	lt.epoch = got.Epoch
	return true
}

// loadWeights orders one engine to load weights and follows it until it has them.
func (lt *leaderTerm) loadWeights(ctx context.Context, to *member.Endpoint, o SwapOrder) {
	began := clock.Now()
	done, err := lt.sendCommand(ctx, to, o)
	lt.tasks.config.Events.Emit(event.Ordered, "endpoint", to.ID, "model", o.Model, "weights", o.Version, "epoch", o.Epoch, "done", done, "err", err)
	for err == nil && !done && ctx.Err() == nil && lt.leads() && clock.Now()-began < orderTimeout {
		select {
		case <-time.After(reportMaxAge / 2):
		case <-ctx.Done():
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
		report, reportErr := lt.tasks.config.Outside.Report(callCtx, to)
		cancel()
		if reportErr != nil {
			lt.tasks.config.Events.Emit(event.OrderBad, "endpoint", to.ID, "duty", "report", "err", reportErr)
			break
		}
		if report.Weights[o.Model] >= o.Version {
			done = true
		} else if !report.Busy && clock.Now()-began > 2*reportMaxAge {
			// The order was lost, or is carried out later.
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

func (lt *leaderTerm) sendCommand(ctx context.Context, to *member.Endpoint, o SwapOrder) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if !lt.leads() {
		return false, NotLeader.New("this member does not lead any more")
	}
	return lt.tasks.config.Outside.Order(ctx, to, o)
}
