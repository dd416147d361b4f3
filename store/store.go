// Package store keeps KV blocks in memory and on disk for the agents.
//
// It owns the bytes and the moves between the tiers; block owns the lifecycle and
// the choice of what to evict. Every read is checked again for its account and
// its checksum: what does not match is gone.
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
	// NotFound reports a block that is not kept here.
	NotFound = namespace.NewType("gone")
	// Rejected reports a block that is not taken: no room, or not lawful.
	Rejected = namespace.NewType("refused")
	// Corrupt reports bytes that do not match their checksum.
	Corrupt = namespace.NewType("wrong")
)

const (
	// demotionQueueLen bounds the blocks that wait to be written to disk.
	demotionQueueLen = 256
	// filePrefix begins the names of block files.
	filePrefix = "kv-"
)

// Config constructs a Store.
type Config struct {
	// Memory and Disk are in bytes; a Disk of zero keeps blocks in memory only.
	Memory, Disk int64
	// Share is the part that one account may take while others need room.
	Share float64
	// FS holds the disk tier; nil means none.
	FS     disk.FS
	Events *event.Log
	Policy block.Policy
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
}

// StoredBlock is one block on its way in or out.
type StoredBlock struct {
	Account string
	Name    block.Name
	Data    []byte
	Sum     uint32
	Depth   int
}

// Store keeps blocks. It is safe for concurrent use.
type Store struct {
	config     Config
	demotions  *ring.Ring[StoredBlock]
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// mu guards the two tiers and data.
	mu          sync.Mutex
	memoryIndex *block.Index
	diskIndex   *block.Index
	data        map[block.Ref][]byte

	reads, hits, writes, rejected, corrupt, recovered atomic.Uint64
}

// New recovers sealed blocks from disk and starts the store.
func New(c Config) (*Store, error) {
	if c.Events == nil {
		c.Events = event.Discard()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	s := &Store{
		config: c, demotions: ring.New[StoredBlock](demotionQueueLen), data: map[block.Ref][]byte{},
		memoryIndex: block.NewIndex(block.Config{Capacity: c.Memory, Share: c.Share, Policy: c.Policy}),
		diskIndex:   block.NewIndex(block.Config{Capacity: c.Disk, Share: c.Share, Policy: c.Policy}),
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
			k, err := s.demotions.Pop(ctx)
			if err != nil {
				return
			}
			s.writeFile(k)
		}
	})
	return s, nil
}

// Put keeps a block. A block that is here already is kept as it is.
func (s *Store) Put(k StoredBlock) error {
	if disk.Sum(k.Data) != k.Sum {
		s.corrupt.Add(1)
		return Corrupt.New("block %.8s came with other bytes than its checksum says", k.Name.String())
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
		return Rejected.Wrap(err, "keep block")
	}
	s.mu.Lock()
	s.data[ref] = k.Data
	err = s.memoryIndex.Seal(ref, k.Sum, now)
	s.mu.Unlock()
	if err != nil {
		return Rejected.Wrap(err, "seal block")
	}
	s.writes.Add(1)
	if s.config.FS != nil && s.config.Disk > 0 {
		// A full ring leaves the block in memory only.
		s.demotions.Offer(k)
	}
	return nil
}

// dropData lets the bytes of freed blocks go. The caller holds mu.
func (s *Store) dropData(refs []block.Ref) {
	for _, r := range refs {
		delete(s.data, r)
	}
}

// Read returns a whole, checked block of the account.
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
	data := s.data[b.Ref]
	s.mu.Unlock()
	intact := disk.Sum(data) == b.Sum
	s.mu.Lock()
	defer s.mu.Unlock()
	if !intact {
		s.memoryIndex.Free(b.Ref)
	}
	if s.memoryIndex.Unpin(b.Ref) {
		delete(s.data, b.Ref)
	}
	if !intact {
		s.corrupt.Add(1)
		s.config.Events.Emit(event.BlockBad, "block", name.String(), "tier", "memory")
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
		s.config.Events.Emit(event.BlockBad, "block", name.String(), "tier", "disk", "err", err)
		return StoredBlock{}, Corrupt.New("block %.8s changed on disk", name.String())
	}
	return k, nil
}

// LongestPrefix returns how many blocks from the start of the chain are kept here, and their bytes.
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

// fileHeader precedes the bytes in a block file.
type fileHeader struct {
	Account string `json:"account"`
	Name    string `json:"name"`
	Sum     uint32 `json:"sum"`
	Depth   int    `json:"depth"`
}

func fileName(n block.Name) string { return filePrefix + n.String() }

// writeFile copies a block to the disk tier. A failure leaves it in memory only.
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
	// Seal can fail only if the reservation was aborted, which this goroutine alone does.
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
		return StoredBlock{}, Corrupt.New("block file has %d bytes", len(body))
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

// recover brings back the sealed blocks of an earlier process; half-written
// files are removed.
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

// Counts describe the store's work and fill.
type Counts struct {
	Reads, Hits, Writes, Refused, Wrong, Recovered uint64
	MemoryBytes, DiskBytes                         int64
	MemoryBlocks, DiskBlocks                       int
}

// Counts returns the figures as of now.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counts{
		Reads: s.reads.Load(), Hits: s.hits.Load(), Writes: s.writes.Load(), Refused: s.rejected.Load(),
		Wrong: s.corrupt.Load(), Recovered: s.recovered.Load(),
	}
	c.MemoryBytes, _, c.MemoryBlocks = s.memoryIndex.Used("")
	c.DiskBytes, _, c.DiskBlocks = s.diskIndex.Used("")
	return c
}

// Close stops the copying to disk; what waits stays in memory only.
func (s *Store) Close() {
	s.cancel()
	s.goroutines.Wait()
}
