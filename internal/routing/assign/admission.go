package assign

import "time"

// waitLimit is how long a prompt may wait for others at the best endpoint, as a part of the shortest objective of the service.
// The rest of the objective is for the prompt itself and for the error of the estimate.
const waitLimit = 0.6

// returnedLimit is how much longer a prompt may wait whose caller was refused before. Callers that come back go before new ones:
// otherwise some are refused twice while others are let in at once.
const returnedLimit = 1.2

// Admits reports whether the request shall be sent to the endpoint at all. When every endpoint makes a prompt wait that long, all
// engines are behind. Each prompt more would take memory there that pushes cached parts out, slow down the answers that are
// being written, and make those late that would still be in time; so engines that are behind stay behind long after the load
// has fallen. The time that the prompt itself takes doesn't count, so that large prompts aren't refused before small ones, and
// the limit is the same for all kinds of requests, as those with a longer one would fill the queue.
func (c *Choice) Admits(w *Work) bool {
	return w.admits(c.Waiting)
}

func (w *Work) admits(waiting time.Duration) bool {
	return !w.Prompted || w.Shortest <= 0 || waiting <= w.waitLimit()
}

// waitLimit is how long the request may wait for others.
func (w *Work) waitLimit() time.Duration {
	limit := waitLimit * float64(w.Shortest)
	if w.Returned {
		limit *= returnedLimit
	}
	return time.Duration(limit)
}

// Excess is how much longer than admitted the request would wait for others, which is when there will be room if nothing else comes.
func (c *Choice) Excess(w *Work) time.Duration {
	return max(0, c.Waiting-w.waitLimit())
}
