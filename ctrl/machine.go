// Package ctrl runs the control plane: it does the I/O for the deterministic cores.
//
// It owns the driver of the replicated log (Node), the state machine that the
// log feeds (Machine), the distribution of tables to every node (Roster, Follower),
// the client for proposals (Client) and the issuer of commands to engines (CommandIssuer).
// The decisions are made in quorum, table, ledger, limit and fence, to which it
// passes time and messages. Requests are served from the local copies that it
// distributes; the log only carries changes: of tables, claims and the other replicated state.
package ctrl

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/fence"
	"egretshunt/ledger"
	"egretshunt/limit"
	"egretshunt/origin"
	"egretshunt/quorum"
	"egretshunt/table"
)

var (
	namespace = errorx.NewNamespace("ctrl")
	// NotLeader reports that this member can't accept proposals now.
	NotLeader = namespace.NewType("notleader")
	// OutcomeUnknown reports a proposal whose outcome is unknown; it may be sent again.
	OutcomeUnknown = namespace.NewType("unsure")
	// CommandConflict reports that an engine rejected a command because of another one.
	CommandConflict = namespace.NewType("conflict")
	// Busy reports a proposal that was rejected before it entered the log.
	Busy = namespace.NewType("busy")
	// Unreachable reports that no control VM responded in time.
	Unreachable = namespace.NewType("unreachable")
	// Malformed reports data from a peer or a file that can't be decoded.
	Malformed = namespace.NewType("malformed")
	// Stopped reports a node that was closed or that failed.
	Stopped = namespace.NewType("stopped")
)

// Command is one entry of the replicated log; exactly one pointer is set.
type Command struct {
	// Now is the group time. It never jumps, even if the wall clocks do.
	Now             time.Time          `json:"now"`
	Change          *table.Change      `json:"change,omitempty"`
	Claim           *ledger.Command    `json:"claim,omitempty"`
	Suspect         *limit.Command     `json:"suspect,omitempty"`
	Epoch           *Epoch             `json:"epoch,omitempty"`
	RegisterNodes   []NodeRegistration `json:"join,omitempty"`
	UnregisterNodes []string           `json:"drop,omitempty"`
	Leave           *Leave             `json:"leave,omitempty"`
	TableSet        *TableSetDocument  `json:"adopt,omitempty"`
	Weights         *Weights           `json:"weights,omitempty"`
	// Crashes attributes endpoint crashes to requests that were sent to endpoints without an agent.
	Crashes *limit.CrashCommand `json:"crashes,omitempty"`
	// PartCrashes does the same for parts of prompts at endpoints with an agent, whose quarantines are part of
	// the view.
	PartCrashes *limit.CrashCommand `json:"partcrashes,omitempty"`
	// Builds are the builds of endpoints' software that the list shows.
	Builds *Builds `json:"builds,omitempty"`
	// Starts are streams that began, by build.
	Starts []origin.Starts `json:"starts,omitempty"`
	// Evacuation begins or ends the evacuation of a place.
	Evacuation *Evacuation `json:"evacuation,omitempty"`
	// JoinGroup is a control VM's request to become a member; it is never an entry of the log.
	JoinGroup *quorum.Member `json:"meet,omitempty"`
	// LeaveGroup is a control VM's request to be removed, since it stops; it is never an entry of the log.
	LeaveGroup quorum.ID `json:"quit,omitempty"`
}

// TableSetDocument is a complete numbered table set as an operator sent it. The log keeps its
// bytes without interpreting them.
type TableSetDocument struct {
	Number uint64 `json:"number"`
	Body   []byte `json:"body"`
}

// Weights is the target version of a model's weights.
type Weights struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	// At is the group time at which the version became the target.
	At time.Time `json:"at"`
	// Targets are the latest versions that became the target, this one included, by group time.
	Targets fence.Targets `json:"targets,omitempty"`
}

// Epoch begins a new epoch of commands to engines. Repeating the latest request, with the
// same owner and nonce, returns the same epoch.
type Epoch struct {
	CommandIssuer string `json:"owner"`
	Nonce         string `json:"nonce"`
}

// NodeRegistration registers a node before control first confirms that its tables are fresh.
type NodeRegistration struct {
	Node  string `json:"node"`
	Role  string `json:"role"`
	Place string `json:"place"`
}

// Leave replaces the set of endpoints that the platform lists as draining or being removed.
type Leave struct {
	Endpoints []string `json:"endpoints"`
}

// Builds replaces the set of builds that the platform's list shows.
type Builds struct {
	Listed []origin.Build `json:"listed"`
}

// Result is the result of a command; the field of the command's kind is set.
type Result struct {
	Change  *table.Result `json:"change,omitempty"`
	Claim   *ledger.Reply `json:"claim,omitempty"`
	Verdict limit.Verdict `json:"verdict,omitempty"`
	Epoch   uint64        `json:"epoch,omitempty"`

	Evacuation *EvacuationResult `json:"evacuation,omitempty"`
}

