package fake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

// CrashMark is the text that, in a prompt, crashes an Engine that has CrashOnMark set.
const CrashMark = "CRASH-THE-ENGINE"

// EngineConfig constructs an Engine.
type EngineConfig struct {
	Version string
	// PrefillRate is the prefill rate in tokens per second, and TokenInterval the time between two generated tokens.
	PrefillRate   float64
	TokenInterval time.Duration
	// Slots is how many requests run concurrently.
	Slots int
	// Blocks is the capacity of the prefix cache, in KV blocks.
	Blocks int
	// KV is the size of an exported block, in bytes.
	KV int
	// LoadTime is how long loading a weight version takes.
	LoadTime time.Duration
	// IgnoreEpochs makes the engine accept commands with a stale epoch.
	IgnoreEpochs bool
	// CrashOnMark makes prompts with CrashMark crash the engine for DownTime.
	CrashOnMark bool
	DownTime    time.Duration
	// DropEveryNth drops every n-th cache event; zero drops none.
	DropEveryNth int
	// LoadReportDelay delays each response to GET /load.
	LoadReportDelay time.Duration
}

// Engine simulates a model engine with an HTTP API. Its output is a function of the
// prompt, so that a client can check that a response is complete and belongs to its prompt.
type Engine struct {
	framing
	config EngineConfig
	addr   netip.AddrPort

	// mu guards the fields below, but for prefillMu, which lets one prompt prefill at a time.
	mu            sync.Mutex
	server        *http.Server
	slots         chan struct{}
	prefillMu     sync.Mutex
	incarnation   string
	version       string
	epoch         uint64
	down          bool
	startDelay    time.Duration
	cache         map[string]string
	evictionOrder []string
	events        []CacheEvent
	seq           uint64
	Counts
}

// Counts are an Engine's counters since its start; crashes don't reset them.
type Counts struct {
	Requests, Crashes, Commands, FencedCommands, ComputedTokens, ImportedBlocks, Running, MaxRunning int
	// Reused counts blocks found in the prefix cache, CrossVersionBlocks those of them that were
	// computed with another weight version, and CorruptImports imports whose bytes are not the
	// block's.
	Reused, CrossVersionBlocks, CorruptImports int
}

// CacheEvent reports that a block was added to or removed from the prefix cache.
type CacheEvent struct {
	Seq  uint64 `json:"seq"`
	Op   string `json:"op"`
	Name string `json:"name"`
}

// StartEngine starts an Engine on a free loopback port.
func StartEngine(c EngineConfig) (*Engine, error) {
	if c.Slots == 0 {
		c.Slots = 16
	}
	if c.DownTime == 0 {
		c.DownTime = 300 * time.Millisecond
	}
	if c.KV == 0 {
		c.KV = 4096
	}
	e := &Engine{config: c, version: c.Version, incarnation: uuid.NewString(), cache: map[string]string{}, slots: make(chan struct{}, c.Slots)}
	return e, e.listen(netip.MustParseAddrPort("127.0.0.1:0"))
}

func (e *Engine) listen(at netip.AddrPort) error {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return fmt.Errorf("start fake engine: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("GET /health", e.serveHealth)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /kv/events", e.serveCacheEvents)
	mux.HandleFunc("GET /kv/{name}", e.serveBlock)
	mux.HandleFunc("PUT /kv/{name}", e.serveImport)
	mux.HandleFunc("POST /orders", e.serveLoadCommand)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr = l.Addr().(*net.TCPAddr).AddrPort()
	e.server = &http.Server{Handler: e.wrap(mux)}
	server := e.server
	go func() { _ = server.Serve(l) }()
	return nil
}

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() netip.AddrPort { return e.addr }

// Totals returns the current counts.
func (e *Engine) Totals() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Counts
}

// Version returns the loaded weight version.
func (e *Engine) Version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// SetVersion changes the weight version without a command, as an engine's operator might.
func (e *Engine) SetVersion(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
}

