package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
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
	outsideConns, outsideAddrs = 800, 16
	// outsidePause is the time between two pieces of a body, outsidePiece their size.
	outsidePause = 400 * time.Millisecond
	outsidePiece = 64
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

// runOutside checks that ordinary callers still get answers beside clients from outside, which send many bodies of legal size piece by piece.
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
						time.Sleep(100 * time.Millisecond)
					}
				})
			}
		}
	}
	time.Sleep(outsideSettle)
	var mu sync.Mutex
	asked, answered := 0, 0
	for n := range 6 {
		work.Go(func() {
			for ctx.Err() == nil {
				a := s.send(ctx, s.entries()[n%3], request{method: http.MethodGet, path: "/defi252/2f", timeout: time.Second})
				if ctx.Err() != nil {
					return
				}
				mu.Lock()
				asked++
				if a.status == http.StatusOK && a.seal != "" && a.err == nil {
					answered++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for ctx.Err() == nil {
		time.Sleep(2 * time.Second)
		for _, p := range s.entries() {
			s.record.line("%s is ready: %v, holds %.0f MiB; clients from outside have %d connections, %d were closed", p.name, s.ready(p), p.rss(), open.Load(), closed.Load())
		}
	}
	work.Wait()
	s.record.line("%d of %d requests of ordinary callers were answered", answered, asked)
	return asked == 0 || answered < asked/4, nil
}
