// Command falsesuccess plays a case on the rule MIXED: while the processes of the core are down for less than a second and a release is under way, some
// requests are rejected by a full replica of one software version and go to a replica of the other version, whose answer begins shortly
// before the route's TimeoutMs.
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
	timeoutMs  = 1000 // of the route
	deadlineMs = 5000 // of the consumers
	slots      = 4    // of each replica
	queue      = 1    // requests that a replica queues beyond its slots
	firstEvent = 850 * time.Millisecond
	events     = 10
	down       = 950 * time.Millisecond // how long the processes of the core are down
)

// engine is a replica with slots; a request takes one from its arrival to the end of its answer.
type engine struct {
	mu    sync.Mutex
	taken int
}

func (e *engine) take() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.taken >= slots+queue {
		return false
	}
	e.taken++
	return true
}

func (e *engine) free() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.taken--
}

func main() {
	l := lab.New(5, 2)
	l.StartAll(true)
	var mu sync.Mutex
	stamps := map[string]string{} // of the replica that ran a request last
	rejected := 0
	var busy bool
	for i := range 4 {
		e := &engine{}
		r := &lab.Replica{
			ID: fmt.Sprintf("i-llm%d", i+1), Service: "llm", Software: []string{"v1", "v2"}[i%2], Slots: slots, IP: l.Address(60 + i),
			Models: []lab.Model{{Name: "m", Version: 1, Adapters: []string{}}},
		}
		r.Serve = func(w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get("X-Request-Id")
			_, _ = io.ReadAll(q.Body)
			if !e.take() {
				mu.Lock()
				rejected++
				mu.Unlock()
				l.Logf("replica %s (%s) is full and rejects %s", r.ID, r.Software, id)
				lab.NotExecuted(w)
				return
			}
			defer e.free()
			mu.Lock()
			wait := 20 * time.Millisecond
			if busy {
				wait = firstEvent
			}
			mu.Unlock()
			select {
			case <-q.Context().Done():
				l.Logf("replica %s: the channel of %s was closed before the first event", r.ID, id)
				return
			case <-time.After(wait):
			}
			mu.Lock()
			stamps[id] = r.Stamp(id)
			mu.Unlock()
			l.Logf("replica %s (%s) sends the first event of %s", r.ID, r.Software, id)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Server-Stamp", r.Stamp(id))
			w.Header().Set("X-Weight-Versions", "1")
			for n := 1; n <= events; n++ {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: token\n\n", n); err != nil {
					return
				}
				_ = http.NewResponseController(w).Flush()
				time.Sleep(2 * time.Millisecond)
			}
		}
		l.StartReplica(r)
	}
	l.Order(http.MethodPut, "/api/config", lab.Config(1, []map[string]any{{
		"Name": "r-llm", "Host": "jepu9.example", "PathPrefix": "/llm/", "Type": "streaming", "TimeoutMs": timeoutMs, "TargetLatencyMs": 300, "Priority": 1,
		"Service": "llm", "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "TargetGapMs": 400,
	}}, []map[string]any{lab.EngineService("llm", "m", slots)}, []map[string]any{lab.Tenant("t", "key-t", false)}))
	l.AwaitReady()

	var consumers sync.WaitGroup
	statuses := map[string]int{}
	send := func(n int) {
		a := l.Send(l.Edges[n%2], lab.Request{
			Method: http.MethodPost, Host: "jepu9.example", Path: "/llm/x", Body: fmt.Sprintf("prompt %d", n), DeadlineMs: deadlineMs,
			Header: map[string]string{"X-Key": "key-t", "X-Model": "m", "X-Token-Count": "60,10", "X-Prompt-Prefix": fmt.Sprintf("aa%d:50,bb%d:10", n%6, n)},
		})
		stamp := a.Header.Get("X-Server-Stamp")
		mu.Lock()
		defer mu.Unlock()
		statuses[fmt.Sprintf("%d complete=%v", a.Status, a.Complete)]++
		l.Logf("consumer: %s got status %d after %d ms, complete %v, receipt %q, %d bytes, Content-Length %q (%v)", a.ID, a.Status, a.Took.Milliseconds(), a.Complete, stamp, len(a.Body), a.Header.Get("Content-Length"), a.Err)
		if a.Status/100 == 2 && a.Complete && stamp == "" {
			l.Broken("MIXED: %s got a complete answer with status %d and %d bytes without the receipt of a replica, after %d ms", a.ID, a.Status, len(a.Body), a.Took.Milliseconds())
		}
	}
	for n := range 200 { // usual traffic
		consumers.Go(func() { send(n) })
		time.Sleep(25 * time.Millisecond)
	}
	consumers.Wait()

	for round := range 3 {
		l.Logf("round %d", round+1)
		if l.Trouble {
			lab.KillAll(l.Cores...)
			l.Logf("all processes of the core are killed")
		}
		killed := time.Now()
		mu.Lock()
		busy = true
		mu.Unlock()
		for n := range 24 {
			consumers.Go(func() { send(1000*(round+1) + n) })
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(time.Until(killed.Add(down)))
		if l.Trouble {
			for _, c := range l.Cores {
				c.Start(false)
			}
			l.Logf("all processes of the core are started again, after %d ms", time.Since(killed).Milliseconds())
		}
		consumers.Wait()
		mu.Lock()
		busy = false
		mu.Unlock()
		time.Sleep(6 * time.Second)
	}
	l.Logf("consumers got %v; %d requests were rejected by full replicas", statuses, rejected)
	l.Finish()
}
