package ctrl

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
)

// slowLog stands for a replicated log that takes some time for each command.
type slowLog struct {
	takes    time.Duration
	commands []*limit.CrashCommand
}

func (l *slowLog) propose(_ context.Context, c *limit.CrashCommand) error {
	l.commands = append(l.commands, c)
	time.Sleep(l.takes)
	return nil
}

func (l *slowLog) batcher() *crashBatcher {
	began := time.Now()
	return &crashBatcher{propose: l.propose, now: func() time.Duration { return time.Since(began) }}
}

func (l *slowLog) timesProposed() map[string]int {
	times := map[string]int{}
	for _, c := range l.commands {
		for _, r := range c.Reports {
			times[r.ID]++
		}
	}
	return times
}

func reportsOf(entry string, n int) *limit.CrashCommand {
	c := &limit.CrashCommand{Entry: entry}
	for i := range n {
		c.Reports = append(c.Reports, limit.CrashReport{ID: fmt.Sprint(entry, "/", i), Fingerprint: fmt.Sprint(entry, " request ", i)})
	}
	return c
}

// TestCrashReportsProposedOnce replays the end of a part of the endpoints while the log is slow: all entries report 150 requests, and send
// them again each 200 ms until they are counted. Without batches, each repetition of each entry was a proposal of its own, so that the log
// fell further behind until the leader was deposed.
func TestCrashReportsProposedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{takes: 500 * time.Millisecond}
		b := log.batcher()
		const entries, reports = 22, 150
		counted := make(chan int, entries)
		for i := range entries {
			go func() {
				c := reportsOf(fmt.Sprint("entry-", i), reports)
				for syncs := 1; ; syncs++ {
					ctx, cancel := context.WithTimeout(t.Context(), maxCountWait)
					err := b.record(ctx, c)
					cancel()
					if err == nil {
						counted <- syncs
						return
					}
				}
			}()
		}
		for range entries {
			<-counted
		}
		times := log.timesProposed()
		check.Equal(t, "reports", len(times), entries*reports)
		for id, n := range times {
			check.Equal(t, "times that "+id+" was proposed", n, 1)
		}
		if most := 3; len(log.commands) > most {
			t.Errorf("%d proposals; want %d at most", len(log.commands), most)
		}
	})
}

// TestReportAfterCompletionKeepsItsOrder guards against a batch in which a completed run clears a crash that was reported after it.
func TestReportAfterCompletionKeepsItsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{takes: 10 * time.Millisecond}
		b := log.batcher()
		record := func(c *limit.CrashCommand) { go func() { check.NoError(t, b.record(t.Context(), c)) }() }
		record(reportsOf("first", 1))
		synctest.Wait()
		record(&limit.CrashCommand{Entry: "second", Completed: []string{"x"}})
		synctest.Wait()
		record(&limit.CrashCommand{Entry: "third", Reports: []limit.CrashReport{{ID: "third/1", Fingerprint: "x"}}})
		time.Sleep(time.Second)
		check.Equal(t, "commands", len(log.commands), 3)
		check.Equal(t, "completed in the second", log.commands[1].Completed, []string{"x"})
		check.Equal(t, "reported in the third", log.commands[2].Reports[0].ID, "third/1")
	})
}

// TestFailedBatchIsProposedAgain guards against reports that are held for counted although their proposal failed.
func TestFailedBatchIsProposedAgain(t *testing.T) {
	failing := true
	b := crashBatcher{now: func() time.Duration { return 0 }, propose: func(context.Context, *limit.CrashCommand) error {
		if failing {
			return NotLeader.New("no longer")
		}
		return nil
	}}
	if err := b.record(t.Context(), reportsOf("entry", 2)); err == nil {
		t.Error("a failed proposal counts")
	}
	failing = false
	check.NoError(t, b.record(t.Context(), reportsOf("entry", 2)))
}

// TestWaitingReportsKeepTheirTimes guards against ends at one moment that count as a sequence, or the reverse, since their reports waited in
// different batches: attempts of different entries are compared by how long ago they began and ended.
func TestWaitingReportsKeepTheirTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{takes: 100 * time.Millisecond}
		b := log.batcher()
		record := func(entry string, age time.Duration) {
			c := reportsOf(entry, 1)
			c.Reports[0].Age, c.Reports[0].Ended = age, age/2
			go func() { check.NoError(t, b.record(t.Context(), c)) }()
			synctest.Wait()
		}
		record("first", 20*time.Millisecond)
		time.Sleep(30 * time.Millisecond)
		record("second", 40*time.Millisecond)
		time.Sleep(time.Second)
		check.Equal(t, "commands", len(log.commands), 2)
		check.Equal(t, "age of one that didn't wait", log.commands[0].Reports[0].Age, 20*time.Millisecond)
		check.Equal(t, "age of one that waited", log.commands[1].Reports[0].Age, 110*time.Millisecond)
		check.Equal(t, "end of one that waited", log.commands[1].Reports[0].Ended, 90*time.Millisecond)
	})
}

// TestRepeatedCompletionClearsNothingLater guards against a completed run that is sent again, as it wasn't replicated in time, and then clears a
// crash that was reported after it.
func TestRepeatedCompletionClearsNothingLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{takes: 300 * time.Millisecond}
		b := log.batcher()
		record := func(c *limit.CrashCommand) {
			go func() { check.NoError(t, b.record(t.Context(), c)) }()
			synctest.Wait()
		}
		run := &limit.CrashCommand{Entry: "first", Completed: []string{"x"}}
		record(run)
		record(&limit.CrashCommand{Entry: "second", Reports: []limit.CrashReport{{ID: "second/1", Fingerprint: "x"}}})
		record(run)
		time.Sleep(time.Second)
		check.Equal(t, "commands", len(log.commands), 2)
		check.Equal(t, "completed beside the report", len(log.commands[1].Completed), 0)
	})
}
