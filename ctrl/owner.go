package ctrl

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"egretshunt/event"
	"egretshunt/fence"
	"egretshunt/member"
	"egretshunt/table"
	"egretshunt/value"
	"egretshunt/wire"
)

const (
	// commandInterval is how often the owner plans commands.
	commandInterval = 200 * time.Millisecond
	// commandTimeout bounds one command, including the load of weights that it causes.
	commandTimeout = 60 * time.Second
	// unregisterDelay is how long a node without reports stays registered.
	unregisterDelay = time.Hour
	// pruneInterval is how often the roster is pruned and silent nodes are unregistered.
	pruneInterval = 30 * time.Second
)

// CommandIssuerConfig constructs a CommandIssuer.
type CommandIssuerConfig struct {
	Node   *Node
	Server *Server
	Pool   *wire.Pool
	Events *event.Log
	// Draining returns the endpoints that are draining or being removed according to the
	// platform's list; nil when there is no list.
	Draining func(ctx context.Context) ([]string, error)
}

// CommandIssuer issues commands to engines while its control VM leads. Each epoch has exactly one
// owner, so that engines can reject commands of a former leader.
type CommandIssuer struct {
	config  CommandIssuerConfig
	cancel  context.CancelFunc
	running sync.WaitGroup

	// mu guards busy.
	mu sync.Mutex
	// busy holds the endpoints with a command in flight, and since when.
	busy map[string]time.Time
}

// NewCommandIssuer starts issuing commands.
func NewCommandIssuer(c CommandIssuerConfig) *CommandIssuer {
	if c.Events == nil {
		c.Events = event.Discard()
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &CommandIssuer{config: c, cancel: cancel, busy: map[string]time.Time{}}
	o.running.Go(func() { o.run(ctx) })
	o.running.Go(func() { o.housekeepingLoop(ctx) })
	return o
}

// run issues commands under a new epoch for each leadership term of this member.
func (o *CommandIssuer) run(ctx context.Context) {
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
		leadingSince, ok := o.config.Node.IsLeader()
		if !ok {
			epoch = 0
			continue
		}
		if epoch == 0 || leadingSince != since {
			nonce = uuid.NewString()
			since = leadingSince
			epoch = o.beginEpoch(ctx, nonce)
		}
		if epoch != 0 {
			o.issueCommands(ctx, epoch, since)
		}
	}
}

// beginEpoch proposes a new epoch; it returns zero if that failed.
func (o *CommandIssuer) beginEpoch(ctx context.Context, nonce string) uint64 {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	r, err := o.config.Node.Propose(ctx, Command{Epoch: &Epoch{CommandIssuer: string(o.config.Server.MemberID()), Nonce: nonce}})
	if err != nil {
		return 0
	}
	return r.Epoch
}

func (o *CommandIssuer) issueCommands(ctx context.Context, epoch uint64, since time.Time) {
	now := time.Now()
	t := o.config.Node.Tables()
	endpointReports := o.endpointReports(now)
	for _, command := range fence.PlanLoads(versionNeeds(t), endpointReports, since, now) {
		p, ok := t.Pools[command.Pool]
		if !ok {
			continue
		}
		e, ok := p.Endpoint(command.Endpoint)
		if !ok || !o.markBusy(command.Endpoint, now) {
			continue
		}
		o.running.Go(func() { o.executeCommand(ctx, epoch, command, e.Addr) })
	}
}

// versionNeeds returns the weights version that the tables require of each endpoint of the
// model pools.
func versionNeeds(t *table.Tables) []fence.TargetVersion {
	var all []fence.TargetVersion
	for _, p := range t.Pools {
		if p.Kind != table.Model {
			continue
		}
		for _, e := range p.Endpoints {
			all = append(all, fence.TargetVersion{Pool: p.Name, Endpoint: e.Name, Version: p.Version})
		}
	}
	return all
}

