// Package node assembles one process from its settings.
//
// It owns the goroutines, sockets and files that a process needs for its roles, and
// the order in which they are started and stopped. A request reaches the process
// through the servers opened here and is then served by the packages of the roles
// (entry, agent, store, ctrl, admin). Package prog starts processes from the command line.
package node

import (
	"cmp"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"

	"egretshunt/admin"
	"egretshunt/agent"
	"egretshunt/board"
	"egretshunt/body"
	"egretshunt/build"
	"egretshunt/conf"
	"egretshunt/conns"
	"egretshunt/ctrl"
	"egretshunt/disk"
	"egretshunt/entry"
	"egretshunt/event"
	"egretshunt/ledger"
	"egretshunt/limit"
	"egretshunt/quorum"
	"egretshunt/store"
	"egretshunt/table"
	"egretshunt/wire"
)

var (
	namespace = errorx.NewNamespace("node")
	// Failed is the type of errors of a process that could not start or can't do its work.
	Failed = namespace.NewType("failed")
)

// peerIdleTimeout is how long a connection to another process may stay unused before it is closed.
const peerIdleTimeout = 2 * time.Minute

// Process is a running process with its roles. Fields of roles that the settings leave out are nil.
type Process struct {
	settings   *conf.Settings
	events     *event.Log
	wireKeys   *wire.Keys
	peerPool   *wire.Pool
	wireServer *wire.Server
	dataFolder *disk.Dir
	follower   *ctrl.Follower
	client     *ctrl.Client
	metrics    *metrics.Set
	// budget is the owner of the memory that the process spends on traffic.
	budget *limit.Budget

	entry        *entry.Entry
	keyring      *entry.Keyring
	callerServer *http.Server
	// callerConns are those of callerServer.
	callerConns   *conns.Conns
	agent         *agent.Agent
	store         *store.Store
	blockStore    *store.Service
	member        *ctrl.Node
	peers         *ctrl.Peers
	controlServer *ctrl.Server
	commandIssuer *ctrl.CommandIssuer
	adminAPI      *admin.API
	adminServer   *http.Server
	opsServer     *http.Server
	stopReaper    context.CancelFunc
}

// Start starts a process with all roles of the settings. It writes log lines to out.
func Start(s *conf.Settings, out io.Writer) (*Process, error) {
	p := &Process{settings: s, events: event.New(event.Config{
		Out: out, Node: s.Node, JSON: s.Log.JSON, Level: s.Log.Level, Queue: cmp.Or(s.Log.Queue, event.DefaultQueue),
	}), metrics: metrics.NewSet()}
	for _, step := range []func() error{
		p.startBudget, p.startPeerPool, p.openDataFolder, p.startMember, p.startFollower, p.startStore, p.startAgent,
		p.startWireServer, p.startCommandIssuer, p.startEntry, p.startAdminServer, p.startOpsServer,
	} {
		if err := step(); err != nil {
			p.Kill()
			return nil, err
		}
	}
	build.Register(p.metrics)
	running := build.Read()
	p.events.Emit(event.Started, "place", s.Place, "wire", s.Wire.Listen.String(), "revision", running.Revision, "binary", running.ID)
	return p, nil
}

func (p *Process) secrets() ([]string, error) {
	if p.settings.Wire.File != "" {
		return conf.LoadSecrets(p.settings.Wire.File)
	}
	return p.settings.Wire.Secrets, nil
}

func (p *Process) startPeerPool() error {
	secrets, err := p.secrets()
	if err != nil {
		return err
	}
	p.wireKeys, err = wire.NewKeys(secrets...)
	if err != nil {
		return Failed.Wrap(err, "read wire secrets")
	}
	p.peerPool = wire.NewPool(wire.PoolConfig{Keys: p.wireKeys, RevisionTracker: revisionTracker{p}, IdleTimeout: peerIdleTimeout})
	p.client = ctrl.NewClient(ctrl.ClientConfig{Pool: p.peerPool, Control: func() []netip.AddrPort { return p.settings.Control }})
	ctx, cancel := context.WithCancel(context.Background())
	p.stopReaper = cancel
	go func() {
		t := time.NewTicker(peerIdleTimeout / 4)
		defer t.Stop()
		for {
			select {
			case now := <-t.C:
				p.peerPool.CloseIdle(now)
			case <-ctx.Done():
				return
			}
		}
	}()
	return nil
}

// revisionTracker implements wire.RevisionTracker with the table revision that this process has
// installed.
type revisionTracker struct{ process *Process }

// ObserveRevision implements wire.RevisionTracker.
func (c revisionTracker) ObserveRevision(rev uint64) {
	if c.process.follower != nil {
		c.process.follower.ObserveRevision(rev)
	}
}

