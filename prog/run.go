package prog

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"egretshunt/conf"
	"egretshunt/node"
)

// roleArgs are the arguments of the commands that start a process: entry, control, agent and store.
type roleArgs struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"settings file, for example samples/caroni/entry-0.toml"`
}

// errCheckInterval is the interval between checks of the process for an error that stops it.
const errCheckInterval = 200 * time.Millisecond

// run serves until SIGTERM or SIGINT. SIGHUP reloads the keys.
func (a *roleArgs) run(section string, stderr io.Writer) error {
	s, err := conf.Load(a.File)
	if err != nil {
		return err
	}
	if !hasSection(s, section) {
		return conf.Invalid.New("%s: section [%s], which this command needs, is missing", a.File, section)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	p, err := node.Start(s, stderr)
	if err != nil {
		return err
	}
	if err := awaitStop(p, signals); err != nil {
		p.Kill()
		return Failed.Wrap(err, "process failed")
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout(s))
	defer cancel()
	if n := p.Stop(ctx); n > 0 {
		return &abortedError{n}
	}
	return nil
}

func hasSection(s *conf.Settings, name string) bool {
	switch name {
	case "entry":
		return s.Entry != nil
	case "member":
		return s.Member != nil
	case "agent":
		return s.Agent != nil
	}
	return s.Store != nil
}

// awaitStop waits for a signal to stop, and returns nil, or for an error that stops the process.
func awaitStop(p *node.Process, signals <-chan os.Signal) error {
	t := time.NewTicker(errCheckInterval)
	defer t.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return nil
			}
			// Reload logs an event for a file that can't be read, and the former keys stay in use.
			_ = p.Reload()
		case <-t.C:
			if err := p.Err(); err != nil {
				return err
			}
		}
	}
}

// defaultShutdownTimeout bounds the shutdown of processes that serve no callers.
const defaultShutdownTimeout = 10 * time.Second

func shutdownTimeout(s *conf.Settings) time.Duration {
	switch {
	case s.Entry != nil:
		return s.Entry.ShutdownTimeout.Duration
	case s.Agent != nil:
		return s.Agent.ShutdownTimeout.Duration
	}
	return defaultShutdownTimeout
}
