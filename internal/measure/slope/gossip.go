package slope

import (
	"fmt"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/network/gossip"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
	"github.com/citronglade/citronglade/internal/routing/quarantine"
)

const (
	announceInterval = 500 * time.Millisecond
	gossipWarmUp     = 10 * time.Second
	gossipMeasured   = 10 * time.Second
	// announceCopies is the number of entry hosts that each endpoint announces itself to, if there are so many.
	announceCopies = 2
)

// fleet is a set of simulated hosts that exchange gossip in virtual time. bytes and messages count their traffic.
type fleet struct {
	names     []unit.HostName
	rosters   []*endpoint.Roster
	exchanges []*gossip.Exchange
	register  *quarantine.Register
	sequence  uint64
	bytes     int
	messages  int
}

func measureGossip() ([]Row, error) {
	var rows []Row
	for _, size := range []struct{ hosts, endpoints int }{{7, 22}, {30, 60}, {100, 200}, {330, 600}} {
		measured, err := measureFleet(size.hosts, size.endpoints)
		if err != nil {
			return nil, err
		}
		rows = append(rows, measured...)
	}
	return rows, nil
}

func measureFleet(hosts, endpoints int) ([]Row, error) {
	f := newFleet(hosts)
	now := unit.Moment(0)
	for end := now.Add(gossipWarmUp); now < end; now = now.Add(gossip.Interval) {
		if err := f.step(now, endpoints); err != nil {
			return nil, err
		}
	}
	f.bytes, f.messages = 0, 0
	var ages []time.Duration
	began := processorTime()
	for end := now.Add(gossipMeasured); now < end; now = now.Add(gossip.Interval) {
		if err := f.step(now, endpoints); err != nil {
			return nil, err
		}
		ages = append(ages, f.ages(now)...)
	}
	used := processorTime() - began
	slices.Sort(ages)
	size := fmt.Sprintf("%d hosts, %d endpoints", hosts, endpoints)
	seconds := gossipMeasured.Seconds() * float64(hosts)
	return []Row{
		{"gossip", size, "sent and answered by a host", float64(f.bytes) / seconds, "B/s"},
		{"gossip", size, "processor time of a host", used.Seconds() / seconds * 100, "% of a core"},
		{"gossip", size, "age of an endpoint's news, median", ages[len(ages)/2].Seconds(), "s"},
		{"gossip", size, "age of an endpoint's news, p99", ages[len(ages)*99/100].Seconds(), "s"},
		{"gossip", size, "news older than 2 s", fractionAbove(ages, 2*time.Second) * 100, "%"},
		{"gossip", size, "news older than 4 s", fractionAbove(ages, 4*time.Second) * 100, "%"},
	}, nil
}

func newFleet(hosts int) *fleet {
	f := &fleet{register: quarantine.New()}
	for i := range hosts {
		f.names = append(f.names, unit.HostName(fmt.Sprintf("host-%d", i)))
	}
	for i, name := range f.names {
		peers := slices.DeleteFunc(slices.Clone(f.names), func(other unit.HostName) bool { return other == name })
		f.rosters = append(f.rosters, endpoint.New(time.Hour))
		f.exchanges = append(f.exchanges, gossip.New(name, peers, uint64(i)))
	}
	return f
}

// step simulates one gossip interval: at multiples of announceInterval each endpoint announces itself, then each host gossips
// with its targets.
func (f *fleet) step(now unit.Moment, endpoints int) error {
	if time.Duration(now)%announceInterval == 0 {
		f.sequence++
		for e := range endpoints {
			for copyNumber := range min(announceCopies, len(f.names)) {
				f.rosters[(e*7+copyNumber*13)%len(f.names)].Apply(now, f.announcement(e))
			}
		}
	}
	for i := range f.names {
		for _, target := range f.exchanges[i].Targets() {
			if err := f.exchange(now, i, target); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *fleet) announcement(e int) endpoint.Announcement {
	return endpoint.Announcement{
		Endpoint: unit.EndpointID(fmt.Sprintf("taalmodel-%d", e)), Kind: endpoint.KindEngine, Address: "10.0.0.1:8000",
		DataCentre: "nlw-a", Incarnation: 1_796_354_218_986, Model: "taalmodel", Weights: "w1", Slots: 16, CachePieces: 64,
		Sequence: f.sequence, Load: endpoint.Load{Running: int(f.sequence+uint64(e)) % 16},
	}
}

// exchange runs one gossip exchange between two hosts, encodes and decodes its messages as on the network, and counts their
// bytes.
func (f *fleet) exchange(now unit.Moment, from int, to unit.HostName) error {
	target := slices.Index(f.names, to)
	message := f.exchanges[from].Compose(now, f.rosters[from], nil, 1)
	for more := true; more; {
		payload, err := codec.Marshal(message)
		if err != nil {
			return err
		}
		var received gossip.Message
		if err := codec.Unmarshal(payload, &received); err != nil {
			return err
		}
		answer := gossip.Receive(now, f.rosters[target], f.register, received)
		encoded, err := codec.Marshal(answer)
		if err != nil {
			return err
		}
		f.bytes += len(payload) + len(encoded)
		f.messages++
		message, more = gossip.FollowUp(now, f.rosters[from], message, answer)
	}
	return nil
}

func (f *fleet) ages(now unit.Moment) []time.Duration {
	var ages []time.Duration
	for _, roster := range f.rosters {
		for _, e := range roster.All() {
			ages = append(ages, now.Sub(e.AnnouncedAt))
		}
	}
	return ages
}

func fractionAbove(ages []time.Duration, bound time.Duration) float64 {
	above := 0
	for _, age := range ages {
		if age > bound {
			above++
		}
	}
	return float64(above) / float64(len(ages))
}
