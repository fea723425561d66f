package assign

import "time"

// maxWaitShare is the longest time that a prompt may wait for other requests at the best endpoint, as a share of the shortest
// objective of the service. The rest of the objective is left for the prompt itself and for the error of the estimate.
const maxWaitShare = 0.6

// returnedWaitFactor multiplies the wait that is allowed to a request whose caller was refused before. Returning callers go
// before new ones; otherwise some callers are refused twice while others are admitted at once.
const returnedWaitFactor = 1.2

// Admits reports whether the request should be sent to an endpoint at all. A long wait at the best endpoint means that all
// engines are overloaded. Each further prompt would then take memory and so evict cached parts, slow down the answers that are
// being generated, and make requests late that would still be in time; overloaded engines would stay overloaded long after the
// load has fallen. The time that the prompt itself takes isn't counted, so that large prompts aren't refused before small ones.
// In a service with one class the limit is the same for all requests, because those with a higher limit would fill the queue. With several
// classes, engines serve urgent requests first, and package room decides.
func (c *Choice) Admits(w *Request) bool {
	if c.Room != nil {
		return c.Room.Admitted
	}
	return w.admits(c.QueueTime)
}

func (w *Request) admits(waiting time.Duration) bool {
	return !w.HasPrompt || w.ShortestObjective <= 0 || waiting <= w.waitLimit()
}

// waitLimit returns how long the request may wait for others.
func (w *Request) waitLimit() time.Duration {
	limit := maxWaitShare * float64(w.ShortestObjective)
	if w.PreviouslyRefused {
		limit *= returnedWaitFactor
	}
	return time.Duration(limit)
}

// ExcessWait returns how much longer the request would wait for others than is admitted. If nothing else arrives, there is room for
// the request after that time.
func (c *Choice) ExcessWait(w *Request) time.Duration {
	if c.Room != nil {
		return c.Room.Until
	}
	return max(0, c.QueueTime-w.waitLimit())
}
