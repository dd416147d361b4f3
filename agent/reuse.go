package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/block"
	"egretshunt/clock"
	"egretshunt/disk"
	"egretshunt/event"
	"egretshunt/route"
	"egretshunt/wire"
)

const (
	// fetchConcurrency is how many blocks are fetched concurrently.
	fetchConcurrency = 4
	// findTimeout bounds a request for the number of blocks that a store holds.
	findTimeout = 250 * time.Millisecond
	// fetchSlack is how much longer than recomputing a fetch may take before it is cancelled.
	fetchSlack = 100 * time.Millisecond
	// storesPerChain is how many stores are queried for a chain.
	storesPerChain = 2
	// rateSmoothing is the weight of a new prefill rate in the moving average.
	rateSmoothing = 0.2
	// defaultBlockBytes is the size assumed for a KV block before the first was observed.
	defaultBlockBytes = 1 << 20
)

// tokenUse counts a prompt's tokens by source: the engine's prefix cache, a store or prefill.
type tokenUse struct {
	reused, fetched, computed float64
	version                   string
	chain                     []block.Name
	// stored is how many leading blocks of the chain the store holds.
	stored int
	store  route.Target
}

// begin fetches cached KV blocks of the prompt and sends the call to the endpoint.
func (a *Agent) begin(ctx context.Context, o *wire.Offer, call Call) (*Response, tokenUse, error) {
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
		// The engine has a weight version other than the last one reported, and has run nothing.
		reply.Body.Close()
		a.updateHealth(ctx)
	}
}

// maxConflictRetries bounds the retries of a call to an engine whose weights have changed.
const maxConflictRetries = 3

