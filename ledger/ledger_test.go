package ledger_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretshunt/check"
	"egretshunt/ledger"
)

var start = time.Unix(1_000_000, 0)

func claimCommand(key, nonce string) ledger.Command {
	return ledger.Command{Op: ledger.OpClaim, Claim: ledger.Claim{
		Key: ledger.Key{Account: "a", Key: key}, Fingerprint: "p", Owner: "e", Nonce: nonce, Endpoint: "x", Incarnation: "b",
		At: start, Until: start.Add(time.Minute),
	}}
}

func commandFor(op, key, nonce string, attempt uint32) ledger.Command {
	c := claimCommand(key, nonce)
	c.Op, c.Attempt = op, attempt
	return c
}

func TestClaimLifecycle(t *testing.T) {
	s := ledger.NewState(ledger.Config{})
	check.Equal(t, "claim", s.Apply(claimCommand("k", "n")).Code, ledger.Granted)
	check.Equal(t, "resent claim", s.Apply(claimCommand("k", "n")).Code, ledger.Granted)
	check.Equal(t, "claim by another caller", s.Apply(claimCommand("k", "m")).Code, ledger.Held)
	other := claimCommand("k", "o")
	other.Fingerprint = "another body"
	check.Equal(t, "key reused for another body", s.Apply(other).Code, ledger.KeyReused)
	check.Equal(t, "take over from a live owner", s.Apply(commandFor(ledger.OpTakeOver, "k", "m", 1)).Code, ledger.Held)
	t.Run("owner dead", func(t *testing.T) {
		c := commandFor(ledger.OpTakeOver, "k", "m", 1)
		c.OwnerDead = true
		check.Equal(t, "take", s.Apply(c).Code, ledger.Granted)
	})
	t.Run("finish of a stale attempt", func(t *testing.T) {
		check.Equal(t, "move", s.Apply(commandFor(ledger.OpMove, "k", "m", 1)).Claim.Attempt, uint32(2))
		check.Equal(t, "late", s.Apply(commandFor(ledger.OpFinish, "k", "n", 1)).Code, ledger.Stale)
		finish := commandFor(ledger.OpFinish, "k", "m", 2)
		finish.Response = &ledger.Response{Status: 201, Body: []byte("x")}
		check.Equal(t, "finish", s.Apply(finish).Code, ledger.Granted)
		check.Equal(t, "resend", string(s.Apply(claimCommand("k", "z")).Claim.Response.Body), "x")
	})
	t.Run("unknown until settled", func(t *testing.T) {
		s.Apply(claimCommand("u", "n"))
		check.Equal(t, "lose", s.Apply(commandFor(ledger.OpMarkUnknown, "u", "n", 1)).Claim.State, ledger.Unknown)
		check.Equal(t, "claim", s.Apply(claimCommand("u", "m")).Claim.State, ledger.Unknown)
		settle := commandFor(ledger.OpSettle, "u", "", 0)
		settle.Verdict = ledger.Free
		check.Equal(t, "settle", s.Apply(settle).Claim.State, ledger.Free)
		check.Equal(t, "claim after", s.Apply(claimCommand("u", "m")).Claim.Attempt, uint32(2))
	})
}

func TestBoundsDropOldestFirst(t *testing.T) {
	s := ledger.NewState(ledger.Config{Bytes: 25, Count: 10, Age: time.Hour})
	for i := range 5 {
		k := fmt.Sprint(i)
		s.Apply(claimCommand(k, "n"))
		finish := commandFor(ledger.OpFinish, k, "n", 1)
		finish.Response = &ledger.Response{Status: 200, Body: make([]byte, 10)}
		s.Apply(finish)
	}
	t.Run("bodies go before claims", func(t *testing.T) {
		first, _ := s.Lookup(ledger.Key{Account: "a", Key: "0"})
		last, _ := s.Lookup(ledger.Key{Account: "a", Key: "4"})
		check.Equal(t, "first dropped", first.Response.BodyDropped, true)
		check.Equal(t, "last kept", len(last.Response.Body), 10)
		check.Equal(t, "first still done", first.State, ledger.Done)
	})
	t.Run("age", func(t *testing.T) {
		late := claimCommand("late", "n")
		late.At = start.Add(2 * time.Hour)
		s.Apply(late)
		check.Equal(t, "claims left", s.Len(), 1)
	})
}

