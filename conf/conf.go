// Package conf reads and checks settings files.
//
// It owns the shape of the settings, their defaults and the reasons for refusing
// a file. It starts nothing: prog does, from a checked Settings.
package conf

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/joomcode/errorx"

	"egretshunt/event"
	"egretshunt/quorum"
	"egretshunt/value"
)

var (
	namespace = errorx.NewNamespace("conf")
	// Unreadable reports a file that can't be read or is not TOML.
	Unreadable = namespace.NewType("unreadable")
	// Invalid reports a file with unknown keys or impossible values.
	Invalid = namespace.NewType("invalid")
)

// Settings configure one process. Sections that are present decide its roles.
type Settings struct {
	Node    string           `toml:"node" doc:"Name of this process, unique in the system."`
	Place   string           `toml:"place" doc:"Data centre that this process stands in."`
	Data    string           `toml:"data" doc:"Folder for durable state; needed by control VMs and by stores with a disk tier, optional elsewhere."`
	Control []netip.AddrPort `toml:"control" doc:"Wire addresses of the control VMs."`
	Via     []netip.AddrPort `toml:"via" doc:"Wire addresses of relays of this place, tried before the control VMs for tables."`
	Wire    Wire             `toml:"wire" doc:"Connections between the system's own processes."`
	Log     Log              `toml:"log" doc:"Events."`
	Ops     Ops              `toml:"ops" doc:"Metrics and health."`
	Entry   *Entry           `toml:"entry" doc:"Present on processes that serve callers."`
	Member  *Member          `toml:"member" doc:"Present on control VMs."`
	Agent   *Agent           `toml:"agent" doc:"Present on the process beside an endpoint."`
	Store   *Store           `toml:"store" doc:"Present on store VMs."`
}

// Wire configures connections between processes.
type Wire struct {
	Listen  netip.AddrPort `toml:"listen" doc:"Address to listen on for other processes."`
	Secrets []string       `toml:"secrets" doc:"Shared secrets of at least 16 bytes: the first is shown, all are accepted. Read again on SIGHUP."`
	File    string         `toml:"file" doc:"File with one secret a line, in place of secrets."`
}

// Log configures events.
type Log struct {
	JSON  bool   `toml:"json" doc:"Writes JSON lines in place of logfmt."`
	Level string `toml:"level" doc:"Lowest level written: debug, info, warn or error; all when missing."`
	Queue int    `toml:"queue" doc:"Lines that may wait for a slow reader before some are dropped, those below warn first; 4096 when missing."`
}

// Ops configures the listener for metrics and health.
type Ops struct {
	Listen netip.AddrPort `toml:"listen" doc:"Address of /metrics, /healthz and /readyz; none when missing."`
}

// Entry configures the callers' side.
type Entry struct {
	Listen netip.AddrPort `toml:"listen" doc:"Address to listen on for callers."`
	Keys   string         `toml:"keys" doc:"File of callers' keys: account = [\"sha256 of key\"]. Read again on SIGHUP."`
	Cert   string         `toml:"cert" doc:"Certificate file for HTTPS; plain HTTP when missing."`
	Secret string         `toml:"secret" doc:"Private key file for HTTPS."`
	Body   int64          `toml:"body" doc:"Largest request body, in bytes." default:"16777216"`
	Open   int            `toml:"open" doc:"Requests served at once." default:"4096"`
	Share  int            `toml:"share" doc:"Requests of one account served at once." default:"1024"`
	Header value.Span     `toml:"header" doc:"Time for a request's headers to come." default:"10s"`
	Read   value.Span     `toml:"read" doc:"Time for a whole request to come." default:"1m0s"`
	Write  value.Span     `toml:"write" doc:"Time that a caller may take no bytes of its answer." default:"30s"`
	Notice value.Span     `toml:"notice" doc:"Time between failing /readyz and refusing new requests on shutdown." default:"2s"`
	Grace  value.Span     `toml:"grace" doc:"Longest wait for open requests on shutdown." default:"5m0s"`
}

