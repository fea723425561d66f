package assign

import (
	"math"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/streamgroup"
)

const (
	// outsideGroupCost is the cost of a gathered stream on an engine that doesn't belong to the service's group.
	outsideGroupCost = 0.2
	// insideGroupCost is the cost of a prompt on an engine of the group if its prefill takes groupPrefillTime or longer. It is higher than that of
	// fetching a long shared prompt, and about that of computing it again.
	insideGroupCost  = 0.6
	groupPrefillTime = 20 * time.Millisecond
	// crowdingCost is the cost of a gathered stream on an engine of average speed whose slots are all taken. Each running request makes the tokens of the others slower, which
	// the estimate of the time to the first byte doesn't show.
	crowdingCost = 0.35
)

// serviceGroup is the group of a service, and the loads from which it was computed.
type serviceGroup struct {
	*streamgroup.Group
	loadsAt unit.Moment
}

// streamGroup returns the engines on which the service's urgent streams are gathered, nil if the service doesn't gather them.
func (a *Assigner) streamGroup(now unit.Moment, w *Request, candidates []*replica) *streamgroup.Group {
	if w.Gathering == table.GatherNone || !w.HasPrompt {
		return nil
	}
	known, ok := a.groups[w.Service]
	if !ok {
		known = &serviceGroup{Group: streamgroup.New()}
		a.groups[w.Service] = known
	}
	if ok && known.loadsAt == a.loadsAt {
		return known.Group
	}
	known.loadsAt = a.loadsAt
	engines := make([]streamgroup.Engine, 0, len(candidates))
	for _, r := range candidates {
		if r.engine == nil {
			continue
		}
		engines = append(engines, streamgroup.Engine{
			ID: r.ID, Slots: r.engine.Slots, LongStreams: r.own.Add(r.others).Long, Usable: a.reachable(now, r) && !r.weightsUpdating && !a.suspected(now, r),
		})
	}
	known.Update(now, engines)
	return known.Group
}

// groupCost returns the cost of sending the request to an engine with the given load, inside or outside of the service's group.
func groupCost(group *streamgroup.Group, r *replica, w *Request, missing unit.Tokens, l Load) float64 {
	if group == nil || group.Size() == 0 || r.engine == nil {
		return 0
	}
	inside := group.Contains(r.ID)
	switch {
	case w.Gathering == table.GatherStream:
		tokenTime := r.knownFactor() * (1 + fullBatchDelay*float64(l.Requests)/float64(max(r.engine.Slots, 1)))
		cost := crowdingCost * (tokenTime - 1) / fullBatchDelay
		if !inside {
			cost += outsideGroupCost
		}
		return cost
	case inside:
		prefill := float64(missing) / prefillRate * float64(time.Millisecond)
		return insideGroupCost * math.Min(prefill/float64(groupPrefillTime), 1)
	default:
		return 0
	}
}
