// Command wall plays a case on the rule WALL: a new version of the config makes a tenant isolated. Requests of other tenants that are sent
// later than ConfigApplyMs after its acknowledgement go on to use the KV cache that the tenant's requests had made.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/citronglade/citronglade/review/_tools/lab"
)

// cache is the KV cache of one replica: who made each part, by salt, model and the parts up to it.
type cache struct {
	mu    sync.Mutex
	maker map[string]string
}

// use returns the tenants whose parts a prompt uses, and stores the parts that were missing as made by its own tenant. Parts are found only
// under the same text in X-Cache-Salt, and only if all parts before them are there.
func (c *cache) use(salt, model, prefix, tenant string) (used []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key, found := salt+"|"+model, true
	for _, part := range strings.Split(prefix, ",") {
		key += "|" + part
		maker, ok := c.maker[key]
		if found = found && ok; found {
			used = append(used, maker)
		} else {
			c.maker[key] = tenant
		}
	}
	return used
}

func main() {
	l := lab.New(5, 2)
	l.StartAll(true)
	var mu sync.Mutex
	var checkedSince time.Time // when a request counts, if it is sent later
	sentAt := map[string]time.Time{}
	uses := 0
	for i := range 3 {
		c := &cache{maker: map[string]string{}}
		r := &lab.Replica{ID: fmt.Sprintf("i-llm%d", i+1), Service: "llm", Software: "v1", Slots: 64, IP: l.Address(60 + i), Models: []lab.Model{{Name: "m", Version: 1, Adapters: []string{}}}}
		r.Serve = func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.ReadAll(q.Body)
			id, tenant, salt := q.Header.Get("X-Request-Id"), q.Header.Get("X-Tenant"), q.Header.Get("X-Cache-Salt")
			used := c.use(salt, q.Header.Get("X-Model"), q.Header.Get("X-Prompt-Prefix"), tenant)
			mu.Lock()
			counts := !checkedSince.IsZero() && sentAt[id].After(checkedSince)
			uses += len(used)
			mu.Unlock()
			l.Logf("replica %s runs %s of tenant %s under the salt %q and uses parts made by %v", r.ID, id, tenant, salt, used)
			for _, maker := range used {
				if counts && maker != tenant && (maker == "walled" || tenant == "walled") {
					l.Broken("WALL: request %s of tenant %s uses a part at %s that a request of tenant %s made under the salt %q, while %q is isolated", id, tenant, r.ID, maker, salt, "walled")
					break
				}
			}
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Server-Stamp", r.Stamp(id))
			w.Header().Set("X-Weight-Versions", "1")
			for n := 1; n <= 3; n++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", n)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(2 * time.Millisecond)
			}
		}
		l.StartReplica(r)
	}
	config := func(version int, isolated bool) map[string]any {
		return lab.Config(version, []map[string]any{{
			"Name": "r-llm", "Host": "jepu9.example", "PathPrefix": "/llm/", "Type": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 500, "Priority": 1,
			"Service": "llm", "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "TargetGapMs": 400,
		}}, []map[string]any{lab.EngineService("llm", "m", 64)}, []map[string]any{lab.Tenant("walled", "key-walled", isolated), lab.Tenant("other", "key-other", false)})
	}
	l.Order(http.MethodPut, "/api/config", config(1, false))
	l.AwaitReady()

	bad := 0
	n := 0
	send := func(tenant string, subject int) {
		n++
		// Requests of both tenants are about the same subjects: they share all parts but the last one, which is their own.
		r := lab.Request{Method: http.MethodPost, Host: "jepu9.example", Path: "/llm/x", Body: "prompt", DeadlineMs: 5000, Header: map[string]string{
			"X-Key": "key-" + tenant, "X-Model": "m", "X-Token-Count": "3100,10", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:1000,91bd%02x:2000,e4%06x:100", subject, n),
		}}
		at := time.Now()
		mu.Lock()
		next := lab.PeekID()
		sentAt[next] = at
		mu.Unlock()
		a := l.Send(l.Edges[n%2], r)
		if a.Status != http.StatusOK || !a.Complete || a.Header.Get("X-Server-Stamp") == "" {
			bad++
			l.Logf("consumer: %s of tenant %s got status %d, complete %v (%v)", a.ID, tenant, a.Status, a.Complete, a.Err)
		}
	}
	for i := range 60 { // before the change, when nobody is isolated
		send([]string{"walled", "walled", "other"}[i%3], i%6)
	}
	// With TROUBLE=0 the new version makes nobody isolated.
	acked := l.Order(http.MethodPut, "/api/config", config(2, l.Trouble))
	l.Logf("version 2 is acknowledged; tenant %q is isolated in it: %v", "walled", l.Trouble)
	time.Sleep(time.Until(acked.Add((lab.ConfigApplyMs + 1000) * time.Millisecond)))
	if l.Trouble {
		mu.Lock()
		checkedSince = time.Now()
		mu.Unlock()
	}
	for i := range 60 {
		send([]string{"walled", "other", "other"}[i%3], i%6)
	}
	l.Logf("%d requests, %d without a complete answer; parts were used %d times", n, bad, uses)
	if bad > n/10 {
		l.Fail("%d of %d requests weren't answered", bad, n)
	}
	l.Finish()
}
