// Package fake implements the components that a deployment depends on: model
// engines and HTTP services, which stand at the end of the request path behind
// an agent, the platform's list of VMs, and a file system in memory with fault
// injection. The demo and the tests use it; production code does not.
package fake

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"syscall"

	"egretshunt/disk"
)

// ErrCrash is returned by every operation after the simulated crash of a Disk.
var ErrCrash = errors.New("fake disk: crashed")

// Disk is a directory in memory that implements disk.FS and tells written bytes from synced ones.
type Disk struct {
	// mu guards the fields below.
	mu sync.Mutex
	// live holds the files that the process sees, durable those that remain after a crash.
	live, durable map[string]*fileContent
	// opsLeft is the number of writing operations that still succeed; if negative, there is no limit.
	opsLeft int
	full    bool
	noSync  bool
	crashed bool
	ops     int
}

// fileContent holds a file's bytes and the length of their synced prefix.
type fileContent struct {
	data   []byte
	synced int
}

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{live: map[string]*fileContent{}, durable: map[string]*fileContent{}, opsLeft: -1}
}

// CrashAfter lets n more writing operations succeed and fails all later ones with ErrCrash.
func (d *Disk) CrashAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opsLeft = n
}

// SetDiskFull makes writing operations fail with ENOSPC, as on a full disk.
func (d *Disk) SetDiskFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// FailSync makes syncs of files fail; what was written remains until power is lost.
func (d *Disk) FailSync(fail bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noSync = fail
}

// WriteOps returns how many writing operations were attempted.
func (d *Disk) WriteOps() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops
}

// Restart discards all unsynced data but for the first torn bytes of each file's unsynced tail,
// and ends a crash or lack of space.
func (d *Disk) Restart(torn int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, n := range d.durable {
		size := min(n.synced+torn, len(n.data))
		d.durable[name] = &fileContent{data: slices.Clone(n.data[:size]), synced: size}
	}
	d.live = maps.Clone(d.durable)
	d.opsLeft, d.crashed, d.full = -1, false, false
}

// FlipBit inverts one bit of the byte at the given offset of a file.
func (d *Disk) FlipBit(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.live[name].data[offset] ^= 0x10
}

// countOp counts one writing operation and returns the error that it is due to fail with, if any.
func (d *Disk) countOp() error {
	d.ops++
	if d.opsLeft == 0 {
		d.crashed = true
	}
	if d.crashed {
		return ErrCrash
	}
	if d.opsLeft > 0 {
		d.opsLeft--
	}
	if d.full {
		return syscall.ENOSPC
	}
	return nil
}

// Append implements disk.FS.
func (d *Disk) Append(name string) (disk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countOp(); err != nil {
		return nil, err
	}
	n, ok := d.live[name]
	if !ok {
		n = &fileContent{}
		d.live[name] = n
	}
	return &handle{d: d, n: n}, nil
}

// Create implements disk.FS.
func (d *Disk) Create(name string) (disk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countOp(); err != nil {
		return nil, err
	}
	n := &fileContent{}
	d.live[name] = n
	return &handle{d: d, n: n}, nil
}

// Read implements disk.FS.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, ok := d.live[name]
	if !ok {
		return nil, disk.Missing.New("read %s", name)
	}
	return slices.Clone(n.data), nil
}

// Truncate implements disk.FS.
func (d *Disk) Truncate(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countOp(); err != nil {
		return err
	}
	n := d.live[name]
	n.data = n.data[:size]
	n.synced = int(size)
	return nil
}

// Rename implements disk.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countOp(); err != nil {
		return err
	}
	d.live[to] = d.live[from]
	delete(d.live, from)
	return nil
}

// Remove implements disk.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countOp(); err != nil {
		return err
	}
	delete(d.live, name)
	return nil
}

// List implements disk.FS.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.live)), nil
}

// SyncDir implements disk.FS.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countOp(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.live)
	return nil
}

// handle is an open file of a Disk.
type handle struct {
	d *Disk
	n *fileContent
}

// Write implements disk.File. A write that crashes leaves the first half of its bytes.
func (h *handle) Write(p []byte) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if err := h.d.countOp(); err != nil {
		h.n.data = append(h.n.data, p[:len(p)/2]...)
		return len(p) / 2, err
	}
	h.n.data = append(h.n.data, p...)
	return len(p), nil
}

// Sync implements disk.File.
func (h *handle) Sync() error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if err := h.d.countOp(); err != nil {
		return err
	}
	if h.d.noSync {
		return syscall.EIO
	}
	h.n.synced = len(h.n.data)
	return nil
}

// Close implements disk.File.
func (h *handle) Close() error { return nil }
