package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/citronglade/citronglade/review/_tools-3/rig"
)

// foreign is a server that isn't part of the installation. It runs every request that it gets.
type foreign struct {
	address string
	mu      sync.Mutex
	ran     int
}

func startForeign(r *rig.Record, ip string) (*foreign, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	f := &foreign{address: listener.Addr().String()}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { //nolint:gosec // ends with the program
			_, _ = io.Copy(io.Discard, q.Body)
			if id := q.Header.Get("X-Request-Id"); id != "" {
				r.Add("foreign", f.address, "runs", id, q.Method, q.URL.Path)
				f.mu.Lock()
				f.ran++
				f.mu.Unlock()
			}
			_, _ = io.WriteString(w, "hello\n")
		}))
	}()
	return f, nil
}

func (f *foreign) runs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran
}

// engineConfig is yardConfig with a route to an engine service.
func engineConfig() map[string]any {
	c := yardConfig(1, false)
	c["Routes"] = append(c["Routes"].([]map[string]any), map[string]any{
		"Name": "appraise", "Host": yardHost, "PathPrefix": "/appraise/", "Type": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 500, "Priority": 1,
		"Service": "stave-llm", "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "TargetGapMs": 400,
	})
	c["Services"] = append(c["Services"].([]map[string]any), map[string]any{
		"Name": "stave-llm", "HealthPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
		"Engine": map[string]any{
			"Slots": 64, "KvCapacity": 116883, "KvTokenBytes": 18432, "LinkMbps": 370000.0, "Moves": true, "Backups": true, "Stride": 5,
			"MaxConcurrency": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": []map[string]any{{"Name": "m0"}},
		},
	})
	return c
}

// playOtherWriter has another writer send entries with fields missing, and counts the requests that the servers run that these entries name.
func playOtherWriter(r *rig.Record, trouble bool) (bool, error) {
	p, err := rig.Start(rig.Settings{Repository: ".", Core: 5, Edges: 6, MemoryMB: [2]int{280, 284}}, r)
	if err != nil {
		return false, errCannotRun{err.Error()}
	}
	defer p.Stop()
	for i, zone := range []string{"umea-a", "umea-b", "lulea-a", "sundsvall-a"} {
		s := p.NewServer(fmt.Sprint("yard", i), "yard-app", zone, 6)
		s.Work = workOf
		if err := s.Begin(); err != nil {
			return false, errCannotRun{err.Error()}
		}
	}
	plain, err := startForeign(r, p.IP(210))
	if err != nil {
		return false, errCannotRun{err.Error()}
	}
	engine, err := startForeign(r, p.IP(211))
	if err != nil {
		return false, errCannotRun{err.Error()}
	}
	if p.Config(engineConfig()) != http.StatusOK || !p.AwaitReady(20*time.Second) {
		return false, errCannotRun{"the installation doesn't get ready"}
	}
	entries := map[string]map[string]any{
		"other-1": { // every field is missing but born: these have other names
			"service": "yard-app", "address": plain.address, "zone": "umea-a", "version": "7", "slots": 6, "state": "ready", "coldRemainingMs": 0,
			"sequence": 1, "born": time.Now().UnixMilli(),
		},
		"other-2": { // Stage and Models are missing
			"Service": "stave-llm", "Address": engine.address, "Zone": "umea-a", "Version": "v1", "Slots": 64, "State": "ready", "ColdRemainingMs": 0,
			"Sequence": 1, "born": time.Now().UnixMilli(),
		},
	}
	statuses := map[string]map[int]int{}
	prompt := map[string]string{"X-Model": "m0", "X-Token-Count": "1460,80", "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250"}
	var sending sync.WaitGroup
	var mu sync.Mutex
	for i := range 200 {
		if trouble && i%20 == 0 {
			for id, entry := range entries {
				status, _ := p.Order(http.MethodPut, "/api/instances/"+id, entry, 3*time.Second)
				r.Add("entry", id, fmt.Sprint("status ", status))
			}
		}
		for route, q := range map[string]rig.Request{
			"reserve":  {Method: http.MethodPost, Host: yardHost, Target: "/reserve/lot", Key: yardKey, Body: []byte("lot " + rig.NewID()), Deadline: 4 * time.Second, Retries: 1},
			"appraise": {Method: http.MethodPost, Host: yardHost, Target: "/appraise/lot", Key: yardKey, Body: []byte(strings.Repeat("x", 2000)), Header: prompt, Deadline: 5 * time.Second},
		} {
			if route == "appraise" && i%10 != 0 {
				continue
			}
			sending.Go(func() {
				o := p.Send(q)
				mu.Lock()
				defer mu.Unlock()
				if statuses[route] == nil {
					statuses[route] = map[int]int{}
				}
				statuses[route][o.Status]++
			})
		}
		time.Sleep(60 * time.Millisecond)
	}
	sending.Wait()
	r.Result(fmt.Sprintf("statuses: %v", statuses))
	r.Result(fmt.Sprintf("ROUTE: the server of the entry with other names ran %d requests, that of the entry without Stage and Models %d", plain.runs(), engine.runs()))
	return plain.runs()+engine.runs() > 0, nil
}
