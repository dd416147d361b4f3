package block

import (
	"container/heap"
	"math"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("block")
	// Gone reports a block that is not there, or not any more.
	Gone = namespace.NewType("gone")
	// Busy reports a block that another writer has reserved.
	Busy = namespace.NewType("busy")
	// Full reports that nothing can be evicted to make room.
	Full = namespace.NewType("full")
	// Foreign reports a block of another account.
	Foreign = namespace.NewType("foreign")
)

// State of a block.
type State int

// States in the order of a block's life.
const (
	Reserved State = iota
	Writing
	Sealed
	Freed
)

// Ref names one incarnation of a block in an index.
type Ref struct {
	Name Name
	// Gen differs for each reservation, so that a late write or unpin of a
	// former incarnation does not touch the present one.
	Gen uint64
}

// Block is what the index knows of one incarnation.
type Block struct {
	Ref
	Account string
	State   State
	Bytes   int64
	// Depth is the block's place in its chain, from 0.
	Depth int
	Sum   uint32

	pins  int
	used  time.Time
	uses  int
	doom  bool
	value float64
	index int
}

// Policy values a block when it is used; the block with the least value is evicted
// first. Floor is the value of the block that was evicted last: adding to it lets
// blocks age without being looked at again (GreedyDual-Size-Frequency, Cherkasova 1998).
type Policy func(b *Block, floor float64) float64

// LRU values blocks by their last use.
func LRU(b *Block, _ float64) float64 { return float64(b.used.UnixNano()) }

// depthScale is the depth at which a block's worth has halved, in blocks.
const depthScale = 64

// Value weighs what recomputing the block would cost, how often it was read, and
// its size. A block late in a chain is worth less, for it is useless without
// those before it.
func Value(b *Block, floor float64) float64 {
	worth := 1 / (1 + float64(b.Depth)/depthScale)
	return floor + float64(1+b.uses)*worth/math.Max(float64(b.Bytes), 1)
}

// Config constructs an Index.
type Config struct {
	// Capacity is in bytes.
	Capacity int64
	// Share is the part of the capacity that one account may take while others
	// have blocks; zero means half.
	Share  float64
	Policy Policy
}

// Index is the lifecycle of all blocks of one tier. Not safe for concurrent use.
type Index struct {
	config Config
	blocks map[Name]*Block
	used   int64
	gen    uint64
	shares map[string]*share
}

// share is one account's part of the index; its sealed, unpinned blocks wait in order.
type share struct {
	bytes int64
	queue evictable
	// floor is the value of the block that was evicted last.
	floor float64
}

// NewIndex returns an empty index.
func NewIndex(c Config) *Index {
	if c.Share == 0 {
		c.Share = 0.5
	}
	if c.Policy == nil {
		c.Policy = Value
	}
	return &Index{config: c, blocks: map[Name]*Block{}, shares: map[string]*share{}}
}

// Reserve makes room for a block and returns its reference with the blocks that
// were freed for it. A block that is sealed already is an error of type Busy too:
// there is nothing to write.
func (x *Index) Reserve(account string, name Name, bytes int64, depth int, now time.Time) (Ref, []Ref, error) {
	if _, ok := x.blocks[name]; ok {
		return Ref{}, nil, Busy.New("block %.8s is reserved or sealed", name.String())
	}
	freed, err := x.room(account, bytes)
	if err != nil {
		return Ref{}, freed, err
	}
	x.gen++
	b := &Block{Ref: Ref{name, x.gen}, Account: account, State: Reserved, Bytes: bytes, Depth: depth, used: now, index: -1}
	x.blocks[name] = b
	x.used += bytes
	x.share(account).bytes += bytes
	return b.Ref, freed, nil
}

func (x *Index) share(account string) *share {
	s, ok := x.shares[account]
	if !ok {
		s = &share{}
		x.shares[account] = s
	}
	return s
}

// room evicts until bytes fit: first from the account itself when it would pass
// its share, else from whichever account is furthest above an even part.
func (x *Index) room(account string, bytes int64) ([]Ref, error) {
	var freed []Ref
	limit := int64(float64(x.config.Capacity) * x.config.Share)
	for x.used+bytes > x.config.Capacity {
		from := account
		if x.share(account).bytes+bytes <= limit || x.share(account).queue.Len() == 0 {
			from = x.largest(account)
		}
		s := x.shares[from]
		if s == nil || s.queue.Len() == 0 {
			return freed, Full.New("%d bytes of %d are in use and nothing can be evicted", x.used, x.config.Capacity)
		}
		b := s.queue.items[0]
		s.floor = b.value
		freed = append(freed, b.Ref)
		x.remove(b)
	}
	return freed, nil
}

