package disk

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

const (
	snapName = "snap"
	tempName = "snap.new"
	logStem  = "log-"
)

// Log is an append-only list of records that follows a snapshot. The snapshot
// file names the log file that belongs to it, so that one rename switches both.
type Log struct {
	fs   FS
	file File
	gen  uint64
	size int64
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
func OpenLog(fs FS) (*Log, Loaded, error) {
	l := &Log{fs: fs, gen: 1}
	loaded := Loaded{}
	snap, err := Load(fs, snapName)
	switch {
	case errorx.IsOfType(err, Missing):
	case err != nil:
		return nil, loaded, err
	case len(snap) < 8:
		return nil, loaded, Damaged.New("snapshot has %d bytes", len(snap))
	default:
		l.gen = binary.LittleEndian.Uint64(snap)
		loaded.Snapshot = snap[8:]
	}
	data, err := fs.Read(l.name(l.gen))
	if err != nil && !errorx.IsOfType(err, Missing) {
		return nil, loaded, err
	}
	if err != nil && loaded.Snapshot != nil {
		return nil, loaded, Damaged.New("snapshot names log %d, which is missing", l.gen)
	}
	records, whole, err := decodeFrames(data)
	if err != nil {
		return nil, loaded, err
	}
	if whole < len(data) {
		if err := fs.Truncate(l.name(l.gen), int64(whole)); err != nil {
			return nil, loaded, err
		}
	}
	loaded.Records, loaded.Torn = records, len(data)-whole
	l.size = int64(whole)
	if err := l.start(); err != nil {
		return nil, loaded, err
	}
	return l, loaded, nil
}

func (l *Log) start() error {
	file, err := l.fs.Append(l.name(l.gen))
	if err != nil {
		return err
	}
	l.file = file
	if err := l.fs.SyncDir(); err != nil {
		return err
	}
	return l.sweep()
}

// sweep removes log files that no snapshot names any more.
func (l *Log) sweep() error {
	names, err := l.fs.List()
	if err != nil {
		return err
	}
	for _, n := range names {
		stale := strings.HasPrefix(n, logStem) && n != l.name(l.gen)
		if !stale && n != tempName {
			continue
		}
		if err := l.fs.Remove(n); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) name(gen uint64) string { return fmt.Sprintf("%s%012d", logStem, gen) }

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
		return l.fail(err, "write log")
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err, "sync log")
	}
	l.size += int64(len(frame))
	return nil
}

// Reset replaces the snapshot and all records by the given ones, all or none.
func (l *Log) Reset(snapshot []byte, records [][]byte) error {
	if l.failed != nil {
		return Closed.Wrap(l.failed, "reset after an earlier failure")
	}
	gen := l.gen + 1
	next, size, err := l.writeNext(gen, records)
	if err != nil {
		return l.fail(err, "write next log")
	}
	// The new log must be found after a crash before the snapshot names it.
	if err := l.fs.SyncDir(); err != nil {
		next.Close()
		return l.fail(err, "sync data folder")
	}
	head := binary.LittleEndian.AppendUint64(nil, gen)
	if err := Save(l.fs, snapName, append(head, snapshot...)); err != nil {
		next.Close()
		return l.fail(err, "write snapshot")
	}
	l.file.Close()
	old := l.gen
	l.file, l.gen, l.size = next, gen, size
	if err := l.fs.Remove(l.name(old)); err != nil {
		return l.fail(err, "remove old log")
	}
	return nil
}

func (l *Log) writeNext(gen uint64, records [][]byte) (File, int64, error) {
	file, err := l.fs.Create(l.name(gen))
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

func (l *Log) fail(err error, did string) error {
	l.failed = translate(err, did)
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
func Save(fs FS, name string, data []byte) error {
	temp := name + ".new"
	file, err := fs.Create(temp)
	if err != nil {
		return translate(err, "create "+temp)
	}
	sealed := binary.LittleEndian.AppendUint32(make([]byte, 0, 4), Sum(data))
	_, err = file.Write(append(sealed, data...))
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return translate(err, "write "+temp)
	}
	if err := fs.Rename(temp, name); err != nil {
		return translate(err, "rename "+temp)
	}
	if err := fs.SyncDir(); err != nil {
		return translate(err, "sync data folder")
	}
	return nil
}

// Load reads a file written by Save and checks its sum.
func Load(fs FS, name string) ([]byte, error) {
	data, err := fs.Read(name)
	if err != nil {
		return nil, translate(err, "read "+name)
	}
	if len(data) < 4 || Sum(data[4:]) != binary.LittleEndian.Uint32(data) {
		return nil, Damaged.New("%s fails its checksum", name)
	}
	return data[4:], nil
}
