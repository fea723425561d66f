// Command fleet measures clusters of several sizes, which it runs as real processes: CPU time, memory and network traffic of
// idle hosts, the time from the acceptance of a configuration until every host serves it, the throughput and latency of
// once-only calls, and the fail-over time after the loss of a leader. It prints a Markdown table.
package main

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/test/driver"
)

const (
	idleDuration        = 10 * time.Second
	sheetChanges        = 30
	failOverRuns        = 5
	claimCalls          = 600
	claimCallers        = 32
	clockTicksPerSecond = 100 // unit of the times in /proc/PID/stat on Linux
	pageBytes           = 4096
	versionMetric       = "citronglade_configuration_version"
)

// fleet is a running cluster. Its two sheets differ in one limit and are submitted alternately; version is the newest accepted
// configuration version.
type fleet struct {
	cluster *driver.Cluster
	size    int
	sheets  [2]string
	version int
}

func main() {
	sizes := flag.String("hosts", "3,7,20,50", "cluster sizes, separated by commas; the first three hosts have both roles")
	flag.Parse()
	fmt.Println("| hosts | quantity | value | unit |")
	fmt.Println("|---|---|---|---|")
	for text := range strings.SplitSeq(*sizes, ",") {
		size, err := strconv.Atoi(text)
		if err == nil {
			err = measure(size)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "fleet:", err)
			os.Exit(1)
		}
	}
}

// measure starts a cluster of size hosts and runs all measurements on it.
func measure(size int) error {
	folder, err := os.MkdirTemp("", "citronglade-fleet-")
	if err != nil {
		return fault.DiskFailed.Wrap(err, "cannot create a temporary folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	cluster, err := driver.New("bin/citronglade", folder, size, min(size, 3))
	if err != nil {
		return err
	}
	defer cluster.Close()
	f := &fleet{cluster: cluster, size: size}
	for _, step := range []func() error{f.start, f.measureIdle, f.measurePropagation, f.measureClaims, f.measureFailOver} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) printRow(quantity string, value float64, unit string) {
	fmt.Printf("| %d | %s | %.4g | %s |\n", f.size, quantity, value, unit)
}

// start starts the hosts, four engines, two service replicas and a cache store, and submits the first sheet.
func (f *fleet) start() error {
	if err := f.cluster.StartHosts(); err != nil {
		return err
	}
	if err := f.cluster.StartEndpoints(4, 2); err != nil {
		return err
	}
	original, err := os.ReadFile("test/sheets/taalmaatjes.csv")
	if err != nil {
		return fault.NotFound.Wrap(err, "cannot read the sheet")
	}
	for i := range f.sheets {
		f.sheets[i] = filepath.Join(f.cluster.Folder, fmt.Sprintf("sheet-%d.csv", i))
		edited := bytes.Replace(original, []byte("utrecht;60;"), []byte(fmt.Sprintf("utrecht;10000%d;", i)), 1)
		if err := os.WriteFile(f.sheets[i], edited, 0o600); err != nil {
			return fault.DiskFailed.Wrap(err, "cannot write the sheet")
		}
	}
	if err := f.cluster.WaitFor("a first sheet", f.submit); err != nil {
		return err
	}
	if err := f.waitForVersion(); err != nil {
		return err
	}
	return f.cluster.WaitForEndpoints(7)
}

// submit submits the sheet that is not in force.
func (f *fleet) submit() error {
	_, _, err := f.cluster.Run("sheet", "submit", f.sheets[f.version%2])
	if err == nil {
		f.version++
	}
	return err
}

// waitForVersion waits until every host serves the newest accepted version.
func (f *fleet) waitForVersion() error {
	waiting := slices.Clone(f.cluster.Hosts)
	return f.cluster.WaitFor("a version in force everywhere", func() error {
		waiting = slices.DeleteFunc(waiting, func(h *driver.Host) bool {
			value, err := metric(h, versionMetric)
			return err == nil && int(value) >= f.version
		})
		if len(waiting) > 0 {
			return fault.NotFound.New("%d hosts serve an older version than %d, for example %s:\n%s",
				len(waiting), f.version, waiting[0].Name, f.cluster.Log(waiting[0].Name))
		}
		return nil
	})
}

// usage is the resource usage of one process since its start.
type usage struct {
	cpuTime time.Duration
	memory  float64 // resident set, bytes
	sent    float64 // bytes sent to other hosts
}

func (f *fleet) usageOf(h *driver.Host) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.cluster.PID(h.Name)))
	if err != nil {
		return usage{}, fault.NotFound.Wrap(err, "%s isn't running", h.Name)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	number := func(i int) float64 {
		value, _ := strconv.ParseFloat(fields[i], 64)
		return value
	}
	sent, err := metric(h, "citronglade_link_sent_bytes_total")
	return usage{
		cpuTime: time.Duration((number(11) + number(12)) / clockTicksPerSecond * float64(time.Second)),
		memory:  number(21) * pageBytes, sent: sent,
	}, err
}

