package stand2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// listLag is how far the list lags behind the workers.
const listLag = 800 * time.Millisecond

// List is the platform's list of workers.
type List struct {
	Addr   string
	server *http.Server

	mu      sync.Mutex
	changes []listChange
}

// listChange is the content of the list from a time on.
type listChange struct {
	at      time.Time
	entries []map[string]any
}

func newList(s *System) (*List, error) {
	l := &List{}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.NewIP(), s.ports.app))
	if err != nil {
		return nil, err
	}
	l.Addr = listener.Addr().String()
	l.server = &http.Server{Handler: l}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// ServeHTTP answers calls for the list.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	l.mu.Lock()
	entries := []map[string]any{}
	for _, c := range l.changes {
		if time.Since(c.at) >= listLag {
			entries = c.entries
		}
	}
	if len(l.changes) > 0 && len(entries) == 0 {
		entries = l.changes[0].entries
	}
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Instances": entries, "NextToken": nil})
}

// Set records that the list shows these workers from listLag on; the first list shows at once.
func (l *List) Set(workers ...*Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := listChange{at: time.Now()}
	for _, w := range workers {
		c.entries = append(c.entries, w.entry())
	}
	l.changes = append(slices.Clone(l.changes), c)
}
