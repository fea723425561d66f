package hub

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/admission/usage"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/planning/usagelimit"
	"github.com/citronglade/citronglade/internal/routing/tally"
)

func setLimits(t *testing.T, h *Hub, version table.Version, limit *usagelimit.Limit) {
	t.Helper()
	encoded, err := codec.Marshal(table.Table{Version: version, Customers: []table.Customer{{Name: "c", Keys: []string{"k"}, Limit: limit}}})
	assert.NilError(t, err)
	h.tablePage.Version, h.tablePage.Table = version, encoded
	h.sumLoads(t.Context())
}

// Guards against use that is known only to the control host that got the report, and against buckets that entry hosts of another control host
// never hear of.
func TestUsageReachesHostsOfAnotherControlHost(t *testing.T) {
	first, second := newTestHub(t), newTestHub(t)
	clock := timer.NewManual()
	clock.Advance(time.Hour)
	first.Timer, second.Timer = clock, clock
	second.Name, first.Incarnation, second.Incarnation = "10.0.0.2", 1, 2
	limit := usagelimit.Limit{PerSecond: 1_000, Burst: 10_000, Unit: usagelimit.Tokens}
	setLimits(t, first, 1, &limit)
	setLimits(t, second, 1, &limit)
	exchange(t, first, second)

	meters := map[unit.HostName]*usage.Meter{}
	sync := func(h *Hub, host unit.HostName) {
		if meters[host] == nil {
			meters[host] = usage.NewMeter(uint64(len(meters)+1), func() float64 { return 0.999 })
		}
		report := meters[host].Report(clock.Now())
		answer := h.syncAnswer(host, clock.Now(), SyncRequest{Usage: &report}, tally.EndpointLoads{})
		meters[host].Accept(clock.Now(), report, *answer.Usage)
	}
	for range 100 { // the buckets get full
		clock.Advance(100 * time.Millisecond)
		sync(first, "10.0.1.1")
		sync(second, "10.0.1.2")
		first.sumLoads(t.Context())
		second.sumLoads(t.Context())
		exchange(t, first, second)
	}
	assert.Assert(t, meters["10.0.1.2"].Take(clock.Now(), "c", limit, 1).Admitted)
	assert.Assert(t, meters["10.0.1.1"].Take(clock.Now(), "c", limit, 25_000).Admitted)
	sync(first, "10.0.1.1")
	exchange(t, first, second)
	exchange(t, first, second) // repeated updates count once
	sync(second, "10.0.1.2")
	d := meters["10.0.1.2"].Take(clock.Now(), "c", limit, 1)
	assert.Assert(t, !d.Admitted)
	assert.Assert(t, d.Level <= -14_999 && d.Level >= -15_003, "%g", d.Level)

	// Without the limit, nothing is sent any more.
	setLimits(t, first, 2, nil)
	report := meters["10.0.1.1"].Report(clock.Now())
	assert.Assert(t, first.syncAnswer("10.0.1.1", clock.Now(), SyncRequest{Usage: &report}, tally.EndpointLoads{}).Usage == nil)
	assert.Assert(t, first.usageUpdate(clock.Now(), "10.0.0.2", 0) == nil)
}

// Guards against accounts that are kept for good, or are dropped before the other control host has read that, once no customer has a limit.
func TestAccountsAreDroppedWithoutAnyLimit(t *testing.T) {
	first, second := newTestHub(t), newTestHub(t)
	clock := timer.NewManual()
	clock.Advance(time.Hour)
	first.Timer, second.Timer = clock, clock
	second.Name, first.Incarnation, second.Incarnation = "10.0.0.2", 1, 2
	limit := usagelimit.Limit{PerSecond: 1_000, Burst: 10_000}
	setLimits(t, first, 1, &limit)
	setLimits(t, second, 1, &limit)
	meter := usage.NewMeter(1, func() float64 { return 0 })
	for range 3 {
		report := meter.Report(clock.Now())
		meter.Accept(clock.Now(), report, *first.syncAnswer("10.0.1.1", clock.Now(), SyncRequest{Usage: &report}, tally.EndpointLoads{}).Usage)
		meter.Take(clock.Now(), "c", limit, 1)
		exchange(t, first, second)
	}
	setLimits(t, first, 2, nil)
	setLimits(t, second, 2, nil)
	clock.Advance(10*time.Minute - 1)
	first.sumLoads(t.Context())
	assert.Assert(t, first.usageUpdate(clock.Now(), "10.0.0.2", 0) == nil)
	clock.Advance(1)
	first.sumLoads(t.Context())
	assert.Assert(t, first.droppingUsage)
	for range 3 {
		exchange(t, first, second)
	}
	first.sumLoads(t.Context())
	assert.Assert(t, !first.droppingUsage)
}

// Guards against a control host that answers reports before it has a table with limits: what is reported to it isn't counted. Also guards against
// hosts of the previous build, which send no reports, that change the account or get answers that they can't use.
func TestReportsAreAnsweredOnlyWithAnAccount(t *testing.T) {
	h := newTestHub(t)
	m := usage.NewMeter(1, func() float64 { return 0 })
	report := m.Report(0)
	assert.Assert(t, h.syncAnswer("10.0.1.1", 0, SyncRequest{Usage: &report}, tally.EndpointLoads{}).Usage == nil)
	setLimits(t, h, 1, &usagelimit.Limit{PerSecond: 1_000})
	assert.Assert(t, h.syncAnswer("10.0.1.2", 0, SyncRequest{}, tally.EndpointLoads{}).Usage == nil)
	answer := h.syncAnswer("10.0.1.1", 0, SyncRequest{Usage: &report}, tally.EndpointLoads{})
	assert.Equal(t, answer.Usage.Hosts, 1, "a host without reports counts for a share of the limits")
	assert.Equal(t, answer.Usage.Covered, 1)
}
