package disk

import (
	"os"
	"runtime/debug"
	"strings"

	"github.com/joomcode/errorx"
)

const (
	// endFile holds how the last run ended, or running while there is one; crashFile holds what the runtime writes when it ends
	// the process, at a panic for example.
	endFile   = "ended"
	crashFile = "crash"
	running   = "running"
)

// RunRecord keeps how a process ended for its next run, in its data directory.
type RunRecord struct{ dir *Dir }

// BeginRun begins the record of a run. former is how the last run ended, "" if there was none: with the reason given to End, with
// the first line that the runtime wrote, or without a word, as a kill or a loss of power does. An error doesn't keep the process
// from running; the next run then knows less.
func (d *Dir) BeginRun() (former string, r *RunRecord, err error) {
	r = &RunRecord{d}
	if former, err = r.former(); err != nil {
		return former, r, err
	}
	crash, err := d.root.OpenFile(crashFile, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return former, r, wrapError(err, "create "+crashFile)
	}
	defer crash.Close()
	if err := debug.SetCrashOutput(crash, debug.CrashOptions{}); err != nil {
		return former, r, wrapError(err, "let the runtime write to "+crashFile)
	}
	return former, r, r.End(running)
}

func (r *RunRecord) former() (string, error) {
	crash, err := r.dir.Read(crashFile)
	if err != nil && !errorx.IsOfType(err, Missing) {
		return "", err
	}
	for line := range strings.Lines(string(crash)) {
		if text := strings.TrimSpace(line); text != "" {
			return "crashed: " + text, nil
		}
	}
	end, err := Load(r.dir, endFile)
	switch {
	case errorx.IsOfType(err, Missing):
		return "", nil
	case err != nil:
		return "", err
	case string(end) == running:
		return "killed, or lost power", nil
	}
	return string(end), nil
}

// End records how the run ends.
func (r *RunRecord) End(how string) error { return Save(r.dir, endFile, []byte(how)) }
