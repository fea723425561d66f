package hub

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

// Guards against hosts that are offered themselves, hosts that are stopping, silent or cut off themselves, or none although some reach the
// endpoints.
func TestRelaysReachEndpoints(t *testing.T) {
	now := unit.Moment(10 * time.Second)
	heard := func(reach assign.Reach) entryState { return entryState{heardAt: now, reach: reach} }
	cases := []struct {
		name    string
		entries map[unit.HostName]entryState
		peers   map[unit.HostName]peerState
		want    []unit.HostName
	}{
		{name: "the host itself only", entries: map[unit.HostName]entryState{"a": heard(assign.ReachesNone)}},
		{name: "hosts that reach everything go before others", want: []unit.HostName{"b"}, entries: map[unit.HostName]entryState{
			"a": heard(assign.ReachesNone), "b": heard(assign.ReachesAll), "c": heard(assign.ReachesSome), "d": heard(assign.ReachesNone),
		}},
		{name: "no host reaches everything", want: []unit.HostName{"c"}, entries: map[unit.HostName]entryState{
			"a": heard(assign.ReachesNone), "c": heard(assign.ReachesSome), "d": heard(assign.ReachesNone),
		}},
		{name: "silent and stopping hosts", entries: map[unit.HostName]entryState{
			"a": heard(assign.ReachesNone), "b": {heardAt: now.Add(-2 * time.Second)}, "c": {heardAt: now, stopping: true},
		}},
		{name: "hosts of other control hosts", want: []unit.HostName{"f", "g"}, entries: map[unit.HostName]entryState{
			"a": heard(assign.ReachesNone), "e": heard(assign.ReachesNone),
		}, peers: map[unit.HostName]peerState{
			"x": {heardAt: now, relaysAt: now, relays: []unit.HostName{"a", "e", "f"}}, "y": {heardAt: now, relaysAt: now.Add(-time.Second), relays: []unit.HostName{"f", "g"}},
			"z": {heardAt: now, relaysAt: now.Add(-4 * time.Second), relays: []unit.HostName{"old"}}, "w": {heardAt: now.Add(-2 * time.Second), relaysAt: now, relays: []unit.HostName{"lost"}},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &Hub{entries: c.entries, peers: c.peers}
			assert.DeepEqual(t, slices.Collect(slices.Values(h.relaysFor(now, "a"))), c.want)
		})
	}
}

// Guards against hundreds of hosts that are all offered the same few.
func TestRelaysAreSpread(t *testing.T) {
	now := unit.Moment(10 * time.Second)
	h := &Hub{entries: map[unit.HostName]entryState{}}
	for i := range 300 {
		reach := assign.ReachesAll
		if i%5 < 3 {
			reach = assign.ReachesNone
		}
		h.entries[unit.HostName(fmt.Sprintf("h%03d", i))] = entryState{heardAt: now, reach: reach}
	}
	offered := map[unit.HostName]int{}
	for name, entry := range h.entries {
		if entry.reach == assign.ReachesNone {
			relays := h.relaysFor(now, name)
			assert.Equal(t, len(relays), maxRelays)
			for _, relay := range relays {
				offered[relay]++
			}
		}
	}
	const fairShare = 180 * maxRelays / 120 // 180 hosts are cut off, 120 aren't
	for name, count := range offered {
		assert.Assert(t, count <= 3*fairShare, "%s is offered to %d hosts", name, count)
	}
	assert.Assert(t, len(offered) >= 115, "%d hosts are offered", len(offered))
}
