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

// blockTokens is the size of a cached block.
const blockTokens = engine.PrefixBytes / 4

// maxEvents bounds the cache events that are kept for readers.
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
	max    int
	order  *list.List
	blocks map[string]*list.Element
	seq    int64
	events []timedEvent
}

func newCache(tokens int64) *cache {
	return &cache{
		max:    int(tokens / blockTokens),
		order:  list.New(),
		blocks: map[string]*list.Element{},
	}
}

// hit returns how many tokens at the beginning of a prompt are cached.
func (c *cache) hit(prefixes []string) int64 {
	n := int64(0)
	for _, p := range prefixes {
		el, ok := c.blocks[p]
		if !ok {
			break
		}
		c.order.MoveToFront(el)
		n += blockTokens
	}
	return n
}

func (c *cache) insert(model string, prefixes []string) {
	for _, p := range prefixes {
		if el, ok := c.blocks[p]; ok {
			c.order.MoveToFront(el)
			continue
		}
		b := block{
			model:  model,
			prefix: p,
		}
		c.blocks[p] = c.order.PushFront(b)
		c.record(b, false)
		for len(c.blocks) > c.max {
			c.remove(c.order.Back())
		}
	}
}

// dropModel evicts the blocks of a model that is unloaded.
func (c *cache) dropModel(model string) {
	for el := c.order.Front(); el != nil; {
		next := el.Next()
		if el.Value.(block).model == model {
			c.remove(el)
		}
		el = next
	}
}

func (c *cache) remove(el *list.Element) {
	b := c.order.Remove(el).(block)
	delete(c.blocks, b.prefix)
	c.record(b, true)
}

func (c *cache) record(b block, evicted bool) {
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

// kv is an exported KV cache. The values themselves are not modelled.
type kv struct {
	Model    string   `json:"model"`
	Prefixes []string `json:"prefixes"`
	Tokens   int64    `json:"tokens"`
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	req, ok := e.requests[r.PathValue("id")]
	var out kv
	if ok {
		out = kv{
			Model:    req.model,
			Prefixes: req.prefixes,
			Tokens:   req.promptTokens,
		}
		ok = req.prefill <= 0
	}
	e.mu.Unlock()
	if !ok {
		reply.Refuse(w, http.StatusNotFound, "unknown-stream", "no KV cache for this request")
		return
	}
	reply.JSON(w, http.StatusOK, out)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var in kv
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&in); err != nil || in.Model == "" {
		reply.Refuse(w, http.StatusBadRequest, "bad-request", "want an exported KV cache")
		return
	}
	e.mu.Lock()
	e.cache.insert(in.Model, in.Prefixes)
	if len(e.imported) >= maxKept {
		clear(e.imported)
	}
	e.imported[r.PathValue("id")] = true
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, struct{}{})
}
