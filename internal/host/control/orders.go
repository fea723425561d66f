package control

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/agreement/member"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/rollout"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
)

const (
	rolloutInterval = 200 * time.Millisecond
	// observeInterval is the time between two observations that are proposed without a change while a rollout is active. The rollout's
	// time advances only with commands.
	observeInterval = 2 * time.Second
	// leaseWait is how long a new leader waits before its first order. It is longer than the lease of the former leader, because an
	// engine that ignores fencing numbers would still obey the former leader's orders.
	leaseWait      = 2 * time.Second
	orderTimeout   = time.Second
	proposeTimeout = 2 * time.Second
)

// rolloutDriver sends the rollout's orders to engines while this host is the leader of group 0.
type rolloutDriver struct {
	host          *Host
	group         *member.Member
	announcedTerm uint64 // the term in which this host has announced itself as leader
	observedAt    unit.Moment
	observed      map[unit.EndpointID]rollout.Observed
	client        *http.Client
}

func (h *Host) runRollout(ctx context.Context) error {
	c := &rolloutDriver{host: h, group: h.groups[mainGroup], client: &http.Client{Timeout: orderTimeout}}
	ticks := make(chan struct{}, 1)
	cancel := h.Timer.Subscribe(rolloutInterval, func(unit.Moment) {
		select {
		case ticks <- struct{}{}:
		default:
		}
	})
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			c.step(ctx)
		}
	}
}

// step does what is due: it announces a new leader, proposes observations, and starts and repeats orders.
func (c *rolloutDriver) step(ctx context.Context) {
	now := c.host.Timer.Now()
	since, leading := c.group.LeaderSince()
	if !leading || now.Sub(since) < leaseWait || !c.group.HoldsLeaderLease(now) {
		return
	}
	if !c.announceLeader(ctx) {
		return
	}
	c.proposeObservations(ctx, now)
	for _, order := range c.host.mainMachine.rollout.Planned(c.host.WallClock().UnixMilli()) {
		c.runOrder(ctx, order)
	}
}

// announceLeader proposes the rollout's settings and this host as the leader, once in each term. It reports whether that has
// succeeded.
func (c *rolloutDriver) announceLeader(ctx context.Context) bool {
	term := c.group.Status().Term
	if c.announcedTerm == term {
		return true
	}
	loads := rollout.DefaultSettings()
	loads.MaxLoading = c.host.Settings.ConcurrentLoads
	_, err := c.propose(ctx, rollout.Command{Configure: &loads})
	if err == nil {
		_, err = c.propose(ctx, rollout.Command{Leader: &rollout.LeaderStarted{Host: c.host.Settings.Name, Term: term}})
	}
	if err != nil {
		klog.Warningf("rollout: cannot announce the new leader: %v", err)
		return false
	}
	c.announcedTerm, c.observed = term, nil
	return true
}

// proposeObservations proposes the state of all engines when it has changed, and every observeInterval while a rollout is active.
func (c *rolloutDriver) proposeObservations(ctx context.Context, now unit.Moment) {
	engines := c.observedEngines(now)
	changed := len(engines) != len(c.observed)
	list := make([]rollout.Observed, 0, len(engines))
	next := make(map[unit.EndpointID]rollout.Observed, len(engines))
	for _, engine := range engines {
		old, known := c.observed[engine.Endpoint]
		old.Sequence = engine.Sequence
		changed = changed || !known || old != engine
		next[engine.Endpoint] = engine
		list = append(list, engine)
	}
	due := c.host.mainMachine.rollout.Status().Active && now.Sub(c.observedAt) >= observeInterval
	if !changed && !due {
		return
	}
	if _, err := c.propose(ctx, rollout.Command{Observed: &rollout.StepObserved{Endpoints: list}}); err != nil {
		klog.Warningf("rollout: cannot propose the state of the engines: %v", err)
		return
	}
	c.observed, c.observedAt = next, now
}

