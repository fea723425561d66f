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
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Platform is a running installation.
type Platform struct {
	Repository string // its root, with the build of the deploy file
	Record     *Record
	Core       []*Machine
	Edges      []*Machine

	folder   string
	prefix   string // of the IP addresses
	link     int
	port     int
	ready    int
	calls    *http.Client // of the operator, servers and the platform
	kept     *http.Client // of consumers, with kept channels
	fresh    *http.Client // of consumers, with a new channel for each request
	starts   chan func()  // run by one thread, as processes end with the thread that started them
	stopped  chan struct{}
	stopping sync.Once

	mu       sync.Mutex
	rotation []*Machine // edge machines that receive new channels
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

// places are the zones of the machines, in the order of the site file.
var (
	corePlaces = []string{"umea-a", "umea-a", "umea-b", "lulea-a", "sundsvall-a"}
	edgePlaces = []string{"umea-a", "umea-a", "umea-b", "umea-b", "lulea-a", "sundsvall-a"}
)

// Start starts all processes of an installation like norrmark-stav. Its temporary folder is removed by Stop.
func Start(repository string, record *Record) (*Platform, error) {
	folder, err := os.MkdirTemp("", "citronglade-review-")
	if err != nil {
		return nil, err
	}
	p := &Platform{
		Repository: repository, Record: record, folder: folder, calls: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		kept: &http.Client{Transport: consumerTransport(true)}, fresh: &http.Client{Transport: consumerTransport(false)},
		starts: make(chan func()), stopped: make(chan struct{}),
	}
	go func() {
		runtime.LockOSThread()
		for start := range p.starts {
			start()
		}
	}()
	p.prefix = fmt.Sprintf("127.%d.%d.", 30+rand.IntN(200), rand.IntN(250))
	if p.port, p.ready, p.link, err = p.freePorts(); err != nil {
		p.Stop()
		return nil, err
	}
	for i, zone := range corePlaces {
		p.Core = append(p.Core, &Machine{Name: fmt.Sprint("core-", i), IP: p.IP(10 + i), Zone: zone, core: true, platform: p, first: true})
	}
	for i, zone := range edgePlaces {
		p.Edges = append(p.Edges, &Machine{Name: fmt.Sprint("edge-", i), IP: p.IP(100 + i), Zone: zone, platform: p, first: true})
	}
	go p.stopOnSignal()
	for _, m := range p.Machines() {
		if err := m.Start(); err != nil {
			p.Stop()
			return nil, err
		}
		go p.watch(m)
	}
	return p, nil
}

// stopOnSignal stops all processes if this one is told to end.
func (p *Platform) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
		p.Stop()
		os.Exit(2)
	case <-p.stopped:
	}
}

// watch asks an edge machine once a second whether it is ready. After two misses it receives no new channels until it is ready again.
func (p *Platform) watch(m *Machine) {
	if m.core {
		return
	}
	for misses := 2; !isClosed(p.stopped); time.Sleep(time.Second) {
		if m.IsReady() {
			misses = 0
		} else {
			misses++
		}
		p.mu.Lock()
		p.rotation = slices.DeleteFunc(p.rotation, func(other *Machine) bool { return other == m })
		if misses < 2 {
			p.rotation = append(p.rotation, m)
		}
		p.mu.Unlock()
	}
}

// pickEdge returns an edge machine that is in rotation, another one than the last if there is one.
func (p *Platform) pickEdge(last *Machine) *Machine {
	p.mu.Lock()
	choice := slices.Clone(p.rotation)
	p.mu.Unlock()
	if len(choice) == 0 {
		choice = slices.Clone(p.Edges)
	}
	if len(choice) > 1 {
		choice = slices.DeleteFunc(choice, func(m *Machine) bool { return m == last })
	}
	return choice[rand.IntN(len(choice))]
}

// freePorts returns ports that are free on all addresses: for what the machines serve, for the readiness check, and two in a row between machines.
func (p *Platform) freePorts() (port, ready, link int, err error) {
	free := func(number int) bool {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(p.prefix+"10", strconv.Itoa(number)))
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
	p.stopping.Do(func() {
		close(p.stopped)
		for _, m := range p.Machines() {
			m.Signal(syscall.SIGKILL)
			m.Wait(5 * time.Second)
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(p.folder)
		} else {
			p.Record.Add("logs", "kept in the temporary folder", filepath.Base(p.folder))
		}
	})
}

func (m *Machine) writeBoot() (string, error) {
	p := m.platform
	listen := map[string]string{"Front": m.address(p.port), "Ready": m.address(p.ready)}
	class, serves, role := "edge", "edge", "entry"
	memory, disk, descriptors, share := 284, 0, 4100, 0.4
	var data any
	if m.core {
		listen = map[string]string{"Control": m.address(p.port)}
		class, serves, role = "core", "control", "control"
		memory, disk, descriptors, share = 280, 128, 4096, 0.96
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
		"Listen": listen, "PortRange": []int{p.link, p.link + 15}, "Seeds": seeds, "Bootstrap": m.first, "FaultCounted": m.core,
		"Limits":  map[string]any{"CpuShare": share, "Cores": 1, "MemoryMb": memory, "MaxFds": descriptors, "LinkMbps": 1000.0, "DiskMb": disk},
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
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil || isClosed(p.stopped) {
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
	command := exec.CommandContext(context.Background(), "target/citronglade", "platform")
	command.Dir = p.Repository
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONGLADE_BOOT=" + boot}
	command.Stdout, command.Stderr = m.log, m.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	p.starts <- func() { result <- command.Start() }
	if err := <-result; err != nil {
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
	response, err := p.calls.Do(request)
	if err != nil {
		return 0, nil, err
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response.StatusCode, data, err
}

// put sends a call with a JSON body to one machine. It returns the status, 0 without an answer within a second.
func (p *Platform) put(address, path string, body any) (int, []byte) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, data, err := p.call(ctx, http.MethodPut, "http://"+address+path, text)
	if err != nil {
		return 0, nil
	}
	return status, data
}

// Put sends a call to one control machine after the other until one gives a clear answer or the time is over. It returns the status, 0 without a
// clear answer.
func (p *Platform) Put(path string, body any, most time.Duration) int {
	pause := 20 * time.Millisecond
	for began, i := time.Now(), rand.IntN(len(p.Core)); time.Since(began) < most; i++ {
		status, _ := p.put(p.Core[i%len(p.Core)].Control(), path, body)
		if status != 0 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return 0
}

// Config submits a config and records the answer.
func (p *Platform) Config(config map[string]any) int {
	status := p.Put("/api/config", config, 15*time.Second)
	p.Record.Add("config", fmt.Sprint("version ", config["Version"]), fmt.Sprint("status ", status))
	return status
}

// AwaitReady waits until all edge machines are in rotation.
func (p *Platform) AwaitReady(most time.Duration) bool {
	for began := time.Now(); time.Since(began) < most; time.Sleep(50 * time.Millisecond) {
		p.mu.Lock()
		ready := len(p.rotation)
		p.mu.Unlock()
		if ready == len(p.Edges) {
			return true
		}
	}
	return false
}
