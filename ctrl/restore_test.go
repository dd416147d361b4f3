package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/ledger"
	"egretshunt/limit"
	"egretshunt/table"
)

// drawCommand draws a command of any kind, with few names, so that commands meet.
func drawCommand(t *rapid.T, now time.Time) ctrl.Command {
	name := func(what string) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, what) }
	c := ctrl.Command{Now: now}
	crashes := func() *limit.CrashCommand {
		out := &limit.CrashCommand{Entry: name("entry")}
		for i := range rapid.IntRange(0, 3).Draw(t, "reports") {
			out.Reports = append(out.Reports, limit.CrashReport{
				ID: fmt.Sprint(now.UnixNano(), i), Fingerprint: name("print"), Endpoint: name("endpoint"), Born: now.UnixMilli(),
				Part: rapid.Bool().Draw(t, "part"), Account: name("account"), Age: time.Duration(rapid.IntRange(0, 500).Draw(t, "age")) * time.Millisecond,
			})
		}
		if rapid.Bool().Draw(t, "complete") {
			out.Completed = []string{name("completed")}
		}
		return out
	}
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 0:
		change := poolChange(fmt.Sprint(now.UnixNano()), name("pool"), uint64(rapid.IntRange(0, 2).Draw(t, "base")), "z")
		if rapid.Bool().Draw(t, "delete") {
			change.Op, change.Body = table.Delete, nil
		}
		c.Change = &change
	case 1:
		op := rapid.SampledFrom([]string{ledger.OpClaim, ledger.OpFinish, ledger.OpRelease, ledger.OpMarkUnknown}).Draw(t, "op")
		claim := ledger.Claim{Key: ledger.Key{Account: "a", Key: name("key")}, Nonce: name("nonce"), Attempt: uint32(rapid.IntRange(0, 2).Draw(t, "attempt")), At: now}
		if op == ledger.OpFinish {
			claim.Response = &ledger.Response{Status: 200, Body: []byte("done")}
		}
		c.Claim = &ledger.Command{Op: op, Claim: claim}
	case 2:
		op := rapid.SampledFrom([]string{limit.OpCrash, limit.OpIsolatedRun, limit.OpClear, limit.OpOperatorClear, limit.OpQuarantine}).Draw(t, "op")
		c.Suspect = &limit.Command{Op: op, Account: name("account"), Fingerprints: []string{name("print")}, Holder: name("holder"), Crash: fmt.Sprint(now.UnixNano())}
	case 3:
		c.Epoch = &ctrl.Epoch{CommandIssuer: name("issuer"), Nonce: name("nonce")}
	case 4:
		c.Leave = &ctrl.Leave{}
		if rapid.Bool().Draw(t, "leaves") {
			c.Leave.Endpoints = []string{name("leaving")}
		}
	case 5:
		c.TableSet = &ctrl.TableSetDocument{Number: uint64(rapid.IntRange(1, 9).Draw(t, "number")), Body: []byte(name("body"))}
	case 6:
		c.Weights = &ctrl.Weights{Model: name("model"), Version: uint64(rapid.IntRange(1, 9).Draw(t, "version"))}
	case 7:
		c.Crashes = crashes()
	case 8:
		c.PartCrashes = crashes()
	case 9:
		c.RegisterNodes = []ctrl.NodeRegistration{{Node: name("node")}}
		c.UnregisterNodes = []string{name("gone")}
	case 10:
		c.Evacuation = &ctrl.Evacuation{Place: name("place"), End: rapid.Bool().Draw(t, "end")}
	}
	return c
}

func save(t check.T, m *ctrl.Machine) string {
	t.Helper()
	data, err := m.Save()
	check.NoError(t, err)
	return string(data)
}

func restore(t check.T, data string) *ctrl.Machine {
	t.Helper()
	m := ctrl.NewMachine(ledger.Config{})
	check.NoError(t, m.Restore([]byte(data)))
	return m
}

// TestRestoredStateEqualsSaved guards against members that go on from a snapshot with another state than the one that was
// saved: one that had seen no crash ended at the first.
func TestRestoredStateEqualsSaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original := ctrl.NewMachine(ledger.Config{})
		restored := original
		now := time.UnixMilli(1_000_000).UTC()
		for i := range uint64(rapid.IntRange(1, 30).Draw(t, "commands")) {
			if rapid.IntRange(0, 3).Draw(t, "snapshot") == 0 {
				data := save(t, original)
				restored = restore(t, data)
				check.Equal(t, "saved again", save(t, restored), data)
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond)
			c := drawCommand(t, now)
			want := original.Apply(i+1, c)
			if restored != original {
				check.Equal(t, "result", restored.Apply(i+1, c), want)
				check.Equal(t, "state", save(t, restored), save(t, original))
			}
		}
	})
}

// TestRestoreOfOlderSnapshots guards against snapshots of former versions that hold null where this version keeps records.
func TestRestoreOfOlderSnapshots(t *testing.T) {
	for name, data := range map[string]string{
		"empty":     `{}`,
		"nulls":     `{"tables":null,"ledger":null,"view":null,"nodes":null,"crashes":null}`,
		"in a view": `{"view":{"rev":7,"suspects":null},"crashes":null}`,
	} {
		t.Run(name, func(t *testing.T) {
			defer func() {
				if r := recover(); r != nil {
					t.Errorf("the restored member panicked: %v", r)
				}
			}()
			m := restore(t, data)
			report := limit.CrashReport{ID: "1", Fingerprint: "a", Endpoint: "w"}
			m.Apply(8, ctrl.Command{Crashes: &limit.CrashCommand{Reports: []limit.CrashReport{report}}})
			m.Apply(9, ctrl.Command{Suspect: &limit.Command{Op: limit.OpCrash, Account: "a", Fingerprints: []string{"x"}}})
			change := poolChange("1", "p", 0, "z")
			check.Equal(t, "code of a change", m.Apply(10, ctrl.Command{Change: &change}).Change.Code, "")
			m.Apply(11, ctrl.Command{RegisterNodes: []ctrl.NodeRegistration{{Node: "n"}}})
			claim := ledger.Claim{Key: ledger.Key{Account: "a", Key: "k"}}
			check.Equal(t, "code of a claim", m.Apply(12, ctrl.Command{Claim: &ledger.Command{Op: ledger.OpClaim, Claim: claim}}).Claim.Code, ledger.Granted)
		})
	}
}
