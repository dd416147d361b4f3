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
	// pairsPerSecond is the rate of pairs of a direct call and a call through entry and agent.
	pairsPerSecond = 500
	// pairTime is how long these calls are sent.
	pairTime = 4 * time.Second
	// shareRequestRate is one node's mean share of the peak load planned for two years ahead, in
	// requests per second; tokensPerRequest is the number of tokens of each of these.
	shareRequestRate, tokensPerRequest = 24, 250
	clockTicksPerSecond                = 100
)

// RequestPath measures the request path through an entry that runs as a separate process: the
// latency it adds to a call, its processor use at one node's share of the load, the rate at
// which it saturates, and the memory of its open streams.
func RequestPath(ctx context.Context, series map[string]Series) error {
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
	shape.TokenInterval, shape.Accounts = 40*time.Millisecond, 3
	f, err := fleet.NewFleet(shape, dir, nil)
	if err != nil {
		return err
	}
	p, err := fleet.StartProcesses(ctx, f, binary)
	if err != nil {
		return err
	}
	defer p.Close()
	for _, measure := range []func(context.Context, *fleet.ProcessFleet, map[string]Series) error{measurePairs, measureShare, measureSaturation, measureStreams} {
		if err := measure(ctx, p, series); err != nil {
			return err
		}
	}
	return nil
}

// measurePairs alternates direct calls to a service with calls through entry and agent, and
// reports the difference of their latencies.
func measurePairs(ctx context.Context, p *fleet.ProcessFleet, series map[string]Series) error {
	c := fleet.Client()
	direct := "http://" + p.Fleet.Services["helper-0"].Addr().String() + "/sheet/1"
	var mu sync.Mutex
	times := [2][]time.Duration{}
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / (2 * pairsPerSecond))
	defer tick.Stop()
	for i := range int(pairTime.Seconds()) * pairsPerSecond * 2 {
		<-tick.C
		wg.Go(func() {
			began := time.Now()
			var resp *http.Response
			var err error
			if i%2 == 0 {
				resp, err = c.Get(direct)
			} else {
				resp, err = p.Fleet.Send(ctx, c, 0, 0, http.MethodGet, "/svc/"+p.Fleet.Shape.Service+"/sheet/1", nil, "")
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
	wg.Wait()
	for i := range times {
		slices.Sort(times[i])
	}
	at := func(i int, share float64) float64 {
		return float64(times[i][int(float64(len(times[i]))*share)].Microseconds()) / 1000
	}
	series["added50"] = Series{Name: "added50", Variable: "calls/s", Unit: "ms added by entry and agent, p50", Points: []Point{{pairsPerSecond, at(1, 0.5) - at(0, 0.5)}}}
	series["added99"] = Series{Name: "added99", Variable: "calls/s", Unit: "ms added by entry and agent, p99", Points: []Point{{pairsPerSecond, at(1, 0.99) - at(0, 0.99)}}}
	return nil
}

// processCPU returns the processor time of a process in seconds, or 0 if it has ended.
func processCPU(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicksPerSecond
}

// residentBytes returns the resident memory of a process in bytes, or 0 if it has ended.
func residentBytes(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
	return pages * float64(os.Getpagesize())
}

func readStream(ctx context.Context, p *fleet.ProcessFleet, c *http.Client, i, tokens int) {
	body := fmt.Appendf(nil, `{"model":%q,"prompt":"share %d","max_tokens":%d,"stream":true}`, p.Fleet.Shape.Model, i, tokens)
	resp, err := p.Fleet.Send(ctx, c, 0, i%3, http.MethodPost, "/v1/completions", body, "")
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

// measureShare measures the entry's processor use at fractions of one node's share of the
// planned peak load.
func measureShare(ctx context.Context, p *fleet.ProcessFleet, series map[string]Series) error {
	s := Series{Name: "share", Variable: "tokens/s", Unit: "cores used by one entry process with control"}
	for _, divisor := range []int{0, 2, 1} {
		s.Points = append(s.Points, measureShareAt(ctx, p, divisor))
	}
	series["share"] = s
	return nil
}

// measureShareAt measures for five seconds at 1/divisor of the share; a divisor of 0 stands for
// no load.
func measureShareAt(ctx context.Context, p *fleet.ProcessFleet, divisor int) Point {
	c := fleet.Client()
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	rate := 0
	if divisor > 0 {
		rate = shareRequestRate / divisor
		wg.Go(func() {
			tick := time.NewTicker(time.Second / time.Duration(rate))
			defer tick.Stop()
			for i := 0; ctx.Err() == nil; i++ {
				<-tick.C
				wg.Go(func() { readStream(ctx, p, c, i, tokensPerRequest) })
			}
		})
		// A response takes ten seconds, so the load is steady only after that.
		time.Sleep(11 * time.Second)
	}
	pid := p.PID("entry-0")
	began, used := time.Now(), processCPU(pid)
	time.Sleep(5 * time.Second)
	point := Point{float64(rate * tokensPerRequest), (processCPU(pid) - used) / time.Since(began).Seconds()}
	cancel()
	wg.Wait()
	return point
}

// measureSaturation measures the calls per second and the processor time per call with callers
// that send their next call as soon as the previous one ends.
func measureSaturation(ctx context.Context, p *fleet.ProcessFleet, series map[string]Series) error {
	rate := Series{Name: "saturation", Variable: "callers", Unit: "calls per second through one entry"}
	cores := Series{Name: "percall", Variable: "callers", Unit: "µs of the entry's CPU time per call"}
	for _, n := range []int{8, 32, 128} {
		runCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		c := fleet.Client()
		pid := p.PID("entry-0")
		used := processCPU(pid)
		var done [128]int
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				for runCtx.Err() == nil {
					resp, err := p.Fleet.Send(runCtx, c, 0, i%3, http.MethodGet, "/svc/"+p.Fleet.Shape.Service+"/sheet/1", nil, "")
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					done[i]++
				}
			})
		}
		wg.Wait()
		cancel()
		total := 0
		for _, d := range done {
			total += d
		}
		rate.Points = append(rate.Points, Point{float64(n), float64(total) / 2})
		cores.Points = append(cores.Points, Point{float64(n), (processCPU(pid) - used) * 1e6 / float64(max(total, 1))})
	}
	series["saturation"], series["percall"] = rate, cores
	return nil
}

// measureStreams measures the entry's resident memory by the number of open streams.
func measureStreams(ctx context.Context, p *fleet.ProcessFleet, series map[string]Series) error {
	s := Series{Name: "streams", Variable: "open streams", Unit: "resident bytes of one entry process with control"}
	for _, n := range []int{0, 20, 40} {
		runCtx, cancel := context.WithCancel(ctx)
		c := fleet.Client()
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() { readStream(runCtx, p, c, i, 500) })
		}
		time.Sleep(3 * time.Second)
		s.Points = append(s.Points, Point{float64(n), residentBytes(p.PID("entry-0"))})
		cancel()
		wg.Wait()
	}
	series["streams"] = s
	return nil
}
