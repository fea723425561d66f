// Package crashcause determines which parts of prompts crash the engines that run requests with them. When an engine crashes, all
// requests that it was running break off, so most parts of these requests are harmless. A part is cleared when a request with it is
// answered completely, and a crash that one part explains isn't held against the others.
package crashcause

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
)

const (
	// CrashesNeeded is the number of crashes without a complete answer since the first of them after which a part is blocked.
	CrashesNeeded = 3
	// answeredCrashesNeeded is the number for a part that was answered before these crashes: it is a cause only if it has become one.
	answeredCrashesNeeded = 4
	// suspectCrashes is the number of such crashes from which a request with the part isn't sent again after a failed attempt.
	suspectCrashes = 2
	// simultaneity is the time within which crashes count once: engines that go down together have another common cause than a
	// part, whose requests arrive one after the other.
	simultaneity = 100 * time.Millisecond
	// blockDuration is how long a part is blocked after the last crash under it. Hosts end a block at different times within
	// blockSpread, so that the host that tries the part first can report another crash before the others do.
	blockDuration, blockSpread = 2 * time.Hour, 30 * time.Minute
	retention                  = 3 * blockDuration
	// maxCrashes limits the remembered crashes, maxParts the parts of each of them. evictedCrashes are removed at once when there are
	// more, since the choice takes long.
	maxCrashes, maxParts, evictedCrashes = 128, 512, 16
	// maxRecentParts limits the parts that are remembered as served.
	maxRecentParts = 16_384
	// maxBlocks limits the remembered decisions to block a part.
	maxBlocks = 4096
	// maxUpdateParts limits the parts in an update. One more crash may exceed it.
	maxUpdateParts = 256
	// recentTime is the age of the changes that Recent returns.
	recentTime = 30 * time.Second
)

// PartID identifies a part of a prompt for one model.
type PartID uint64

// NewPartID returns the hash that identifies a part.
func NewPartID(model unit.ModelName, id string) PartID {
	return PartID(xxhash.Sum64String(string(model) + "\x00" + id))
}

// Part is a part of a prompt that was sent to an engine.
type Part struct {
	_        struct{} `cbor:",toarray"`
	ID       PartID
	Position uint8                   // in the prompt, from 0
	Weights  decisions.WeightsNumber // of the prompt's model at the engine
}

// Notice is an event that hosts report to each other: a crash, complete answers, or the decision to block parts.
type Notice struct {
	// Lifetime is the lifetime of the engine that crashed, empty in other notices.
	Lifetime registry.Lifetime `cbor:"1,keyasint,omitzero"`
	// Parts are the parts of the requests that broke off with the engine, the parts that were answered, or those that are blocked.
	Parts []Part `cbor:"2,keyasint"`
	// Age is the time since the crash was noticed, since the last answer, or since the crash for which the parts are blocked.
	Age     time.Duration `cbor:"3,keyasint"`
	Blocked bool          `cbor:"4,keyasint,omitempty"` // the parts are blocked
}

// Update contains the changes of a register that a peer hasn't received yet.
type Update struct {
	Number  uint64   `cbor:"1,keyasint"` // number of the last change that is included in Notices or was sent before
	Notices []Notice `cbor:"2,keyasint,omitempty"`
}

// Register is one host's view of crashes and of the parts that cause them. All registers that have received the same notices block
// the same parts. It is a deterministic state machine and not safe for concurrent use.
type Register struct {
	extraBlockTime time.Duration
	crashes        map[registry.Lifetime]*crash
	served         map[PartID]*answer // of the parts that stand in crashes
	blocks         map[PartID]*block
	recent         *simplelru.LRU[PartID, answerVersion] // complete answers, also to parts that stand in no crash
	causes         map[PartID]Cause
	explained      map[registry.Lifetime]bool // crashes of causes
	outdated       bool                       // causes and explained must be computed again
	number         uint64
}

type crash struct {
	at         unit.Moment
	parts      map[PartID]Part
	lastChange change
}

