package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/block"
	"egretshunt/disk"
	"egretshunt/event"
	"egretshunt/route"
	"egretshunt/wire"
)

const (
	// fetchers is how many blocks are fetched at once.
	fetchers = 4
	// findTime bounds the question how much a store holds.
	findTime = 250 * time.Millisecond
	// fetchSlack is added to the time that recomputing would take before a fetch is given up.
	fetchSlack = 100 * time.Millisecond
	// copies is how many stores are asked for a chain.
	copies = 2
	// rateMemory is the weight of a new measurement of the prefill rate.
	rateMemory = 0.2
	// blockBytes is the assumed size of a kept block before one was seen.
	blockBytes = 1 << 20
)

// use says where the tokens of a prompt came from.
type use struct {
	reused, fetched, computed float64
	version                   string
	chain                     []block.Name
	// kept is how many blocks of the chain the store holds already.
	kept  int
	store route.Target
}

// begin prepares the prompt's context and hands the call to the endpoint.
func (a *Agent) begin(ctx context.Context, o *wire.Offer, call Call) (*Reply, use, error) {
	engine, ok := a.config.Backend.(Engine)
	if !ok || len(o.GetPrompt()) == 0 {
		reply, err := a.config.Backend.Run(ctx, call)
		return reply, use{}, err
	}
	for try := 0; ; try++ {
		reply, u, err := a.hand(ctx, engine, o, call)
		if err != nil || reply.Status != http.StatusConflict || try == maxHands {
			return reply, u, err
		}
		// The engine has other weights than this agent had heard of, and has run nothing.
		reply.Body.Close()
		a.check(ctx)
	}
}

// maxHands bounds how often a call is handed over again to an engine whose weights have changed.
const maxHands = 3

// hand names the chain by the weights now loaded and gives the call to the engine.
func (a *Agent) hand(ctx context.Context, engine Engine, o *wire.Offer, call Call) (*Reply, use, error) {
	// The weights stay the same from naming the chain until the engine has the call.
	a.swap.RLock()
	defer a.swap.RUnlock()
	u := use{version: a.version()}
	scope := block.Scope{Account: o.GetAccount(), Model: o.GetTarget(), Version: u.version}
	u.chain = block.Chain(a.config.Key, scope, o.GetPrompt())
	call.Chain, call.Version = u.chain, u.version
	held := a.cache.longest(u.chain)
	u.reused = float64(held * block.Tokens)
	if held < len(u.chain) {
		a.fetch(ctx, engine, o, call, held, &u)
	}
	u.computed = max(0, float64(o.GetSize())-u.reused-u.fetched)
	a.Reused.Add(uint64(u.reused))
	a.Fetched.Add(uint64(u.fetched))
	a.Computed.Add(uint64(u.computed))
	reply, err := engine.Run(ctx, call)
	return reply, u, err
}

// fetch brings in what stores hold, where that is better than computing it.
func (a *Agent) fetch(ctx context.Context, engine Engine, o *wire.Offer, call Call, held int, u *use) {
	plan := a.plan(o)
	if plan == nil || len(plan.Stores) == 0 {
		return
	}
	root := block.Root(o.GetAccount(), o.GetTarget(), o.GetPrompt())
	near := route.Nearest(plan.Stores, root, copies)
	u.store = near[0]
	for _, s := range near {
		if n := a.find(ctx, s, o, u.chain); n > u.kept {
			u.kept, u.store = n, s
		}
	}
	if u.kept <= held {
		return
	}
	split := a.split(plan, o, held, u.kept)
	// The front part is computed while the rest is fetched from the back.
	from := u.kept - int(split.Fetched)/block.Tokens
	if from >= u.kept {
		return
	}
	var warm sync.WaitGroup
	if front := from * block.Chars; from > held {
		warm.Go(func() {
			part := call
			part.Chain = u.chain[:from]
			// A failure leaves the front to the run itself.
			_ = engine.Warm(ctx, part, o.GetPrompt()[:front])
		})
	}
	got := a.fetchBlocks(ctx, engine, o, u, from)
	warm.Wait()
	u.fetched = float64(got * block.Tokens)
}

// plan joins the offer's route with the agent's own tables.
func (a *Agent) plan(o *wire.Offer) *route.Plan {
	t := a.tables()
	r, ok := t.Routes[o.GetRoute()]
	if !ok || r.Account != o.GetAccount() {
		return nil
	}
	return route.Compile(t, r)
}

