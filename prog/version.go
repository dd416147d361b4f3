package prog

import (
	"fmt"
	"io"

	"egretshunt/build"
)

// versionArgs are the arguments of version, which tells which build this is.
type versionArgs struct{}

func (versionArgs) run(out io.Writer) error {
	if _, err := fmt.Fprintln(out, "egretshunt:", build.Read()); err != nil {
		return Failed.Wrap(err, "print the version")
	}
	return nil
}
