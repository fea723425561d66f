// Package leader finds the leader of a quorum group among the control hosts and calls it.
package leader

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// attemptTimeout is how long a silent host is waited for. Commands carry ids, so one that is sent twice does no harm.
	attemptTimeout  = 600 * time.Millisecond
	firstRetryDelay = 20 * time.Millisecond
	maxRetryDelay   = 500 * time.Millisecond
)

// Message is what a call to a group carries: the group and the command's own payload.
type Message struct {
	Group   uint32 `cbor:"1,keyasint"`
	Payload []byte `cbor:"2,keyasint"`
}

// Call sends one message to one host and returns its answer.
type Call func(ctx context.Context, to unit.HostName, kind string, payload []byte) ([]byte, error)

// Caller remembers the leader of each group. It is safe for concurrent use.
type Caller struct {
	call  Call
	hosts []unit.HostName

	mu      sync.Mutex
	leaders map[uint32]unit.HostName
	next    int
}

// New returns a caller for the given control hosts.
func New(call Call, hosts []unit.HostName) *Caller {
	return &Caller{call: call, hosts: hosts, leaders: map[uint32]unit.HostName{}}
}

// SetHosts replaces the control hosts. An empty list changes nothing.
func (c *Caller) SetHosts(hosts []unit.HostName) {
	if len(hosts) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = hosts
}

// Call sends payload to the group's leader and retries until ctx ends. It returns fault.Unreachable if no attempt ever
// reached a host, so that the command was certainly not applied, and fault.NoQuorum if it may have been.
func (c *Caller) Call(ctx context.Context, group uint32, kind string, payload []byte) ([]byte, error) {
	message, err := codec.Marshal(Message{Group: group, Payload: payload})
	if err != nil {
		return nil, err
	}
	delay := &backoff.ExponentialBackOff{
		InitialInterval: firstRetryDelay, MaxInterval: maxRetryDelay, Multiplier: 2, RandomizationFactor: 0.5,
	}
	mayHaveRun := false
	for {
		host := c.target(group)
		answer, err := c.attempt(ctx, host, kind, message)
		if err == nil || !shouldRetry(err) {
			return answer, err
		}
		mayHaveRun = mayHaveRun || !errorx.IsOfType(err, fault.Unreachable) && !errorx.IsOfType(err, fault.NotLeader)
		c.forget(group, host, err)
		if !timer.Sleep(ctx, delay.NextBackOff()) {
			return nil, giveUp(err, mayHaveRun)
		}
	}
}

func (c *Caller) attempt(ctx context.Context, host unit.HostName, kind string, message []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return c.call(ctx, host, kind, message)
}

func (c *Caller) target(group uint32) unit.HostName {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.leaders[group]; ok {
		return known
	}
	host := c.hosts[c.next%len(c.hosts)]
	c.next++
	c.leaders[group] = host
	return host
}

// forget drops host as the leader, in favour of the one that it named.
func (c *Caller) forget(group uint32, host unit.HostName, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders[group] != host {
		return
	}
	delete(c.leaders, group)
	if named, ok := fault.LeaderOf(err); ok && named != "" && named != string(host) {
		c.leaders[group] = unit.HostName(named)
	}
}

func shouldRetry(err error) bool {
	for _, kind := range []*errorx.Type{fault.NotLeader, fault.NoQuorum, fault.Unreachable, fault.BrokenAnswer, fault.Stopping} {
		if errorx.IsOfType(err, kind) {
			return true
		}
	}
	return false
}

func giveUp(err error, mayHaveRun bool) error {
	if mayHaveRun {
		return fault.NoQuorum.Wrap(err, "the control hosts didn't answer in time")
	}
	return fault.Unreachable.Wrap(err, "no control host could take the call")
}
