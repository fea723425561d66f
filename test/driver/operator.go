package driver

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/host/operators"
	"github.com/citronglade/citronglade/internal/network/identity"
)

// statusTimeout limits one status request to a host. The process of the host may be suspended by SIGSTOP.
const statusTimeout = 2 * time.Second

// Status returns the status that a host reports through its operator interface.
func (c *Cluster) Status(h *Host) (operators.HostStatus, error) {
	var status operators.HostStatus
	return status, c.getOperatorJSON(h, "/operator/v1/status", &status)
}

// Endpoints returns the status of all endpoints that a host knows.
func (c *Cluster) Endpoints(h *Host) ([]operators.EndpointStatus, error) {
	var endpoints []operators.EndpointStatus
	return endpoints, c.getOperatorJSON(h, "/operator/v1/endpoints", &endpoints)
}

// Ready reports whether a host passes its readiness check, which load balancers use to select hosts.
func (c *Cluster) Ready(h *Host) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Metrics+"/readyz", nil)
	if err != nil {
		return false, fault.Internal.Wrap(err, "cannot create a request")
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, fault.Unreachable.Wrap(err, "%s did not answer", h.Name)
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK, nil
}

func (c *Cluster) getOperatorJSON(h *Host, path string, result any) error {
	client, err := c.operatorClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+h.Operator+path, nil)
	if err != nil {
		return fault.Internal.Wrap(err, "cannot create a request")
	}
	answer, err := client.Do(request)
	if err != nil {
		return fault.Unreachable.Wrap(err, "%s did not answer", h.Name)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return fault.BrokenAnswer.New("%s answered with status %d", h.Name, answer.StatusCode)
	}
	if err := json.NewDecoder(answer.Body).Decode(result); err != nil {
		return fault.BadInput.Wrap(err, "the response of %s is not the expected JSON", h.Name)
	}
	return nil
}

func (c *Cluster) operatorClient() (*http.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.operator == nil {
		own, err := identity.New(c.KeysFolder(), "operator", time.Now)
		if err != nil {
			return nil, err
		}
		c.operator = &http.Client{Transport: &http.Transport{
			TLSClientConfig: own.Client("http/1.1", ""), DisableKeepAlives: true,
		}}
	}
	return c.operator, nil
}
