// Package quarantine keeps the digests of contents that crashed engines, so that a request that crashes every endpoint
// which runs it is stopped after two.
package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// crashesNeeded is the number of different endpoint incarnations. One crash may be a coincidence.
	crashesNeeded = 2
	firstDuration = 10 * time.Minute
	maxDuration   = 2 * time.Hour
	// memory is how long a crash, and the length of the last quarantine after its end, are remembered.
	memory = 2 * time.Hour
	// maxRound is far above what memory allows; a larger number comes from a faulty peer.
	maxRound = 1 << 20
	// maxEntries bounds the contents remembered, and maxCrashes the crashes of each.
	maxEntries = 1024
	maxCrashes = 4
	// maxExport bounds a message, which every host sends to three others every 250 ms. Half of it is for the newest
	// notices; the other half takes turns, for hosts that have just started.
	maxExport = 64
	// servedStep is the least time between two successes of a content that are told. It is far above the time that a message
	// takes, so that hosts don't take each other's account of one success for a later one.
	servedStep = time.Second
)

// Notice is what hosts tell each other: a crash that one of them saw, a quarantine, or a success.
type Notice struct {
	Content     unit.Digest      `cbor:"1,keyasint"`
	Endpoint    unit.EndpointID  `cbor:"2,keyasint,omitempty"` // of a crash
	Incarnation unit.Incarnation `cbor:"3,keyasint,omitempty"` // of a crash
	// Remaining is the time until the quarantine ends, or until the crash or the success is forgotten.
	Remaining time.Duration `cbor:"4,keyasint"`
	// Round is 0 for a crash or a success and counts the quarantines of a content from 1.
	Round int `cbor:"5,keyasint,omitempty"`
	// Served says that an endpoint answered the content, so that earlier crashes weren't of its making.
	Served bool `cbor:"6,keyasint,omitempty"`
}

// Update is what a peer lacks of a register.
type Update struct {
	Number  uint64   `cbor:"1,keyasint"` // of the last change that is in Notices or before them
	Notices []Notice `cbor:"2,keyasint,omitempty"`
}

// Register is one host's view. It is a deterministic state machine, not safe for concurrent use.
type Register struct {
	entries map[unit.Digest]*entry
	turn    int    // position of the notices that take turns in Export
	number  uint64 // of the last change
}

type entry struct {
	crashes  []crash // oldest first, all after servedAt
	round    int     // quarantines so far
	until    unit.Moment
	served   bool
	servedAt unit.Moment
	changed  uint64 // number of the last change
}

type crash struct {
	endpoint    unit.EndpointID
	incarnation unit.Incarnation
	at          unit.Moment
}

// New returns an empty register.
func New() *Register {
	return &Register{entries: map[unit.Digest]*entry{}}
}

// Crashed takes note that an endpoint incarnation crashed while it ran this content; Remaining is ignored. It reports
// whether the content is in quarantine.
func (r *Register) Crashed(now unit.Moment, n Notice) (quarantined bool) {
	r.forget(now)
	r.change(n.Content, r.entry(n.Content).add(crash{n.Endpoint, n.Incarnation, now}))
	r.bound(n.Content)
	_, quarantined = r.Check(now, n.Content)
	return quarantined
}

// Served takes note that an endpoint answered this content. A content that was running when an endpoint crashed isn't suspected
// any more then, and isn't in quarantine. It reports whether that changed anything.
func (r *Register) Served(now unit.Moment, content unit.Digest) bool {
	e := r.entries[content]
	if e == nil || len(e.crashes) == 0 && !now.Before(e.until) {
		return false
	}
	served := e.serve(now)
	r.change(content, served)
	return served
}

// Suspects reports whether the content has crashed an endpoint and hasn't been answered since.
func (r *Register) Suspects(content unit.Digest) bool {
	e := r.entries[content]
	return e != nil && len(e.crashes) > 0
}

// Number is the number of the last change.
func (r *Register) Number() uint64 {
	return r.number
}

