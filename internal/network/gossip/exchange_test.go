package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
)

func announcement(sequence uint64, running int) endpoint.Announcement {
	return endpoint.Announcement{
		Endpoint: "e1", Kind: endpoint.KindEngine, Address: "127.0.0.1:1", Incarnation: 1, Model: "m", Weights: "w1", Slots: 4,
		Sequence: sequence, Load: endpoint.Load{Running: running},
	}
}

// sendUpdate sends the state of the roster from to the roster to, with all follow-up messages, and returns the messages sent.
func sendUpdate(now unit.Moment, x *Exchange, from, to *endpoint.Roster) []Message {
	message := x.Compose(now, from, nil, 1)
	messages := []Message{message}
	for {
		answer := Receive(now, to, quarantine.New(), message)
		next, more := FollowUp(now, from, message, answer)
		if !more {
			return messages
		}
		message = next
		messages = append(messages, message)
	}
}

// Guards against sending announcements that the peer already has, and against changes that never reach the peer.
func TestExchangeSendsAnnouncementsOnlyWhenAskedFor(t *testing.T) {
	own, other := endpoint.New(time.Hour), endpoint.New(time.Hour)
	x := New("a", []unit.HostName{"b"}, 1)
	own.Apply(1, announcement(1, 0))
	assert.Equal(t, len(sendUpdate(1, x, own, other)), 3, "vector, endpoint hashes, announcement")
	assert.Equal(t, len(sendUpdate(1, x, own, other)), 1)
	own.Apply(1, announcement(2, 3))
	assert.Equal(t, len(sendUpdate(1, x, own, other)), 1)
	entry, ok := other.Get("e1")
	assert.Assert(t, ok)
	assert.Equal(t, entry.Sequence, uint64(2))
	assert.Equal(t, entry.Load.Running, 3)
	drained := announcement(3, 0)
	drained.Draining = true
	own.Apply(1, drained)
	assert.Equal(t, len(sendUpdate(1, x, own, other)), 2)
	assert.Assert(t, entry.Draining)
}

// Guards against a dead endpoint that stays usable because two hosts send its last announcement back and forth: that must
// not make the announcement younger.
func TestEchoesDoNotRefreshADeadEndpoint(t *testing.T) {
	const freshness = 2 * time.Second
	a, b := endpoint.New(freshness), endpoint.New(freshness)
	x := New("a", []unit.HostName{"b"}, 1)
	a.Apply(0, announcement(1, 0))
	for now := unit.Moment(0); now < unit.Moment(freshness); now = now.Add(Interval) {
		sendUpdate(now, x, a, b)
		sendUpdate(now, x, b, a)
	}
	now := unit.Moment(freshness)
	assert.Equal(t, len(a.Usable(now, endpoint.KindEngine, "m")), 0)
	assert.Equal(t, len(b.Usable(now, endpoint.KindEngine, "m")), 0)
}

// Guards against hosts that ignore a restarted endpoint because its sequence numbers are lower than those of its previous
// incarnation.
func TestNewIncarnationReplacesTheOld(t *testing.T) {
	own, other := endpoint.New(time.Hour), endpoint.New(time.Hour)
	x := New("a", []unit.HostName{"b"}, 1)
	own.Apply(1, announcement(100, 0))
	sendUpdate(1, x, own, other)
	restarted := announcement(1, 0)
	restarted.Incarnation = 2
	own.Apply(2, restarted)
	sendUpdate(2, x, own, other)
	entry, ok := other.Get("e1")
	assert.Assert(t, ok)
	assert.Equal(t, entry.Incarnation, unit.Incarnation(2))
	sendUpdate(2, x, other, own)
	entry, _ = own.Get("e1")
	assert.Equal(t, entry.Incarnation, unit.Incarnation(2))
}

func hostNames(count int) []unit.HostName {
	var names []unit.HostName
	for i := range count {
		names = append(names, unit.HostName(fmt.Sprintf("p%d", i)))
	}
	return names
}

// Guards against a fan-out that grows with the number of hosts, and against neighbours that are never selected.
func TestTargetsAreBoundedAndComplete(t *testing.T) {
	for _, test := range []struct{ peers, fanout, neighbours int }{{0, 0, 0}, {1, 1, 1}, {2, 2, 2}, {8, 2, 8}, {30, 2, 8}, {329, 1, 8}} {
		x := New("a", hostNames(test.peers), 1)
		seen := map[unit.HostName]int{}
		for range 8 {
			targets := x.Targets()
			assert.Equal(t, len(targets), test.fanout, "%d peers", test.peers)
			for _, target := range targets {
				seen[target]++
			}
		}
		assert.Equal(t, len(seen), test.neighbours, "%d peers", test.peers)
		for peer, count := range seen {
			assert.Equal(t, count, 8*test.fanout/test.neighbours, "%d peers, %s", test.peers, peer)
		}
	}
}

// Guards against a selection of neighbours that splits the hosts into groups without a connection between them. It must not
// happen when a tenth of the hosts is lost either.
func TestNeighboursConnectAllHosts(t *testing.T) {
	names := hostNames(330)
	lost := func(name unit.HostName) bool { return slices.Index(names, name)%10 == 0 }
	reached := map[unit.HostName]bool{names[1]: true} // by breadth-first search
	for pending := []unit.HostName{names[1]}; len(pending) > 0; pending = pending[1:] {
		peers := slices.DeleteFunc(slices.Clone(names), func(other unit.HostName) bool { return other == pending[0] })
		for _, neighbour := range selectNeighbours(pending[0], peers) {
			if !lost(neighbour) && !reached[neighbour] {
				reached[neighbour] = true
				pending = append(pending, neighbour)
			}
		}
	}
	assert.Equal(t, len(reached), 330-33)
}

// Guards against messages from a peer that crash the host.
func FuzzReceive(f *testing.F) {
	good, err := codec.Marshal(Message{Announcements: []endpoint.Announcement{announcement(1, 0)}, RosterHash: 1, Vector: []byte{1, 2, 3, 4}, EndpointHashes: []uint32{7}})
	assert.NilError(f, err)
	f.Add(good)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var message Message
		if codec.Unmarshal(data, &message) == nil {
			Receive(1, endpoint.New(time.Second), quarantine.New(), message)
		}
	})
}
