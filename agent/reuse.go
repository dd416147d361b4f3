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
	// fetchConcurrency is how many blocks are fetched at once.
	fetchConcurrency = 4
	// findTimeout bounds the question how much a store holds.
	findTimeout = 250 * time.Millisecond
	// fetchSlack is added to the time that recomputing would take before a fetch is given up.
	fetchSlack = 100 * time.Millisecond
	// storesPerChain is how many stores are asked for a chain.
	storesPerChain = 2
	// rateSmoothing is the weight of a new measurement of the prefill rate.
	rateSmoothing = 0.2
	// defaultBlockBytes is the assumed size of a kept block before one was seen.
	defaultBlockBytes = 1 << 20
)

// tokenUse says where the tokens of a prompt came from.
type tokenUse struct {
	reused, fetched, computed float64
	version                   string
	chain                     []block.Name
	// stored is how many blocks of the chain the store holds already.
	stored int
	store  route.Target
}

// startCall prepares the prompt's context and hands the call to the endpoint.
func (a *Agent) startCall(ctx context.Context, o *wire.Offer, call Call) (*Response, tokenUse, error) {
	engine, ok := a.config.Backend.(Engine)
	if !ok || len(o.GetPrompt()) == 0 {
		reply, err := a.config.Backend.Run(ctx, call)
		return reply, tokenUse{}, err
	}
	for try := 0; ; try++ {
		reply, u, err := a.callEngine(ctx, engine, o, call)
		if err != nil || reply.Status != http.StatusConflict || try == maxConflictRetries {
			return reply, u, err
		}
		// The engine has other weights than this agent had heard of, and has run nothing.
		reply.Body.Close()
		a.updateHealth(ctx)
	}
}

// maxConflictRetries bounds how often a call is handed over again to an engine whose weights have changed.
const maxConflictRetries = 3

// callEngine names the chain by the weights now loaded and gives the call to the engine.
func (a *Agent) callEngine(ctx context.Context, engine Engine, o *wire.Offer, call Call) (*Response, tokenUse, error) {
	// The weights stay the same from naming the chain until the engine has the call.
	a.weightsMu.RLock()
	defer a.weightsMu.RUnlock()
	u := tokenUse{version: a.version()}
	scope := block.Scope{Account: o.GetAccount(), Model: o.GetTarget(), Version: u.version}
	u.chain = block.Chain(a.config.Key, scope, o.GetPrompt())
	call.Chain, call.Version = u.chain, u.version
	held := a.cache.cachedPrefix(u.chain)
	u.reused = float64(held * block.Tokens)
	if held < len(u.chain) {
		a.fetchStored(ctx, engine, o, call, held, &u)
	}
	u.computed = max(0, float64(o.GetSize())-u.reused-u.fetched)
	a.Reused.Add(uint64(u.reused))
	a.Fetched.Add(uint64(u.fetched))
	a.Computed.Add(uint64(u.computed))
	reply, err := engine.Run(ctx, call)
	return reply, u, err
}

