package disk

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

const (
	snapshotName     = "snap"
	snapshotTempName = "snap.new"
	logPrefix        = "log-"
)

// Log is an append-only sequence of records that follows a snapshot. The snapshot file
// holds the generation of its log file, so that one rename replaces both atomically.
type Log struct {
	fsys       FS
	file       File
	generation uint64
	size       int64
	// failed is the first write error, or Closed; nothing is written once it is set.
	failed error
}

// Loaded is the durable state found when the log was opened.
type Loaded struct {
	// Snapshot is nil if there is none.
	Snapshot []byte
	Records  [][]byte
	// Torn is the number of bytes of an unfinished write that were truncated.
	Torn int
}

// OpenLog reads the snapshot and the log in fsys. It truncates a torn tail. Corruption before
// the tail is an error of type Damaged and leaves the files unchanged.
func OpenLog(fsys FS) (*Log, Loaded, error) {
	l := &Log{fsys: fsys, generation: 1}
	loaded := Loaded{}
	snap, err := Load(fsys, snapshotName)
	switch {
	case errorx.IsOfType(err, Missing):
	case err != nil:
		return nil, loaded, err
	case len(snap) < 8:
		return nil, loaded, Damaged.New("snapshot of %d bytes is too short for a log generation", len(snap))
	default:
		l.generation = binary.LittleEndian.Uint64(snap)
		loaded.Snapshot = snap[8:]
	}
	data, err := fsys.Read(l.logName(l.generation))
	if err != nil && !errorx.IsOfType(err, Missing) {
		return nil, loaded, err
	}
	if err != nil && loaded.Snapshot != nil {
		return nil, loaded, Damaged.New("log of generation %d, which the snapshot refers to, is missing", l.generation)
	}
	records, complete, err := decodeFrames(data)
	if err != nil {
		return nil, loaded, err
	}
	if complete < len(data) {
		if err := fsys.Truncate(l.logName(l.generation), int64(complete)); err != nil {
			return nil, loaded, err
		}
	}
	loaded.Records, loaded.Torn = records, len(data)-complete
	l.size = int64(complete)
	if err := l.openForAppend(); err != nil {
		return nil, loaded, err
	}
	return l, loaded, nil
}

func (l *Log) openForAppend() error {
	file, err := l.fsys.Append(l.logName(l.generation))
	if err != nil {
		return err
	}
	l.file = file
	// The records read may not be durable: the former run may have been killed before it had synced them.
	if err := file.Sync(); err != nil {
		return wrapError(err, "sync log")
	}
	if err := l.fsys.SyncDir(); err != nil {
		return err
	}
	return l.removeStaleFiles()
}

// removeStaleFiles removes the log files of other generations and an unfinished snapshot.
func (l *Log) removeStaleFiles() error {
	names, err := l.fsys.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		isStale := strings.HasPrefix(name, logPrefix) && name != l.logName(l.generation)
		if !isStale && name != snapshotTempName {
			continue
		}
		if err := l.fsys.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) logName(generation uint64) string { return fmt.Sprintf("%s%012d", logPrefix, generation) }

// Append makes the records durable, all or none. Any error closes the log permanently.
func (l *Log) Append(records [][]byte) error {
	if l.failed != nil {
		return Closed.Wrap(l.failed, "append after an earlier failure")
	}
	if len(records) == 0 {
		return nil
	}
	frame := encodeFrame(records)
	if _, err := l.file.Write(frame); err != nil {
		return l.markFailed(err, "write log")
	}
	if err := l.file.Sync(); err != nil {
		return l.markFailed(err, "sync log")
	}
	l.size += int64(len(frame))
	return nil
}

// Reset atomically replaces the snapshot and all records. Any error closes the log permanently.
func (l *Log) Reset(snapshot []byte, records [][]byte) error {
	if l.failed != nil {
		return Closed.Wrap(l.failed, "reset after an earlier failure")
	}
	generation := l.generation + 1
	next, size, err := l.writeNext(generation, records)
	if err != nil {
		return l.markFailed(err, "write next log")
	}
	// The new log's directory entry must be durable before the snapshot refers to it.
	if err := l.fsys.SyncDir(); err != nil {
		next.Close()
		return l.markFailed(err, "sync data folder")
	}
	prefix := binary.LittleEndian.AppendUint64(nil, generation)
	if err := Save(l.fsys, snapshotName, append(prefix, snapshot...)); err != nil {
		next.Close()
		return l.markFailed(err, "write snapshot")
	}
	l.file.Close()
	old := l.generation
	l.file, l.generation, l.size = next, generation, size
	if err := l.fsys.Remove(l.logName(old)); err != nil {
		return l.markFailed(err, "remove old log")
	}
	return nil
}

func (l *Log) writeNext(generation uint64, records [][]byte) (File, int64, error) {
	file, err := l.fsys.Create(l.logName(generation))
	if err != nil {
		return nil, 0, err
	}
	size := 0
	if len(records) > 0 {
		frame := encodeFrame(records)
		size = len(frame)
		if _, err := file.Write(frame); err != nil {
			file.Close()
			return nil, 0, err
		}
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return nil, 0, err
	}
	return file, int64(size), nil
}

func (l *Log) markFailed(err error, operation string) error {
	l.failed = wrapError(err, operation)
	return l.failed
}

// Size returns the size in bytes of the log since the last snapshot.
func (l *Log) Size() int64 { return l.size }

// Close closes the log; later writes fail with Closed.
func (l *Log) Close() error {
	if l.failed == nil {
		l.failed = Closed.New("log was closed")
	}
	return l.file.Close()
}

// Save atomically and durably replaces the named file with data and its checksum.
func Save(fsys FS, name string, data []byte) error {
	tempName := name + ".new"
	file, err := fsys.Create(tempName)
	if err != nil {
		return wrapError(err, "create "+tempName)
	}
	content := binary.LittleEndian.AppendUint32(make([]byte, 0, 4), Sum(data))
	_, err = file.Write(append(content, data...))
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return wrapError(err, "write "+tempName)
	}
	if err := fsys.Rename(tempName, name); err != nil {
		return wrapError(err, "rename "+tempName)
	}
	if err := fsys.SyncDir(); err != nil {
		return wrapError(err, "sync data folder")
	}
	return nil
}

// Load reads a file written by Save and verifies its checksum.
func Load(fsys FS, name string) ([]byte, error) {
	data, err := fsys.Read(name)
	if err != nil {
		return nil, wrapError(err, "read "+name)
	}
	if len(data) < 4 || Sum(data[4:]) != binary.LittleEndian.Uint32(data) {
		return nil, Damaged.New("%s fails its checksum", name)
	}
	return data[4:], nil
}
