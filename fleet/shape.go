// Package fleet runs a whole deployment in one process on loopback.
//
// It owns the two sample shapes and the start, kill and restart of their
// processes with the fakes beside them. The demo, the drill and the tests use it.
package fleet

import (
	"fmt"
	"time"

	"egretshunt/fake"
	"egretshunt/table"
	"egretshunt/value"
)

// Shape describes a deployment.
type Shape struct {
	Name   string
	Places []string
	// Model and Service are the targets that callers name.
	Model, Service   string
	Workers, Helpers int
	Stores, Accounts int
	Prefill          float64
	Gap              time.Duration
	Weights          table.Weights
	Link             uint64
}

// Caroni is the deployment of the Caroni Pump Services Consortium: long
// histories, so that recomputing and link use weigh most.
func Caroni() Shape {
	return Shape{
		Name: "caroni", Places: []string{"north", "mid", "south"}, Model: "planner", Service: "dispatch",
		Workers: 10, Helpers: 3, Stores: 2, Accounts: 10, Prefill: 40_000, Gap: 10 * time.Millisecond,
		Weights: table.Weights{First: 0.5, Recompute: 0.05, Link: 0.05}, Link: 200 << 20,
	}
}

// Barua is the deployment of Barua Forward Holdings: clerks before a live queue,
// so that time to first token weighs most.
func Barua() Shape {
	return Shape{
		Name: "barua", Places: []string{"east", "mid", "west"}, Model: "drafter", Service: "counter",
		Workers: 12, Helpers: 3, Stores: 2, Accounts: 10, Prefill: 40_000, Gap: 10 * time.Millisecond,
		Weights: table.Weights{First: 1, Recompute: 0.01, Link: 0.002}, Link: 200 << 20,
	}
}

// Tiny is a small shape for tests.
func Tiny() Shape {
	s := Caroni()
	s.Name, s.Workers, s.Helpers, s.Stores, s.Accounts = "tiny", 3, 2, 1, 3
	s.Prefill, s.Gap = 200_000, time.Millisecond
	return s
}

// Account returns the name of the n-th client account.
func (s Shape) Account(n int) string { return fmt.Sprintf("member-%d", n) }

// Key returns the demo key of the n-th client account. It is no secret.
func (s Shape) Key(n int) string { return fmt.Sprintf("demo-key-of-%s-%d", s.Name, n) }

// OperatorKey is the demo key of the operator. It is no secret.
const OperatorKey = "demo-key-of-the-operator"

// Names of the pools.
const (
	WorkerPool = "workers"
	HelperPool = "helpers"
	StorePool  = "stores"
)

// InitialVersion is the weight version that engines start with.
const InitialVersion = "v1"

func (s Shape) engine() fake.EngineConfig {
	return fake.EngineConfig{
		Version: InitialVersion, Prefill: s.Prefill, Gap: s.Gap, Slots: 16, Blocks: 400, KV: 4096,
		LoadTime: 300 * time.Millisecond, CrashOnMark: true, IgnoreEpochs: true,
	}
}

// routes returns the rows that lead every account to the model and to the service.
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