// measureIdle measures the resource usage of hosts without requests, averaged over the hosts with the same roles.
func (f *fleet) measureIdle() error {
	before := make([]usage, f.size)
	for i, h := range f.cluster.Hosts {
		var err error
		if before[i], err = f.usageOf(h); err != nil {
			return err
		}
	}
	time.Sleep(idleDuration)
	roles := []struct {
		name  string
		hosts []int
	}{{"host with both roles", nil}, {"entry host", nil}}
	for i, h := range f.cluster.Hosts {
		role := 0
		if h.Roles == "entry" {
			role = 1
		}
		roles[role].hosts = append(roles[role].hosts, i)
	}
	for _, role := range roles {
		if len(role.hosts) == 0 {
			continue
		}
		var total usage
		for _, i := range role.hosts {
			after, err := f.usageOf(f.cluster.Hosts[i])
			if err != nil {
				return err
			}
			total.cpuTime += after.cpuTime - before[i].cpuTime
			total.memory += after.memory
			total.sent += after.sent - before[i].sent
		}
		count := float64(len(role.hosts))
		f.printRow("idle "+role.name+", processor time", total.cpuTime.Seconds()/idleDuration.Seconds()/count*100, "% of a core")
		f.printRow("idle "+role.name+", memory", total.memory/count/1e6, "MB")
		f.printRow("idle "+role.name+", sent to other hosts", total.sent/count/idleDuration.Seconds(), "B/s")
	}
	return nil
}

// measurePropagation measures the time from the acceptance of a sheet until every host serves it.
func (f *fleet) measurePropagation() error {
	var times []time.Duration
	for range sheetChanges {
		if err := f.submit(); err != nil {
			return err
		}
		accepted := time.Now()
		if err := f.waitForVersion(); err != nil {
			return err
		}
		times = append(times, time.Since(accepted))
	}
	slices.Sort(times)
	f.printRow("accepted to in force everywhere, p50", times[len(times)/2].Seconds(), "s")
	f.printRow("accepted to in force everywhere, longest of 30", times[len(times)-1].Seconds(), "s")
	return nil
}

// measureClaims measures the throughput and latency of once-only calls, which are sent through all hosts in turn.
func (f *fleet) measureClaims() error {
	var mu sync.Mutex
	var times []time.Duration
	var failed error
	work := make(chan int)
	var group sync.WaitGroup
	for range claimCallers {
		group.Go(func() {
			for i := range work {
				began := time.Now()
				answer, err := driver.Request{
					Address: f.cluster.Hosts[i%f.size].Caller, Path: "/service/koppel-app/confirm", Customer: "utrecht",
					Key: fmt.Sprintf("fleet-%d", i), Body: `{"learner":"amal"}`,
				}.Do()
				mu.Lock()
				if err == nil && answer.Status != http.StatusOK {
					err = fault.Internal.New("status %d: %s", answer.Status, answer.Body)
				}
				if err != nil {
					failed = err
				}
				times = append(times, time.Since(began))
				mu.Unlock()
			}
		})
	}
	began := time.Now()
	for i := range claimCalls {
		work <- i
	}
	close(work)
	group.Wait()
	if failed != nil {
		return failed
	}
	slices.Sort(times)
	f.printRow("once-only calls, 32 callers", claimCalls/time.Since(began).Seconds(), "calls/s")
	f.printRow("once-only call, p50", times[len(times)/2].Seconds()*1000, "ms")
	f.printRow("once-only call, p99", times[len(times)*99/100].Seconds()*1000, "ms")
	return nil
}

// measureFailOver measures the time from killing the leader of group 0 until the next sheet is accepted.
func (f *fleet) measureFailOver() error {
	if f.size < 3 {
		return nil
	}
	var times []time.Duration
	for range failOverRuns {
		leader, err := f.cluster.LeaderOf(0)
		if err != nil {
			return err
		}
		if err := f.cluster.Signal(leader, syscall.SIGKILL); err != nil {
			return err
		}
		killed := time.Now()
		if err := f.cluster.WaitFor("an order after the leader's death", f.submit); err != nil {
			return err
		}
		times = append(times, time.Since(killed))
		_ = f.cluster.Wait(leader)
		if err := f.cluster.StartHost(f.cluster.Host(leader)); err != nil {
			return err
		}
		if err := f.waitForVersion(); err != nil {
			return err
		}
	}
	slices.Sort(times)
	f.printRow("leader killed to next order accepted, median of 5", times[len(times)/2].Seconds(), "s")
	f.printRow("leader killed to next order accepted, longest of 5", times[len(times)-1].Seconds(), "s")
	return nil
}

// metric returns the value of a metric without labels from a host's metrics endpoint.
func metric(h *driver.Host, name string) (float64, error) {
	response, err := http.Get("http://" + h.Metrics + "/metrics") //nolint:noctx // a loopback address
	if err != nil {
		return 0, fault.Unreachable.Wrap(err, "cannot read the metrics of %s", h.Name)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, fault.NotFound.New("%s has no metric %s", h.Name, name)
}