func (a *Agent) split(plan *route.Plan, o *wire.Offer, held, kept int) route.Split {
	a.engine.Lock()
	defer a.engine.Unlock()
	m := route.Measured{
		Rate: a.rate, Link: a.link.Rate(), Backlog: a.link.Backlog(),
		Cached: float64(held * block.Tokens), Stored: float64(kept * block.Tokens),
	}
	q := route.Request{Tokens: float64(o.GetSize()), Bytes: a.cache.blockBytes() / block.Tokens}
	return route.Best(route.WeightsOf(plan.Route), q, m)
}

// find asks a store how much of the chain it holds. Silence means nothing.
func (a *Agent) find(ctx context.Context, to route.Target, o *wire.Offer, chain []block.Name) int {
	names := make([][]byte, len(chain))
	for i := range chain {
		names[i] = chain[i][:]
	}
	ctx, cancel := context.WithTimeout(ctx, findTime)
	defer cancel()
	f, err := a.ask(ctx, to, &wire.Frame{Body: &wire.Frame_Find{Find: &wire.Find{Account: o.GetAccount(), Route: o.GetRoute(), Names: names}}})
	if err != nil {
		a.SlowStores.Add(1)
		a.config.Events.Emit(event.StoreSlow, "store", to.Name, "err", err)
		return 0
	}
	found := f.GetFound()
	if found.GetCount() == 0 {
		return 0
	}
	a.cache.sized(int(found.GetBytes() / uint64(found.GetCount())))
	return min(int(found.GetCount()), len(chain))
}

// ask sends one frame to a store and returns the answer.
func (a *Agent) ask(ctx context.Context, to route.Target, f *wire.Frame) (*wire.Frame, error) {
	s, err := a.config.Peers.Open(ctx, to.Addr)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	return exchangeFrame(ctx, s, f)
}

