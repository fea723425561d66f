package forward

import "github.com/VictoriaMetrics/metrics"

var (
	gatheredInside  = metrics.NewCounter(`citronglade_gathered_streams_total{where="inside"}`)
	gatheredOutside = metrics.NewCounter(`citronglade_gathered_streams_total{where="outside"}`)
)

// countGathered counts an urgent stream by whether its engine belongs to the service's group.
func countGathered(inside bool) {
	if inside {
		gatheredInside.Inc()
	} else {
		gatheredOutside.Inc()
	}
}
