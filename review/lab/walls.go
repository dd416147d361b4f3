package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// runWalls isolates a tenant by a change of the configuration, and looks whose cached parts the other tenants' prompts use afterwards.
func runWalls(l *lab) (int, error) {
	config := func(version int, isolated bool) []byte {
		return fmt.Appendf(nil, `{"Version":%d,"Routes":[{"Name":"r-review","Host":"sheets.example","PathPrefix":"/review/","Kind":"streaming","TimeoutMs":15000,"GoalMs":1000,"Priority":1,"Service":"pool","MaxAttempts":1,"Public":false,"Sticky":true,"Resumable":false,"GapGoalMs":250}],
"Services":[{"Name":"pool","HealthPath":"/health","MaxConns":370,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":95037,"KvTokenBytes":18432,"LinkMbps":370000.0,"Moves":true,"Backups":true,"Managed":true,"Stride":5,"MaxInflight":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"m0"}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"tenant-a","ApiKeys":["key-a"],"Priority":1,"Isolated":%v},{"Name":"tenant-b","ApiKeys":["key-b"],"Priority":1}]}`, version, isolated)
	}
	// inForce is set once the change is acknowledged and ConfigMs is over.
	var inForce atomic.Bool
	var shared, late atomic.Int64
	answer := func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		id, tenant := r.Header.Get("Request-Id"), r.Header.Get("Tenant-Id")
		isLate := inForce.Load() && r.Header.Get("Sent-Late") != ""
		for part, maker := range s.cache.usedParts(r) {
			if maker == tenant {
				continue
			}
			shared.Add(1)
			if isLate && (maker == "tenant-a" || tenant == "tenant-a") {
				late.Add(1)
				l.note("WALL: %s of %s uses part %s under salt %q, which a request of %s made", id, tenant, part, r.Header.Get("Cache-Salt"), maker)
			}
		}
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("Response-Seal", "seal-"+id+"-"+s.id)
		w.Header().Set("Weight-Versions", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range 5 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n+1, n+1)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(4 * time.Millisecond)
		}
	}
	list := &servers{}
	for n := range 3 {
		s := l.newServer(n, "pool", answer)
		s.cache, s.slots = &kvCache{made: map[string]string{}}, 64
		if err := s.listen(); err != nil {
			return cannotRun, err
		}
		list.all = append(list.all, s)
	}
	fronts, err := l.startSystem(list, config(1, false), 3, 2)
	if err != nil {
		return cannotRun, err
	}
	var clients sync.WaitGroup
	var served, sent atomic.Int64
	ask := func(seconds int, tenants, lateHeader string) {
		for n := range seconds * 20 {
			tenant := tenants[n%2 : n%2+1]
			front := fronts[n/2%len(fronts)]
			// Both tenants ask for summaries of the same public terms: the first part is the same.
			id := fmt.Sprintf("%016x", time.Since(l.started).Nanoseconds())
			parts := fmt.Sprintf("5c1e07a2:800,91bd3f%02x:410,%s:250", n%8, id[8:])
			clients.Go(func() {
				sent.Add(1)
				status, err := l.prompt(front.ip, id, "key-"+tenant, parts, lateHeader)
				l.note("%s of tenant-%s: status %d %v", id, tenant, status, err)
				if err == nil && status == http.StatusOK {
					served.Add(1)
				}
			})
			if !l.sleep(50 * time.Millisecond) {
				return
			}
		}
	}
	// Tenant-a is the first to ask, at all engines.
	ask(5, "aa", "")
	ask(5, "ab", "")
	l.say("before the change: %d prompts sent, %d served, %d uses of parts that another tenant's request had made", sent.Load(), served.Load(), shared.Load())
	if l.trouble {
		if _, err := l.put(config(2, true), []int{1, 2, 3}, 5*time.Second); err != nil {
			return cannotRun, err
		}
		l.say("configuration 2, in which tenant-a is isolated, is acknowledged")
	}
	ask(3, "ab", "")
	clients.Wait()
	inForce.Store(l.trouble)
	ask(10, "ab", "1")
	clients.Wait()
	l.say("later than ConfigMs: %d uses of parts across the wall of tenant-a; %d of %d prompts served in all", late.Load(), served.Load(), sent.Load())
	if served.Load() == 0 {
		return cannotRun, fmt.Errorf("no prompt was served")
	}
	if late.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// prompt sends one prompt and reads its stream to the end.
func (l *lab) prompt(ip, id, key, parts, lateHeader string) (int, error) {
	r, err := http.NewRequestWithContext(l.ctx, http.MethodPost, "http://"+net.JoinHostPort(ip, strconv.Itoa(frontPort))+"/review/2f", http.NoBody)
	if err != nil {
		return 0, err
	}
	r.Host = "sheets.example"
	h := r.Header
	h.Set("Request-Id", id)
	h.Set("Model-Id", "m0")
	h.Set("Token-Count", "1460,80")
	h.Set("Prefix-Hash", parts)
	h.Set("Deadline-Ms", "15000")
	h.Set("Key", key)
	if lateHeader != "" {
		h.Set("Sent-Late", lateHeader)
	}
	c := &http.Client{Timeout: 16 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	got, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	defer got.Body.Close()
	_, err = io.ReadAll(got.Body)
	return got.StatusCode, err
}