func exchangeFrame(ctx context.Context, s *wire.Stream, f *wire.Frame) (*wire.Frame, error) {
	if deadline, ok := ctx.Deadline(); ok {
		s.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if err := s.Send(f); err != nil {
		return nil, err
	}
	return s.Recv()
}

// fetchBlocks brings the blocks from position from on into the engine. It returns
// how many came before the time was up in which they could have been computed.
func (a *Agent) fetchBlocks(ctx context.Context, engine Engine, o *wire.Offer, u *use, from int) int {
	want := u.chain[from:u.kept]
	bytes := float64(len(want)) * a.cache.blockBytes()
	limit := time.Duration(float64(len(want)*block.Tokens)/a.prefillRate()*float64(time.Second)) + fetchSlack
	a.engine.Lock()
	a.link.Begin(bytes)
	a.engine.Unlock()
	defer func() {
		a.engine.Lock()
		a.link.End(bytes)
		a.engine.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	got := make([]bool, len(want))
	next := make(chan int, len(want))
	for i := range want {
		next <- i
	}
	close(next)
	var work sync.WaitGroup
	for range min(fetchers, len(want)) {
		work.Go(func() {
			for i := range next {
				if ctx.Err() != nil || a.fetchOne(ctx, engine, o, u.store, want[i]) != nil {
					return
				}
				got[i] = true
			}
		})
	}
	work.Wait()
	n := 0
	for n < len(got) && got[n] {
		n++
	}
	if n < len(got) && ctx.Err() != nil {
		a.SlowStores.Add(1)
		a.engine.Lock()
		a.link.Slow()
		a.engine.Unlock()
	}
	return n
}

// fetchOne moves one block from the store into the engine and checks its bytes on the way.
func (a *Agent) fetchOne(ctx context.Context, engine Engine, o *wire.Offer, from route.Target, name block.Name) error {
	began := time.Now()
	f, err := a.ask(ctx, from, &wire.Frame{Body: &wire.Frame_Read{Read: &wire.Read{Account: o.GetAccount(), Route: o.GetRoute(), Name: name[:]}}})
	if err != nil {
		return err
	}
	b := f.GetBlock()
	if b == nil || b.GetGone() {
		return Gone.New("store no longer holds block %.8s", name.String())
	}
	if disk.Sum(b.GetData()) != b.GetSum() || string(b.GetName()) != string(name[:]) {
		a.WrongBlocks.Add(1)
		a.config.Events.Emit(event.BlockBad, "block", name.String(), "store", from.Name)
		return Refused.New("store sent wrong bytes for block %.8s", name.String())
	}
	if err := a.pace(ctx, len(b.GetData()), began); err != nil {
		return err
	}
	a.FetchedBytes.Add(uint64(len(b.GetData())))
	if err := engine.Import(ctx, name, b.GetData()); err != nil {
		return err
	}
	a.cache.add(name, len(b.GetData()))
	return nil
}

// pace keeps the link's budget and learns its capacity.
func (a *Agent) pace(ctx context.Context, bytes int, began time.Time) error {
	now := time.Now()
	a.engine.Lock()
	a.link.Observe(bytes*fetchers, now.Sub(began))
	wait := a.link.Wait(now, bytes)
	a.engine.Unlock()
	if wait == 0 {
		return nil
	}
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (a *Agent) prefillRate() float64 {
	a.engine.Lock()
	defer a.engine.Unlock()
	return max(a.rate, 1)
}

// learnRate corrects the prefill rate by a long prompt's time to first token.
func (a *Agent) learnRate(computed float64, took time.Duration) {
	if computed < 2*block.Tokens || took <= 0 {
		return
	}
	a.engine.Lock()
	defer a.engine.Unlock()
	seen := computed / took.Seconds()
	// Waiting behind others makes a run look slow; a faster one is believed sooner.
	weight := rateMemory
	if seen < a.rate {
		weight /= 4
	}
	a.rate += weight * (seen - a.rate)
}

// toSave is one finished prompt whose new blocks may be kept.
type toSave struct {
	offer *wire.Offer
	use   use
}

// queueSave hands a prompt to the goroutine that keeps blocks; a full ring skips it.
func (a *Agent) queueSave(o *wire.Offer, u use) {
	if len(u.chain) == 0 || u.kept >= len(u.chain) || u.store.Name == "" {
		return
	}
	slim := &wire.Offer{Account: o.GetAccount(), Route: o.GetRoute(), Target: o.GetTarget()}
	a.save.Offer(toSave{offer: slim, use: u})
}

// keepBlocks sends new blocks to the store when the link has nothing better to do.
func (a *Agent) keepBlocks(ctx context.Context) {
	engine := a.config.Backend.(Engine)
	for {
		job, err := a.save.Pop(ctx)
		if err != nil {
			return
		}
		for i := job.use.kept; i < len(job.use.chain); i++ {
			if a.keepOne(ctx, engine, job, i) != nil {
				break
			}
		}
	}
}

func (a *Agent) keepOne(ctx context.Context, engine Engine, job toSave, depth int) error {
	if err := a.awaitSpare(ctx); err != nil {
		return err
	}
	name := job.use.chain[depth]
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	data, err := engine.Export(ctx, name)
	if err != nil {
		return err
	}
	a.engine.Lock()
	wait := a.link.Wait(time.Now(), len(data))
	a.engine.Unlock()
	time.Sleep(wait)
	f, err := a.ask(ctx, job.use.store, &wire.Frame{Body: &wire.Frame_Block{Block: &wire.Block{
		Account: job.offer.GetAccount(), Route: job.offer.GetRoute(), Name: name[:], Data: data,
		Sum: disk.Sum(data), Tokens: block.Tokens, Depth: uint32(depth),
	}}})
	if err != nil {
		return err
	}
	if !f.GetSaved().GetOk() {
		return Refused.New("store did not keep block %.8s: %s", name.String(), f.GetSaved().GetCode())
	}
	a.cache.sized(len(data))
	a.Saved.Add(1)
	a.SavedBytes.Add(uint64(len(data)))
	return nil
}

// awaitSpare waits until nothing is being fetched and the budget has room.
func (a *Agent) awaitSpare(ctx context.Context) error {
	for {
		a.engine.Lock()
		spare := a.link.Spare(time.Now())
		a.engine.Unlock()
		if spare {
			return nil
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// mirrorEvents follows the engine's cache events.
func (a *Agent) mirrorEvents(ctx context.Context) {
	engine := a.config.Backend.(Engine)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	ev, err := engine.Events(ctx, a.cache.since())
	if err != nil {
		if !errorx.IsOfType(err, Down) && !errorx.IsOfType(err, Broken) {
			a.config.Events.Emit(event.Fault, "err", err)
		}
		return
	}
	a.cache.apply(ev)
}
