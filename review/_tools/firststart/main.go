// Command firststart plays a case on the gate's line Acks: while the whole system starts for the first time, one process of the core is
// killed, and is back half a second later. Then the operator sends the first config until it is acknowledged.
package main

import (
	"net/http"
	"time"

	"github.com/citronglade/citronglade/review/_tools/lab"
)

const (
	// spread is the time between the starts of the first machine and of the others.
	spread = 250 * time.Millisecond
	// killAfter is when the process is killed, after its start.
	killAfter = 200 * time.Millisecond
	down      = 500 * time.Millisecond
	// patience is how long the operator goes on after all processes are up: ContactMs until the core is stable again, RecoverS, AckMs and
	// as much time again.
	patience = 40 * time.Second
)

func main() {
	l := lab.New(5, 2)
	victim := l.Cores[0]
	victim.Start(true)
	began := time.Now()
	if l.Trouble {
		time.AfterFunc(killAfter, func() {
			victim.Kill()
			l.Logf("%s is killed %d ms after its start", victim.Name, time.Since(began).Milliseconds())
		})
	}
	time.Sleep(spread)
	for _, h := range append(append([]*lab.Host{}, l.Cores[1:]...), l.Edges...) {
		h.Start(true)
	}
	l.Logf("all other machines are started %d ms after the first one", time.Since(began).Milliseconds())
	time.Sleep(time.Until(began.Add(killAfter + down)))
	if l.Trouble {
		victim.Start(false) // Bootstrap is true only at the first start of the whole system
		l.Logf("%s is started again", victim.Name)
	}
	up := time.Now()
	config := lab.Config(1, []map[string]any{{
		"Name": "r-app", "Host": "jepu9.example", "PathPrefix": "/app/", "Type": "safe", "TimeoutMs": 4000, "TargetLatencyMs": 300, "Priority": 1,
		"Service": "app", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false, "TargetGapMs": 0,
	}}, []map[string]any{lab.PlainService("app")}, []map[string]any{lab.Tenant("t", "key-t", false)})
	if !l.TryOrder(http.MethodPut, "/api/config", config, patience) {
		l.Broken("Acks: the first config has no acknowledgement %.0f s after all processes were up", time.Since(up).Seconds())
	} else {
		l.Logf("the first config is acknowledged %.1f s after all processes were up", time.Since(up).Seconds())
	}
	l.Finish()
}
