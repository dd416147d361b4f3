package bench

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"egretshunt/block"
	"egretshunt/limit"
	"egretshunt/route"
	"egretshunt/table"
	"egretshunt/value"
)

// Fault is what goes wrong in a run.
type Fault struct {
	Name string
	// SlowLink divides the first worker's link by ten.
	SlowLink bool
	// StoreDies takes one store away after a third of the time, StoreFull leaves it a tenth of its room.
	StoreDies, StoreFull bool
	// WorkerDies takes one worker away after a third of the time.
	WorkerDies bool
	// Swap changes the weight version after half of the time, two workers at a time.
	Swap bool
	// Burst adds one account's burst.
	Burst bool
	// LoseEvents makes agents forget what their engine holds every minute.
	LoseEvents bool
	// Lag is the age of load reports.
	Lag time.Duration
}

// usualLag is the age of load reports when nothing is wrong.
const usualLag = 200 * time.Millisecond

// Faults lists the rows of the comparison.
func Faults() []Fault {
	return []Fault{
		{Name: "calm"}, {Name: "link at a tenth", SlowLink: true}, {Name: "store dies", StoreDies: true},
		{Name: "store full", StoreFull: true}, {Name: "worker dies", WorkerDies: true},
		{Name: "worker dies, link at a tenth", WorkerDies: true, SlowLink: true}, {Name: "version swap", Swap: true},
		{Name: "burst of one account", Burst: true}, {Name: "events lost", LoseEvents: true}, {Name: "load 5 s late", Lag: 5 * time.Second},
	}
}

// worker models one engine: prefill of one prompt at a time, decoding beside it.
type worker struct {
	cache    *value.Cache[uint64, float64]
	held     float64
	queue    *limit.Queue[*work]
	busy     bool
	dead     bool
	loading  bool
	version  int
	linkFree time.Duration
	link     float64
	decoding int
	// reports holds the queue as it was, for lagged views.
	reports []report
	pending float64
	// sent holds what entries gave it lately.
	sent []shipment
}

type shipment struct {
	at     time.Duration
	entry  int
	tokens float64
}

type report struct {
	at    time.Duration
	queue float64
}

// work is one prompt in the system.
type work struct {
	p       prompt
	worker  int
	split   route.Split
	started bool
	begun   time.Duration
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// run is one policy under one fault.
type run[P route.Policy] struct {
	d      Deployment
	f      Fault
	policy P
	oracle bool
	evict  block.Policy
	now    time.Duration
	queue  events
	seq    int
	random *rand.Rand

	workers []*worker
	stores  []*block.Index
	gone    []bool
	plan    *route.Plan
	hints   []*value.Cache[uint64, hint]
	result  *Result
}

// hint is what an entry remembers of a history.
type hint struct {
	worker int
	tokens float64
	at     time.Duration
}

// Run replays a trace under a policy and a fault. With oracle set the policy sees the true state.
func Run[P route.Policy](d Deployment, f Fault, policy P, oracle bool, seed uint64) *Result {
	r := &run[P]{d: d, f: f, policy: policy, oracle: oracle, random: rand.New(rand.NewPCG(seed, 5)), result: &Result{}}
	if r.f.Lag == 0 {
		r.f.Lag = usualLag
	}
	r.build()
	for _, p := range d.Trace(seed, f.Burst) {
		r.at(p.at, func() { r.arrive(p) })
	}
	r.plague()
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.do()
	}
	return r.result
}

func (r *run[P]) at(when time.Duration, do func()) {
	r.seq++
	heap.Push(&r.queue, event{at: when, seq: r.seq, do: do})
}

func (r *run[P]) build() {
	pool := &table.Pool{Name: "w", Kind: table.Model, Endpoints: []table.Endpoint{}}
	for i := range r.d.Workers {
		w := &worker{cache: value.NewCache[uint64, float64](1 << 20), queue: limit.NewQueue[*work](1 << 20), link: r.d.Link}
		if i == 0 && r.f.SlowLink {
			w.link /= 10
		}
		r.workers = append(r.workers, w)
		pool.Endpoints = append(pool.Endpoints, table.Endpoint{Name: string(rune('a'+i)) + "-worker"})
	}
	t := table.Empty()
	t.Pools["w"] = pool
	r.plan = route.Compile(t, &table.Route{Name: "r", Pools: []string{"w"}, Weights: r.d.Weights})
	for range r.d.Stores {
		room := r.d.Store / float64(r.d.Stores)
		if r.f.StoreFull && len(r.stores) == 0 {
			room /= 10
		}
		r.stores = append(r.stores, block.NewIndex(block.Config{Capacity: int64(room), Policy: r.evict}))
		r.gone = append(r.gone, false)
	}
	for range r.d.Entries {
		r.hints = append(r.hints, value.NewCache[uint64, hint](100_000))
	}
}