// SetStartDelay delays the start of every request by d.
func (e *Engine) SetStartDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startDelay = d
}

// Crash breaks all connections, clears the prefix cache and starts a new incarnation, which
// listens after DownTime.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	e.Counts.Crashes++
	e.incarnation = uuid.NewString()
	e.cache, e.evictionOrder, e.events = map[string]string{}, nil, nil
	e.seq += 1000
	server := e.server
	e.mu.Unlock()
	server.Close()
	go func() {
		time.Sleep(e.config.DownTime)
		e.mu.Lock()
		e.down = false
		e.slots = make(chan struct{}, e.config.Slots)
		e.mu.Unlock()
		_ = e.listen(e.addr)
	}()
}

// Close stops the engine's server.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server.Close()
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var c completionRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, `{"error":{"message":"bad body"}}`, http.StatusBadRequest)
		return
	}
	prompt := c.promptText()
	if e.config.CrashOnMark && strings.Contains(prompt, CrashMark) {
		e.Crash()
		return
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = 16
	}
	if want := r.Header.Get("X-Weight-Version"); want != "" && want != e.Version() {
		http.Error(w, `{"error":{"message":"other weight version"}}`, http.StatusConflict)
		return
	}
	release, ok := e.acquireSlot(r)
	if !ok {
		return
	}
	defer release()
	chain := splitList(r.Header.Get("X-Kv-Chain"))
	if !e.prefillPrompt(r, len(prompt), chain) {
		return
	}
	if r.Header.Get("X-Prefill-Only") != "" {
		writeJSON(w, map[string]int{"tokens": len(prompt) / 4})
		return
	}
	if c.Stream {
		e.writeStream(w, r, prompt, c)
		return
	}
	e.writeResponse(w, r, prompt, c)
}

// acquireSlot waits for a free slot, then for the start delay; the returned function frees the slot.
func (e *Engine) acquireSlot(r *http.Request) (release func(), ok bool) {
	e.mu.Lock()
	slots, startDelay := e.slots, e.startDelay
	e.mu.Unlock()
	select {
	case slots <- struct{}{}:
	case <-r.Context().Done():
		return nil, false
	}
	if !sleep(r, startDelay) {
		<-slots
		return nil, false
	}
	e.mu.Lock()
	e.Requests++
	e.Running++
	e.MaxRunning = max(e.MaxRunning, e.Running)
	e.mu.Unlock()
	return func() {
		e.mu.Lock()
		e.Running--
		e.mu.Unlock()
		<-slots
	}, true
}

// prefillPrompt takes the time of prefilling the tokens that are not cached. It counts 4 bytes as a
// token and 1,000 tokens as a block.
func (e *Engine) prefillPrompt(r *http.Request, promptBytes int, chain []string) bool {
	e.prefillMu.Lock()
	defer e.prefillMu.Unlock()
	e.mu.Lock()
	cachedBlocks := 0
	for _, name := range chain {
		version, ok := e.cache[name]
		if !ok {
			break
		}
		if version != e.version {
			e.CrossVersionBlocks++
		}
		e.Reused++
		cachedBlocks++
	}
	uncachedTokens := max(0, promptBytes/4-cachedBlocks*1000)
	e.ComputedTokens += uncachedTokens
	e.mu.Unlock()
	if e.config.PrefillRate > 0 && !sleep(r, time.Duration(float64(uncachedTokens)/e.config.PrefillRate*float64(time.Second))) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range chain {
		e.cacheBlock(name)
	}
	return true
}

// cacheBlock adds a block to the prefix cache and evicts the oldest ones beyond its capacity. The caller
// holds mu.
func (e *Engine) cacheBlock(name string) {
	if _, ok := e.cache[name]; ok {
		return
	}
	e.cache[name] = e.version
	e.evictionOrder = append(e.evictionOrder, name)
	e.recordEvent("add", name)
	for len(e.evictionOrder) > max(e.config.Blocks, 1) {
		evicted := e.evictionOrder[0]
		e.evictionOrder = e.evictionOrder[1:]
		delete(e.cache, evicted)
		e.recordEvent("remove", evicted)
	}
}

