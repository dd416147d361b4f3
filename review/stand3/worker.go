package main

import (
	"container/list"
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

// worker is the stand-in for a model worker, or for one of an application.
type worker struct {
	site    *site
	name    string
	service string
	zone    string
	at      string
	slots   int
	// pieces and gap are the events of a stream and the time between two of them.
	pieces int
	gap    time.Duration
	// work is how long other requests take.
	work time.Duration

	mu sync.Mutex
	// id, build and born are those of the present process; server is nil while there is none.
	id, build string
	born      int64
	server    *http.Server
	weights   uint64
	seq       uint64
	fence     uint64
	running   int
	runs      int
	// cache holds the prompt parts in the worker's memory by salt and ID, in the order of their use; used are their tokens.
	cache  map[string]*list.Element
	recent *list.List
	used   int
	// partEvents are the newest changes of the cache, the first of which has the number firstEvent.
	partEvents [][]any
	firstEvent int
}

// cachedPart is a part of a prompt in a worker's memory.
type cachedPart struct {
	salt, id string
	tokens   int
}

// kvCapacity is the memory of a worker in tokens, maxEvents the number of changes that it keeps.
const kvCapacity, maxEvents = 95037, 4000

// addWorker adds a worker without starting it.
func (s *site) addWorker(n int, service string) *worker {
	w := &worker{
		site: s, name: fmt.Sprintf("w%d", n), service: service, zone: zones[n%3], at: fmt.Sprintf("%s%d:%d", s.net, 101+n, s.ports.worker), slots: 64,
		pieces: 30, gap: 100 * time.Millisecond, work: 15 * time.Millisecond, weights: 1,
	}
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	return w
}

// start starts a process of the worker, which the list shows after its lag.
func (w *worker) start(id, build string) error {
	l, err := net.Listen("tcp", w.at)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.id, w.build, w.born, w.seq, w.fence = id, build, time.Now().UnixMilli(), 0, 0
	w.cache, w.recent, w.used, w.partEvents, w.firstEvent = map[string]*list.Element{}, list.New(), 0, nil, 1
	server := &http.Server{Handler: w.handler(id, build)}
	w.server = server
	go func() { _ = server.Serve(l) }()
	w.site.record.line("worker %s starts as %s with version %s", w.name, id, build)
	w.site.platform.show(w.entryLocked("ready"))
	return nil
}

// entryLocked returns the worker's entry of the list. The caller holds mu.
func (w *worker) entryLocked(state string) entry {
	e := entry{ID: w.id, Service: w.service, Address: w.at, Zone: w.zone, Version: w.build, Slots: w.slots, State: state, Born: w.born, Stage: "unified"}
	if w.service == engines {
		e.Models = []modelEntry{{model, w.weights, []string{}}}
	}
	return e
}

// crash ends the worker's process: its connections are closed, and nothing listens any more.
func (w *worker) crash() {
	w.mu.Lock()
	server := w.server
	w.server = nil
	w.mu.Unlock()
	if server != nil {
		w.site.record.line("worker %s (%s, version %s) ends", w.name, w.id, w.build)
		_ = server.Close()
	}
}

// handler returns the handler of one process.
func (w *worker) handler(id, build string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodGet && r.URL.Path == "/-/report":
			w.report(rw)
		case r.Method == http.MethodGet && r.URL.Path == "/-/kv-events":
			w.events(rw, r)
		case r.Method == http.MethodGet && r.URL.Path == "/-/kv-list":
			w.list(rw)
		case r.Method == http.MethodPost && r.URL.Path == "/-/order":
			w.order(rw, r, id)
		case r.Method == http.MethodGet && r.URL.Path == "/health":
			rw.Header().Set("Instance-Id", id)
			rw.WriteHeader(http.StatusOK)
		default:
			w.run(rw, r, id, build)
		}
	})
}

func writeJSON(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(v)
}

func (w *worker) bornNow() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.born
}

func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	v := map[string]any{
		"Stage": "unified", "Models": []modelEntry{{model, w.weights, []string{}}}, "Busy": false, "Seq": w.seq, "Queued": 0, "Running": w.running,
		"KvUsed": 0, "KvTotal": kvCapacity, "Handles": 0, "born": w.born, "clock_ms": time.Now().UnixMilli(),
	}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, v)
}

