// Package build tells which build of the program runs, so that a log or a report can be matched with the source that it came from.
package build

import (
	"bytes"
	"cmp"
	"debug/elf"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Unknown stands for what a binary doesn't tell.
const Unknown = "unknown"

const (
	// revisionDigits is how many digits of a revision are shown, idLetters how many of a build ID: enough to tell builds apart.
	revisionDigits, idLetters = 12, 12
	// noteHeaderBytes is the size of an ELF note before its value, with the name "Go".
	noteHeaderBytes = 16
)

// Info describes one build.
type Info struct {
	// Revision is the commit of the source, "+changes" behind it if the tree had uncommitted changes. It is Unknown where the Go
	// command stamped none (-buildvcs=false, or no repository).
	Revision string
	// ID is derived from the content of the binary: two builds from the same source, folder and toolchain share it.
	ID string
	// Go is the toolchain with the platform, such as "go1.26.8 linux/amd64".
	Go string
}

// Read returns the build of the running program.
var Read = sync.OnceValue(func() Info {
	return Info{Revision: revision(debug.ReadBuildInfo()), ID: executableID(), Go: runtime.Version() + " " + runtime.GOOS + "/" + runtime.GOARCH}
})

// String returns one line for people.
func (i Info) String() string {
	return fmt.Sprintf("revision %s, binary %s, %s", i.Revision, i.ID, i.Go)
}

// Register adds a gauge to a set of metrics that is always 1 and names the build in its labels.
func Register(s *metrics.Set) {
	i := Read()
	s.NewGauge(fmt.Sprintf("egretshunt_build_info{revision=%q,binary=%q,go=%q}", i.Revision, i.ID, i.Go), func() float64 { return 1 })
}

// revision returns the revision that the Go command stamped.
func revision(info *debug.BuildInfo, ok bool) string {
	if !ok {
		return Unknown
	}
	settings := map[string]string{}
	for _, s := range info.Settings {
		settings[s.Key] = s.Value
	}
	short := settings["vcs.revision"]
	short = cmp.Or(short[:min(len(short), revisionDigits)], Unknown)
	if settings["vcs.modified"] == "true" {
		short += "+changes"
	}
	return short
}

// executableID returns the ID of the executable file that runs.
func executableID() string {
	path, err := os.Executable()
	if err != nil {
		return Unknown
	}
	file, err := elf.Open(path)
	if err != nil {
		return Unknown
	}
	defer file.Close()
	section := file.Section(".note.go.buildid")
	if section == nil {
		return Unknown
	}
	note, err := section.Data()
	if err != nil || len(note) < noteHeaderBytes {
		return Unknown
	}
	return contentID(string(bytes.TrimRight(note[noteHeaderBytes:], "\x00")))
}

// contentID returns the part of a Go build ID that depends on the content of the binary, shortened.
func contentID(id string) string {
	content := id[strings.LastIndex(id, "/")+1:]
	return cmp.Or(content[:min(len(content), idLetters)], Unknown)
}