// change is the number of a change of the register and when it was made.
type change struct {
	number uint64
	at     unit.Moment
}

// answerVersion is a complete answer: when it ended, and on which weights.
type answerVersion struct {
	weights decisions.WeightsNumber
	at      unit.Moment
}

// answer is the last complete answer to a request with a part.
type answer struct {
	answerVersion
	lastChange change
}

// block is the decision to block a part that was never answered. It holds until the part is answered: a host that doesn't know all parts of
// a crash yet may otherwise let a deadly part go, because another one explains more crashes.
type block struct {
	at         unit.Moment // of the crash that led to it
	lastChange change
}

// New returns an empty register. The draw is a random number in [0, 1) that sets the host's end of a block within blockSpread.
func New(draw float64) *Register {
	recent, _ := simplelru.NewLRU[PartID, answerVersion](maxRecentParts, nil) // fails only for a size below 1
	return &Register{
		extraBlockTime: time.Duration(draw * float64(blockSpread)), crashes: map[registry.Lifetime]*crash{}, served: map[PartID]*answer{},
		blocks: map[PartID]*block{}, recent: recent, causes: map[PartID]Cause{}, explained: map[registry.Lifetime]bool{},
	}
}

// RecordCrash records that an engine crashed while it ran requests with these parts.
func (r *Register) RecordCrash(now unit.Moment, l registry.Lifetime, parts []Part) {
	r.addCrash(now, Notice{Lifetime: l, Parts: parts})
}

// RecordServed records a complete answer to a request with these parts.
func (r *Register) RecordServed(now unit.Moment, parts []Part) {
	for _, p := range parts {
		v := answerVersion{p.Weights, now}
		r.recent.Add(p.ID, v)
		if len(r.crashes) > 0 {
			r.addServed(now, p.ID, v)
		}
	}
}

// Check returns a cause of crashes among the parts, if one of them is blocked. It is doubtful only if it is the only one.
func (r *Register) Check(now unit.Moment, parts []PartID) (cause Cause, blocked bool) {
	if len(r.crashes) == 0 {
		return Cause{}, false
	}
	r.update()
	for _, id := range parts {
		c, ok := r.causes[id]
		switch {
		case !ok || !now.Before(c.Until) || blocked && id == cause.Part:
		case blocked:
			cause.Doubtful = false
			return cause, true
		default:
			cause, blocked = c, true
		}
	}
	if cause.Doubtful {
		cause.Rivals = r.countRivals(cause, parts)
	}
	return cause, blocked
}

func (r *Register) countRivals(blocked Cause, parts []PartID) int {
	rivals, needed := 0, suspectCrashes
	if blocked.HidesOthers {
		needed = 1
	}
	for _, id := range parts {
		if id != blocked.Part && countSeparate(r.crashTimes(id, false)) >= needed {
			rivals++
		}
	}
	return rivals
}

// LastCrash returns when the last crash was noticed, and false if none is remembered.
func (r *Register) LastCrash() (last unit.Moment, ok bool) {
	for _, c := range r.crashes {
		if !ok || c.at > last {
			last, ok = c.at, true
		}
	}
	return last, ok
}

// Suspects reports whether one of the parts is blocked or may have caused at least two crashes, so that a request with it shouldn't be
// sent to another engine after a failed attempt.
func (r *Register) Suspects(parts []PartID) bool {
	if len(r.crashes) == 0 {
		return false
	}
	r.update()
	for _, id := range parts {
		if _, blocked := r.causes[id]; blocked || countSeparate(r.crashTimes(id, true)) >= suspectCrashes {
			return true
		}
	}
	return false
}

// Causes returns the parts that are blocked, sorted by their ids.
func (r *Register) Causes(now unit.Moment) []Cause {
	r.update()
	var causes []Cause
	for _, c := range r.causes {
		if now.Before(c.Until) {
			causes = append(causes, c)
		}
	}
	slices.SortFunc(causes, func(a, b Cause) int { return cmp.Compare(a.Part, b.Part) })
	return causes
}

