// Command fleet measures real host processes: processor time, memory and bytes of idle hosts, the time from an accepted
// configuration to its being in force everywhere, fail-over, and claims, each over several numbers of hosts.
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
	idleTime      = 10 * time.Second
	changes       = 30
	failOvers     = 5
	claims        = 600
	claimCallers  = 32
	clockTicks    = 100 // of /proc, per second, on Linux
	pageBytes     = 4096
	versionMetric = "citronglade_configuration_version"
)

// fleet is a running set of hosts.
type fleet struct {
	cluster *driver.Cluster
	size    int
	sheets  [2]string
	version int
}

func main() {
	sizes := flag.String("hosts", "3,7,20,50", "numbers of hosts, separated by commas; the first three have both roles")
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

func measure(size int) error {
	folder, err := os.MkdirTemp("", "citronglade-fleet-")
	if err != nil {
		return fault.DiskFailed.Wrap(err, "cannot make a folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	cluster, err := driver.New("bin/citronglade", folder, size, min(size, 3))
	if err != nil {
		return err
	}
	defer cluster.Close()
	f := &fleet{cluster: cluster, size: size}
	for _, step := range []func() error{f.start, f.idle, f.inForce, f.claims, f.failOver} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) row(quantity string, value float64, unit string) {
	fmt.Printf("| %d | %s | %.4g | %s |\n", f.size, quantity, value, unit)
}

// start brings up the hosts, four engines and two services, and a first sheet.
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
	if err := f.waitInForce(); err != nil {
		return err
	}
	return f.cluster.WaitForEndpoints(7)
}

// submit puts the other one of the two sheets in force.
func (f *fleet) submit() error {
	_, _, err := f.cluster.Run("sheet", "submit", f.sheets[f.version%2])
	if err == nil {
		f.version++
	}
	return err
}

// waitInForce waits until every host serves the newest version.
func (f *fleet) waitInForce() error {
	waiting := slices.Clone(f.cluster.Hosts)
	return f.cluster.WaitFor("a version in force everywhere", func() error {
		waiting = slices.DeleteFunc(waiting, func(h *driver.Host) bool {
			value, err := metric(h, versionMetric)
			return err == nil && int(value) >= f.version
		})
		if len(waiting) > 0 {
			return fault.NotFound.New("%d hosts still serve an older version than %d, %s among them:\n%s",
				len(waiting), f.version, waiting[0].Name, f.cluster.Log(waiting[0].Name))
		}
		return nil
	})
}

type usage struct {
	processor time.Duration
	memory    float64
	sent      float64
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
		processor: time.Duration((number(11) + number(12)) / clockTicks * float64(time.Second)),
		memory:    number(21) * pageBytes, sent: sent,
	}, err
}

// idle measures hosts without requests. The first three have the control role too.
func (f *fleet) idle() error {
	before := make([]usage, f.size)
	for i, h := range f.cluster.Hosts {
		var err error
		if before[i], err = f.usageOf(h); err != nil {
			return err
		}
	}
	time.Sleep(idleTime)
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
			total.processor += after.processor - before[i].processor
			total.memory += after.memory
			total.sent += after.sent - before[i].sent
		}
		count := float64(len(role.hosts))
		f.row("idle "+role.name+", processor time", total.processor.Seconds()/idleTime.Seconds()/count*100, "% of a core")
		f.row("idle "+role.name+", memory", total.memory/count/1e6, "MB")
		f.row("idle "+role.name+", sent to other hosts", total.sent/count/idleTime.Seconds(), "B/s")
	}
	return nil
}

// inForce measures the time from the answer to an order until every host serves it.
func (f *fleet) inForce() error {
	var times []time.Duration
	for range changes {
		if err := f.submit(); err != nil {
			return err
		}
		accepted := time.Now()
		if err := f.waitInForce(); err != nil {
			return err
		}
		times = append(times, time.Since(accepted))
	}
	slices.Sort(times)
	f.row("accepted to in force everywhere, p50", times[len(times)/2].Seconds(), "s")
	f.row("accepted to in force everywhere, longest of 30", times[len(times)-1].Seconds(), "s")
	return nil
}

// claims sends once-only calls through all hosts.
func (f *fleet) claims() error {
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
	for i := range claims {
		work <- i
	}
	close(work)
	group.Wait()
	if failed != nil {
		return failed
	}
	slices.Sort(times)
	f.row("once-only calls, 32 callers", claims/time.Since(began).Seconds(), "calls/s")
	f.row("once-only call, p50", times[len(times)/2].Seconds()*1000, "ms")
	f.row("once-only call, p99", times[len(times)*99/100].Seconds()*1000, "ms")
	return nil
}

// failOver kills the leader of group 0 and measures until the next order is accepted.
func (f *fleet) failOver() error {
	if f.size < 3 {
		return nil
	}
	var times []time.Duration
	for range failOvers {
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
		if err := f.waitInForce(); err != nil {
			return err
		}
	}
	slices.Sort(times)
	f.row("leader killed to next order accepted, median of 5", times[len(times)/2].Seconds(), "s")
	f.row("leader killed to next order accepted, longest of 5", times[len(times)-1].Seconds(), "s")
	return nil
}

// metric reads one value of a host's metrics page.
func metric(h *driver.Host, name string) (float64, error) {
	response, err := http.Get("http://" + h.Metrics + "/metrics") //nolint:noctx // a loopback address
	if err != nil {
		return 0, fault.Unreachable.Wrap(err, "%s has no metrics", h.Name)
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
