package model

import (
	"container/list"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"trefoildale.example/trefoildale/internal/engine"
	"trefoildale.example/trefoildale/internal/fake/fault"
	"trefoildale.example/trefoildale/internal/fake/reply"
)

// blockTokens is the number of tokens in a cached block.
const blockTokens = engine.PrefixBlockBytes / 4

// maxEvents bounds the cache events that can be read.
const maxEvents = 4096

type block struct {
	model  string
	prefix string
}

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

// cache is the prompt-prefix cache: blocks in least-recently-used order.
type cache struct {
	max          int // blocks
	recentlyUsed *list.List
	blocks       map[string]*list.Element
	seq          int64
	events       []timedEvent
}

func newCache(tokens int64) *cache {
	return &cache{
		max:          int(tokens / blockTokens),
		recentlyUsed: list.New(),
		blocks:       map[string]*list.Element{},
	}
}

// cachedTokens returns the number of leading prompt tokens that are cached, and
// marks their blocks as used.
func (c *cache) cachedTokens(prefixes []string) int64 {
	n := int64(0)
	for _, p := range prefixes {
		el, ok := c.blocks[p]
		if !ok {
			break
		}
		c.recentlyUsed.MoveToFront(el)
		n += blockTokens
	}
	return n
}

func (c *cache) insert(model string, prefixes []string) {
	for _, p := range prefixes {
		if el, ok := c.blocks[p]; ok {
			c.recentlyUsed.MoveToFront(el)
			continue
		}
		b := block{
			model:  model,
			prefix: p,
		}
		c.blocks[p] = c.recentlyUsed.PushFront(b)
		c.recordEvent(b, false)
		for len(c.blocks) > c.max {
			c.remove(c.recentlyUsed.Back())
		}
	}
}

// dropModel evicts the blocks of an unloaded model.
func (c *cache) dropModel(model string) {
	for el := c.recentlyUsed.Front(); el != nil; {
		next := el.Next()
		if el.Value.(block).model == model {
			c.remove(el)
		}
		el = next
	}
}

func (c *cache) remove(el *list.Element) {
	b := c.recentlyUsed.Remove(el).(block)
	delete(c.blocks, b.prefix)
	c.recordEvent(b, true)
}

func (c *cache) recordEvent(b block, evicted bool) {
	c.seq++
	c.events = append(c.events, timedEvent{
		CacheEvent: engine.CacheEvent{
			Seq:     c.seq,
			Model:   b.model,
			Prefix:  b.prefix,
			Evicted: evicted,
		},
		at: time.Now(),
	})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		reply.Refuse(w, http.StatusBadRequest, "bad-request", "after must be a number")
		return
	}
	out := []engine.CacheEvent{}
	if e.faults.Active(fault.StaleReports, r) {
		reply.JSON(w, http.StatusOK, out)
		return
	}
	e.mu.Lock()
	limit := time.Now().Add(-e.opts.CacheLag)
	for _, ev := range e.cache.events {
		if ev.at.After(limit) {
			break
		}
		if ev.Seq <= after || e.opts.CacheGap > 0 && ev.Seq%e.opts.CacheGap == 0 {
			continue
		}
		out = append(out, ev.CacheEvent)
	}
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, out)
}

// kvCache is an exported KV cache. It has no key and value data.
type kvCache struct {
	Model    string   `json:"model"`
	Prefixes []string `json:"prefixes"`
	Tokens   int64    `json:"tokens"`
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	req, ok := e.requests[r.PathValue("id")]
	var out kvCache
	if ok {
		out = kvCache{
			Model:    req.model,
			Prefixes: req.prefixes,
			Tokens:   req.promptTokens,
		}
		ok = req.prefillLeft <= 0
	}
	e.mu.Unlock()
	if !ok {
		reply.Refuse(w, http.StatusNotFound, "unknown-stream", "no KV cache for this request")
		return
	}
	reply.JSON(w, http.StatusOK, out)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var in kvCache
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&in); err != nil || in.Model == "" {
		reply.Refuse(w, http.StatusBadRequest, "bad-request", "want an exported KV cache")
		return
	}
	e.mu.Lock()
	e.cache.insert(in.Model, in.Prefixes)
	if len(e.imported) >= maxFinished {
		clear(e.imported)
	}
	e.imported[r.PathValue("id")] = true
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, struct{}{})
}
