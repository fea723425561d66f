package assign

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
)

const (
	// waitSafetyFactor multiplies the expected time until a request begins where it must not begin after a limit.
	waitSafetyFactor = 3
	// maxWeightsHistory is the number of versions per model whose announcement time is kept.
	maxWeightsHistory = 32
)

// announcedWeights is a version of a model's weights and the moment at which this host learned of it.
type announcedWeights struct {
	version decisions.WeightsNumber
	at      unit.Moment
}

// SetNewest records the newest version of each model's weights.
func (a *Assigner) SetNewest(now unit.Moment, newest map[unit.ModelName]decisions.WeightsNumber) {
	for model, number := range newest {
		history := a.weightsHistory[model]
		if len(history) > 0 && history[len(history)-1].version >= number {
			continue
		}
		if len(history) >= maxWeightsHistory {
			history = history[1:]
		}
		a.weightsHistory[model] = append(history, announcedWeights{number, now})
	}
}

// timeSinceReplaced returns how long ago the first version newer than the given one was announced, 0 if there is none. Later
// versions don't matter: they don't make the given version any newer.
func (a *Assigner) timeSinceReplaced(now unit.Moment, model unit.ModelName, version decisions.WeightsNumber) time.Duration {
	for _, announced := range a.weightsHistory[model] {
		if announced.version > version {
			return now.Sub(announced.at)
		}
	}
	return 0
}

// LearnWeights records the version of the weights that an answer named.
func (a *Assigner) LearnWeights(id unit.EndpointID, model unit.ModelName, version decisions.WeightsNumber) {
	r, ok := a.replicas[id]
	if !ok || version <= r.Weights[model] {
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
	replaced := a.timeSinceReplaced(now, w.Model, r.weights(w.Model))
	return replaced == 0 || replaced+waitSafetyFactor*expected < a.settings.WeightsLimit
}
