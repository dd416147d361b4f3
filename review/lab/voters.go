package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// freezeTime is how long a core machine is frozen (node_freeze, for_s 4 in the site files).
const freezeTime = 4 * time.Second

// runVoters replaces a core machine as planned work while another one is frozen for a moment, and minutes of calm later, shortened here
// to what the bounds ask, one core machine loses its disk.
func runVoters(l *lab) (int, error) {
	config := func(version int) []byte {
		return fmt.Appendf(nil, `{"Version":%d,"Routes":[{"Name":"r-lookup","Host":"sheets.example","PathPrefix":"/sheet/","Kind":"safe","TimeoutMs":1000,"GoalMs":100,"Priority":1,"Service":"app","MaxAttempts":2,"Public":false,"Sticky":false,"Resumable":false}],
"Services":[{"Name":"app","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"tenant-a","ApiKeys":["key-a"],"Priority":1}]}`, version)
	}
	list := &servers{}
	for n := range 3 {
		s := l.newServer(n, "app", func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
			time.Sleep(15 * time.Millisecond)
			w.Header().Set("Response-Seal", "seal-"+r.Header.Get("Request-Id")+"-"+s.id)
			_, _ = w.Write(bytes.Repeat([]byte("x"), 800))
		})
		if err := s.listen(); err != nil {
			return cannotRun, err
		}
		list.all = append(list.all, s)
	}
	fronts, err := l.startSystem(list, config(1), 3, 2)
	if err != nil {
		return cannotRun, err
	}
	t := newTraffic(l, fronts)
	l.sleep(2 * time.Second)

	// The leader is the machine that acknowledges; one of the two others is frozen, the last one is replaced.
	at, err := l.put(config(2), []int{1, 2, 3}, 5*time.Second)
	if err != nil {
		return cannotRun, err
	}
	frozen, replaced := 0, 0
	for n := 3; n >= 1; n-- {
		switch {
		case l.ip(n) == at:
		case frozen == 0:
			frozen = n
		default:
			replaced = n
		}
	}
	l.say("%s leads, core-%d is frozen for %v, core-%d is replaced by core-4", at, frozen, freezeTime, replaced)
	cores := map[int]*process{}
	for _, p := range l.processes {
		for n := 1; n <= 3; n++ {
			if p.ip == l.ip(n) {
				cores[n] = p
			}
		}
	}
	var thawed sync.WaitGroup
	if l.trouble {
		cores[frozen].signal(syscall.SIGSTOP)
		thawed.Go(func() {
			l.sleep(freezeTime)
			cores[frozen].signal(syscall.SIGCONT)
		})
	}
	l.sleep(2 * time.Second)

	// The new machine first, then the old one's SIGTERM, once all others are back for CatchUpS.
	cores[4] = l.newCore(4, false, l.seedsOf(1, 2, 3))
	if err := cores[4].start(); err != nil {
		return cannotRun, err
	}
	thawed.Wait()
	l.sleep(catchUpTime + 4*time.Second)
	cores[replaced].stop()
	l.note("core-%d has left for good", replaced)
	// The settings name the machines that serve control now.
	var now []int
	for n := 1; n <= 4; n++ {
		if n != replaced {
			now = append(now, n)
		}
	}
	for n, p := range cores {
		if n != replaced {
			p.seeds = l.seedsOf(now...)
			if _, err := p.writeSettings(); err != nil {
				return cannotRun, err
			}
		}
	}
	for _, p := range fronts {
		p.seeds = l.seedsOf(now...)
		if _, err := p.writeSettings(); err != nil {
			return cannotRun, err
		}
	}
	l.sleep(catchUpTime + 2*contactTime)
	before := t.take()
	l.say("since the start: %d requests, %d served; all three core machines run for %v", before.sent, before.served, catchUpTime+2*contactTime)

	// The final fault: the machine that has just acknowledged a configuration loses its disk and is back after a second.
	at, err = l.put(config(3), now, 5*time.Second)
	if err != nil {
		return cannotRun, errors.New("configuration 3 isn't acknowledged although all core machines run: " + err.Error())
	}
	wiped := 0
	for _, n := range now {
		if l.ip(n) == at {
			wiped = n
		}
	}
	cores[wiped].kill()
	if err := os.RemoveAll(cores[wiped].dataDir()); err != nil {
		return cannotRun, err
	}
	l.sleep(time.Second)
	cores[wiped].bootstrap = false
	if err := cores[wiped].start(); err != nil {
		return cannotRun, err
	}
	l.say("core-%d acknowledged configuration 3, lost its disk and is back; core machines now: %v", wiped, now)
	l.sleep(recoverTime)
	t.take()
	l.sleep(8 * time.Second)
	after := t.take()
	l.say("later than RecoverS after it is back: %d requests, %d served", after.sent, after.served)

	// The operator reads the configuration back, for more than ContactMs.
	read := ""
	for until := time.Now().Add(2 * contactTime); time.Now().Before(until) && read == ""; l.sleep(100 * time.Millisecond) {
		for _, n := range now {
			if status, body, _ := l.operate(http.MethodGet, "/-/config", n, nil); status == http.StatusOK {
				read = string(body)
				break
			}
		}
	}
	t.stop()
	whole := read == string(config(3))
	l.say("the configuration that was acknowledged is read back: %v", whole)
	if !whole || before.served*4 >= before.sent && after.served*4 < after.sent {
		return broken, nil
	}
	return held, nil
}

// traffic sends look-ups on new connections, 20 a second.
type traffic struct {
	count  atomic.Pointer[tally]
	ended  chan struct{}
	joined sync.WaitGroup
}

type tally struct{ sent, served int64 }

func newTraffic(l *lab, fronts []*process) *traffic {
	t := &traffic{ended: make(chan struct{})}
	t.count.Store(&tally{})
	t.joined.Go(func() {
		var clients sync.WaitGroup
		defer clients.Wait()
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-t.ended:
				return
			case <-l.ctx.Done():
				return
			case <-ticker.C:
			}
			front := fronts[n%len(fronts)]
			count := t.count.Load()
			atomic.AddInt64(&count.sent, 1)
			clients.Go(func() {
				id := fmt.Sprintf("%016x", 0x2c41d07b00000000+n)
				status, seal, _, err := get(front.ip, "/sheet/2f", id)
				l.note("%s: status %d", id, status)
				if err == nil && status == http.StatusOK && seal != "" {
					atomic.AddInt64(&count.served, 1)
				}
			})
		}
	})
	return t
}

// take returns the requests sent since the last call, a moment later, when they have their answers.
func (t *traffic) take() tally {
	old := t.count.Swap(&tally{})
	time.Sleep(1500 * time.Millisecond)
	return tally{atomic.LoadInt64(&old.sent), atomic.LoadInt64(&old.served)}
}

func (t *traffic) stop() {
	close(t.ended)
	t.joined.Wait()
}
