package pass_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"egretshunt/board"
	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/pass"
)

// BenchmarkServe forwards prompts with 10, 100 and 300 endpoints in the list. It shows how an
// entry's processor time per request depends on their number.
func BenchmarkServe(b *testing.B) {
	for _, size := range []int{10, 100, 300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchmarkServe(b, size) })
	}
}

func benchmarkServe(b *testing.B, size int) {
	set, err := board.New(board.Draft{
		Number: 1, RequireKeys: true, Accounts: []board.Account{{Name: "a", Keys: []string{"k"}}},
		Pools: []board.Pool{{Name: "p", Engine: &board.Engine{Tokens: 90000, TokenBytes: 1000}}},
		Routes: []board.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: board.Stream, Attempts: 1, Timeout: 10 * time.Second, Goal: time.Second,
			Patience: 2 * time.Second, Split: []board.WeightedPool{{Pool: "p", Weight: 1}}, NamesPromptParts: true,
		}},
	})
	check.NoError(b, err)
	var endpoints []member.Endpoint
	for i := range size {
		endpoints = append(endpoints, member.Endpoint{
			ID: fmt.Sprintf("i-%08x", i), Pool: "p", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
			Weights: map[string]uint64{"m": 3},
		})
	}
	entry := pass.New(pass.Config{
		View:         &feed{view: &ctrl.View{Set: &ctrl.TableSetDocument{Number: 1}}, list: (&member.List{Endpoints: endpoints}).Index()},
		Backend:      &scriptedBackend{responses: []func(*pass.Send) (*pass.Reply, error){respondWith(200, eventA)}},
		Decode:       func([]byte) (*board.Set, error) { return set, nil },
		RetryLimiter: limit.RetryLimiterConfig{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}, RolloutTimeout: time.Hour,
	})
	defer entry.Close()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		entry.Serve(context.Background(), &pass.Call{
			ID: fmt.Sprint("id-", i), Host: "h", Method: http.MethodPost, Path: "/x", Target: "/x", Header: http.Header{}, APIKey: "k",
			Arrived: time.Now(), ClientTimeout: 5 * time.Second, Model: "m",
			Parts: []pass.Part{{ID: "sys", Tokens: 500}, {ID: fmt.Sprint("subject-", i%700), Tokens: 8000}, {ID: fmt.Sprint("own-", i), Tokens: 300}},
		}, httptest.NewRecorder())
	}
}
