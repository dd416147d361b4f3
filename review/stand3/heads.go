package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// headsConns is the number of connections that clients from outside hold at each entry, headsAddrs that of their addresses.
	headsConns, headsAddrs = 600, 16
	// headsBytes is the size of a request's head, which MaxHeaderBytes bounds by 16,384, bodyBytes that of its body.
	headsBytes, bodyBytes = 16000, 1000
	// headsTime is how long they stay.
	headsTime = 20 * time.Second
)

// memory returns the memory of a process that is no file's, in MiB.
func (p *process) memory() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		if rest, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			kib, _ := strconv.ParseFloat(string(bytes.Fields(rest)[0]), 64)
			return kib / 1024
		}
	}
	return 0
}

// manyLines returns header lines with short names of their own, so that the head of a request has the given size.
func manyLines(first string, size int) (head string, count int) {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	b.WriteString(first)
	// Some checks count a space behind the colon, which isn't sent.
	for ; b.Len()+count+8 < size; count++ {
		b.WriteString("x" + string(letters[count/676%26]) + string(letters[count/26%26]) + string(letters[count%26]) + ":\r\n")
	}
	b.WriteString("\r\n")
	return b.String(), count
}

// stayOpen sends a request whose body stops one byte short of its end, and stays until the entry closes the connection or ctx ends.
func (s *site) stayOpen(ctx context.Context, to *process, from, request string) (answer string) {
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.DialContext(ctx, "tcp", fmt.Sprintf("%s:%d", to.ip, s.ports.front))
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	if _, err := c.Write([]byte(request)); err != nil {
		return err.Error()
	}
	line := make([]byte, 64)
	n, err := c.Read(line)
	if ctx.Err() != nil {
		return "none when the case ended"
	}
	first, _, _ := strings.Cut(string(line[:n]), "\r\n")
	return fmt.Sprintf("%q, %v", first, err)
}

// runHeads checks that the entries stay within the memory of their machines beside clients from outside, whose requests have many header lines and
// a body that stops just short of its end.
func runHeads(s *site, trouble bool) (broken bool, err error) {
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
	head, lines := manyLines(fmt.Sprintf("POST /puxa400/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 60000\r\nContent-Length: %d\r\n", host, newID(), bodyBytes), headsBytes)
	s.record.line("a request from outside has a head of %d bytes with %d lines, and %d bytes of its body of %d", len(head), lines, bodyBytes-1, bodyBytes)
	ctx, cancel := context.WithTimeout(context.Background(), headsTime)
	defer cancel()
	var work sync.WaitGroup
	var open atomic.Int64
	if trouble {
		for _, to := range s.entries() {
			for n := range headsConns {
				from := fmt.Sprintf("%s%d", s.net, 210+n%headsAddrs)
				work.Go(func() {
					for ctx.Err() == nil {
						open.Add(1)
						answer := s.stayOpen(ctx, to, from, head+strings.Repeat("x", bodyBytes-1))
						open.Add(-1)
						s.record.line("answer to a request from outside, from %s to %s: %s", from, to.name, answer)
						time.Sleep(outsideRetry)
					}
				})
			}
		}
	}
	for n := range 6 {
		work.Go(func() {
			for ctx.Err() == nil {
				s.send(ctx, s.entries()[n%3], request{method: http.MethodGet, path: "/defi252/2f", timeout: time.Second})
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	most := map[string]float64{}
	for ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		for _, p := range s.entries() {
			used := p.memory()
			most[p.name] = max(most[p.name], used)
			s.record.line("%s holds %.0f MiB of %d beside its files; clients from outside have %d connections", p.name, used, s.memoryMb, open.Load())
		}
	}
	work.Wait()
	for _, p := range s.entries() {
		s.record.line("%s held %.0f MiB of %d at most", p.name, most[p.name], s.memoryMb)
		broken = broken || most[p.name] > float64(s.memoryMb)
	}
	return broken, nil
}
