package tally

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

// PackUrgent returns the encoded loads of urgent requests, which are sent beside those of Pack, because earlier builds can't read more
// fields there. It begins with the number of classes, 0 if no service has several. For each endpoint with urgent requests follow the
// difference to the previous endpoint's index and the fields of each class, as variable-length numbers.
func (t EndpointLoads) PackUrgent() []byte {
	classes := 0
	for _, load := range t {
		for class := len(load.Urgent); class > classes; class-- {
			if load.Urgent[class-1] != (assign.ClassLoad{}) {
				classes = class
			}
		}
	}
	packed := binary.AppendUvarint(make([]byte, 0, 1+(1+4*classes)*len(t)), uint64(classes))
	last := registry.Index(0)
	for _, index := range slices.Sorted(maps.Keys(t)) {
		load := t[index]
		if load.Urgent == (assign.UrgentLoads{}) {
			continue
		}
		packed = binary.AppendUvarint(packed, uint64(index-last))
		for _, c := range load.Urgent[:classes] {
			for _, field := range []int64{int64(c.Requests), tokenSteps(c.Tokens), tokenSteps(c.PendingPrefill)} {
				packed = binary.AppendUvarint(packed, uint64(max(field, 0)))
			}
		}
		last = index
	}
	return packed
}

// UnpackUrgent decodes the loads of urgent requests into the loads of t. Nothing to decode means that the sender doesn't know classes; all
// its requests then count as urgent. It fails with fault.BadPeer.
func (t EndpointLoads) UnpackUrgent(packed []byte) error {
	if len(packed) == 0 {
		for index, load := range t {
			t[index] = load.AllUrgent()
		}
		return nil
	}
	values := reader{packed: packed}
	classes := values.next()
	if values.failed || classes > uint64(len(assign.UrgentLoads{})) || classes == 0 && len(values.packed) > 0 {
		return fault.BadPeer.New("urgent loads of %d classes can't be decoded", classes)
	}
	last := uint64(0)
	for len(values.packed) > 0 {
		step := values.next()
		last += step
		var urgent assign.UrgentLoads
		for class := range urgent[:classes] {
			urgent[class] = assign.ClassLoad{Requests: int(values.next()), Tokens: unit.Tokens(values.next() * tokenStep), PendingPrefill: unit.Tokens(values.next() * tokenStep)} //nolint:gosec // at most maxValue
		}
		if values.failed || step == 0 || last > uint64(^registry.Index(0)) {
			return fault.BadPeer.New("the urgent load after index %d can't be decoded", last-step)
		}
		if load, ok := t[registry.Index(last)]; ok {
			load.Urgent = urgent
			t[registry.Index(last)] = load
		}
	}
	return nil
}

// reader reads variable-length numbers.
type reader struct {
	packed []byte
	failed bool
}

func (r *reader) next() uint64 {
	value, size := binary.Uvarint(r.packed)
	if size <= 0 || value > maxValue {
		r.failed, r.packed = true, nil
		return 0
	}
	r.packed = r.packed[size:]
	return value
}
