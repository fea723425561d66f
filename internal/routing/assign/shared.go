package assign

import (
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/sharing"
)

// mostTold bounds the names that are remembered as told. Past it all are told again.
const mostTold = 100_000

// shared knows which names of shared parts the control hosts must be told, so that they pass on the events of these parts.
type shared struct {
	told    map[sharing.Name]unit.Moment
	pending []sharing.Name
}

// note takes the parts of a request that is sent. The last part belongs to the request itself.
func (s *shared) note(now unit.Moment, w *Work) {
	for i := range len(w.Parts) - 1 {
		name := sharing.NewName(w.Parts[i].ID)
		if at, ok := s.told[name]; ok && now.Sub(at) < sharing.RepeatAfter {
			continue
		}
		if len(s.told) >= mostTold {
			clear(s.told)
		}
		s.told[name] = now
		s.pending = append(s.pending, name)
	}
}

// Shared returns the names of shared parts that are to be told, once.
func (a *Assigner) Shared() []sharing.Name {
	pending := a.shared.pending
	a.shared.pending = nil
	return pending
}