// Since returns what changed after that number, at most 64 notices and those of one content more; the rest follows after the number
// of the update. A number that this register hasn't given is taken for 0.
func (r *Register) Since(now unit.Moment, number uint64) Update {
	if number == r.number {
		return Update{Number: number} // hundreds of hosts ask several times a second and mostly lack nothing
	}
	if number > r.number {
		number = 0
	}
	var changed []unit.Digest
	for content, e := range r.entries {
		if e.changed > number {
			changed = append(changed, content)
		}
	}
	slices.SortFunc(changed, func(a, b unit.Digest) int { return cmp.Compare(r.entries[a].changed, r.entries[b].changed) })
	update := Update{Number: r.number}
	for _, content := range changed {
		if len(update.Notices) >= maxExport {
			return update
		}
		e := r.entries[content]
		update.Notices = append(update.Notices, e.notices(now, content)...)
		update.Number = e.changed
	}
	update.Number = r.number
	return update
}

// change gives an entry the next number if it has changed.
func (r *Register) change(content unit.Digest, changed bool) {
	if changed {
		r.number++
		r.entries[content].changed = r.number
	}
}

// Prune drops what is over.
func (r *Register) Prune(now unit.Moment) {
	r.forget(now)
}

// Empty reports whether nothing is remembered, so that no content needs to be checked.
func (r *Register) Empty() bool {
	return len(r.entries) == 0
}

// Check reports whether a content is in quarantine, and until when.
func (r *Register) Check(now unit.Moment, content unit.Digest) (until unit.Moment, quarantined bool) {
	e := r.entries[content]
	if e == nil || e.round == 0 || !now.Before(e.until) {
		return 0, false
	}
	return e.until, true
}

// Export returns notices for a peer, at most 64.
func (r *Register) Export(now unit.Moment) []Notice {
	r.forget(now)
	var notices []Notice
	for content, e := range r.entries {
		notices = append(notices, e.notices(now, content)...)
	}
	slices.SortFunc(notices, compareNotices)
	if len(notices) <= maxExport {
		return notices
	}
	newest, others := notices[:maxExport/2], notices[maxExport/2:]
	result := slices.Clone(newest)
	for range maxExport - len(newest) {
		r.turn = (r.turn + 1) % len(others)
		result = append(result, others[r.turn])
	}
	return result
}

// Merge takes over a peer's notices. A quarantine that is known already never gets longer, and one that has ended doesn't
// come back: otherwise hosts would remind each other of it for ever, each adding the time that its message took. It returns the
// contents that are in quarantine now and weren't before.
func (r *Register) Merge(now unit.Moment, notices []Notice) []unit.Digest {
	if len(notices) == 0 {
		return nil
	}
	r.forget(now)
	var quarantined []unit.Digest
	for _, n := range notices[:min(len(notices), maxEntries)] {
		if n.Remaining <= 0 || n.Round < 0 || n.Round > maxRound {
			continue
		}
		_, before := r.Check(now, n.Content)
		e := r.entry(n.Content)
		at := now.Add(min(n.Remaining, memory) - memory)
		switch {
		case n.Round > 0:
			r.change(n.Content, e.join(n.Round, now.Add(min(n.Remaining, duration(n.Round)))))
		case n.Served:
			r.change(n.Content, e.serve(at))
		default:
			r.change(n.Content, e.add(crash{n.Endpoint, n.Incarnation, at}))
		}
		if _, after := r.Check(now, n.Content); after && !before {
			quarantined = append(quarantined, n.Content)
		}
		r.bound(n.Content)
	}
	return quarantined
}

// duration doubles with every round.
func duration(round int) time.Duration {
	d := firstDuration
	for i := 1; i < round && d < maxDuration; i++ {
		d *= 2
	}
	return min(d, maxDuration)
}

func (r *Register) entry(content unit.Digest) *entry {
	if r.entries[content] == nil {
		r.entries[content] = &entry{}
	}
	return r.entries[content]
}

