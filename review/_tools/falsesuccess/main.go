// Command falsesuccess plays a case on the rule MIXED: while the processes of the core are down for less than a second, one replica sheds
// part of its requests. Some streams go on from there to a replica of another software version, whose first event comes shortly before the
// route's TimeoutMs, as other prompts are read before.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/citronglade/citronglade/review/_tools/lab"
)

const (
	timeoutMs  = 1000 // of the route
	deadlineMs = 5000 // of the consumers
	slots      = 4    // of each replica
	queue      = 2    // requests that a replica queues beyond its slots
	// prompt is the size of a prompt in tokens, and tokensPerMs how many of them a replica reads in a millisecond, one prompt after the
	// other. As on the site's sheet, 56.6 are read in a millisecond.
	prompt      = 14_500
	tokensPerMs = 56.6
	step        = 4 * time.Millisecond // between two events
	events      = 10
	down        = 950 * time.Millisecond // how long the processes of the core are down
	rounds      = 11
	burst       = 26 // requests of a round
	replicas    = 7
	// shed is the share of its requests that the grey replica rejects, as on the site's sheet; it is one of seven.
	shed = 0.45
)

// engine is a replica's batch: requests take a slot, wait for one in a short queue, or are rejected. Prompts are read one after the other.
type engine struct {
	mu      sync.Mutex
	held    int // requests in slots and in the queue
	slots   chan struct{}
	reading sync.Mutex
}

func (e *engine) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held >= slots+queue {
		return false
	}
	e.held++
	return true
}

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held--
}

func main() {
	l := lab.New(5, 2)
	l.StartAll(true)
	var mu sync.Mutex
	rejected := 0
	grey := false // the first replica sheds requests
	for i := range replicas {
		e := &engine{slots: make(chan struct{}, slots)}
		r := &lab.Replica{
			ID: fmt.Sprintf("i-llm%d", i+1), Service: "llm", Software: []string{"v1", "v2"}[i%2], Slots: slots, IP: l.Address(60 + i),
			Models: []lab.Model{{Name: "m", Version: 1, Adapters: []string{}}},
		}
		r.Serve = func(w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get("X-Request-Id")
			_, _ = io.ReadAll(q.Body)
			mu.Lock()
			sheds := i == 0 && grey && rand.Float64() < shed
			mu.Unlock()
			if sheds || !e.enter() {
				mu.Lock()
				rejected++
				mu.Unlock()
				l.Logf("replica %s (%s) rejects %s", r.ID, r.Software, id)
				lab.NotExecuted(w)
				return
			}
			defer e.leave()
			select {
			case e.slots <- struct{}{}:
			case <-q.Context().Done():
				l.Logf("replica %s: the channel of %s was closed in the queue", r.ID, id)
				return
			}
			defer func() { <-e.slots }()
			e.reading.Lock()
			if q.Context().Err() == nil {
				time.Sleep(time.Duration(float64(r.Run(q)) / tokensPerMs * float64(time.Millisecond)))
			}
			e.reading.Unlock()
			if q.Context().Err() != nil {
				l.Logf("replica %s: the channel of %s was closed before the first event", r.ID, id)
				return
			}
			l.Logf("replica %s (%s) sends the first event of %s", r.ID, r.Software, id)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Server-Stamp", r.Stamp(id))
			w.Header().Set("X-Weight-Versions", "1")
			for n := 1; n <= events; n++ {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: token\n\n", n); err != nil {
					return
				}
				_ = http.NewResponseController(w).Flush()
				time.Sleep(step)
			}
		}
		l.StartReplica(r)
	}
	l.Order(http.MethodPut, "/api/config", lab.Config(1, []map[string]any{{
		"Name": "r-llm", "Host": "jepu9.example", "PathPrefix": "/llm/", "Type": "streaming", "TimeoutMs": timeoutMs, "TargetLatencyMs": 600, "Priority": 1,
		"Service": "llm", "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "TargetGapMs": 400,
	}}, []map[string]any{lab.EngineService("llm", "m", slots)}, []map[string]any{lab.Tenant("t", "key-t", false)}))
	l.AwaitReady()

	var consumers sync.WaitGroup
	statuses := map[string]int{}
	send := func(n int) {
		a := l.Send(l.Edges[n%2], lab.Request{
			Method: http.MethodPost, Host: "jepu9.example", Path: "/llm/x", Body: fmt.Sprintf("prompt %d", n), DeadlineMs: deadlineMs,
			Header: map[string]string{
				"X-Key": "key-t", "X-Model": "m", "X-Token-Count": fmt.Sprintf("%d,%d", prompt, events), "X-Prompt-Prefix": fmt.Sprintf("aa%d:50,bb%d:%d", n%6, n, prompt-50),
			},
		})
		mu.Lock()
		defer mu.Unlock()
		statuses[fmt.Sprintf("%d complete=%v", a.Status, a.Complete)]++
		if a.Status/100 == 2 && a.Header.Get("X-Server-Stamp") == "" {
			l.Broken("MIXED: %s got an answer with status %d and %d bytes (complete: %v) without the receipt of a replica, after %d ms", a.ID, a.Status, len(a.Body), a.Complete, a.Took.Milliseconds())
		}
	}
	for n := range 60 { // usual traffic
		consumers.Go(func() { send(n) })
		time.Sleep(100 * time.Millisecond)
	}
	consumers.Wait()

	for round := range rounds {
		l.Logf("round %d", round+1)
		if l.Trouble {
			lab.KillAll(l.Cores...)
			l.Logf("all processes of the core are killed")
		}
		killed := time.Now()
		mu.Lock()
		grey = l.Trouble
		mu.Unlock()
		for n := range burst {
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
		grey = false
		mu.Unlock()
		time.Sleep(6 * time.Second)
	}
	l.Logf("consumers got %v; %d requests were rejected by replicas", statuses, rejected)
	l.Finish()
}
