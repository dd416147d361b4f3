package value

// Cache is a map that forgets the least recently used of more than size entries.
// It is not safe for concurrent use.
type Cache[K comparable, V any] struct {
	size  int
	items map[K]*cached[K, V]
	// head is the most recently used entry; the list is circular through it.
	head *cached[K, V]
}

type cached[K comparable, V any] struct {
	key        K
	held       V
	prev, next *cached[K, V]
}

// NewCache returns a cache of at most size entries.
func NewCache[K comparable, V any](size int) *Cache[K, V] {
	return &Cache[K, V]{size: max(size, 1), items: map[K]*cached[K, V]{}}
}

// Look returns the value under k and marks it used.
func (c *Cache[K, V]) Look(k K) (v V, ok bool) {
	it, ok := c.items[k]
	if !ok {
		return v, false
	}
	c.unlink(it)
	c.link(it)
	return it.held, true
}

// Put sets the value under k and forgets the oldest entry when there are too many.
func (c *Cache[K, V]) Put(k K, v V) {
	it, ok := c.items[k]
	if ok {
		c.unlink(it)
	} else {
		it = &cached[K, V]{key: k}
		c.items[k] = it
	}
	it.held = v
	c.link(it)
	if len(c.items) > c.size {
		c.Drop(c.head.prev.key)
	}
}

// Drop forgets k.
func (c *Cache[K, V]) Drop(k K) {
	if it, ok := c.items[k]; ok {
		c.unlink(it)
		delete(c.items, k)
	}
}

// All returns the values, the most recently used first.
func (c *Cache[K, V]) All() []V {
	all := make([]V, 0, len(c.items))
	for it := c.head; it != nil && len(all) < len(c.items); it = it.next {
		all = append(all, it.held)
	}
	return all
}

// Oldest drops the least recently used entry and returns it.
func (c *Cache[K, V]) Oldest() (k K, v V, ok bool) {
	if c.head == nil {
		return k, v, false
	}
	it := c.head.prev
	c.Drop(it.key)
	return it.key, it.held, true
}

// Len returns how many entries are held.
func (c *Cache[K, V]) Len() int { return len(c.items) }

func (c *Cache[K, V]) unlink(it *cached[K, V]) {
	if it.next == it {
		c.head = nil
		return
	}
	it.prev.next, it.next.prev = it.next, it.prev
	if c.head == it {
		c.head = it.next
	}
}

func (c *Cache[K, V]) link(it *cached[K, V]) {
	if c.head == nil {
		it.prev, it.next = it, it
	} else {
		it.prev, it.next = c.head.prev, c.head
		it.prev.next, it.next.prev = it, it
	}
	c.head = it
}
