package assign

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/control/versionage"
)

// waitSafetyFactor multiplies the expected time until a request begins where it must not begin after a limit.
const waitSafetyFactor = 3

// maxLearnedModels bounds the models of an engine, whose names callers choose.
const maxLearnedModels = 64

// SetNewest records the newest version of each model's weights, and the ages of versions, as a control host knew them at the given moment or
// later. The versions of the first call may have been named any time ago unless the control host knows their ages.
func (a *Assigner) SetNewest(at unit.Moment, newest map[unit.ModelName]decisions.WeightsNumber, ages versionage.Ages) {
	a.weightsHistory.Merge(at, ages)
	if a.heardNewest {
		a.weightsHistory.Learn(at, newest)
		return
	}
	a.heardNewest = true
	a.weightsHistory.Assume(newest)
}

// LearnWeights records the version of the weights that an answer named.
func (a *Assigner) LearnWeights(id unit.EndpointID, model unit.ModelName, version decisions.WeightsNumber) {
	r, ok := a.replicas[id]
	if !ok {
		return
	}
	known, has := r.Weights[model]
	if version <= known || !has && len(r.Weights) >= maxLearnedModels {
		return
	}
	learned := map[unit.ModelName]decisions.WeightsNumber{model: version}
	for other, known := range r.Weights {
		if other != model {
			learned[other] = known
		}
	}
	r.Weights = learned
	r.cached.clear()
}

// mayBegin reports whether the endpoint's weights will be new enough when the request begins there. It allows for a wait that is
// longer than expected.
func (a *Assigner) mayBegin(now unit.Moment, r *replica, w *Request, expected time.Duration) bool {
	if !w.HasPrompt {
		return true
	}
	age, replaced := a.weightsHistory.SinceReplaced(now, w.Model, r.weights(w.Model))
	return !replaced || age+waitSafetyFactor*expected < a.settings.WeightsLimit
}