// Number returns the number of the last change.
func (r *Register) Number() uint64 {
	return r.number
}

// Since returns the changes after the given number. To get the remaining ones, the peer asks again with the number of the update. A
// number that this register hasn't reached is treated as 0.
func (r *Register) Since(now unit.Moment, number uint64) Update {
	if number == r.number {
		return Update{Number: number}
	}
	if number > r.number {
		number = 0
	}
	update, parts := Update{Number: r.number}, 0
	for _, c := range r.changesSince(now, number) {
		if parts >= maxUpdateParts {
			return update
		}
		update.Notices, update.Number = append(update.Notices, c.notice), c.number
		parts += len(c.notice.Parts)
	}
	update.Number = r.number
	return update
}

// Recent returns the newest changes of the last 30 s, with at most 256 parts and those of one more crash, for a peer whose number isn't
// known.
func (r *Register) Recent(now unit.Moment) []Notice {
	var notices []Notice
	parts := 0
	for _, c := range slices.Backward(r.changesSince(now, 0)) {
		if parts >= maxUpdateParts {
			break
		}
		if now.Sub(c.at) <= recentTime {
			notices = append(notices, c.notice)
			parts += len(c.notice.Parts)
		}
	}
	return notices
}

// numberedNotice is a notice and the change that it tells of.
type numberedNotice struct {
	change
	notice Notice
}

// changesSince returns the changes after the given number, the oldest first.
func (r *Register) changesSince(now unit.Moment, number uint64) []numberedNotice {
	var changes []numberedNotice
	for l, c := range r.crashes {
		if c.lastChange.number > number {
			changes = append(changes, numberedNotice{c.lastChange, Notice{Lifetime: l, Parts: c.sortedParts(), Age: now.Sub(c.at)}})
		}
	}
	for id, a := range r.served {
		if a.lastChange.number > number {
			changes = append(changes, numberedNotice{a.lastChange, Notice{Parts: []Part{{ID: id, Weights: a.weights}}, Age: now.Sub(a.at)}})
		}
	}
	for id, b := range r.blocks {
		if b.lastChange.number > number {
			changes = append(changes, numberedNotice{b.lastChange, Notice{Parts: []Part{{ID: id}}, Age: now.Sub(b.at), Blocked: true}})
		}
	}
	slices.SortFunc(changes, func(a, b numberedNotice) int { return cmp.Compare(a.number, b.number) })
	return changes
}

// Export returns all notices, for a register that has none.
func (r *Register) Export(now unit.Moment) []Notice {
	var notices []Notice
	for number := uint64(0); number < r.number; {
		update := r.Since(now, number)
		notices, number = append(notices, update.Notices...), update.Number
	}
	return notices
}

// Merge applies a peer's notices.
func (r *Register) Merge(now unit.Moment, notices []Notice) {
	for _, n := range notices {
		n.Age = min(max(n.Age, 0), retention)
		if n.Lifetime != (registry.Lifetime{}) {
			r.addCrash(now, n)
			continue
		}
		for _, p := range n.Parts {
			if n.Blocked {
				r.addBlock(p.ID, now.Add(-n.Age))
				r.outdated = true
				continue
			}
			v := answerVersion{p.Weights, now.Add(-n.Age)}
			if known, ok := r.recent.Peek(p.ID); !ok || v.weights > known.weights || v.weights == known.weights && v.at > known.at {
				r.recent.Add(p.ID, v) // the crash that the answer speaks to may not be known yet
			}
			r.addServed(now, p.ID, v)
		}
	}
}

// Prune removes crashes that are older than retention.
func (r *Register) Prune(now unit.Moment) {
	for l, c := range r.crashes {
		if now.Sub(c.at) > retention {
			r.remove(l)
		}
	}
}