// Member configures a control VM.
type Member struct {
	Members   []quorum.Member `toml:"members" doc:"The first control VMs of the system, the same on each."`
	Start     string          `toml:"start" doc:"new on the very first start of the system, join on a VM that is to be added later. Ignored once there is state in the data folder."`
	Admin     netip.AddrPort  `toml:"admin" doc:"Address of the administration API."`
	Operators string          `toml:"operators" doc:"File of operators' keys. Read again on SIGHUP."`
	Platform  string          `toml:"platform" doc:"File or http URL of the platform's list of VMs."`
	Age       value.Span      `toml:"age" doc:"How long answers of non-idempotent requests are kept." default:"24h0m0s"`
	Answers   int             `toml:"answers" doc:"Bytes of such answers kept." default:"8388608"`
}

// Agent configures the process beside an endpoint.
type Agent struct {
	Pool     string         `toml:"pool" doc:"Name of the endpoint's pool."`
	Endpoint string         `toml:"endpoint" doc:"Name of the endpoint in the pool."`
	Kind     string         `toml:"kind" doc:"model or service."`
	Backend  netip.AddrPort `toml:"backend" doc:"Address of the endpoint itself."`
	Chain    string         `toml:"chain" doc:"Secret that seeds the names of kept blocks; the same on all agents."`
	Slots    int            `toml:"slots" doc:"Requests run on the endpoint at once." default:"16"`
	Waiting  int            `toml:"waiting" doc:"Requests that may wait for it." default:"256"`
	Prefill  float64        `toml:"prefill" doc:"Prefill rate before it was measured, in tokens a second." default:"10000"`
	Call     value.Span     `toml:"call" doc:"Longest call of a plain service." default:"30s"`
	Grace    value.Span     `toml:"grace" doc:"Longest wait for accepted requests on shutdown." default:"5m0s"`
}

// Store configures a store VM.
type Store struct {
	Pool   string  `toml:"pool" doc:"Name of the store's pool."`
	Memory int64   `toml:"memory" doc:"Bytes of blocks kept in memory." default:"1073741824"`
	Disk   int64   `toml:"disk" doc:"Bytes of blocks kept on disk, under data." default:"0"`
	Share  float64 `toml:"share" doc:"Part that one account may take while others need room." default:"0.5"`
}

// Load reads, completes and checks a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Unreadable.Wrap(err, "read settings")
	}
	s, err := Parse(string(text))
	if err != nil {
		return nil, errorx.Decorate(err, "%s", path)
	}
	return s, nil
}

// Parse reads, completes and checks settings.
func Parse(text string) (*Settings, error) {
	s := &Settings{}
	meta, err := toml.Decode(text, s)
	if err != nil {
		return nil, Unreadable.New("%s", tomlReason(err))
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		names := make([]string, len(unknown))
		for i, k := range unknown {
			names[i] = k.String()
		}
		return nil, Invalid.New("unknown key: %s", strings.Join(names, ", "))
	}
	s.Complete()
	if problems := s.Check(); len(problems) > 0 {
		return nil, Invalid.New("%s", strings.Join(problems, "; "))
	}
	return s, nil
}

func tomlReason(err error) string {
	if p, ok := err.(toml.ParseError); ok {
		return fmt.Sprintf("line %d: %s", p.Position.Line, p.Message)
	}
	return err.Error()
}

