package slopes

import "strings"

// The size that the deployment is planned to reach in two years, as the users stated it.
// Requests and tokens are rates per second. The limits bound the CPU, memory and
// traffic that control's work may use: distribution of tables, claims, load reports.
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
		{Role: "each node", Figure: "control traffic at 1,500 changes per day", Value: (lastValue("bytes") + perChange*plannedDailyChanges/86400) / 1024, Unit: "KB/s", Target: trafficLimitKBps, Mechanism: "pulls that wait for changes up to a second, and deltas (`ctrl.Follower`, `table.Tables.Since`)"},
		{Role: "each node", Figure: "CPU use of control, both ends of the connections", Value: slopeOf("cpu") * 100, Unit: "% of a core", Target: coreLimitPercent, Mechanism: "one stream for pulls, one for reports"},
		{Role: "each node", Figure: "memory of control: tables of 20,000 accounts, connections", Value: (at("tables", plannedAccounts) + slopeOf("memory")) / mebibyte, Unit: "MB", Target: memLimitMB, Mechanism: "one immutable snapshot that shares unchanged rows with the previous one (`table.Tables`)"},
		{Role: "each node", Figure: "time from acceptance of a change until it is in force, slowest of 20, pulled directly from control", Value: at("slowest", plannedFollowers) / 1000, Unit: "s", Target: 14, Mechanism: "a change ends waiting pulls at once; relays in each data centre (`ctrl.Follower.RelayPulls`)"},
		{Role: "each node", Figure: "time until a burst of 50 changes is in force", Value: at("burst", plannedFollowers) / 1000, Unit: "s", Target: 14, Mechanism: "a delta carries all changes since the last pull"},
		{Role: "each node", Figure: "restart: complete snapshot, before compression", Value: at("whole", plannedAccounts) / mebibyte, Unit: "MB", Mechanism: "tables cached on disk, then a delta (cache file of `ctrl`)"},
		{Role: "control VM", Figure: "followers of one leader without relays", Value: plannedFollowers, Unit: "stream pairs", Mechanism: "relays in each data centre: 5 data centres × 2 relays leave 10 followers to the leader"},
		{Role: "control VM", Figure: "CPU use to apply one day's changes", Value: at("apply", plannedAccounts) * plannedDailyChanges / 86400 / 1e6 * 100, Unit: "% of a core", Target: coreLimitPercent, Mechanism: "copy-on-write of the tables' maps"},
		{Role: "control VM", Figure: "claims if a hundredth of the requests are bookings", Value: plannedRequestRate / 100, Unit: "claims/s", Target: lastValue("claims"), Mechanism: "group commit (`ctrl.Node`) in one control group; `ledger.Key.Shard` can divide the keys among several"},
		{Role: "control VM", Figure: "memory of claims kept for a day at that rate, 400 B each", Value: plannedRequestRate / 100 * 86400 * 400 / mebibyte, Unit: "MB", Target: memLimitMB, Mechanism: "`ledger.Config.Count` limits it to 200,000 claims, so responses are kept for 40 minutes", Remedy: "sharding by `ledger.Key.Shard`, and all but the newest claims on disk"},
		{Role: "entry", Figure: "CPU use at one node's share of the load, 24 requests/s and 6,000 tokens/s", Value: lastValue("share") * 100, Unit: "% of a core", Target: 10, Mechanism: "each piece of a response is forwarded on arrival (`entry.relay`)", Remedy: "several tokens per piece from the agent if the endpoint takes less than 20 ms per token"},
		{Role: "entry", Figure: "latency that entry and agent add to a direct call, p50", Value: lastValue("added50"), Unit: "ms", Target: 0.3, Mechanism: "one stream per offer on a persistent connection", Remedy: "fewer handovers between goroutines per offer"},
		{Role: "entry", Figure: "latency that entry and agent add to a direct call, p99", Value: lastValue("added99"), Unit: "ms", Target: 1, Mechanism: "as in the row above", Remedy: "as in the row above, and a measurement on a machine that runs nothing else"},
		{Role: "entry", Figure: "rate at which one entry saturates", Value: lastValue("saturation"), Unit: "calls/s", Mechanism: "limited by this machine, which also runs the callers and endpoints"},
		{Role: "entry", Figure: "one placement decision over 600 endpoints", Value: at("decide", plannedWorkers), Unit: "µs", Target: 20, Mechanism: "rendezvous hashing reduces them to 16 candidates (`route.Plan.Consider`)"},
		{Role: "entry", Figure: "memory of its open streams (24/s × 10 s)", Value: slopeOf("streams") * 240 / mebibyte, Unit: "MB", Mechanism: "flow-control windows of 256 KB, which only slow callers fill"},
		{Role: "entry", Figure: "memory of prefix hints for its share of returning prompts", Value: plannedPrompts / plannedNodes * 150.0 / mebibyte, Unit: "MB", Mechanism: "`value.Cache` of at most 100,000 hints; rendezvous hashing needs none"},
		{Role: "entry", Figure: "load reports if it watched all 600 workers", Value: plannedWorkers * 80.0 / 1024, Unit: "KB/s", Target: trafficLimitKBps, Mechanism: "an endpoint is watched until it has been unused for a minute (`entry.endpointStates`)", Remedy: "load reports with responses only, and watching a random sample of the 16 candidates"},
		{Role: "agent", Figure: "connections from all entries", Value: plannedNodes, Unit: "connections", Mechanism: "idle connections are closed after two minutes (`wire.Pool.CloseIdle`)"},
		{Role: "agent", Figure: "tokens forwarded per second", Value: plannedTokenRate / plannedWorkers, Unit: "tokens/s", Mechanism: "one goroutine reads from the endpoint, one writes to the stream"},
		{Role: "store", Figure: "memory of the index of a million blocks", Value: at("blocks", 1e6) / mebibyte, Unit: "MB", Mechanism: "`block.Index`"},
		{Role: "store", Figure: "memory of the index for 1.3 million prompts of 20 blocks on 40 stores", Value: at("blocks", plannedPrompts*20.0/40) / mebibyte, Unit: "MB", Mechanism: "rendezvous hashing over stores (`route.RendezvousStores`)"},
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
