package cache

import (
	"math"
	"slices"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// maxGaps limits the number of remembered gaps of one endpoint. Events of a forgotten gap are ignored when they arrive
// late.
const maxGaps = 8

// endpointState is the index's data about one endpoint. The position of a forgotten endpoint in Index.endpoints is
// reused with another generation.
type endpointState struct {
	endpoint     unit.EndpointID
	incarnation  unit.Incarnation
	generation   uint32 // postings of other generations are invalid
	receiving    bool   // a batch of this incarnation has arrived
	imported     bool   // entries were imported before the first batch
	complete     bool   // every piece of the engine is known, so a piece without a posting is absent
	next         uint64 // sequence number after the newest event
	doubtBefore  uint64 // postings confirmed before this sequence number are doubtful
	clearedAt    uint64 // sequence number after the newest "cleared" event; postings confirmed earlier are invalid
	missing      []sequenceRange
	forgottenEnd uint64 // end of the newest gap that is no longer in missing
}

// sequenceRange is a range of sequence numbers that haven't arrived, from first up to but excluding end.
type sequenceRange struct {
	first, end uint64
}

func (s *endpointState) reset(incarnation unit.Incarnation) {
	*s = endpointState{endpoint: s.endpoint, incarnation: incarnation, generation: s.generation + 1, missing: s.missing[:0]}
}

// valid reports whether a posting belongs to the current incarnation and was confirmed after the cache was last
// cleared.
func (s *endpointState) valid(p *posting) bool {
	return p.generation == s.generation && p.sequence >= s.clearedAt
}

func (s *endpointState) confirmed(p *posting) bool {
	return p.sequence >= s.doubtBefore
}

// advance moves the end of the event stream past a batch and reports whether events before the batch are missing.
func (s *endpointState) advance(first, end uint64) (gap bool) {
	begin := s.next
	if !s.receiving {
		s.receiving = true
		s.complete = first <= 1
		if first <= 1 || s.imported {
			begin = first
		}
	}
	if end <= s.next {
		return false
	}
	s.next = end
	if first <= begin {
		return false
	}
	s.complete = false
	s.doubtBefore = first
	s.missing = append(s.missing, sequenceRange{first: begin, end: first})
	s.limitMissing()
	return true
}

// limitMissing forgets the oldest gaps beyond maxGaps.
func (s *endpointState) limitMissing() {
	if excess := len(s.missing) - maxGaps; excess > 0 {
		s.forgottenEnd = max(s.forgottenEnd, s.missing[excess-1].end)
		s.missing = s.missing[excess:]
	}
}

// lostSince returns the number of events from a sequence number on that haven't arrived, or math.MaxInt if that is no
// longer known.
func (s *endpointState) lostSince(sequence uint64) int {
	if sequence < s.forgottenEnd {
		return math.MaxInt
	}
	lost := uint64(0)
	for _, m := range s.missing {
		if m.end > sequence {
			lost += m.end - max(m.first, sequence)
		}
	}
	return int(lost)
}

// fillMissing removes the sequence number of a late event from the missing ones. It returns false if the number isn't
// missing, as for a duplicate.
func (s *endpointState) fillMissing(sequence uint64) bool {
	for i, m := range s.missing {
		if sequence < m.first || sequence >= m.end {
			continue
		}
		switch {
		case m.first == sequence && m.end == sequence+1:
			s.missing = slices.Delete(s.missing, i, i+1)
		case m.first == sequence:
			s.missing[i].first++
		case m.end == sequence+1:
			s.missing[i].end--
		default:
			s.missing[i].end = sequence
			s.missing = slices.Insert(s.missing, i+1, sequenceRange{sequence + 1, m.end})
			s.limitMissing()
		}
		return true
	}
	return false
}
