package pass_test

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"egretshunt/block"
	"egretshunt/ctrl"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/origin"
	"egretshunt/tally"
	"egretshunt/value"
)

// feed is a fixed view of the system.
type feed struct {
	view   *ctrl.View
	list   *member.List
	stale  bool
	age    time.Duration
	others map[string]int
	// edition numbers the snapshots of others.
	edition atomic.Uint64
	where   map[string][]block.Holder
	// noClock is set while the engines' clock is unknown.
	noClock atomic.Bool
	// groupTime is the group time; zero while it isn't known. It has run without a pause since groupSince.
	groupTime, groupSince time.Time
	// viewFunc replaces view if it isn't nil.
	viewFunc func() *ctrl.View
	// beginFunc is called if it isn't nil when a stream is about to begin: its request has been placed, and not sent yet.
	beginFunc func(origin.Start)
	// listFunc replaces list if it isn't nil.
	listFunc func() *member.List

	// mu guards the rest. The clock advances a second at each crash.
	mu           sync.Mutex
	crashTracker *limit.CrashTracker
	clock        time.Time
	// resumed holds, for each crash reported on a request, whether its attempt had resumed a stream.
	resumed []bool
	// rates and permits are those of endpoints that have named limits.
	rates   map[limit.EndpointRun]float64
	permits map[limit.EndpointRun]int
	// origins are the builds at which former streams began, started and ended those of the entry's own; noOrigins is set while
	// control can't be asked.
	origins   map[origin.Key]origin.Build
	started   []origin.Build
	ended     []bool
	noOrigins bool
	// awaited counts the starts that were waited for.
	awaited int
	// cold is what control says of cold endpoints.
	cold atomic.Pointer[ctrl.Cold]
	// uncounted makes control have all requests' crashes yet to count.
	uncounted bool
}

func (f *feed) View() *ctrl.View {
	if f.viewFunc != nil {
		return f.viewFunc()
	}
	return f.view
}

func (f *feed) List() *member.List {
	if f.listFunc != nil {
		return f.listFunc()
	}
	return f.list
}

// SinceEvacuation returns how long ago an evacuation in the view ended, whose group time is that of the wall clock.
func (f *feed) SinceEvacuation(place string) (time.Duration, bool) {
	s, ok := f.View().Place(place)
	return time.Since(s.At), ok && !s.Evacuated
}

func (f *feed) Changed() <-chan struct{} { return nil }
func (f *feed) Snapshot() ctrl.Snapshot {
	return ctrl.Snapshot{View: f.View(), Age: f.age, Fresh: !f.stale}
}
func (f *feed) Age() time.Duration                 { return f.age }
func (f *feed) Holders(part string) []block.Holder { return f.where[part] }
func (f *feed) AcceptsParts(netip.AddrPort) bool   { return true }
func (f *feed) RecordUse(string)                   {}
func (f *feed) TargetAge(at time.Time, paused time.Duration) time.Duration {
	switch {
	case f.groupTime.IsZero():
		return time.Hour
	case at.Before(f.groupSince):
		return f.groupTime.Sub(f.groupSince) + max(f.groupSince.Sub(at), paused)
	}
	return f.groupTime.Sub(at)
}

func (f *feed) EngineClock(time.Duration) int64 {
	if f.noClock.Load() {
		return 0
	}
	return 1000
}

func (f *feed) RecordCrash(r limit.CrashReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashTracker == nil {
		f.crashTracker = limit.NewCrashTracker()
	}
	f.clock = f.clock.Add(time.Second)
	r.ID = f.clock.String()
	if !r.Part {
		f.resumed = append(f.resumed, r.Resumed)
	}
	f.crashTracker = f.crashTracker.Apply(limit.CrashCommand{Reports: []limit.CrashReport{r}}, f.clock)
}

// reported returns the number of crashes reported.
func (f *feed) reported() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int(f.clock.Sub(time.Time{}) / time.Second)
}

func (f *feed) RejectedFor(fingerprint func() string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.uncounted {
		return limit.UncountedRetryAfter
	}
	if f.crashTracker == nil {
		return 0
	}
	if slices.Contains(f.crashTracker.Verdicts(f.clock).Refused, fingerprint()) {
		return limit.CrashRetryAfter
	}
	return 0
}

// BeginStream implements pass.View.
func (f *feed) BeginStream(s origin.Start) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = append(f.started, s.Build)
	if f.beginFunc != nil {
		f.beginFunc(s)
	}
}

// AwaitStart implements pass.View.
func (f *feed) AwaitStart(context.Context, origin.Key) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.awaited++
	if f.noOrigins {
		return ctrl.Unreachable.New("no leader")
	}
	return nil
}

// EndStream implements pass.View.
func (f *feed) EndStream(_ origin.Key, completed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = append(f.ended, completed)
}

// Origin implements pass.View.
func (f *feed) Origin(_ context.Context, key origin.Key, _ string) (origin.Build, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.noOrigins {
		return origin.Build{}, false, ctrl.Unreachable.New("no leader")
	}
	b, ok := f.origins[key]
	return b, ok, nil
}

// RecordRate implements pass.View.
func (f *feed) RecordRate(run limit.EndpointRun, rate value.Option[float64], _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, named := rate.Get(); named {
		f.rates[run] = r
	} else {
		delete(f.rates, run)
	}
}

// NamedRate implements pass.View.
func (f *feed) NamedRate(run limit.EndpointRun) (float64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rate, named := f.rates[run]
	return rate, named
}

// PermitCount implements pass.View.
func (f *feed) PermitCount(run limit.EndpointRun) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.permits[run]
}

// TakePermit implements pass.View.
func (f *feed) TakePermit(run limit.EndpointRun) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.permits[run] == 0 {
		return false
	}
	f.permits[run]--
	return true
}

// Cold implements pass.View.
func (f *feed) Cold() *ctrl.Cold {
	if c := f.cold.Load(); c != nil {
		return c
	}
	return &noCold
}

var noCold ctrl.Cold

// Permitted implements pass.View; the entry looks for permits of its own accord.
func (f *feed) Permitted() <-chan struct{} { return nil }

func (f *feed) permit(run limit.EndpointRun, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.permits[run] += n
}

func (f *feed) IsSuspected(fingerprint func() string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashTracker != nil && slices.Contains(f.crashTracker.Verdicts(f.clock).Watched, fingerprint())
}

func (f *feed) RecordCompletion(fingerprint func() string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashTracker != nil {
		f.crashTracker = f.crashTracker.Apply(limit.CrashCommand{Completed: []string{fingerprint()}}, f.clock)
	}
}

// OtherWork implements pass.View. Each snapshot has an edition of its own.
func (f *feed) OtherWork() *tally.Snapshot {
	if len(f.others) == 0 {
		return nil
	}
	var amounts []tally.Amount
	for name, tokens := range f.others {
		amounts = append(amounts, tally.Amount{Name: name, Value: uint32(tokens / ctrl.WorkUnitTokens)})
	}
	return tally.SnapshotOf(f.edition.Add(1), amounts)
}

func (f *feed) EntryCount() int { return 1 }
