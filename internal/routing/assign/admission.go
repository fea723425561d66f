package assign

import "time"

// waitLimit is how long a prompt may wait for others at the best endpoint, as a part of the shortest objective of the service.
// The rest of the objective is for the prompt itself and for the error of the estimate.
const waitLimit = 0.6

// Admits reports whether the request shall be sent to the endpoint at all. When every endpoint makes a prompt wait that long, all
// engines are behind. Each prompt more would take memory there that pushes cached parts out, slow down the answers that are
// being written, and make those late that would still be in time; so engines that are behind stay behind long after the load
// has fallen. The time that the prompt itself takes doesn't count, so that large prompts aren't refused before small ones, and
// the limit is the same for all kinds of requests, as those with a longer one would fill the queue.
func (c *Choice) Admits(w *Work) bool {
	return w.admits(c.Waiting)
}

func (w *Work) admits(waiting time.Duration) bool {
	return !w.Prompted || w.Shortest <= 0 || waiting <= time.Duration(waitLimit*float64(w.Shortest))
}
