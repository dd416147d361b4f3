package prog

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"egretshunt/platform"
)

// hostArgs are the arguments of host, which runs one role on the consortium's platform.
type hostArgs struct {
	Role string `arg:"positional,required" placeholder:"ROLE" help:"entry or control"`
}

// run serves until SIGTERM or SIGINT. SIGHUP reloads the settings.
func (a *hostArgs) run(out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	return platform.Run(ctx, a.Role, out, reload)
}
