// Package drill runs chaos tests against a whole deployment: it generates load, injects
// faults, and checks the system's guarantees against what callers, operators, endpoints
// and processes observed.
//
// It owns the mix of requests, the order of the faults and the checks. The deployment is
// the product itself, started by package fleet with fake endpoints.
package drill

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"

	"egretshunt/fake"
	"egretshunt/fleet"
)

// Config configures a drill.
type Config struct {
	Shape fleet.Shape
	Seed  uint64
	// Time is how long load is generated and faults are injected.
	Time time.Duration
	// Faults names the faults to inject; empty means all.
	Faults []string
	// Pairs is true to inject two faults at once from time to time.
	Pairs bool
	// Callers is the number of concurrent callers; zero means 12.
	Callers int
	Log     io.Writer
}

// Guarantee is one line of the report: how often one guarantee was checked and broken,
// with some of the cases.
type Guarantee struct {
	Name   string   `json:"name"`
	Checks int      `json:"checked"`
	Broken int      `json:"broken"`
	Cases  []string `json:"cases,omitempty"`
}

// Report holds the results of a drill.
type Report struct {
	Seed       uint64         `json:"seed"`
	Shape      string         `json:"shape"`
	Faults     map[string]int `json:"faults"`
	Guarantees []*Guarantee   `json:"promises"`
	// FirstTokenP50, FirstTokenP95 and TokenGapP95 are in milliseconds, over the streamed
	// responses: time to first token (p50, p95) and time between tokens (p95).
	FirstTokenP50 float64 `json:"first50"`
	FirstTokenP95 float64 `json:"first95"`
	TokenGapP95   float64 `json:"gap95"`
	// InForceP95 is the p95 of the time from a configuration change being accepted to its being
	// in force everywhere, in milliseconds.
	InForceP95 float64 `json:"force95"`
	// Prompts and Bookings count what callers sent, Refusals the responses that reported the
	// request as not run.
	Prompts        int `json:"prompts"`
	Bookings       int `json:"bookings"`
	Refusals       int `json:"refusals"`
	Reused         int `json:"reused"`
	ComputedTokens int `json:"computed"`
}

// Broken reports whether any guarantee was broken.
func (r *Report) Broken() bool {
	for _, p := range r.Guarantees {
		if p.Broken > 0 {
			return true
		}
	}
	return false
}

// drill is the state of one run.
type drill struct {
	config Config
	fleet  *fleet.Fleet
	// extraCrashes counts engines crashed while another fault was active.
	extraCrashes atomic.Int64

	// mu guards the fields below.
	mu              sync.Mutex
	report          *Report
	guarantees      map[string]*Guarantee
	firstTokenTimes []time.Duration
	tokenGaps       []time.Duration
	inForceTimes    []time.Duration
	bookings        map[string]*bookingRecord
	rowChanges      []porcupine.Operation
	lastRevs        map[string]uint64
	began           time.Time
}

// The guarantees as the report prints them.
const (
	completeBlocks    = "no block is read that was freed or is only partly written"
	accountIsolation  = "no account's data reaches another"
	versionIsolation  = "a new request uses no blocks of another weight version"
	completeResponses = "every caller gets the whole answer to its own request"
	accurateRefusals  = "what a refusal says did not run did not run"
	atMostOnce        = "a non-idempotent request runs at most once"
	noWorkAfterDrain  = "a leaving endpoint gets no new work after two seconds"
	gracefulShutdown  = "a graceful shutdown cuts off no request"
	configInForce     = "an accepted configuration is in force everywhere and never reverts"
)

var guaranteeOrder = []string{completeBlocks, accountIsolation, versionIsolation, completeResponses, accurateRefusals, atMostOnce, noWorkAfterDrain, gracefulShutdown, configInForce}

// Run starts a deployment, drills it and returns the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.Callers == 0 {
		c.Callers = 12
	}
	dir, err := os.MkdirTemp("", "egretshunt-drill-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	startCtx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	f, err := fleet.Start(startCtx, c.Shape, dir, c.Log)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	d := &drill{
		config: c, fleet: f, guarantees: map[string]*Guarantee{}, bookings: map[string]*bookingRecord{}, lastRevs: map[string]uint64{},
		report: &Report{Seed: c.Seed, Shape: c.Shape.Name, Faults: map[string]int{}}, began: time.Now(),
	}
	for _, name := range guaranteeOrder {
		p := &Guarantee{Name: name}
		d.guarantees[name] = p
		d.report.Guarantees = append(d.report.Guarantees, p)
	}
	d.runLoad(ctx)
	if err := d.checkFinalState(ctx); err != nil {
		return nil, err
	}
	return d.report, nil
}

