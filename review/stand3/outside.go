package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// outsideConfig has a route of an application that needs a key.
const outsideConfig = `{"Version":7,"Routes":[
{"Name":"r-5k6pjs2","Host":"pule25.example","PathPrefix":"/defi252/","Kind":"safe","TimeoutMs":1000,"GoalMs":100,"Priority":2,"Service":"kafi81c","MaxAttempts":2,"Public":false,"Sticky":false,"Resumable":false}],
"Services":[{"Name":"kafi81c","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"jeye930","ApiKeys":["nu6wsjnbanfqasnmgkcu"],"Priority":1}]}`

const (
	// outsideConns is the number of connections that clients from outside hold at each entry, outsideAddrs that of their addresses.
	outsideConns, outsideAddrs = 700, 16
	// outsidePause is the time between two pieces of a body, outsidePiece their size.
	outsidePause = 400 * time.Millisecond
	outsidePiece = 64
	// outsideRetry is the time before one of them connects again.
	outsideRetry = 500 * time.Millisecond
	// outsideCallers is the number of ordinary callers at each entry.
	outsideCallers = 8
	// outsideTime is how long they do so, outsideSettle how long after their start ordinary callers are counted.
	outsideTime, outsideSettle = 30 * time.Second, 5 * time.Second
)

// slowBody sends a request with a body of legal size piece by piece, until the entry closes the connection.
func (s *site) slowBody(ctx context.Context, to *process, from string) error {
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.DialContext(ctx, "tcp", fmt.Sprintf("%s:%d", to.ip, s.ports.front))
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "POST /puxa400/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 60000\r\nContent-Length: 4000000\r\n\r\n", host, newID()); err != nil {
		return err
	}
	for ctx.Err() == nil {
		time.Sleep(outsidePause)
		if _, err := c.Write(make([]byte, outsidePiece)); err != nil {
			return err
		}
	}
	return nil
}

// runOutside checks RECOVER beside clients from outside, which send many bodies of legal size piece by piece: an entry that says that it is ready takes
// connections of ordinary callers.
func runOutside(s *site, trouble bool) (broken bool, err error) {
	for i := range 3 {
		w := s.addWorker(i, apps)
		w.slots = 6
		if err := w.start(fmt.Sprintf("i-7f3a91c%d", i), "v1"); err != nil {
			return false, err
		}
	}
	s.memoryMb = 134
	if err := s.startSystem(3, outsideConfig); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), outsideTime)
	defer cancel()
	var work sync.WaitGroup
	var open, closed atomic.Int64
	if trouble {
		for _, to := range s.entries() {
			for n := range outsideConns {
				from := fmt.Sprintf("%s%d", s.net, 210+n%outsideAddrs)
				work.Go(func() {
					for ctx.Err() == nil {
						open.Add(1)
						err := s.slowBody(ctx, to, from)
						open.Add(-1)
						if err != nil {
							closed.Add(1)
						}
						if errors.Is(err, syscall.ECONNREFUSED) {
							return
						}
						time.Sleep(outsideRetry)
					}
				})
			}
		}
	}
	time.Sleep(outsideSettle)
	var mu sync.Mutex
	asked, answered := 0, 0
	watches := make([]watch, len(s.entries()))
	for n := range outsideCallers * len(watches) {
		at := n % len(watches)
		work.Go(func() {
			for ctx.Err() == nil {
				began := time.Now()
				a := s.send(ctx, s.entries()[at], request{method: http.MethodGet, path: "/defi252/2f", timeout: time.Second})
				if ctx.Err() != nil {
					return
				}
				got := a.status == http.StatusOK && a.seal != "" && a.err == nil
				mu.Lock()
				asked++
				if got {
					answered++
				}
				watches[at].tries = append(watches[at].tries, try{began, n, a.status != 0})
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	for ctx.Err() == nil {
		time.Sleep(500 * time.Millisecond)
		for i, p := range s.entries() {
			ready := s.ready(p)
			s.record.line("%s is ready: %v, holds %.0f MiB; clients from outside have %d connections, %d were closed", p.name, ready, p.rss(), open.Load(), closed.Load())
			mu.Lock()
			if !ready {
				watches[i].unready = append(watches[i].unready, time.Now())
			}
			mu.Unlock()
		}
	}
	work.Wait()
	s.record.line("%d of %d requests of ordinary callers were answered", answered, asked)
	if asked == 0 {
		return false, errors.New("no request was sent")
	}
	for i, p := range s.entries() {
		longest := watches[i].closedTime()
		s.record.line("%s said that it was ready and took no connection of %d callers or more for up to %.1f s", p.name, leastCallers, longest.Seconds())
		broken = broken || longest >= contactTime
	}
	return broken, nil
}

// contactTime is ContactMs, leastCallers how many clients must try.
const contactTime, leastCallers = 3 * time.Second, 7

// try is a try of a caller at one entry; took says whether it got an answer of any kind.
type try struct {
	at     time.Time
	caller int
	took   bool
}

// watch is what was seen of one entry: the tries in the order of their ends, and when it said that it wasn't ready.
type watch struct {
	tries   []try
	unready []time.Time
}

// closedTime returns the longest time between two tries without one that got an answer between them, in which enough callers tried and the
// entry was ready.
func (w watch) closedTime() (longest time.Duration) {
	slices.SortFunc(w.tries, func(a, b try) int { return a.at.Compare(b.at) })
	var first time.Time
	callers := map[int]bool{}
	for _, t := range w.tries {
		unready := slices.ContainsFunc(w.unready, func(at time.Time) bool { return at.After(first) && at.Before(t.at) })
		if t.took || unready || first.IsZero() {
			first, callers = time.Time{}, map[int]bool{}
			if !t.took {
				first = t.at
			}
		}
		if t.took {
			continue
		}
		callers[t.caller] = true
		if len(callers) >= leastCallers {
			longest = max(longest, t.at.Sub(first))
		}
	}
	return longest
}
