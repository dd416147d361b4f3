package limit

import (
	"container/heap"
	"time"
)

// Item is a unit of work in a Queue.
type Item[T any] struct {
	Account string
	// Rank is the priority class; lower ranks are always served first.
	Rank uint32
	// Cost is the expected work, in tokens.
	Cost float64
	// Deadline is when the client disconnects.
	Deadline time.Time
	Value    T

	startTag float64
	seq      uint64
	index    int
}

// Queue orders waiting work by rank, then in fair shares among accounts.
//
// Within a rank it uses start-time fair queueing: an account's next item starts where its previous
// one finished in virtual time. The load pattern is a burst from one account, which queues behind
// the other accounts' next items instead of before them. Queue is not safe for concurrent use.
type Queue[T any] struct {
	limit int
	items items[T]
	seq   uint64
	// virtualTime is the start tag of the item served last, for each rank.
	virtualTime map[uint32]float64
	// finishTags holds the finish tag of each account's latest item.
	finishTags map[flow]float64
	cost       float64
}

type flow struct {
	account string
	rank    uint32
}

// NewQueue returns a queue that holds at most limit items.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, virtualTime: map[uint32]float64{}, finishTags: map[flow]float64{}}
}

// Push adds an item. When the queue is full, it drops whichever is last in order, the new item or
// a queued one, and returns the dropped item.
func (q *Queue[T]) Push(it *Item[T]) (rejected *Item[T]) {
	f := flow{it.Account, it.Rank}
	it.startTag = max(q.virtualTime[it.Rank], q.finishTags[f])
	it.seq = q.seq
	q.seq++
	if len(q.items) >= q.limit {
		lowest := q.lowest()
		if lowest == nil || !before(it, lowest) {
			return it
		}
		heap.Remove(&q.items, lowest.index)
		q.cost -= lowest.Cost
		rejected = lowest
	}
	q.finishTags[f] = it.startTag + max(it.Cost, 1)
	q.cost += it.Cost
	heap.Push(&q.items, it)
	return rejected
}

func (q *Queue[T]) lowest() *Item[T] {
	var lowest *Item[T]
	for _, it := range q.items {
		if lowest == nil || before(lowest, it) {
			lowest = it
		}
	}
	return lowest
}

// Pop removes and returns the next item to serve.
func (q *Queue[T]) Pop() (*Item[T], bool) {
	if len(q.items) == 0 {
		return nil, false
	}
	it := heap.Pop(&q.items).(*Item[T])
	q.cost -= it.Cost
	q.virtualTime[it.Rank] = max(q.virtualTime[it.Rank], it.startTag)
	if len(q.items) == 0 {
		clear(q.finishTags)
		clear(q.virtualTime)
		q.cost = 0
	}
	return it, true
}

// PopPreferred is Pop, but of the items with the rank of the one that is first, the first that is preferred goes before the others.
func (q *Queue[T]) PopPreferred(preferred func(T) bool) (*Item[T], bool) {
	first, ok := q.Peek()
	if !ok {
		return nil, false
	}
	var best *Item[T]
	for _, it := range q.items {
		if it.Rank == first.Rank && (best == nil || before(it, best)) && preferred(it.Value) {
			best = it
		}
	}
	if best == nil || best == first {
		return q.Pop()
	}
	q.Remove(best)
	return best, true
}

// Peek returns the item that Pop would return, without removing it.
func (q *Queue[T]) Peek() (*Item[T], bool) {
	if len(q.items) == 0 {
		return nil, false
	}
	return q.items[0], true
}

// Remove removes an item that has not been popped and reports whether it was queued.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.index < 0 || it.index >= len(q.items) || q.items[it.index] != it {
		return false
	}
	heap.Remove(&q.items, it.index)
	q.cost -= it.Cost
	return true
}

// Ahead returns the total cost of the items that would be served before a new item of the account
// and rank.
func (q *Queue[T]) Ahead(account string, rank uint32) float64 {
	probe := &Item[T]{Account: account, Rank: rank, seq: q.seq}
	probe.startTag = max(q.virtualTime[rank], q.finishTags[flow{account, rank}])
	ahead := 0.0
	for _, it := range q.items {
		if before(it, probe) {
			ahead += it.Cost
		}
	}
	return ahead
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Cost returns the total cost of the waiting items.
func (q *Queue[T]) Cost() float64 { return q.cost }

func before[T any](a, b *Item[T]) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
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
