package fakeengine

import (
	"container/list"
	"strings"
)

// blockTokens is the number of prompt tokens in one cached block.
const blockTokens = 16

// prefixCache is an LRU cache of the blocks of prompt prefixes.
type prefixCache struct {
	capacity int        // in blocks
	lru      *list.List // keys of blocks, most recently used first
	elements map[uint64]*list.Element
	events   cacheEvents
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{capacity: tokens / blockTokens, lru: list.New(), elements: map[uint64]*list.Element{}}
}

// lookupAndStore returns the number of the prompt's tokens and the number of its leading
// tokens that were cached, and caches all its complete blocks.
func (c *prefixCache) lookupAndStore(prompt string) (tokens, cached int) {
	promptWords := strings.Fields(prompt)
	hit := true
	for end := blockTokens; end <= len(promptWords); end += blockTokens {
		key := promptHash(strings.Join(promptWords[:end], " "))
		element, known := c.elements[key]
		if hit = hit && known; hit {
			cached = end
		}
		if known {
			c.lru.MoveToFront(element)
			continue
		}
		c.elements[key] = c.lru.PushFront(key)
		c.events.add(key, true)
		c.evict()
	}
	return len(promptWords), cached
}

func (c *prefixCache) evict() {
	for c.lru.Len() > c.capacity {
		oldest := c.lru.Back()
		key := c.lru.Remove(oldest).(uint64)
		delete(c.elements, key)
		c.events.add(key, false)
	}
}
