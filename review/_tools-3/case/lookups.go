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
	// The servers crash together, are down for downTime and up for upTime. Steady state begins calmTime after they are back for good.
	crashes, downTime, upTime, calmTime = 1, 3 * time.Second, 4 * time.Second, 16 * time.Second

	lookupsPerSecond = 80
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

// served counts the attempts of consumers on one route.
type served struct {
	sent, got int
	statuses  map[int]int
}

func (s *served) share() float64 { return float64(s.got) / float64(max(s.sent, 1)) }

// count returns the attempts of each route that were sent in a span of the record's clock.
func count(attempts map[string][]rig.Attempt, from, to time.Duration) map[string]*served {
	counts := map[string]*served{}
	for route, list := range attempts {
		c := &served{statuses: map[int]int{}}
		counts[route] = c
		for _, a := range list {
			if a.SentAt < from || a.SentAt >= to {
				continue
			}
			c.sent++
			c.statuses[a.Status]++
			if a.Served {
				c.got++
			}
		}
	}
	return counts
}

func workOf(*http.Request) time.Duration {
	return time.Duration(30+rand.IntN(60)) * time.Millisecond
}

// startYard starts the installation, four servers of the yard's service and two of the office's, and submits the first config.
func startYard(r *rig.Record, onRun func(s *rig.Server, id string, q *http.Request)) (p *rig.Platform, yard, office []*rig.Server, err error) {
	if p, err = rig.Start(".", r); err != nil {
		return nil, nil, nil, errCannotRun{err.Error()}
	}
	begin := func(into *[]*rig.Server, service, zone string) {
		s := p.NewServer(fmt.Sprint(service, len(*into)), service, zone, 6)
		s.Work, s.OnRun = workOf, onRun
		if beginErr := s.Begin(); beginErr != nil {
			err = errCannotRun{beginErr.Error()}
		}
		*into = append(*into, s)
	}
	for _, zone := range []string{"umea-a", "umea-b", "lulea-a", "sundsvall-a"} {
		begin(&yard, "yard-app", zone)
	}
	for _, zone := range []string{"umea-a", "lulea-a"} {
		begin(&office, "office-app", zone)
	}
	if err == nil && (p.Config(yardConfig(1, false)) != http.StatusOK || !p.AwaitReady(20*time.Second)) {
		err = errCannotRun{"the installation doesn't get ready"}
	}
	return p, yard, office, err
}

// consumers sends requests at steady rates until it is stopped.
type consumers struct {
	platform *rig.Platform
	stop     chan struct{}
	sending  sync.WaitGroup
	mu       sync.Mutex
	attempts map[string][]rig.Attempt // by route
}

func newConsumers(p *rig.Platform) *consumers {
	return &consumers{platform: p, stop: make(chan struct{}), attempts: map[string][]rig.Attempt{}}
}

func (c *consumers) load(route string, perSecond float64, request func() rig.Request) {
	c.sending.Go(func() {
		for {
			select {
			case <-c.stop:
				return
			case <-time.After(time.Duration((0.5 + rand.Float64()) / perSecond * float64(time.Second))):
			}
			c.sending.Go(func() {
				attempts := c.platform.Send(request())
				c.mu.Lock()
				defer c.mu.Unlock()
				c.attempts[route] = append(c.attempts[route], attempts...)
			})
		}
	})
}

// loadFirstRoutes sends requests on the routes of the first config, at the rates of the site's services.
func (c *consumers) loadFirstRoutes() {
	c.load("reserve", 16, func() rig.Request {
		return rig.Request{Method: http.MethodPost, Host: yardHost, Target: "/reserve/lot", Key: yardKey, Body: []byte("lot " + rig.NewID()), Deadline: 4 * time.Second, Retries: 1}
	})
	for _, route := range []string{"stock", "office"} {
		c.load(route, 8, func() rig.Request {
			return rig.Request{Method: http.MethodGet, Host: yardHost, Target: "/" + route + "/" + rig.NewID(), Key: yardKey, Deadline: 4 * time.Second, Retries: 1, Safe: true}
		})
	}
}

// end stops the load and returns all attempts by route.
func (c *consumers) end() map[string][]rig.Attempt {
	close(c.stop)
	c.sending.Wait()
	return c.attempts
}

// playLookups adds a route for lookups, lets all servers of its service crash together, and compares in the steady state afterwards how often the
// requests on the added route are served with how often those on the first routes are.
func playLookups(r *rig.Record, trouble bool) (bool, error) {
	p, yard, _, err := startYard(r, nil)
	if p != nil {
		defer p.Stop()
	}
	if err != nil {
		return false, err
	}
	c := newConsumers(p)
	c.loadFirstRoutes()
	time.Sleep(3 * time.Second)
	if p.Config(yardConfig(2, true)) != http.StatusOK {
		return false, errCannotRun{"the second config isn't acknowledged"}
	}
	time.Sleep(3 * time.Second)
	added := r.Now()
	c.load("prices", lookupsPerSecond, func() rig.Request {
		return rig.Request{Method: http.MethodGet, Host: yardHost, Target: "/prices/today?lot=" + rig.NewID(), Key: yardKey, Deadline: 4 * time.Second, Retries: 1, Safe: true}
	})
	time.Sleep(6 * time.Second)
	crash := r.Now()
	for i := range crashes {
		if i > 0 {
			time.Sleep(upTime)
		}
		if trouble {
			for _, s := range yard {
				s.Crash()
			}
		}
		time.Sleep(downTime)
		if trouble {
			for _, s := range yard {
				if err := s.Begin(); err != nil {
					return false, errCannotRun{err.Error()}
				}
			}
		}
	}
	time.Sleep(calmTime)
	steady := r.Now()
	time.Sleep(20 * time.Second)
	until := r.Now()
	attempts := c.end()
	first, later := &served{}, &served{}
	for _, span := range []struct {
		name     string
		from, to time.Duration
	}{{"before the disruption", added, crash}, {"from the disruption on", crash, steady}, {"in the steady state", steady, until}} {
		counts := count(attempts, span.from, span.to)
		for _, route := range []string{"reserve", "stock", "office", "prices"} {
			n := counts[route]
			r.Result(fmt.Sprintf("%s: %s: %d of %d attempts served, statuses %v", span.name, route, n.got, n.sent, n.statuses))
			switch {
			case span.from != steady:
			case route == "prices":
				later = n
			default:
				first.sent, first.got = first.sent+n.sent, first.got+n.got
			}
		}
	}
	broken := later.sent >= 20 && later.share() < first.share()/4
	r.Result(fmt.Sprintf("CONFIG: %d attempts on the added route, %.3f of them served; %d on the first routes, %.3f served: broken %v", later.sent, later.share(), first.sent, first.share(), broken))
	return broken, nil
}
