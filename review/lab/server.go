package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is one server of a service: it checks Expect-Instance, works on slots requests at once, names the request in its
// answers and refuses with Not-Executed what it has no room for.
type server struct {
	lab               *lab
	id, service, zone string
	addr              string
	born              int64
	slots, queue      int
	// index counts the servers of a run.
	index int
	// answer writes the answer to a request that runs.
	answer func(s *server, w http.ResponseWriter, r *http.Request, body []byte)
	http   *http.Server
	// working has room for slots requests.
	working chan struct{}

	mu   sync.Mutex
	open int
	runs int
}

// listen starts the server.
func (s *server) listen() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.born = time.Now().UnixMilli()
	s.working = make(chan struct{}, s.slots)
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	return nil
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("Instance-Id", s.id)
	id := r.Header.Get("Request-Id")
	if id == "" {
		// A call of the system, such as a health check.
		if r.URL.Path != "/health" {
			w.WriteHeader(http.StatusNotFound)
		}
		return
	}
	h.Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	full := s.open >= s.slots+s.queue
	if !full {
		s.open++
		s.runs++
	}
	s.mu.Unlock()
	if full {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open--
	}()
	select {
	case s.working <- struct{}{}:
		defer func() { <-s.working }()
	case <-r.Context().Done():
		// The connection was closed while the request was queued: it doesn't run.
		return
	}
	s.lab.note("%s runs %s for tenant %q", s.id, id, r.Header.Get("Tenant-Id"))
	s.answer(s, w, r, body)
}

// breakOff closes the connection of an answer that isn't complete.
func breakOff(w http.ResponseWriter) {
	// Bytes written so far are sent before the connection is taken over.
	_ = http.NewResponseController(w).Flush()
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	c.Close()
}

// servers are the servers of a run, which all start before the system and stay on the list.
type servers struct {
	mu  sync.Mutex
	all []*server
}

func (l *lab) newServer(n int, service string, answer func(*server, http.ResponseWriter, *http.Request, []byte)) *server {
	return &server{
		lab: l, id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), service: service, zone: "couva", addr: net.JoinHostPort(l.ip(firstServer+n), strconv.Itoa(serverPort)),
		slots: 6, queue: 24, answer: answer,
	}
}

// serveList serves the platform's list of servers.
func (l *lab) serveList(s *servers) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(l.ip(listMachine), strconv.Itoa(listPort)))
	if err != nil {
		return err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		entries := []map[string]any{}
		for _, e := range s.all {
			entry := map[string]any{
				"Id": e.id, "Service": e.service, "Address": e.addr, "Zone": e.zone, "Version": "v1", "Slots": e.slots, "State": "ready", "ColdLeftMs": 0, "born": e.born,
			}
			entries = append(entries, entry)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"Instances": entries, "NextToken": nil})
	})
	go func() { _ = http.Serve(listener, handler) }()
	return nil
}
