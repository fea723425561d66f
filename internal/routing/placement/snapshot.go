package placement

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
)

// snapshotVersion must change when the meaning of the snapshot's fields changes.
const snapshotVersion = 1

// minSnapshotCount is the minimum decayed request count for a level to be included in a snapshot.
const minSnapshotCount = 0.5

type snapshot struct {
	Version   int            `cbor:"version"`
	Levels    []levelRecord  `cbor:"levels"`
	Endpoints []endpointCost `cbor:"endpoints"`
	Pools     []poolCost     `cbor:"pools"`
}

type levelRecord struct {
	Key   uint64  `cbor:"key"`
	Count float64 `cbor:"count"`
	Width int     `cbor:"width"`
}

type endpointCost struct {
	Endpoint unit.EndpointID `cbor:"endpoint"`
	Cost     cost            `cbor:"cost"`
}

type poolCost struct {
	Kind endpoint.Kind `cbor:"kind"`
	Name string        `cbor:"name"`
	Cost cost          `cbor:"cost"`
}

// Snapshot returns the widths and learned costs as deterministic CBOR. It contains no times, since a peer's clock
// differs.
func (p *Placer) Snapshot() []byte {
	s := snapshot{Version: snapshotVersion}
	for _, key := range p.levels.table.Keys() { // least recently used first, so that Restore keeps the order
		l, _ := p.levels.table.Peek(key)
		if l.count >= minSnapshotCount {
			s.Levels = append(s.Levels, levelRecord{Key: key, Count: l.count, Width: l.width})
		}
	}
	for id, c := range p.costs.endpoints {
		s.Endpoints = append(s.Endpoints, endpointCost{Endpoint: id, Cost: *c})
	}
	slices.SortFunc(s.Endpoints, func(a, b endpointCost) int {
		return strings.Compare(string(a.Endpoint), string(b.Endpoint))
	})
	for key, c := range p.costs.pools {
		s.Pools = append(s.Pools, poolCost{Kind: key.kind, Name: key.name, Cost: *c})
	}
	slices.SortFunc(s.Pools, func(a, b poolCost) int {
		return cmp.Or(strings.Compare(string(a.Kind), string(b.Kind)), strings.Compare(a.Name, b.Name))
	})
	data, err := codec.Marshal(s)
	if err != nil {
		return nil // the types above always encode
	}
	return data
}

// Restore replaces the placer's widths and costs by those of a peer's snapshot. It fails with fault.BadPeer and changes
// nothing if the bytes aren't a valid snapshot.
func (p *Placer) Restore(data []byte) error {
	var s snapshot
	if err := codec.Unmarshal(data, &s); err != nil {
		return err
	}
	if s.Version != snapshotVersion {
		return fault.BadPeer.New("placement snapshot has version %d, want %d", s.Version, snapshotVersion)
	}
	if len(s.Levels) > maxLevels || len(s.Endpoints) > maxCosts || len(s.Pools) > maxCosts {
		return fault.BadPeer.New("placement snapshot has %d levels and %d costs", len(s.Levels), len(s.Endpoints))
	}
	restored, widths := newCostTable(), newLevelTable()
	for _, l := range s.Levels {
		if !validAmount(l.Count) || l.Width < 0 || l.Width > math.MaxInt32 {
			return fault.BadPeer.New("placement snapshot has a level of count %g and width %d", l.Count, l.Width)
		}
		widths.table.Add(l.Key, &levelState{count: l.Count, width: l.Width, at: unknownMoment, narrowSince: unit.Never})
	}
	for _, e := range s.Endpoints {
		if !e.Cost.valid() {
			return fault.BadPeer.New("placement snapshot has invalid costs for endpoint %q", e.Endpoint)
		}
		restored.endpoints[e.Endpoint] = &e.Cost
	}
	for _, n := range s.Pools {
		if !n.Cost.valid() {
			return fault.BadPeer.New("placement snapshot has invalid costs for %s %q", n.Kind, n.Name)
		}
		restored.pools[poolKey{n.Kind, n.Name}] = &n.Cost
	}
	p.costs, p.levels = restored, widths
	return nil
}

func (c *cost) valid() bool {
	return validAmount(c.Prefill.Value) && validAmount(c.Transfer.Value) && validAmount(c.Waited) && validAmount(c.Ahead) &&
		c.Urgent.valid() && c.Rest.valid() &&
		c.Prefill.Samples >= 0 && c.Transfer.Samples >= 0
}

func (s *slotWaits) valid() bool {
	return validAmount(s.Shared) && validAmount(s.Worked) && validAmount(s.Present)
}

func validAmount(value float64) bool {
	return value >= 0 && value <= math.MaxInt64
}
