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
	// Gone reports a block that is not kept here.
	Gone = namespace.NewType("gone")
	// Refused reports a block that is not taken: no room, or not lawful.
	Refused = namespace.NewType("refused")
	// Wrong reports bytes that do not match their checksum.
	Wrong = namespace.NewType("wrong")
)

const (
	// demoteRing bounds the blocks that wait to be written to disk.
	demoteRing = 256
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

// Kept is one block on its way in or out.
type Kept struct {
	Account string
	Name    block.Name
	Data    []byte
	Sum     uint32
	Depth   int
}

// Store keeps blocks. It is safe for concurrent use.
type Store struct {
	config  Config
	demote  *ring.Ring[Kept]
	cancel  context.CancelFunc
	running sync.WaitGroup

	// mu guards the two tiers and bytes.
	mu     sync.Mutex
	memory *block.Index
	files  *block.Index
	bytes  map[block.Ref][]byte

	reads, hits, writes, refused, wrong, recovered atomic.Uint64
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
		config: c, demote: ring.New[Kept](demoteRing), bytes: map[block.Ref][]byte{},
		memory: block.NewIndex(block.Config{Capacity: c.Memory, Share: c.Share, Policy: c.Policy}),
		files:  block.NewIndex(block.Config{Capacity: c.Disk, Share: c.Share, Policy: c.Policy}),
	}
	if c.FS != nil {
		if err := s.recover(); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.running.Go(func() {
		for {
			k, err := s.demote.Pop(ctx)
			if err != nil {
				return
			}
			s.writeFile(k)
		}
	})
	return s, nil
}

// Put keeps a block. A block that is here already is kept as it is.
func (s *Store) Put(k Kept) error {
	if disk.Sum(k.Data) != k.Sum {
		s.wrong.Add(1)
		return Wrong.New("block %.8s came with other bytes than its checksum says", k.Name.String())
	}
	now := s.config.Now()
	s.mu.Lock()
	ref, freed, err := s.memory.Reserve(k.Account, k.Name, int64(len(k.Data)), k.Depth, now)
	s.dropBytes(freed)
	if err == nil {
		err = s.memory.Begin(ref)
	}
	s.mu.Unlock()
	if errorx.IsOfType(err, block.Busy) {
		return nil
	}
	if err != nil {
		s.refused.Add(1)
		s.config.Events.Emit(event.StoreFull, "account", k.Account)
		return Refused.Wrap(err, "keep block")
	}
	s.mu.Lock()
	s.bytes[ref] = k.Data
	err = s.memory.Seal(ref, k.Sum, now)
	s.mu.Unlock()
	if err != nil {
		return Refused.Wrap(err, "seal block")
	}
	s.writes.Add(1)
	if s.config.FS != nil && s.config.Disk > 0 {
		// A full ring leaves the block in memory only.
		s.demote.Offer(k)
	}
	return nil
}

// dropBytes lets the bytes of freed blocks go. The caller holds mu.
func (s *Store) dropBytes(refs []block.Ref) {
	for _, r := range refs {
		delete(s.bytes, r)
	}
}

// Read returns a whole, checked block of the account.
func (s *Store) Read(account string, name block.Name) (Kept, error) {
	s.reads.Add(1)
	k, err := s.readMemory(account, name)
	if err == nil {
		s.hits.Add(1)
		return k, nil
	}
	if errorx.IsOfType(err, Wrong) || s.config.FS == nil {
		return Kept{}, err
	}
	k, err = s.readFile(account, name)
	if err != nil {
		return Kept{}, err
	}
	s.hits.Add(1)
	return k, nil
}

func (s *Store) readMemory(account string, name block.Name) (Kept, error) {
	s.mu.Lock()
	b, err := s.memory.Pin(account, name, s.config.Now())
	if err != nil {
		s.mu.Unlock()
		return Kept{}, Gone.Wrap(err, "read block")
	}
	data := s.bytes[b.Ref]
	s.mu.Unlock()
	right := disk.Sum(data) == b.Sum
	s.mu.Lock()
	defer s.mu.Unlock()
	if !right {
		s.memory.Free(b.Ref)
	}
	if s.memory.Unpin(b.Ref) {
		delete(s.bytes, b.Ref)
	}
	if !right {
		s.wrong.Add(1)
		s.config.Events.Emit(event.BlockBad, "block", name.String(), "tier", "memory")
		return Kept{}, Wrong.New("block %.8s changed in memory", name.String())
	}
	return Kept{Account: account, Name: name, Data: data, Sum: b.Sum, Depth: b.Depth}, nil
}

func (s *Store) readFile(account string, name block.Name) (Kept, error) {
	s.mu.Lock()
	b, err := s.files.Pin(account, name, s.config.Now())
	s.mu.Unlock()
	if err != nil {
		return Kept{}, Gone.Wrap(err, "read block")
	}
	k, err := loadFile(s.config.FS, fileName(name))
	right := err == nil && k.Account == account && k.Name == name && k.Sum == b.Sum
	s.mu.Lock()
	if !right {
		s.files.Free(b.Ref)
	}
	free := s.files.Unpin(b.Ref)
	s.mu.Unlock()
	if free {
		s.removeFile(name)
	}
	if !right {
		s.wrong.Add(1)
		s.config.Events.Emit(event.BlockBad, "block", name.String(), "tier", "disk", "err", err)
		return Kept{}, Wrong.New("block %.8s changed on disk", name.String())
	}
	return k, nil
}

// Longest returns how many blocks from the start of the chain are kept here, and their bytes.
func (s *Store) Longest(account string, chain []block.Name) (count int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range chain {
		n, ok := s.memory.Size(account, name)
		if !ok {
			n, ok = s.files.Size(account, name)
		}
		if !ok {
			break
		}
		count++
		bytes += n
	}
	return count, bytes
}

// header precedes the bytes in a block file.
type header struct {
	Account string `json:"account"`
	Name    string `json:"name"`
	Sum     uint32 `json:"sum"`
	Depth   int    `json:"depth"`
}

func fileName(n block.Name) string { return filePrefix + n.String() }

// writeFile copies a block to the disk tier. A failure leaves it in memory only.
func (s *Store) writeFile(k Kept) {
	s.mu.Lock()
	ref, freed, err := s.files.Reserve(k.Account, k.Name, int64(len(k.Data)), k.Depth, s.config.Now())
	if err == nil {
		err = s.files.Begin(ref)
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
		s.files.Abort(ref)
		s.mu.Unlock()
		s.config.Events.Emit(event.StoreFull, "tier", "disk", "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// Seal can fail only if the reservation was aborted, which this goroutine alone does.
	if err := s.files.Seal(ref, k.Sum, s.config.Now()); err != nil {
		s.config.Events.Emit(event.Fault, "err", err)
	}
}

func (s *Store) saveFile(k Kept) error {
	head, err := json.Marshal(header{k.Account, k.Name.String(), k.Sum, k.Depth})
	if err != nil {
		return Refused.Wrap(err, "write header")
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

func loadFile(fs disk.FS, name string) (Kept, error) {
	body, err := disk.Load(fs, name)
	if err != nil {
		return Kept{}, Wrong.Wrap(err, "read block file")
	}
	if len(body) < 4 || int(binary.LittleEndian.Uint32(body)) > len(body)-4 {
		return Kept{}, Wrong.New("block file has %d bytes", len(body))
	}
	n := int(binary.LittleEndian.Uint32(body))
	var h header
	if err := json.Unmarshal(body[4:4+n], &h); err != nil {
		return Kept{}, Wrong.Wrap(err, "read block header")
	}
	k := Kept{Account: h.Account, Data: body[4+n:], Sum: h.Sum, Depth: h.Depth}
	var ok bool
	if k.Name, ok = parseName(h.Name); !ok || fileName(k.Name) != name {
		return Kept{}, Wrong.New("block file %s holds another block", name)
	}
	if disk.Sum(k.Data) != k.Sum {
		return Kept{}, Wrong.New("block %.8s fails its checksum", h.Name)
	}
	return k, nil
}

// recover brings back the sealed blocks of an earlier process; half-written
// files are removed.
func (s *Store) recover() error {
	names, err := s.config.FS.List()
	if err != nil {
		return Refused.Wrap(err, "list blocks")
	}
	now := s.config.Now()
	for _, name := range names {
		if !strings.HasPrefix(name, filePrefix) {
			continue
		}
		if !s.readmit(name, now) {
			if err := s.config.FS.Remove(name); err != nil {
				return Refused.Wrap(err, "remove block file")
			}
		}
	}
	if n := s.recovered.Load(); n > 0 {
		s.config.Events.Emit(event.Recovered, "blocks", n)
	}
	return nil
}

func (s *Store) readmit(name string, now time.Time) bool {
	k, err := loadFile(s.config.FS, name)
	if err != nil {
		return false
	}
	ref, freed, err := s.files.Reserve(k.Account, k.Name, int64(len(k.Data)), k.Depth, now)
	for _, r := range freed {
		s.removeFile(r.Name)
	}
	if err != nil || s.files.Begin(ref) != nil || s.files.Seal(ref, k.Sum, now) != nil {
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
		Reads: s.reads.Load(), Hits: s.hits.Load(), Writes: s.writes.Load(), Refused: s.refused.Load(),
		Wrong: s.wrong.Load(), Recovered: s.recovered.Load(),
	}
	c.MemoryBytes, _, c.MemoryBlocks = s.memory.Used("")
	c.DiskBytes, _, c.DiskBlocks = s.files.Used("")
	return c
}

// Close stops the copying to disk; what waits stays in memory only.
func (s *Store) Close() {
	s.cancel()
	s.running.Wait()
}
