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

// Log is an append-only list of records that follows a snapshot. The snapshot
// file names the log file that belongs to it, so that one rename switches both.
type Log struct {
	fsys       FS
	file       File
	generation uint64
	size       int64
	// failed is set by the first error; nothing is written after it.
	failed error
}

// Loaded is what was durable when the log was opened.
type Loaded struct {
	// Snapshot is nil when none was ever taken.
	Snapshot []byte
	Records  [][]byte
	// Torn is how many bytes of an unfinished write were cut off.
	Torn int
}

// OpenLog reads the snapshot and the log of the folder. A torn tail is cut;
// damage before it is an error of type Damaged and changes nothing.
func OpenLog(fsys FS) (*Log, Loaded, error) {
	l := &Log{fsys: fsys, generation: 1}
	loaded := Loaded{}
	snap, err := Load(fsys, snapshotName)
	switch {
	case errorx.IsOfType(err, Missing):
	case err != nil:
		return nil, loaded, err
	case len(snap) < 8:
		return nil, loaded, Damaged.New("snapshot has %d bytes", len(snap))
	default:
		l.generation = binary.LittleEndian.Uint64(snap)
		loaded.Snapshot = snap[8:]
	}
	data, err := fsys.Read(l.logName(l.generation))
	if err != nil && !errorx.IsOfType(err, Missing) {
		return nil, loaded, err
	}
	if err != nil && loaded.Snapshot != nil {
		return nil, loaded, Damaged.New("snapshot names log %d, which is missing", l.generation)
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
	if err := l.fsys.SyncDir(); err != nil {
		return err
	}
	return l.removeStaleFiles()
}

// removeStaleFiles removes log files that no snapshot names any more.
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

// Append makes the records durable, all or none. Any error is final.
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

// Reset replaces the snapshot and all records by the given ones, all or none.
func (l *Log) Reset(snapshot []byte, records [][]byte) error {
	if l.failed != nil {
		return Closed.Wrap(l.failed, "reset after an earlier failure")
	}
	generation := l.generation + 1
	next, size, err := l.writeNext(generation, records)
	if err != nil {
		return l.markFailed(err, "write next log")
	}
	// The new log must be found after a crash before the snapshot names it.
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

// Size returns the bytes of the log since the last snapshot.
func (l *Log) Size() int64 { return l.size }

// Close closes the file; nothing is written any more.
func (l *Log) Close() error {
	if l.failed == nil {
		l.failed = Closed.New("log was closed")
	}
	return l.file.Close()
}

// Save replaces the named file by data with a checksum, all or none, durably.
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

// Load reads a file written by Save and checks its sum.
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
