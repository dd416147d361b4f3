// Package conf reads and validates settings files.
//
// It owns the settings' types, keys and default values, and the rules for rejecting
// a file. It starts nothing: prog starts the process from validated Settings.
package conf

import (
	"errors"
	"fmt"
	"math"
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
	// Unreadable reports a file that can't be read or is not valid TOML.
	Unreadable = namespace.NewType("unreadable")
	// Invalid reports a file with unknown keys or invalid values.
	Invalid = namespace.NewType("invalid")
)

// Settings configures one process. The sections that are present determine its roles.
type Settings struct {
	Node    string           `toml:"node" doc:"Name of this process; unique in the system."`
	Place   string           `toml:"place" doc:"Data centre of this process."`
	Data    string           `toml:"data" doc:"Directory for persistent state. Required on control VMs and on stores with a disk tier; optional elsewhere."`
	Control []netip.AddrPort `toml:"control" doc:"Addresses on which the control VMs listen for other processes (their wire.listen)."`
	Via     []netip.AddrPort `toml:"via" doc:"Addresses (wire.listen) of relays in the same data centre. Tables are requested from them before the control VMs."`
	Wire    Wire             `toml:"wire" doc:"Connections between the system's own processes."`
	Log     Log              `toml:"log" doc:"Event log."`
	Ops     Ops              `toml:"ops" doc:"Metrics and health checks."`
	Memory  Memory           `toml:"memory" doc:"Memory that clients may make the process hold."`
	Entry   *Entry           `toml:"entry" doc:"Present on processes that serve client requests."`
	Member  *Member          `toml:"member" doc:"Present on control VMs."`
	Agent   *Agent           `toml:"agent" doc:"Present on agents, the processes that run beside an endpoint."`
	Store   *Store           `toml:"store" doc:"Present on store VMs."`
}

// Wire configures connections between processes.
type Wire struct {
	Listen  netip.AddrPort `toml:"listen" doc:"Address to listen on for other processes."`
	Secrets []string       `toml:"secrets" doc:"Shared secrets of at least 16 bytes each. The process authenticates itself with the first and accepts peers that use any of them. Reloaded on SIGHUP."`
	File    string         `toml:"file" doc:"File with one secret per line, used instead of secrets."`
	// MaxHandshakes bounds peers that connect and don't authenticate.
	MaxHandshakes int `toml:"handshakes" doc:"Maximum number of connections whose peers haven't authenticated yet. 64 if unset. Beyond it the oldest of the address with the most of them is closed."`
}

// Log configures the event log.
type Log struct {
	JSON  bool   `toml:"json" doc:"Write JSON lines instead of logfmt."`
	Level string `toml:"level" doc:"Lowest level that is written: debug, info, warn or error. If unset, all levels are written."`
	Queue int    `toml:"queue" doc:"Maximum number of lines queued for a slow reader. When the queue is full, lines are dropped, those below warn first. 4096 if unset."`
}

// Ops configures the listener for metrics and health checks.
type Ops struct {
	Listen netip.AddrPort `toml:"listen" doc:"Address that serves /metrics, /healthz and /readyz. If unset, they are not served."`
	// MaxConns bounds connections that don't count among the callers'.
	MaxConns int `toml:"conns" doc:"Maximum number of connections at this address, and of connections at member.admin. 32 if unset. Beyond it idle connections and incomplete requests give way."`
}

// Entry configures the listener for client requests and the limits on them.
type Entry struct {
	Listen          netip.AddrPort `toml:"listen" doc:"Address to listen on for client requests."`
	Keys            string         `toml:"keys" doc:"File of the clients' API keys, as account = [\"sha256 of key\"]. Reloaded on SIGHUP."`
	CertFile        string         `toml:"cert" doc:"Certificate file for HTTPS. If unset, the listener speaks plain HTTP."`
	KeyFile         string         `toml:"secret" doc:"Private key file for HTTPS."`
	Body            int64          `toml:"body" doc:"Maximum size of a request body, in bytes." default:"16777216"`
	Open            int            `toml:"open" doc:"Maximum number of concurrent requests." default:"4096"`
	Share           int            `toml:"share" doc:"Maximum number of concurrent requests of one account." default:"1024"`
	Header          value.Span     `toml:"header" doc:"Timeout for reading a request's headers." default:"10s"`
	Read            value.Span     `toml:"read" doc:"Timeout for reading a complete request." default:"1m0s"`
	Write           value.Span     `toml:"write" doc:"Timeout of a write to a client that reads no bytes of its response." default:"30s"`
	DrainDelay      value.Span     `toml:"notice" doc:"On shutdown, time between failing /readyz and rejecting new requests." default:"2s"`
	ShutdownTimeout value.Span     `toml:"grace" doc:"On shutdown, maximum wait for open requests." default:"5m0s"`
}

