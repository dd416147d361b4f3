package main

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
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment; those of the pages' examples.
const (
	region    = "tt-central"
	host      = "pule25.example"
	model     = "daka510000"
	engines   = "huvo11a"
	apps      = "kafi81c"
	tenant    = "jeye930"
	tenantKey = "nu6wsjnbanfqasnmgkcu"
)

var zones = []string{"couva", "chaguanas", "claxton"}

// listLag is how long the list lags, as in the example of DEPLOY.md.
const (
	listLag = 800 * time.Millisecond
)

// site is a deployment with its stand-ins.
type site struct {
	record  *record
	program string
	dir     string
	net     string
	ports   struct{ front, ready, control, wire, worker, platform int }

	// memoryMb is the memory of a front machine.
	memoryMb int
	platform *platform
	http     *http.Client

	mu        sync.Mutex
	processes []*process
	workers   []*worker
	closed    bool
}

// process is one process of the system.
type process struct {
	site     *site
	name     string
	role     string
	ip       string
	settings string
	started  time.Time
	cmd      *exec.Cmd
	log      *os.File
	ended    chan struct{}
}

func newSite(program string, r *record) (*site, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program isn't built: %w", err)
	}
	dir, err := os.MkdirTemp("", "egretshunt-case-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, program: program, dir: dir, memoryMb: 284, http: &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	if err := s.findPorts(); err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	s.platform = newPlatform(s)
	return s, s.platform.start()
}

// findPorts finds a network of loopback addresses, and ports that are free there.
func (s *site) findPorts() error {
	for range 50 {
		s.net = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(240), rand.IntN(250))
		base := 20000 + rand.IntN(10000)
		free := true
		for i := range 6 {
			for _, last := range []int{1, 2, 3, 11, 12, 13, 101, 102, 103, 200} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", s.net, last, base+i))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			s.ports.front, s.ports.ready, s.ports.control, s.ports.wire, s.ports.worker, s.ports.platform = base, base+1, base+2, base+3, base+4, base+5
			return nil
		}
	}
	return errors.New("no free ports were found")
}