// View is the small replicated state that every node holds in addition to the tables.
// A published view is immutable.
type View struct {
	// Rev is the log index of the last change.
	Rev      uint64          `json:"rev"`
	Suspects *limit.Suspects `json:"suspects"`
	Draining []string        `json:"leaving,omitempty"`
	// Parts lists the parts of prompts that were present at crashes of endpoints with an agent: agents report
	// responses to prompts with them that begin.
	Parts []string `json:"parts,omitempty"`
	Epoch uint64   `json:"epoch"`
	// Set is the table set in force; nil before the first.
	Set *TableSetDocument `json:"set,omitempty"`
	// Weights holds the latest target version of each model.
	Weights map[string]Weights `json:"weights,omitempty"`
	// Builds holds the builds of endpoints' software; nil before the list was first read.
	Builds *origin.History `json:"builds,omitempty"`
	// Places holds the places that are evacuated, and those that were lately, sorted by name.
	Places []PlaceState `json:"places,omitempty"`
}

// UnmarshalJSON decodes a view; one without suspects has an empty list of them.
func (v *View) UnmarshalJSON(data []byte) error {
	type fields View
	var decoded fields
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Malformed.Wrap(err, "read view")
	}
	decoded.Suspects = cmp.Or(decoded.Suspects, limit.NewSuspects())
	*v = View(decoded)
	return nil
}

// IsLeaving reports whether the endpoint is draining or being removed, according to the platform.
func (v *View) IsLeaving(endpoint string) bool { return slices.Contains(v.Draining, endpoint) }

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	now    time.Time
	tables *table.State
	ledger *ledger.State
	view   *View
	owner  Epoch
	nodes  map[string]NodeRegistration
	// crashes is no part of the view: only the fingerprints refused are sent to entries.
	crashes *limit.CrashTracker
	// origins is no part of the view: the leader answers for single streams.
	origins *origin.Register
	config  ledger.Config
}

// NewMachine returns the empty state of a new control group.
func NewMachine(c ledger.Config) *Machine {
	return &Machine{
		config:  c,
		tables:  table.NewState(),
		ledger:  ledger.NewState(c),
		view:    &View{Suspects: limit.NewSuspects()},
		nodes:   map[string]NodeRegistration{},
		crashes: limit.NewCrashTracker(),
		origins: origin.NewRegister(),
	}
}

// Apply applies the command at the given log index.
func (m *Machine) Apply(index uint64, c Command) Result {
	if c.Now.After(m.now) {
		m.now = c.Now
	}
	switch {
	case c.Change != nil:
		r := m.tables.Apply(*c.Change)
		return Result{Change: &r}
	case c.Claim != nil:
		return m.applyClaim(*c.Claim)
	case c.Suspect != nil:
		return m.applySuspect(index, *c.Suspect)
	case c.Epoch != nil:
		return m.applyEpoch(index, *c.Epoch)
	case c.Leave != nil:
		next := *m.view
		next.Draining = slices.Sorted(slices.Values(c.Leave.Endpoints))
		m.publishView(index, &next)
	case c.TableSet != nil:
		m.applyTableSet(index, c.TableSet)
	case c.Weights != nil:
		m.applyWeights(index, *c.Weights)
	case c.Crashes != nil:
		m.crashes = m.crashes.Apply(*c.Crashes, m.now)
	case c.PartCrashes != nil:
		m.applyPartCrashes(index, *c.PartCrashes)
	case c.Builds != nil:
		next := *m.view
		next.Builds = m.view.Builds.Observe(c.Builds.Listed, m.now)
		m.publishView(index, &next)
	case c.Evacuation != nil:
		return m.applyEvacuation(index, *c.Evacuation)
	case len(c.Starts) > 0:
		m.origins.Record(c.Starts, m.now)
	}
	for _, j := range c.RegisterNodes {
		m.nodes[j.Node] = j
	}
	for _, name := range c.UnregisterNodes {
		delete(m.nodes, name)
	}
	return Result{}
}

func (m *Machine) applyClaim(c ledger.Command) Result {
	duration := c.Until.Sub(c.At)
	c.At = m.now
	c.Until = m.now.Add(duration)
	r := m.ledger.Apply(c)
	if c.Op == ledger.OpSettle && r.Code == ledger.Granted {
		m.tables.AppendAudit(table.AuditRecord{
			At: m.now, Operator: c.Operator, Table: "unknown", Name: c.Account + "/" + c.Key.Key, Op: "settle " + c.Verdict,
		})
	}
	return Result{Claim: &r}
}

