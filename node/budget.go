package node

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"egretshunt/clock"
	"egretshunt/conns"
	"egretshunt/event"
	"egretshunt/limit"
)

const (
	// reservedFiles is how many descriptors are for files and for connections to other processes and to endpoints.
	reservedFiles = 200
	// connFilesShare is the share of the other descriptors that callers' connections may have.
	connFilesShare = 0.4
	// memoryLimitShare is the share of the memory that is the garbage collector's soft limit, if the memory is set.
	memoryLimitShare = 0.6
	// maxFiles bounds the descriptors that are counted: some systems set no limit.
	maxFiles = 1 << 20
)

// startBudget creates the owner of the memory that the process spends on traffic.
func (p *Process) startBudget() error {
	c := p.settings.Memory.Config()
	c.Now = clock.Now
	c.Aborted = func(a limit.Abort) {
		if a.Stage == limit.InBody || a.Stage == limit.Unread {
			p.events.Emit(event.BodyAborted, "why", "others need its memory", "use", a.Use.String(), "memory", a.Bytes, "quiet", a.Waited.Milliseconds())
		}
	}
	if c.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(c.Memory)))
	}
	if c.Conns == 0 {
		c.Conns = max(int(connFilesShare*float64(fileLimit()-reservedFiles)), 1)
	}
	p.budget = limit.NewBudget(c)
	p.measureBudget()
	return nil
}

// measureBudget adds the metrics of the budget.
func (p *Process) measureBudget() {
	gauge := func(name string, read func(s limit.BudgetStats) float64) {
		p.metrics.NewGauge("egretshunt_budget_"+name, func() float64 { return read(p.budget.Stats()) })
	}
	gauge("connections", func(s limit.BudgetStats) float64 { return float64(s.Conns) })
	for _, u := range limit.Uses() {
		gauge(fmt.Sprintf("bytes{use=%q}", u), func(s limit.BudgetStats) float64 { return float64(s.Bytes[u]) })
		gauge(fmt.Sprintf("refused_total{use=%q}", u), func(s limit.BudgetStats) float64 { return float64(s.Refused[u]) })
	}
	for _, stage := range limit.Stages() {
		gauge(fmt.Sprintf("aborted_total{stage=%q}", stage), func(s limit.BudgetStats) float64 { return float64(s.Aborted[stage]) })
	}
}

// fileLimit returns how many descriptors the process may have open.
func fileLimit() int {
	var l unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &l) != nil {
		return maxFiles
	}
	return int(min(l.Cur, maxFiles))
}

// servePort serves s in the background, for others than callers. It listens before it returns, so that an address already in use makes the start fail.
func (p *Process) servePort(s *http.Server, addr netip.AddrPort, clients string, bodies bool) error {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return Failed.Wrap(err, "listen for %s", clients)
	}
	conns.ServePort(s, l, conns.PortConfig{Conns: p.settings.Ops.MaxConns, Bodies: bodies})
	return nil
}
