package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/citronglade/citronglade/review/_tools-3/rig"
)

const (
	// cutTime is the length of node_cut in the site files, applyBound is ConfigApplyMs.
	cutTime, applyBound = 5500 * time.Millisecond, 2 * time.Second
	otherKey            = "key-of-the-quay"
	engineModel         = "m0"
)

// walls is the KV cache of all engines: who made a part under a text. It counts requests that use parts of another tenant.
type walls struct {
	record *rig.Record
	mu     sync.Mutex
	maker  map[string]string // by engine, text and part
	count  bool
	used   int
}

func (w *walls) run(s *rig.Server, id string, r *http.Request, _ []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	tenant, salt := r.Header.Get("X-Tenant"), r.Header.Get("X-Cache-Salt")
	parts := strings.Split(r.Header.Get("X-Prompt-Prefix"), ",")
	held, foreign := true, ""
	for _, part := range parts {
		name := strings.Join([]string{s.ID(), salt, part}, " ")
		maker, known := w.maker[name]
		if held = held && known; held && maker != tenant {
			foreign = maker
		}
		if !known {
			w.maker[name] = tenant
		}
	}
	if foreign != "" && w.count {
		w.used++
		w.record.Add("uses", id, "of tenant", tenant, "at", s.ID(), "under", salt, "parts that a request made of tenant", foreign)
	}
}

func stream(w http.ResponseWriter, _ *http.Request, _ string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	for i := 1; i <= 5; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

func wallConfig(version int, isolated bool) map[string]any {
	c := engineConfig()
	c["Version"] = version
	c["Tenants"] = []map[string]any{
		{"Name": "yard", "ApiKeys": []string{yardKey}, "Priority": 1, "Isolated": isolated}, {"Name": "quay", "ApiKeys": []string{otherKey}, "Priority": 1, "Isolated": false},
	}
	return c
}

// playWall cuts one edge machine off from the core, has a tenant become isolated meanwhile, and sends requests of both tenants to that machine from
// applyBound after the change was acknowledged until the cut ends.
func playWall(r *rig.Record, trouble bool) (bool, error) {
	p, err := rig.Start(rig.Settings{Repository: ".", Core: 5, Edges: 6, MemoryMB: [2]int{280, 284}}, r)
	if err != nil {
		return false, errCannotRun{err.Error()}
	}
	defer p.Stop()
	w := &walls{record: r, maker: map[string]string{}}
	for i, zone := range []string{"umea-a", "umea-b", "lulea-a"} {
		s := p.NewServer(fmt.Sprint("llm", i), "stave-llm", zone, 64)
		s.Models = []map[string]any{{"Name": engineModel, "Version": 1, "Adapters": []any{}}}
		s.Work = func(*http.Request) time.Duration { return 20 * time.Millisecond }
		s.OnRun, s.Answer = w.run, stream
		if err := s.Begin(); err != nil {
			return false, errCannotRun{err.Error()}
		}
	}
	if p.Config(wallConfig(1, false)) != http.StatusOK || !p.AwaitReady(20*time.Second) {
		return false, errCannotRun{"the installation doesn't get ready"}
	}
	statuses := map[int]int{}
	ask := func(m *rig.Machine) {
		for _, key := range []string{yardKey, otherKey} {
			o := p.SendTo(m, rig.Request{
				Method: http.MethodPost, Host: yardHost, Target: "/appraise/lot", Key: key, Body: []byte(strings.Repeat("x", 2000)), Deadline: 5 * time.Second,
				Header: map[string]string{"X-Model": engineModel, "X-Token-Count": "1460,80", "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410," + rig.NewID()[:8] + ":250"},
			})
			statuses[o.Status]++
		}
	}
	time.Sleep(3 * time.Second)
	for range 10 {
		for _, m := range p.Edges {
			ask(m)
		}
	}
	single := p.Edges[0]
	if trouble {
		p.Cut(single)
	}
	cut := time.Now()
	time.Sleep(300 * time.Millisecond)
	if p.Config(wallConfig(2, true)) != http.StatusOK {
		return false, errCannotRun{"the change isn't acknowledged"}
	}
	acked := time.Now()
	time.Sleep(applyBound + 300*time.Millisecond - time.Since(acked))
	w.mu.Lock()
	w.count = true
	w.mu.Unlock()
	ready := single.IsReady()
	sent := 0
	for time.Since(cut) < cutTime-200*time.Millisecond {
		ask(single)
		sent += 2
		time.Sleep(40 * time.Millisecond)
	}
	w.mu.Lock()
	used := w.used
	w.count = false
	w.mu.Unlock()
	p.Heal(single)
	r.Result(fmt.Sprintf("the machine said that it is ready: %v; statuses of all requests %v", ready, statuses))
	r.Result(fmt.Sprintf("WALL: %d of %d requests, sent over %s after the change was acknowledged, used parts that another tenant's requests had made, one of the two isolated", used, sent, applyBound))
	return used > 0, nil
}
