// Package driver runs clusters of citronglade processes on loopback addresses and sends requests to them. It is used by
// the tests, the demo and the measurements and is not part of the product.
package driver

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// startTimeout is how long the driver waits for a process to exit or for a condition to hold. It is also the default
// timeout of a request.
const startTimeout = 30 * time.Second

const (
	// firstPayload is the offset in a log's segment of the first record's payload, behind its header.
	firstPayload = 20
	// identityDigits is the length of a log's identity.
	identityDigits = 32
)

// Host is the configuration of one host process: its name, roles, listen addresses and additional flags.
type Host struct {
	Name                                      string
	Roles                                     string
	Link, Caller, Endpoint, Operator, Metrics string
	LinkByPeer                                map[string]string // link addresses that peers use instead of Link, by the peer's name
	ExtraFlags                                []string          // appended to the arguments of the process
}

// Cluster is a set of processes of one binary. Their keys and data are kept below Folder.
type Cluster struct {
	Binary string
	Folder string
	Hosts  []*Host

	mu        sync.Mutex
	processes map[string]*exec.Cmd
	exited    map[string]chan error // receives the result of each process's Wait
	logs      map[string]*processLog
	endpoints map[string]string   // addresses of emulated endpoints by id; a restarted endpoint keeps its address
	arguments map[string][]string // arguments that each process was last started with
	operator  *http.Client
	relays    map[hostPair]*Relay
}

// New returns a cluster of the given number of hosts, named entry-1, entry-2 and so on, and creates their keys. All hosts
// have the entry role; the first controls of them have the control role, too.
func New(binary, folder string, hosts, controls int) (*Cluster, error) {
	c := &Cluster{
		Binary: binary, Folder: folder, processes: map[string]*exec.Cmd{}, exited: map[string]chan error{},
		logs: map[string]*processLog{}, endpoints: map[string]string{}, arguments: map[string][]string{},
		relays: map[hostPair]*Relay{},
	}
	for i := range hosts {
		roles := "entry"
		if i < controls {
			roles = "entry,control"
		}
		host := &Host{Name: fmt.Sprintf("entry-%d", i+1), Roles: roles, LinkByPeer: map[string]string{}}
		for _, field := range []*string{&host.Link, &host.Caller, &host.Endpoint, &host.Operator, &host.Metrics} {
			address, err := freeAddress()
			if err != nil {
				return nil, err
			}
			*field = address
		}
		c.Hosts = append(c.Hosts, host)
	}
	return c, c.createKeys()
}

// Host returns the host with the given name, or nil if there is none.
func (c *Cluster) Host(name string) *Host {
	for _, host := range c.Hosts {
		if host.Name == name {
			return host
		}
	}
	return nil
}

// StartHosts starts the processes of all hosts.
func (c *Cluster) StartHosts() error {
	for _, host := range c.Hosts {
		if err := c.StartHost(host); err != nil {
			return err
		}
	}
	return nil
}

// StartHost starts the process of one host with all hosts of the cluster as its peers.
func (c *Cluster) StartHost(h *Host) error {
	var peers, entries, controls []string
	for _, other := range c.Hosts {
		entries = append(entries, other.Name)
		if strings.Contains(other.Roles, "control") {
			controls = append(controls, other.Name)
		}
		if other.Name != h.Name {
			peers = append(peers, other.Name+"="+other.linkAddressFor(h.Name))
		}
	}
	arguments := []string{
		"host", "--name", h.Name, "--data-centre", "nlw-a", "--roles", h.Roles,
		"--link-listen", h.Link, "--caller-listen", h.Caller, "--endpoint-listen", h.Endpoint,
		"--operator-listen", h.Operator, "--metrics-listen", h.Metrics, "--peers", strings.Join(peers, ","),
		"--entry-hosts", strings.Join(entries, ","), "--control-hosts", strings.Join(controls, ","),
		"--keys-folder", c.KeysFolder(), "--announce-key-file", filepath.Join(c.KeysFolder(), "announce.key"),
		"--data-folder", c.dataFolder(h.Name),
	}
	return c.Start(h.Name, append(arguments, h.ExtraFlags...)...)
}

