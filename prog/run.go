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

// roleArgs start one process.
type roleArgs struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"settings file, for example samples/caroni/entry-0.toml"`
}

// errCheckInterval is how often a process looks whether it can still do its work.
const errCheckInterval = 200 * time.Millisecond

// run serves until TERM or INT; HUP reads keys again.
func (a *roleArgs) run(section string, stderr io.Writer) error {
	s, err := conf.Load(a.File)
	if err != nil {
		return err
	}
	if !hasSection(s, section) {
		return conf.Invalid.New("%s: there is no [%s] section for this command", a.File, section)
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
		return Failed.Wrap(err, "go on")
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

// awaitStop returns nil when the process is asked to stop, or why it can't go on.
func awaitStop(p *node.Process, signals <-chan os.Signal) error {
	t := time.NewTicker(errCheckInterval)
	defer t.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return nil
			}
			// A file that can't be read is an event; the former keys stay in use.
			_ = p.Reload()
		case <-t.C:
			if err := p.Err(); err != nil {
				return err
			}
		}
	}
}

// defaultShutdownTimeout bounds the shutdown of processes that serve nobody.
const defaultShutdownTimeout = 10 * time.Second

func shutdownTimeout(s *conf.Settings) time.Duration {
	switch {
	case s.Entry != nil:
		return s.Entry.Grace.Duration
	case s.Agent != nil:
		return s.Agent.Grace.Duration
	}
	return defaultShutdownTimeout
}