func (e *Engine) recordEvent(op, name string) {
	e.seq++
	if n := e.config.DropEveryNth; n > 0 && e.seq%uint64(n) == 0 {
		return
	}
	e.events = append(e.events, CacheEvent{Seq: e.seq, Op: op, Name: name})
	if len(e.events) > 10_000 {
		e.events = append([]CacheEvent(nil), e.events[5_000:]...)
	}
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, prompt string, c completionRequest) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := bufio.NewWriter(w)
	flush := http.NewResponseController(w)
	for i, t := range Text(prompt, c.MaxTokens) {
		if i > 0 && !sleep(r, e.config.TokenInterval) {
			return
		}
		fmt.Fprintf(out, "data: {\"object\":\"text_completion\",\"model\":%q,\"choices\":[{\"index\":0,\"text\":%q}]}\n\n", c.Model, t)
		out.Flush()
		if flush.Flush() != nil {
			return
		}
	}
	fmt.Fprint(out, "data: [DONE]\n\n")
	out.Flush()
}

func (e *Engine) writeResponse(w http.ResponseWriter, r *http.Request, prompt string, c completionRequest) {
	if !sleep(r, e.config.TokenInterval*time.Duration(c.MaxTokens)) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	text := strings.Join(Text(prompt, c.MaxTokens), "")
	choice := map[string]any{"index": 0, "text": text, "message": message{Role: "assistant", Content: text}, "finish_reason": "length"}
	// An error means that the connection is lost; the client then sees a truncated body.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"object": "text_completion", "model": c.Model, "choices": []any{choice},
		"usage": map[string]int{"prompt_tokens": len(prompt) / 4, "completion_tokens": c.MaxTokens},
	})
}

// sleep waits for d and returns true, or returns false once the request is cancelled.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]string{"boot": e.incarnation, "version": e.version})
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	running, version := e.Running, e.version
	e.mu.Unlock()
	sleep(r, e.config.LoadReportDelay)
	writeJSON(w, map[string]any{"running": running, "version": version, "prefill": e.config.PrefillRate})
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	newer := []CacheEvent{}
	for _, ev := range e.events {
		if ev.Seq > since {
			newer = append(newer, ev)
		}
	}
	writeJSON(w, map[string]any{"boot": e.incarnation, "last": e.seq, "events": newer})
}

func (e *Engine) serveBlock(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	e.mu.Lock()
	_, ok := e.cache[name]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "gone", http.StatusNotFound)
		return
	}
	_, _ = w.Write(KV(name, e.config.KV))
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "short body", http.StatusBadRequest)
		return
	}
	name := r.PathValue("name")
	e.mu.Lock()
	defer e.mu.Unlock()
	if string(data) != string(KV(name, e.config.KV)) {
		e.CorruptImports++
	}
	e.ImportedBlocks++
	e.cacheBlock(name)
}

type loadCommand struct {
	Epoch   uint64 `json:"epoch"`
	Version string `json:"version"`
}

func (e *Engine) serveLoadCommand(w http.ResponseWriter, r *http.Request) {
	var o loadCommand
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "bad order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if o.Epoch < e.epoch && !e.config.IgnoreEpochs {
		e.FencedCommands++
		e.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.epoch = max(e.epoch, o.Epoch)
	e.Commands++
	e.mu.Unlock()
	if !sleep(r, e.config.LoadTime) {
		return
	}
	e.mu.Lock()
	e.version = o.Version
	e.mu.Unlock()
	writeJSON(w, map[string]string{"version": o.Version})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the connection is lost.
	_ = json.NewEncoder(w).Encode(v)
}