// TestSettledClaimIsKept guards against a booking that runs again: its outcome was unknown for longer than claims are kept,
// an operator has settled it as done, and its caller sends it once more.
func TestSettledClaimIsKept(t *testing.T) {
	s := ledger.NewState(ledger.Config{Age: time.Hour})
	s.Apply(claimCommand("k", "n"))
	s.Apply(commandFor(ledger.OpMarkUnknown, "k", "n", 1))
	settle := commandFor(ledger.OpSettle, "k", "", 0)
	settle.Verdict, settle.At = ledger.Done, start.Add(48*time.Hour)
	check.Equal(t, "settled", s.Apply(settle).Claim.State, ledger.Done)
	resend := func(after time.Duration) string {
		c := claimCommand("k", "m")
		c.At = settle.At.Add(after)
		return s.Apply(c).Code
	}
	check.Equal(t, "sent once more", resend(time.Minute), ledger.Held)
	check.Equal(t, "sent once more after the claim's age", resend(61*time.Minute), ledger.Granted)
}

// TestFuzz has entries claim, run, crash and take over, with an agent that honors
// acceptance and revocation, and checks that each key runs at most once.
func TestFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := ledger.NewState(ledger.Config{})
		type attempt struct {
			accepted, revoked, ran bool
		}
		agent := map[string]*attempt{}
		runsByKey := map[string]int{}
		finished := map[string]string{}
		granted := map[string]*ledger.Claim{}
		nonce := 0
		attemptOf := func(c *ledger.Claim) *attempt {
			id := fmt.Sprintf("%s/%d", c.Key.Key, c.Attempt)
			if agent[id] == nil {
				agent[id] = &attempt{}
			}
			return agent[id]
		}
		key := func(t *rapid.T) string { return rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key") }
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				nonce++
				k := key(t)
				if r := s.Apply(claimCommand(k, fmt.Sprint(nonce))); r.Code == ledger.Granted {
					granted[k] = r.Claim
				}
			},
			"offer": func(t *rapid.T) {
				if c := granted[key(t)]; c != nil {
					if a := attemptOf(c); !a.revoked && !a.accepted {
						a.accepted = true
						a.ran = true
						runsByKey[c.Key.Key]++
					}
				}
			},
			"finish": func(t *rapid.T) {
				if c := granted[key(t)]; c != nil && attemptOf(c).ran {
					s.Apply(commandFor(ledger.OpFinish, c.Key.Key, c.Nonce, c.Attempt))
				}
			},
			"refused": func(t *rapid.T) {
				if c := granted[key(t)]; c != nil && !attemptOf(c).accepted {
					attemptOf(c).revoked = true
					s.Apply(commandFor(ledger.OpRelease, c.Key.Key, c.Nonce, c.Attempt))
				}
			},
			"take over": func(t *rapid.T) {
				k := key(t)
				nonce++
				take := commandFor(ledger.OpTakeOver, k, fmt.Sprint(nonce), 0)
				take.OwnerDead = true
				r := s.Apply(take)
				if r.Code != ledger.Granted {
					return
				}
				if a := attemptOf(r.Claim); a.accepted {
					s.Apply(commandFor(ledger.OpFinish, k, fmt.Sprint(nonce), r.Claim.Attempt))
					finished[k] = ledger.Done
				} else {
					a.revoked = true
					s.Apply(commandFor(ledger.OpRelease, k, fmt.Sprint(nonce), r.Claim.Attempt))
				}
			},
			"restart": func(t *rapid.T) {
				data, err := json.Marshal(s)
				check.NoError(t, err)
				s = ledger.NewState(ledger.Config{})
				check.NoError(t, json.Unmarshal(data, s))
			},
			"": func(t *rapid.T) {
				for k, n := range runsByKey {
					if n > 1 {
						t.Fatalf("key %s ran %d times", k, n)
					}
				}
				for k := range finished {
					if runsByKey[k] != 1 {
						t.Fatalf("key %s is done and ran %d times", k, runsByKey[k])
					}
				}
				for _, k := range []string{"k", "l"} {
					c, ok := s.Lookup(ledger.Key{Account: "a", Key: k})
					if ok && c.State == ledger.Free && runsByKey[k] > 0 {
						t.Fatalf("key %s is free although it ran", k)
					}
				}
			},
		})
	})
}