// callEngine computes block names for the loaded weight version, fetches what pays off, and
// sends the call.
func (a *Agent) callEngine(ctx context.Context, engine Engine, o *wire.Offer, call Call) (*Response, tokenUse, error) {
	// The weights must not change between naming the blocks and sending the call.
	a.weightsMu.RLock()
	defer a.weightsMu.RUnlock()
	u := tokenUse{version: a.version()}
	scope := block.Scope{Account: o.GetAccount(), Model: o.GetTarget(), Version: u.version}
	u.chain = block.Chain(a.config.BlockKey, scope, o.GetPrompt())
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

// fetchStored fetches blocks from a store where the split prefers that to recomputing them.
func (a *Agent) fetchStored(ctx context.Context, engine Engine, o *wire.Offer, call Call, held int, u *tokenUse) {
	plan := a.plan(o)
	if plan == nil || len(plan.Stores) == 0 {
		return
	}
	root := block.RootHash(o.GetAccount(), o.GetTarget(), o.GetPrompt())
	near := route.RendezvousStores(plan.Stores, root, storesPerChain)
	u.store = near[0]
	for _, s := range near {
		if n := a.countStored(ctx, s, o, u.chain); n > u.stored {
			u.stored, u.store = n, s
		}
	}
	if u.stored <= held {
		return
	}
	split := a.split(plan, o, held, u.stored)
	// The engine computes the front of the prompt while the rest is fetched.
	from := u.stored - int(split.Fetched)/block.Tokens
	if from >= u.stored {
		return
	}
	var warm sync.WaitGroup
	if front := from * block.TextBytes; from > held && a.pace.take(clock.Now()) == 0 {
		warm.Go(func() {
			part := call
			part.Chain = u.chain[:from]
			// On failure the request itself computes the front.
			_ = engine.Warm(ctx, part, o.GetPrompt()[:front])
		})
	}
	got := a.fetchBlocks(ctx, engine, o, u, from)
	warm.Wait()
	u.fetched = float64(got * block.Tokens)
}

// plan compiles the offer's route from the agent's own tables; nil if the account has no such
// route.
func (a *Agent) plan(o *wire.Offer) *route.Plan {
	t := a.tables()
	r, ok := t.Routes[o.GetRoute()]
	if !ok || r.Account != o.GetAccount() {
		return nil
	}
	return route.Compile(t, r)
}

func (a *Agent) split(plan *route.Plan, o *wire.Offer, held, kept int) route.PrefillSplit {
	a.engine.Lock()
	defer a.engine.Unlock()
	m := route.EndpointEstimate{
		Rate: a.tokensPerSecond, Link: a.link.Rate(), Backlog: a.link.Backlog(),
		Cached: float64(held * block.Tokens), Stored: float64(kept * block.Tokens),
	}
	q := route.Request{Tokens: float64(o.GetSize()), TokenBytes: a.cache.blockBytes() / block.Tokens}
	return route.BestSplit(route.WeightsOf(plan.Route), q, m)
}

// countStored returns how many leading blocks of the chain a store holds; 0 if it doesn't
// respond in time.
func (a *Agent) countStored(ctx context.Context, to route.Target, o *wire.Offer, chain []block.Name) int {
	names := make([][]byte, len(chain))
	for i := range chain {
		names[i] = chain[i][:]
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	f, err := a.request(ctx, to, &wire.Frame{Body: &wire.Frame_Find{Find: &wire.Find{Account: o.GetAccount(), Route: o.GetRoute(), Names: names}}})
	if err != nil {
		a.StoreTimeouts.Add(1)
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

// request sends one frame to a store and returns the response.
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

// fetchBlocks fetches the stored blocks from index from on into the engine. It stops when
// recomputing them would have been done, and returns how many arrived without a gap.
func (a *Agent) fetchBlocks(ctx context.Context, engine Engine, o *wire.Offer, u *tokenUse, from int) int {
	want := u.chain[from:u.stored]
	bytes := float64(len(want)) * a.cache.blockBytes()
	limit := time.Duration(float64(len(want)*block.Tokens)/a.prefillRate()*float64(time.Second)) + fetchSlack
	a.engine.Lock()
	a.link.BeginRead(bytes)
	a.engine.Unlock()
	defer func() {
		a.engine.Lock()
		a.link.EndRead(bytes)
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
		a.StoreTimeouts.Add(1)
		a.engine.Lock()
		a.link.RecordTimeout()
		a.engine.Unlock()
	}
	return n
}

// fetchBlock reads one block from the store, verifies its checksum and imports it into the engine.
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
		a.CorruptBlocks.Add(1)
		a.config.Events.Emit(event.BlockCorrupt, "block", name.String(), "store", from.Name)
		return Rejected.New("store sent block %.8s with a wrong name or checksum", name.String())
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

// limitTransfer updates the link's estimated rate and waits until the transfer fits its budget.
func (a *Agent) limitTransfer(ctx context.Context, bytes int, began time.Time) error {
	now := time.Now()
	a.engine.Lock()
	a.link.Observe(bytes*fetchConcurrency, now.Sub(began))
	wait := a.link.Reserve(now, bytes)
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
	return max(a.tokensPerSecond, 1)
}

// updatePrefillRate updates the prefill rate from a long prompt's time to first token.
func (a *Agent) updatePrefillRate(computed float64, took time.Duration) {
	if computed < 2*block.Tokens || took <= 0 {
		return
	}
	a.engine.Lock()
	defer a.engine.Unlock()
	seen := computed / took.Seconds()
	// Queueing behind other requests makes a run look slow, so lower rates get less weight.
	weight := rateSmoothing
	if seen < a.tokensPerSecond {
		weight /= 4
	}
	a.tokensPerSecond += weight * (seen - a.tokensPerSecond)
}

// saveJob is one finished prompt whose new blocks may be written to a store.
type saveJob struct {
	offer    *wire.Offer
	tokenUse tokenUse
}

// queueSave queues a prompt for saveBlocks, or drops it if the ring is full.
func (a *Agent) queueSave(o *wire.Offer, u tokenUse) {
	if len(u.chain) == 0 || u.stored >= len(u.chain) || u.store.Name == "" {
		return
	}
	slim := &wire.Offer{Account: o.GetAccount(), Route: o.GetRoute(), Target: o.GetTarget()}
	a.pendingSaves.Offer(saveJob{offer: slim, tokenUse: u})
}

// saveBlocks writes new blocks to the store while the link is otherwise idle.
func (a *Agent) saveBlocks(ctx context.Context) {
	engine := a.config.Backend.(Engine)
	for {
		job, err := a.pendingSaves.Pop(ctx)
		if err != nil {
			return
		}
		for i := job.tokenUse.stored; i < len(job.tokenUse.chain); i++ {
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
	name := job.tokenUse.chain[depth]
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	data, err := engine.Export(ctx, name)
	if err != nil {
		return err
	}
	a.engine.Lock()
	wait := a.link.Reserve(time.Now(), len(data))
	a.engine.Unlock()
	time.Sleep(wait)
	f, err := a.request(ctx, job.tokenUse.store, &wire.Frame{Body: &wire.Frame_Block{Block: &wire.Block{
		Account: job.offer.GetAccount(), Route: job.offer.GetRoute(), Name: name[:], Data: data,
		Sum: disk.Sum(data), Tokens: block.Tokens, Depth: uint32(depth),
	}}})
	if err != nil {
		return err
	}
	if !f.GetSaved().GetOk() {
		return Rejected.New("store rejected block %.8s: %s", name.String(), f.GetSaved().GetCode())
	}
	a.cache.setBlockBytes(len(data))
	a.Saved.Add(1)
	a.SavedBytes.Add(uint64(len(data)))
	return nil
}

// waitForIdleLink waits until no fetch is in progress and the link's budget allows a write.
func (a *Agent) waitForIdleLink(ctx context.Context) error {
	for {
		a.engine.Lock()
		spare := a.link.CanWrite(time.Now())
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

// pollCacheEvents fetches the engine's new cache events and applies them to the mirror.
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
