package block

import (
	"container/heap"
	"math"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("block")
	// NotFound reports a block that is missing, or not in the state that the call needs.
	NotFound = namespace.NewType("gone")
	// Busy reports a block that is reserved by another writer or sealed already.
	Busy = namespace.NewType("busy")
	// Full reports that nothing can be evicted to make room.
	Full = namespace.NewType("full")
	// BadChanges reports changes of a catalogue that can't be read or don't continue it; a whole is needed.
	BadChanges = namespace.NewType("badchanges")
	// WrongAccount reports a block that belongs to another account.
	WrongAccount = namespace.NewType("foreign")
)

// State of a block.
type State int

// States in the order of a block's lifecycle.
const (
	Reserved State = iota
	Writing
	Sealed
	Freed
)

// Ref names one incarnation of a block in an index.
type Ref struct {
	Name Name
	// Gen differs for each reservation, so that a late write or unpin of an earlier
	// incarnation does not affect the current one.
	Gen uint64
}

// Block is the index's record of one incarnation of a block.
type Block struct {
	Ref
	Account string
	State   State
	Bytes   int64
	// Depth is the block's position in its chain, from 0.
	Depth int
	Sum   uint32

	pins        int
	used        time.Time
	uses        int
	freePending bool
	value       float64
	heapIndex   int
}

// Policy values a block when it is used; the block with the lowest value is evicted first.
// Floor is the value of the block that was evicted last: adding to it ages blocks without
// revisiting them (GreedyDual-Size-Frequency, Cherkasova 1998).
type Policy func(b *Block, floor float64) float64

// LRU values blocks by their last use.
func LRU(b *Block, _ float64) float64 { return float64(b.used.UnixNano()) }

// depthHalving is the depth, in blocks, at which a block's worth has halved.
const depthHalving = 64

// GDSF values a block by the cost of recomputing it, its read count and its size. A block
// late in a chain is worth less, because it is useless without those before it.
func GDSF(b *Block, floor float64) float64 {
	worth := 1 / (1 + float64(b.Depth)/depthHalving)
	return floor + float64(1+b.uses)*worth/math.Max(float64(b.Bytes), 1)
}

// Config constructs an Index.
type Config struct {
	// Capacity is in bytes.
	Capacity int64
	// MaxShare is the fraction of the capacity that one account may use while others
	// have blocks; zero means half.
	MaxShare float64
	Policy   Policy
}

// Index manages the lifecycle of all blocks of one storage tier. Not safe for concurrent use.
type Index struct {
	config   Config
	blocks   map[Name]*Block
	used     int64
	gen      uint64
	accounts map[string]*accountUsage
}

// accountUsage is one account's part of the index, with its sealed, unpinned blocks in
// eviction order.
type accountUsage struct {
	bytes      int64
	evictQueue evictionHeap
	// floor is the value of the block that was evicted last.
	floor float64
}

// NewIndex returns an empty index.
func NewIndex(c Config) *Index {
	if c.MaxShare == 0 {
		c.MaxShare = 0.5
	}
	if c.Policy == nil {
		c.Policy = GDSF
	}
	return &Index{config: c, blocks: map[Name]*Block{}, accounts: map[string]*accountUsage{}}
}

// Reserve makes room for a block and returns its reference and the blocks that were
// evicted for it. A block that is sealed already is an error of type Busy too, because
// there is nothing to write.
func (x *Index) Reserve(account string, name Name, bytes int64, depth int, now time.Time) (Ref, []Ref, error) {
	if _, ok := x.blocks[name]; ok {
		return Ref{}, nil, Busy.New("block %.8s is reserved or sealed", name.String())
	}
	freed, err := x.makeRoom(account, bytes)
	if err != nil {
		return Ref{}, freed, err
	}
	x.gen++
	b := &Block{Ref: Ref{name, x.gen}, Account: account, State: Reserved, Bytes: bytes, Depth: depth, used: now, heapIndex: -1}
	x.blocks[name] = b
	x.used += bytes
	x.accountUsage(account).bytes += bytes
	return b.Ref, freed, nil
}

func (x *Index) accountUsage(account string) *accountUsage {
	s, ok := x.accounts[account]
	if !ok {
		s = &accountUsage{}
		x.accounts[account] = s
	}
	return s
}

// makeRoom evicts blocks until the given number of bytes fits: from the account itself if
// it would exceed its share, else from the account that is furthest above an even share.
func (x *Index) makeRoom(account string, bytes int64) ([]Ref, error) {
	var evicted []Ref
	limit := int64(float64(x.config.Capacity) * x.config.MaxShare)
	for x.used+bytes > x.config.Capacity {
		victim := account
		if x.accountUsage(account).bytes+bytes <= limit || x.accountUsage(account).evictQueue.Len() == 0 {
			victim = x.largestAccount(account)
		}
		s := x.accounts[victim]
		if s == nil || s.evictQueue.Len() == 0 {
			return evicted, Full.New("%d bytes of %d are in use and nothing can be evicted", x.used, x.config.Capacity)
		}
		b := s.evictQueue.items[0]
		s.floor = b.value
		evicted = append(evicted, b.Ref)
		x.remove(b)
	}
	return evicted, nil
}

