// Package fence ensures that only the leader of the current epoch commands the engines.
//
// It owns the fencing check that an agent makes for engines that don't check epochs themselves,
// and the plans by which the epoch's owner spreads weight loads. It performs no I/O: ctrl plans
// and sends commands, agent checks them and passes them on to the engine.
package fence

import (
	"sort"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("fence")
	// StaleEpoch reports a command from an epoch that has ended.
	StaleEpoch = namespace.NewType("old")
	// EpochUnconfirmed reports a command that arrived before control confirmed the epoch.
	EpochUnconfirmed = namespace.NewType("unsure")
)

// Kinds of command.
const (
	LoadVersion = "load"
	SetRole     = "role"
)

// EpochCheck is the fencing check: it accepts only commands of the highest epoch. The zero value
// rejects all commands. EpochCheck is not safe for concurrent use.
//
// The load pattern is a change of leader under load: commands of the old leader that are still on
// the way must not reach an engine after those of the new one.
type EpochCheck struct {
	epoch     uint64
	confirmed bool
}

// Confirm records the epoch that control reports as current. After a restart the check rejects all
// commands until then, because the epochs seen before the restart are lost.
func (c *EpochCheck) Confirm(epoch uint64) {
	c.epoch = max(c.epoch, epoch)
	c.confirmed = true
}

// Verify accepts a command of the given epoch, or returns the reason why it may not reach the
// engine.
func (c *EpochCheck) Verify(epoch uint64) error {
	if !c.confirmed {
		return EpochUnconfirmed.New("control has not confirmed the epoch since this agent started")
	}
	if epoch < c.epoch {
		return StaleEpoch.New("command has stale epoch %d; the current epoch is %d", epoch, c.epoch)
	}
	c.epoch = epoch
	return nil
}

// Epoch returns the highest epoch seen.
func (c *EpochCheck) Epoch() uint64 { return c.epoch }

// Report is the last report of an agent on its endpoint.
type Report struct {
	Pool, Endpoint string
	// Received is false until the first report since the owner's epoch began.
	Received bool
	At       time.Time
	Version  string
	Loading  string
	Down     bool
}

// TargetVersion is the version that the table specifies for an endpoint.
type TargetVersion struct {
	Pool, Endpoint string
	Version        string
}

// Order is a command to an endpoint to load a version.
type Order struct {
	Pool, Endpoint string
	Version        string
}

// Limits of a plan.
const (
	// MaxConcurrentLoads is how many weight loads run at the same time in the whole system.
	MaxConcurrentLoads = 2
	// ReportTimeout is how long an endpoint without a report counts as possibly loading.
	ReportTimeout = 5 * time.Second
)

// PlanLoads returns the commands to send now. epochStart is when the owner's epoch began: an
// endpoint without a report since then may still execute a command of the previous owner, and
// counts as loading until it reports or ReportTimeout has passed. No pool loses more than half of
// its serving endpoints at the same time, and none its last one unless it has no other.
//
// The load pattern is new weights loaded while traffic continues: each load takes an endpoint out
// of service.
func PlanLoads(needs []TargetVersion, reports map[string]Report, epochStart, now time.Time) []Order {
	sort.Slice(needs, func(i, j int) bool { return needs[i].Endpoint < needs[j].Endpoint })
	pools := map[string]*poolCounts{}
	loads := 0
	for _, n := range needs {
		pool := pools[n.Pool]
		if pool == nil {
			pool = &poolCounts{}
			pools[n.Pool] = pool
		}
		pool.size++
		r := reports[n.Endpoint]
		switch {
		case !r.Received && now.Sub(epochStart) < ReportTimeout:
			loads++
		case !r.Received || r.Down || now.Sub(r.At) > ReportTimeout:
		case r.Loading != "":
			loads++
		default:
			pool.serving++
		}
	}
	var commands []Order
	for _, n := range needs {
		r := reports[n.Endpoint]
		ready := r.Received && !r.Down && r.Loading == "" && now.Sub(r.At) <= ReportTimeout
		if !ready || r.Version == n.Version || loads >= MaxConcurrentLoads {
			continue
		}
		pool := pools[n.Pool]
		if pool.size > 1 && (pool.serving-1)*2 < pool.size {
			continue
		}
		pool.serving--
		loads++
		commands = append(commands, Order(n))
	}
	return commands
}

// poolCounts counts a pool's endpoints and those that serve.
type poolCounts struct {
	size, serving int
}
