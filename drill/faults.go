package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"egretshunt/fake"
	"egretshunt/fleet"
)

// fault is one kind of failure. inject causes it, keeps it up for a short time, and repairs it.
type fault struct {
	name   string
	inject func(ctx context.Context, d *drill, r *rand.Rand)
}

// allFaults lists the kinds of failure that a drill can inject.
func allFaults() []fault {
	return []fault{
		{"leader dies", killLeader},
		{"control VM cut off", cutOffControl},
		{"store dies", func(ctx context.Context, d *drill, r *rand.Rand) { d.restart(ctx, pickName(r, d.fleet.Stores)) }},
		{"link slow", slowDownLink},
		{"agent restarts", func(ctx context.Context, d *drill, r *rand.Rand) { d.restart(ctx, pickName(r, d.fleet.Agents)) }},
		{"entry restarts", func(ctx context.Context, d *drill, r *rand.Rand) { d.restart(ctx, pickName(r, d.fleet.Entries)) }},
		{"entry shuts down", shutDownEntry},
		{"agent shuts down", shutDownAgent},
		{"connections break", func(_ context.Context, d *drill, r *rand.Rand) {
			if p := d.fleet.Proc(pickName(r, d.fleet.Names())); p != nil {
				p.BreakConnections()
			}
		}},
		{"endpoint drains", drainEndpoint},
		{"weights swap", changeWeightVersion},
		{"poisonous prompt", sendCrashingPrompt},
		{"engine crashes", func(_ context.Context, d *drill, r *rand.Rand) { d.randomEngine(r).Crash() }},
		{"service cuts answers", cutServiceResponses},
	}
}

// FaultNames lists the names of all faults.
func FaultNames() []string {
	var names []string
	for _, f := range allFaults() {
		names = append(names, f.name)
	}
	return names
}

func pickName(r *rand.Rand, names []string) string { return names[r.IntN(len(names))] }

func (d *drill) randomEngine(r *rand.Rand) *fake.Engine {
	return d.fleet.Engines[fmt.Sprintf("worker-%d", r.IntN(len(d.fleet.Engines)))]
}

// injectFaults injects the chosen faults one after another until ctx ends, in rounds that
// hold each kind once in random order.
func (d *drill) injectFaults(ctx context.Context) {
	r := rand.New(rand.NewPCG(d.config.Seed, 99))
	var chosen []fault
	for _, f := range allFaults() {
		if len(d.config.Faults) == 0 || slices.Contains(d.config.Faults, f.name) {
			chosen = append(chosen, f)
		}
	}
	if len(chosen) == 0 {
		return
	}
	for ctx.Err() == nil {
		for _, i := range r.Perm(len(chosen)) {
			if !pause(ctx, time.Duration(50+r.IntN(150))*time.Millisecond) {
				return
			}
			d.injectFault(ctx, chosen[i], r)
		}
	}
}

// injectFault injects one fault and, with Pairs set, in a third of cases a second one at the
// same time.
func (d *drill) injectFault(ctx context.Context, f fault, r *rand.Rand) {
	d.mu.Lock()
	d.report.Faults[f.name]++
	d.mu.Unlock()
	done := make(chan struct{})
	extraRand := rand.New(rand.NewPCG(r.Uint64(), 1))
	go func() {
		defer close(done)
		if d.config.Pairs && extraRand.IntN(3) == 0 {
			// The second fault must not depend on a process that the first may have stopped.
			d.extraCrashes.Add(1)
			d.randomEngine(extraRand).Crash()
			if p := d.fleet.Proc(pickName(extraRand, d.fleet.Entries)); p != nil {
				p.BreakConnections()
			}
		}
	}()
	f.inject(ctx, d, r)
	<-done
}

func pause(ctx context.Context, t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-ctx.Done():
		return false
	}
}

// outageTime is how long most faults last.
const outageTime = 300 * time.Millisecond

func (d *drill) restart(ctx context.Context, name string) {
	d.fleet.Kill(name)
	pause(ctx, outageTime)
	if err := d.fleet.Run(name); err != nil {
		d.check(configInForce, false, "restart of %s: %v", name, err)
	}
}

func (d *drill) leaderName() string {
	for _, name := range d.fleet.Entries {
		if p := d.fleet.Proc(name); p != nil && p.IsLeader() {
			return name
		}
	}
	return d.fleet.Entries[0]
}

func killLeader(ctx context.Context, d *drill, _ *rand.Rand) { d.restart(ctx, d.leaderName()) }

func cutOffControl(ctx context.Context, d *drill, r *rand.Rand) {
	name := pickName(r, d.fleet.Entries)
	if r.IntN(2) == 0 {
		name = d.leaderName()
	}
	p := d.fleet.Proc(name)
	if p == nil {
		return
	}
	p.SetIsolated(true)
	pause(ctx, 5*outageTime)
	p.SetIsolated(false)
}