func (p *Process) openDataFolder() error {
	if p.settings.Data == "" {
		return nil
	}
	dataFolder, err := disk.Open(p.settings.Data)
	if err != nil {
		return Failed.Wrap(err, "open data folder %s", p.settings.Data)
	}
	p.dataFolder = dataFolder
	return nil
}

func (p *Process) startMember() error {
	m := p.settings.Member
	if m == nil {
		return nil
	}
	members, err := p.initialMembers()
	if err != nil {
		return err
	}
	p.peers = ctrl.NewPeers(p.peerPool)
	p.member, err = ctrl.NewNode(ctrl.NodeConfig{
		ID: quorum.ID(p.settings.Node), Members: members, FS: p.dataFolder, Transport: p.peers, Events: p.events,
		Ledger: ledger.Config{Age: m.Age.Duration, Bytes: m.MaxResponseBytes},
	})
	if err != nil {
		return Failed.Wrap(err, "start control VM")
	}
	return nil
}

// initialMembers returns the quorum group that an empty data folder starts with. A VM
// that lost its data folder must not vote under its old name, because it may have
// voted before.
func (p *Process) initialMembers() (quorum.Members, error) {
	m := p.settings.Member
	files, err := p.dataFolder.List()
	if err != nil {
		return quorum.Members{}, Failed.Wrap(err, "list data folder")
	}
	empty := true
	for _, n := range files {
		empty = empty && (n == "lock" || n == "tables")
	}
	members := quorum.Members{Voters: m.Members}
	isVoter := members.HasVoter(quorum.ID(p.settings.Node))
	switch {
	case !empty:
		return members, nil
	case m.Start == "new" && isVoter, m.Start == "join" && !isVoter:
		return members, nil
	case m.Start == "join":
		return members, Failed.New("member.start is join, but member.members lists this VM: give it a new node name and add it with ctl members add or replace")
	}
	return members, Failed.New("data folder %s holds no state, but member.start is not new: if this VM lost its disk, replace it with ctl members replace", p.settings.Data)
}

func (p *Process) startFollower() error {
	s := p.settings
	c := ctrl.FollowerConfig{Node: s.Node, Place: s.Place, Role: p.role(), Pool: p.peerPool, Events: p.events, Upstreams: p.upstreams}
	if p.dataFolder != nil {
		c.FS = p.dataFolder
	}
	if s.Agent != nil {
		c.Endpoint = s.Agent.Endpoint
		c.EndpointLoad = func() *wire.Load {
			if p.agent == nil {
				return nil
			}
			return p.agent.Load()
		}
	}
	follower, err := ctrl.NewFollower(c)
	if err != nil {
		return Failed.Wrap(err, "start the table follower")
	}
	p.follower = follower
	return nil
}

func (p *Process) role() string {
	switch s := p.settings; {
	case s.Entry != nil:
		return "entry"
	case s.Agent != nil:
		return "agent"
	case s.Store != nil:
		return "store"
	}
	return "control"
}

// upstreams returns the addresses to pull tables from. A control VM pulls from the leader, any other
// process from the relays in Via before the control VMs.
func (p *Process) upstreams() []netip.AddrPort {
	if p.member != nil {
		status := p.member.Status()
		if leader, ok := status.Members.Find(status.Leader); ok {
			return []netip.AddrPort{leader.Addr}
		}
		return nil
	}
	return append(append([]netip.AddrPort{}, p.settings.Via...), p.settings.Control...)
}

func (p *Process) startStore() error {
	s := p.settings.Store
	if s == nil {
		return nil
	}
	c := store.Config{Memory: s.Memory, Disk: s.Disk, MaxShare: s.MaxShare, Events: p.events}
	if s.Disk > 0 {
		c.FS = p.dataFolder
	}
	blockStore, err := store.New(c)
	if err != nil {
		return Failed.Wrap(err, "start store")
	}
	p.store = blockStore
	p.blockStore = store.NewService(store.ServiceConfig{Store: blockStore, Pool: s.Pool, Tables: p.follower.Tables})
	return nil
}

func (p *Process) startAgent() error {
	a := p.settings.Agent
	if a == nil {
		return nil
	}
	c := agent.Config{
		Pool: a.Pool, Endpoint: a.Endpoint, Kind: table.Kind(a.Kind), BlockKey: []byte(a.BlockNameSecret), MaxRunning: a.MaxRunning, MaxQueued: a.MaxQueued,
		PrefillRate: a.PrefillRate, CallTimeout: a.Call.Duration, Follower: p.follower, Control: p.client, Peers: p.peerPool, Events: p.events, Budget: p.budget,
	}
	if c.Kind == table.Model {
		c.Backend = agent.NewEngine(a.Backend)
	} else {
		c.Backend = agent.NewService(a.Backend)
	}
	p.agent = agent.New(c)
	return nil
}

