package fake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// ServiceConfig constructs a Service.
type ServiceConfig struct {
	// Delay is how long each call takes.
	Delay time.Duration
}

// Service is a small booking application. Each POST /jobs takes effect and is counted by
// idempotency key. The service doesn't deduplicate, so a count above one reveals a repeated effect.
type Service struct {
	framing
	config ServiceConfig
	addr   netip.AddrPort
	server *http.Server

	// mu guards the fields below.
	mu    sync.Mutex
	runs  map[string]int
	calls int
	// cut makes POST /jobs break the connection after the booking took effect.
	cut bool
	// hang blocks calls until they are cancelled.
	hang bool
	fail bool
}

// StartService starts a Service on a free loopback port.
func StartService(c ServiceConfig) (*Service, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start fake service: %w", err)
	}
	s := &Service{config: c, addr: l.Addr().(*net.TCPAddr).AddrPort(), runs: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /jobs", s.serveBooking)
	mux.HandleFunc("GET /outcome/{key}", s.serveOutcome)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", s.serveStatus)
	s.server = &http.Server{Handler: s.wrap(mux)}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Addr returns the address that the service listens on.
func (s *Service) Addr() netip.AddrPort { return s.addr }

// EffectCounts returns how many times each idempotency key took effect.
func (s *Service) EffectCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// Calls returns the number of calls of any kind.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetBreakAfterBooking makes the service break the connection once a booking has taken effect, so
// that its response is lost.
func (s *Service) SetBreakAfterBooking(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

// SetHang blocks calls, before any effect, until they are cancelled.
func (s *Service) SetHang(hang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hang = hang
}

// SetFail makes every call fail with status 503.
func (s *Service) SetFail(fail bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail = fail
}

// beginCall counts a call, applies the injected faults and the delay, and reports whether to continue.
func (s *Service) beginCall(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.calls++
	hang, fail := s.hang, s.fail
	s.mu.Unlock()
	if hang {
		<-r.Context().Done()
		return false
	}
	if fail {
		http.Error(w, "out of order", http.StatusServiceUnavailable)
		return false
	}
	return sleep(r, s.config.Delay)
}

func (s *Service) serveBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !s.beginCall(w, r) {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.runs[key]++
	n, cut := s.runs[key], s.cut
	s.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Job", key)
	w.WriteHeader(http.StatusCreated)
	writeJSON(w, map[string]any{"key": key, "run": n, "order": string(body)})
}

func (s *Service) serveOutcome(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	n := s.runs[r.PathValue("key")]
	s.mu.Unlock()
	if n == 0 {
		http.Error(w, "never ran", http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{"key": r.PathValue("key"), "run": n})
}

func (s *Service) serveStatus(w http.ResponseWriter, r *http.Request) {
	if !s.beginCall(w, r) {
		return
	}
	writeJSON(w, map[string]string{"path": r.URL.Path, "state": "covered"})
}

// Close stops the service.
func (s *Service) Close() { s.server.Close() }
