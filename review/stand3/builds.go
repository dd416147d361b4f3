package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// buildsConfig has one route for streams that may be resumed.
const buildsConfig = `{"Version":7,"Routes":[
{"Name":"r-eek22xp","Host":"pule25.example","PathPrefix":"/cufi501/fi50/","Kind":"streaming","TimeoutMs":15000,"GoalMs":1000,"Priority":0,"Service":"huvo11a","MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"GapGoalMs":250}],
"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":370,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":95045,"KvTokenBytes":18432,"LinkMbps":370000.0,"Moves":true,"Backups":true,"Managed":true,"Stride":5,"MaxInflight":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"daka510000"}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"jeye930","ApiKeys":["nu6wsjnbanfqasnmgkcu"],"Priority":1}]}`

const (
	// buildsWorkers is the number of workers; half of them have each version of the software at first.
	buildsWorkers = 4
	// buildsDown is how long a worker that has crashed is down.
	buildsDown = 4200 * time.Millisecond
	// buildsGap is the time between the crashes of two workers.
	buildsGap = 4900 * time.Millisecond
)

// runBuilds checks ORDER: no stream holds events of workers of two software versions. The workers crash one after the other, and start again under
// the ID that they had, with the newer version of their software.
func runBuilds(s *site, trouble bool) (broken bool, err error) {
	var workers []*worker
	for i := range buildsWorkers {
		w := s.addWorker(i, engines)
		if err := w.start(fmt.Sprintf("i-7f3a91c%d", i), "v1"); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := s.startSystem(3, buildsConfig); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 28*time.Second)
	defer cancel()
	var work sync.WaitGroup
	var mu sync.Mutex
	mixed, whole, total := 0, 0, 0
	for i := range 48 {
		work.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				events, complete := s.readStream(i + n)
				builds := map[string]bool{}
				for _, e := range events {
					builds[e[strings.LastIndex(e, " ")+1:]] = true
				}
				mu.Lock()
				total++
				if complete {
					whole++
				}
				if len(builds) > 1 {
					mixed++
					s.record.line("a stream holds events of two versions: %s", strings.Join(events, "; "))
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, w := range workers {
			w.crash()
			time.AfterFunc(buildsDown, func() { _ = w.start(w.id, "v2") })
			time.Sleep(buildsGap)
		}
	}
	work.Wait()
	s.record.line("%d streams, %d of them whole, %d with events of two versions", total, whole, mixed)
	return mixed > 2, nil
}

// readStream reads one stream as a client does: it resumes it once, at another entry, if it breaks off. It returns the events of all tries.
func (s *site) readStream(n int) (events []string, complete bool) {
	entries := s.entries()
	q := request{method: http.MethodPost, path: "/cufi501/fi50/2f", body: "a prompt", timeout: 15 * time.Second, header: map[string]string{
		"Model-Id": model, "Token-Count": "1460,80", "Prefix-Hash": fmt.Sprintf("5c1e07a2:800,91bd3f06:410,e44%05x:250", n),
	}}
	first := s.send(context.Background(), entries[n%len(entries)], q)
	events = first.events
	if first.err == nil && first.status == http.StatusOK {
		return events, true
	}
	time.Sleep(50 * time.Millisecond)
	if first.lastID != "" {
		q.header["Last-Event-Id"], q.header["Resumes"] = first.lastID, first.id
	}
	second := s.send(context.Background(), entries[(n+1)%len(entries)], q)
	return append(events, second.events...), second.err == nil && second.status == http.StatusOK
}
