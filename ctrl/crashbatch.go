package ctrl

import (
	"context"
	"slices"
	"sync"
	"time"

	"egretshunt/limit"
	"egretshunt/value"
)

const (
	// crashBatchTimeout bounds the replication of one batch of crash reports. Until then no report in it is proposed again: under
	// load, repeated proposals would delay the log that the entries wait for.
	crashBatchTimeout = 2 * time.Second
	// maxReplicated is the number of replicated batches that are remembered: an entry whose sync ended before its reports were replicated
	// sends them once more.
	maxReplicated = 8
	// maxBatchReports bounds the reports in one entry of the log, in which each takes some 250 bytes.
	maxBatchReports = 4096
)

// crashBatcher replicates the crash reports of all entries, one batch at a time. What arrives while a batch is being replicated goes
// into the next one.
//
// The load pattern is the end of a part of the endpoints at once: each entry has reports on all requests that it had in flight there,
// and sends them again until they are counted.
type crashBatcher struct {
	propose func(ctx context.Context, c *limit.CrashCommand) error
	// now is clock.Now, but in tests.
	now func() time.Duration

	// mu guards the rest. waiting are batches that are not proposed yet, in order; proposed is the one that is being replicated, or nil;
	// replicated are the latest that were.
	mu         sync.Mutex
	waiting    []*crashBatch
	proposed   *crashBatch
	replicated []*crashBatch
}

// crashBatch is one command and what it holds. Once done is closed, err is why it wasn't replicated; nil if it was.
type crashBatch struct {
	command limit.CrashCommand
	// arrived holds when each report arrived, by clock.Now.
	arrived   []time.Duration
	ids       value.Set[string]
	completed value.Set[string]
	// completedAt holds the completed runs by fingerprint and entry.
	completedAt map[completion]bool
	done        chan struct{}
	err         error
}

// completion is a completed run of the request with a fingerprint, which an entry reports.
type completion struct{ entry, fingerprint string }

func newCrashBatch() *crashBatch {
	return &crashBatch{ids: value.SetOf[string](), completed: value.SetOf[string](), completedAt: map[completion]bool{}, done: make(chan struct{})}
}

// takes reports whether a command's evidence may be added. Within a command all reports count before the completed runs, so a report
// doesn't join an earlier completion of the same fingerprint.
func (b *crashBatch) takes(reports []limit.CrashReport) bool {
	clears := func(r limit.CrashReport) bool { return b.completed.Has(r.Fingerprint) }
	return len(b.command.Reports)+len(reports) <= maxBatchReports && !slices.ContainsFunc(reports, clears)
}

func (b *crashBatch) add(entry string, reports []limit.CrashReport, completed []string, now time.Duration) {
	for _, r := range reports {
		b.ids.Add(r.ID)
		b.arrived = append(b.arrived, now)
	}
	b.command.Reports = append(b.command.Reports, reports...)
	for _, fingerprint := range completed {
		b.completedAt[completion{entry, fingerprint}] = true
		if !b.completed.Has(fingerprint) {
			b.completed.Add(fingerprint)
			b.command.Completed = append(b.command.Completed, fingerprint)
		}
	}
}

// dated returns the command with reports that say how long before now the attempts began and ended: they have waited in the batch for
// different times, and attempts of different entries are compared by these.
func (b *crashBatch) dated(now time.Duration) *limit.CrashCommand {
	c := b.command
	c.Reports = slices.Clone(c.Reports)
	for i := range c.Reports {
		waited := now - b.arrived[i]
		c.Reports[i].Age += waited
		c.Reports[i].Ended += waited
	}
	return &c
}

// record replicates an entry's evidence. It returns once all of it is replicated, or an error of the proposal, or of type OutcomeUnknown
// when ctx ends: what was added then is replicated nevertheless.
func (b *crashBatcher) record(ctx context.Context, c *limit.CrashCommand) error {
	for _, batch := range b.add(c) {
		select {
		case <-batch.done:
			if batch.err != nil {
				return batch.err
			}
		case <-ctx.Done():
			return OutcomeUnknown.Wrap(ctx.Err(), "wait for crash reports to be replicated")
		}
	}
	return nil
}

// add adds evidence to a batch and returns the batches that hold it.
func (b *crashBatcher) add(c *limit.CrashCommand) []*crashBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	holders := map[*crashBatch]bool{}
	var further []limit.CrashReport
	var completed []string
	for _, r := range c.Reports {
		if holder := b.holderOf(r.ID); holder != nil {
			holders[holder] = true
		} else {
			further = append(further, r)
		}
	}
	for _, fingerprint := range c.Completed {
		// A completed run that is sent again must not clear crashes that were reported meanwhile.
		if holder := b.pendingWith(completion{c.Entry, fingerprint}); holder != nil {
			holders[holder] = true
		} else {
			completed = append(completed, fingerprint)
		}
	}
	if len(further)+len(completed) > 0 {
		last := len(b.waiting) - 1
		if last < 0 || !b.waiting[last].takes(further) {
			b.waiting = append(b.waiting, newCrashBatch())
			last++
		}
		b.waiting[last].add(c.Entry, further, completed, b.now())
		holders[b.waiting[last]] = true
	}
	if b.proposed == nil && len(b.waiting) > 0 {
		b.start()
	}
	var all []*crashBatch
	for holder := range holders {
		all = append(all, holder)
	}
	return all
}

// holderOf returns the batch that holds a report, or nil. The caller holds mu.
func (b *crashBatcher) holderOf(id string) *crashBatch {
	holds := func(batch *crashBatch) bool { return batch.ids.Has(id) }
	if b.proposed != nil && holds(b.proposed) {
		return b.proposed
	}
	for _, batches := range [][]*crashBatch{b.waiting, b.replicated} {
		if i := slices.IndexFunc(batches, holds); i >= 0 {
			return batches[i]
		}
	}
	return nil
}

// pendingWith returns the batch that holds a completed run and isn't replicated yet, or nil. The caller holds mu.
func (b *crashBatcher) pendingWith(c completion) *crashBatch {
	if b.proposed != nil && b.proposed.completedAt[c] {
		return b.proposed
	}
	for _, batch := range b.waiting {
		if batch.completedAt[c] {
			return batch
		}
	}
	return nil
}

// start proposes the first batch that waits. The caller holds mu.
func (b *crashBatcher) start() {
	b.proposed = b.waiting[0]
	b.waiting = b.waiting[1:]
	go b.replicate(b.proposed)
}

func (b *crashBatcher) replicate(batch *crashBatch) {
	ctx, cancel := context.WithTimeout(context.Background(), crashBatchTimeout)
	defer cancel()
	batch.err = b.propose(ctx, batch.dated(b.now()))
	defer close(batch.done)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.proposed = nil
	if batch.err == nil {
		b.replicated = append(b.replicated[max(len(b.replicated)-maxReplicated+1, 0):], batch)
	}
	if len(b.waiting) > 0 {
		b.start()
	}
}
