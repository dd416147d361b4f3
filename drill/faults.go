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

// fault causes one failure, lets it last a little, and mends it.
type fault struct {
	name string
	do   func(ctx context.Context, d *drill, r *rand.Rand)
}

// faults lists what can go wrong.
func faults() []fault {
	return []fault{
		{"leader dies", leaderDies},
		{"control VM cut off", controlCut},
		{"store dies", func(ctx context.Context, d *drill, r *rand.Rand) { d.restart(ctx, pick(r, d.fleet.Stores)) }},
		{"link slow", linkSlow},
		{"agent restarts", func(ctx context.Context, d *drill, r *rand.Rand) { d.restart(ctx, pick(r, d.fleet.Agents)) }},
		{"entry restarts", func(ctx context.Context, d *drill, r *rand.Rand) { d.restart(ctx, pick(r, d.fleet.Entries)) }},
		{"entry shuts down", entryShutsDown},
		{"agent shuts down", agentShutsDown},
		{"connections break", func(_ context.Context, d *drill, r *rand.Rand) {
			if p := d.fleet.Proc(pick(r, d.fleet.Names())); p != nil {
				p.BreakConnections()
			}
		}},
		{"endpoint drains", endpointDrains},
		{"weights swap", weightsSwap},
		{"poisonous prompt", poisonousPrompt},
		{"engine crashes", func(_ context.Context, d *drill, r *rand.Rand) { d.engine(r).Crash() }},
		{"service cuts answers", serviceCuts},
	}
}

// FaultNames lists the names of all faults.
func FaultNames() []string {
	var names []string
	for _, f := range faults() {
		names = append(names, f.name)
	}
	return names
}

func pick(r *rand.Rand, names []string) string { return names[r.IntN(len(names))] }

func (d *drill) engine(r *rand.Rand) *fake.Engine {
	return d.fleet.Engines[fmt.Sprintf("worker-%d", r.IntN(len(d.fleet.Engines)))]
}

// disturb causes one fault after another, each kind once before any comes again.
func (d *drill) disturb(ctx context.Context) {
	r := rand.New(rand.NewPCG(d.config.Seed, 99))
	var chosen []fault
	for _, f := range faults() {
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
			d.cause(ctx, chosen[i], r)
		}
	}
}