// Start runs the binary with the given arguments and registers the process under the given name. Processes that are started
// under the same name one after the other share a log.
func (c *Cluster) Start(name string, arguments ...string) error {
	command := exec.Command(c.Binary, arguments...) //nolint:gosec,noctx // the driver starts the binary under test
	c.mu.Lock()
	log, found := c.logs[name]
	if !found {
		log = &processLog{}
	}
	c.mu.Unlock()
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return fault.Internal.Wrap(err, "cannot start %s", name)
	}
	exited := make(chan error, 1)
	go func() { exited <- command.Wait() }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name], c.exited[name], c.logs[name] = command, exited, log
	c.arguments[name] = arguments
	return nil
}

// Restart starts a process that has exited again, with its previous arguments and the additional ones given. For a host, the
// additional arguments are kept in ExtraFlags.
func (c *Cluster) Restart(name string, more ...string) error {
	if host := c.Host(name); host != nil {
		host.ExtraFlags = append(host.ExtraFlags, more...)
		return c.StartHost(host)
	}
	c.mu.Lock()
	arguments, known := c.arguments[name]
	c.mu.Unlock()
	if !known {
		return fault.NotFound.New("process %s is not known", name)
	}
	return c.Start(name, append(slices.Clone(arguments), more...)...)
}

// Running reports whether a process was started and Wait has not returned for it yet.
func (c *Cluster) Running(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, running := c.processes[name]
	return running
}

// RemoveData removes the data folder of a host. It fails if the process of the host is running.
func (c *Cluster) RemoveData(name string) error {
	if c.Running(name) {
		return fault.Conflict.New("%s is still running", name)
	}
	if err := os.RemoveAll(c.dataFolder(name)); err != nil {
		return fault.DiskFailed.Wrap(err, "cannot remove the data folder of %s", name)
	}
	return nil
}

// DamageLogs flips a bit in the first record of each log of a host. It fails if the process of the host is running.
func (c *Cluster) DamageLogs(name string) error {
	if c.Running(name) {
		return fault.Conflict.New("%s is still running", name)
	}
	segments, err := filepath.Glob(filepath.Join(c.dataFolder(name), "group-*", "segment-*"))
	if err != nil {
		return fault.Internal.Wrap(err, "cannot list the logs of %s", name)
	}
	damaged := map[string]bool{}
	for _, path := range segments {
		if damaged[filepath.Dir(path)] {
			continue
		}
		damaged[filepath.Dir(path)] = true
		data, err := os.ReadFile(filepath.Clean(path))
		if err != nil {
			return fault.DiskFailed.Wrap(err, "cannot read %s", path)
		}
		data[firstPayload] ^= 1
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return fault.DiskFailed.Wrap(err, "cannot write %s", path)
		}
	}
	return nil
}

// LogIdentity returns the identity in the first log that a host kept of a group, 32 hex digits.
func (c *Cluster) LogIdentity(name string, group int) (string, error) {
	path := filepath.Join(c.dataFolder(name), fmt.Sprintf("group-%d", group), "identity")
	data, err := os.ReadFile(filepath.Clean(path))
	if err != nil || len(data) < identityDigits {
		return "", fault.DiskFailed.Wrap(err, "cannot read %s", path)
	}
	return string(data[:identityDigits]), nil
}

func (c *Cluster) dataFolder(name string) string {
	return filepath.Join(c.Folder, "data", name)
}

// Signal sends a signal to a process.
func (c *Cluster) Signal(name string, signal syscall.Signal) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	command, ok := c.processes[name]
	if !ok {
		return fault.NotFound.New("process %s is not known", name)
	}
	if err := command.Process.Signal(signal); err != nil {
		return fault.Internal.Wrap(err, "cannot send a signal to %s", name)
	}
	return nil
}

// Stop sends a signal to a process, waits until the process has exited and returns its exit error.
func (c *Cluster) Stop(name string, signal syscall.Signal) error {
	if err := c.Signal(name, signal); err != nil {
		return err
	}
	return c.Wait(name)
}

// Wait waits until a process has exited and returns its exit error. It fails if the process is still running after
// startTimeout.
func (c *Cluster) Wait(name string) error {
	c.mu.Lock()
	exited := c.exited[name]
	c.mu.Unlock()
	select {
	case err := <-exited:
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.processes, name)
		return err
	case <-time.After(startTimeout):
		return fault.Internal.New("%s did not exit in time", name)
	}
}

