package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Ports are the same on all machines of a run.
const (
	wirePort, controlPort, frontPort, readyPort, listPort, serverPort = 7700, 8745, 8749, 8741, 8744, 8080
)

// Machines by the last byte of their address.
const (
	firstCore, firstFront, listMachine, firstServer = 1, 21, 40, 41
)

// Bounds of the small site of SYSTEM.md.
const (
	contactTime = 3 * time.Second
	catchUpTime = 4 * time.Second
	recoverTime = 12 * time.Second
	configTime  = 2 * time.Second
)

// process is one process of the system.
type process struct {
	lab        *lab
	name, role string
	ip         string
	bootstrap  bool
	seeds      []string
	cmd        *exec.Cmd
	exited     chan struct{}
}

func (l *lab) seedsOf(machines ...int) []string {
	var seeds []string
	for _, n := range machines {
		seeds = append(seeds, l.ip(n)+":"+strconv.Itoa(controlPort))
	}
	return seeds
}

// newCore and newFront describe a process, which isn't started yet.
func (l *lab) newCore(n int, bootstrap bool, seeds []string) *process {
	return &process{lab: l, name: fmt.Sprint("core-", n), role: "control", ip: l.ip(n), bootstrap: bootstrap, seeds: seeds}
}

func (l *lab) newFront(n int, seeds []string) *process {
	return &process{lab: l, name: fmt.Sprint("front-", n), role: "entry", ip: l.ip(n), bootstrap: true, seeds: seeds}
}

func (p *process) dataDir() string { return filepath.Join(p.lab.dir, "data-"+p.name) }

// writeSettings writes the settings file as DEPLOY.md shows it, with the bounds of the small site.
func (p *process) writeSettings() (string, error) {
	listen := map[string]string{"Control": p.ip + ":" + strconv.Itoa(controlPort)}
	limits := map[string]any{"CpuShare": 0.96, "Cores": 1, "MemoryMb": 280, "MaxFds": 4096, "LinkMbps": 1000.0, "DiskMb": 128}
	class, counted := "core", true
	var data any = p.dataDir()
	if p.role == "entry" {
		listen = map[string]string{"Front": p.ip + ":" + strconv.Itoa(frontPort), "Ready": p.ip + ":" + strconv.Itoa(readyPort)}
		limits = map[string]any{"CpuShare": 0.304, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0}
		class, counted, data = "front", false, nil
	}
	file := map[string]any{
		"Node": p.name, "Role": p.role, "MachineClass": class, "Serves": []string{p.role}, "Ip": p.ip, "Zone": "couva", "Region": "tt-central",
		"Zones": map[string]string{"couva": "tt-central"}, "Listen": listen, "PortRange": []int{wirePort, wirePort + 15}, "Seeds": p.seeds,
		"Bootstrap": p.bootstrap, "FaultCounted": counted, "Limits": limits, "DataDir": data, "Discovery": "cloud", "Entry": "vip", "HeartbeatMs": 1200,
		"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants"},
		"FaultTolerance": map[string]int{"Machines": 1, "Zones": 0, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": contactTime.Milliseconds(), "AckMs": 4000, "CatchUpS": 4, "DrainMs": 3000, "GraceS": 8, "LossSlackMs": 200,
			"ConfigMs": configTime.Milliseconds(), "RollbackSlackMs": 250, "MaxStretchMs": 5000, "FailClosed": true, "RevokeMs": 5000, "RetryBudgetRatio": 0.2, "RetryWindowS": 10,
			"RetrySlack": 58, "RecoverS": 12, "TransitMs": 120, "ReuseWindowS": 20, "Fencing": true, "LeaseMs": 3000, "ThawMs": 300, "VersionMs": 10000, "VersionAllMs": 14000,
		},
		"ConfigMode": "highest",
		"Cloud":      map[string]any{"Address": p.lab.ip(listMachine) + ":" + strconv.Itoa(listPort), "RatePerS": 47.0, "Duties": []string{}, "LagMs": 800},
	}
	text, err := json.Marshal(file)
	if err != nil {
		return "", err
	}
	path := filepath.Join(p.lab.dir, p.name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	if p.role == "control" {
		if err := os.MkdirAll(p.dataDir(), 0o700); err != nil {
			return err
		}
	}
	path, err := p.writeSettings()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.lab.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/egretshunt", "host", p.role)
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "EGRETSHUNT_NODE_FILE=" + path, "EGRETSHUNT_WIRE_SECRET=replace-this-secret-in-your-own-deployment",
		"EGRETSHUNT_METRICS_PORT=9464", "EGRETSHUNT_LOG_LEVEL=info",
	}
	cmd.Stdout, cmd.Stderr = out, out
	// The processes end with this one, however it ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		out.Close()
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		// The error only says how the process ended.
		_ = cmd.Wait()
		out.Close()
		close(exited)
	}()
	p.lab.mu.Lock()
	p.lab.processes = append(p.lab.processes, p)
	p.lab.mu.Unlock()
	p.lab.note("%s started at %s", p.name, p.ip)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.lab.note("%s gets %s", p.name, s)
	// The process may have ended.
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop ends the process as the platform does: SIGTERM, then SIGKILL after GraceS.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(8 * time.Second):
		p.kill()
	}
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (l *lab) killAll() {
	l.mu.Lock()
	all := l.processes
	l.mu.Unlock()
	for _, p := range all {
		if !p.ended() {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.exited
		}
	}
}

