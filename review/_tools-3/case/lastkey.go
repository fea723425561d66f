package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/citronglade/citronglade/review/_tools-3/rig"
)

// applyTime is ConfigApplyMs, and a second more.
const applyTime = 3 * time.Second

// playLastKey takes the last tenant out of the config and sends requests with the key that it had and with one that no config ever held.
func playLastKey(r *rig.Record, trouble bool) (bool, error) {
	p, err := rig.Start(rig.Settings{Repository: ".", Core: 5, Edges: 6, MemoryMB: [2]int{280, 284}}, r)
	if err != nil {
		return false, errCannotRun{err.Error()}
	}
	defer p.Stop()
	var mu sync.Mutex
	var part string
	runs := map[string]int{} // by part of the run and key
	count := func(into map[string]int, key string) {
		mu.Lock()
		defer mu.Unlock()
		into[part+" "+key]++
	}
	for i, zone := range []string{"umea-a", "umea-b", "lulea-a", "sundsvall-a"} {
		s := p.NewServer(fmt.Sprint("yard", i), "yard-app", zone, 6)
		s.Work = workOf
		s.OnRun = func(_ *rig.Server, id string, q *http.Request, body []byte) {
			r.Add("ran", id, q.Method, q.URL.Path, "tenant", q.Header.Get("X-Tenant"), "sent with", string(body))
			count(runs, string(body))
		}
		if err := s.Begin(); err != nil {
			return false, errCannotRun{err.Error()}
		}
	}
	if p.Config(yardConfig(1, false)) != http.StatusOK || !p.AwaitReady(20*time.Second) {
		return false, errCannotRun{"the installation doesn't get ready"}
	}
	statuses := map[string]map[int]int{}
	play := func(name string) {
		mu.Lock()
		part = name
		mu.Unlock()
		for range 30 {
			for _, key := range []string{yardKey, "stranger"} {
				o := p.Send(rig.Request{Method: http.MethodPost, Host: yardHost, Target: "/reserve/lot", Key: key, Body: []byte(key), Deadline: 4 * time.Second})
				if statuses[name+" "+key] == nil {
					statuses[name+" "+key] = map[int]int{}
				}
				statuses[name+" "+key][o.Status]++
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(applyTime)
	play("before")
	second := yardConfig(2, false)
	if trouble {
		second["Tenants"] = []map[string]any{}
	}
	if p.Config(second) != http.StatusOK {
		return false, errCannotRun{"the second config isn't acknowledged"}
	}
	time.Sleep(applyTime)
	play("after")
	for _, name := range []string{"before", "after"} {
		for _, key := range []string{yardKey, "stranger"} {
			r.Result(fmt.Sprintf("%s the change, requests with %q: %d run, statuses %v", name, key, runs[name+" "+key], statuses[name+" "+key]))
		}
	}
	stranger, dropped := runs["before stranger"]+runs["after stranger"], 0
	if trouble {
		dropped = runs["after "+yardKey]
	}
	r.Result(fmt.Sprintf("ROUTE: %d requests ran whose key no config ever held. CONFIG: %d ran with a key that was dropped %s before", stranger, dropped, applyTime))
	return stranger > 0 || dropped > 0, nil
}
