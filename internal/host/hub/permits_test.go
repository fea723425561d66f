package hub

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/endpoints/requestlimit"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/permit"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

// Guards against a limit that only the host knows which got the answer, and against permits that don't reach hosts which sync with
// another control host than the leader, reach them twice, or outlast their time on the way.
func TestALimitAndItsPermitsReachHostsOfAnotherControlHost(t *testing.T) {
	leader, other := newTestHub(t), newTestHub(t)
	clock := timer.NewManual()
	leader.Timer, other.Timer = clock, clock
	leader.leaderTerm = func(unit.Moment) uint64 { return 1 }
	other.Name, leader.Incarnation, other.Incarnation = "10.0.0.2", 1, 2
	leader.registry.ApplyReport(0, registry.Report{ID: "e", Service: "s", Address: "10.1.0.1:80", Born: 1, Sequence: 1})
	exchange(t, leader, other)
	limit := requestlimit.Limit{}.Changed(10)
	named := SyncRequest{Epoch: 1, Limits: []assign.LifetimeLimit{{Lifetime: registry.Lifetime{Endpoint: "e", Born: 1}, Limit: limit}}}
	leader.syncAnswer("10.0.1.1", clock.Now(), named, tally.EndpointLoads{})
	exchange(t, leader, other)

	want := SyncRequest{Epoch: 2, WantedPermits: []permit.Count{{Index: other.registry.Index("e"), Permits: 3}}}
	answer := other.syncAnswer("10.0.1.2", clock.Now(), want, tally.EndpointLoads{})
	assert.Equal(t, answer.Update.Records[0].Limit, limit)
	assert.Equal(t, len(answer.Permits), 0)
	total := 0
	for range 20 { // a second, in which the limit allows 10 requests
		clock.Advance(50 * time.Millisecond)
		exchange(t, other, leader)
		answer = other.syncAnswer("10.0.1.2", clock.Now(), want, tally.EndpointLoads{})
		for _, c := range answer.Permits {
			assert.Equal(t, c.Index, other.registry.Index("e"))
			assert.Assert(t, c.LifetimeLeft > 0 && time.Duration(c.LifetimeLeft)*time.Millisecond <= permit.Lifetime)
			total += int(c.Permits)
		}
	}
	assert.Assert(t, total >= 9 && total <= 10, "%d permits", total)
	assert.Equal(t, len(leader.syncAnswer("10.0.1.1", clock.Now(), SyncRequest{Epoch: 1}, tally.EndpointLoads{}).Permits), 0, "a host that wants none")

	// A lower limit ends the permits that the control hosts still have.
	lower := SyncRequest{Epoch: 1, Limits: []assign.LifetimeLimit{{Lifetime: registry.Lifetime{Endpoint: "e", Born: 1}, Limit: limit.Changed(0.5)}}}
	for range 10 {
		clock.Advance(50 * time.Millisecond)
		exchange(t, other, leader) // nobody asks, so that the permits stay with the control hosts
	}
	leader.syncAnswer("10.0.1.1", clock.Now(), lower, tally.EndpointLoads{})
	exchange(t, leader, other)
	clock.Advance(50 * time.Millisecond)
	exchange(t, leader, other)
	assert.Equal(t, len(other.syncAnswer("10.0.1.2", clock.Now(), want, tally.EndpointLoads{}).Permits), 0)

	// The limit ends with the lifetime.
	leader.registry.ApplyReport(clock.Now(), registry.Report{ID: "e", Service: "s", Address: "10.1.0.1:80", Born: 2, Sequence: 1})
	leader.grantPermits(clock.Now(), true)
	assert.Equal(t, len(leader.permits), 0)
}
