package configuration

import (
	"compress/flate"
	"maps"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// versionDelta is the delta from version Version-1 to Version.
type versionDelta struct {
	Version unit.ConfigurationVersion `cbor:"version"`
	Delta   Delta                     `cbor:"delta"`
}

type deflatedSheet struct {
	digest string
	data   []byte
}

// Update takes a host from version Base to Version. It is empty if the host is up to date. Otherwise it holds the Deltas if
// the machine still has all of them and they are smaller than the compressed sheet, and else, with Whole set, the whole
// compressed sheet in Deflated.
type Update struct {
	Base        unit.ConfigurationVersion              `cbor:"base"`
	Version     unit.ConfigurationVersion              `cbor:"version"`
	SheetDigest string                                 `cbor:"sheet-digest"`
	Order       unit.OrderID                           `cbor:"order"`
	Weights     map[unit.ModelName]unit.WeightsVersion `cbor:"weights"`
	Deltas      []Delta                                `cbor:"deltas,omitempty"`
	Whole       bool                                   `cbor:"whole,omitempty"`
	Deflated    []byte                                 `cbor:"deflated,omitempty"`
}

// Empty reports whether there is nothing newer than the base.
func (u Update) Empty() bool {
	return u.Version == u.Base && !u.Whole
}

// Apply returns the configuration that results from applying the update to base. It fails with fault.Corrupt if the update
// doesn't fit the base; the host must then request the update from version 0.
func (u Update) Apply(base Current) (Current, error) {
	if u.Empty() {
		return base, nil
	}
	next := Current{
		Version: u.Version, SheetDigest: u.SheetDigest, Sheet: base.Sheet, Order: u.Order, Weights: u.Weights,
	}
	var err error
	if u.Whole {
		if next.Sheet, err = codec.Inflate(u.Deflated, maxSheetBytes); err != nil {
			return Current{}, err
		}
	} else if base.Version != u.Base {
		return Current{}, fault.Corrupt.New("the update starts at version %d, not %d", u.Base, base.Version)
	}
	for _, delta := range u.Deltas {
		if next.Sheet, err = delta.Apply(next.Sheet); err != nil {
			return Current{}, err
		}
	}
	if digestOf(next.Sheet) != u.SheetDigest {
		return Current{}, fault.Corrupt.New("the update doesn't lead to sheet %s", u.SheetDigest)
	}
	return next, nil
}

// Since returns the update from the given version to the current one. For a version newer than the current one, which a
// lagging follower may be asked about, the update is empty, so that no host goes back to an older version.
func (m *Machine) Since(version unit.ConfigurationVersion) Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.state.Current
	if version >= current.Version {
		return Update{Base: version, Version: version}
	}
	update := Update{
		Base: version, Version: current.Version, SheetDigest: current.SheetDigest,
		Order: current.Order, Weights: maps.Clone(current.Weights),
	}
	deltas, size, known := m.deltasSince(version)
	whole := m.deflateCurrent()
	if known && size < len(whole) {
		update.Deltas = deltas
		return update
	}
	update.Whole, update.Deflated = true, whole
	return update
}

func (m *Machine) deltasSince(version unit.ConfigurationVersion) (deltas []Delta, size int, known bool) {
	if version == 0 || len(m.state.Deltas) == 0 || version+1 < m.state.Deltas[0].Version {
		return nil, 0, false
	}
	for _, step := range m.state.Deltas[version+1-m.state.Deltas[0].Version:] {
		if step.Delta.BaseDigest != step.Delta.ResultDigest {
			deltas = append(deltas, step.Delta)
			size += step.Delta.size()
		}
	}
	return deltas, size, true
}

func (m *Machine) appendDelta(old, next Current) {
	delta := Delta{BaseDigest: old.SheetDigest, ResultDigest: next.SheetDigest}
	if old.SheetDigest != next.SheetDigest {
		delta = diffSheets(old.Sheet, next.Sheet)
	}
	m.state.Deltas = append(m.state.Deltas, versionDelta{Version: next.Version, Delta: delta})
	total := 0
	for i := len(m.state.Deltas) - 1; i >= 0; i-- {
		total += m.state.Deltas[i].Delta.size()
		if total > maxDeltaBytes || len(m.state.Deltas)-i > maxDeltas {
			m.state.Deltas = m.state.Deltas[i+1:]
			return
		}
	}
}

// deflateCurrent returns the compressed current sheet. It is compressed once and cached for all hosts that request it.
func (m *Machine) deflateCurrent() []byte {
	if m.deflatedCache == nil || m.deflatedCache.digest != m.state.Current.SheetDigest {
		m.deflatedCache = &deflatedSheet{digest: m.state.Current.SheetDigest, data: codec.Deflate(m.state.Current.Sheet, flate.DefaultCompression)}
	}
	return m.deflatedCache.data
}
