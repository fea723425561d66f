// Command wall plays a case on the rule WALL: a new version of the config makes a tenant isolated. Requests of another tenant that are sent
// later than ConfigApplyMs after its acknowledgement go on to use the KV cache that the tenant's requests had made.
package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/citronglade/citronglade/review/_tools/lab"
)

const (
	isolated = "walled" // the tenant that becomes isolated; with TROUBLE=0 it is so from the start
	other    = "other"
	requests = 60   // before the change, and after it
	margin   = 1000 // in milliseconds, added to ConfigApplyMs
)

func main() {
	l := lab.New(5, 2)
	l.StartAll(true)
	var mu sync.Mutex
	var checkedSince time.Time // a request counts if it is sent later; the tenant is isolated from before that moment on
	sentAt := map[string]time.Time{}
	uses := 0
	for i := range 3 {
		r := &lab.Replica{ID: fmt.Sprintf("i-llm%d", i+1), Service: "llm", Software: "v1", Slots: 64, IP: l.Address(60 + i), Models: []lab.Model{{Name: "m", Version: 1, Adapters: []string{}}}}
		r.Used = func(q *http.Request, makers []string) {
			id, tenant, salt := q.Header.Get("X-Request-Id"), q.Header.Get("X-Tenant"), q.Header.Get("X-Cache-Salt")
			l.Logf("replica %s runs %s of tenant %s under the salt %q and uses parts made by %v", r.ID, id, tenant, salt, makers)
			mu.Lock()
			counts := !checkedSince.IsZero() && sentAt[id].After(checkedSince)
			uses += len(makers)
			mu.Unlock()
			for _, maker := range makers {
				if counts && maker != tenant && (maker == isolated || tenant == isolated) {
					l.Broken("WALL: request %s of tenant %s uses a part at %s that a request of tenant %s made under the salt %q, while %q is isolated", id, tenant, r.ID, maker, salt, isolated)
					break
				}
			}
		}
		r.Serve = func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.ReadAll(q.Body)
			r.Run(q)
			id := q.Header.Get("X-Request-Id")
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
	config := func(version int, walled bool) map[string]any {
		return lab.Config(version, []map[string]any{{
			"Name": "r-llm", "Host": "jepu9.example", "PathPrefix": "/llm/", "Type": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 500, "Priority": 1,
			"Service": "llm", "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "TargetGapMs": 400,
		}}, []map[string]any{lab.EngineService("llm", "m", 64)}, []map[string]any{lab.Tenant(isolated, "key-"+isolated, walled), lab.Tenant(other, "key-"+other, false)})
	}
	l.Order(http.MethodPut, "/api/config", config(1, !l.Trouble))
	l.AwaitReady()

	bad, n := 0, 0
	send := func(tenant string, subject int) {
		n++
		// Requests of both tenants are about the same subjects: they share all parts but the last one, which is their own.
		r := lab.Request{Method: http.MethodPost, Host: "jepu9.example", Path: "/llm/x", Body: "prompt", DeadlineMs: 5000, Header: map[string]string{
			"X-Key": "key-" + tenant, "X-Model": "m", "X-Token-Count": "3100,10", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:1000,91bd%02x:2000,e4%06x:100", subject, n),
		}}
		mu.Lock()
		sentAt[lab.PeekID()] = time.Now()
		mu.Unlock()
		a := l.Send(l.Edges[n%2], r)
		if a.Status != http.StatusOK || !a.Complete || a.Header.Get("X-Server-Stamp") == "" {
			bad++
		}
	}
	for i := range requests {
		send([]string{isolated, isolated, other}[i%3], i%6)
	}
	acked := l.Order(http.MethodPut, "/api/config", config(2, true))
	l.Logf("version 2 is acknowledged; tenant %q is isolated in it, and was so before: %v", isolated, !l.Trouble)
	time.Sleep(time.Until(acked.Add((lab.ConfigApplyMs + margin) * time.Millisecond)))
	mu.Lock()
	checkedSince = time.Now()
	mu.Unlock()
	for i := range requests {
		send([]string{isolated, other, other}[i%3], i%6)
	}
	l.Logf("%d requests, %d without a complete answer; parts were used %d times", n, bad, uses)
	if bad > n/10 {
		l.Fail("%d of %d requests weren't answered", bad, n)
	}
	l.Finish()
}
