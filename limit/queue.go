package limit

import (
	"container/heap"
	"time"
)

// Item waits in a Queue.
type Item[T any] struct {
	Account string
	// Rank is the class; lower ranks are always served first.
	Rank uint32
	// Cost is the expected work, in tokens.
	Cost float64
	// Until is when the caller gives up.
	Until time.Time
	Value T

	start float64
	seq   uint64
	index int
}

// Queue orders waiting work: by rank, then in fair shares among accounts.
//
// Within a rank it is start-time fair queueing: an account's next item starts
// where its former one ended in virtual time, so that a burst of one account
// queues behind the others' next items, not before them. Not safe for concurrent use.
type Queue[T any] struct {
	limit int
	items items[T]
	seq   uint64
	// virtual is the start of the item served last, for each rank.
	virtual map[uint32]float64
	// ends holds where each account's latest item ends in virtual time.
	ends map[lane]float64
	cost float64
}

type lane struct {
	account string
	rank    uint32
}

// NewQueue returns a queue that holds at most limit items.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, virtual: map[uint32]float64{}, ends: map[lane]float64{}}
}

// Push adds an item. When the queue is full, the worst item is given up if the
// new one goes before it; the item that found no room is returned.
func (q *Queue[T]) Push(it *Item[T]) (refused *Item[T]) {
	l := lane{it.Account, it.Rank}
	it.start = max(q.virtual[it.Rank], q.ends[l])
	it.seq = q.seq
	q.seq++
	if len(q.items) >= q.limit {
		worst := q.worst()
		if worst == nil || !before(it, worst) {
			return it
		}
		heap.Remove(&q.items, worst.index)
		q.cost -= worst.Cost
		refused = worst
	}
	q.ends[l] = it.start + max(it.Cost, 1)
	q.cost += it.Cost
	heap.Push(&q.items, it)
	return refused
}

func (q *Queue[T]) worst() *Item[T] {
	var worst *Item[T]
	for _, it := range q.items {
		if worst == nil || before(worst, it) {
			worst = it
		}
	}
	return worst
}

// Pop takes the item to serve next.
func (q *Queue[T]) Pop() (*Item[T], bool) {
	if len(q.items) == 0 {
		return nil, false
	}
	it := heap.Pop(&q.items).(*Item[T])
	q.cost -= it.Cost
	q.virtual[it.Rank] = max(q.virtual[it.Rank], it.start)
	if len(q.items) == 0 {
		clear(q.ends)
		clear(q.virtual)
		q.cost = 0
	}
	return it, true
}

// Peek returns the item that Pop would take.
func (q *Queue[T]) Peek() (*Item[T], bool) {
	if len(q.items) == 0 {
		return nil, false
	}
	return q.items[0], true
}

// Remove takes an item out that has not been popped; it reports whether it was there.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.index < 0 || it.index >= len(q.items) || q.items[it.index] != it {
		return false
	}
	heap.Remove(&q.items, it.index)
	q.cost -= it.Cost
	return true
}

// Ahead returns the cost of what would be served before a new item of the account and rank.
func (q *Queue[T]) Ahead(account string, rank uint32) float64 {
	probe := &Item[T]{Account: account, Rank: rank, seq: q.seq}
	probe.start = max(q.virtual[rank], q.ends[lane{account, rank}])
	ahead := 0.0
	for _, it := range q.items {
		if before(it, probe) {
			ahead += it.Cost
		}
	}
	return ahead
}

// Len returns how many items wait.
func (q *Queue[T]) Len() int { return len(q.items) }

// Cost returns the summed cost of the waiting items.
func (q *Queue[T]) Cost() float64 { return q.cost }

func before[T any](a, b *Item[T]) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return a.seq < b.seq
}

// items is a heap ordered by before.
type items[T any] []*Item[T]

func (s items[T]) Len() int           { return len(s) }
func (s items[T]) Less(i, j int) bool { return before(s[i], s[j]) }
func (s items[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

func (s *items[T]) Push(x any) {
	it := x.(*Item[T])
	it.index = len(*s)
	*s = append(*s, it)
}

func (s *items[T]) Pop() any {
	last := len(*s) - 1
	it := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	it.index = -1
	return it
}