// observedEngines returns the state of all engines that have announced themselves recently enough.
func (c *rolloutDriver) observedEngines(now unit.Moment) []rollout.Observed {
	var engines []rollout.Observed
	for _, entry := range c.host.endpoints() {
		if entry.Kind != endpoint.KindEngine || now.Sub(entry.AnnouncedAt) > c.host.Settings.Freshness {
			continue
		}
		engines = append(engines, rollout.Observed{
			Endpoint: entry.Endpoint, Incarnation: entry.Incarnation, Sequence: entry.Sequence, Model: entry.Model,
			Weights: entry.Weights, Loading: entry.Loading, Draining: entry.Draining || entry.DrainOrdered,
			HonoursFencing: entry.HonoursFencing, UrgentCapacity: entry.Slots,
		})
	}
	return engines
}

// runOrder proposes a new order and then sends it. An order that was started before is only sent again.
func (c *rolloutDriver) runOrder(ctx context.Context, order rollout.Order) {
	if !order.Started {
		answer, err := c.propose(ctx, rollout.Command{Started: &rollout.StepStarted{Term: c.announcedTerm, Order: order}})
		if err != nil || !answer.Accepted || answer.Order == nil {
			klog.V(1).Infof("rollout: order for %s not accepted: %s %v", order.Endpoint, answer.Reason, err)
			return
		}
		order = *answer.Order
		klog.Infof("rollout: %s loads %s of %s, order %d", order.Endpoint, order.Weights, order.Model, order.Fencing)
	}
	// The lease is checked again right before the order is sent, because the proposal may have taken long.
	if !c.group.HoldsLeaderLease(c.host.Timer.Now()) {
		return
	}
	if err := c.sendOrder(ctx, order); err != nil {
		klog.Warningf("rollout: %s: order %d failed: %v", order.Endpoint, order.Fencing, err)
	}
}

// loadOrder is the body of POST /engine/v1/orders.
type loadOrder struct {
	Order         string              `json:"order"`
	Model         unit.ModelName      `json:"model"`
	Weights       unit.WeightsVersion `json:"weights-version"`
	FencingNumber unit.FencingNumber  `json:"fencing-number"`
}

func (c *rolloutDriver) sendOrder(ctx context.Context, order rollout.Order) error {
	address, ok := c.addressOf(order)
	if !ok {
		return fault.NoEndpoint.New("the engine is no longer known in the order's incarnation")
	}
	body, err := json.Marshal(loadOrder{
		Order: "load", Model: order.Model, Weights: order.Weights, FencingNumber: order.Fencing,
	})
	if err != nil {
		return fault.Internal.Wrap(err, "cannot encode an order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/engine/v1/orders", bytes.NewReader(body))
	if err != nil {
		return fault.Internal.Wrap(err, "cannot make a request to %s", address)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.client.Do(request)
	if err != nil {
		return fault.Unreachable.Wrap(err, "cannot reach %s", address)
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK && answer.StatusCode != http.StatusAccepted {
		return fault.BrokenAnswer.New("the engine answered %s", answer.Status)
	}
	return nil
}

// addressOf returns the address of the order's engine, if the engine still runs in the incarnation that the order is for.
func (c *rolloutDriver) addressOf(order rollout.Order) (string, bool) {
	for _, entry := range c.host.endpoints() {
		if entry.Endpoint == order.Endpoint {
			return entry.Address, entry.Incarnation == order.Incarnation
		}
	}
	return "", false
}

func (c *rolloutDriver) propose(ctx context.Context, command rollout.Command) (rollout.Answer, error) {
	command.AtUnixMilli = c.host.WallClock().UnixMilli()
	encoded, err := rollout.EncodeCommand(command)
	if err != nil {
		return rollout.Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.group.Propose(ctx, append([]byte{prefixRollout}, encoded...))
	if err != nil {
		return rollout.Answer{}, err
	}
	return rollout.DecodeAnswer(result)
}