// add counts a crash once, whichever hosts saw it. The first quarantine needs two crashes. After its end one more is enough
// for the next, since the content is known to crash engines; crashes of requests that were running when the quarantine
// began don't count for the next, nor do those before a success. It reports whether the crash is news.
func (e *entry) add(c crash) bool {
	if e.served && c.at <= e.servedAt {
		return false
	}
	for i, known := range e.crashes {
		if known.endpoint == c.endpoint && known.incarnation == c.incarnation {
			e.crashes[i].at = min(known.at, c.at)
			return false
		}
	}
	e.crashes = append(e.crashes, c)
	slices.SortStableFunc(e.crashes, compareCrashes)
	if len(e.crashes) > maxCrashes {
		e.crashes = e.crashes[1:]
	}
	last := e.crashes[len(e.crashes)-1].at
	if (e.round == 0 && len(e.crashes) >= crashesNeeded) || (e.round > 0 && e.until.Before(c.at)) {
		e.round++
		e.until = last.Add(duration(e.round))
	}
	return true
}

// join takes over a peer's quarantine, unless it began before a success. It reports whether the quarantine is news.
func (e *entry) join(round int, until unit.Moment) bool {
	switch {
	case e.served && until.Add(-duration(round)) <= e.servedAt:
	case round > e.round:
		e.round, e.until = round, until
		return true
	case round == e.round:
		e.until = min(e.until, until)
	}
	return false
}

// serve drops what is held against the content up to a success. It reports whether the success is news.
func (e *entry) serve(at unit.Moment) bool {
	if e.served && at < e.servedAt.Add(servedStep) {
		return false
	}
	e.served, e.servedAt = true, at
	e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool { return c.at <= at })
	if e.round > 0 && e.until.Add(-duration(e.round)) <= at {
		e.round, e.until = 0, 0
	}
	return true
}

func (e *entry) notices(now unit.Moment, content unit.Digest) []Notice {
	var notices []Notice
	if e.round > 0 && now.Before(e.until) {
		notices = append(notices, Notice{Content: content, Round: e.round, Remaining: e.until.Sub(now)})
	}
	for _, c := range e.crashes {
		if remaining := c.at.Add(memory).Sub(now); remaining > 0 {
			notices = append(notices, Notice{
				Content: content, Endpoint: c.endpoint, Incarnation: c.incarnation, Remaining: remaining,
			})
		}
	}
	if remaining := e.servedAt.Add(memory).Sub(now); e.served && remaining > 0 {
		notices = append(notices, Notice{Content: content, Served: true, Remaining: remaining})
	}
	return notices
}

// end is the moment at which the entry is forgotten.
func (e *entry) end() unit.Moment {
	end := e.until
	if len(e.crashes) > 0 {
		end = max(end, e.crashes[len(e.crashes)-1].at)
	}
	if e.served {
		end = max(end, e.servedAt)
	}
	return end.Add(memory)
}

// forget drops what is over.
func (r *Register) forget(now unit.Moment) {
	for content, e := range r.entries {
		if e.end().Before(now) {
			delete(r.entries, content)
		}
	}
}

// bound makes room after an entry was added, by dropping what would be forgotten first. That is never a content in
// quarantine while there are contents with a single crash. The added one stays.
func (r *Register) bound(added unit.Digest) {
	if len(r.entries) <= maxEntries {
		return
	}
	var worst unit.Digest
	var worstEntry *entry
	for content, e := range r.entries {
		if content == added {
			continue
		}
		order := -1
		if worstEntry != nil {
			order = cmp.Or(cmp.Compare(e.end(), worstEntry.end()), bytes.Compare(content[:], worst[:]))
		}
		if order < 0 {
			worst, worstEntry = content, e
		}
	}
	delete(r.entries, worst)
}

// compareNotices sorts what is newest first.
func compareNotices(a, b Notice) int {
	return cmp.Or(
		cmp.Compare(age(a), age(b)),
		bytes.Compare(a.Content[:], b.Content[:]),
		cmp.Compare(a.Endpoint, b.Endpoint),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

func age(n Notice) time.Duration {
	if n.Round > 0 {
		return duration(n.Round) - n.Remaining
	}
	return memory - n.Remaining
}

func compareCrashes(a, b crash) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.incarnation, b.incarnation))
}
