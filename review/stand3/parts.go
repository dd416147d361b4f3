package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// partsConfig has one route for prompts.
const partsConfig = `{"Version":7,"Routes":[
{"Name":"r-eek22xp","Host":"pule25.example","PathPrefix":"/cufi501/fi50/","Kind":"streaming","TimeoutMs":15000,"GoalMs":1000,"Priority":0,"Service":"huvo11a","MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"GapGoalMs":250}],
"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":370,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":95037,"KvTokenBytes":18432,"LinkMbps":370000.0,"Moves":true,"Backups":true,"Managed":true,"Stride":5,"MaxInflight":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"daka510000"}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"jeye930","ApiKeys":["nu6wsjnbanfqasnmgkcu"],"Priority":1}]}`

const (
	// partsRate is the number of prompts a second; cpsc-shared has 14.7 + 53.8.
	partsRate = 68
	// partsCount is the number of parts of a prompt, partTokens the tokens of each: together they are as many as those of the mean long prompt.
	partsCount, partTokens = 600, 20
	// partsTime is how long the traffic lasts.
	partsTime = 90 * time.Second
)

// rss returns the resident memory of a process, in MiB.
func (p *process) rss() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		if rest, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			kib, _ := strconv.ParseFloat(string(bytes.Fields(rest)[0]), 64)
			return kib / 1024
		}
	}
	return 0
}

// runParts checks that each process stays within the memory of its machine while prompts come whose parts are new. Without trouble the parts are the
// same again and again.
func runParts(s *site, trouble bool) (broken bool, err error) {
	for i := range 4 {
		w := s.addWorker(i, engines)
		w.pieces, w.gap = 2, 5*time.Millisecond
		if err := w.start(fmt.Sprintf("i-7f3a91c%d", i), "v1"); err != nil {
			return false, err
		}
	}
	if err := s.startSystem(3, partsConfig); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), partsTime)
	defer cancel()
	var work sync.WaitGroup
	entries := s.entries()
	work.Go(func() {
		t := time.NewTicker(time.Second / partsRate)
		defer t.Stop()
		for n := 0; ctx.Err() == nil; n++ {
			<-t.C
			subject := n
			if !trouble {
				subject = n % 20
			}
			work.Go(func() {
				var parts []string
				for k := range partsCount {
					parts = append(parts, fmt.Sprintf("%08x:%d", subject*partsCount+k, partTokens))
				}
				s.send(ctx, entries[n%len(entries)], request{method: http.MethodPost, path: "/cufi501/fi50/2f", body: "a prompt", timeout: 15 * time.Second, header: map[string]string{
					"Model-Id": model, "Token-Count": fmt.Sprintf("%d,80", partsCount*partTokens), "Prefix-Hash": strings.Join(parts, ","),
				}})
			})
		}
	})
	for ctx.Err() == nil {
		time.Sleep(5 * time.Second)
		for _, p := range append(s.controls(), entries...) {
			used, most := p.rss(), 284.0
			if p.role == "control" {
				most = 280
			}
			s.record.line("%s holds %.0f MiB of %.0f", p.name, used, most)
			broken = broken || used > most
		}
	}
	work.Wait()
	return broken, nil
}
