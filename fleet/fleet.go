package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/conf"
	"egretshunt/entry"
	"egretshunt/fake"
	"egretshunt/node"
	"egretshunt/quorum"
	"egretshunt/table"
	"egretshunt/value"
)

var (
	namespace = errorx.NewNamespace("fleet")
	// Failed reports a deployment that could not be started, configured or reached.
	Failed = namespace.NewType("failed")
)

const (
	wireSecret  = "demo secret of the wire, no secret at all"
	chainSecret = "demo secret of the chains, none either"
)

// Fleet is a running deployment.
type Fleet struct {
	Shape Shape
	dir   string
	log   io.Writer

	// The fields up to mu are immutable after Start.
	Engines    map[string]*fake.Engine
	Services   map[string]*fake.Service
	settings   map[string]*conf.Settings
	startOrder []string
	Entries    []string
	Agents     []string
	Stores     []string

	// mu guards running.
	mu      sync.Mutex
	running map[string]*node.Process
}

// Start starts a deployment with its data and settings in dir, and waits until its tables are in force.
func Start(ctx context.Context, shape Shape, dir string, log io.Writer) (*Fleet, error) {
	f, err := NewFleet(shape, dir, log)
	if err != nil {
		return nil, err
	}
	for _, name := range f.startOrder {
		if err := f.Run(name); err != nil {
			f.Close()
			return nil, err
		}
	}
	if err := f.ApplyTables(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// NewFleet starts the fake engines and services and derives the settings of every process, but
// starts no process.
func NewFleet(shape Shape, dir string, log io.Writer) (*Fleet, error) {
	f := &Fleet{
		Shape: shape, dir: dir, log: log, Engines: map[string]*fake.Engine{}, Services: map[string]*fake.Service{},
		settings: map[string]*conf.Settings{}, running: map[string]*node.Process{},
	}
	if err := f.writeKeys(); err != nil {
		return nil, err
	}
	for _, step := range []func() error{f.planEntries, f.planStores, f.planWorkers, f.planHelpers} {
		if err := step(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) path(name string) string { return filepath.Join(f.dir, name) }

func (f *Fleet) writeKeys() error {
	var keys bytes.Buffer
	for n := range f.Shape.Accounts {
		fmt.Fprintf(&keys, "%q = [%q]\n", f.Shape.Account(n), entry.HashKey(f.Shape.Key(n)))
	}
	operators := fmt.Sprintf("[[operator]]\nname = \"demo\"\nhash = %q\nrole = \"operator\"\n", entry.HashKey(OperatorKey))
	if err := os.WriteFile(f.path("keys.toml"), keys.Bytes(), 0o600); err != nil {
		return Failed.Wrap(err, "write client accounts' keys")
	}
	if err := os.WriteFile(f.path("operators.toml"), []byte(operators), 0o600); err != nil {
		return Failed.Wrap(err, "write operators' keys")
	}
	return nil
}

// Ports are in a range below the operating system's ephemeral ports; otherwise an outgoing
// connection could take a port between its selection and its use.
const (
	firstPort = 10_000
	lastPort  = 31_000
	// portsPerBlock is how many ports a process reserves at a time; one deployment needs fewer.
	portsPerBlock = 200
)

// portPool allocates loopback ports from blocks that this process reserves by listening on
// their first port until it exits. Otherwise, while a member restarts, another process's
// deployment could take its port.
var portPool struct {
	// mu guards the fields below.
	mu        sync.Mutex
	next      int
	end       int
	listeners []net.Listener
}

// claimPortBlock reserves the next block that no process has reserved. The caller holds portPool.mu.
func claimPortBlock() error {
	const blocks = (lastPort - firstPort) / portsPerBlock
	start := os.Getpid() % blocks
	for i := range blocks {
		first := firstPort + (start+i)%blocks*portsPerBlock
		l, err := net.Listen("tcp", loopback(first).String())
		if err != nil {
			continue
		}
		portPool.listeners = append(portPool.listeners, l)
		portPool.next, portPool.end = first+1, first+portsPerBlock
		return nil
	}
	return Failed.New("all port blocks from %d to %d are in use", firstPort, lastPort)
}

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}

// FreeAddr returns a loopback address that nothing listens on and that no other deployment gets.
func FreeAddr() (netip.AddrPort, error) {
	portPool.mu.Lock()
	defer portPool.mu.Unlock()
	for {
		if portPool.next == portPool.end {
			if err := claimPortBlock(); err != nil {
				return netip.AddrPort{}, err
			}
		}
		a := loopback(portPool.next)
		portPool.next++
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		l.Close()
		return a, nil
	}
}

// freeAddrs returns n addresses from FreeAddr.
func freeAddrs(n int) ([]netip.AddrPort, error) {
	out := make([]netip.AddrPort, n)
	for i := range out {
		var err error
		if out[i], err = FreeAddr(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (f *Fleet) newSettings(name, place string, listen netip.AddrPort) *conf.Settings {
	s := &conf.Settings{Node: name, Place: place, Wire: conf.Wire{Listen: listen, Secrets: []string{wireSecret}}}
	for _, e := range f.Entries {
		s.Control = append(s.Control, f.settings[e].Wire.Listen)
	}
	f.settings[name] = s
	f.startOrder = append(f.startOrder, name)
	return s
}

// planEntries plans one process per data centre that is both entry and control VM.
func (f *Fleet) planEntries() error {
	var members []quorum.Member
	var all []*conf.Settings
	for i, place := range f.Shape.Places {
		a, err := freeAddrs(4)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("entry-%d", i)
		s := f.newSettings(name, place, a[0])
		s.Data, s.Ops.Listen = f.path(name), a[3]
		s.Entry = &conf.Entry{Listen: a[1], Keys: f.path("keys.toml"), DrainDelay: value.SpanOf(200 * time.Millisecond)}
		s.Member = &conf.Member{Start: "new", Admin: a[2], Operators: f.path("operators.toml"), Platform: f.path("platform.json")}
		members = append(members, quorum.Member{ID: quorum.ID(name), Addr: a[0]})
		f.Entries = append(f.Entries, name)
		all = append(all, s)
	}
	for _, s := range all {
		s.Member.Members = members
		s.Control = nil
		for _, m := range members {
			s.Control = append(s.Control, m.Addr)
		}
		s.SetDefaults()
	}
	return nil
}

func (f *Fleet) place(i int) string { return f.Shape.Places[i%len(f.Shape.Places)] }

func (f *Fleet) planStores() error {
	for i := range f.Shape.Stores {
		a, err := FreeAddr()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("store-%d", i)
		s := f.newSettings(name, f.place(i), a)
		s.Data = f.path(name)
		s.Store = &conf.Store{Pool: StorePool, Memory: 64 << 20, Disk: 256 << 20}
		s.SetDefaults()
		f.Stores = append(f.Stores, name)
	}
	return nil
}

func (f *Fleet) planWorkers() error {
	for i := range f.Shape.Workers {
		e, err := fake.StartEngine(f.Shape.engine())
		if err != nil {
			return Failed.Wrap(err, "start fake engine")
		}
		name := fmt.Sprintf("worker-%d", i)
		f.Engines[name] = e
		if err := f.planAgent(name, WorkerPool, table.Model, i, e.Addr()); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) planHelpers() error {
	for i := range f.Shape.Helpers {
		s, err := fake.StartService(fake.ServiceConfig{Delay: time.Millisecond})
		if err != nil {
			return Failed.Wrap(err, "start fake service")
		}
		name := fmt.Sprintf("helper-%d", i)
		f.Services[name] = s
		if err := f.planAgent(name, HelperPool, table.Service, i, s.Addr()); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) planAgent(name, pool string, kind table.Kind, i int, backend netip.AddrPort) error {
	a, err := FreeAddr()
	if err != nil {
		return err
	}
	s := f.newSettings(name, f.place(i), a)
	s.Agent = &conf.Agent{
		Pool: pool, Endpoint: name, Kind: string(kind), Backend: backend, BlockNameSecret: chainSecret,
		PrefillRate: f.Shape.PrefillRate, Call: value.SpanOf(5 * time.Second),
	}
	s.SetDefaults()
	f.Agents = append(f.Agents, name)
	return nil
}

// Run starts the named process of the deployment inside this one.
func (f *Fleet) Run(name string) error {
	p, err := node.Start(f.settings[name], f.log)
	if err != nil {
		return Failed.Wrap(err, "start %s", name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[name] = p
	return nil
}

// Proc returns the named process, or nil if it isn't running.
func (f *Fleet) Proc(name string) *node.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[name]
}

// Kill stops the named process abruptly, as a crash would.
func (f *Fleet) Kill(name string) {
	f.mu.Lock()
	p := f.running[name]
	delete(f.running, name)
	f.mu.Unlock()
	if p != nil {
		p.Kill()
	}
}

// StopGracefully shuts the named process down gracefully, as SIGTERM does, and returns the number
// of requests that were cut off.
func (f *Fleet) StopGracefully(ctx context.Context, name string) int {
	f.mu.Lock()
	p := f.running[name]
	delete(f.running, name)
	f.mu.Unlock()
	if p == nil {
		return 0
	}
	return p.Stop(ctx)
}

// Settings returns the settings of the named process.
func (f *Fleet) Settings(name string) *conf.Settings { return f.settings[name] }

// URL returns the base URL of the n-th entry for clients.
func (f *Fleet) URL(n int) string {
	return "http://" + f.settings[f.Entries[n%len(f.Entries)]].Entry.Listen.String()
}

// AdminURL returns the base URL of the n-th control VM's administration API.
func (f *Fleet) AdminURL(n int) string {
	return "http://" + f.settings[f.Entries[n%len(f.Entries)]].Member.Admin.String() + "/admin/v1"
}

// tables returns the rows of the shape's pool and route tables.
func (f *Fleet) tables() ([]*table.Pool, []*table.Route) {
	workers := &table.Pool{Name: WorkerPool, Place: f.Shape.Places[0], Kind: table.Model, Model: f.Shape.Model, Version: InitialVersion, Link: f.Shape.Link}
	helpers := &table.Pool{Name: HelperPool, Place: f.Shape.Places[0], Kind: table.Service, Lookup: "/outcome/KEY"}
	stores := &table.Pool{Name: StorePool, Place: f.Shape.Places[0], Kind: table.Store}
	for _, p := range []struct {
		pool  *table.Pool
		names []string
	}{{stores, f.Stores}, {workers, f.agentNames(WorkerPool)}, {helpers, f.agentNames(HelperPool)}} {
		for _, name := range p.names {
			p.pool.Endpoints = append(p.pool.Endpoints, table.Endpoint{Name: name, Addr: f.settings[name].Wire.Listen})
		}
	}
	return []*table.Pool{workers, helpers, stores}, f.Shape.routes()
}

func (f *Fleet) agentNames(pool string) []string {
	var names []string
	for _, a := range f.Agents {
		if f.settings[a].Agent.Pool == pool {
			names = append(names, a)
		}
	}
	return names
}

// ApplyTables writes the shape's tables through the administration API and waits until they are in
// force and every running process is fresh.
func (f *Fleet) ApplyTables(ctx context.Context) error {
	pools, routes := f.tables()
	rev := uint64(0)
	put := func(tableName, name string, row any) error {
		rowRev, err := f.Put(ctx, tableName, name, 0, row)
		rev = max(rev, rowRev)
		return err
	}
	for _, p := range pools {
		if err := put("pools", p.Name, p); err != nil {
			return err
		}
	}
	for _, r := range routes {
		if err := put("routes", r.Name, r); err != nil {
			return err
		}
	}
	if err := f.AwaitRevision(ctx, rev); err != nil {
		return err
	}
	return f.AwaitFresh(ctx, rev)
}

// AwaitFresh waits until every running process has installed revision rev and is fresh.
func (f *Fleet) AwaitFresh(ctx context.Context, rev uint64) error {
	for {
		lagging := ""
		for _, name := range f.startOrder {
			if p := f.Proc(name); p != nil && (p.Rev() < rev || !p.Fresh()) {
				lagging = name
			}
		}
		if lagging == "" {
			return nil
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return Failed.New("%s has not installed revision %d or is not fresh", lagging, rev)
		}
	}
}

// Names returns the names of all planned processes.
func (f *Fleet) Names() []string { return f.startOrder }

// Client returns an HTTP client with its own connection pool.
func Client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

// Send sends one request of the account with that number to the e-th entry, with key as its
// idempotency key if it isn't empty.
func (f *Fleet) Send(ctx context.Context, c *http.Client, e, account int, method, path string, body []byte, key string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, f.URL(e)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+f.Shape.Key(account))
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(entry.IdempotencyKeyHeader, key)
		// Without GetBody, net/http can't resend the request itself when a connection breaks.
		req.GetBody = nil
	}
	return c.Do(req)
}

// Close kills all processes and stops the fake engines and services.
func (f *Fleet) Close() {
	f.mu.Lock()
	procs := f.running
	f.running = map[string]*node.Process{}
	f.mu.Unlock()
	var kills sync.WaitGroup
	for _, p := range procs {
		kills.Go(p.Kill)
	}
	kills.Wait()
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.Services {
		s.Close()
	}
}
