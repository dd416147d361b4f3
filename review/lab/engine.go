package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kvCache is what an engine caches: parts of prompts by salt and ID, with the tenant whose request made them.
type kvCache struct {
	mu     sync.Mutex
	made   map[string]string
	events [][]any
}

// usedParts notes the shared parts of a prompt that the engine has cached under the request's salt, and caches the others. It returns the
// tenants whose requests made what this one uses.
func (c *kvCache) usedParts(r *http.Request) (makers map[string]string) {
	salt, tenant := r.Header.Get("Cache-Salt"), r.Header.Get("Tenant-Id")
	makers = map[string]string{}
	c.mu.Lock()
	defer c.mu.Unlock()
	parts := strings.Split(r.Header.Get("Prefix-Hash"), ",")
	for i, part := range parts {
		id, tokens, _ := strings.Cut(part, ":")
		key := salt + "/" + id
		if maker, ok := c.made[key]; ok {
			if i < len(parts)-1 {
				makers[id] = maker
			}
			continue
		}
		c.made[key] = tenant
		n, _ := strconv.Atoi(tokens)
		c.events = append(c.events, []any{len(c.events) + 1, "+", salt, id, n, "m0"})
	}
	return makers
}

// serveCalls answers the system's calls to an engine; it reports whether the request was one.
func (s *server) serveCalls(w http.ResponseWriter, r *http.Request) bool {
	w.Header().Set("Content-Type", "application/json")
	clock := time.Now().UnixMilli()
	switch r.URL.Path {
	case "/-/kv-events":
		since, _ := strconv.Atoi(r.URL.Query().Get("Since"))
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		for until := time.Now().Add(time.Duration(min(wait, 1000)) * time.Millisecond); ; time.Sleep(10 * time.Millisecond) {
			s.cache.mu.Lock()
			events := s.cache.events[min(since, len(s.cache.events)):]
			next := len(s.cache.events)
			s.cache.mu.Unlock()
			if len(events) > 0 || time.Now().After(until) {
				_ = json.NewEncoder(w).Encode(map[string]any{"BootEpoch": s.born, "NextToken": next, "Lost": false, "Events": append([][]any{}, events...), "clock_ms": clock, "born": s.born})
				return true
			}
		}
	case "/-/report":
		_ = json.NewEncoder(w).Encode(map[string]any{
			"Stage": "unified", "Models": []map[string]any{{"Name": "m0", "Version": 1, "Adapters": []string{}}}, "Busy": false, "Seq": 0, "Queued": 0, "Running": 0,
			"KvUsed": 0, "KvTotal": 95037, "Handles": 0, "clock_ms": clock, "born": s.born,
		})
		return true
	}
	return false
}
