package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// wallConfig is a configuration with two tenants, of which the first may be isolated.
func wallConfig(version int, isolated bool) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[
{"Name":"r-eek22xp","Host":"pule25.example","PathPrefix":"/cufi501/fi50/","Kind":"streaming","TimeoutMs":15000,"GoalMs":1000,"Priority":0,"Service":"huvo11a","MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"GapGoalMs":250}],
"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":370,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":95045,"KvTokenBytes":18432,"LinkMbps":370000.0,"Moves":true,"Backups":true,"Managed":true,"Stride":5,"MaxInflight":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"daka510000"}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"jeye930","ApiKeys":["nu6wsjnbanfqasnmgkcu"],"Priority":1,"Isolated":%v},{"Name":"wopa112","ApiKeys":["yj8pjbvk9m68k7b2ex5w"],"Priority":1,"Isolated":false}]}`, version, isolated)
}

// otherKey is the key of the second tenant, wopa112.
const otherKey = "yj8pjbvk9m68k7b2ex5w"

// runWall checks WALL: once a configuration that isolates a tenant is in force, no request uses KV cache that a request of another tenant made if one
// of the two is isolated.
func runWall(s *site, trouble bool) (broken bool, err error) {
	var mu sync.Mutex
	var uses []cacheUse
	for i := range 4 {
		w := s.addWorker(i, engines)
		w.pieces, w.gap = 3, 10*time.Millisecond
		w.caches = func(used []cacheUse) {
			mu.Lock()
			defer mu.Unlock()
			uses = append(uses, used...)
		}
		if err := w.start(fmt.Sprintf("i-7f3a91c%d", i), "v1"); err != nil {
			return false, err
		}
	}
	if err := s.startSystem(3, wallConfig(7, false)); err != nil {
		return false, err
	}
	entries := s.entries()
	prompt := func(n int, key string) *attempt {
		return s.send(context.Background(), entries[n%len(entries)], request{method: http.MethodPost, path: "/cufi501/fi50/2f", body: "a prompt", timeout: 15 * time.Second, header: map[string]string{
			"Model-Id": model, "Token-Count": "1460,80", "Prefix-Hash": fmt.Sprintf("5c1e07a2:800,91bd3f06:410,e44%05x:250", n), "Key": key,
		}})
	}
	for n := range 20 {
		prompt(n, tenantKey)
	}
	if trouble {
		if err := s.putConfig(wallConfig(8, true), 10*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(configTime + 500*time.Millisecond)
	after := map[string]bool{}
	for n := range 20 {
		after[prompt(100+n, otherKey).id] = true
	}
	mu.Lock()
	defer mu.Unlock()
	crossed := 0
	for _, u := range uses {
		if after[u.request] && u.tenant != u.made.tenant && trouble {
			crossed++
			s.record.line("request %s of %s uses part %s that request %s of %s made", u.request, u.tenant, u.part, u.made.request, u.made.tenant)
		}
	}
	s.record.line("%d uses of parts across the wall", crossed)
	return crossed > 0, nil
}
