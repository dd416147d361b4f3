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

// The doses: garble (how unframed) on four of nine servers (share 0.5 at most), one in 20 of their answers (x 0.05 at most), 5 s at a time;
// srv_grey (how errors) on one of nine (share 0.14 at most), nine in 20 of its requests (x 0.45 at most), 5 s at a time (6.5 s at most).
const (
	troubleTime  = 5 * time.Second
	troublePause = 3 * time.Second
	garblers     = 4
	greyServer   = 8
)

// runAttempts streams on a resumable route with two attempts while servers break off some streams and one fails some requests.
func runAttempts(l *lab) (int, error) {
	const config = `{"Version":1,"Routes":[{"Name":"r-check","Host":"sheets.example","PathPrefix":"/check/","Kind":"streaming","TimeoutMs":3000,"GoalMs":400,"Priority":0,"Service":"pool","MaxAttempts":2,"Public":false,"Sticky":false,"Resumable":true,"GapGoalMs":250}],
"Services":[{"Name":"pool","HealthPath":"/health","MaxConns":370,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"tenant-a","ApiKeys":["key-a"],"Priority":1}]}`
	var mu sync.Mutex
	ranAt := map[string]map[string]bool{}
	var brokenOff, failedRuns [9]atomic.Int64
	inTrouble := func() bool { return l.trouble && time.Since(l.started)%(troubleTime+troublePause) < troubleTime }
	list := &servers{}
	answer := func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		id, at := r.Header.Get("Request-Id"), s.index
		mu.Lock()
		if ranAt[id] == nil {
			ranAt[id] = map[string]bool{}
		}
		ranAt[id][s.id] = true
		mu.Unlock()
		w.Header().Set("Response-Seal", "seal-"+id+"-"+s.id)
		if inTrouble() && at == greyServer && failedRuns[at].Add(1)%20 < 9 {
			time.Sleep(4 * time.Millisecond)
			l.note("%s fails %s with 500", s.id, id)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		breaks := inTrouble() && at < garblers && brokenOff[at].Add(1)%20 == 0
		w.Header().Set("Content-Type", "text/event-stream")
		if breaks {
			w.Header().Set("Transfer-Encoding", "identity")
		}
		time.Sleep(10 * time.Millisecond)
		const pieces = 6
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := last + 1; n <= pieces; n++ {
			if breaks && n == last+3 {
				l.note("%s breaks off its stream for %s inside event %d", s.id, id, n)
				_, _ = fmt.Fprintf(w, "id: %d\nda", n)
				breakOff(w)
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(4 * time.Millisecond)
		}
	}
	for n := range 9 {
		s := l.newServer(n, "pool", answer)
		s.index, s.slots = n, 64
		if err := s.listen(); err != nil {
			return cannotRun, err
		}
		list.all = append(list.all, s)
	}
	fronts, err := l.startSystem(list, []byte(config), 3, 12)
	if err != nil {
		return cannotRun, err
	}
	var clients sync.WaitGroup
	var sent, served atomic.Int64
	for n := 0; time.Since(l.started) < 105*time.Second; n++ {
		front := fronts[n%len(fronts)]
		clients.Go(func() {
			sent.Add(1)
			id := fmt.Sprintf("%016x", 0x3c41d07b00000000+n)
			status, err := l.check(front.ip, id)
			if err == nil && status == http.StatusOK {
				served.Add(1)
			}
		})
		if !l.sleep(6 * time.Millisecond) {
			break
		}
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	over := 0
	for id, at := range ranAt {
		if len(at) > 2 {
			over++
			l.note("BUDGET: %s, one client attempt, ran on %d servers; its route's MaxAttempts is 2", id, len(at))
		}
	}
	l.say("%d streams, %d whole; %d client attempts ran on more than two servers (three are allowed)", sent.Load(), served.Load(), over)
	if served.Load() == 0 {
		return cannotRun, fmt.Errorf("no stream was served")
	}
	if over > 3 {
		return broken, nil
	}
	return held, nil
}

// check asks one question and reads its stream to the end.
func (l *lab) check(ip, id string) (int, error) {
	r, err := http.NewRequestWithContext(l.ctx, http.MethodPost, "http://"+net.JoinHostPort(ip, strconv.Itoa(frontPort))+"/check/2f", http.NoBody)
	if err != nil {
		return 0, err
	}
	r.Host = "sheets.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Key", "key-a")
	c := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	got, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	defer got.Body.Close()
	_, err = io.ReadAll(got.Body)
	return got.StatusCode, err
}