// editWorkerPool changes the row of the worker pool with a single conditional write.
func (d *drill) editWorkerPool(ctx context.Context, edit func(version string, link uint64) (string, uint64)) {
	p, err := d.fleet.Pool(ctx, fleet.WorkerPool)
	if err != nil {
		return
	}
	base := p.Rev
	p.Version, p.Link = edit(p.Version, p.Link)
	p.Rev = 0
	// On a conflict the concurrent edit stands.
	_, _ = d.fleet.Put(ctx, "pools", p.Name, base, p)
}

func slowDownLink(ctx context.Context, d *drill, _ *rand.Rand) {
	var oldLink uint64
	d.editWorkerPool(ctx, func(v string, link uint64) (string, uint64) { oldLink = link; return v, 100_000 })
	pause(ctx, outageTime)
	d.editWorkerPool(ctx, func(v string, _ uint64) (string, uint64) { return v, oldLink })
}

func changeWeightVersion(ctx context.Context, d *drill, _ *rand.Rand) {
	d.editWorkerPool(ctx, func(v string, link uint64) (string, uint64) { return v + "x", link })
}

// shutDownEntry shuts an entry down gracefully while it serves open streams.
func shutDownEntry(ctx context.Context, d *drill, r *rand.Rand) {
	name := pickName(r, d.fleet.Entries)
	index := slices.Index(d.fleet.Entries, name)
	open := make(chan callResult, 4)
	before := d.extraCrashes.Load()
	for i := range 4 {
		go func() {
			open <- d.sendPrompt(ctx, fleet.Client(), index, 0, fmt.Sprintf("open at the shutdown of %s %d", name, i), 40, true)
		}()
	}
	pause(ctx, 100*time.Millisecond)
	cut := d.fleet.StopGracefully(context.WithoutCancel(ctx), name)
	d.check(gracefulShutdown, cut == 0, "%s cut off %d requests", name, cut)
	for range 4 {
		a := <-open
		// A stream that can't be resumed ends when its engine crashes, independently of the
		// shutdown.
		crashed := d.extraCrashes.Load() > before
		d.check(gracefulShutdown, a.failed || a.status >= 300 || a.complete || crashed, "a stream of %s ended early after %d letters", name, len(a.text))
	}
	pause(ctx, outageTime)
	if err := d.fleet.Run(name); err != nil {
		d.check(configInForce, false, "restart of %s: %v", name, err)
	}
}

func shutDownAgent(ctx context.Context, d *drill, r *rand.Rand) {
	name := pickName(r, d.fleet.Agents)
	cut := d.fleet.StopGracefully(context.WithoutCancel(ctx), name)
	d.check(gracefulShutdown, cut == 0, "%s cut off %d requests", name, cut)
	pause(ctx, outageTime)
	if err := d.fleet.Run(name); err != nil {
		d.check(configInForce, false, "restart of %s: %v", name, err)
	}
}

// drainEndpoint drains a worker and checks that it gets no new requests once two seconds
// have passed.
func drainEndpoint(ctx context.Context, d *drill, r *rand.Rand) {
	name := fmt.Sprintf("worker-%d", r.IntN(len(d.fleet.Engines)))
	opCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 20*time.Second)
	defer cancel()
	var got struct {
		Rev uint64 `json:"rev"`
	}
	if d.fleet.Admin(opCtx, "POST", "/pools/"+fleet.WorkerPool+"/endpoints/"+name+"/drain", nil, &got) != nil {
		return
	}
	time.Sleep(2 * time.Second)
	e := d.fleet.Engines[name]
	before := e.Totals().Requests
	pause(ctx, outageTime)
	after := e.Totals().Requests
	d.check(noWorkAfterDrain, before == after, "%s got %d new requests", name, after-before)
	_ = d.fleet.Admin(opCtx, "POST", "/pools/"+fleet.WorkerPool+"/endpoints/"+name+"/undrain", nil, &got)
}

// sendCrashingPrompt repeatedly sends a prompt that crashes the engine that serves it.
func sendCrashingPrompt(ctx context.Context, d *drill, r *rand.Rand) {
	text := fmt.Sprintf("%s %d", fake.CrashMark, r.Uint64())
	c := fleet.Client()
	for i := range 6 {
		if ctx.Err() != nil {
			return
		}
		d.sendPrompt(ctx, c, i, 0, text, 5, false)
	}
}

func cutServiceResponses(ctx context.Context, d *drill, r *rand.Rand) {
	s := d.fleet.Services[fmt.Sprintf("helper-%d", r.IntN(len(d.fleet.Services)))]
	s.SetBreakAfterBooking(true)
	pause(ctx, outageTime)
	s.SetBreakAfterBooking(false)
}
