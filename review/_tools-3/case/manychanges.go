package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/citronglade/citronglade/review/_tools-3/rig"
)

const (
	// routesMore is the largest dose of big_config in the site files, which comes bigConfigs times.
	routesMore, bigConfigs = 350, 6
	// mostChanges is the number of changes after that. mostAtOnce may be in progress at once (PROTOCOL.md).
	mostChanges, mostAtOnce = 990, 8
	changesFor              = 90 * time.Second
	coreMB, edgeMB          = 280, 284
	// restartDelay is the short delay after which a process that has ended is started again.
	restartDelay = 500 * time.Millisecond
	// endsNeeded ends on machinesNeeded machines are a fault (RULES.md, Faults).
	endsNeeded, machinesNeeded = 3, 2
)

func largeConfig(version, routes int) map[string]any {
	c := yardConfig(version, true)
	list := c["Routes"].([]map[string]any)
	for i := range routes {
		list = append(list, map[string]any{
			"Name": fmt.Sprintf("r-%07x", i*7919), "Host": fmt.Sprintf("h%04x.example", i), "PathPrefix": fmt.Sprintf("/p%04x/q%03x/", i, i%17), "Type": "safe",
			"TimeoutMs": 2000 + version%100, "TargetLatencyMs": 300, "Priority": 2, "Service": "yard-app", "MaxAttempts": 2, "Public": false, "Sticky": false,
			"Resumable": false, "TargetGapMs": 400,
		})
	}
	c["Routes"] = list
	return c
}

// anonymous returns the memory of a process in MB without what belongs to files, 0 if it has ended.
func anonymous(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if pid == 0 || err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb >> 10
		}
	}
	return 0
}

// guard kills a machine's process that uses more memory than the machine has, and starts it again, like the platform does. It counts the ends.
type guard struct {
	mu      sync.Mutex
	ends    map[string]int
	largest map[string]int64
}

func (g *guard) watch(r *rig.Record, m *rig.Machine, megabytes int64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := anonymous(m.PID())
		g.mu.Lock()
		g.largest[m.Name] = max(g.largest[m.Name], used)
		g.mu.Unlock()
		if used > megabytes {
			r.Add("over", m.Name, fmt.Sprint(used, " MB of ", megabytes))
			m.Signal(syscall.SIGKILL)
			m.Wait(5 * time.Second)
		}
		if m.Running() {
			continue
		}
		g.mu.Lock()
		g.ends[m.Name]++
		g.mu.Unlock()
		time.Sleep(restartDelay)
		_ = m.Start()
	}
}

// playManyChanges lets the config grow, sends hundreds of changes, and counts the processes that end because they use more memory than their
// machine has.
func playManyChanges(r *rig.Record, trouble bool) (bool, error) {
	p, err := rig.Start(rig.Settings{Repository: ".", Core: 5, Edges: 6, MemoryMB: [2]int{coreMB, edgeMB}}, r)
	if err != nil {
		return false, errCannotRun{err.Error()}
	}
	defer p.Stop()
	s := p.NewServer("yard0", "yard-app", "umea-a", 6)
	s.Work = workOf
	if err := s.Begin(); err != nil {
		return false, errCannotRun{err.Error()}
	}
	if p.Config(yardConfig(1, false)) != http.StatusOK || !p.AwaitReady(20*time.Second) {
		return false, errCannotRun{"the installation doesn't get ready"}
	}
	g, stop := &guard{ends: map[string]int{}, largest: map[string]int64{}}, make(chan struct{})
	var watching sync.WaitGroup
	for _, m := range p.Core {
		watching.Go(func() { g.watch(r, m, coreMB, stop) })
	}
	for _, m := range p.Edges {
		watching.Go(func() { g.watch(r, m, edgeMB, stop) })
	}
	version, routes := 1, 0
	for range bigConfigs {
		time.Sleep(time.Second)
		version++
		if trouble {
			routes += routesMore
		}
		p.Config(largeConfig(version, routes))
	}
	end := time.Now().Add(changesFor)
	var mu sync.Mutex
	var sending sync.WaitGroup
	sent, acked := 0, 0
	for range mostAtOnce {
		sending.Go(func() {
			for time.Now().Before(end) {
				mu.Lock()
				if sent == mostChanges {
					mu.Unlock()
					return
				}
				sent++
				version++
				next := version
				mu.Unlock()
				if p.Config(largeConfig(next, routes)) == http.StatusOK {
					mu.Lock()
					acked++
					mu.Unlock()
				}
			}
		})
	}
	sending.Wait()
	close(stop)
	watching.Wait()
	machines := 0
	for _, m := range p.Machines() {
		r.Result(fmt.Sprintf("%s: %d MB at the most, ended %d times", m.Name, g.largest[m.Name], g.ends[m.Name]))
		if g.ends[m.Name] >= endsNeeded {
			machines++
		}
	}
	r.Result(fmt.Sprintf("Fault: %d of %d changes acknowledged, config of %d routes; on %d machines processes ended by themselves %d times or more: broken %v",
		acked, sent, routes+4, machines, endsNeeded, machines >= machinesNeeded))
	return machines >= machinesNeeded, nil
}
