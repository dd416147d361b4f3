package prog

import (
	"fmt"
	"io"
	"os"

	"egretshunt/conf"
	"egretshunt/node"
)

// restoreArgs are the arguments of restore, which writes a snapshot into an empty data folder.
type restoreArgs struct {
	File     string `arg:"positional,required" placeholder:"FILE" help:"settings file of a control VM"`
	Snapshot string `arg:"positional,required" placeholder:"SNAPSHOT" help:"file that ctl snapshot wrote"`
}

func (a *restoreArgs) run(out io.Writer) error {
	s, err := conf.Load(a.File)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(a.Snapshot)
	if err != nil {
		return Failed.Wrap(err, "read snapshot")
	}
	if err := node.Restore(s, data); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s is restored; restore the other control VMs from the same snapshot before starting any of them\n", s.Data)
	return nil
}
