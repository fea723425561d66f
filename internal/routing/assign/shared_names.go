package assign

import (
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/sharing"
)

// maxPublishedNames limits the names that are remembered as published. At the limit all are forgotten and published again.
const maxPublishedNames = 100_000

// sharedNames tracks which names of shared parts must be sent to the control hosts, so that they forward the cache events of
// these parts.
type sharedNames struct {
	publishedAt map[sharing.PartID]unit.Moment
	pending     []sharing.PartID
}

// record adds the names of a request's parts, except the last part, which belongs to the request itself.
func (s *sharedNames) record(now unit.Moment, w *Request) {
	for i := range len(w.Parts) - 1 {
		name := sharing.NewPartID(w.Parts[i].ID)
		if at, ok := s.publishedAt[name]; ok && now.Sub(at) < sharing.RepeatAfter {
			continue
		}
		if len(s.publishedAt) >= maxPublishedNames {
			clear(s.publishedAt)
		}
		s.publishedAt[name] = now
		s.pending = append(s.pending, name)
	}
}

// TakeSharedNames returns the names of shared parts that are due to be sent to the control hosts, each of them once.
func (a *Assigner) TakeSharedNames() []sharing.PartID {
	pending := a.sharedParts.pending
	a.sharedParts.pending = nil
	return pending
}
