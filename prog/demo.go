package prog

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"egretshunt/fleet"
)

// demoArgs are the arguments of demo, which runs a whole deployment in this process.
type demoArgs struct {
	Shape string        `arg:"--shape" default:"caroni" help:"caroni, barua or tiny"`
	Time  time.Duration `arg:"--time" help:"how long to run; if left out, until interrupted"`
	Log   string        `arg:"--log" help:"file for events; if left out, no events are written"`
	Drill bool          `arg:"--drill" help:"generate load and inject faults, print the checked guarantees and measurements, exit 1 if a guarantee was violated"`
	Seed  uint64        `arg:"--seed" default:"1" help:"seed of a drill"`
	Fault []string      `arg:"--faults" help:"names of the faults of a drill; if left out, all"`
	Pairs bool          `arg:"--pairs" help:"sometimes inject two faults at a time"`
	JSON  bool          `arg:"--json" help:"print a drill's report as JSON"`
}

// defaultDrillTime is the duration of a drill without --time.
const defaultDrillTime = 20 * time.Second

// startTimeout bounds the start of a demo's deployment.
const startTimeout = 30 * time.Second

func shapeByName(name string) (fleet.Shape, error) {
	switch name {
	case "caroni":
		return fleet.Caroni(), nil
	case "barua":
		return fleet.Barua(), nil
	case "tiny":
		return fleet.Tiny(), nil
	}
	return fleet.Shape{}, Usage.New("unknown shape %q; want caroni, barua or tiny", name)
}

func (a *demoArgs) run(out io.Writer) error {
	shape, err := shapeByName(a.Shape)
	if err != nil {
		return err
	}
	log, err := openLog(a.Log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if a.Drill {
		return a.drill(ctx, shape, log, out)
	}
	dir, err := os.MkdirTemp("", "egretshunt-demo-")
	if err != nil {
		return Failed.Wrap(err, "create a directory for the demo")
	}
	defer os.RemoveAll(dir)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, shape, dir, log)
	if err != nil {
		return Failed.Wrap(err, "start the demo")
	}
	defer f.Close()
	printIntroduction(out, f)
	if a.Time > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, a.Time)
		defer cancel()
	}
	<-ctx.Done()
	return nil
}

func openLog(path string) (io.Writer, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, Failed.Wrap(err, "open log")
	}
	return f, nil
}

// printIntroduction prints the addresses of the deployment and commands to try it.
func printIntroduction(out io.Writer, f *fleet.Fleet) {
	s := f.Shape
	fmt.Fprintf(out, "%s is running: %d entries with control, %d model workers, %d service workers, %d stores, %d accounts\n\n",
		s.Name, len(f.Entries), s.Workers, s.Helpers, s.Stores, s.Accounts)
	for i, name := range f.Entries {
		settings := f.Settings(name)
		fmt.Fprintf(out, "  %s in %-6s  callers %s  admin http://%s  metrics http://%s/metrics\n",
			name, settings.Place, f.URL(i), settings.Member.Admin, settings.Ops.Listen)
	}
	fmt.Fprintf(out, "\nA streamed prompt:\n\n  curl -N %s/v1/completions -H 'Authorization: Bearer %s' \\\n    -d '{\"model\":\"%s\",\"prompt\":\"Summarise the history of pump 7.\",\"stream\":true,\"max_tokens\":20}'\n",
		f.URL(0), s.Key(0), s.Model)
	fmt.Fprintf(out, "\nA booking that takes effect once even if it is sent several times:\n\n  curl -i %s/svc/%s/jobs -H 'Authorization: Bearer %s' \\\n    -H 'Idempotency-Key: job-1' -d 'one impeller for pump 7'\n",
		f.URL(1), s.Service, s.Key(0))
	fmt.Fprintf(out, "\nAn operator's query:\n\n  go run . ctl --admin %s --key %s routes list\n\n", f.Settings(f.Entries[0]).Member.Admin, fleet.OperatorKey)
}