// endpointReports returns the reports of the endpoints by name; one with a command in flight
// counts as loading.
func (o *CommandIssuer) endpointReports(now time.Time) map[string]fence.Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := map[string]fence.Report{}
	for _, e := range o.config.Server.Nodes(now) {
		if e.Endpoint == "" || e.Load == nil {
			continue
		}
		r := fence.Report{
			Endpoint: e.Endpoint, Received: true, At: e.At, Version: e.Load.GetVersion(),
			Loading: e.Load.GetLoading(), Down: e.Load.GetDown() || !e.Live,
		}
		if _, ok := o.busy[e.Endpoint]; ok && r.Loading == "" {
			r.Loading = "ordered"
		}
		found[e.Endpoint] = r
	}
	return found
}

func (o *CommandIssuer) markBusy(endpoint string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.busy[endpoint]; ok {
		return false
	}
	o.busy[endpoint] = now
	return true
}

// executeCommand sends one command and waits until the engine has carried it out.
func (o *CommandIssuer) executeCommand(ctx context.Context, epoch uint64, command fence.Order, to netip.AddrPort) {
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.busy, command.Endpoint)
	}()
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	o.config.Events.Emit(event.CommandSent, "endpoint", command.Endpoint, "weights", command.Version, "epoch", epoch)
	if err := o.sendCommand(ctx, epoch, command, to); err != nil {
		o.config.Events.Emit(event.CommandFailed, "endpoint", command.Endpoint, "weights", command.Version, "err", err)
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

func (o *CommandIssuer) sendCommand(ctx context.Context, epoch uint64, command fence.Order, to netip.AddrPort) error {
	s, err := o.config.Pool.Open(ctx, to)
	if err != nil {
		return err
	}
	defer s.Close()
	s.SetDeadline(time.Now().Add(commandTimeout))
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	frame := &wire.Order{Epoch: epoch, Id: uuid.NewString(), Endpoint: command.Endpoint, Kind: fence.LoadVersion, Version: command.Version}
	if err := s.Send(&wire.Frame{Body: &wire.Frame_Order{Order: frame}}); err != nil {
		return err
	}
	reply, err := s.Recv()
	if err != nil {
		return err
	}
	if done := reply.GetDone(); done == nil || !done.GetOk() {
		return Malformed.New("engine rejected the command: %s", done.GetText())
	}
	return nil
}

// housekeepingLoop replicates the platform's list of leaving endpoints and unregisters nodes
// that no longer report.
func (o *CommandIssuer) housekeepingLoop(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	pruned := time.Now()
	var leadingSince time.Time
	var silence *member.Silence
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		since, ok := o.config.Node.IsLeader()
		if !ok {
			continue
		}
		if silence == nil || !since.Equal(leadingSince) {
			// Nodes report to each new leader from its beginning.
			leadingSince, silence = since, member.NewSilence()
		}
		o.syncLeaving(ctx)
		if now := time.Now(); now.Sub(pruned) > pruneInterval {
			pruned = now
			o.config.Server.currentRoster().RemoveStale(now)
			o.unregisterSilent(ctx, silence, now)
		}
	}
}

func (o *CommandIssuer) syncLeaving(ctx context.Context) {
	if o.config.Draining == nil {
		return
	}
	leaving, err := o.config.Draining(ctx)
	if err != nil {
		// Keep the present list until the platform's can be read.
		return
	}
	slices.Sort(leaving)
	if slices.Equal(leaving, o.config.Node.View().Draining) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	// The next round retries after a failure.
	_, _ = o.config.Node.Propose(ctx, Command{Leave: &Leave{Endpoints: leaving}})
}

// unregisterSilent unregisters the nodes of which the roster has held no report for unregisterDelay.
func (o *CommandIssuer) unregisterSilent(ctx context.Context, silence *member.Silence, now time.Time) {
	reporting := value.SetOf[string]()
	for _, e := range o.config.Server.Nodes(now) {
		reporting.Add(e.Node)
	}
	drop := silence.Overdue(slices.Collect(maps.Keys(o.config.Node.Registered())), reporting, unregisterDelay, now)
	if len(drop) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	// The next round retries after a failure.
	_, _ = o.config.Node.Propose(ctx, Command{UnregisterNodes: drop})
}

// Close stops issuing commands. It no longer waits for those in flight, which the engines
// still carry out.
func (o *CommandIssuer) Close() {
	o.cancel()
	o.running.Wait()
}
