package node

import (
	"cmp"
	"math"
	"net/netip"
	"runtime/debug"

	"net"
	"net/http"

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
	l := p.settings.Limits
	c := limit.BudgetConfig{
		Memory: l.Memory, Conns: l.MaxConns, ClientConns: l.MaxClientConns, Small: l.SmallBytes, Large: l.LargeBytes, Now: clock.Now,
		Aborted: func(a limit.Abort) {
			if a.Stage == limit.InBody || a.Stage == limit.Unread {
				p.events.Emit(event.BodyAborted, "why", "others need its memory", "use", a.Use.String(), "stage", a.Stage.String(), "bytes", a.Bytes, "waited", a.Waited.Milliseconds())
			}
		},
	}
	if l.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(l.Memory)))
	} else {
		c.Memory = halfOfMachine()
	}
	if c.Conns == 0 {
		c.Conns = max(int(connFilesShare*float64(cmp.Or(l.Files, fileLimit())-reservedFiles)), 1)
	}
	p.budget = limit.NewBudget(c)
	return nil
}

// halfOfMachine returns half of the machine's memory; zero if it isn't known.
func halfOfMachine() int64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(min(info.Totalram*uint64(info.Unit)/2, math.MaxInt64))
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
	conns.ServePort(s, l, conns.PortConfig{Conns: p.settings.Limits.MaxPortConns, Bodies: bodies})
	return nil
}
