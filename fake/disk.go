// Package fake holds small stand-ins for what lies outside the system: model
// engines, plain services, the platform's list of VMs, and a disk that fails on
// cue. The demo and the tests use them; production does not.
package fake

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"syscall"

	"egretshunt/disk"
)

// ErrCrash is returned by every operation after a Disk was told to crash.
var ErrCrash = errors.New("fake disk: crashed")

// Disk is a folder in memory that distinguishes written from synced bytes.
type Disk struct {
	// mu guards the rest.
	mu sync.Mutex
	// live is what the process sees, durable what a crash leaves.
	live, durable map[string]*fileContent
	// opsLeft counts the operations that still succeed; negative means all do.
	opsLeft int
	full    bool
	crashed bool
	ops     int
}

// fileContent is the content of one file.
type fileContent struct {
	data   []byte
	synced int
}

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{live: map[string]*fileContent{}, durable: map[string]*fileContent{}, opsLeft: -1}
}

// CrashAfter lets n more writing operations succeed, then fails all.
func (d *Disk) CrashAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opsLeft = n
}

// SetFull makes writes fail for lack of room.
func (d *Disk) SetFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// Ops returns how many writing operations were asked for.
func (d *Disk) Ops() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops
}

// Restart loses what was not synced, but for torn bytes of each unsynced tail, and serves again.
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

// Flip changes one bit of a file, counted in bytes from its start.
func (d *Disk) Flip(name string, at int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.live[name].data[at] ^= 0x10
}

// countOp counts one writing operation and fails it when due.
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

// Write implements disk.File; a write that crashes leaves half of its bytes.
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
	h.n.synced = len(h.n.data)
	return nil
}

// Close implements disk.File.
func (h *handle) Close() error { return nil }