// cause lets one fault happen, and at times another beside it.
func (d *drill) cause(ctx context.Context, f fault, r *rand.Rand) {
	d.mu.Lock()
	d.report.Faults[f.name]++
	d.mu.Unlock()
	done := make(chan struct{})
	beside := rand.New(rand.NewPCG(r.Uint64(), 1))
	go func() {
		defer close(done)
		if d.config.Pairs && beside.IntN(3) == 0 {
			// The second fault is one that needs no process the first may have taken.
			d.extraCrashes.Add(1)
			d.engine(beside).Crash()
			if p := d.fleet.Proc(pick(beside, d.fleet.Entries)); p != nil {
				p.BreakConnections()
			}
		}
	}()
	f.do(ctx, d, r)
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

// outage is how long most faults last.
const outage = 300 * time.Millisecond

func (d *drill) restart(ctx context.Context, name string) {
	d.fleet.Kill(name)
	pause(ctx, outage)
	if err := d.fleet.Run(name); err != nil {
		d.check(inForce, false, "restart of %s: %v", name, err)
	}
}

func (d *drill) leader() string {
	for _, name := range d.fleet.Entries {
		if p := d.fleet.Proc(name); p != nil && p.Leads() {
			return name
		}
	}
	return d.fleet.Entries[0]
}

func leaderDies(ctx context.Context, d *drill, _ *rand.Rand) { d.restart(ctx, d.leader()) }

func controlCut(ctx context.Context, d *drill, r *rand.Rand) {
	name := pick(r, d.fleet.Entries)
	if r.IntN(2) == 0 {
		name = d.leader()
	}
	p := d.fleet.Proc(name)
	if p == nil {
		return
	}
	p.SetCut(true)
	pause(ctx, 5*outage)
	p.SetCut(false)
}

// editWorkers changes the row of the workers' pool, whoever else edits it.
func (d *drill) editWorkers(ctx context.Context, edit func(version string, link uint64) (string, uint64)) {
	p, err := d.fleet.Pool(ctx, fleet.WorkerPool)
	if err != nil {
		return
	}
	base := p.Rev
	p.Version, p.Link = edit(p.Version, p.Link)
	p.Rev = 0
	// A lost race leaves the row as another edit has made it.
	_, _ = d.fleet.Put(ctx, "pools", p.Name, base, p)
}

func linkSlow(ctx context.Context, d *drill, _ *rand.Rand) {
	var was uint64
	d.editWorkers(ctx, func(v string, link uint64) (string, uint64) { was = link; return v, 100_000 })
	pause(ctx, outage)
	d.editWorkers(ctx, func(v string, _ uint64) (string, uint64) { return v, was })
}

func weightsSwap(ctx context.Context, d *drill, _ *rand.Rand) {
	d.editWorkers(ctx, func(v string, link uint64) (string, uint64) { return v + "x", link })
}

// entryShutsDown stops an entry while streams that it serves are open.
func entryShutsDown(ctx context.Context, d *drill, r *rand.Rand) {
	name := pick(r, d.fleet.Entries)
	index := slices.Index(d.fleet.Entries, name)
	open := make(chan answer, 4)
	before := d.extraCrashes.Load()
	for i := range 4 {
		go func() {
			open <- d.prompt(ctx, fleet.Client(), index, 0, fmt.Sprintf("open at the shutdown of %s %d", name, i), 40, true)
		}()
	}
	pause(ctx, 100*time.Millisecond)
	cut := d.fleet.StopGently(context.WithoutCancel(ctx), name)
	d.check(gentleStop, cut == 0, "%s cut off %d requests", name, cut)
	for range 4 {
		a := <-open
		// A stream that can't be resumed ends with its engine, whoever stops meanwhile.
		crashed := d.extraCrashes.Load() > before
		d.check(gentleStop, a.lost || a.status >= 300 || a.whole || crashed, "a stream of %s ended early after %d letters", name, len(a.text))
	}
	pause(ctx, outage)
	if err := d.fleet.Run(name); err != nil {
		d.check(inForce, false, "restart of %s: %v", name, err)
	}
}

func agentShutsDown(ctx context.Context, d *drill, r *rand.Rand) {
	name := pick(r, d.fleet.Agents)
	cut := d.fleet.StopGently(context.WithoutCancel(ctx), name)
	d.check(gentleStop, cut == 0, "%s cut off %d requests", name, cut)
	pause(ctx, outage)
	if err := d.fleet.Run(name); err != nil {
		d.check(inForce, false, "restart of %s: %v", name, err)
	}
}

// endpointDrains takes a worker away and looks for new work two seconds later.
func endpointDrains(ctx context.Context, d *drill, r *rand.Rand) {
	name := fmt.Sprintf("worker-%d", r.IntN(len(d.fleet.Engines)))
	each, cancel := context.WithTimeout(context.WithoutCancel(ctx), 20*time.Second)
	defer cancel()
	var got struct {
		Rev uint64 `json:"rev"`
	}
	if d.fleet.Admin(each, "POST", "/pools/"+fleet.WorkerPool+"/endpoints/"+name+"/drain", nil, &got) != nil {
		return
	}
	time.Sleep(2 * time.Second)
	e := d.fleet.Engines[name]
	before := e.Seen().Runs
	pause(ctx, outage)
	after := e.Seen().Runs
	d.check(leavingQuiet, before == after, "%s got %d new requests", name, after-before)
	_ = d.fleet.Admin(each, "POST", "/pools/"+fleet.WorkerPool+"/endpoints/"+name+"/undrain", nil, &got)
}

// poisonousPrompt sends a prompt that crashes engines again and again.
func poisonousPrompt(ctx context.Context, d *drill, r *rand.Rand) {
	text := fmt.Sprintf("%s %d", fake.CrashMark, r.Uint64())
	c := fleet.Client()
	for i := range 6 {
		if ctx.Err() != nil {
			return
		}
		d.prompt(ctx, c, i, 0, text, 5, false)
	}
}

func serviceCuts(ctx context.Context, d *drill, r *rand.Rand) {
	s := d.fleet.Services[fmt.Sprintf("helper-%d", r.IntN(len(d.fleet.Services)))]
	s.SetCut(true)
	pause(ctx, outage)
	s.SetCut(false)
}
