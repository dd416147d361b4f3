package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// sheetBytes is the length of a job sheet with its drawings.
const sheetBytes = 600 << 10

// sheetOf returns a server's whole answer to a request.
func sheetOf(id, server string) []byte {
	seed := sha256.Sum256([]byte(id + server))
	line := []byte(hex.EncodeToString(seed[:]) + "\n")
	return bytes.Repeat(line, sheetBytes/len(line))
}

// The dose of garble: one of three servers (share 0.35 at most) breaks off one in 50 of its answers (x 0.02 at most) for 5 s at a
// time (5.5 s at most), again and again with a pause between.
const (
	garbleEvery = 50
	garbleTime  = 5 * time.Second
	garblePause = 3 * time.Second
)

// runJoined reads job sheets on a safe route with two attempts while a server breaks off some of its answers.
func runJoined(l *lab) (int, error) {
	const config = `{"Version":1,"Routes":[{"Name":"r-sheet","Host":"sheets.example","PathPrefix":"/sheet/","Kind":"safe","TimeoutMs":3000,"GoalMs":500,"Priority":1,"Service":"app","MaxAttempts":2,"Public":false,"Sticky":false,"Resumable":false}],
"Services":[{"Name":"app","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"tenant-a","ApiKeys":["key-a"],"Priority":1}]}`
	random := rand.New(rand.NewPCG(1, 1))
	var brokenOff, garbled atomic.Int64
	isGarbling := func() bool { return time.Since(l.started)%(garbleTime+garblePause) < garbleTime }
	answer := func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get("Request-Id")
		sheet := sheetOf(id, s.id)
		time.Sleep(15 * time.Millisecond)
		w.Header().Set("Response-Seal", "seal-"+id+"-"+s.id)
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(sheet)))
		s.mu.Lock()
		garbles := l.trouble && s.id == "i-7f3a0000" && isGarbling() && garbled.Add(1)%garbleEvery == 0
		cut := random.IntN(len(sheet))
		s.mu.Unlock()
		if !garbles {
			_, _ = w.Write(sheet)
			return
		}
		brokenOff.Add(1)
		l.note("%s breaks off its answer to %s after %d of %d bytes", s.id, id, cut, len(sheet))
		_, _ = w.Write(sheet[:cut])
		breakOff(w)
	}
	list := &servers{}
	for n := range 3 {
		s := l.newServer(n, "app", answer)
		if err := s.listen(); err != nil {
			return cannotRun, err
		}
		list.all = append(list.all, s)
	}
	fronts, err := l.startSystem(list, []byte(config), 3, 2)
	if err != nil {
		return cannotRun, err
	}
	var sent, whole, failed, mixed atomic.Int64
	var clients sync.WaitGroup
	const perSecond, seconds = 60, 60
	for n := range perSecond * seconds {
		front := fronts[n%len(fronts)]
		clients.Go(func() {
			id := fmt.Sprintf("%016x", 0x1c41d07b00000000+n)
			sent.Add(1)
			status, seal, body, err := get(front.ip, "/sheet/2f", id)
			switch {
			case err != nil || status != http.StatusOK:
				failed.Add(1)
				l.note("%s: status %d, %d bytes, %v", id, status, len(body), err)
			case seal != "" && isSheet(list, id, body):
				whole.Add(1)
			default:
				mixed.Add(1)
				l.note("%s: MIXED: a complete 200 with %d bytes and seal %q; no server's whole answer", id, len(body), seal)
			}
		})
		if !l.sleep(time.Second / perSecond) {
			break
		}
	}
	clients.Wait()
	l.say("%d requests: %d whole answers, %d failed, %d complete answers that no server gave; %d answers broken off", sent.Load(), whole.Load(), failed.Load(), mixed.Load(), brokenOff.Load())
	if whole.Load() == 0 {
		return cannotRun, fmt.Errorf("no request was served")
	}
	if mixed.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// isSheet reports whether a body is one server's whole answer.
func isSheet(list *servers, id string, body []byte) bool {
	for _, s := range list.all {
		if bytes.Equal(body, sheetOf(id, s.id)) {
			return true
		}
	}
	return false
}

// get sends one request of a client on a new connection and reads the whole answer; err is set if that isn't complete.
func get(ip, path, id string) (status int, seal string, body []byte, err error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+net.JoinHostPort(ip, strconv.Itoa(frontPort))+path, nil)
	if err != nil {
		return 0, "", nil, err
	}
	r.Host = "sheets.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Key", "key-a")
	r.Header.Set("Accept-Encoding", "identity")
	c := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	got, err := c.Do(r)
	if err != nil {
		return 0, "", nil, err
	}
	defer got.Body.Close()
	body, err = io.ReadAll(got.Body)
	return got.StatusCode, got.Header.Get("Response-Seal"), body, err
}