// Close kills all processes and closes the relays. Stopped processes are continued first.
func (c *Cluster) Close() {
	c.mu.Lock()
	var names []string
	for name := range c.processes {
		names = append(names, name)
	}
	c.mu.Unlock()
	for _, name := range names {
		_ = c.Signal(name, syscall.SIGCONT)
		_ = c.Stop(name, syscall.SIGKILL)
	}
	for _, relay := range c.relays {
		relay.Close()
	}
}

// Log returns the combined standard output and standard error of a process.
func (c *Cluster) Log(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if log, ok := c.logs[name]; ok {
		return log.String()
	}
	return ""
}

// KeysFolder returns the folder that holds the keys of all hosts and operators.
func (c *Cluster) KeysFolder() string {
	return filepath.Join(c.Folder, "keys")
}

// Run runs the binary as an operator's command, waits until it exits and returns its standard output and exit code. If the
// command fails, the error contains its standard error.
func (c *Cluster) Run(arguments ...string) (stdout string, code int, err error) {
	var out, failure bytes.Buffer
	command := exec.Command(c.Binary, arguments...) //nolint:gosec,noctx // the driver starts the binary under test
	command.Stdout, command.Stderr = &out, &failure
	command.Env = append(os.Environ(), "CITRONGLADE_KEYS_FOLDER="+c.KeysFolder(), "CITRONGLADE_OPERATOR_HOSTS="+c.OperatorAddresses())
	runErr := command.Run()
	if runErr != nil {
		err = fault.Internal.New("citronglade %s: %s", strings.Join(arguments, " "), strings.TrimSpace(failure.String()))
	}
	return out.String(), command.ProcessState.ExitCode(), err
}

// OperatorAddresses returns the operator addresses of all hosts, separated by commas.
func (c *Cluster) OperatorAddresses() string {
	var addresses []string
	for _, host := range c.Hosts {
		addresses = append(addresses, host.Operator)
	}
	return strings.Join(addresses, ",")
}

// EntryAddresses returns the addresses of all hosts at which endpoints announce themselves, separated by commas.
func (c *Cluster) EntryAddresses() string {
	var addresses []string
	for _, host := range c.Hosts {
		addresses = append(addresses, host.Endpoint)
	}
	return strings.Join(addresses, ",")
}

// WaitFor polls condition until it returns nil. It fails with the last error of condition after startTimeout; what names the
// condition in the message.
func (c *Cluster) WaitFor(what string, condition func() error) error {
	deadline := time.Now().Add(startTimeout)
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fault.Internal.Wrap(err, "condition %q did not hold within %s", what, startTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *Cluster) createKeys() error {
	names := []string{"keys", "host", "--keys-folder", c.KeysFolder()}
	for _, host := range c.Hosts {
		names = append(names, host.Name)
	}
	for _, arguments := range [][]string{
		{"keys", "authority", "--keys-folder", c.KeysFolder()},
		names,
		{"keys", "operator", "--keys-folder", c.KeysFolder(), "operator"},
		{"keys", "announce", "--keys-folder", c.KeysFolder()},
	} {
		if _, _, err := c.Run(arguments...); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) linkAddressFor(peer string) string {
	if address, ok := h.LinkByPeer[peer]; ok {
		return address
	}
	return h.Link
}

// lastPort is the offset of the port that freeAddress tried last; the next search continues after it. Its initial value
// depends on the process id, so that test processes running at the same time search different ports first.
var lastPort atomic.Int64

// freeAddress returns a loopback address whose port is free for both TCP and UDP. The port is below the range that the kernel
// uses for outgoing connections (from 32768), so that no such connection takes the port of a host while the host is down.
func freeAddress() (string, error) {
	const first, count = 10_000, 22_000
	lastPort.CompareAndSwap(0, int64(os.Getpid())*97)
	for range count {
		address := fmt.Sprintf("127.0.0.1:%d", first+lastPort.Add(1)%count)
		if isFree(address) {
			return address, nil
		}
	}
	return "", fault.Internal.New("no free port found")
}

func isFree(address string) bool {
	stream, err := net.Listen("tcp", address) //nolint:noctx // closed at once
	if err != nil {
		return false
	}
	defer func() { _ = stream.Close() }()
	packets, err := net.ListenPacket("udp", address) //nolint:noctx // closed at once
	if err != nil {
		return false
	}
	return packets.Close() == nil
}