// addCrash merges a crash with what is known of the same lifetime.
func (r *Register) addCrash(now unit.Moment, n Notice) {
	at := now.Add(-n.Age)
	c := r.crashes[n.Lifetime]
	if c == nil {
		c = &crash{at: at, parts: map[PartID]Part{}}
		r.crashes[n.Lifetime] = c
		r.outdated = true
		r.recordChange(now, &c.lastChange)
	}
	if at < c.at {
		c.at, r.outdated = at, true
	}
	for _, p := range n.Parts {
		if _, known := c.parts[p.ID]; known || len(c.parts) >= maxParts {
			continue
		}
		c.parts[p.ID] = p
		r.outdated = true
		r.recordChange(now, &c.lastChange)
		if v, ok := r.recent.Peek(p.ID); ok {
			r.addServed(now, p.ID, v)
		}
	}
	r.evictExcess(n.Lifetime)
}

// addServed records the last complete answer to a request with a part, if the part stands in a crash.
func (r *Register) addServed(now unit.Moment, id PartID, v answerVersion) {
	known := r.served[id]
	if known == nil {
		if !r.standsInCrash(id) {
			return
		}
		known = &answer{answerVersion: v}
		r.served[id] = known
	} else if !r.clears(id, v) {
		return // hosts would tell each other of every answer
	}
	known.answerVersion = v
	r.outdated = true
	r.recordChange(now, &known.lastChange)
}

// addBlock records the decision to block a part, for a crash at the given moment.
func (r *Register) addBlock(id PartID, at unit.Moment) {
	known := r.blocks[id]
	if known == nil {
		if len(r.blocks) >= maxBlocks {
			return
		}
		known = &block{at: at}
		r.blocks[id] = known
		r.recordChange(at, &known.lastChange)
	}
	known.at = max(known.at, at)
}

func (r *Register) standsInCrash(id PartID) bool {
	for _, c := range r.crashes {
		if _, ok := c.parts[id]; ok {
			return true
		}
	}
	return false
}

// clears reports whether an answer clears a part of a crash that counts against it.
func (r *Register) clears(id PartID, v answerVersion) bool {
	for _, c := range r.crashes {
		if r.holds(c, id) && v.weights >= c.parts[id].Weights && v.at >= c.at {
			return true
		}
	}
	return false
}

func (r *Register) recordChange(now unit.Moment, lastChange *change) {
	r.number++
	*lastChange = change{r.number, now}
}

// evictExcess makes room if there are too many crashes, by removing the oldest ones that don't support a block. The added crash stays.
func (r *Register) evictExcess(added registry.Lifetime) {
	if len(r.crashes) <= maxCrashes {
		return
	}
	r.update()
	support := map[registry.Lifetime]int{}
	for l, c := range r.crashes {
		if l == added || r.supportsBlock(c) {
			support[l] = 1
		}
	}
	lifetimes := slices.SortedFunc(maps.Keys(r.crashes), func(a, b registry.Lifetime) int {
		return cmp.Or(cmp.Compare(support[a], support[b]), cmp.Compare(r.crashes[a].at, r.crashes[b].at))
	})
	for _, l := range lifetimes[:evictedCrashes] {
		r.remove(l)
	}
}

func (r *Register) supportsBlock(c *crash) bool {
	for id := range r.causes {
		if r.holds(c, id) {
			return true
		}
	}
	return false
}

// remove removes a crash, and what is known of parts that stand in no other crash.
func (r *Register) remove(l registry.Lifetime) {
	parts := r.crashes[l].parts
	delete(r.crashes, l)
	for id := range parts {
		if !r.standsInCrash(id) {
			delete(r.served, id)
			delete(r.blocks, id)
		}
	}
	r.outdated = true
}

// holds reports whether a crash counts against a part: no request with the part has been answered on the same weights or newer ones
// since.
func (r *Register) holds(c *crash, id PartID) bool {
	p, ok := c.parts[id]
	if !ok {
		return false
	}
	a := r.served[id]
	return a == nil || a.weights < p.Weights || a.at < c.at
}

func (c *crash) sortedParts() []Part {
	parts := make([]Part, 0, len(c.parts))
	for _, p := range c.parts {
		parts = append(parts, p)
	}
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.ID, b.ID) })
	return parts
}