func (m *Machine) applySuspect(index uint64, c limit.Command) Result {
	c.At = m.now
	suspects, verdict := m.view.Suspects.Apply(c)
	next := *m.view
	next.Suspects = suspects
	m.publishView(index, &next)
	if c.Op == limit.OpClear || c.Op == limit.OpOperatorClear {
		m.crashes = m.crashes.Apply(limit.CrashCommand{Completed: c.Fingerprints}, m.now)
	}
	if c.Op == limit.OpOperatorClear && len(c.Fingerprints) > 0 {
		m.tables.AppendAudit(table.AuditRecord{At: m.now, Operator: c.Operator, Table: "suspects", Name: c.Account + "/" + c.Fingerprints[0], Op: "pardon"})
	}
	return Result{Verdict: verdict}
}

// applyPartCrashes counts the crashes that an agent reports, and publishes the parts that they quarantine and those on
// which agents must report.
func (m *Machine) applyPartCrashes(index uint64, c limit.CrashCommand) {
	former := m.crashes
	m.crashes = former.Apply(c, m.now)
	next := *m.view
	next.Parts = m.crashes.Verdicts(m.now).Parts
	quarantined := m.crashes.QuarantinedSince(former)
	for _, part := range quarantined {
		next.Suspects, _ = next.Suspects.Apply(limit.Command{Op: limit.OpQuarantine, Account: part.Account, Fingerprints: []string{part.Fingerprint}, At: m.now})
	}
	if len(quarantined) > 0 || !slices.Equal(next.Parts, m.view.Parts) {
		m.publishView(index, &next)
	}
}

func (m *Machine) applyEpoch(index uint64, e Epoch) Result {
	if e == m.owner {
		return Result{Epoch: m.view.Epoch}
	}
	m.owner = e
	next := *m.view
	next.Epoch++
	m.publishView(index, &next)
	return Result{Epoch: next.Epoch}
}

// applyTableSet puts a table set in force if its number is higher than that of the current one.
// A repeated or outdated set changes nothing.
func (m *Machine) applyTableSet(index uint64, d *TableSetDocument) {
	if m.view.Set != nil && d.Number <= m.view.Set.Number {
		return
	}
	next := *m.view
	next.Set = d
	m.publishView(index, &next)
}

// applyWeights records a newer target version of a model's weights; an older one changes nothing.
func (m *Machine) applyWeights(index uint64, w Weights) {
	if w.Version <= m.view.Weights[w.Model].Version {
		return
	}
	former := m.view.Weights[w.Model]
	w.At, w.Targets = m.now, former.Targets.With(fence.Target{Version: w.Version, At: m.now})
	if former.Version > 0 {
		w.Targets = w.Targets.With(fence.Target{Version: former.Version, At: former.At})
	}
	next := *m.view
	next.Weights = maps.Clone(next.Weights)
	if next.Weights == nil {
		next.Weights = map[string]Weights{}
	}
	next.Weights[w.Model] = w
	m.publishView(index, &next)
}

func (m *Machine) publishView(index uint64, v *View) {
	v.Rev = index
	m.view = v
}

type machineSnapshot struct {
	Now     time.Time                   `json:"now"`
	Tables  *table.State                `json:"tables"`
	Ledger  *ledger.State               `json:"ledger"`
	View    *View                       `json:"view"`
	Owner   Epoch                       `json:"owner"`
	Nodes   map[string]NodeRegistration `json:"nodes"`
	Crashes *limit.CrashTracker         `json:"crashes"`
	Origins *origin.Register            `json:"origins"`
}

// Save encodes the complete state.
func (m *Machine) Save() ([]byte, error) {
	data, err := json.Marshal(machineSnapshot{m.now, m.tables, m.ledger, m.view, m.owner, m.nodes, m.crashes, m.origins})
	if err != nil {
		return nil, Malformed.Wrap(err, "write snapshot")
	}
	return data, nil
}

// Restore replaces the complete state by one that Save encoded. What a snapshot lacks, or holds as null, is empty. After an
// error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	v := machineSnapshot{Ledger: ledger.NewState(m.config)}
	if err := json.Unmarshal(data, &v); err != nil {
		return Malformed.Wrap(err, "read snapshot")
	}
	empty := NewMachine(m.config)
	*m = Machine{
		now: v.Now, owner: v.Owner, config: m.config, nodes: v.Nodes,
		tables: cmp.Or(v.Tables, empty.tables), ledger: cmp.Or(v.Ledger, empty.ledger), view: cmp.Or(v.View, empty.view), crashes: cmp.Or(v.Crashes, empty.crashes),
		origins: cmp.Or(v.Origins, empty.origins),
	}
	if m.nodes == nil {
		m.nodes = empty.nodes
	}
	return nil
}

// Nodes returns a copy of the registered nodes.
func (m *Machine) Nodes() map[string]NodeRegistration { return maps.Clone(m.nodes) }