// Check returns what is wrong, each with its key and the reason.
func (s *Settings) Check() []string {
	c := &checker{}
	c.requireSet("node", s.Node != "", "names this process")
	c.requireSet("place", s.Place != "", "names the data centre")
	c.requireSet("wire.listen", s.Wire.Listen.IsValid(), "is where other processes reach this one")
	c.requireSet("wire.secrets", len(s.Wire.Secrets) > 0 || s.Wire.File != "", "authenticates processes to each other")
	for i, secret := range s.Wire.Secrets {
		c.requireValid(fmt.Sprintf("wire.secrets[%d]", i), len(secret) >= 16, "must have at least 16 bytes")
	}
	c.requireSet("control", len(s.Control) > 0, "lists the control VMs")
	c.requireValid("log.level", s.Log.Level == "" || event.Level(s.Log.Level) == nil, "must be debug, info, warn or error")
	c.requireValid("log.queue", s.Log.Queue >= 0, "can't be negative")
	c.requireValid("roles", s.Entry != nil || s.Member != nil || s.Agent != nil || s.Store != nil, "there is no [entry], [member], [agent] or [store] section")
	if s.Entry != nil {
		s.Entry.check(c)
	}
	if s.Member != nil {
		s.Member.check(c, s.Data)
	}
	if s.Agent != nil {
		s.Agent.check(c)
	}
	if s.Store != nil {
		s.Store.check(c, s.Data)
	}
	return c.problems
}

type checker struct{ problems []string }

func (c *checker) requireSet(key string, ok bool, purpose string) {
	if !ok {
		c.problems = append(c.problems, fmt.Sprintf("%s is missing: it %s", key, purpose))
	}
}

func (c *checker) requireValid(key string, ok bool, reason string) {
	if !ok {
		c.problems = append(c.problems, fmt.Sprintf("%s: %s", key, reason))
	}
}

func (e *Entry) check(c *checker) {
	c.requireSet("entry.listen", e.Listen.IsValid(), "is where callers reach this process")
	c.requireSet("entry.keys", e.Keys != "", "names the file of callers' keys")
	c.requireValid("entry.cert", (e.Cert == "") == (e.Secret == ""), "cert and secret go together")
	c.requireValid("entry.body", e.Body > 0, "must be above zero")
	c.requireValid("entry.open", e.Open > 0, "must be above zero")
	c.requireValid("entry.share", e.Share > 0, "must be above zero")
}

func (m *Member) check(c *checker, data string) {
	c.requireSet("data", data != "", "is where a control VM keeps its state")
	c.requireSet("member.members", len(m.Members) > 0, "lists the first control VMs")
	c.requireValid("member.start", m.Start == "" || m.Start == "new" || m.Start == "join", "must be new or join")
	c.requireSet("member.admin", m.Admin.IsValid(), "is where operators reach this process")
	c.requireSet("member.operators", m.Operators != "", "names the file of operators' keys")
	seen := value.Set[string]{}
	for i, v := range m.Members {
		key := fmt.Sprintf("member.members[%d]", i)
		c.requireValid(key, v.ID != "" && v.Addr.IsValid(), "needs id and addr")
		c.requireValid(key, !seen.Has(string(v.ID)), "has the same id as another one")
		seen.Add(string(v.ID))
	}
}

func (a *Agent) check(c *checker) {
	c.requireSet("agent.pool", a.Pool != "", "names the endpoint's pool")
	c.requireSet("agent.endpoint", a.Endpoint != "", "names the endpoint")
	c.requireSet("agent.backend", a.Backend.IsValid(), "is where the endpoint listens")
	c.requireValid("agent.kind", a.Kind == "model" || a.Kind == "service", "must be model or service")
	c.requireValid("agent.chain", a.Kind != "model" || len(a.Chain) >= 16, "must have at least 16 bytes beside a model engine")
	c.requireValid("agent.slots", a.Slots > 0, "must be above zero")
	c.requireValid("agent.waiting", a.Waiting > 0, "must be above zero")
	c.requireValid("agent.prefill", a.Prefill > 0, "must be above zero")
}

func (s *Store) check(c *checker, data string) {
	c.requireSet("store.pool", s.Pool != "", "names the store's pool")
	c.requireValid("store.memory", s.Memory > 0, "must be above zero")
	c.requireValid("store.disk", s.Disk >= 0, "must not be negative")
	c.requireValid("store.disk", s.Disk == 0 || data != "", "needs data, the folder to keep blocks in")
	c.requireValid("store.share", s.Share > 0 && s.Share <= 1, "must be above 0 and at most 1")
}