// Member configures a control VM.
type Member struct {
	Members          []quorum.Member `toml:"members" doc:"Initial control VMs of the system; the same list on each."`
	Start            string          `toml:"start" doc:"new on the first start of the system, join on a control VM that is added later. Ignored if the data directory already holds state."`
	Admin            netip.AddrPort  `toml:"admin" doc:"Address of the administration API."`
	Operators        string          `toml:"operators" doc:"File of the operators' API keys. Reloaded on SIGHUP."`
	Platform         string          `toml:"platform" doc:"File or http URL of the platform's list of VMs."`
	Age              value.Span      `toml:"age" doc:"How long responses to non-idempotent requests are kept." default:"24h0m0s"`
	MaxResponseBytes int             `toml:"answers" doc:"Maximum total size of these responses, in bytes." default:"8388608"`
}

// Agent configures the process that runs beside an endpoint.
type Agent struct {
	Pool            string         `toml:"pool" doc:"Name of the endpoint's pool."`
	Endpoint        string         `toml:"endpoint" doc:"Name of the endpoint in the pool."`
	Kind            string         `toml:"kind" doc:"model for a model engine, service for any other HTTP service."`
	Backend         netip.AddrPort `toml:"backend" doc:"Address on which the endpoint listens."`
	BlockNameSecret string         `toml:"chain" doc:"Secret that seeds the names of cached KV blocks; the same on all agents. At least 16 bytes if kind is model."`
	MaxRunning      int            `toml:"slots" doc:"Maximum number of requests that the endpoint runs concurrently." default:"16"`
	MaxQueued       int            `toml:"waiting" doc:"Maximum number of requests queued for the endpoint." default:"256"`
	PrefillRate     float64        `toml:"prefill" doc:"Prefill rate assumed until it has been measured, in tokens per second." default:"10000"`
	Call            value.Span     `toml:"call" doc:"Timeout of a call to an endpoint of kind service." default:"30s"`
	ShutdownTimeout value.Span     `toml:"grace" doc:"On shutdown, maximum wait for accepted requests." default:"5m0s"`
}

// Store configures a store VM.
type Store struct {
	Pool     string  `toml:"pool" doc:"Name of the store's pool."`
	Memory   int64   `toml:"memory" doc:"Capacity for blocks in memory, in bytes." default:"1073741824"`
	Disk     int64   `toml:"disk" doc:"Capacity for blocks on disk, in the data directory, in bytes." default:"0"`
	MaxShare float64 `toml:"share" doc:"Largest fraction of the capacity that one account may use while other accounts need space." default:"0.5"`
}

// Load reads a settings file, sets default values and validates it.
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

// Problem is a reason why settings are rejected.
type Problem struct {
	// Key is the setting, such as entry.open; empty if the text is no TOML.
	Key string
	// Line is set if the text is no TOML or a value has the wrong type.
	Line int
	// Text is the reason; it includes the key.
	Text string
}

// Parse decodes settings, sets default values and validates them.
func Parse(text string) (*Settings, error) {
	s, problems := Check(text)
	if s != nil {
		return s, nil
	}
	reasons := make([]string, len(problems))
	for i, p := range problems {
		reasons[i] = p.Text
	}
	if problems[0].Line > 0 {
		return nil, Unreadable.New("%s", strings.Join(reasons, "; "))
	}
	return nil, Invalid.New("%s", strings.Join(reasons, "; "))
}

