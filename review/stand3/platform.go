package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// platform is the stand-in for the platform's list of workers.
type platform struct {
	site   *site
	server *http.Server

	mu sync.Mutex
	// shown are the entries of the list; they are changed listLag after the workers.
	shown map[string]entry
	calls []time.Time
}

// entry is a worker as the list shows it.
type entry struct {
	ID         string `json:"Id"`
	Service    string
	Address    string
	Zone       string
	Version    string
	Slots      int
	State      string
	ColdLeftMs int
	Stage      string
	Models     []modelEntry
	Born       int64 `json:"born"`
}

type modelEntry struct {
	Name     string
	Version  uint64
	Adapters []string
}

func newPlatform(s *site) *platform { return &platform{site: s, shown: map[string]entry{}} }

func (p *platform) addr() string { return fmt.Sprintf("%s200:%d", p.site.net, p.site.ports.platform) }

func (p *platform) start() error {
	l, err := net.Listen("tcp", p.addr())
	if err != nil {
		return err
	}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(l) }()
	return nil
}

func (p *platform) stop() {
	if p.server != nil {
		_ = p.server.Close()
	}
}

// show changes an entry of the list after its lag.
func (p *platform) show(e entry) {
	time.AfterFunc(listLag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.shown[e.ID] = e
		p.site.record.line("the list shows %s at %s with version %s, %s, born %d", e.ID, e.Address, e.Version, e.State, e.Born)
	})
}

// ServeHTTP implements http.Handler.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.calls) > 0 && now.Sub(p.calls[0]) > time.Second {
		p.calls = p.calls[1:]
	}
	if len(p.calls) >= 47 {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	p.calls = append(p.calls, now)
	list := struct {
		Instances []entry
		NextToken *string
	}{Instances: []entry{}}
	for _, e := range p.shown {
		if zone := r.URL.Query().Get("Zone"); zone == "" || zone == e.Zone {
			list.Instances = append(list.Instances, e)
		}
	}
	sort.Slice(list.Instances, func(i, j int) bool { return list.Instances[i].ID < list.Instances[j].ID })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
