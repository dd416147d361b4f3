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
	// swapTime is how often the weights are looked after while some are to change.
	swapTime = 150 * time.Millisecond
	// reportLag is how old an engine's word of its weights may be.
	reportLag = 400 * time.Millisecond
)

// weights runs the swaps of the reign.
func (r *reign) weights(ctx context.Context) {
	t := time.NewTicker(swapTime)
	defer t.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		l := r.List()
		wanted := r.node.View().Weights
		if l == nil || len(wanted) == 0 || !r.leads() {
			continue
		}
		for model, w := range wanted {
			r.step(ctx, &running, l, model, w.Version, r.pace(model, w.Version))
		}
	}
}

// named is when this reign first saw a version of a model's weights.
type named struct {
	version uint64
	at      time.Duration
}

// pace tells how much of the time for a change of weights has passed. A version named in an
// earlier reign counts as half through: how long that was ago is not known.
func (r *reign) pace(model string, version uint64) fence.Pace {
	now, allowed := clock.Now(), r.chief.config.SwapTime
	seen, ok := r.seenWeights[model]
	if !ok || seen.version != version {
		seen = named{version, now}
		if now-r.began < 2*swapTime {
			seen.at -= allowed / 2
		}
		r.seenWeights[model] = seen
	}
	return fence.Pace{Elapsed: now - seen.at, Allowed: allowed}
}

// step gives the orders that are due for one model.
func (r *reign) step(ctx context.Context, running *sync.WaitGroup, l *member.List, model string, want uint64, pace fence.Pace) {
	now := clock.Now()
	var workers []fence.Worker
	r.listMu.Lock()
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		listed, ok := e.Weights[model]
		if !ok {
			continue
		}
		g := r.given[e.ID]
		workers = append(workers, fence.Worker{
			ID: e.ID, Version: max(listed, r.has[e.ID][model]), Want: want, Ordered: g.at, Busy: g.busy, Leaving: e.Leaving,
		})
	}
	r.listMu.Unlock()
	due := fence.PlanSwap(workers, now, pace)
	if len(due) == 0 {
		return
	}
	if r.epoch == 0 && !r.begin(ctx) {
		return
	}
	for _, id := range due {
		e := l.Find(id)
		r.listMu.Lock()
		r.given[id] = given{at: now, busy: true}
		r.listMu.Unlock()
		r.publish()
		running.Go(func() {
			r.give(ctx, e, SwapOrder{Model: model, Version: want, Holder: r.chief.config.Holder, Epoch: r.epoch})
		})
	}
}

// begin takes an epoch for this reign's orders, once those of another VM have rested long enough.
func (r *reign) begin(ctx context.Context) bool {
	first := r.node.View().Epoch == 0
	if !first && clock.Now()-r.began < r.chief.config.Handover {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	got, err := r.node.Propose(ctx, Command{Epoch: &Epoch{Owner: r.chief.config.Holder, Nonce: uuid.NewString()}})
	if err != nil {
		r.chief.config.Events.Emit(event.OrderBad, "duty", "epoch", "err", err)
		return false
	}
	r.epoch = got.Epoch
	return true
}

// give orders one engine to load weights and follows it until it has them.
func (r *reign) give(ctx context.Context, to *member.Endpoint, o SwapOrder) {
	began := clock.Now()
	done, err := r.order(ctx, to, o)
	r.chief.config.Events.Emit(event.Ordered, "endpoint", to.ID, "model", o.Model, "weights", o.Version, "epoch", o.Epoch, "done", done, "err", err)
	for err == nil && !done && ctx.Err() == nil && r.leads() && clock.Now()-began < orderTimeout {
		select {
		case <-time.After(reportLag / 2):
		case <-ctx.Done():
			return
		}
		call, cancel := context.WithTimeout(ctx, outsideTime)
		report, failed := r.chief.config.Outside.Report(call, to)
		cancel()
		if failed != nil {
			r.chief.config.Events.Emit(event.OrderBad, "endpoint", to.ID, "duty", "report", "err", failed)
			break
		}
		if report.Weights[o.Model] >= o.Version {
			done = true
		} else if !report.Busy && clock.Now()-began > 2*reportLag {
			// The order was lost, or is carried out later.
			break
		}
	}
	defer r.publish()
	r.listMu.Lock()
	defer r.listMu.Unlock()
	g := r.given[to.ID]
	g.busy = false
	if done {
		if r.has[to.ID] == nil {
			r.has[to.ID] = map[string]uint64{}
		}
		r.has[to.ID][o.Model] = o.Version
	}
	r.given[to.ID] = g
}

func (r *reign) order(ctx context.Context, to *member.Endpoint, o SwapOrder) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, outsideTime)
	defer cancel()
	if !r.leads() {
		return false, NotLeader.New("this member does not lead any more")
	}
	return r.chief.config.Outside.Order(ctx, to, o)
}
