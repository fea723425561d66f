package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	plainService = "kafi81c"
	// grownBy is how many routes one growth of the config adds, and growths how often it grows.
	grownBy, growths = 350, 10
	// changes is the number of changes of the config after that, of which inProgress are sent at a time.
	changes, inProgress = 900, 8
	// memoryCheck is the time between two looks at the memory of the processes, and restartDelay the time after which the platform starts an
	// ended process again.
	memoryCheck, restartDelay = 100 * time.Millisecond, time.Second
	// caseTime is the time from the start of the case after which no change is sent any more.
	caseTime = 95 * time.Second
	// It is a fault if the processes of machinesOfFault machines have ended by themselves endsOfFault times each.
	endsOfFault, machinesOfFault = 3, 2
)

// rss returns the memory of a process in bytes, without the files that are mapped into it.
func rss(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, errors.New("the status of the process names no RssAnon")
}

// guard is the part of the platform that ends processes which use more memory than their machine has, and starts ended processes again.
type guard struct {
	c    *cluster
	mu   sync.Mutex
	ends map[string]int   // by machine
	peak map[string]int64 // in the last second
}

// watch guards one machine until ctx ends.
func (g *guard) watch(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		time.Sleep(memoryCheck)
		used, err := rss(h.command.Process.Pid)
		limit := int64(h.memoryMB) << 20
		g.mu.Lock()
		g.peak[h.name] = max(g.peak[h.name], used)
		g.mu.Unlock()
		ended := err != nil
		select {
		case <-h.ended:
			ended = true
		default:
			if used > limit {
				g.c.record.printf("%s uses %d MiB of %d MiB: the platform kills its process", h.name, used>>20, h.memoryMB)
				_ = h.command.Process.Signal(syscall.SIGKILL)
				<-h.ended
				ended = true
			}
		}
		if !ended || ctx.Err() != nil {
			continue
		}
		g.mu.Lock()
		g.ends[h.name]++
		g.c.record.printf("the process of %s has ended %d times", h.name, g.ends[h.name])
		g.mu.Unlock()
		time.Sleep(restartDelay)
		if err := g.c.start(h); err != nil {
			g.c.record.printf("%s doesn't start: %v", h.name, err)
			return
		}
	}
}

// faulty returns the machines whose processes have ended often enough for a fault, nil if there are too few of them.
func (g *guard) faulty() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var machines []string
	for _, name := range slices.Sorted(maps.Keys(g.ends)) {
		if g.ends[name] >= endsOfFault {
			machines = append(machines, fmt.Sprintf("%s %d times", name, g.ends[name]))
		}
	}
	if len(machines) < machinesOfFault {
		return nil
	}
	return machines
}

// memory changes the config hundreds of times. With the disruption the config has grown by many routes before.
func memory(root string, rec *record, trouble bool) ([]string, error) {
	c, err := newCluster(root, 5, 2, rec)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	plain, err := newServer(c, 1, plainService, func(_ *server, w http.ResponseWriter, q *http.Request, _ []byte) {
		w.Header().Set("X-Server-Stamp", "stamp-"+q.Header.Get("X-Request-Id"))
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var guards sync.WaitGroup
	defer guards.Wait()
	defer cancel()
	if err := c.startAll(plainConfig(1, 0), plain.report); err != nil {
		return nil, err
	}
	g := &guard{c: c, ends: map[string]int{}, peak: map[string]int64{}}
	for _, h := range c.hosts {
		guards.Go(func() { g.watch(ctx, h) })
	}
	operator := &operator{c: c, until: rec.began.Add(caseTime), version: 1, acked: 1}
	routes := 0
	for range growths {
		if trouble {
			routes += grownBy
		}
		operator.change(routes)
	}
	rec.printf("the config has %d routes and %d bytes", routes+plainRoutes, operator.bytes.Load())
	var work sync.WaitGroup
	for range inProgress {
		work.Go(func() {
			for operator.sent.Load() < growths+changes && len(g.faulty()) == 0 && operator.change(routes) {
			}
		})
	}
	done := make(chan struct{})
	go func() { work.Wait(); close(done) }()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(time.Second):
		}
		g.mu.Lock()
		rec.printf("%d changes are acknowledged; memory in MiB: %s", operator.ackedChanges.Load(), megabytes(g.peak))
		clear(g.peak)
		g.mu.Unlock()
	}
	cancel()
	guards.Wait()
	rec.printf("%d changes were sent, %d acknowledged", operator.sent.Load(), operator.ackedChanges.Load())
	g.mu.Lock()
	rec.printf("ends of processes by machine: %v", g.ends)
	g.mu.Unlock()
	if operator.ackedChanges.Load() < 100 {
		return nil, fmt.Errorf("%w: only %d changes were acknowledged", errCannotRun, operator.ackedChanges.Load())
	}
	if machines := g.faulty(); machines != nil {
		return []string{"Fault: processes used more memory than their machine has and were killed, with no disruption on any machine: " + strings.Join(machines, ", ")}, nil
	}
	return nil, nil
}

func megabytes(peak map[string]int64) string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(peak)) {
		list = append(list, fmt.Sprintf("%s %d", name, peak[name]>>20))
	}
	return strings.Join(list, ", ")
}

// operator sends changes of the config.
type operator struct {
	c            *cluster
	until        time.Time
	sent, bytes  atomic.Int64
	ackedChanges atomic.Int64

	mu      sync.Mutex
	version int
	acked   int
}

// change sends a new version of the config, to one control machine after the other until one acknowledges it, and reports whether there is time for
// another one.
func (o *operator) change(routes int) bool {
	o.mu.Lock()
	o.version++
	version := o.version
	o.mu.Unlock()
	o.sent.Add(1)
	text, err := json.Marshal(plainConfig(version, routes))
	if err != nil {
		return false
	}
	o.bytes.Store(int64(len(text)))
	pause := 50 * time.Millisecond
	for try := version; time.Now().Before(o.until); try++ {
		core := o.c.cores()[try%len(o.c.cores())]
		status, err := o.c.call(http.MethodPut, "http://"+address(core.ip, controlPort)+"/api/config", json.RawMessage(text), 2*time.Second)
		if err == nil && status == http.StatusOK {
			o.ackedChanges.Add(1)
			o.mu.Lock()
			o.acked = max(o.acked, version)
			o.mu.Unlock()
			return true
		}
		o.c.record.printf("version %d: %s answers %d, %v", version, core.name, status, err)
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return false
}

// plainRoutes is the number of routes of a config that hasn't grown.
const plainRoutes = 8

// plainConfig returns a config with the given number of further routes. Successive versions differ in a time-out.
func plainConfig(version, more int) any {
	var routes []map[string]any
	for i := range plainRoutes + more {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprintf("r-%07x", i), "Host": "jepu9.example", "PathPrefix": fmt.Sprintf("/p%07x/", i), "Type": "safe", "TimeoutMs": 2000 + version%2,
			"TargetLatencyMs": 300, "Priority": 2, "Service": plainService, "MaxAttempts": 2, "Public": true, "Sticky": false,
		})
	}
	return map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{{"Name": plainService, "HealthPath": "/health", "MaxConnections": 96, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}
