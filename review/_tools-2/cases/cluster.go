package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Ports of all machines. The machines have addresses of their own, so that the ports may be the same.
const (
	linkPort    = 7340
	frontPort   = 8782
	readyPort   = 8789
	controlPort = 8783
	serverPort  = 8482
)

const zone = "umea-a"

// errCannotRun marks a failure that says nothing about the rule of a case.
var errCannotRun = errors.New("the case couldn't run")

// record is the file with what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  io.Writer
	began time.Time
}

func (r *record) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  "+format+"\n", append([]any{time.Since(r.began).Seconds()}, arguments...)...)
}

// host is one machine with one process of the system.
type host struct {
	name, ip, role string // role is edge or core
	memoryMB       int    // what the process may use
	boot           string // path of the settings file
	command        *exec.Cmd
	ended          chan struct{}
}

// cluster is an installation on loopback addresses.
type cluster struct {
	root, folder, network string // network is the first three numbers of all addresses
	hosts                 []*host
	seeds                 []string
	losses                int // core machines that may be lost at once
	record                *record
	client                *http.Client
}

// newCluster writes the settings of the given numbers of machines.
func newCluster(root string, cores, edges int, rec *record) (*cluster, error) {
	folder, err := os.MkdirTemp("", "citronglade-review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{root: root, folder: folder, record: rec, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	if c.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	for i := range cores {
		c.hosts = append(c.hosts, &host{name: fmt.Sprint("core-", i+1), ip: fmt.Sprint(c.network, ".", 11+i), role: "core"})
	}
	for i := range edges {
		c.hosts = append(c.hosts, &host{name: fmt.Sprint("edge-", i+1), ip: fmt.Sprint(c.network, ".", 31+i), role: "edge"})
	}
	c.losses = (cores - 1) / 2
	for _, h := range c.cores()[:min(3, cores)] {
		c.seeds = append(c.seeds, net.JoinHostPort(h.ip, strconv.Itoa(controlPort)))
	}
	for _, h := range c.hosts {
		if err := c.writeSettings(h, true); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// freeNetwork returns a part of the loopback range on which no process listens.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", network+".11:"+strconv.Itoa(controlPort))
		if err == nil {
			return network, socket.Close()
		}
	}
	return "", errors.New("no free loopback addresses")
}

func (c *cluster) cores() (hosts []*host) { return c.ofRole("core") }

func (c *cluster) edges() (hosts []*host) { return c.ofRole("edge") }