// plague schedules the faults.
func (r *run[P]) plague() {
	third := r.d.Length / 3
	if r.f.StoreDies {
		r.at(third, func() { r.gone[0] = true })
	}
	if r.f.WorkerDies {
		r.at(third, r.killWorker)
	}
	if r.f.LoseEvents {
		for at := time.Minute; at < r.d.Length; at += time.Minute {
			r.at(at, func() {
				for _, w := range r.workers {
					w.cache, w.held = value.NewCache[uint64, float64](1<<20), 0
				}
			})
		}
	}
	if r.f.Swap {
		for i := range r.workers {
			at := r.d.Length/2 + time.Duration(i/2)*time.Second
			r.at(at, func() { r.workers[i].loading = true })
			r.at(at+900*time.Millisecond, func() { r.swapped(r.workers[i]) })
		}
	}
}

// swapped empties what belongs to the former weights.
func (r *run[P]) swapped(w *worker) {
	w.loading = false
	w.version = 1
	w.cache, w.held = value.NewCache[uint64, float64](1<<20), 0
	r.start(w)
}

func (r *run[P]) killWorker() {
	w := r.workers[1]
	w.dead = true
	for {
		it, ok := w.queue.Pop()
		if !ok {
			return
		}
		p := it.Value.p
		// The entry notices the loss and sends the prompt elsewhere.
		r.at(r.now+500*time.Millisecond, func() { r.arriveAs(p, it.Value.begun) })
	}
}

// storeKey keeps the chains of different weight versions apart.
func storeKey(root uint64, version int) uint64 { return root*2 + uint64(version) }

func blockName(root uint64, version, i int) (n block.Name) {
	binary.LittleEndian.PutUint64(n[:], storeKey(root, version))
	binary.LittleEndian.PutUint64(n[8:], uint64(i))
	return n
}

// store returns the store of a chain, or false when it is gone.
func (r *run[P]) store(root uint64) (*block.Index, bool) {
	s := int(root>>7) % len(r.stores)
	return r.stores[s], !r.gone[s]
}

func (r *run[P]) wall() time.Time { return time.Unix(0, 0).Add(r.now) }

// stored returns the tokens of a chain that its store holds.
func (r *run[P]) stored(p prompt, version int) float64 {
	x, ok := r.store(p.root)
	if !ok || p.history < 0 {
		return 0
	}
	n := 0
	for x.Has(accountName(p), blockName(p.root, version, n)) {
		n++
	}
	return float64(n * block.Tokens)
}

func accountName(p prompt) string { return string(rune('a' + p.account)) }

// fetch reads blocks from a store, which counts as use.
func (r *run[P]) fetch(p prompt, version int, from, to float64) {
	x, _ := r.store(p.root)
	for i := int(from) / block.Tokens; i < int(to)/block.Tokens; i++ {
		if b, err := x.Pin(accountName(p), blockName(p.root, version, i), r.wall()); err == nil {
			x.Unpin(b.Ref)
		}
	}
}

// keep writes the blocks of a chain that the store lacks.
func (r *run[P]) keep(p prompt, version int) {
	x, ok := r.store(p.root)
	if !ok {
		return
	}
	for i := int(r.stored(p, version)) / block.Tokens; i < int(p.tokens)/block.Tokens; i++ {
		ref, _, err := x.Reserve(accountName(p), blockName(p.root, version, i), block.Tokens, i, r.wall())
		if err != nil {
			return
		}
		if x.Begin(ref) == nil && x.Seal(ref, 0, r.wall()) == nil {
			r.result.written += block.Tokens * r.d.KV
		}
	}
}

// cached returns the tokens of a chain in a worker's prefix cache.
func (w *worker) cached(p prompt) float64 {
	n, _ := w.cache.Look(storeKey(p.root, w.version))
	return min(n, p.tokens)
}

// remember puts a chain into the prefix cache and lets the longest unused ones go.
func (w *worker) remember(p prompt, room float64) {
	k := storeKey(p.root, w.version)
	old, _ := w.cache.Look(k)
	w.cache.Put(k, p.tokens)
	w.held += p.tokens - old
	for w.held > room {
		_, n, ok := w.cache.Oldest()
		if !ok {
			return
		}
		w.held -= n
	}
}

func (r *run[P]) arrive(p prompt) { r.arriveAs(p, r.now) }

// arriveAs places a prompt that began at begun.
func (r *run[P]) arriveAs(p prompt, begun time.Duration) {
	usable := func(i int) bool { return !r.workers[i].dead && !r.workers[i].loading }
	h, known := r.hints[p.entry].Look(p.root)
	name := ""
	if known {
		name = r.plan.Targets[h.worker].Name
	}
	c := r.plan.Consider(p.root, name, usable)
	q := route.Request{Root: p.root, Tokens: p.tokens, Bytes: r.d.KV}
	state := func(i int) route.Measured {
		if r.oracle {
			return r.truth(i, p)
		}
		return r.believed(i, p, h, known, c.Top())
	}
	choice, ok := route.Decide(r.policy, r.plan, &c, q, state, nil)
	if !ok {
		r.at(r.now+100*time.Millisecond, func() { r.arriveAs(p, begun) })
		return
	}
	w := r.workers[choice.Index]
	w.pending += choice.Computed
	w.sent = append(w.sent, shipment{r.now, p.entry, choice.Computed})
	if len(w.sent) > 256 {
		w.sent = append([]shipment(nil), w.sent[128:]...)
	}
	it := &limit.Item[*work]{Account: string(rune('a' + p.account)), Rank: p.rank, Cost: choice.Computed, Value: &work{p: p, worker: choice.Index, begun: begun}}
	w.queue.Push(it)
	r.report(w)
	r.start(w)
}

