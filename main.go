// Command egretshunt serves language-model prompts that come back after long gaps.
package main

import (
	"os"

	"egretshunt/prog"
)

func main() { os.Exit(prog.Main(os.Args[1:], os.Stdout, os.Stderr)) }