// largestAccount returns the account with the most bytes among those that have an evictable
// block, or fallback if none has.
func (x *Index) largestAccount(fallback string) string {
	largestName, most := "", int64(-1)
	for name, s := range x.accounts {
		if s.evictQueue.Len() == 0 {
			continue
		}
		if s.bytes > most || (s.bytes == most && name < largestName) {
			largestName, most = name, s.bytes
		}
	}
	if largestName == "" {
		return fallback
	}
	return largestName
}

// Begin moves a reserved block to the state Writing.
func (x *Index) Begin(r Ref) error { return x.transition(r, Reserved, Writing) }

// Seal makes a written block readable and records its checksum.
func (x *Index) Seal(r Ref, sum uint32, now time.Time) error {
	if err := x.transition(r, Writing, Sealed); err != nil {
		return err
	}
	b := x.blocks[r.Name]
	b.Sum, b.used = sum, now
	x.enqueue(b)
	return nil
}

func (x *Index) transition(r Ref, from, to State) error {
	b, ok := x.blocks[r.Name]
	if !ok || b.Gen != r.Gen || b.State != from {
		return NotFound.New("block %.8s is missing, was reserved again or is in another state", r.Name.String())
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

// Pin returns a sealed block for reading and protects it from eviction until Unpin.
func (x *Index) Pin(account string, name Name, now time.Time) (Block, error) {
	b, ok := x.blocks[name]
	if !ok || b.State != Sealed || b.freePending {
		return Block{}, NotFound.New("block %.8s is not sealed in this index", name.String())
	}
	if b.Account != account {
		return Block{}, WrongAccount.New("block %.8s belongs to another account", name.String())
	}
	if b.pins == 0 {
		x.dequeue(b)
	}
	b.pins++
	b.uses++
	b.used = now
	return *b, nil
}

// Unpin releases one Pin. It reports whether the block was freed meanwhile and this was
// its last reader, so that the caller must release its bytes now.
func (x *Index) Unpin(r Ref) (free bool) {
	b, ok := x.blocks[r.Name]
	if !ok || b.Gen != r.Gen || b.pins == 0 {
		return false
	}
	b.pins--
	if b.pins > 0 {
		return false
	}
	if b.freePending {
		x.remove(b)
		return true
	}
	x.enqueue(b)
	return false
}

// Free frees a block, and reports whether its bytes may be released at once. A pinned
// block stays until the last Unpin, but no new reader finds it.
func (x *Index) Free(r Ref) (now bool) {
	b, ok := x.blocks[r.Name]
	if !ok || b.Gen != r.Gen {
		return false
	}
	if b.pins > 0 {
		b.freePending = true
		return false
	}
	x.remove(b)
	return true
}

// Has reports whether the account could pin the block.
func (x *Index) Has(account string, name Name) bool {
	b, ok := x.blocks[name]
	return ok && b.State == Sealed && !b.freePending && b.Account == account
}

// Size returns the size of a block that the account could pin.
func (x *Index) Size(account string, name Name) (bytes int64, ok bool) {
	if !x.Has(account, name) {
		return 0, false
	}
	return x.blocks[name].Bytes, true
}

// Usage returns the bytes used by all accounts and by one of them, and the number of blocks.
func (x *Index) Usage(account string) (all, own int64, count int) {
	if s, ok := x.accounts[account]; ok {
		own = s.bytes
	}
	return x.used, own, len(x.blocks)
}

func (x *Index) enqueue(b *Block) {
	s := x.accountUsage(b.Account)
	b.value = x.config.Policy(b, s.floor)
	heap.Push(&s.evictQueue, b)
}

func (x *Index) dequeue(b *Block) {
	if b.heapIndex >= 0 {
		heap.Remove(&x.accountUsage(b.Account).evictQueue, b.heapIndex)
	}
}

func (x *Index) remove(b *Block) {
	x.dequeue(b)
	delete(x.blocks, b.Name)
	x.used -= b.Bytes
	s := x.accountUsage(b.Account)
	s.bytes -= b.Bytes
	if s.bytes == 0 {
		delete(x.accounts, b.Account)
	}
	b.State = Freed
}

// evictionHeap holds sealed, unpinned blocks, lowest value first.
type evictionHeap struct {
	items []*Block
}

func (e *evictionHeap) Len() int { return len(e.items) }
func (e *evictionHeap) Less(i, j int) bool {
	a, b := e.items[i], e.items[j]
	if a.value != b.value {
		return a.value < b.value
	}
	return a.Gen < b.Gen
}

func (e *evictionHeap) Swap(i, j int) {
	e.items[i], e.items[j] = e.items[j], e.items[i]
	e.items[i].heapIndex, e.items[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (e *evictionHeap) Push(v any) {
	b := v.(*Block)
	b.heapIndex = len(e.items)
	e.items = append(e.items, b)
}

// Pop implements heap.Interface.
func (e *evictionHeap) Pop() any {
	last := len(e.items) - 1
	b := e.items[last]
	e.items[last] = nil
	e.items = e.items[:last]
	b.heapIndex = -1
	return b
}