func (p *Process) startWireServer() error {
	if p.member != nil {
		p.controlServer = ctrl.NewServer(ctrl.ServerConfig{Node: p.member, Follower: p.follower})
	}
	wireServer, err := wire.Serve(wire.ServerConfig{Addr: p.settings.Wire.Listen, Keys: p.wireKeys, RevisionTracker: revisionTracker{p}, Handle: p.handleStream, MaxHandshakes: p.settings.Wire.MaxHandshakes})
	if err != nil {
		return Failed.Wrap(err, "listen for peer processes")
	}
	p.wireServer = wireServer
	return nil
}

// handleStream dispatches a stream to the role that handles its first frame.
func (p *Process) handleStream(ctx context.Context, s *wire.Stream) {
	s.SetDeadline(time.Now().Add(wire.DialTimeout))
	first, err := s.Recv()
	if err != nil {
		return
	}
	s.SetDeadline(time.Time{})
	switch first.GetBody().(type) {
	case *wire.Frame_Offer, *wire.Frame_Resume, *wire.Frame_Revoke, *wire.Frame_Watch, *wire.Frame_Order:
		if p.agent != nil {
			p.agent.Handle(ctx, s, first)
		}
	case *wire.Frame_Find, *wire.Frame_Read, *wire.Frame_Block:
		if p.blockStore != nil {
			p.blockStore.Handle(ctx, s, first)
		}
	case *wire.Frame_Pull:
		if p.controlServer != nil {
			p.controlServer.Handle(ctx, s, first)
		} else {
			p.follower.RelayPulls(ctx, s, first.GetPull())
		}
	default:
		if p.controlServer != nil {
			p.controlServer.Handle(ctx, s, first)
		}
	}
}

func (p *Process) startCommandIssuer() error {
	if p.member == nil {
		return nil
	}
	p.commandIssuer = ctrl.NewCommandIssuer(ctrl.CommandIssuerConfig{
		Node: p.member, Server: p.controlServer, Pool: p.peerPool, Events: p.events, Draining: newPlatformListReader(p.settings.Member.Platform),
	})
	return nil
}

func (p *Process) startEntry() error {
	s := p.settings.Entry
	if s == nil {
		return nil
	}
	callerKeys, err := conf.LoadKeys(s.Keys)
	if err != nil {
		return err
	}
	p.keyring = entry.NewKeyring(callerKeys)
	p.entry = entry.New(entry.Config{
		Owner: ctrl.ClaimOwner(p.settings.Node, p.follower.Incarnation()), Keys: p.keyring, Follower: p.follower, Control: p.client, AgentConns: p.peerPool, Events: p.events,
		MaxBody: s.Body, MaxOpenRequests: s.Open, MaxOpenPerAccount: s.Share, WriteTimeout: s.Write.Duration, Budget: p.budget, Seed: uint64(time.Now().UnixNano()),
	})
	p.callerServer = &http.Server{Handler: p.entry.Handler(), ReadTimeout: s.Read.Duration}
	limits := board.Limits{Header: maxCallerHeaderBytes, HeaderTimeout: s.Header.Duration, IdleTimeout: time.Minute}
	p.callerConns = conns.Track(p.callerServer, func() board.Limits { return limits })
	p.callerConns.Bound(p.budget)
	if s.CertFile != "" {
		cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
		if err != nil {
			return Failed.Wrap(err, "load TLS certificate")
		}
		p.callerServer.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}}
	}
	l, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return Failed.Wrap(err, "listen for callers")
	}
	l = p.callerConns.Listener(l)
	if p.callerServer.TLSConfig != nil {
		l = tls.NewListener(l, p.callerServer.TLSConfig)
	}
	body.Serve(p.callerServer, l)
	return nil
}

// maxCallerHeaderBytes bounds the headers of a caller's request.
const maxCallerHeaderBytes = 64 << 10

func (p *Process) startAdminServer() error {
	m := p.settings.Member
	if m == nil {
		return nil
	}
	operators, err := conf.LoadOperators(m.Operators)
	if err != nil {
		return err
	}
	p.adminAPI = admin.New(admin.Config{Node: p.member, Server: p.controlServer, Client: p.client, Budget: p.budget, Operators: operators, Events: p.events})
	p.adminServer = &http.Server{Handler: p.adminAPI.Handler()}
	return p.servePort(p.adminServer, m.Admin, "operators", true)
}

func (p *Process) startOpsServer() error {
	p.registerMetrics()
	if !p.settings.Ops.Listen.IsValid() {
		return nil
	}
	p.opsServer = &http.Server{Handler: p.opsHandler()}
	return p.servePort(p.opsServer, p.settings.Ops.Listen, "metrics", false)
}
