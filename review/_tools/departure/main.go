// Command departure plays a case on the rule DRAIN: a replica deregisters, the control machine acknowledges it, and all processes are
// killed right after that and are back within a second. The replica goes on to serve for some seconds, as it may.
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
	// lingering is how long the replica goes on to serve after the acknowledgement.
	lingering = 14 * time.Second
	// down is how long the processes are down.
	down = 800 * time.Millisecond
	// inTouchAfter is how long after the last start the machines count as in touch again: ContactMs, and a little more to be safe.
	inTouchAfter = lab.ContactMs*time.Millisecond + 100*time.Millisecond
)

func main() {
	l := lab.New(5, 2)
	l.StartAll(true)

	type arrival struct {
		replica, request string
		at               time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival
	var replicas []*lab.Replica
	for i := range 3 {
		r := &lab.Replica{ID: fmt.Sprintf("i-app%d", i+1), Service: "app", Software: "v1", Slots: 6, IP: l.Address(60 + i)}
		r.Serve = func(w http.ResponseWriter, q *http.Request) {
			mu.Lock()
			arrivals = append(arrivals, arrival{r.ID, q.Header.Get("X-Request-Id"), time.Now()})
			mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			w.Header().Set("X-Server-Stamp", r.Stamp(q.Header.Get("X-Request-Id")))
			_, _ = io.WriteString(w, "stock")
		}
		replicas = append(replicas, l.StartReplica(r))
	}
	l.Order(http.MethodPut, "/api/config", lab.Config(1, []map[string]any{{
		"Name": "r-app", "Host": "jepu9.example", "PathPrefix": "/app/", "Type": "safe", "TimeoutMs": 4000, "TargetLatencyMs": 300, "Priority": 1,
		"Service": "app", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false, "TargetGapMs": 0,
	}}, []map[string]any{lab.PlainService("app")}, []map[string]any{lab.Tenant("t", "key-t", false)}))
	l.AwaitReady()

	// Consumers send 100 requests a second all the time.
	stop := make(chan struct{})
	var consumers sync.WaitGroup
	statuses := map[int]int{}
	send := func(n int) {
		a := l.Send(l.Edges[n%2], lab.Request{Method: http.MethodGet, Host: "jepu9.example", Path: fmt.Sprintf("/app/%d/", n), DeadlineMs: 4000, Header: map[string]string{"X-Key": "key-t"}})
		mu.Lock()
		defer mu.Unlock()
		statuses[a.Status]++
	}
	consumers.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				consumers.Go(func() { send(n) })
			}
		}
	})
	time.Sleep(8 * time.Second) // all machines have been up for CatchUpS, and the saved state is older than the departure

	leaving := replicas[1]
	acked := leaving.Leave()
	lastStart := time.Time{}
	if l.Trouble {
		lab.KillAll(append(append([]*lab.Host{}, l.Cores...), l.Edges...)...)
		l.Logf("all processes are killed, %d ms after the acknowledgement", time.Since(acked).Milliseconds())
		time.Sleep(down)
		l.StartAll(false)
		lastStart = time.Now()
		l.Logf("all processes are started again, %d ms after the acknowledgement", time.Since(acked).Milliseconds())
	}
	time.Sleep(time.Until(acked.Add(lingering)))
	close(stop)
	consumers.Wait()

	mu.Lock()
	defer mu.Unlock()
	l.Logf("consumers got these statuses (0 is none): %v", statuses)
	total, late, counted := 0, 0, 0
	var first arrival
	for _, a := range arrivals {
		total++
		if a.replica != leaving.ID || !a.at.After(acked.Add(lab.DrainMs*time.Millisecond)) {
			continue
		}
		late++
		if !lastStart.IsZero() && a.at.Before(lastStart.Add(inTouchAfter)) {
			continue
		}
		counted++
		if counted == 1 {
			first = a
		}
	}
	l.Logf("%d requests reached replicas; %d reached %s later than DrainMs after its acknowledgement, %d of them sent by machines in touch", total, late, leaving.ID, counted)
	if counted > 0 {
		l.Broken("DRAIN: %d requests reached replica %s later than DrainMs after its departure was acknowledged, the first (%s) after %.1f s", counted, leaving.ID, first.request, first.at.Sub(acked).Seconds())
	}
	if total < 200 || statuses[200] < 200 {
		l.Fail("only %d requests were served", statuses[200])
	}
	l.Finish()
}