func (r *run[P]) report(w *worker) {
	w.reports = append(w.reports, report{r.now, w.pending})
	if len(w.reports) > 256 {
		w.reports = append([]report(nil), w.reports[128:]...)
	}
}

// believed is what an entry that shares nothing with the others can know.
func (r *run[P]) believed(i int, p prompt, h hint, known bool, top int) route.Measured {
	w := r.workers[i]
	m := route.Measured{Rate: r.d.Prefill, Link: w.link}
	for j := len(w.reports) - 1; j >= 0; j-- {
		if w.reports[j].at <= r.now-r.f.Lag {
			m.Queue = w.reports[j].queue
			break
		}
	}
	// The entry adds what it has sent itself since then.
	for j := len(w.sent) - 1; j >= 0 && w.sent[j].at > r.now-r.f.Lag; j-- {
		if w.sent[j].entry == p.entry {
			m.Queue += w.sent[j].tokens
		}
	}
	m.Backlog = max(0, (w.linkFree-r.now).Seconds()) * w.link
	if p.history >= 0 {
		q := route.Request{Tokens: p.tokens}
		m.Cached, m.Stored = route.Believe(route.Hint{
			Known: known, Here: h.worker == i, Top: i == top, Tokens: h.tokens, Age: r.now - h.at, Stores: true,
		}, q)
	}
	return m
}

// truth is the state as it is.
func (r *run[P]) truth(i int, p prompt) route.Measured {
	w := r.workers[i]
	m := route.Measured{Rate: r.d.Prefill, Link: w.link, Queue: w.pending}
	m.Backlog = max(0, (w.linkFree-r.now).Seconds()) * w.link
	m.Cached = w.cached(p)
	m.Stored = min(r.stored(p, w.version), p.tokens)
	return m
}

// start begins the next prompt of a worker that has nothing to prefill.
func (r *run[P]) start(w *worker) {
	if w.busy || w.dead || w.loading {
		return
	}
	it, ok := w.queue.Pop()
	if !ok {
		return
	}
	w.busy = true
	k := it.Value
	if k.started {
		r.compute(w, it, k.split.Computed)
		return
	}
	k.started = true
	// The agent knows what its engine and the stores hold, and decides again.
	m := r.truth(k.worker, k.p)
	m.Queue = 0
	q := route.Request{Root: k.p.root, Tokens: k.p.tokens, Bytes: r.d.KV}
	k.split = r.policy.Score(route.Candidate{Weights: r.d.Weights, Request: q, State: m})
	r.result.note(k)
	if k.split.Fetched == 0 {
		r.compute(w, it, k.split.Computed)
		return
	}
	from := max(r.now, w.linkFree)
	w.linkFree = from + seconds(k.split.Fetched*r.d.KV/w.link)
	r.result.fetched += k.split.Fetched * r.d.KV
	r.fetch(k.p, w.version, m.Stored-k.split.Fetched, m.Stored)
	front := max(0, m.Stored-k.split.Reused-k.split.Fetched)
	w.pending -= it.Cost - k.split.Computed
	it.Cost = k.split.Computed
	tail := k.split.Computed - front
	done := r.now + seconds(front/r.d.Prefill)
	r.at(done, func() {
		w.busy = false
		w.pending -= front
		r.report(w)
		r.start(w)
	})
	r.at(max(done, w.linkFree), func() {
		k.split.Computed = tail
		it.Cost = tail
		it.Rank = 0
		w.queue.Push(it)
		r.start(w)
	})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// compute prefills tokens and then lets the prompt decode.
func (r *run[P]) compute(w *worker, it *limit.Item[*work], tokens float64) {
	k := it.Value
	r.at(r.now+seconds(tokens/r.d.Prefill), func() {
		w.busy = false
		w.pending = max(0, w.pending-it.Cost)
		r.report(w)
		r.answered(w, k)
		r.start(w)
	})
}

// answered notes the first token, what is cached now, and the decoding to come.
func (r *run[P]) answered(w *worker, k *work) {
	p := k.p
	if w.dead {
		r.arriveAs(p, k.begun)
		return
	}
	w.decoding++
	gap := float64(r.d.Gap) * (1 + 0.04*float64(w.decoding))
	if w.queue.Len() > 0 {
		// Chunked prefill of others takes turns with decoding.
		gap += float64(r.d.Gap)
	}
	r.result.done(p, r.now-k.begun, time.Duration(gap))
	r.at(r.now+time.Duration(gap*p.output), func() { w.decoding-- })
	if p.history < 0 {
		return
	}
	w.remember(p, r.d.Cache)
	r.keep(p, w.version)
	r.hints[p.entry].Put(p.root, hint{worker: k.worker, tokens: p.tokens, at: r.now})
}
