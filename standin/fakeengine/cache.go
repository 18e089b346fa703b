package fakeengine

import (
	"container/list"
	"strings"
)

// blockTokens is the number of prompt tokens that are cached as one block.
const blockTokens = 16

// prefixCache keeps the blocks of prompt prefixes that were used last.
type prefixCache struct {
	blocks   int // capacity
	used     *list.List
	elements map[uint64]*list.Element
	events   cacheEvents
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{blocks: tokens / blockTokens, used: list.New(), elements: map[uint64]*list.Element{}}
}

// admit returns the prompt's tokens and how many of them lead it in the cache, and
// caches all its blocks.
func (c *prefixCache) admit(prompt string) (tokens, cached int) {
	fields := strings.Fields(prompt)
	hit := true
	for end := blockTokens; end <= len(fields); end += blockTokens {
		key := promptHash(strings.Join(fields[:end], " "))
		element, known := c.elements[key]
		if hit = hit && known; hit {
			cached = end
		}
		if known {
			c.used.MoveToFront(element)
			continue
		}
		c.elements[key] = c.used.PushFront(key)
		c.events.add(key, true)
		c.evict()
	}
	return len(fields), cached
}

func (c *prefixCache) evict() {
	for c.used.Len() > c.blocks {
		oldest := c.used.Back()
		key := c.used.Remove(oldest).(uint64)
		delete(c.elements, key)
		c.events.add(key, false)
	}
}
