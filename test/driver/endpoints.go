package driver

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"syscall"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// StartEndpoints starts the given numbers of emulated engines and service replicas, and one emulated cache store. Each
// endpoint runs in its own process, which is registered under the endpoint's id, so that it can be killed separately.
func (c *Cluster) StartEndpoints(engines, services int, engineFlags ...string) error {
	for i := range engines {
		if err := c.StartEndpoint("engine", "taalmodel", i+1, engineFlags...); err != nil {
			return err
		}
	}
	for i := range services {
		if err := c.StartEndpoint("service", "koppel-app", i+1); err != nil {
			return err
		}
	}
	return c.StartEndpoint("store", "prompt-geheugen", 1)
}

// StartEndpoint starts one emulated endpoint, which announces itself to all hosts. Its id is name-number.
func (c *Cluster) StartEndpoint(kind, name string, number int, flags ...string) error {
	id := fmt.Sprintf("%s-%d", name, number)
	address, known := c.endpointAddress(id)
	if !known {
		var err error
		if address, err = freeAddress(); err != nil {
			return err
		}
		c.mu.Lock()
		c.endpoints[id] = address
		c.mu.Unlock()
	}
	arguments := []string{
		"emulate", kind, "--first", fmt.Sprint(number), "--count", "1", "--name", name, "--listen", address,
		"--entries", c.EntryAddresses(), "--announce-key-file", filepath.Join(c.KeysFolder(), "announce.key"),
	}
	return c.Start(id, append(arguments, flags...)...)
}

// EndpointAddress returns the HTTP address of an emulated endpoint, or "" if the endpoint is not known.
func (c *Cluster) EndpointAddress(id string) string {
	address, _ := c.endpointAddress(id)
	return address
}

// WaitForEndpoints waits until every host knows at least count usable endpoints.
func (c *Cluster) WaitForEndpoints(count int) error {
	return c.WaitFor(fmt.Sprintf("%d usable endpoints on every host", count), func() error {
		for _, host := range c.Hosts {
			usable, err := c.UsableEndpoints(host)
			if err != nil {
				return err
			}
			if usable < count {
				return fault.NoEndpoint.New("%s knows %d usable endpoints", host.Name, usable)
			}
		}
		return nil
	})
}

// UsableEndpoints returns the number of endpoints that a host lists as usable, that is, that it would send requests to.
func (c *Cluster) UsableEndpoints(host *Host) (int, error) {
	printed, _, err := c.Run("endpoint", "list", "--json", "--operator-hosts", host.Operator)
	if err != nil {
		return 0, err
	}
	var endpoints []struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(printed), &endpoints); err != nil {
		return 0, fault.BadInput.Wrap(err, "cannot read the list of endpoints")
	}
	usable := 0
	for _, endpoint := range endpoints {
		if endpoint.State == "usable" {
			usable++
		}
	}
	return usable, nil
}

// Executions returns how many times the emulated service replicas have run the call with an idempotency key in total.
func (c *Cluster) Executions(key string) (int, error) {
	total := 0
	for i := 1; ; i++ {
		address, ok := c.endpointAddress(fmt.Sprintf("koppel-app-%d", i))
		if !ok {
			return total, nil
		}
		var executions struct {
			Keys map[string]int `json:"keys"`
		}
		if err := Get("http://"+address+"/emulator/v1/executions", &executions); err != nil {
			return 0, err
		}
		total += executions.Keys[key]
	}
}

// StopHosts sends SIGTERM to all hosts, waits until they have exited and fails if an exit code is not 0.
func (c *Cluster) StopHosts() error {
	for _, host := range c.Hosts {
		if err := c.Signal(host.Name, syscall.SIGTERM); err != nil {
			return err
		}
	}
	for _, host := range c.Hosts {
		if err := c.Wait(host.Name); err != nil {
			return fault.Internal.Wrap(err, "%s did not shut down cleanly:\n%s", host.Name, c.Log(host.Name))
		}
	}
	return nil
}

func (c *Cluster) endpointAddress(id string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	address, ok := c.endpoints[id]
	return address, ok
}