// fetchStored brings in what stores hold, where that is better than computing it.
func (a *Agent) fetchStored(ctx context.Context, engine Engine, o *wire.Offer, call Call, held int, u *tokenUse) {
	plan := a.compilePlan(o)
	if plan == nil || len(plan.Stores) == 0 {
		return
	}
	root := block.Root(o.GetAccount(), o.GetTarget(), o.GetPrompt())
	near := route.Nearest(plan.Stores, root, storesPerChain)
	u.store = near[0]
	for _, s := range near {
		if n := a.countStored(ctx, s, o, u.chain); n > u.stored {
			u.stored, u.store = n, s
		}
	}
	if u.stored <= held {
		return
	}
	split := a.bestSplit(plan, o, held, u.stored)
	// The front part is computed while the rest is fetched from the back.
	from := u.stored - int(split.Fetched)/block.Tokens
	if from >= u.stored {
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

// compilePlan joins the offer's route with the agent's own tables.
func (a *Agent) compilePlan(o *wire.Offer) *route.Plan {
	t := a.tables()
	r, ok := t.Routes[o.GetRoute()]
	if !ok || r.Account != o.GetAccount() {
		return nil
	}
	return route.Compile(t, r)
}

func (a *Agent) bestSplit(plan *route.Plan, o *wire.Offer, held, kept int) route.Split {
	a.engineMu.Lock()
	defer a.engineMu.Unlock()
	m := route.Measured{
		Rate: a.tokensPerSecond, Link: a.link.Rate(), Backlog: a.link.Backlog(),
		Cached: float64(held * block.Tokens), Stored: float64(kept * block.Tokens),
	}
	q := route.Request{Tokens: float64(o.GetSize()), Bytes: a.cache.blockBytes() / block.Tokens}
	return route.Best(route.WeightsOf(plan.Route), q, m)
}

// countStored asks a store how much of the chain it holds. Silence means nothing.
func (a *Agent) countStored(ctx context.Context, to route.Target, o *wire.Offer, chain []block.Name) int {
	names := make([][]byte, len(chain))
	for i := range chain {
		names[i] = chain[i][:]
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	f, err := a.request(ctx, to, &wire.Frame{Body: &wire.Frame_Find{Find: &wire.Find{Account: o.GetAccount(), Route: o.GetRoute(), Names: names}}})
	if err != nil {
		a.SlowStores.Add(1)
		a.config.Events.Emit(event.StoreSlow, "store", to.Name, "err", err)
		return 0
	}
	found := f.GetFound()
	if found.GetCount() == 0 {
		return 0
	}
	a.cache.setBlockBytes(int(found.GetBytes() / uint64(found.GetCount())))
	return min(int(found.GetCount()), len(chain))
}

// request sends one frame to a store and returns the answer.
func (a *Agent) request(ctx context.Context, to route.Target, f *wire.Frame) (*wire.Frame, error) {
	s, err := a.config.Peers.Open(ctx, to.Addr)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	return sendAndReceive(ctx, s, f)
}

func sendAndReceive(ctx context.Context, s *wire.Stream, f *wire.Frame) (*wire.Frame, error) {
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
func (a *Agent) fetchBlocks(ctx context.Context, engine Engine, o *wire.Offer, u *tokenUse, from int) int {
	want := u.chain[from:u.stored]
	bytes := float64(len(want)) * a.cache.blockBytes()
	limit := time.Duration(float64(len(want)*block.Tokens)/a.prefillRate()*float64(time.Second)) + fetchSlack
	a.engineMu.Lock()
	a.link.Begin(bytes)
	a.engineMu.Unlock()
	defer func() {
		a.engineMu.Lock()
		a.link.End(bytes)
		a.engineMu.Unlock()
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
	for range min(fetchConcurrency, len(want)) {
		work.Go(func() {
			for i := range next {
				if ctx.Err() != nil || a.fetchBlock(ctx, engine, o, u.store, want[i]) != nil {
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
		a.engineMu.Lock()
		a.link.Slow()
		a.engineMu.Unlock()
	}
	return n
}

// fetchBlock moves one block from the store into the engine and checks its bytes on the way.
func (a *Agent) fetchBlock(ctx context.Context, engine Engine, o *wire.Offer, from route.Target, name block.Name) error {
	began := time.Now()
	f, err := a.request(ctx, from, &wire.Frame{Body: &wire.Frame_Read{Read: &wire.Read{Account: o.GetAccount(), Route: o.GetRoute(), Name: name[:]}}})
	if err != nil {
		return err
	}
	b := f.GetBlock()
	if b == nil || b.GetGone() {
		return NotFound.New("store no longer holds block %.8s", name.String())
	}
	if disk.Sum(b.GetData()) != b.GetSum() || string(b.GetName()) != string(name[:]) {
		a.WrongBlocks.Add(1)
		a.config.Events.Emit(event.BlockBad, "block", name.String(), "store", from.Name)
		return Rejected.New("store sent wrong bytes for block %.8s", name.String())
	}
	if err := a.limitTransfer(ctx, len(b.GetData()), began); err != nil {
		return err
	}
	a.FetchedBytes.Add(uint64(len(b.GetData())))
	if err := engine.Import(ctx, name, b.GetData()); err != nil {
		return err
	}
	a.cache.add(name, len(b.GetData()))
	return nil
}

// limitTransfer keeps the link's budget and learns its capacity.
func (a *Agent) limitTransfer(ctx context.Context, bytes int, began time.Time) error {
	now := time.Now()
	a.engineMu.Lock()
	a.link.Observe(bytes*fetchConcurrency, now.Sub(began))
	wait := a.link.Wait(now, bytes)
	a.engineMu.Unlock()
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
	a.engineMu.Lock()
	defer a.engineMu.Unlock()
	return max(a.tokensPerSecond, 1)
}

// updatePrefillRate corrects the prefill rate by a long prompt's time to first token.
func (a *Agent) updatePrefillRate(computed float64, took time.Duration) {
	if computed < 2*block.Tokens || took <= 0 {
		return
	}
	a.engineMu.Lock()
	defer a.engineMu.Unlock()
	seen := computed / took.Seconds()
	// Waiting behind others makes a run look slow; a faster one is believed sooner.
	weight := rateSmoothing
	if seen < a.tokensPerSecond {
		weight /= 4
	}
	a.tokensPerSecond += weight * (seen - a.tokensPerSecond)
}

// saveJob is one finished prompt whose new blocks may be kept.
type saveJob struct {
	offer  *wire.Offer
	tokens tokenUse
}

// queueSave hands a prompt to the goroutine that keeps blocks; a full ring skips it.
func (a *Agent) queueSave(o *wire.Offer, u tokenUse) {
	if len(u.chain) == 0 || u.stored >= len(u.chain) || u.store.Name == "" {
		return
	}
	slim := &wire.Offer{Account: o.GetAccount(), Route: o.GetRoute(), Target: o.GetTarget()}
	a.pendingSaves.Offer(saveJob{offer: slim, tokens: u})
}

// saveBlocks sends new blocks to the store when the link has nothing better to do.
func (a *Agent) saveBlocks(ctx context.Context) {
	engine := a.config.Backend.(Engine)
	for {
		job, err := a.pendingSaves.Pop(ctx)
		if err != nil {
			return
		}
		for i := job.tokens.stored; i < len(job.tokens.chain); i++ {
			if a.saveBlock(ctx, engine, job, i) != nil {
				break
			}
		}
	}
}

func (a *Agent) saveBlock(ctx context.Context, engine Engine, job saveJob, depth int) error {
	if err := a.waitForIdleLink(ctx); err != nil {
		return err
	}
	name := job.tokens.chain[depth]
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	data, err := engine.Export(ctx, name)
	if err != nil {
		return err
	}
	a.engineMu.Lock()
	wait := a.link.Wait(time.Now(), len(data))
	a.engineMu.Unlock()
	time.Sleep(wait)
	f, err := a.request(ctx, job.tokens.store, &wire.Frame{Body: &wire.Frame_Block{Block: &wire.Block{
		Account: job.offer.GetAccount(), Route: job.offer.GetRoute(), Name: name[:], Data: data,
		Sum: disk.Sum(data), Tokens: block.Tokens, Depth: uint32(depth),
	}}})
	if err != nil {
		return err
	}
	if !f.GetSaved().GetOk() {
		return Rejected.New("store did not keep block %.8s: %s", name.String(), f.GetSaved().GetCode())
	}
	a.cache.setBlockBytes(len(data))
	a.Saved.Add(1)
	a.SavedBytes.Add(uint64(len(data)))
	return nil
}

// waitForIdleLink waits until nothing is being fetched and the budget has room.
func (a *Agent) waitForIdleLink(ctx context.Context) error {
	for {
		a.engineMu.Lock()
		spare := a.link.Spare(time.Now())
		a.engineMu.Unlock()
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

// pollCacheEvents follows the engine's cache events.
func (a *Agent) pollCacheEvents(ctx context.Context) {
	engine := a.config.Backend.(Engine)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	ev, err := engine.Events(ctx, a.cache.lastSeq())
	if err != nil {
		if !errorx.IsOfType(err, Unreachable) && !errorx.IsOfType(err, Interrupted) {
			a.config.Events.Emit(event.Fault, "err", err)
		}
		return
	}
	a.cache.apply(ev)
}
