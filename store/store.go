// Package store keeps KV blocks in memory and on disk for the agents, which read and
// write them while they serve prompts.
//
// It owns the data and the copies between the memory and disk tiers; package block
// owns the lifecycle of blocks and the eviction policy. Every read verifies the account
// and the checksum again, and a block that doesn't match is removed.
package store

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/block"
	"egretshunt/disk"
	"egretshunt/event"
	"egretshunt/ring"
)

var (
	namespace = errorx.NewNamespace("store")
	// NotFound reports a block that isn't stored here.
	NotFound = namespace.NewType("gone")
	// Rejected reports a block that isn't accepted, for lack of capacity or because it isn't allowed,
	// or a disk that fails during recovery.
	Rejected = namespace.NewType("refused")
	// Corrupt reports data that doesn't match its checksum.
	Corrupt = namespace.NewType("wrong")
)

const (
	// diskQueueLen bounds the blocks that wait to be copied from memory to disk.
	diskQueueLen = 256
	// filePrefix is the prefix of block file names.
	filePrefix = "kv-"
)

// Config configures a Store.
type Config struct {
	// Memory and Disk are the capacities in bytes. If Disk is zero, blocks are kept in
	// memory only.
	Memory, Disk int64
	// MaxShare is the fraction of the capacity that one account may use while other
	// accounts need space.
	MaxShare float64
	// FS stores the disk tier; nil means that there is none.
	FS     disk.FS
	Events *event.Log
	Policy block.Policy
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// StoredBlock is one block with its data, as written or read. Sum is the checksum of Data, Depth the
// block's position in its chain, from 0.
type StoredBlock struct {
	Account string
	Name    block.Name
	Data    []byte
	Sum     uint32
	Depth   int
}

// Store stores KV blocks in two tiers. It is safe for concurrent use.
type Store struct {
	config     Config
	diskQueue  *ring.Ring[StoredBlock]
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// mu guards the two indexes and blockData.
	mu          sync.Mutex
	memoryIndex *block.Index
	diskIndex   *block.Index
	blockData   map[block.Ref][]byte

	reads, hits, writes, rejected, corrupt, recovered atomic.Uint64
}

// New recovers the sealed blocks on disk and starts copying new blocks from memory to disk.
func New(c Config) (*Store, error) {
	if c.Events == nil {
		c.Events = event.Discard()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	s := &Store{
		config: c, diskQueue: ring.New[StoredBlock](diskQueueLen), blockData: map[block.Ref][]byte{},
		memoryIndex: block.NewIndex(block.Config{Capacity: c.Memory, MaxShare: c.MaxShare, Policy: c.Policy}),
		diskIndex:   block.NewIndex(block.Config{Capacity: c.Disk, MaxShare: c.MaxShare, Policy: c.Policy}),
	}
	if c.FS != nil {
		if err := s.recover(); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.goroutines.Go(func() {
		for {
			k, err := s.diskQueue.Pop(ctx)
			if err != nil {
				return
			}
			s.writeFile(k)
		}
	})
	return s, nil
}

// Put stores a block. A block that is already present is left unchanged.
func (s *Store) Put(k StoredBlock) error {
	if disk.Sum(k.Data) != k.Sum {
		s.corrupt.Add(1)
		return Corrupt.New("block %.8s doesn't match its checksum on arrival", k.Name.String())
	}
	now := s.config.Now()
	s.mu.Lock()
	ref, freed, err := s.memoryIndex.Reserve(k.Account, k.Name, int64(len(k.Data)), k.Depth, now)
	s.dropData(freed)
	if err == nil {
		err = s.memoryIndex.Begin(ref)
	}
	s.mu.Unlock()
	if errorx.IsOfType(err, block.Busy) {
		return nil
	}
	if err != nil {
		s.rejected.Add(1)
		s.config.Events.Emit(event.StoreFull, "account", k.Account)
		return Rejected.Wrap(err, "store block")
	}
	s.mu.Lock()
	s.blockData[ref] = k.Data
	err = s.memoryIndex.Seal(ref, k.Sum, now)
	s.mu.Unlock()
	if err != nil {
		return Rejected.Wrap(err, "seal block")
	}
	s.writes.Add(1)
	if s.config.FS != nil && s.config.Disk > 0 {
		// If the queue is full, the block stays in memory only.
		s.diskQueue.Offer(k)
	}
	return nil
}

// dropData drops the data of freed blocks. The caller holds mu.
func (s *Store) dropData(refs []block.Ref) {
	for _, r := range refs {
		delete(s.blockData, r)
	}
}

// Read returns a complete block of the account after verifying its checksum.
func (s *Store) Read(account string, name block.Name) (StoredBlock, error) {
	s.reads.Add(1)
	k, err := s.readMemory(account, name)
	if err == nil {
		s.hits.Add(1)
		return k, nil
	}
	if errorx.IsOfType(err, Corrupt) || s.config.FS == nil {
		return StoredBlock{}, err
	}
	k, err = s.readFile(account, name)
	if err != nil {
		return StoredBlock{}, err
	}
	s.hits.Add(1)
	return k, nil
}

func (s *Store) readMemory(account string, name block.Name) (StoredBlock, error) {
	s.mu.Lock()
	b, err := s.memoryIndex.Pin(account, name, s.config.Now())
	if err != nil {
		s.mu.Unlock()
		return StoredBlock{}, NotFound.Wrap(err, "read block")
	}
	data := s.blockData[b.Ref]
	s.mu.Unlock()
	intact := disk.Sum(data) == b.Sum
	s.mu.Lock()
	defer s.mu.Unlock()
	if !intact {
		s.memoryIndex.Free(b.Ref)
	}
	if s.memoryIndex.Unpin(b.Ref) {
		delete(s.blockData, b.Ref)
	}
	if !intact {
		s.corrupt.Add(1)
		s.config.Events.Emit(event.BlockCorrupt, "block", name.String(), "tier", "memory")
		return StoredBlock{}, Corrupt.New("block %.8s changed in memory", name.String())
	}
	return StoredBlock{Account: account, Name: name, Data: data, Sum: b.Sum, Depth: b.Depth}, nil
}

func (s *Store) readFile(account string, name block.Name) (StoredBlock, error) {
	s.mu.Lock()
	b, err := s.diskIndex.Pin(account, name, s.config.Now())
	s.mu.Unlock()
	if err != nil {
		return StoredBlock{}, NotFound.Wrap(err, "read block")
	}
	k, err := loadFile(s.config.FS, fileName(name))
	intact := err == nil && k.Account == account && k.Name == name && k.Sum == b.Sum
	s.mu.Lock()
	if !intact {
		s.diskIndex.Free(b.Ref)
	}
	free := s.diskIndex.Unpin(b.Ref)
	s.mu.Unlock()
	if free {
		s.removeFile(name)
	}
	if !intact {
		s.corrupt.Add(1)
		s.config.Events.Emit(event.BlockCorrupt, "block", name.String(), "tier", "disk", "err", err)
		return StoredBlock{}, Corrupt.New("block %.8s changed on disk", name.String())
	}
	return k, nil
}

// LongestPrefix returns how many leading blocks of the chain are stored here, and their total
// size in bytes.
func (s *Store) LongestPrefix(account string, chain []block.Name) (count int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range chain {
		n, ok := s.memoryIndex.Size(account, name)
		if !ok {
			n, ok = s.diskIndex.Size(account, name)
		}
		if !ok {
			break
		}
		count++
		bytes += n
	}
	return count, bytes
}

// fileHeader precedes the data in a block file.
type fileHeader struct {
	Account string `json:"account"`
	Name    string `json:"name"`
	Sum     uint32 `json:"sum"`
	Depth   int    `json:"depth"`
}

func fileName(n block.Name) string { return filePrefix + n.String() }

// writeFile copies a block to the disk tier. If that fails, the block stays in memory only.
func (s *Store) writeFile(k StoredBlock) {
	s.mu.Lock()
	ref, freed, err := s.diskIndex.Reserve(k.Account, k.Name, int64(len(k.Data)), k.Depth, s.config.Now())
	if err == nil {
		err = s.diskIndex.Begin(ref)
	}
	s.mu.Unlock()
	for _, r := range freed {
		s.removeFile(r.Name)
	}
	if err != nil {
		return
	}
	if err := s.saveFile(k); err != nil {
		s.mu.Lock()
		s.diskIndex.Abort(ref)
		s.mu.Unlock()
		s.config.Events.Emit(event.StoreFull, "tier", "disk", "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// Seal fails only if the reservation was aborted, and only this goroutine aborts it.
	if err := s.diskIndex.Seal(ref, k.Sum, s.config.Now()); err != nil {
		s.config.Events.Emit(event.Fault, "err", err)
	}
}

func (s *Store) saveFile(k StoredBlock) error {
	head, err := json.Marshal(fileHeader{k.Account, k.Name.String(), k.Sum, k.Depth})
	if err != nil {
		return Rejected.Wrap(err, "write header")
	}
	body := binary.LittleEndian.AppendUint32(nil, uint32(len(head)))
	body = append(body, head...)
	body = append(body, k.Data...)
	return disk.Save(s.config.FS, fileName(k.Name), body)
}

func (s *Store) removeFile(n block.Name) {
	if err := s.config.FS.Remove(fileName(n)); err != nil && !errorx.IsOfType(err, disk.Missing) {
		s.config.Events.Emit(event.StoreFull, "tier", "disk", "err", err)
	}
}

func loadFile(fs disk.FS, name string) (StoredBlock, error) {
	body, err := disk.Load(fs, name)
	if err != nil {
		return StoredBlock{}, Corrupt.Wrap(err, "read block file")
	}
	if len(body) < 4 || int(binary.LittleEndian.Uint32(body)) > len(body)-4 {
		return StoredBlock{}, Corrupt.New("block file of %d bytes is too short for its header", len(body))
	}
	n := int(binary.LittleEndian.Uint32(body))
	var h fileHeader
	if err := json.Unmarshal(body[4:4+n], &h); err != nil {
		return StoredBlock{}, Corrupt.Wrap(err, "read block header")
	}
	k := StoredBlock{Account: h.Account, Data: body[4+n:], Sum: h.Sum, Depth: h.Depth}
	var ok bool
	if k.Name, ok = parseName(h.Name); !ok || fileName(k.Name) != name {
		return StoredBlock{}, Corrupt.New("block file %s holds another block", name)
	}
	if disk.Sum(k.Data) != k.Sum {
		return StoredBlock{}, Corrupt.New("block %.8s fails its checksum", h.Name)
	}
	return k, nil
}

// recover adds the sealed blocks of an earlier incarnation to the disk index and removes
// incomplete files.
func (s *Store) recover() error {
	names, err := s.config.FS.List()
	if err != nil {
		return Rejected.Wrap(err, "list blocks")
	}
	now := s.config.Now()
	for _, name := range names {
		if !strings.HasPrefix(name, filePrefix) {
			continue
		}
		if !s.recoverFile(name, now) {
			if err := s.config.FS.Remove(name); err != nil {
				return Rejected.Wrap(err, "remove block file")
			}
		}
	}
	if n := s.recovered.Load(); n > 0 {
		s.config.Events.Emit(event.Recovered, "blocks", n)
	}
	return nil
}

func (s *Store) recoverFile(name string, now time.Time) bool {
	k, err := loadFile(s.config.FS, name)
	if err != nil {
		return false
	}
	ref, freed, err := s.diskIndex.Reserve(k.Account, k.Name, int64(len(k.Data)), k.Depth, now)
	for _, r := range freed {
		s.removeFile(r.Name)
	}
	if err != nil || s.diskIndex.Begin(ref) != nil || s.diskIndex.Seal(ref, k.Sum, now) != nil {
		return false
	}
	s.recovered.Add(1)
	return true
}

// Stats holds the store's operation counters and usage.
type Stats struct {
	Reads, Hits, Writes, Rejected, Corrupt, Recovered uint64
	MemoryBytes, DiskBytes                            int64
	MemoryBlocks, DiskBlocks                          int
}

// Stats returns the current counters and usage.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Stats{
		Reads: s.reads.Load(), Hits: s.hits.Load(), Writes: s.writes.Load(), Rejected: s.rejected.Load(),
		Corrupt: s.corrupt.Load(), Recovered: s.recovered.Load(),
	}
	c.MemoryBytes, _, c.MemoryBlocks = s.memoryIndex.Usage("")
	c.DiskBytes, _, c.DiskBlocks = s.diskIndex.Usage("")
	return c
}

// Close stops copying blocks to disk. Blocks still queued stay in memory only.
func (s *Store) Close() {
	s.cancel()
	s.goroutines.Wait()
}
