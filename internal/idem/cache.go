package idem

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"sesamehill.example/sesamehill/internal/target"
)

// cacheEntry is the outcome of a key that this host need not read from the table.
type cacheEntry struct {
	fingerprint string
	// answer is nil if the request was dispatched and returned no answer.
	answer *target.Answer
}

func (e cacheEntry) size() int {
	// A row key, a fingerprint and the list entry take about 256 bytes.
	n := 256
	if e.answer != nil {
		n += answerSize(*e.answer)
	}
	return n
}

func answerSize(a target.Answer) int {
	n := len(a.Body)
	for name, value := range a.Header {
		n += len(name) + len(value)
	}
	return n
}

// cache is an LRU cache of outcomes by key, bounded by number and bytes.
type cache struct {
	mu       sync.Mutex
	lru      *lru.LRU[string, cacheEntry]
	bytes    int
	maxBytes int
}

func newCache(maxKeys, maxBytes int) *cache {
	c := &cache{maxBytes: maxBytes}
	entries, err := lru.NewLRU(max(maxKeys, 1), func(_ string, e cacheEntry) { c.bytes -= e.size() })
	if err != nil {
		panic(err) // the size is positive
	}
	c.lru = entries
	return c
}

func (c *cache) get(key string) (cacheEntry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lru.Get(key)
}

func (c *cache) add(key string, e cacheEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lru.Remove(key)
	c.bytes += e.size()
	c.lru.Add(key, e)
	for c.bytes > c.maxBytes && c.lru.Len() > 0 {
		c.lru.RemoveOldest()
	}
}
