package stand2

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as its settings name them.
const (
	ConfigTime = 2 * time.Second
	RevokeTime = 5 * time.Second
)

// Config says what a case starts.
type Config struct {
	// Binary is the program that the deploy file builds, Folder the folder of the case.
	Binary, Folder string
	// Fronts is how many machines serve clients; three others are the core.
	Fronts int
}

// System is one deployment with its stand-ins.
type System struct {
	config Config
	temp   string
	record *os.File
	began  time.Time
	net    byte
	ports  struct{ front, ready, control, wire, metrics, app uint16 }
	last   byte
	zones  []string
	Fronts []*Process
	Cores  []*Process
	List   *List

	mu sync.Mutex
}

// Process is one of the project's processes.
type Process struct {
	Name, IP string
	// Front, Ready and Control are the addresses that it listens on.
	Front, Ready, Control string
	system                *System
	settings, role        string
	cmd                   *exec.Cmd
	ended                 chan struct{}
}

// Trouble reports whether the case is to be played with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// New prepares a deployment.
func New(c Config) (*System, error) {
	s := &System{config: c, began: time.Now(), zones: []string{"couva", "chaguanas", "claxton"}}
	var err error
	if s.record, err = os.Create(filepath.Join(c.Folder, "record.txt")); err != nil {
		return nil, err
	}
	if s.temp, err = os.MkdirTemp("", "egretshunt-review-"); err != nil {
		return nil, err
	}
	for range 100 {
		s.net = byte(16 + rand.IntN(200))
		base := uint16(20000 + rand.IntN(8000))
		s.ports.front, s.ports.ready, s.ports.control, s.ports.wire, s.ports.metrics, s.ports.app = base, base+1, base+2, base+3, base+40, base+41
		if s.portsAreFree() {
			break
		}
	}
	if s.List, err = newList(s); err != nil {
		return nil, err
	}
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-ends:
		case <-time.After(mostTime):
		}
		s.Fail(errors.New("the case was ended from outside, or took too long"))
	}()
	return s, nil
}

// mostTime is how long a case may take.
const mostTime = 110 * time.Second

