package slopes

import "strings"

// The size that the deployment is planned to reach in two years, as the users stated it.
// Requests and tokens are rates per second; the limits apply to control work.
const (
	plannedNodes        = 370
	plannedWorkers      = 600
	plannedRequestRate  = 8_900.0
	plannedTokenRate    = 2_200_000.0
	plannedAccounts     = 20_000
	plannedPrompts      = 1_300_000
	plannedDailyChanges = 1_500
	coreLimitPercent    = 1.7
	memLimitMB          = 32.0
	trafficLimitKBps    = 6.0
	mebibyte            = 1 << 20
)

// plannedFollowers is the number of processes that follow the tables: nodes, one agent for
// each worker, and 40 stores.
const plannedFollowers = plannedNodes + plannedWorkers + 40

// SeriesOrder lists the series in the order of the page.
var SeriesOrder = []string{
	"bytes", "change", "cpu", "memory", "force", "slowest", "burst", "tables", "whole", "apply", "decide",
	"claims", "claim50", "claim99", "added50", "added99", "share", "saturation", "percall", "streams", "blocks", "reserve",
}

// Figures extrapolates the measured series to the planned size.
func (d Data) Figures() []Row {
	at := func(name string, size float64) float64 { return d.SeriesByName[name].At(size) }
	slopeOf := func(name string) float64 {
		_, slope := d.SeriesByName[name].Fit()
		return slope
	}
	lastValue := func(name string) float64 {
		p := d.SeriesByName[name].Points
		if len(p) == 0 {
			return 0
		}
		return p[len(p)-1].Value
	}
	perChange := at("change", plannedFollowers)
	return []Row{
		{Role: "each node", Figure: "control traffic, 1,500 changes a day", Value: (lastValue("bytes") + perChange*plannedDailyChanges/86400) / 1024, Unit: "KB/s", Target: trafficLimitKBps, Mechanism: "pulls held for a second, differences (`ctrl.Follow`, `table.Since`)"},
		{Role: "each node", Figure: "control processor, both ends", Value: slopeOf("cpu") * 100, Unit: "% of a core", Target: coreLimitPercent, Mechanism: "one stream for pulls, one for reports"},
		{Role: "each node", Figure: "control memory: tables of 20,000 accounts, connections", Value: (at("tables", plannedAccounts) + slopeOf("memory")) / mebibyte, Unit: "MB", Target: memLimitMB, Mechanism: "one immutable snapshot, shared rows (`table.Tables`)"},
		{Role: "each node", Figure: "accepted to in force, slowest of 20, straight from control", Value: at("slowest", plannedFollowers) / 1000, Unit: "s", Target: 14, Mechanism: "held pulls answer at once; relays per place (`ctrl.Follow.Relay`)"},
		{Role: "each node", Figure: "a burst of 50 changes in force", Value: at("burst", plannedFollowers) / 1000, Unit: "s", Target: 14, Mechanism: "a difference carries all changes since the last pull"},
		{Role: "each node", Figure: "a restart: whole snapshot, before compression", Value: at("whole", plannedAccounts) / mebibyte, Unit: "MB", Mechanism: "kept tables on disk, then a difference (`ctrl` cache file)"},
		{Role: "control VM", Figure: "followers of one leader without relays", Value: plannedFollowers, Unit: "streams pairs", Mechanism: "relays per place: 5 places × 2 relays leave 10 to the leader"},
		{Role: "control VM", Figure: "processor to apply the day's changes", Value: at("apply", plannedAccounts) * plannedDailyChanges / 86400 / 1e6 * 100, Unit: "% of a core", Target: coreLimitPercent, Mechanism: "copy-on-write of the two maps"},
		{Role: "control VM", Figure: "claims at a hundredth of the requests being bookings", Value: plannedRequestRate / 100, Unit: "claims/s", Target: lastValue("claims"), Mechanism: "group commit (`ctrl.Node`), one group of `ledger.Key.Shard`"},
		{Role: "control VM", Figure: "memory of claims kept for a day at that rate, 400 B each", Value: plannedRequestRate / 100 * 86400 * 400 / mebibyte, Unit: "MB", Target: memLimitMB, Mechanism: "`ledger.Config.Count` bounds it at 200,000 claims, so that answers are kept for 40 minutes", Remedy: "sharding by `ledger.Key.Shard` and claims on disk beyond the newest"},
		{Role: "entry", Figure: "processor at one node's share, 24 requests/s and 6,000 tokens/s", Value: lastValue("share") * 100, Unit: "% of a core", Target: 10, Mechanism: "pieces relayed as they come (`entry.relay`)", Remedy: "several tokens in one piece at the agent when the endpoint is faster than 20 ms a token"},
		{Role: "entry", Figure: "added to a direct call by entry and agent, p50", Value: lastValue("added50"), Unit: "ms", Target: 0.3, Mechanism: "one stream an offer on a kept connection", Remedy: "fewer goroutine hand-overs an offer"},
		{Role: "entry", Figure: "added to a direct call by entry and agent, p99", Value: lastValue("added99"), Unit: "ms", Target: 1, Mechanism: "the same", Remedy: "the same, and a machine that measures with nothing beside it"},
		{Role: "entry", Figure: "saturation of one entry", Value: lastValue("saturation"), Unit: "calls/s", Mechanism: "bounded by this machine, which runs callers and endpoints too"},
		{Role: "entry", Figure: "one decision over 600 endpoints", Value: at("decide", plannedWorkers), Unit: "µs", Target: 20, Mechanism: "rendezvous thins to 16 candidates (`route.Plan.Consider`)"},
		{Role: "entry", Figure: "memory of its open streams (24/s × 10 s)", Value: slopeOf("streams") * 240 / mebibyte, Unit: "MB", Mechanism: "windows of 256 KB, filled only by slow callers"},
		{Role: "entry", Figure: "memory of hints for its share of returning prompts", Value: plannedPrompts / plannedNodes * 150.0 / mebibyte, Unit: "MB", Mechanism: "`value.Cache`, at most 100,000; rendezvous needs none"},
		{Role: "entry", Figure: "load reports if it watched all 600 workers", Value: plannedWorkers * 80.0 / 1024, Unit: "KB/s", Target: trafficLimitKBps, Mechanism: "only endpoints in use are watched, for a minute (`entry.peers`)", Remedy: "reports on answers alone, and watching the 16 candidates' endpoints by chance"},
		{Role: "agent", Figure: "connections from all entries", Value: plannedNodes, Unit: "connections", Mechanism: "idle ones are closed after two minutes (`wire.Pool.Reap`)"},
		{Role: "agent", Figure: "tokens relayed a second", Value: plannedTokenRate / plannedWorkers, Unit: "tokens/s", Mechanism: "one goroutine reads the endpoint, one writes the stream"},
		{Role: "store", Figure: "index of a million blocks", Value: at("blocks", 1e6) / mebibyte, Unit: "MB", Mechanism: "`block.Index`"},
		{Role: "store", Figure: "index for 1.3 million prompts of 20 blocks on 40 stores", Value: at("blocks", plannedPrompts*20.0/40) / mebibyte, Unit: "MB", Mechanism: "rendezvous over stores (`route.Nearest`)"},
	}
}

// Markers around the generated parts of the page.
const (
	beginPoints = "<!-- points -->"
	endPoints   = "<!-- /points -->"
	beginRows   = "<!-- rows -->"
	endRows     = "<!-- /rows -->"
)

// FillPage replaces the generated parts of the page.
func (d Data) FillPage(page string) string {
	page = replaceBetween(page, beginPoints, endPoints, d.Points(SeriesOrder))
	return replaceBetween(page, beginRows, endRows, Rows(d.Figures()))
}

func replaceBetween(page, begin, end, text string) string {
	head, rest, ok := strings.Cut(page, begin)
	if !ok {
		return page
	}
	_, tail, ok := strings.Cut(rest, end)
	if !ok {
		return page
	}
	return head + begin + "\n" + text + end + tail
}
