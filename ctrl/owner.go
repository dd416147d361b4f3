package ctrl

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"egretshunt/event"
	"egretshunt/fence"
	"egretshunt/table"
	"egretshunt/wire"
)

const (
	// commandInterval is how often the owner of orders looks at what is to be done.
	commandInterval = 200 * time.Millisecond
	// orderTimeout bounds one order with the weight load that it causes.
	orderTimeout = 60 * time.Second
	// unregisterDelay is how long an unheard node stays registered.
	unregisterDelay = time.Hour
	// pruneInterval is how often the roster is cleaned.
	pruneInterval = 30 * time.Second
)

// OwnerConfig constructs an Owner.
type OwnerConfig struct {
	Node   *Node
	Server *Server
	Pool   *wire.Pool
	Events *event.Log
	// Leaving returns the endpoints that the platform's list says are leaving; nil when there is no list.
	Leaving func(ctx context.Context) ([]string, error)
}

// Owner gives orders to engines while its control VM leads: one epoch, one owner.
type Owner struct {
	config  OwnerConfig
	cancel  context.CancelFunc
	running sync.WaitGroup

	// mu guards busy.
	mu sync.Mutex
	// busy holds the endpoints with an order under way.
	busy map[string]time.Time
}

// NewOwner starts the duty.
func NewOwner(c OwnerConfig) *Owner {
	if c.Events == nil {
		c.Events = event.Discard()
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{config: c, cancel: cancel, busy: map[string]time.Time{}}
	o.running.Go(func() { o.run(ctx) })
	o.running.Go(func() { o.housekeepingLoop(ctx) })
	return o
}

// run holds an epoch for each time that this member leads.
func (o *Owner) run(ctx context.Context) {
	var since time.Time
	var epoch uint64
	var nonce string
	tick := time.NewTicker(commandInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		led, ok := o.config.Node.Leads()
		if !ok {
			epoch = 0
			continue
		}
		if epoch == 0 || led != since {
			nonce = uuid.NewString()
			since = led
			epoch = o.beginEpoch(ctx, nonce)
		}
		if epoch != 0 {
			o.issueCommands(ctx, epoch, since)
		}
	}
}

// beginEpoch asks the log for a new epoch; zero means that it was not granted.
func (o *Owner) beginEpoch(ctx context.Context, nonce string) uint64 {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	r, err := o.config.Node.Propose(ctx, Command{Epoch: &Epoch{Owner: string(o.config.Server.MemberID()), Nonce: nonce}})
	if err != nil {
		return 0
	}
	return r.Epoch
}

func (o *Owner) issueCommands(ctx context.Context, epoch uint64, since time.Time) {
	now := time.Now()
	t := o.config.Node.Tables()
	reports := o.endpointReports(now)
	for _, order := range fence.Plan(versionNeeds(t), reports, since, now) {
		p, ok := t.Pools[order.Pool]
		if !ok {
			continue
		}
		e, ok := p.Endpoint(order.Endpoint)
		if !ok || !o.markBusy(order.Endpoint, now) {
			continue
		}
		o.running.Go(func() { o.executeCommand(ctx, epoch, order, e.Addr) })
	}
}

// versionNeeds lists what the table wants of the endpoints of model pools.
func versionNeeds(t *table.Tables) []fence.Need {
	var all []fence.Need
	for _, p := range t.Pools {
		if p.Kind != table.Model {
			continue
		}
		for _, e := range p.Endpoints {
			all = append(all, fence.Need{Pool: p.Name, Endpoint: e.Name, Version: p.Version})
		}
	}
	return all
}

// endpointReports turns the roster into what the plan needs; an order under way counts as loading.
func (o *Owner) endpointReports(now time.Time) map[string]fence.Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := map[string]fence.Report{}
	for _, e := range o.config.Server.Nodes(now) {
		if e.Endpoint == "" || e.Load == nil {
			continue
		}
		r := fence.Report{
			Endpoint: e.Endpoint, Heard: true, At: e.At, Version: e.Load.GetVersion(),
			Loading: e.Load.GetLoading(), Down: e.Load.GetDown() || !e.Live,
		}
		if _, ok := o.busy[e.Endpoint]; ok && r.Loading == "" {
			r.Loading = "ordered"
		}
		found[e.Endpoint] = r
	}
	return found
}

func (o *Owner) markBusy(endpoint string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.busy[endpoint]; ok {
		return false
	}
	o.busy[endpoint] = now
	return true
}

// executeCommand sends one order and waits for its end.
func (o *Owner) executeCommand(ctx context.Context, epoch uint64, order fence.Order, to netip.AddrPort) {
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.busy, order.Endpoint)
	}()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o.config.Events.Emit(event.Ordered, "endpoint", order.Endpoint, "weights", order.Version, "epoch", epoch)
	if err := o.sendCommand(ctx, epoch, order, to); err != nil {
		o.config.Events.Emit(event.OrderBad, "endpoint", order.Endpoint, "weights", order.Version, "err", err)
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

func (o *Owner) sendCommand(ctx context.Context, epoch uint64, order fence.Order, to netip.AddrPort) error {
	s, err := o.config.Pool.Open(ctx, to)
	if err != nil {
		return err
	}
	defer s.Close()
	s.SetDeadline(time.Now().Add(orderTimeout))
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	frame := &wire.Order{Epoch: epoch, Id: uuid.NewString(), Endpoint: order.Endpoint, Kind: fence.LoadVersion, Version: order.Version}
	if err := s.Send(&wire.Frame{Body: &wire.Frame_Order{Order: frame}}); err != nil {
		return err
	}
	got, err := s.Recv()
	if err != nil {
		return err
	}
	if done := got.GetDone(); done == nil || !done.GetOk() {
		return Malformed.New("order refused: %s", done.GetText())
	}
	return nil
}

// housekeepingLoop follows the platform's list and forgets nodes that are gone for good.
func (o *Owner) housekeepingLoop(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	pruned := time.Now()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		since, ok := o.config.Node.Leads()
		if !ok {
			continue
		}
		o.syncLeaving(ctx)
		if now := time.Now(); now.Sub(pruned) > pruneInterval {
			pruned = now
			o.config.Server.currentRoster().Prune(now)
			o.unregisterSilent(ctx, since, now)
		}
	}
}

func (o *Owner) syncLeaving(ctx context.Context) {
	if o.config.Leaving == nil {
		return
	}
	leaving, err := o.config.Leaving(ctx)
	if err != nil {
		// A list that can't be read says nothing new.
		return
	}
	slices.Sort(leaving)
	if slices.Equal(leaving, o.config.Node.View().Leaving) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	// A failure is made good at the next look.
	_, _ = o.config.Node.Propose(ctx, Command{Leave: &Leave{Endpoints: leaving}})
}

// unregisterSilent takes nodes off the register that nobody has heard for forgetTime.
func (o *Owner) unregisterSilent(ctx context.Context, since, now time.Time) {
	if now.Sub(since) < unregisterDelay {
		return
	}
	heard := map[string]bool{}
	for _, e := range o.config.Server.Nodes(now) {
		heard[e.Node] = true
	}
	var drop []string
	for name := range o.config.Node.Registered() {
		if !heard[name] {
			drop = append(drop, name)
		}
	}
	if len(drop) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, _ = o.config.Node.Propose(ctx, Command{Drop: drop})
}

// Close stops giving orders; those under way are broken off here, not at the engine.
func (o *Owner) Close() {
	o.cancel()
	o.running.Wait()
}