func (s *System) portsAreFree() bool {
	for _, p := range []uint16{s.ports.front, s.ports.ready, s.ports.control, s.ports.wire, s.ports.metrics, s.ports.app} {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", s.net, p))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// NewIP returns a loopback address that nothing else of this deployment has.
func (s *System) NewIP() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	return fmt.Sprintf("127.%d.0.%d", s.net, s.last)
}

// Log writes a line to the record.
func (s *System) Log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// Start starts all processes, the core with empty disks.
func (s *System) Start() error {
	for i := range 3 {
		ip := s.NewIP()
		s.Cores = append(s.Cores, &Process{Name: fmt.Sprintf("core-%s-1", s.zones[i]), IP: ip, system: s, role: "control", Control: fmt.Sprintf("%s:%d", ip, s.ports.control)})
	}
	for i := range s.config.Fronts {
		ip := s.NewIP()
		s.Fronts = append(s.Fronts, &Process{Name: fmt.Sprintf("front-%s-%d", s.zones[i%3], i/3+1), IP: ip, system: s, role: "entry",
			Front: fmt.Sprintf("%s:%d", ip, s.ports.front), Ready: fmt.Sprintf("%s:%d", ip, s.ports.ready)})
	}
	for i, p := range append(append([]*Process{}, s.Cores...), s.Fronts...) {
		zone := s.zones[i%3]
		if p.role == "entry" {
			zone = s.zones[(i-len(s.Cores))%3]
		}
		if err := p.writeSettings(zone); err != nil {
			return err
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Process) writeSettings(zone string) error {
	s := p.system
	listen, class, disk := map[string]string{"Control": p.Control}, "core", any(filepath.Join(s.temp, p.Name))
	if p.role == "entry" {
		listen, class, disk = map[string]string{"Front": p.Front, "Ready": p.Ready}, "front", nil
	}
	var seeds []string
	for _, c := range s.Cores {
		seeds = append(seeds, c.Control)
	}
	settings := map[string]any{
		"Node": p.Name, "Role": p.role, "MachineClass": class, "Serves": []string{class}, "Ip": p.IP, "Zone": zone, "Region": "tt-central",
		"Zones":  map[string]string{"couva": "tt-central", "chaguanas": "tt-central", "claxton": "tt-central"},
		"Listen": listen, "PortRange": []uint16{s.ports.wire, s.ports.wire + 15}, "Seeds": seeds, "Bootstrap": true, "FaultCounted": class == "core",
		"Limits":  map[string]any{"CpuShare": 0.304, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"DataDir": disk, "Discovery": "cloud", "Entry": "vip", "HeartbeatMs": 1200,
		"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants"},
		"FaultTolerance": map[string]int{"Machines": 1, "Zones": 0, "Regions": 0},
		"Bounds": map[string]any{"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 3000, "GraceS": 8, "LossSlackMs": 200,
			"ConfigMs": 2000, "RollbackSlackMs": 250, "MaxStretchMs": 5000, "FailClosed": true, "RevokeMs": 5000, "RetryBudgetRatio": 0.2, "RetryWindowS": 10, "RetrySlack": 58,
			"RecoverS": 12, "TransitMs": 120, "ReuseWindowS": 20, "Fencing": true, "LeaseMs": 3000, "ThawMs": 300, "VersionMs": 10000, "VersionAllMs": 14000},
		"ConfigMode": "highest",
		"Cloud":      map[string]any{"Address": s.List.Addr, "RatePerS": 47.0, "Duties": []string{}, "LagMs": 800},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	p.settings = filepath.Join(s.temp, p.Name+".json")
	return os.WriteFile(p.settings, data, 0o600)
}

// Start starts the process with the command and the environment of the deploy file.
func (p *Process) Start() error {
	out, err := os.OpenFile(filepath.Join(p.system.temp, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command(p.system.config.Binary, "host", p.role)
	p.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + p.system.temp, "LANG=C", "EGRETSHUNT_NODE_FILE=" + p.settings,
		"EGRETSHUNT_WIRE_SECRET=replace-this-secret-in-your-own-deployment", fmt.Sprintf("EGRETSHUNT_METRICS_PORT=%d", p.system.ports.metrics), "EGRETSHUNT_LOG_LEVEL=info",
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	p.system.Log("%s starts", p.Name)
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) {
	p.system.Log("%s gets %v", p.Name, sig)
	_ = p.cmd.Process.Signal(sig)
}

// Wait waits for the end of the process.
func (p *Process) Wait() { <-p.ended }

// Stop ends everything that was started. KEEP=1 keeps the temporary folder with the logs.
func (s *System) Stop() {
	for _, p := range append(append([]*Process{}, s.Cores...), s.Fronts...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			<-p.ended
		}
	}
	s.List.server.Close()
	if os.Getenv("KEEP") == "1" {
		fmt.Println("logs:", s.temp)
	} else {
		os.RemoveAll(s.temp)
	}
}

// AwaitReady waits until all fronts say that they are ready.
func (s *System) AwaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, p := range s.Fronts {
		for {
			r, err := http.Get("http://" + p.Ready + "/-/readiness")
			if err == nil {
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s isn't ready after %v", p.Name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.Log("all fronts are ready")
	return nil
}

// Operate sends an operator's call to one control machine after another until it is acknowledged, as the operator does.
func (s *System) Operate(method, path string, body any, limit time.Duration) (acked time.Time, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return acked, err
	}
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(limit)
	for i := 0; time.Now().Before(until); i++ {
		at := s.Cores[i%len(s.Cores)].Control
		req, _ := http.NewRequest(method, "http://"+at+path, bytes.NewReader(data))
		req.Header.Set("Content-Type", "application/json")
		r, err := client.Do(req)
		if err == nil {
			text, _ := io.ReadAll(r.Body)
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				s.Log("%s %s acknowledged by %s", method, path, at)
				return time.Now(), nil
			}
			if r.StatusCode >= 400 && r.StatusCode < 500 {
				return acked, fmt.Errorf("%s %s got %d: %s", method, path, r.StatusCode, text)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return acked, errors.New(method + " " + path + " was never acknowledged")
}

// Finish ends the case: status 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
func (s *System) Finish(broken bool, format string, args ...any) {
	verdict, status := "held", 0
	if broken {
		verdict, status = "BROKEN", 1
	}
	s.Log("the rule %s: %s", verdict, fmt.Sprintf(format, args...))
	fmt.Printf("the rule %s: %s\n", verdict, fmt.Sprintf(format, args...))
	s.Stop()
	os.Exit(status)
}

// Fail ends a case that couldn't run.
func (s *System) Fail(err error) {
	s.Log("the case couldn't run: %v", err)
	fmt.Println("the case couldn't run:", err)
	s.Stop()
	os.Exit(2)
}

// Must ends the case if there is an error.
func (s *System) Must(err error) {
	if err != nil {
		s.Fail(err)
	}
}
