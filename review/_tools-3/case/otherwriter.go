package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/citronglade/citronglade/review/_tools-3/rig"
)

// playOtherWriter has another writer send one entry in which every field of the platform's pages but born is missing, and counts the requests that
// servers run of routes that lead to another service.
func playOtherWriter(r *rig.Record, trouble bool) (bool, error) {
	var mu sync.Mutex
	runs := map[string]int{} // by service and route
	p, _, office, err := startYard(r, func(s *rig.Server, _ string, q *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		runs[s.Service+" "+routeOf(q.URL.Path)]++
	})
	if p != nil {
		defer p.Stop()
	}
	if err != nil {
		return false, err
	}
	c := newConsumers(p)
	c.loadFirstRoutes()
	time.Sleep(5 * time.Second)
	if trouble {
		status := p.Put("/api/instances/"+office[0].ID(), map[string]any{
			"service": "yard-app", "address": office[0].Address(), "zone": office[0].Zone, "version": "v1", "slots": 6, "state": "ready",
			"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		}, 3*time.Second)
		r.Result(fmt.Sprintf("the other writer's entry: status %d", status))
	}
	time.Sleep(15 * time.Second)
	for route, list := range c.end() {
		n := count(map[string][]rig.Attempt{route: list}, 0, r.Now())[route]
		r.Result(fmt.Sprintf("%s: %d of %d attempts served, statuses %v", route, n.got, n.sent, n.statuses))
	}
	mu.Lock()
	defer mu.Unlock()
	wrong := runs["office-app reserve"] + runs["office-app stock"] + runs["yard-app office"]
	r.Result(fmt.Sprintf("ROUTE: %d requests were run by a service to which no config allows them to go; all runs: %v", wrong, runs))
	return wrong > 0, nil
}

// routeOf returns the name of the route of a path.
func routeOf(path string) string {
	for _, route := range []string{"reserve", "stock", "office"} {
		if len(path) > len(route)+1 && path[1:len(route)+2] == route+"/" {
			return route
		}
	}
	return "unknown"
}
