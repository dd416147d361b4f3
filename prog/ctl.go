package prog

import "io"

// ctlArgs operate a system.
type ctlArgs struct{}

func (a *ctlArgs) run(io.Writer) error { return Usage.New("not yet") }
