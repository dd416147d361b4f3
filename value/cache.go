package value

// Cache is a map with a maximum size that evicts the least recently used entry. It is not
// safe for concurrent use.
type Cache[K comparable, V any] struct {
	size  int
	items map[K]*cacheEntry[K, V]
	// head is the most recently used entry of a circular list; head.prev is the least recently used.
	head *cacheEntry[K, V]
}

type cacheEntry[K comparable, V any] struct {
	key        K
	value      V
	prev, next *cacheEntry[K, V]
}

// NewCache returns an empty cache with a capacity of size entries, at least one.
func NewCache[K comparable, V any](size int) *Cache[K, V] {
	return &Cache[K, V]{size: max(size, 1), items: map[K]*cacheEntry[K, V]{}}
}

// Get returns the value of key k and marks it as the most recently used.
func (c *Cache[K, V]) Get(k K) (v V, ok bool) {
	e, ok := c.items[k]
	if !ok {
		return v, false
	}
	c.unlinkEntry(e)
	c.pushFront(e)
	return e.value, true
}

// Put sets the value of key k and marks it as the most recently used. If the cache is over its
// capacity, Put evicts the least recently used entry.
func (c *Cache[K, V]) Put(k K, v V) {
	e, ok := c.items[k]
	if ok {
		c.unlinkEntry(e)
	} else {
		e = &cacheEntry[K, V]{key: k}
		c.items[k] = e
	}
	e.value = v
	c.pushFront(e)
	if len(c.items) > c.size {
		c.Delete(c.head.prev.key)
	}
}

// Delete removes key k, if present.
func (c *Cache[K, V]) Delete(k K) {
	if e, ok := c.items[k]; ok {
		c.unlinkEntry(e)
		delete(c.items, k)
	}
}

// Values returns the values, most recently used first.
func (c *Cache[K, V]) Values() []V {
	all := make([]V, 0, len(c.items))
	for e := c.head; e != nil && len(all) < len(c.items); e = e.next {
		all = append(all, e.value)
	}
	return all
}

// EvictOldest removes and returns the least recently used entry.
func (c *Cache[K, V]) EvictOldest() (k K, v V, ok bool) {
	if c.head == nil {
		return k, v, false
	}
	e := c.head.prev
	c.Delete(e.key)
	return e.key, e.value, true
}

// Len returns the number of entries.
func (c *Cache[K, V]) Len() int { return len(c.items) }

func (c *Cache[K, V]) unlinkEntry(e *cacheEntry[K, V]) {
	if e.next == e {
		c.head = nil
		return
	}
	e.prev.next, e.next.prev = e.next, e.prev
	if c.head == e {
		c.head = e.next
	}
}

func (c *Cache[K, V]) pushFront(e *cacheEntry[K, V]) {
	if c.head == nil {
		e.prev, e.next = e, e
	} else {
		e.prev, e.next = c.head.prev, c.head
		e.prev.next, e.next.prev = e, e
	}
	c.head = e
}
