// Command 7 shows that a front which wakes after a freeze lets requests run whose key was taken away meanwhile.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"egretshunt/review/stand2"
)

const (
	// freeze is how long the front stands still, early how long before its end the first late request is sent.
	freeze, early = 5800 * time.Millisecond, 250 * time.Millisecond
	// clients is how many connections are open at the front, gap the time between the requests that are sent on them.
	clients, gap = 40, 20 * time.Millisecond
)

func main() {
	s, err := stand2.New(stand2.Config{Binary: os.Args[1], Folder: os.Args[2], Fronts: 6})
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	var mu sync.Mutex
	sent, ran := map[string]time.Time{}, map[string]time.Time{}
	var workers []*stand2.Worker
	for i, zone := range []string{"couva", "chaguanas", "claxton"} {
		w := s.NewWorker(fmt.Sprintf("i-app-%d", i+1), "app", zone)
		w.Slots = 6
		w.Run = func(out http.ResponseWriter, r *http.Request, _ []byte) {
			id := r.Header.Get("Request-Id")
			mu.Lock()
			ran[id] = time.Now()
			mu.Unlock()
			s.Log("worker %s runs %s, Tenant-Id %q", w.ID, id, r.Header.Get("Tenant-Id"))
			time.Sleep(15 * time.Millisecond)
			out.Header().Set("Response-Seal", w.Seal(r))
			fmt.Fprint(out, "booked")
		}
		s.Must(w.Start())
		workers = append(workers, w)
	}
	s.List.Set(workers...)
	s.Must(s.Start())
	route := func(name, prefix string, public bool) map[string]any {
		return map[string]any{"Name": name, "Host": "pule25.example", "PathPrefix": prefix, "Kind": "unsafe", "TimeoutMs": 1000.0, "GoalMs": 100, "GapGoalMs": 0,
			"Priority": 2, "Service": "app", "MaxAttempts": 1, "Public": public, "Sticky": false, "Resumable": false}
	}
	wide := route("r-wide", "/review/", true)
	config := func(version int, routes []any, keys ...string) map[string]any {
		return map[string]any{
			"Version":  version,
			"Routes":   routes,
			"Services": []any{map[string]any{"Name": "app", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false}},
			"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
			"Tenants":  []any{map[string]any{"Name": "tenant-a", "ApiKeys": keys}},
		}
	}
	_, err = s.Operate(http.MethodPut, "/-/config", config(7, []any{wide}, "key-1-of-tenant-a", "key-2-of-tenant-a"), 20*time.Second)
	s.Must(err)
	s.Must(s.AwaitReady(20 * time.Second))
	time.Sleep(time.Second)
	front := s.Fronts[0]
	request := func() stand2.Request {
		r := stand2.Request{Method: http.MethodPost, Host: "pule25.example", Path: "/review/booking/2f", ID: stand2.NewID(), Key: "key-1-of-tenant-a", Deadline: time.Second, Body: []byte("book it")}
		mu.Lock()
		sent[r.ID] = time.Now()
		mu.Unlock()
		return r
	}
	var conns []*stand2.Conn
	for range clients {
		c, err := stand2.Dial(front.Front)
		s.Must(err)
		r := request()
		s.Must(c.Send(r))
		if a := c.Receive(r); a.Status != http.StatusOK {
			s.Fail(fmt.Errorf("a request in calm got status %d, error %v", a.Status, a.Err))
		}
		conns = append(conns, c)
	}
	s.Log("%d requests with key 1 were served in calm", clients)
	if stand2.Trouble() {
		front.Signal(syscall.SIGSTOP)
	}
	frozen := time.Now()
	time.Sleep(250 * time.Millisecond)
	// A route that needs a key is added for the bookings, and key 1 is taken away.
	acked, err := s.Operate(http.MethodPut, "/-/config", config(9, []any{wide, route("r-booking", "/review/booking/", false)}, "key-2-of-tenant-a"), 10*time.Second)
	s.Must(err)
	time.Sleep(time.Until(frozen.Add(freeze - early)))
	if time.Since(acked) <= stand2.RevokeTime {
		s.Fail(fmt.Errorf("the requests would be sent %v after the acknowledgement", time.Since(acked)))
	}
	var wait sync.WaitGroup
	wait.Go(func() {
		if stand2.Trouble() {
			time.Sleep(time.Until(frozen.Add(freeze)))
			front.Signal(syscall.SIGCONT)
		}
	})
	late := map[string]bool{}
	for _, c := range conns {
		r := request()
		late[r.ID] = true
		s.Log("client sends %s with key 1, %v after the acknowledgement", r.ID, time.Since(acked).Round(time.Millisecond))
		if err := c.Send(r); err != nil {
			s.Log("%s wasn't sent: %v", r.ID, err)
			continue
		}
		wait.Go(func() {
			a := c.Receive(r)
			s.Log("client has the answer to %s: status %d, %q, error %v", r.ID, a.Status, a.Body, a.Err)
			c.Close()
		})
		time.Sleep(gap)
	}
	wait.Wait()
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for id := range late {
		if at, ok := ran[id]; ok {
			broken++
			s.Log("%s, sent %v after the acknowledgement of the configuration that took its key away, ran %v after it", id, sent[id].Sub(acked).Round(time.Millisecond), at.Sub(acked).Round(time.Millisecond))
		}
	}
	s.Finish(broken > 0, "CONFIG (FailClosed): %d of %d requests ran that were sent later than %v after the acknowledgement of the configuration that took their key away", broken, len(late), stand2.RevokeTime)
}
