// Package rig runs the processes of a small installation on loopback addresses, beside stand-ins of its platform, servers and consumers, and
// records what these see on their sockets.
package rig

import (
	"bytes"
	"context"
	"encoding/json"
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

// Settings describes the installation.
type Settings struct {
	Repository  string // root of the repository, with the build of the deploy file
	Core, Edges int
	MemoryMB    [2]int // of a core machine and of an edge machine
}

// Platform is a running installation.
type Platform struct {
	Settings
	Record *Record
	Core   []*Machine
	Edges  []*Machine

	folder   string
	prefix   string // of the IP addresses
	link     int
	port     int
	ready    int
	client   *http.Client
	starting sync.Mutex
	links    *links
	edgeLink int // port between machines as edge machines know it, where the links are
}

// Machine is one machine with one process.
type Machine struct {
	Name, IP string
	Zone     string
	core     bool
	platform *Platform

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	first   bool
	log     *os.File
}

// Start starts all processes of an installation. Its temporary folder is removed by Stop.
func Start(s Settings, record *Record) (*Platform, error) {
	folder, err := os.MkdirTemp("", "citronglade-review-")
	if err != nil {
		return nil, err
	}
	p := &Platform{Settings: s, Record: record, folder: folder, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	p.prefix = fmt.Sprintf("127.%d.%d.", 30+rand.IntN(200), rand.IntN(250))
	if p.port, p.ready, p.link, err = p.freePorts(); err != nil {
		return nil, err
	}
	p.edgeLink = p.link + 20
	for i := range s.Core {
		p.Core = append(p.Core, p.machine(fmt.Sprint("core-", i), 10+i, true))
	}
	for i := range s.Edges {
		p.Edges = append(p.Edges, p.machine(fmt.Sprint("edge-", i), 100+i, false))
	}
	var core []string
	for _, m := range p.Core {
		core = append(core, m.IP)
	}
	if p.links, err = startLinks(core, p.edgeLink, p.link); err != nil {
		return nil, err
	}
	for _, m := range p.Machines() {
		if err := m.Start(); err != nil {
			p.Stop()
			return nil, err
		}
	}
	return p, nil
}

func (p *Platform) machine(name string, number int, core bool) *Machine {
	zones := []string{"umea-a", "umea-b", "lulea-a", "sundsvall-a"}
	return &Machine{Name: name, IP: p.prefix + strconv.Itoa(number), Zone: zones[number%len(zones)], core: core, platform: p, first: true}
}

// freePorts returns ports that are free on all addresses: for what the machines serve, for the readiness check, and two in a row between machines.
func (p *Platform) freePorts() (port, ready, link int, err error) {
	free := func(number int) bool {
		listener, err := net.Listen("tcp", net.JoinHostPort(p.prefix+"10", strconv.Itoa(number)))
		if err != nil {
			return false
		}
		return listener.Close() == nil
	}
	for range 100 {
		base := 10_000 + rand.IntN(15_000)
		if free(base) && free(base+1) && free(base+2) && free(base+3) {
			return base, base + 1, base + 2, nil
		}
	}
	return 0, 0, 0, fmt.Errorf("no free ports")
}

// IP returns one of the installation's addresses.
func (p *Platform) IP(number int) string { return p.prefix + strconv.Itoa(number) }

// Machines returns all machines.
func (p *Platform) Machines() []*Machine {
	return append(append([]*Machine{}, p.Core...), p.Edges...)
}

// Stop ends all processes and removes the temporary folder, unless KEEP is set.
func (p *Platform) Stop() {
	for _, m := range p.Machines() {
		m.Signal(syscall.SIGKILL)
		m.Wait(5 * time.Second)
	}
	if p.links != nil {
		p.links.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.folder)
	} else {
		p.Record.Add("logs", "kept in the temporary folder", filepath.Base(p.folder))
	}
}

func (m *Machine) writeBoot() (string, error) {
	p := m.platform
	listen := map[string]string{"Front": m.address(p.port), "Ready": m.address(p.ready)}
	class, serves, role := "edge", "edge", "entry"
	link := p.edgeLink
	memory, disk := p.MemoryMB[1], 0
	var data any
	if m.core {
		listen = map[string]string{"Control": m.address(p.port)}
		class, serves, role, memory, disk = "core", "control", "control", p.MemoryMB[0], 128
		link = p.link
		folder := filepath.Join(p.folder, m.Name)
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return "", err
		}
		data = folder
	}
	var seeds []string
	for _, c := range p.Core[:min(3, len(p.Core))] {
		seeds = append(seeds, c.address(p.port))
	}
	settings := map[string]any{
		"Node": m.Name, "Role": role, "MachineClass": class, "Serves": []string{serves}, "Ip": m.IP, "Zone": m.Zone, "Region": "norrland",
		"Zones":  map[string]string{"umea-a": "norrland", "umea-b": "norrland", "lulea-a": "norrland", "sundsvall-a": "norrland"},
		"Listen": listen, "PortRange": []int{link, link + 15}, "Seeds": seeds, "Bootstrap": m.first, "FaultCounted": m.core,
		"Limits":  map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": memory, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": disk},
		"DataDir": data, "Discovery": "registration", "Entry": "vip", "HeartbeatMs": 1200,
		"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants"},
		"FaultTolerance": map[string]int{"Machines": 2, "Zones": 0, "Regions": 0},
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
		return "", err
	}
	path := filepath.Join(p.folder, m.Name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

func (m *Machine) address(port int) string { return net.JoinHostPort(m.IP, strconv.Itoa(port)) }

// Front returns the address for consumers.
func (m *Machine) Front() string { return m.address(m.platform.port) }

// Control returns the address for servers and the operator.
func (m *Machine) Control() string { return m.address(m.platform.port) }

// Start starts the machine's process with the command of the deploy file, unless it runs.
func (m *Machine) Start() error {
	p := m.platform
	p.starting.Lock()
	defer p.starting.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		return nil
	}
	boot, err := m.writeBoot()
	if err != nil {
		return err
	}
	if m.log == nil {
		if m.log, err = os.Create(filepath.Join(p.folder, m.Name+".log")); err != nil {
			return err
		}
	}
	command := exec.Command("target/citronglade", "platform")
	command.Dir = p.Repository
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONGLADE_BOOT=" + boot}
	command.Stdout, command.Stderr = m.log, m.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	m.command, m.ended, m.first = command, make(chan struct{}), false
	p.Record.Add("start", m.Name)
	go func(ended chan struct{}) {
		err := command.Wait()
		m.mu.Lock()
		m.command = nil
		m.mu.Unlock()
		p.Record.Add("end", m.Name, fmt.Sprint(err))
		close(ended)
	}(m.ended)
	return nil
}

