// Package drill tries a whole deployment under load and faults and checks what
// must always hold from what callers, operators, endpoints and processes saw.
//
// It owns the mix, the order of the faults and the checks. The deployment is the
// product itself, run by fleet on its small fakes.
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

// Config constructs a drill.
type Config struct {
	Shape fleet.Shape
	Seed  uint64
	// Time is how long load and faults go on.
	Time time.Duration
	// Faults names the faults to cause; empty means all.
	Faults []string
	// Pairs is true to cause two faults at a time now and then.
	Pairs bool
	// Callers is how many callers act at once.
	Callers int
	Log     io.Writer
}

// Promise is one line of the report.
type Promise struct {
	Name    string   `json:"name"`
	Checked int      `json:"checked"`
	Broken  int      `json:"broken"`
	Cases   []string `json:"cases,omitempty"`
}

// Report is what a drill found.
type Report struct {
	Seed     uint64         `json:"seed"`
	Shape    string         `json:"shape"`
	Faults   map[string]int `json:"faults"`
	Promises []*Promise     `json:"promises"`
	// Times in milliseconds, of streamed prompts that were answered.
	First50 float64 `json:"first50"`
	First95 float64 `json:"first95"`
	Gap95   float64 `json:"gap95"`
	// Force95 is the time from accepted to in force.
	Force95 float64 `json:"force95"`
	// Prompts, Bookings and Refusals count what callers sent and what was refused as not run.
	Prompts  int `json:"prompts"`
	Bookings int `json:"bookings"`
	Refusals int `json:"refusals"`
	Reused   int `json:"reused"`
	Computed int `json:"computed"`
}

// Broken reports whether any promise was.
func (r *Report) Broken() bool {
	for _, p := range r.Promises {
		if p.Broken > 0 {
			return true
		}
	}
	return false
}

// drill is one run.
type drill struct {
	config Config
	fleet  *fleet.Fleet
	// extraCrashes counts engines crashed while another fault was under way.
	extraCrashes atomic.Int64

	// mu guards the rest.
	mu       sync.Mutex
	report   *Report
	promises map[string]*Promise
	firsts   []time.Duration
	gaps     []time.Duration
	forces   []time.Duration
	bookings map[string]*booking
	rows     []porcupine.Operation
	revs     map[string]uint64
	began    time.Time
}

// The promises, in the words of what must always hold.
const (
	blocksWhole  = "no block is read that was freed or is only partly written"
	ownAccount   = "no account's data reaches another"
	ownVersion   = "a new request uses no blocks of another weight version"
	wholeAnswers = "every caller gets the whole answer to its own request"
	trueRefusals = "what a refusal says did not run did not run"
	atMostOnce   = "a non-idempotent request runs at most once"
	leavingQuiet = "a leaving endpoint gets no new work after two seconds"
	gentleStop   = "a graceful shutdown cuts off no request"
	inForce      = "an accepted configuration is in force everywhere and never reverts"
)

var order = []string{blocksWhole, ownAccount, ownVersion, wholeAnswers, trueRefusals, atMostOnce, leavingQuiet, gentleStop, inForce}

// Run carries out a drill.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.Callers == 0 {
		c.Callers = 12
	}
	dir, err := os.MkdirTemp("", "egretshunt-drill-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	begin, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	f, err := fleet.Start(begin, c.Shape, dir, c.Log)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	d := &drill{
		config: c, fleet: f, promises: map[string]*Promise{}, bookings: map[string]*booking{}, revs: map[string]uint64{},
		report: &Report{Seed: c.Seed, Shape: c.Shape.Name, Faults: map[string]int{}}, began: time.Now(),
	}
	for _, name := range order {
		p := &Promise{Name: name}
		d.promises[name] = p
		d.report.Promises = append(d.report.Promises, p)
	}
	d.load(ctx)
	if err := d.conclude(ctx); err != nil {
		return nil, err
	}
	return d.report, nil
}

