package stand2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Worker is a worker of a service.
type Worker struct {
	ID, Service, Zone, Addr string
	// Build is the version of its software, Model the model that it serves, if any, with the version of its weights.
	Build, Model string
	Weights      uint64
	Slots        int
	State        string
	// Run runs a request that was accepted.
	Run func(w http.ResponseWriter, r *http.Request, body []byte)

	system *System
	born   int64
	server *http.Server

	mu     sync.Mutex
	events []any
	news   chan struct{}
	conns  map[net.Conn]bool
}

// NewWorker returns a worker that doesn't run yet.
func (s *System) NewWorker(id, service, zone string) *Worker {
	return &Worker{ID: id, Service: service, Zone: zone, Addr: fmt.Sprintf("%s:%d", s.NewIP(), s.ports.app), Build: "v1", Slots: 64, State: "ready", system: s}
}

// Start starts the worker, as a new incarnation.
func (w *Worker) Start() error {
	l, err := net.Listen("tcp", w.Addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.born, w.events, w.news, w.conns = time.Now().UnixMilli(), nil, make(chan struct{}), map[net.Conn]bool{}
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if state == http.StateNew {
			w.conns[c] = true
		} else if state == http.StateClosed {
			delete(w.conns, c)
		}
	}}
	server := w.server
	w.mu.Unlock()
	w.system.Log("worker %s starts, version %s", w.ID, w.Build)
	go func() { _ = server.Serve(l) }()
	return nil
}

// Crash ends the worker: its listener and all its connections are closed.
func (w *Worker) Crash() {
	w.system.Log("worker %s crashes", w.ID)
	w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.Close()
	}
}

func (w *Worker) entry() map[string]any {
	e := map[string]any{
		"Id": w.ID, "Service": w.Service, "Address": w.Addr, "Zone": w.Zone, "Version": w.Build, "Slots": w.Slots, "State": w.State, "ColdLeftMs": 0, "born": w.born,
	}
	if w.Model != "" {
		e["Stage"], e["Models"] = "unified", w.models()
	}
	return e
}

func (w *Worker) models() []any {
	return []any{map[string]any{"Name": w.Model, "Version": w.Weights, "Adapters": []any{}}}
}

// Cached tells callers that the worker keeps parts now.
func (w *Worker) Cached(salt string, parts []Part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range parts {
		w.events = append(w.events, []any{len(w.events) + 1, "+", salt, p.ID, p.Tokens, w.Model})
	}
	close(w.news)
	w.news = make(chan struct{})
}

// ServeHTTP serves a request or a call.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id := r.Header.Get("Request-Id"); id != "" {
		out.Header().Set("Request-Id", id)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.ID {
		out.Header().Set("Instance-Id", w.ID)
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		out.Header().Set("Instance-Id", w.ID)
		return
	case "/-/report":
		w.reply(out, map[string]any{"Stage": "unified", "Models": w.models(), "Busy": false, "Seq": 0, "Queued": 0, "Running": 0, "KvUsed": 0, "KvTotal": 95037, "Handles": 0})
		return
	case "/-/kv-events":
		w.serveEvents(out, r)
		return
	case "/-/kv-list":
		w.reply(out, map[string]any{"NextToken": 0, "Held": []any{}})
		return
	case "/-/order":
		w.reply(out, map[string]any{})
		return
	}
	if want := r.Header.Get("Expect-Version"); want != "" && want != strconv.FormatUint(w.Weights, 10) {
		out.Header().Set("Instance-Id", w.ID)
		out.Header().Set("Weight-Versions", strconv.FormatUint(w.Weights, 10))
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("Request-Id") == "" {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.Model != "" {
		out.Header().Set("Weight-Versions", strconv.FormatUint(w.Weights, 10))
	}
	w.Run(out, r, body)
}

// reply answers a call, with what each answer of a worker says of itself.
func (w *Worker) reply(out http.ResponseWriter, content map[string]any) {
	content["born"], content["BootEpoch"], content["clock_ms"] = w.born, w.born, time.Since(w.system.began).Milliseconds()+1_000_000
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(content)
}

func (w *Worker) serveEvents(out http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("Since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	timer := time.NewTimer(time.Duration(min(wait, 1000)) * time.Millisecond)
	defer timer.Stop()
	for {
		w.mu.Lock()
		n, news := len(w.events), w.news
		events := []any{}
		if since < n {
			events = append(events, w.events[max(since, 0):]...)
		}
		w.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-news:
				continue
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
		}
		w.reply(out, map[string]any{"NextToken": n, "Lost": since > n, "Events": events})
		return
	}
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Parts reads the Prefix-Hash header of a request.
func Parts(r *http.Request) []Part {
	var parts []Part
	for _, f := range strings.Split(r.Header.Get("Prefix-Hash"), ",") {
		id, tokens, _ := strings.Cut(f, ":")
		n, _ := strconv.Atoi(tokens)
		parts = append(parts, Part{id, n})
	}
	return parts
}

// Seal is the signature of a worker.
func (w *Worker) Seal(r *http.Request) string { return w.ID + "." + r.Header.Get("Request-Id") }
