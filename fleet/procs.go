package fleet

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
)

// WriteSettings writes the settings file of every planned process and returns the files' paths
// by process name.
func (f *Fleet) WriteSettings() (map[string]string, error) {
	paths := map[string]string{}
	for name, s := range f.settings {
		path := f.path(name + ".toml")
		data, err := toml.Marshal(s)
		if err != nil {
			return nil, Failed.Wrap(err, "write settings of %s", name)
		}
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return nil, Failed.Wrap(err, "write settings of %s", name)
		}
		paths[name] = path
	}
	return paths, nil
}

// ProcessFleet runs a planned deployment as operating system processes of the built binary. Tests
// and measurements use it; the system itself starts no processes.
type ProcessFleet struct {
	Fleet  *Fleet
	binary string
	paths  map[string]string

	// mu guards running.
	mu      sync.Mutex
	running map[string]*exec.Cmd
}

// StartProcesses starts every planned process of f and waits until its tables are in force.
func StartProcesses(ctx context.Context, f *Fleet, binary string) (*ProcessFleet, error) {
	paths, err := f.WriteSettings()
	if err != nil {
		return nil, err
	}
	p := &ProcessFleet{Fleet: f, binary: binary, paths: paths, running: map[string]*exec.Cmd{}}
	for _, name := range f.startOrder {
		if err := p.Run(name); err != nil {
			p.Close()
			return nil, err
		}
	}
	if err := f.ApplyTables(ctx); err != nil {
		p.Close()
		return nil, err
	}
	// Some nodes become fresh only shortly after the tables are in force.
	time.Sleep(freshnessWait)
	return p, nil
}

const freshnessWait = 500 * time.Millisecond

// Build builds the module's binary into dir and returns its path. The working directory must be
// inside the module.
func Build(ctx context.Context, dir string) (string, error) {
	out := filepath.Join(dir, "egretshunt")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", out, "egretshunt")
	if output, err := cmd.CombinedOutput(); err != nil {
		return "", Failed.Wrap(err, "build: %s", output)
	}
	return out, nil
}

func (p *ProcessFleet) subcommand(name string) string {
	switch s := p.Fleet.settings[name]; {
	case s.Entry != nil:
		return "entry"
	case s.Store != nil:
		return "store"
	}
	return "agent"
}

// Run starts the named process.
func (p *ProcessFleet) Run(name string) error {
	cmd := exec.Command(p.binary, p.subcommand(name), p.paths[name])
	log, err := os.OpenFile(p.Fleet.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Failed.Wrap(err, "open log of %s", name)
	}
	defer log.Close()
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return Failed.Wrap(err, "start %s", name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[name] = cmd
	return nil
}

// PID returns the named process's ID, or 0 if it isn't running.
func (p *ProcessFleet) PID(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cmd := p.running[name]; cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

// SignalAndWait sends the named process a signal, waits until it exits and returns its exit code,
// which is -1 if a signal killed it or it wasn't running.
func (p *ProcessFleet) SignalAndWait(name string, sig syscall.Signal) int {
	p.mu.Lock()
	cmd := p.running[name]
	delete(p.running, name)
	p.mu.Unlock()
	if cmd == nil {
		return -1
	}
	// Signal fails if the process has already exited; Wait then returns at once.
	_ = cmd.Process.Signal(sig)
	_ = cmd.Wait()
	return cmd.ProcessState.ExitCode()
}

// Close kills all processes that are still running and closes the Fleet.
func (p *ProcessFleet) Close() {
	for _, name := range p.Fleet.startOrder {
		p.SignalAndWait(name, syscall.SIGKILL)
	}
	p.Fleet.Close()
}