func (c *cluster) ofRole(role string) (hosts []*host) {
	for _, h := range c.hosts {
		if h.role == role {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// writeSettings writes the settings file of a machine, as the platform fills in deploy/boot.json.
// bootstrap is true only at the first start of the whole system.
func (c *cluster) writeSettings(h *host, bootstrap bool) error {
	serves, listen, data := "control", map[string]string{"Control": address(h.ip, controlPort)}, any(filepath.Join(c.folder, h.name))
	h.memoryMB = 280
	limits := map[string]any{"CpuShare": 0.96, "Cores": 1, "MemoryMb": h.memoryMB, "MaxFds": 4096, "LinkMbps": 1000.0, "DiskMb": 128}
	if h.role == "edge" {
		serves, listen, data = "edge", map[string]string{"Front": address(h.ip, frontPort), "Ready": address(h.ip, readyPort)}, nil
		h.memoryMB = 284
		limits = map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": h.memoryMB, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0}
	} else if err := os.MkdirAll(filepath.Join(c.folder, h.name), 0o700); err != nil {
		return err
	}
	settings := map[string]any{
		"Node": h.name, "Role": serves, "MachineClass": h.role, "Serves": []string{serves}, "Ip": h.ip, "Zone": zone, "Region": "norrland",
		"Zones": map[string]string{zone: "norrland"}, "Listen": listen, "PortRange": []int{linkPort, linkPort + 15}, "Seeds": c.seeds, "Bootstrap": bootstrap,
		"FaultCounted": h.role == "core", "Limits": limits, "DataDir": data, "Discovery": "registration", "Entry": "vip", "HeartbeatMs": 1200,
		"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants"},
		"FaultTolerance": map[string]int{"Machines": c.losses, "Zones": 0, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200,
			"ConfigApplyMs": 2000, "RevertSlackMs": 250, "MaxSkewMs": 5000, "RevokeStrict": false, "RevokeMs": 5000, "RetryBudgetRatio": 0.2,
			"BudgetWindowS": 10, "RetryBudgetExtra": 52, "RecoverS": 12, "MaxTransitMs": 120, "ReuseWindowS": 10, "FencingEnforced": true,
			"LeaseMs": 3000, "ThawMs": 300, "VersionMs": 10000, "VersionAllMs": 14000,
		},
		"ConfigMode": "highest",
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	h.boot = filepath.Join(c.folder, h.name+".json")
	return os.WriteFile(h.boot, text, 0o600)
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// start starts the process of a machine with the command of the deploy file.
func (c *cluster) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(c.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.command = exec.CommandContext( //nolint:gosec // the build of the deploy file
		context.Background(), filepath.Join(c.root, "target", "citronglade"), "platform")
	h.command.Dir, h.command.Stdout, h.command.Stderr = c.root, log, log
	h.command.Env = []string{"CITRONGLADE_BOOT=" + h.boot, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		defer close(ended)
		_ = command.Wait() // a killed process
	}(h.command, h.ended)
	c.record.printf("%s starts at %s", h.name, h.ip)
	return nil
}

// startAll starts all machines, sends the config until it is acknowledged and waits until all edges are ready.
func (c *cluster) startAll(config any, register func()) error {
	for _, h := range c.hosts {
		if err := c.start(h); err != nil {
			return err
		}
	}
	register()
	limit := time.Now().Add(25 * time.Second)
	for !c.putConfig(config) {
		if time.Now().After(limit) {
			return fmt.Errorf("%w: the config isn't acknowledged", errCannotRun)
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, h := range c.edges() {
		for !c.ready(h) {
			if time.Now().After(limit) {
				return fmt.Errorf("%w: %s isn't ready", errCannotRun, h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	c.record.printf("all machines are ready")
	for _, h := range c.hosts { // for later starts
		if err := c.writeSettings(h, false); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) ready(h *host) bool {
	status, err := c.call(http.MethodGet, "http://"+address(h.ip, readyPort)+"/api/ready", nil, time.Second)
	return err == nil && status == http.StatusOK
}

// putConfig sends a config to the control machines in turn and reports whether one of them has acknowledged it.
func (c *cluster) putConfig(config any) bool {
	for _, h := range c.cores() {
		status, err := c.call(http.MethodPut, "http://"+address(h.ip, controlPort)+"/api/config", config, 2*time.Second)
		if err == nil && status == http.StatusOK {
			c.record.printf("%s acknowledges the config", h.name)
			return true
		}
	}
	return false
}

// call sends a call to the system's own interface and reads the whole answer.
func (c *cluster) call(method, url string, document any, timeout time.Duration) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var body io.Reader
	if document != nil {
		text, err := json.Marshal(document)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	answer, err := c.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

// stop ends all processes that the cluster started. The logs are kept if $KEEP names a folder.
func (c *cluster) stop() {
	for _, h := range c.hosts {
		if h.command == nil || h.command.Process == nil {
			continue
		}
		_ = h.command.Process.Signal(syscall.SIGCONT)
		_ = h.command.Process.Kill()
		select {
		case <-h.ended: // the error says that the process was killed
		case <-time.After(5 * time.Second):
		}
	}
	if kept := os.Getenv("KEEP"); kept != "" {
		_ = os.Rename(c.folder, kept)
		return
	}
	_ = os.RemoveAll(c.folder)
}
