// Package disk stores log records and checksummed files in one data directory.
//
// It owns framing, checksums, the distinction between a torn tail and corruption, and
// the order of writes that replaces log and snapshot atomically. The content of records
// is up to its users, ctrl and store. Nothing is acknowledged before it is synced. A
// failed write or sync closes the log permanently, because what reached the disk is
// then unknown.
package disk

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"syscall"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("disk")
	// Damaged reports corruption: bytes changed after they were durable.
	Damaged = namespace.NewType("damaged")
	// Failed reports a file system operation that failed for another reason than those below.
	Failed = namespace.NewType("failed")
	// Full reports that the disk or the quota is exhausted.
	Full = namespace.NewType("full")
	// Missing reports a file that does not exist.
	Missing = namespace.NewType("missing")
	// InUse reports a data directory that is locked by another process.
	InUse = namespace.NewType("taken")
	// Closed reports a log that was closed or has failed.
	Closed = namespace.NewType("closed")
)

// Modes of the data directory and its files: only the owner has access.
const (
	dirMode  = 0o700
	fileMode = 0o600
)

// File is a file open for sequential writing.
type File interface {
	io.Writer
	io.Closer
	// Sync makes all written data durable.
	Sync() error
}

// FS is a directory of files. Tests replace it with an implementation that injects faults.
type FS interface {
	// Append opens the named file for writing at its end, creating it if necessary.
	Append(name string) (File, error)
	// Create opens an empty file, truncating an existing one.
	Create(name string) (File, error)
	Read(name string) ([]byte, error)
	// Truncate shortens the file to size bytes and syncs it.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	// SyncDir makes the creation, renaming and removal of files durable.
	SyncDir() error
}

// Dir is the production FS, confined to one directory and locked by this process.
type Dir struct {
	root *os.Root
	lock *os.File
	path string
}

// Open opens the directory, creating it if necessary, and locks it against other processes.
func Open(path string) (*Dir, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, wrapError(err, "create data folder")
	}
	root, err := os.OpenRoot(path)
	if err != nil {
		return nil, wrapError(err, "open data folder")
	}
	lock, err := root.OpenFile("lock", os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		root.Close()
		return nil, wrapError(err, "open lock file")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		root.Close()
		return nil, InUse.Wrap(err, "data folder is in use by another process")
	}
	return &Dir{root: root, lock: lock, path: path}, nil
}

// Close releases the lock and closes the directory.
func (d *Dir) Close() error {
	d.lock.Close()
	return d.root.Close()
}

// Append implements FS.
func (d *Dir) Append(name string) (File, error) {
	file, err := d.root.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, wrapError(err, "open "+name)
	}
	return file, nil
}

// Create implements FS.
func (d *Dir) Create(name string) (File, error) {
	file, err := d.root.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return nil, wrapError(err, "create "+name)
	}
	return file, nil
}

// Read implements FS.
func (d *Dir) Read(name string) ([]byte, error) {
	data, err := d.root.ReadFile(name)
	if err != nil {
		return nil, wrapError(err, "read "+name)
	}
	return data, nil
}

// Truncate implements FS.
func (d *Dir) Truncate(name string, size int64) error {
	file, err := d.root.OpenFile(name, os.O_WRONLY, fileMode)
	if err != nil {
		return wrapError(err, "open "+name)
	}
	defer file.Close()
	if err := file.Truncate(size); err != nil {
		return wrapError(err, "truncate "+name)
	}
	if err := file.Sync(); err != nil {
		return wrapError(err, "sync "+name)
	}
	return nil
}

// Rename implements FS.
func (d *Dir) Rename(from, to string) error {
	if err := d.root.Rename(from, to); err != nil {
		return wrapError(err, "rename "+from)
	}
	return nil
}

// Remove implements FS.
func (d *Dir) Remove(name string) error {
	if err := d.root.Remove(name); err != nil {
		return wrapError(err, "remove "+name)
	}
	return nil
}

// List implements FS.
func (d *Dir) List() ([]string, error) {
	entries, err := fs.ReadDir(d.root.FS(), ".")
	if err != nil {
		return nil, wrapError(err, "list data folder")
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// SyncDir implements FS.
func (d *Dir) SyncDir() error {
	dir, err := os.Open(d.path)
	if err != nil {
		return wrapError(err, "open data folder")
	}
	defer dir.Close()
	if err := dir.Sync(); err != nil {
		return wrapError(err, "sync data folder")
	}
	return nil
}

func wrapError(err error, operation string) error {
	switch {
	case errorx.Cast(err) != nil:
		return err
	case errors.Is(err, fs.ErrNotExist):
		return Missing.Wrap(err, "%s", operation)
	case errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT):
		return Full.Wrap(err, "%s", operation)
	}
	return Failed.Wrap(err, "%s", operation)
}