// Check decodes settings, sets default values and validates them. It returns the settings, or nil and all problems; the
// first value of a wrong type is the only problem.
func Check(text string) (*Settings, []Problem) {
	s := &Settings{}
	meta, err := toml.Decode(text, s)
	if err != nil {
		p := Problem{Line: 1, Text: tomlReason(err)}
		if e, ok := errors.AsType[toml.ParseError](err); ok {
			p.Key, p.Line = e.LastKey, e.Position.Line
		}
		return nil, []Problem{p}
	}
	var problems []Problem
	for _, k := range meta.Undecoded() {
		problems = append(problems, Problem{Key: k.String(), Text: "unknown key: " + k.String()})
	}
	s.SetDefaults()
	if problems = append(problems, s.Validate()...); len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

func tomlReason(err error) string {
	if p, ok := err.(toml.ParseError); ok {
		return fmt.Sprintf("line %d: %s", p.Position.Line, p.Message)
	}
	return err.Error()
}

// Validate returns the problems of the settings.
func (s *Settings) Validate() []Problem {
	c := &checker{}
	c.requireSet("node", s.Node != "", "names this process")
	c.requireSet("place", s.Place != "", "names the data centre")
	c.requireSet("wire.listen", s.Wire.Listen.IsValid(), "is the address for other processes of the system")
	c.requireSet("wire.secrets", len(s.Wire.Secrets) > 0 || s.Wire.File != "", "authenticates processes to each other")
	for i, secret := range s.Wire.Secrets {
		c.requireValid(fmt.Sprintf("wire.secrets[%d]", i), len(secret) >= 16, "must have at least 16 bytes")
	}
	c.requireSet("control", len(s.Control) > 0, "lists the control VMs")
	c.requireValid("log.level", s.Log.Level == "" || event.Level(s.Log.Level) == nil, "must be debug, info, warn or error")
	c.requireValid("log.queue", s.Log.Queue >= 0, "must not be negative")
	s.Memory.check(c)
	c.requireValid("ops.conns", s.Ops.MaxConns >= 0, "must not be negative")
	c.requireValid("wire.handshakes", s.Wire.MaxHandshakes >= 0, "must not be negative")
	c.requireValid("roles", s.Entry != nil || s.Member != nil || s.Agent != nil || s.Store != nil, "at least one of the sections [entry], [member], [agent] and [store] is required")
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

type checker struct{ problems []Problem }

func (c *checker) requireSet(key string, ok bool, purpose string) {
	if !ok {
		c.problems = append(c.problems, Problem{Key: key, Text: fmt.Sprintf("%s is missing: it %s", key, purpose)})
	}
}

func (c *checker) requireValid(key string, ok bool, reason string) {
	if !ok {
		c.problems = append(c.problems, Problem{Key: key, Text: fmt.Sprintf("%s: %s", key, reason)})
	}
}

func (e *Entry) check(c *checker) {
	c.requireSet("entry.listen", e.Listen.IsValid(), "is the address for client requests")
	c.requireSet("entry.keys", e.Keys != "", "names the file of the clients' API keys")
	c.requireValid("entry.cert", (e.CertFile == "") == (e.KeyFile == ""), "cert and secret must be set together")
	c.requireValid("entry.body", e.Body > 0, "must be positive")
	c.requireValid("entry.open", e.Open > 0, "must be positive")
	c.requireValid("entry.share", e.Share > 0, "must be positive")
}

func (m *Member) check(c *checker, data string) {
	c.requireSet("data", data != "", "is the directory for the state of a control VM")
	c.requireSet("member.members", len(m.Members) > 0, "lists the initial control VMs")
	c.requireValid("member.start", m.Start == "" || m.Start == "new" || m.Start == "join", "must be new or join")
	c.requireSet("member.admin", m.Admin.IsValid(), "is the address of the administration API")
	c.requireSet("member.operators", m.Operators != "", "names the file of the operators' API keys")
	ids := value.Set[string]{}
	for i, v := range m.Members {
		key := fmt.Sprintf("member.members[%d]", i)
		c.requireValid(key, v.ID != "" && v.Addr.IsValid(), "needs id and addr")
		c.requireValid(key, !ids.Has(string(v.ID)), "duplicates the id of another member")
		ids.Add(string(v.ID))
	}
}

func (a *Agent) check(c *checker) {
	c.requireSet("agent.pool", a.Pool != "", "names the endpoint's pool")
	c.requireSet("agent.endpoint", a.Endpoint != "", "names the endpoint")
	c.requireSet("agent.backend", a.Backend.IsValid(), "is the address on which the endpoint listens")
	c.requireValid("agent.kind", a.Kind == "model" || a.Kind == "service", "must be model or service")
	c.requireValid("agent.chain", a.Kind != "model" || len(a.BlockNameSecret) >= 16, "must have at least 16 bytes if kind is model")
	c.requireValid("agent.slots", a.MaxRunning > 0, "must be positive")
	c.requireValid("agent.waiting", a.MaxQueued > 0, "must be positive")
	c.requireValid("agent.prefill", a.PrefillRate > 0 && !math.IsInf(a.PrefillRate, 1), "must be positive and finite")
}

func (s *Store) check(c *checker, data string) {
	c.requireSet("store.pool", s.Pool != "", "names the store's pool")
	c.requireValid("store.memory", s.Memory > 0, "must be positive")
	c.requireValid("store.disk", s.Disk >= 0, "must not be negative")
	c.requireValid("store.disk", s.Disk == 0 || data != "", "requires data, the directory for the blocks")
	c.requireValid("store.share", s.MaxShare > 0 && s.MaxShare <= 1, "must be above 0 and at most 1")
}
