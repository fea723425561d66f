package assign

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/cachedparts"
)

type overloadCall struct {
	class   int
	work    *Request
	host    int
	first   unit.Moment // when the caller sent it for the first time
	tried   []unit.EndpointID
	refused int
	flight  *Attempt
	// State at the engine.
	unread, made unit.Tokens
	lastEvent    unit.Moment
	late         bool
	queuedAt     unit.Moment
}

type overloadEngine struct {
	modelEngine
	gone           bool
	waiting, batch []*overloadCall
	read           unit.Tokens // prompt tokens that the current step reads
	stepEnd        unit.Moment
}

// admit moves waiting requests into the batch. More urgent requests go first and take the memory of less urgent ones.
func (e *overloadEngine) admit(o *overload) {
	slices.SortStableFunc(e.waiting, func(a, b *overloadCall) int {
		if o.mode == modeInOrder {
			return 0
		}
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(min(b.refused, 1), min(a.refused, 1)), cmp.Compare(a.queuedAt, b.queuedAt))
	})
	for len(e.waiting) > 0 {
		c, used := e.waiting[0], unit.Tokens(0)
		for _, other := range e.batch {
			used += other.work.memoryTokens()
		}
		if len(e.batch) >= overloadSlots || used+c.work.memoryTokens() > overloadMemory {
			last := len(e.batch) - 1
			if last < 0 || e.batch[last].class <= c.class || o.mode == modeInOrder {
				return
			}
			preempted := e.batch[last]
			preempted.unread = -1
			e.batch = e.batch[:last]
			e.waiting = append(e.waiting, preempted)
			continue
		}
		e.waiting = e.waiting[1:]
		c.unread = c.work.tokensAfter(min(e.heldParts(c.work), 1))
		e.batch = append(e.batch, c)
		if o.mode != modeInOrder {
			slices.SortStableFunc(e.batch, func(a, b *overloadCall) int { return cmp.Compare(a.class, b.class) })
		}
	}
}

// storeParts caches the parts of a prompt, as far as they fit into the memory beside the batch.
func (e *overloadEngine) storeParts(w *Request) {
	change := cachedparts.Change{Place: cachedparts.Place(e.id)}
	if key := w.partsAt(1)[0]; e.byKey[key] != nil {
		e.cached.MoveToFront(e.byKey[key])
	} else {
		e.byKey[key] = e.cached.PushFront(modelPart{key, w.Parts[0].Tokens})
		e.used += w.Parts[0].Tokens
		change.Added = append(change.Added, key)
	}
	room := overloadMemory
	for _, c := range e.batch {
		room -= c.work.tokensAfter(1) + c.work.Output // shared parts are in memory once
	}
	for e.used > room && e.cached.Len() > 0 {
		part, _ := e.cached.Remove(e.cached.Back()).(modelPart)
		delete(e.byKey, part.key)
		e.used -= part.tokens
		change.Removed = append(change.Removed, part.key)
	}
	e.changes = append(e.changes, change)
}

// step ends a step and begins the next one.
func (e *overloadEngine) step(o *overload) {
	if e.gone || e.stepEnd > o.now {
		return
	}
	for piece := e.read; len(e.batch) > 0; {
		at := slices.IndexFunc(e.batch, func(c *overloadCall) bool { return c.unread > 0 })
		if at < 0 || piece == 0 {
			break
		}
		c := e.batch[at]
		part := min(piece, c.unread)
		piece, c.unread = piece-part, c.unread-part
		if c.unread == 0 {
			e.storeParts(c.work)
		}
	}
	e.batch = slices.DeleteFunc(e.batch, func(c *overloadCall) bool {
		if c.unread > 0 {
			return false
		}
		c.made++
		if c.made%eventTokens == 0 || c.made == c.work.Output {
			o.event(c)
		}
		if c.made < c.work.Output {
			return false
		}
		o.hosts[c.host].End(o.now, c.flight, EndedComplete)
		o.count(c, func(n *overloadCounts) {
			if c.late {
				n.late++
			} else {
				n.inTime++
			}
		})
		return true
	})
	e.admit(o)
	e.read = 0
	for _, c := range e.batch {
		e.read = min(pieceTokens, e.read+c.unread)
	}
	if len(e.batch) > 0 {
		e.stepEnd = o.now.Add(stepTime + time.Duration(float64(pieceTime)*float64(e.read)/float64(pieceTokens)))
	}
}