// check counts one check of a guarantee and records up to five cases in which it was broken.
func (d *drill) check(name string, ok bool, format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.guarantees[name]
	p.Checks++
	if ok {
		return
	}
	p.Broken++
	if len(p.Cases) < 5 {
		p.Cases = append(p.Cases, fmt.Sprintf(format, args...))
	}
}

// runLoad runs the callers, the operators, the revision watch and the fault injection
// concurrently for the configured time.
func (d *drill) runLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.config.Time)
	defer cancel()
	var wg sync.WaitGroup
	for i := range d.config.Callers {
		wg.Go(func() { d.runCaller(ctx, i) })
	}
	for i := range 2 {
		wg.Go(func() { d.runOperator(ctx, i) })
	}
	wg.Go(func() { d.watchRevisions(ctx) })
	wg.Go(func() { d.injectFaults(ctx) })
	wg.Wait()
}

// runCaller acts as one caller that sends prompts which continue its histories, look-ups,
// bookings, and requests without a route.
func (d *drill) runCaller(ctx context.Context, id int) {
	r := rand.New(rand.NewPCG(d.config.Seed, uint64(id)))
	c := fleet.Client()
	account := id % d.config.Shape.Accounts
	lengths := map[int]int{}
	for n := 0; ctx.Err() == nil; n++ {
		entryIndex := r.IntN(len(d.fleet.Entries))
		switch k := r.IntN(10); {
		case k < 5:
			h := r.IntN(4)
			lengths[h] += 1 + r.IntN(3)
			d.sendPrompt(ctx, c, entryIndex, account, historyText(id, h, lengths[h]), 5+r.IntN(30), r.IntN(3) > 0)
		case k < 7:
			d.requestSheet(ctx, c, entryIndex, account, n)
		case k < 9:
			d.sendBooking(ctx, c, r, account, fmt.Sprintf("job-%d-%d", id, n))
		default:
			d.requestUnrouted(ctx, c, entryIndex, account)
		}
	}
}

// historyText returns the text of history h of caller id, about 2000 bytes for each unit of
// length.
func historyText(id, h, length int) string {
	line := fmt.Sprintf("caller %d keeps history %d of pump and contract; ", id, h)
	text := make([]byte, 0, 2000*length)
	for i := 0; len(text) < 2000*length; i++ {
		text = append(text, line...)
		text = fmt.Appendf(text, "entry %d. ", i)
	}
	return string(text)
}

// checkFinalState restores all processes, waits until the tables are in force everywhere,
// and checks the counters of the endpoints and the recorded histories.
func (d *drill) checkFinalState(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := d.restoreAll(ctx); err != nil {
		return err
	}
	d.checkBookings()
	d.checkRowChanges()
	for name, e := range d.fleet.Engines {
		counts := e.Totals()
		d.addCounts(completeBlocks, counts.ImportedBlocks, counts.CorruptImports, name)
		d.addCounts(versionIsolation, counts.Reused, counts.CrossVersionBlocks, name)
		d.report.Reused += counts.Reused * 1000
		d.report.ComputedTokens += counts.ComputedTokens
	}
	d.setLatencies()
	return nil
}

// addCounts adds the counters of an endpoint to a guarantee.
func (d *drill) addCounts(name string, checked, broken int, where string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.guarantees[name]
	p.Checks += checked
	p.Broken += broken
	if broken > 0 {
		p.Cases = append(p.Cases, fmt.Sprintf("%d at %s", broken, where))
	}
}

// restoreAll restarts every stopped process, reconnects those cut off, and checks that all
// of them reach the current revision of the tables.
func (d *drill) restoreAll(ctx context.Context) error {
	for _, name := range d.fleet.Names() {
		if d.fleet.Proc(name) == nil {
			if err := d.fleet.Run(name); err != nil {
				return err
			}
		}
		d.fleet.Proc(name).SetIsolated(false)
	}
	var status struct {
		Rev uint64 `json:"rev"`
	}
	if err := d.fleet.Admin(ctx, http.MethodGet, "/tables", nil, &status); err != nil {
		return err
	}
	err := d.fleet.AwaitFresh(ctx, status.Rev)
	d.check(configInForce, err == nil, "after the drill: %v", err)
	return nil
}

// expectedText returns what an engine responds to a prompt; it identifies the prompt.
func expectedText(text string, tokens int) string {
	out := ""
	for _, t := range fake.Text(text, tokens) {
		out += t
	}
	return out
}
