// Command joined plays a case on the rule ORDER: a replica is cut off from the core, not from the edge machines, while it is released in
// place: it announces that it drains, gets no acknowledgement, exits and starts again under its id with a newer version of its software.
// Another replica, of the older version, crashes a moment later, and its streams go on elsewhere.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/citronglade/citronglade/review/_tools/lab"
)

const (
	events   = 12
	gap      = 50 * time.Millisecond // between two events
	exitWait = 2 * time.Second       // how long the replica waits in vain for the acknowledgement
	restart  = 100 * time.Millisecond
	mostCut  = 5 * time.Second
	// allowed is the number of streams that may hold events of two versions.
	allowed = 2
)

func main() {
	l := lab.New(5, 2)
	l.StartAll(true)
	var replicas []*lab.Replica
	for i := range 5 {
		r := &lab.Replica{
			ID: fmt.Sprintf("i-llm%d", i+1), Service: "llm", Software: "v1", Slots: 64, IP: l.Address(60 + i),
			Models: []lab.Model{{Name: "m", Version: 1, Adapters: []string{}}},
		}
		r.Serve = func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.ReadAll(q.Body)
			id, software := q.Header.Get("X-Request-Id"), r.Version()
			first := 1
			if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
				first = last + 1
				l.Logf("replica %s, software %s, goes on with %s after event %d", r.ID, software, id, last)
			}
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Server-Stamp", r.Stamp(id))
			w.Header().Set("X-Weight-Versions", "1")
			for n := first; n <= events; n++ {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, software); err != nil {
					return
				}
				_ = http.NewResponseController(w).Flush()
				time.Sleep(gap)
			}
		}
		replicas = append(replicas, l.StartReplica(r))
	}
	l.Order(http.MethodPut, "/api/config", lab.Config(1, []map[string]any{{
		"Name": "r-llm", "Host": "jepu9.example", "PathPrefix": "/llm/", "Type": "streaming", "TimeoutMs": 15000, "TargetLatencyMs": 800, "Priority": 1,
		"Service": "llm", "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "TargetGapMs": 400,
	}}, []map[string]any{lab.EngineService("llm", "m", 64)}, []map[string]any{lab.Tenant("t", "key-t", false)}))
	l.AwaitReady()

	var mu sync.Mutex
	var consumers sync.WaitGroup
	complete, joined := 0, 0
	send := func(n int) {
		a := l.Send(l.Edges[n%2], lab.Request{
			Method: http.MethodPost, Host: "jepu9.example", Path: "/llm/x", Body: "prompt", DeadlineMs: 15000,
			Header: map[string]string{"X-Key": "key-t", "X-Model": "m", "X-Token-Count": "60,40", "X-Prompt-Prefix": fmt.Sprintf("aa%d:50,bb%d:10", n%7, n)},
		})
		mu.Lock()
		defer mu.Unlock()
		if a.Status == http.StatusOK && a.Complete {
			complete++
		}
		if strings.Contains(a.Body, "data: v1") && strings.Contains(a.Body, "data: v2") {
			joined++
			l.Logf("consumer: the stream of %s, status %d, complete %v, holds events of v1 and of v2", a.ID, a.Status, a.Complete)
		}
	}
	stop := make(chan struct{})
	consumers.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(3 * time.Millisecond):
				consumers.Go(func() { send(n) })
			}
		}
	})
	time.Sleep(6 * time.Second)

	released, crashing := replicas[0], replicas[1]
	began := time.Now()
	released.ReportNow() // the cut begins right after a report
	if l.Trouble {
		released.SetCut(true)
		l.Logf("%s is cut off from the core", released.ID)
	}
	released.Drain()
	time.Sleep(exitWait)
	if _, ok := released.Deregister(); !ok {
		l.Logf("%s got no acknowledgement and exits anyway", released.ID)
	}
	released.Stop(false)
	time.Sleep(restart)
	released.Restart("v2")
	l.Logf("%s is back under its id with software v2, %.1f s after the cut", released.ID, time.Since(began).Seconds())
	if l.Trouble {
		time.Sleep(450 * time.Millisecond)
		l.Logf("%s crashes", crashing.ID)
		crashing.Stop(true)
	}
	time.Sleep(time.Until(began.Add(mostCut)))
	released.SetCut(false)
	time.Sleep(time.Second)
	if l.Trouble {
		crashing.Restart("v1")
	}
	time.Sleep(2 * time.Second)
	close(stop)
	consumers.Wait()
	l.Logf("%d streams were complete, %d hold events of two software versions, %d are allowed", complete, joined, allowed)
	if joined > allowed {
		l.Broken("ORDER: %d streams hold events of two software versions", joined)
	}
	if complete < 100 {
		l.Fail("only %d streams were complete", complete)
	}
	l.Finish()
}
