package idem

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"sesamehill.example/sesamehill/internal/target"
)

// cacheEntry is what this host knows about a key that it need not read again.
type cacheEntry struct {
	fingerprint string
	// answer is nil if the request was dispatched and gave no answer.
	answer *target.Answer
}

func (k cacheEntry) size() int {
	// A row key, a fingerprint and the list entry take about 256 bytes.
	n := 256
	if k.answer != nil {
		n += answerSize(*k.answer)
	}
	return n
}

func answerSize(a target.Answer) int {
	n := len(a.Body)
	for k, v := range a.Header {
		n += len(k) + len(v)
	}
	return n
}

// cache holds the most recently used keys, bounded by number and bytes.
type cache struct {
	mu    sync.Mutex
	lru   *lru.LRU[string, cacheEntry]
	bytes int
	limit int
}

func newCache(keys, bytes int) *cache {
	c := &cache{limit: bytes}
	l, err := lru.NewLRU(max(keys, 1), func(_ string, k cacheEntry) { c.bytes -= k.size() })
	if err != nil {
		panic(err) // the size is positive
	}
	c.lru = l
	return c
}

func (c *cache) get(key string) (cacheEntry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lru.Get(key)
}

func (c *cache) add(key string, k cacheEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lru.Remove(key)
	c.bytes += k.size()
	c.lru.Add(key, k)
	for c.bytes > c.limit && c.lru.Len() > 0 {
		c.lru.RemoveOldest()
	}
}