// events tells of the changes of the cache after a position, once there are some or the call has been held for its time.
func (w *worker) events(rw http.ResponseWriter, r *http.Request) {
	ms, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	since, _ := strconv.Atoi(r.URL.Query().Get("Since"))
	news, next, lost := []any{}, 0, false
	for until := time.Now().Add(time.Duration(min(ms, 1000)) * time.Millisecond); ; {
		w.mu.Lock()
		next = w.firstEvent + len(w.partEvents) - 1
		lost = since < w.firstEvent-1
		for _, e := range w.partEvents[min(max(since+1-w.firstEvent, 0), len(w.partEvents)):] {
			news = append(news, e)
		}
		w.mu.Unlock()
		if len(news) > 0 || time.Now().After(until) || r.Context().Err() != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	writeJSON(rw, http.StatusOK, map[string]any{"BootEpoch": w.bornNow(), "NextToken": next, "Lost": lost, "Events": news, "born": w.bornNow(), "clock_ms": time.Now().UnixMilli()})
}

// list lists the cache.
func (w *worker) list(rw http.ResponseWriter) {
	w.mu.Lock()
	held := []any{}
	for e := w.recent.Front(); e != nil; e = e.Next() {
		p := e.Value.(cachedPart)
		held = append(held, []any{p.salt, p.id, p.tokens, model})
	}
	v := map[string]any{"BootEpoch": w.born, "NextToken": w.firstEvent + len(w.partEvents) - 1, "Held": held, "Partial": []any{}, "born": w.born}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, v)
}

// addEvent records a change of the cache. The caller holds mu.
func (w *worker) addEvent(sign string, p cachedPart, tokens int) {
	w.partEvents = append(w.partEvents, []any{w.firstEvent + len(w.partEvents), sign, p.salt, p.id, tokens, model})
	if more := len(w.partEvents) - maxEvents; more > 0 {
		w.partEvents, w.firstEvent = w.partEvents[more:], w.firstEvent+more
	}
}

// readPrompt reads the parts of a prompt into the cache; those that were used least recently yield.
func (w *worker) readPrompt(r *http.Request) {
	salt := r.Header.Get("Cache-Salt")
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, field := range strings.Split(r.Header.Get("Prefix-Hash"), ",") {
		id, tokens, _ := strings.Cut(field, ":")
		n, _ := strconv.Atoi(tokens)
		key := salt + "/" + id
		if e := w.cache[key]; e != nil {
			w.recent.MoveToBack(e)
			continue
		}
		p := cachedPart{salt, id, n}
		w.cache[key] = w.recent.PushBack(p)
		w.used += n
		w.addEvent("+", p, n)
	}
	for w.used > kvCapacity {
		p := w.recent.Remove(w.recent.Front()).(cachedPart)
		delete(w.cache, p.salt+"/"+p.id)
		w.used -= p.tokens
		w.addEvent("-", p, 0)
	}
}

// order carries an order out.
func (w *worker) order(rw http.ResponseWriter, r *http.Request, id string) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o struct {
		Op, Model, SwapMode, Holder string
		Version, Fence              uint64
		Expect                      *uint64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "Version" || o.Holder == "" || o.Fence == 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case o.Fence < w.fence:
		rw.WriteHeader(http.StatusPreconditionFailed)
	case o.Expect != nil && *o.Expect != w.seq:
		rw.WriteHeader(http.StatusConflict)
	case w.weights == o.Version:
		w.fence = o.Fence
		rw.WriteHeader(http.StatusOK)
	default:
		w.fence, w.weights = o.Fence, o.Version
		w.seq++
		w.site.platform.show(w.entryLocked("ready"))
		rw.WriteHeader(http.StatusAccepted)
	}
}

// run answers a request.
func (w *worker) run(rw http.ResponseWriter, r *http.Request, id, build string) {
	request := r.Header.Get("Request-Id")
	h := rw.Header()
	h.Set("Request-Id", request)
	h.Set("Instance-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.mu.Lock()
	weights := w.weights
	expected, version := r.Header.Get("Expect-Instance"), r.Header.Get("Expect-Version")
	misdirected := expected != "" && expected != id || version != "" && version != strconv.FormatUint(weights, 10)
	full := !misdirected && w.running >= w.slots
	if !misdirected && !full {
		w.running++
		w.runs++
	}
	w.mu.Unlock()
	if w.service == engines {
		h.Set("Weight-Versions", strconv.FormatUint(weights, 10))
	}
	switch {
	case misdirected:
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	w.site.record.line("run of %s at %s, version %s, from event %q, tenant %q", request, id, build, r.Header.Get("Last-Event-Id"), r.Header.Get("Tenant-Id"))
	h.Set("Response-Seal", "3e1b.07.5a2.600.0."+request)
	if w.service != engines {
		time.Sleep(w.work)
		text := "done " + request
		h.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(rw, text)
		return
	}
	w.readPrompt(r)
	h.Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i <= w.pieces; i++ {
		select {
		case <-time.After(w.gap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %d of %d by %s\n\n", i, i, w.pieces, build); err != nil {
			return
		}
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
	}
}
