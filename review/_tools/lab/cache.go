package lab

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cache is the KV cache of one replica. Parts are found only under the same text in X-Cache-Salt, for the same model, and only if all
// parts before them are there. Nothing is evicted: the cases send little.
type cache struct {
	mu     sync.Mutex
	maker  map[string]string // tenant whose request made a part, by salt, model and the parts up to it
	events [][]any
}

func newCache() *cache {
	return &cache{maker: map[string]string{}}
}

// since returns the events after a number, and waits for some at most for the given time.
func (c *cache) since(number int, wait time.Duration) [][]any {
	for end := time.Now().Add(wait); ; time.Sleep(20 * time.Millisecond) {
		c.mu.Lock()
		events := append([][]any{}, c.events[min(max(number, 0), len(c.events)):]...)
		c.mu.Unlock()
		if len(events) > 0 || time.Now().After(end) {
			return events
		}
	}
}

// makerOf returns who made a part, false if it isn't there.
func (c *cache) makerOf(key string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maker, ok := c.maker[key]
	return maker, ok
}

func (c *cache) add(key, maker string, event []any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.maker[key]; !ok {
		c.maker[key] = maker
		c.events = append(c.events, append([]any{len(c.events) + 1}, event...))
	}
}

// Run takes the parts of a request's prompt from this replica's cache, then from the source that X-Kv-Fetch names, and makes the rest. It
// tells Used who made the parts that it took, and returns the number of tokens that had to be read.
func (r *Replica) Run(q *http.Request) (read int) {
	salt, model, tenant := q.Header.Get("X-Cache-Salt"), q.Header.Get("X-Model"), q.Header.Get("X-Tenant")
	r.lab.mu.Lock()
	source := r.lab.caches[q.Header.Get("X-Kv-Fetch")]
	r.lab.mu.Unlock()
	var makers []string
	key, found := salt+"|"+model, true
	for _, part := range strings.Split(q.Header.Get("X-Prompt-Prefix"), ",") {
		id, count, _ := strings.Cut(part, ":")
		tokens, _ := strconv.Atoi(count)
		key += "|" + part
		maker, ok := r.cache.makerOf(key)
		if !ok && source != nil {
			maker, ok = source.makerOf(key)
		}
		if found = found && ok; found {
			makers = append(makers, maker)
		} else {
			maker = tenant
			read += tokens
		}
		r.cache.add(key, maker, []any{"+", salt, id, tokens, model})
	}
	if r.Used != nil {
		r.Used(q, makers)
	}
	return read
}
