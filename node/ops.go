package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
)

// opsHandler returns the handler of metrics, health checks and, on entries, explanations
// of recent routing decisions.
func (p *Process) opsHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		p.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		if err := p.Err(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !p.follower.Fresh() {
			http.Error(w, "tables are not fresh", http.StatusServiceUnavailable)
		}
	})
	r.Get("/why/{id}", p.explainDecision)
	return r
}

// explainDecision serves the explanation of a recent routing decision, only to requests with a key of
// the account that the decision was made for.
func (p *Process) explainDecision(w http.ResponseWriter, r *http.Request) {
	if p.entry == nil {
		http.Error(w, "this process decides nothing", http.StatusNotFound)
		return
	}
	decision, ok := p.entry.DecisionFor(chi.URLParam(r, "id"))
	account, keyFound := p.keyring.Account(r.Header.Get("Authorization"))
	if !ok || !keyFound || account != decision.Account {
		http.Error(w, "no such recent request of this account", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client closed the connection.
	_ = json.NewEncoder(w).Encode(decision)
}

// registerMetrics registers the metrics of the process's roles. docs/METRICS.md lists them.
func (p *Process) registerMetrics() {
	gauge := func(name string, f func() float64) { p.metrics.NewGauge("egretshunt_"+name, f) }
	gauge("tables_rev", func() float64 { return float64(p.follower.Rev()) })
	gauge("tables_fresh", func() float64 {
		if p.follower.Fresh() {
			return 1
		}
		return 0
	})
	for i, name := range []string{"control_received_bytes", "control_sent_bytes", "control_pulls", "control_fulls"} {
		gauge(name, func() float64 {
			received, sent, pulls, fulls := p.follower.Traffic()
			return float64([]uint64{received, sent, pulls, fulls}[i])
		})
	}
	if p.entry != nil {
		p.registerEntryMetrics(gauge)
	}
	if a := p.agent; a != nil {
		for name, counter := range map[string]interface{ Load() uint64 }{
			"agent_accepted": &a.Accepted, "agent_refused": &a.Rejected, "agent_crashes": &a.Crashes, "agent_fenced": &a.Fenced,
			"agent_tokens_reused": &a.Reused, "agent_tokens_fetched": &a.Fetched, "agent_tokens_computed": &a.Computed,
			"agent_bytes_fetched": &a.FetchedBytes, "agent_bytes_saved": &a.SavedBytes, "agent_blocks_wrong": &a.CorruptBlocks,
			"agent_stores_slow": &a.StoreTimeouts, "agent_resumed": &a.Resumed, "agent_forsaken": &a.Abandoned,
		} {
			gauge(name, func() float64 { return float64(counter.Load()) })
		}
	}
	if s := p.store; s != nil {
		gauge("store_memory_bytes", func() float64 { return float64(s.Stats().MemoryBytes) })
		gauge("store_disk_bytes", func() float64 { return float64(s.Stats().DiskBytes) })
		gauge("store_reads", func() float64 { return float64(s.Stats().Reads) })
		gauge("store_hits", func() float64 { return float64(s.Stats().Hits) })
		gauge("store_refused", func() float64 { return float64(s.Stats().Rejected) })
		gauge("store_wrong", func() float64 { return float64(s.Stats().Corrupt) })
	}
	if n := p.member; n != nil {
		gauge("member_commit", func() float64 { return float64(n.Status().CommitIndex) })
		gauge("member_term", func() float64 { return float64(n.Status().Term) })
		gauge("member_leads", func() float64 {
			if _, ok := n.IsLeader(); ok {
				return 1
			}
			return 0
		})
	}
}

func (p *Process) registerEntryMetrics(gauge func(string, func() float64)) {
	e := p.entry
	for name, counter := range map[string]interface{ Load() uint64 }{
		"entry_requests": &e.Requests, "entry_answered": &e.Responded, "entry_failed": &e.Failed, "entry_refused": &e.Rejected,
		"entry_retries": &e.Retries, "entry_cuts": &e.TruncatedResponses, "entry_resumes": &e.Resumes, "entry_claims": &e.Claims, "entry_replays": &e.Replays,
	} {
		gauge(name, func() float64 { return float64(counter.Load()) })
	}
	gauge("entry_open", func() float64 { return float64(e.OpenRequests()) })
}

// newPlatformListReader returns a function that reads the platform's list of VMs and
// returns the names of those being removed, or nil if source is empty. Source is a
// file or an HTTP URL with {"vms":[{"name":"endpoint","state":"live"|"leaving"}]}.
func newPlatformListReader(source string) func(context.Context) ([]string, error) {
	if source == "" {
		return nil
	}
	read := func(context.Context) ([]byte, error) { return os.ReadFile(source) }
	if strings.HasPrefix(source, "http://") || strings.HasPrefix(source, "https://") {
		read = func(ctx context.Context) ([]byte, error) { return fetchPlatformList(ctx, source) }
	}
	return func(ctx context.Context) ([]string, error) {
		body, err := read(ctx)
		if err != nil {
			return nil, Failed.Wrap(err, "read the platform's list")
		}
		var list struct {
			VMs []json.RawMessage `json:"vms"`
		}
		if err := json.Unmarshal(body, &list); err != nil {
			return nil, Failed.Wrap(err, "parse the platform's list")
		}
		draining := []string{}
		for _, raw := range list.VMs {
			var vm struct {
				Name  string `json:"name"`
				State string `json:"state"`
			}
			// An odd entry names no VM; the others hold.
			if json.Unmarshal(raw, &vm) == nil && vm.Name != "" && vm.State == "leaving" {
				draining = append(draining, vm.Name)
			}
		}
		return draining, nil
	}
}

func fetchPlatformList(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("unexpected HTTP status %d", resp.StatusCode)
	}
	var body strings.Builder
	buf := make([]byte, 32<<10)
	for body.Len() < 4<<20 {
		n, err := resp.Body.Read(buf)
		body.Write(buf[:n])
		if err != nil {
			break
		}
	}
	return []byte(body.String()), nil
}
