package slopes

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"egretshunt/fleet"
)

const (
	// pairRate is the rate of the paired calls, in calls a second.
	pairRate = 500
	// pairTime is how long they go on.
	pairTime = 4 * time.Second
	// shareRate is one node's mean share of the two-years' peak, in requests a second, and shareTokens its tokens a request.
	shareRate, shareTokens = 24, 250
	clockTicks             = 100
)

// Path measures the entry as a process of its own: what it adds to a call, what it
// costs at one node's share of the load, and where it saturates.
func Path(ctx context.Context, into map[string]Slope) error {
	dir, err := os.MkdirTemp("", "egretshunt-path-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	binary, err := fleet.Build(ctx, dir)
	if err != nil {
		return err
	}
	shape := fleet.Tiny()
	shape.Gap, shape.Accounts = 40*time.Millisecond, 3
	f, err := fleet.Plan(shape, dir, nil)
	if err != nil {
		return err
	}
	p, err := fleet.StartProcs(ctx, f, binary)
	if err != nil {
		return err
	}
	defer p.Close()
	for _, part := range []func(context.Context, *fleet.Procs, map[string]Slope) error{paired, share, saturate, streams} {
		if err := part(ctx, p, into); err != nil {
			return err
		}
	}
	return nil
}

// paired alternates direct calls to a service with calls through entry and agent.
func paired(ctx context.Context, p *fleet.Procs, into map[string]Slope) error {
	c := fleet.Client()
	direct := "http://" + p.Fleet.Services["helper-0"].Addr().String() + "/sheet/1"
	var mu sync.Mutex
	times := [2][]time.Duration{}
	var work sync.WaitGroup
	tick := time.NewTicker(time.Second / (2 * pairRate))
	defer tick.Stop()
	for i := range int(pairTime.Seconds()) * pairRate * 2 {
		<-tick.C
		work.Go(func() {
			began := time.Now()
			var resp *http.Response
			var err error
			if i%2 == 0 {
				resp, err = c.Get(direct)
			} else {
				resp, err = p.Fleet.Call(ctx, c, 0, 0, http.MethodGet, "/svc/"+p.Fleet.Shape.Service+"/sheet/1", nil, "")
			}
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			times[i%2] = append(times[i%2], time.Since(began))
		})
	}
	work.Wait()
	for i := range times {
		slices.Sort(times[i])
	}
	at := func(i int, share float64) float64 {
		return float64(times[i][int(float64(len(times[i]))*share)].Microseconds()) / 1000
	}
	into["added50"] = Slope{Name: "added50", Of: "calls/s", Unit: "ms added by entry and agent, p50", Points: []Point{{pairRate, at(1, 0.5) - at(0, 0.5)}}}
	into["added99"] = Slope{Name: "added99", Of: "calls/s", Unit: "ms added by entry and agent, p99", Points: []Point{{pairRate, at(1, 0.99) - at(0, 0.99)}}}
	return nil
}

// cpuOf returns the processor seconds of a process.
func cpuOf(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks
}

// memoryOf returns the resident bytes of a process.
func memoryOf(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
	return pages * float64(os.Getpagesize())
}

func stream(ctx context.Context, p *fleet.Procs, c *http.Client, i, tokens int) {
	body := fmt.Appendf(nil, `{"model":%q,"prompt":"share %d","max_tokens":%d,"stream":true}`, p.Fleet.Shape.Model, i, tokens)
	resp, err := p.Fleet.Call(ctx, c, 0, i%3, http.MethodPost, "/v1/completions", body, "")
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

// share runs the entry at parts of one node's share of the two-years' peak.
func share(ctx context.Context, p *fleet.Procs, into map[string]Slope) error {
	s := Slope{Name: "share", Of: "tokens/s", Unit: "cores of one entry with control"}
	for _, part := range []int{0, 2, 1} {
		s.Points = append(s.Points, shareAt(ctx, p, part))
	}
	into["share"] = s
	return nil
}

// shareAt streams 1/part of the share for a few seconds; a part of 0 streams nothing.
func shareAt(ctx context.Context, p *fleet.Procs, part int) Point {
	c := fleet.Client()
	ctx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	rate := 0
	if part > 0 {
		rate = shareRate / part
		work.Go(func() {
			tick := time.NewTicker(time.Second / time.Duration(rate))
			defer tick.Stop()
			for i := 0; ctx.Err() == nil; i++ {
				<-tick.C
				work.Go(func() { stream(ctx, p, c, i, shareTokens) })
			}
		})
		// An answer takes ten seconds; the load is even only after that.
		time.Sleep(11 * time.Second)
	}
	pid := p.PID("entry-0")
	began, used := time.Now(), cpuOf(pid)
	time.Sleep(5 * time.Second)
	point := Point{float64(rate * shareTokens), (cpuOf(pid) - used) / time.Since(began).Seconds()}
	cancel()
	work.Wait()
	return point
}

// saturate calls as fast as it goes.
func saturate(ctx context.Context, p *fleet.Procs, into map[string]Slope) error {
	rate := Slope{Name: "saturation", Of: "callers", Unit: "calls a second of one entry"}
	cores := Slope{Name: "percall", Of: "callers", Unit: "µs of the entry's processor a call"}
	for _, n := range []int{8, 32, 128} {
		each, cancel := context.WithTimeout(ctx, 2*time.Second)
		c := fleet.Client()
		pid := p.PID("entry-0")
		used := cpuOf(pid)
		var done [128]int
		var work sync.WaitGroup
		for i := range n {
			work.Go(func() {
				for each.Err() == nil {
					resp, err := p.Fleet.Call(each, c, 0, i%3, http.MethodGet, "/svc/"+p.Fleet.Shape.Service+"/sheet/1", nil, "")
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					done[i]++
				}
			})
		}
		work.Wait()
		cancel()
		total := 0
		for _, d := range done {
			total += d
		}
		rate.Points = append(rate.Points, Point{float64(n), float64(total) / 2})
		cores.Points = append(cores.Points, Point{float64(n), (cpuOf(pid) - used) * 1e6 / float64(max(total, 1))})
	}
	into["saturation"], into["percall"] = rate, cores
	return nil
}

// streams opens many streams at once and looks at the entry's memory.
func streams(ctx context.Context, p *fleet.Procs, into map[string]Slope) error {
	s := Slope{Name: "streams", Of: "open streams", Unit: "resident bytes of one entry with control"}
	for _, n := range []int{0, 20, 40} {
		each, cancel := context.WithCancel(ctx)
		c := fleet.Client()
		var work sync.WaitGroup
		for i := range n {
			work.Go(func() { stream(each, p, c, i, 500) })
		}
		time.Sleep(3 * time.Second)
		s.Points = append(s.Points, Point{float64(n), memoryOf(p.PID("entry-0"))})
		cancel()
		work.Wait()
	}
	into["streams"] = s
	return nil
}
