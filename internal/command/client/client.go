// Package client is an HTTP client for the operator API of hosts.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/host/operators"
	"github.com/citronglade/citronglade/internal/network/identity"
)

const (
	hostsFlag    = "operator-hosts"
	keysFlag     = "keys-folder"
	operatorFlag = "operator"

	callTimeout = 30 * time.Second
	// connectTimeout bounds the connection and the TLS handshake, each. After it, a host that hangs or is partitioned off is
	// skipped and the next one is tried.
	connectTimeout = 2 * time.Second
	maxAnswerBytes = 256 << 20
)

// Client calls hosts with the certificate of one operator.
type Client struct {
	hosts  []string
	client *http.Client
}

// Flags returns the flags that every command that calls hosts needs.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: hostsFlag, Usage: "operator addresses of hosts, separated by commas", Value: "127.0.0.1:7400",
			Sources: cli.EnvVars("CITRONGLADE_OPERATOR_HOSTS"),
		},
		&cli.StringFlag{
			Name: keysFlag, Usage: "folder with authority.pem and the operator's certificate and key", Value: "keys",
			Sources: cli.EnvVars("CITRONGLADE_KEYS_FOLDER"),
		},
		&cli.StringFlag{
			Name: operatorFlag, Usage: "the operator's name, as in the certificate", Value: "operator",
			Sources: cli.EnvVars("CITRONGLADE_OPERATOR"),
		},
	}
}

// New returns a client that is configured by the command's flags. It fails with fault.BadSetting.
func New(c *cli.Command) (*Client, error) {
	operator, err := identity.New(c.String(keysFlag), c.String(operatorFlag), time.Now)
	if err != nil {
		return nil, err
	}
	var hosts []string
	for host := range strings.SplitSeq(c.String(hostsFlag), ",") {
		if host = strings.TrimSpace(host); host != "" {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		return nil, fault.BadSetting.New("--%s names no host", hostsFlag)
	}
	transport := &http.Transport{
		TLSClientConfig: operator.Client("http/1.1", ""), TLSHandshakeTimeout: connectTimeout,
		DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext,
	}
	return &Client{hosts: hosts, client: &http.Client{Transport: transport, Timeout: callTimeout}}, nil
}

// Hosts returns the addresses that the client may call.
func (c *Client) Hosts() []string {
	return c.hosts
}

// Get requests path from the hosts in order and decodes the answer of the first one that can be reached into result.
func (c *Client) Get(ctx context.Context, path string, result any) error {
	return c.tryHosts(func(host string) error { return c.GetFrom(ctx, host, path, result) })
}

// GetFrom requests path from one host and decodes its answer into result.
func (c *Client) GetFrom(ctx context.Context, host, path string, result any) error {
	return c.call(ctx, http.MethodGet, host, path, nil, result)
}

// Post sends body to the hosts in order until one can be reached. A host may have applied the body although its answer was
// lost, so a body that must not be applied twice must carry an id.
func (c *Client) Post(ctx context.Context, path string, body, result any) error {
	return c.tryHosts(func(host string) error { return c.call(ctx, http.MethodPost, host, path, body, result) })
}

// PostTo sends body to one host and decodes its answer into result.
func (c *Client) PostTo(ctx context.Context, host, path string, body, result any) error {
	return c.call(ctx, http.MethodPost, host, path, body, result)
}

// tryHosts calls the hosts in order until one can be reached and returns that call's result, even if it is an error. If no
// host can be reached, it returns the last error.
func (c *Client) tryHosts(call func(host string) error) error {
	var err error
	for _, host := range c.hosts {
		err = call(host)
		if err == nil || !errorx.IsOfType(err, fault.Unreachable) {
			return err
		}
	}
	return err
}

func (c *Client) call(ctx context.Context, method, host, path string, body, result any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return fault.Internal.Wrap(err, "cannot encode the request")
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "https://"+host+"/operator/v1"+path, bytes.NewReader(encoded))
	if err != nil {
		return fault.BadSetting.Wrap(err, "cannot call %q", host)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.client.Do(request)
	if err != nil {
		return fault.Unreachable.Wrap(err, "host %s doesn't answer", host)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return fault.BrokenAnswer.Wrap(err, "cannot read the whole answer of host %s", host)
	}
	return decode(answer.StatusCode, data, result)
}

func decode(status int, data []byte, result any) error {
	if status >= http.StatusBadRequest {
		var failure operators.Failure
		if json.Unmarshal(data, &failure) != nil || failure.Error == "" {
			return fault.BrokenAnswer.New("the host answered status %d", status)
		}
		return fault.ByName(failure.Code).New("%s", failure.Error)
	}
	if result == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fault.BrokenAnswer.Wrap(err, "cannot read the host's answer")
	}
	return nil
}