// Signal sends a signal to the machine's process if it runs.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		m.platform.Record.Add("signal", m.Name, s.String())
		_ = m.command.Process.Signal(s)
	}
}

// Running reports whether the process runs.
func (m *Machine) Running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.command != nil
}

// PID returns the process id, 0 if it doesn't run.
func (m *Machine) PID() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == nil {
		return 0
	}
	return m.command.Process.Pid
}

// Wait waits until the process has ended.
func (m *Machine) Wait(most time.Duration) {
	m.mu.Lock()
	ended, running := m.ended, m.command != nil
	m.mu.Unlock()
	if !running {
		return
	}
	select {
	case <-ended:
	case <-time.After(most):
	}
}

// IsReady asks the machine's readiness address like the platform does.
func (m *Machine) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, _, err := m.platform.call(ctx, http.MethodGet, "http://"+m.address(m.platform.ready)+"/api/ready", nil)
	return err == nil && status == http.StatusOK
}

func (p *Platform) call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := p.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// Order sends a call of the operator or of a server to one control machine after the other until it gets a clear answer or the time is over.
// It returns the status, 0 without a clear answer.
func (p *Platform) Order(method, path string, body any, most time.Duration) (int, []byte) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	pause := 20 * time.Millisecond
	for began, i := time.Now(), rand.IntN(len(p.Core)); time.Since(began) < most; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		status, data, err := p.call(ctx, method, "http://"+p.Core[i%len(p.Core)].Control()+path, text)
		cancel()
		if err == nil && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, data
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return 0, nil
}

// Config submits a config and records the answer.
func (p *Platform) Config(config map[string]any) int {
	status, _ := p.Order(http.MethodPut, "/api/config", config, 15*time.Second)
	p.Record.Add("config", fmt.Sprint("version ", config["Version"]), fmt.Sprint("status ", status))
	return status
}

// AwaitReady waits until all edge machines say that they are ready.
func (p *Platform) AwaitReady(most time.Duration) bool {
	for began := time.Now(); time.Since(began) < most; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range p.Edges {
			if m.IsReady() {
				ready++
			}
		}
		if ready == len(p.Edges) {
			return true
		}
	}
	return false
}
