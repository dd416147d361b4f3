package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// attempt is one client attempt and its outcome.
type attempt struct {
	id     string
	status int
	seal   string
	body   []byte
	header http.Header
	// err is why the answer isn't complete.
	err error
	// events are the data lines of the events that came whole, lastID is the ID of the last one.
	events []string
	lastID string
}

// request is what a client sends.
type request struct {
	method, path string
	header       map[string]string
	body         string
	timeout      time.Duration
}

var nextID atomic.Int64

// newID returns the ID of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(nextID.Add(1))) }

// send sends one client attempt to an entry, on a new connection.
func (s *site) send(ctx context.Context, to *process, q request) *attempt {
	a := &attempt{id: newID()}
	ctx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, fmt.Sprintf("http://%s:%d%s", to.ip, s.ports.front, q.path), strings.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set("Request-Id", a.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.timeout.Milliseconds()))
	r.Header.Set("Key", tenantKey)
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	s.record.line("sent %s %s %s to %s %.100v", a.id, q.method, q.path, to.name, fmt.Sprint(q.header))
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		a.err = err
		s.record.line("answer to %s: none, %v", a.id, err)
		return a
	}
	defer response.Body.Close()
	a.status, a.header, a.seal = response.StatusCode, response.Header, response.Header.Get("Response-Seal")
	if response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		a.readEvents(response.Body)
	} else {
		a.body, a.err = io.ReadAll(response.Body)
	}
	s.record.line("answer to %s: status %d, seal %q, %d events up to %q, %d bytes, end %v", a.id, a.status, a.seal, len(a.events), a.lastID, len(a.body), a.err)
	return a
}

// readEvents reads a stream to its end.
func (a *attempt) readEvents(from io.Reader) {
	lines := bufio.NewReader(from)
	id, data := "", ""
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			if line != "" || data != "" {
				a.err = io.ErrUnexpectedEOF
			}
			return
		}
		if err != nil {
			a.err = err
			return
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			id = line[4:]
		case strings.HasPrefix(line, "data: "):
			data = line[6:]
		case line == "" && data != "":
			a.events, a.lastID = append(a.events, data), id
			id, data = "", ""
		}
	}
}
