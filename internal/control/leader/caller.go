// Package leader finds the leader of a quorum group among the control hosts and sends calls to it.
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
	// attemptTimeout is how long one attempt waits for a host's answer. Commands carry ids, so sending one twice is safe.
	attemptTimeout  = 600 * time.Millisecond
	firstRetryDelay = 20 * time.Millisecond
	maxRetryDelay   = 500 * time.Millisecond
)

// Message is the content of a call to a group: the group's number and the payload of the call.
type Message struct {
	Group   uint32 `cbor:"1,keyasint"`
	Payload []byte `cbor:"2,keyasint"`
}

// Call sends one message to one host and returns its answer.
type Call func(ctx context.Context, to unit.HostName, kind string, payload []byte) ([]byte, error)

// Caller sends calls to the leaders of groups and remembers them. It is safe for concurrent use.
type Caller struct {
	call  Call
	hosts []unit.HostName

	mu       sync.Mutex
	leaders  map[uint32]unit.HostName
	nextHost int
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

// Call sends payload to the group's leader and retries until ctx ends. It then fails with fault.Unreachable if no attempt
// reached a leader, so that the command was certainly not applied, and with fault.NoQuorum if it may have been applied.
func (c *Caller) Call(ctx context.Context, group uint32, kind string, payload []byte) ([]byte, error) {
	message, err := codec.Marshal(Message{Group: group, Payload: payload})
	if err != nil {
		return nil, err
	}
	delay := &backoff.ExponentialBackOff{
		InitialInterval: firstRetryDelay, MaxInterval: maxRetryDelay, Multiplier: 2, RandomizationFactor: 0.5,
	}
	mayBeApplied := false
	for {
		host := c.targetHost(group)
		answer, err := c.attempt(ctx, host, kind, message)
		if err == nil || !shouldRetry(err) {
			return answer, err
		}
		mayBeApplied = mayBeApplied || !errorx.IsOfType(err, fault.Unreachable) && !errorx.IsOfType(err, fault.NotLeader)
		c.forgetLeader(group, host, err)
		if !timer.Sleep(ctx, delay.NextBackOff()) {
			return nil, finalError(err, mayBeApplied)
		}
	}
}

func (c *Caller) attempt(ctx context.Context, host unit.HostName, kind string, message []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return c.call(ctx, host, kind, message)
}

func (c *Caller) targetHost(group uint32) unit.HostName {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.leaders[group]; ok {
		return known
	}
	host := c.hosts[c.nextHost%len(c.hosts)]
	c.nextHost++
	c.leaders[group] = host
	return host
}

// forgetLeader removes host as the group's leader after a failed call and records the leader that err names, if any.
func (c *Caller) forgetLeader(group uint32, host unit.HostName, err error) {
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

func finalError(err error, mayBeApplied bool) error {
	if mayBeApplied {
		return fault.NoQuorum.Wrap(err, "the control hosts didn't answer in time")
	}
	return fault.Unreachable.Wrap(err, "no control host could take the call")
}
