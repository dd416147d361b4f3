package prog

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// loadArgs are the arguments of load, which sends prompts, calls and bookings to entries. Later
// prompts of a conversation repeat the earlier text and extend it.
type loadArgs struct {
	Entry         []string      `arg:"--entry,required,separate" help:"URL of an entry, for example http://127.0.0.1:8080; several are used in turn"`
	Key           []string      `arg:"--key,required,separate,env:EGRETSHUNT_KEY" help:"caller's key; may be repeated to use several accounts"`
	Model         string        `arg:"--model" default:"planner" help:"model to send prompts to"`
	Service       string        `arg:"--service" default:"dispatch" help:"service to send calls and bookings to"`
	Rate          float64       `arg:"--rate" default:"10" help:"average requests per second"`
	Time          time.Duration `arg:"--time" default:"20s" help:"how long to send requests"`
	Seed          uint64        `arg:"--seed" default:"1" help:"seed of the random requests"`
	HistoryGrowth int           `arg:"--grow" default:"4000" help:"bytes that a conversation grows by with each prompt, roughly"`
	Tokens        int           `arg:"--tokens" default:"40" help:"maximum tokens of a response"`
	Agents        []string      `arg:"--agent,separate" help:"metrics URL of an agent, for example http://127.0.0.1:9100/metrics; adds the shares of reused, fetched and computed tokens, and the bytes on the link"`
}

// loadGenerator sends the requests of one run and records the results.
type loadGenerator struct {
	args   *loadArgs
	client *http.Client

	// mu guards the rest.
	mu              sync.Mutex
	firstTokenTimes []time.Duration
	tokenGaps       []time.Duration
	outcomes        map[string]int
	lengths         map[int]int
	histories       map[int]string
}

// historiesPerAccount is the number of conversations of one account.
const historiesPerAccount = 12

func (a *loadArgs) run(out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	sendCtx, cancel := context.WithTimeout(ctx, a.Time)
	defer cancel()
	l := &loadGenerator{
		args: a, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
		outcomes: map[string]int{}, lengths: map[int]int{}, histories: map[int]string{},
	}
	before := l.scrapeAgents(ctx)
	r := rand.New(rand.NewPCG(a.Seed, 3))
	var inFlight sync.WaitGroup
	for n := 0; sendCtx.Err() == nil; n++ {
		account, entry, kind, h := r.IntN(len(a.Key)), r.IntN(len(a.Entry)), r.IntN(10), r.IntN(historiesPerAccount)
		inFlight.Go(func() {
			switch {
			case kind < 5:
				l.sendPrompt(ctx, entry, account, l.growHistory(account, h))
			case kind < 8:
				l.callService(ctx, entry, account, http.MethodGet, fmt.Sprintf("/sheet/%d", n), "")
			default:
				l.callService(ctx, entry, account, http.MethodPost, "/jobs", fmt.Sprintf("load-%d-%d", a.Seed, n))
			}
		})
		select {
		case <-time.After(time.Duration(r.ExpFloat64() / a.Rate * float64(time.Second))):
		case <-sendCtx.Done():
		}
	}
	inFlight.Wait()
	l.print(out, before, l.scrapeAgents(ctx))
	return nil
}

// growHistory extends a conversation's text and returns it.
func (l *loadGenerator) growHistory(account, h int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := account*historiesPerAccount + h
	var b strings.Builder
	b.WriteString(l.histories[id])
	for i := 0; i < l.args.HistoryGrowth; i += 40 {
		fmt.Fprintf(&b, "history %d of account %d, line %06d.\n", h, account, b.Len())
	}
	l.histories[id] = b.String()
	return l.histories[id]
}

func (l *loadGenerator) send(ctx context.Context, entry, account int, method, path string, body []byte, key string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(l.args.Entry[entry], "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+l.args.Key[account])
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return l.client.Do(req)
}

func (l *loadGenerator) sendPrompt(ctx context.Context, entry, account int, text string) {
	body, err := json.Marshal(map[string]any{"model": l.args.Model, "prompt": text, "max_tokens": l.args.Tokens, "stream": true})
	if err != nil {
		return
	}
	start := time.Now()
	resp, err := l.send(ctx, entry, account, http.MethodPost, "/v1/completions", body, "")
	if err != nil {
		l.countOutcome("prompt without response")
		return
	}
	defer resp.Body.Close()
	last, done := time.Time{}, false
	for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
		if !strings.HasPrefix(scanner.Text(), "data: ") {
			continue
		}
		done = scanner.Text() == "data: [DONE]"
		last = l.recordToken(start, last)
	}
	l.countOutcome(fmt.Sprintf("prompt %d complete %v", resp.StatusCode, done))
}

func (l *loadGenerator) recordToken(start, last time.Time) time.Time {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if last.IsZero() {
		l.firstTokenTimes = append(l.firstTokenTimes, now.Sub(start))
	} else {
		l.tokenGaps = append(l.tokenGaps, now.Sub(last))
	}
	return now
}

func (l *loadGenerator) callService(ctx context.Context, entry, account int, method, path, key string) {
	resp, err := l.send(ctx, entry, account, method, "/svc/"+l.args.Service+path, []byte("load"), key)
	if err != nil {
		l.countOutcome("call without response")
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	l.countOutcome(fmt.Sprintf("%s %d", method, resp.StatusCode))
}

func (l *loadGenerator) countOutcome(outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[outcome]++
}

// scrapeAgents returns the sum of each metric over all agents.
func (l *loadGenerator) scrapeAgents(ctx context.Context) map[string]float64 {
	sums := map[string]float64{}
	for _, metricsURL := range l.args.Agents {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, metricsURL, nil)
		if err != nil {
			continue
		}
		resp, err := l.client.Do(req)
		if err != nil {
			continue
		}
		for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
			var name string
			var value float64
			if n, _ := fmt.Sscan(scanner.Text(), &name, &value); n == 2 {
				sums[name] += value
			}
		}
		resp.Body.Close()
	}
	return sums
}

func (l *loadGenerator) print(out io.Writer, before, after map[string]float64) {
	fmt.Fprintf(out, "time to first token p50 %s, p95 %s; token gap p95 %s\n", percentile(l.firstTokenTimes, 0.5), percentile(l.firstTokenTimes, 0.95), percentile(l.tokenGaps, 0.95))
	if len(l.args.Agents) > 0 {
		delta := func(name string) float64 { return after["egretshunt_agent_"+name] - before["egretshunt_agent_"+name] }
		total := delta("tokens_reused") + delta("tokens_fetched") + delta("tokens_computed")
		fmt.Fprintf(out, "tokens: %.0f%% reused, %.0f%% fetched, %.0f%% computed; link %.1f MB read, %.1f MB written\n",
			100*delta("tokens_reused")/max(total, 1), 100*delta("tokens_fetched")/max(total, 1), 100*delta("tokens_computed")/max(total, 1),
			delta("bytes_fetched")/1e6, delta("bytes_saved")/1e6)
	}
	names := make([]string, 0, len(l.outcomes))
	for name := range l.outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(out, "%8d %s\n", l.outcomes[name], name)
	}
}

func percentile(times []time.Duration, quantile float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, int(float64(len(times))*quantile))].Round(100 * time.Microsecond)
}
