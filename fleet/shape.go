// Package fleet runs a complete deployment on loopback, in one process or as
// processes of the built binary.
//
// It owns the sample shapes and the start, kill and restart of a deployment's
// nodes: entries with control VMs, stores, and agents with the fake engines and
// services behind them, so that a request takes its full path. The demo, the
// drill, the capacity measurements and the tests use it.
package fleet

import (
	"fmt"
	"time"

	"egretshunt/fake"
	"egretshunt/table"
	"egretshunt/value"
)

// Shape describes a deployment's size and load.
type Shape struct {
	Name   string
	Places []string
	// Model and Service are the targets that clients name in their requests.
	Model, Service   string
	Workers, Helpers int
	Stores, Accounts int
	PrefillRate      float64
	TokenInterval    time.Duration
	Weights          table.Weights
	Link             uint64
}

// Caroni returns the shape of the Caroni Pump Services Consortium's deployment. Its prompts
// have long histories, so recomputation and link use have the most weight in placement.
func Caroni() Shape {
	return Shape{
		Name: "caroni", Places: []string{"north", "mid", "south"}, Model: "planner", Service: "dispatch",
		Workers: 10, Helpers: 3, Stores: 2, Accounts: 10, PrefillRate: 40_000, TokenInterval: 10 * time.Millisecond,
		Weights: table.Weights{First: 0.5, Recompute: 0.05, Link: 0.05}, Link: 200 << 20,
	}
}

// Barua returns the shape of Barua Forward Holdings' deployment. Its clients are clerks
// who serve a live queue, so time to first token has the most weight in placement.
func Barua() Shape {
	return Shape{
		Name: "barua", Places: []string{"east", "mid", "west"}, Model: "drafter", Service: "counter",
		Workers: 12, Helpers: 3, Stores: 2, Accounts: 10, PrefillRate: 40_000, TokenInterval: 10 * time.Millisecond,
		Weights: table.Weights{First: 1, Recompute: 0.01, Link: 0.002}, Link: 200 << 20,
	}
}

// Tiny returns a small shape for tests.
func Tiny() Shape {
	s := Caroni()
	s.Name, s.Workers, s.Helpers, s.Stores, s.Accounts = "tiny", 3, 2, 1, 3
	s.PrefillRate, s.TokenInterval = 200_000, time.Millisecond
	return s
}

// Account returns the name of the n-th client account.
func (s Shape) Account(n int) string { return fmt.Sprintf("member-%d", n) }

// Key returns the public demo key of the n-th client account.
func (s Shape) Key(n int) string { return fmt.Sprintf("demo-key-of-%s-%d", s.Name, n) }

// OperatorKey is the public demo key of the operator.
const OperatorKey = "demo-key-of-the-operator"

// Names of the pools in every shape.
const (
	WorkerPool = "workers"
	HelperPool = "helpers"
	StorePool  = "stores"
)

// InitialVersion is the weight version that engines start with.
const InitialVersion = "v1"

func (s Shape) engine() fake.EngineConfig {
	return fake.EngineConfig{
		Version: InitialVersion, PrefillRate: s.PrefillRate, TokenInterval: s.TokenInterval, Slots: 16, Blocks: 400, KV: 4096,
		LoadTime: 300 * time.Millisecond, CrashOnMark: true, IgnoreEpochs: true,
	}
}

// routes returns the rows that route each account's requests to the model and to the service.
func (s Shape) routes() []*table.Route {
	var rows []*table.Route
	for n := range s.Accounts {
		rows = append(rows,
			&table.Route{
				Name: fmt.Sprintf("%s-%s", s.Account(n), s.Model), Account: s.Account(n), Target: s.Model,
				Pools: []string{WorkerPool}, Stores: []string{StorePool}, Class: table.Normal, Weights: s.Weights,
				Retry: 0.2, Time: value.SpanOf(time.Minute),
			},
			&table.Route{
				Name: fmt.Sprintf("%s-%s", s.Account(n), s.Service), Account: s.Account(n), Target: s.Service,
				Pools: []string{HelperPool}, Class: table.Urgent, Retry: 0.2, Time: value.SpanOf(20 * time.Second),
			})
	}
	return rows
}
