// Command egretshunt serves language-model prompts that are continued after long pauses.
package main

import (
	"os"

	"egretshunt/prog"
)

func main() { os.Exit(prog.Main(os.Args[1:], os.Stdout, os.Stderr)) }