// operatorClient follows a redirect at most twice and waits a second for an answer.
var operatorClient = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return errors.New("more than two redirects")
		}
		return nil
	},
}

// operate makes one call of the operator to a core machine; status is zero without an answer. at is who answered.
func (l *lab) operate(method, path string, machine int, body []byte) (status int, answer []byte, at string) {
	ctx, cancel := context.WithTimeout(l.ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(l.ip(machine), strconv.Itoa(controlPort))+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, ""
	}
	got, err := operatorClient.Do(r)
	if err != nil {
		return 0, nil, ""
	}
	defer got.Body.Close()
	answer, err = io.ReadAll(got.Body)
	if err != nil {
		return 0, nil, ""
	}
	return got.StatusCode, answer, got.Request.URL.Hostname()
}

// put sends a configuration to the machines in turn until one acknowledges it, for some time; at is who did.
func (l *lab) put(config []byte, machines []int, patience time.Duration) (at string, err error) {
	for until := time.Now().Add(patience); time.Now().Before(until); {
		for _, m := range machines {
			if status, _, by := l.operate(http.MethodPut, "/-/config", m, config); status == http.StatusOK {
				l.note("the operator's configuration is acknowledged by %s", by)
				return by, nil
			}
		}
		if !l.sleep(100 * time.Millisecond) {
			break
		}
	}
	return "", errors.New("a configuration wasn't acknowledged")
}

// waitReady waits until a front machine reports itself ready.
func (l *lab) waitReady(p *process) error {
	for range 300 {
		r, err := operatorClient.Get("http://" + net.JoinHostPort(p.ip, strconv.Itoa(readyPort)) + "/-/readiness")
		if err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !l.sleep(100 * time.Millisecond) {
			break
		}
	}
	return errors.New(p.name + " isn't ready")
}

// startSystem starts the list, core machines that are all seeds, and front machines, and puts the first configuration in force.
func (l *lab) startSystem(list *servers, config []byte, cores, fronts int) ([]*process, error) {
	if err := l.serveList(list); err != nil {
		return nil, err
	}
	var machines []int
	for i := range cores {
		machines = append(machines, firstCore+i)
	}
	seeds := l.seedsOf(machines...)
	for _, n := range machines {
		if err := l.newCore(n, true, seeds).start(); err != nil {
			return nil, err
		}
	}
	var entries []*process
	for i := range fronts {
		p := l.newFront(firstFront+i, seeds)
		if err := p.start(); err != nil {
			return nil, err
		}
		entries = append(entries, p)
	}
	if _, err := l.put(config, machines, 20*time.Second); err != nil {
		return nil, err
	}
	for _, p := range entries {
		if err := l.waitReady(p); err != nil {
			return nil, err
		}
	}
	return entries, nil
}