// largest returns the account with the most bytes among those with something to evict.
func (x *Index) largest(asking string) string {
	best, most := "", int64(-1)
	for name, s := range x.shares {
		if s.queue.Len() == 0 {
			continue
		}
		if s.bytes > most || (s.bytes == most && name < best) {
			best, most = name, s.bytes
		}
	}
	if best == "" {
		return asking
	}
	return best
}

// Begin moves a reserved block to writing.
func (x *Index) Begin(r Ref) error { return x.move(r, Reserved, Writing) }

// Seal makes a written block readable.
func (x *Index) Seal(r Ref, sum uint32, now time.Time) error {
	if err := x.move(r, Writing, Sealed); err != nil {
		return err
	}
	b := x.blocks[r.Name]
	b.Sum, b.used = sum, now
	x.enqueue(b)
	return nil
}

func (x *Index) move(r Ref, from, to State) error {
	b, ok := x.blocks[r.Name]
	if !ok || b.Gen != r.Gen || b.State != from {
		return Gone.New("block %.8s is not in that state", r.Name.String())
	}
	b.State = to
	return nil
}

// Abort frees a block that was not sealed.
func (x *Index) Abort(r Ref) {
	if b, ok := x.blocks[r.Name]; ok && b.Gen == r.Gen && b.State != Sealed {
		x.remove(b)
	}
}

// Pin finds a sealed block for reading and keeps it until Unpin.
func (x *Index) Pin(account string, name Name, now time.Time) (Block, error) {
	b, ok := x.blocks[name]
	if !ok || b.State != Sealed || b.doom {
		return Block{}, Gone.New("block %.8s is not sealed here", name.String())
	}
	if b.Account != account {
		return Block{}, Foreign.New("block %.8s belongs to another account", name.String())
	}
	if b.pins == 0 {
		x.dequeue(b)
	}
	b.pins++
	b.uses++
	b.used = now
	return *b, nil
}

// Unpin ends one reading. It reports whether the block was freed meanwhile, so
// that its bytes must go now.
func (x *Index) Unpin(r Ref) (free bool) {
	b, ok := x.blocks[r.Name]
	if !ok || b.Gen != r.Gen || b.pins == 0 {
		return false
	}
	b.pins--
	if b.pins > 0 {
		return false
	}
	if b.doom {
		x.remove(b)
		return true
	}
	x.enqueue(b)
	return false
}

// Free lets a block go. Its bytes may go at once unless it is pinned: then no new
// reader finds it, and the last Unpin frees it.
func (x *Index) Free(r Ref) (now bool) {
	b, ok := x.blocks[r.Name]
	if !ok || b.Gen != r.Gen {
		return false
	}
	if b.pins > 0 {
		b.doom = true
		return false
	}
	x.remove(b)
	return true
}

// Has reports whether a block could be pinned by the account.
func (x *Index) Has(account string, name Name) bool {
	b, ok := x.blocks[name]
	return ok && b.State == Sealed && !b.doom && b.Account == account
}

// Size returns the bytes of a block that the account could pin.
func (x *Index) Size(account string, name Name) (bytes int64, ok bool) {
	if !x.Has(account, name) {
		return 0, false
	}
	return x.blocks[name].Bytes, true
}

// Used returns the bytes taken, those of one account, and the count of blocks.
func (x *Index) Used(account string) (all, own int64, count int) {
	if s, ok := x.shares[account]; ok {
		own = s.bytes
	}
	return x.used, own, len(x.blocks)
}

func (x *Index) enqueue(b *Block) {
	s := x.share(b.Account)
	b.value = x.config.Policy(b, s.floor)
	heap.Push(&s.queue, b)
}

func (x *Index) dequeue(b *Block) {
	if b.index >= 0 {
		heap.Remove(&x.share(b.Account).queue, b.index)
	}
}

func (x *Index) remove(b *Block) {
	x.dequeue(b)
	delete(x.blocks, b.Name)
	x.used -= b.Bytes
	s := x.share(b.Account)
	s.bytes -= b.Bytes
	if s.bytes == 0 {
		delete(x.shares, b.Account)
	}
	b.State = Freed
}

// evictable is a heap of sealed, unpinned blocks, least value first.
type evictable struct {
	items []*Block
}

func (e *evictable) Len() int { return len(e.items) }
func (e *evictable) Less(i, j int) bool {
	a, b := e.items[i], e.items[j]
	if a.value != b.value {
		return a.value < b.value
	}
	return a.Gen < b.Gen
}

func (e *evictable) Swap(i, j int) {
	e.items[i], e.items[j] = e.items[j], e.items[i]
	e.items[i].index, e.items[j].index = i, j
}

// Push implements heap.Interface.
func (e *evictable) Push(v any) {
	b := v.(*Block)
	b.index = len(e.items)
	e.items = append(e.items, b)
}

// Pop implements heap.Interface.
func (e *evictable) Pop() any {
	last := len(e.items) - 1
	b := e.items[last]
	e.items[last] = nil
	e.items = e.items[:last]
	b.index = -1
	return b
}