// startSystem starts three control processes and some entries, puts the first configuration and waits until the entries are ready.
func (s *site) startSystem(entries int, config string) error {
	for i := range 3 {
		s.addProcess(fmt.Sprintf("core-%s-1", zones[i]), "control", 1+i, zones[i])
	}
	for i := range entries {
		s.addProcess(fmt.Sprintf("front-%s-%d", zones[i%3], 1+i/3), "entry", 11+i, zones[i%3])
	}
	for _, p := range s.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	if err := s.putConfig(config, 10*time.Second); err != nil {
		return err
	}
	until := time.Now().Add(15 * time.Second)
	for _, p := range s.entries() {
		for !s.ready(p) {
			if time.Now().After(until) {
				return fmt.Errorf("%s doesn't become ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.line("all entries are ready")
	return nil
}

func (s *site) addProcess(name, role string, last int, zone string) {
	p := &process{site: s, name: name, role: role, ip: fmt.Sprint(s.net, last)}
	at := func(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }
	regions, seeds := map[string]string{}, []string{}
	for i, z := range zones {
		regions[z] = region
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", s.net, 1+i, s.ports.control))
	}
	settings := map[string]any{
		"Node": name, "Role": role, "Ip": p.ip, "Zone": zone, "Region": region, "Zones": regions,
		"PortRange": []int{s.ports.wire, s.ports.wire}, "Seeds": seeds, "Bootstrap": true, "DataDir": nil,
		"Discovery": "cloud", "Entry": "vip", "HeartbeatMs": 1200,
		"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants"},
		"FaultTolerance": map[string]int{"Machines": 1, "Zones": 0, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 3000, "GraceS": 8, "LossSlackMs": 200, "ConfigMs": 2000,
			"RollbackSlackMs": 250, "MaxStretchMs": 5000, "FailClosed": true, "RevokeMs": 5000, "RetryBudgetRatio": 0.2, "RetryWindowS": 10, "RetrySlack": 58,
			"RecoverS": 12, "TransitMs": 120, "ReuseWindowS": 20, "Fencing": true, "LeaseMs": 3000, "ThawMs": 300, "VersionMs": 10000, "VersionAllMs": 14000,
		},
		"ConfigMode": "highest",
		"Cloud":      map[string]any{"Address": s.platform.addr(), "RatePerS": 47.0, "Duties": []string{}, "LagMs": 800},
	}
	switch role {
	case "entry":
		settings["MachineClass"], settings["Serves"] = "front", []string{"front"}
		settings["FaultCounted"] = false
		settings["Listen"] = map[string]string{"Front": at(s.ports.front), "Ready": at(s.ports.ready)}
		settings["Limits"] = map[string]any{"CpuShare": 0.304, "Cores": 1, "MemoryMb": s.memoryMb, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0}
	default:
		settings["MachineClass"], settings["Serves"] = "core", []string{"control"}
		settings["FaultCounted"] = true
		settings["Listen"] = map[string]string{"Control": at(s.ports.control)}
		settings["Limits"] = map[string]any{"CpuShare": 0.96, "Cores": 1, "MemoryMb": 280, "MaxFds": 4096, "LinkMbps": 1000.0, "DiskMb": 128}
		settings["DataDir"] = filepath.Join(s.dir, name)
		_ = os.MkdirAll(filepath.Join(s.dir, name), 0o755)
	}
	p.settings = filepath.Join(s.dir, name+".json")
	text, _ := json.MarshalIndent(settings, "", " ")
	_ = os.WriteFile(p.settings, text, 0o644)
	s.processes = append(s.processes, p)
}

func (s *site) entries() []*process { return s.ofRole("entry") }

func (s *site) controls() []*process { return s.ofRole("control") }

func (s *site) ofRole(role string) []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*process
	for _, p := range s.processes {
		if p.role == role {
			found = append(found, p)
		}
	}
	return found
}

// start starts the process as the deploy file says.
func (p *process) start() error {
	if p.log == nil {
		var err error
		if p.log, err = os.Create(filepath.Join(p.site.dir, p.name+".log")); err != nil {
			return err
		}
	}
	cmd := exec.Command(p.site.program, "host", p.role)
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + p.site.dir, "EGRETSHUNT_NODE_FILE=" + p.settings,
		"EGRETSHUNT_WIRE_SECRET=replace-this-secret-in-your-own-deployment", "EGRETSHUNT_METRICS_PORT=9464", "EGRETSHUNT_LOG_LEVEL=info",
	}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.Dir = p.site.dir
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	p.site.mu.Lock()
	p.cmd, p.ended, p.started = cmd, ended, time.Now()
	closed := p.site.closed
	p.site.mu.Unlock()
	if closed {
		_ = cmd.Process.Kill()
	}
	p.site.record.line("%s starts", p.name)
	return nil
}

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

// ready reports whether an entry says that it is ready.
func (s *site) ready(p *process) bool {
	r, err := s.http.Get(fmt.Sprintf("http://%s:%d/-/readiness", p.ip, s.ports.ready))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// callOperator makes a call to control as the operator does: it follows redirects twice and moves on to another process after a failure. It returns
// once the call has a clear answer.
func (s *site) callOperator(method, path, body string, within time.Duration) (status int, answer string, err error) {
	until := time.Now().Add(within)
	for at := 0; time.Now().Before(until); at++ {
		p := s.controls()[at%3]
		url := fmt.Sprintf("http://%s:%d%s", p.ip, s.ports.control, path)
		for range 3 {
			request, err := http.NewRequest(method, url, strings.NewReader(body))
			if err != nil {
				return 0, "", err
			}
			request.Header.Set("Content-Type", "application/json")
			client := &http.Client{Timeout: time.Second, CheckRedirect: s.http.CheckRedirect}
			r, err := client.Do(request)
			if err != nil {
				status = 0
				break
			}
			text, _ := io.ReadAll(r.Body)
			_ = r.Body.Close()
			status, answer = r.StatusCode, string(bytes.TrimSpace(text))
			if status != http.StatusTemporaryRedirect {
				break
			}
			url = r.Header.Get("Location")
		}
		if status >= 200 && status < 300 || status >= 400 && status < 500 {
			return status, answer, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status, answer, fmt.Errorf("%s %s has no clear answer, the last is %d", method, path, status)
}

// putConfig sends a configuration until it is acknowledged.
func (s *site) putConfig(text string, within time.Duration) error {
	status, answer, err := s.callOperator(http.MethodPut, "/-/config", text, within)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("the configuration is refused with %d: %s", status, answer)
	}
	if err == nil {
		s.record.line("a configuration is acknowledged")
	}
	return err
}

// close ends all that the case has started.
func (s *site) close() {
	s.mu.Lock()
	s.closed = true
	processes, workers := s.processes, s.workers
	s.mu.Unlock()
	for _, p := range processes {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
	}
	for _, w := range workers {
		w.crash()
	}
	s.platform.stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", s.dir)
	}
}
