package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/citronglade/citronglade/review/_tools-3/rig"
)

const (
	yardHost = "yard.example"
	yardKey  = "key-of-the-yard"
	// The servers crash together a few times, are down for downTime and up for upTime.
	crashes, downTime, upTime = 3, 3 * time.Second, 4 * time.Second
)

func yardConfig(version int, added bool) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": yardHost, "PathPrefix": prefix, "Type": kind, "TimeoutMs": 2000, "TargetLatencyMs": 300, "Priority": 2,
			"Service": "yard-app", "MaxAttempts": attempts, "Public": false, "Sticky": false, "Resumable": false,
		}
	}
	routes := []map[string]any{route("reserve", "/reserve/", "unsafe", 1), route("stock", "/stock/", "safe", 2)}
	if added {
		routes = append(routes, route("prices", "/prices/", "safe", 2))
	}
	office := route("office", "/office/", "safe", 2)
	office["Service"] = "office-app"
	service := func(name string) map[string]any {
		return map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 96, "Protocol": "h1", "Tls": false}
	}
	return map[string]any{
		"Version": version, "Routes": append(routes, office),
		"Services": []map[string]any{service("yard-app"), service("office-app")},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []map[string]any{{"Name": "yard", "ApiKeys": []string{yardKey}, "Priority": 2, "Isolated": false}},
	}
}

// served counts the requests of one route in one part of the run.
type served struct {
	mu        sync.Mutex
	sent, got map[string]int
	statuses  map[string]map[int]int
}

func newServed() *served {
	return &served{sent: map[string]int{}, got: map[string]int{}, statuses: map[string]map[int]int{}}
}

func (s *served) add(route string, o rig.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[route]++
	if o.OK {
		s.got[route]++
	}
	if s.statuses[route] == nil {
		s.statuses[route] = map[int]int{}
	}
	s.statuses[route][o.Status]++
}

func (s *served) share(route string) float64 {
	return float64(s.got[route]) / float64(max(s.sent[route], 1))
}

func workOf(*http.Request) time.Duration {
	return time.Duration(30+rand.IntN(90)) * time.Millisecond
}

// playLookups adds a route for lookups, lets all servers of its service crash together a few times, and compares in the steady state afterwards how often the
// requests on the added route are served with how often those on the first routes are.
func playLookups(r *rig.Record, trouble bool) (bool, error) {
	p, err := rig.Start(rig.Settings{Repository: ".", Core: 5, Edges: 6, MemoryMB: [2]int{280, 284}}, r)
	if err != nil {
		return false, errCannotRun{err.Error()}
	}
	defer p.Stop()
	var servers []*rig.Server
	for i, zone := range []string{"umea-a", "umea-b", "lulea-a", "sundsvall-a"} {
		s := p.NewServer(fmt.Sprint("yard", i), "yard-app", zone, 6)
		s.Work = workOf
		if err := s.Begin(); err != nil {
			return false, errCannotRun{err.Error()}
		}
		servers = append(servers, s)
	}
	for i, zone := range []string{"umea-a", "lulea-a"} {
		s := p.NewServer(fmt.Sprint("office", i), "office-app", zone, 6)
		s.Work = workOf
		if err := s.Begin(); err != nil {
			return false, errCannotRun{err.Error()}
		}
	}
	if p.Config(yardConfig(1, false)) != http.StatusOK || !p.AwaitReady(20*time.Second) {
		return false, errCannotRun{"the installation doesn't get ready"}
	}
	phases := []*served{newServed(), newServed(), newServed()} // before, around and after the disruption
	phase, stop := 0, make(chan struct{})
	var mu sync.Mutex
	current := func() *served {
		mu.Lock()
		defer mu.Unlock()
		return phases[phase]
	}
	next := func() {
		mu.Lock()
		defer mu.Unlock()
		phase++
		r.Add("phase", fmt.Sprint(phase))
	}
	var sending sync.WaitGroup
	load := func(route string, perSecond float64, request func() rig.Request) {
		sending.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration((0.5 + rand.Float64()) / perSecond * float64(time.Second))):
				}
				into := current()
				sending.Go(func() { into.add(route, p.Send(request())) })
			}
		})
	}
	load("reserve", 16, func() rig.Request {
		return rig.Request{Method: http.MethodPost, Host: yardHost, Target: "/reserve/lot", Key: yardKey, Body: []byte("lot " + rig.NewID()), Deadline: 4 * time.Second, Retries: 1}
	})
	load("stock", 8, func() rig.Request {
		return rig.Request{Method: http.MethodGet, Host: yardHost, Target: "/stock/" + rig.NewID(), Key: yardKey, Deadline: 4 * time.Second, Retries: 1, Safe: true}
	})
	load("office", 8, func() rig.Request {
		return rig.Request{Method: http.MethodGet, Host: yardHost, Target: "/office/" + rig.NewID(), Key: yardKey, Deadline: 4 * time.Second, Retries: 1, Safe: true}
	})
	time.Sleep(3 * time.Second)
	if p.Config(yardConfig(2, true)) != http.StatusOK {
		return false, errCannotRun{"the second config isn't acknowledged"}
	}
	time.Sleep(3 * time.Second)
	load("prices", 40, func() rig.Request {
		return rig.Request{Method: http.MethodGet, Host: yardHost, Target: "/prices/today?lot=" + rig.NewID(), Key: yardKey, Deadline: 4 * time.Second, Retries: 1, Safe: true}
	})
	time.Sleep(5 * time.Second)
	next()
	for range crashes {
		if trouble {
			for _, s := range servers {
				s.Crash()
			}
		}
		time.Sleep(downTime)
		if trouble {
			for _, s := range servers {
				if err := s.Begin(); err != nil {
					return false, errCannotRun{err.Error()}
				}
			}
		}
		time.Sleep(upTime)
	}
	time.Sleep(12 * time.Second)
	next()
	time.Sleep(20 * time.Second)
	close(stop)
	sending.Wait()
	for i, name := range []string{"before", "around", "after"} {
		for _, route := range []string{"reserve", "stock", "office", "prices"} {
			r.Result(fmt.Sprintf("%s the disruption: %s: %d of %d served, last statuses %v", name, route, phases[i].got[route], phases[i].sent[route], phases[i].statuses[route]))
		}
	}
	after := phases[2]
	first := float64(after.got["reserve"]+after.got["stock"]) / float64(max(after.sent["reserve"]+after.sent["stock"], 1))
	broken := after.sent["prices"] >= 20 && after.share("prices") < first/4
	r.Result(fmt.Sprintf("CONFIG: %d requests on the added route, %.3f of them served, %.3f on the first routes: broken %v", after.sent["prices"], after.share("prices"), first, broken))
	return broken, nil
}