// check counts one check of a promise; a broken one keeps its case.
func (d *drill) check(name string, ok bool, format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.promises[name]
	p.Checked++
	if ok {
		return
	}
	p.Broken++
	if len(p.Cases) < 5 {
		p.Cases = append(p.Cases, fmt.Sprintf(format, args...))
	}
}

// load lets callers, operators, watchers and faults act at once for the drill's time.
func (d *drill) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.config.Time)
	defer cancel()
	var work sync.WaitGroup
	for i := range d.config.Callers {
		work.Go(func() { d.call(ctx, i) })
	}
	for i := range 2 {
		work.Go(func() { d.operate(ctx, i) })
	}
	work.Go(func() { d.watch(ctx) })
	work.Go(func() { d.disturb(ctx) })
	work.Wait()
}

// call is one caller: prompts, returns to histories, look-ups and bookings.
func (d *drill) call(ctx context.Context, id int) {
	r := rand.New(rand.NewPCG(d.config.Seed, uint64(id)))
	c := fleet.Client()
	account := id % d.config.Shape.Accounts
	lengths := map[int]int{}
	for n := 0; ctx.Err() == nil; n++ {
		entry := r.IntN(len(d.fleet.Entries))
		switch k := r.IntN(10); {
		case k < 5:
			h := r.IntN(4)
			lengths[h] += 1 + r.IntN(3)
			d.prompt(ctx, c, entry, account, history(id, h, lengths[h]), 5+r.IntN(30), r.IntN(3) > 0)
		case k < 7:
			d.lookup(ctx, c, entry, account, n)
		case k < 9:
			d.book(ctx, c, r, account, fmt.Sprintf("job-%d-%d", id, n))
		default:
			d.trespass(ctx, c, entry, account)
		}
	}
}

// history is the text of a history that has grown to some thousands of letters.
func history(id, h, length int) string {
	line := fmt.Sprintf("caller %d keeps history %d of pump and contract; ", id, h)
	text := make([]byte, 0, 2000*length)
	for i := 0; len(text) < 2000*length; i++ {
		text = append(text, line...)
		text = fmt.Appendf(text, "entry %d. ", i)
	}
	return string(text)
}

// conclude heals everything, waits until the tables are in force, and checks what
// the endpoints and the histories tell.
func (d *drill) conclude(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := d.heal(ctx); err != nil {
		return err
	}
	d.judgeBookings()
	d.judgeRows()
	for name, e := range d.fleet.Engines {
		seen := e.Seen()
		d.tally(blocksWhole, seen.Imported, seen.Poisoned, name)
		d.tally(ownVersion, seen.Reused, seen.Crossed, name)
		d.report.Reused += seen.Reused * 1000
		d.report.Computed += seen.Computed
	}
	d.measures()
	return nil
}

// tally adds counts that an endpoint kept.
func (d *drill) tally(name string, checked, broken int, where string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.promises[name]
	p.Checked += checked
	p.Broken += broken
	if broken > 0 {
		p.Cases = append(p.Cases, fmt.Sprintf("%d at %s", broken, where))
	}
}

// heal runs every process again and checks that all hold the same tables.
func (d *drill) heal(ctx context.Context) error {
	for _, name := range d.fleet.Names() {
		if d.fleet.Proc(name) == nil {
			if err := d.fleet.Run(name); err != nil {
				return err
			}
		}
		d.fleet.Proc(name).SetCut(false)
	}
	var status struct {
		Rev uint64 `json:"rev"`
	}
	if err := d.fleet.Admin(ctx, http.MethodGet, "/tables", nil, &status); err != nil {
		return err
	}
	err := d.fleet.AwaitFresh(ctx, status.Rev)
	d.check(inForce, err == nil, "after the drill: %v", err)
	return nil
}

// Text is what an engine answers; it tells whose prompt was read.
func wanted(text string, tokens int) string {
	out := ""
	for _, t := range fake.Text(text, tokens) {
		out += t
	}
	return out
}
