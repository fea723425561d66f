// Package quarantine records the digests of contents that crashed engines, so that a request that crashes every
// endpoint it runs on is stopped after two crashes.
package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// crashesNeeded is the number of different endpoint incarnations that must crash before the first quarantine. A
	// single crash may be a coincidence.
	crashesNeeded = 2
	firstDuration = 10 * time.Minute
	maxDuration   = 2 * time.Hour
	// retention is how long a crash is remembered, and how long the duration of the last quarantine is remembered after
	// its end.
	retention = 2 * time.Hour
	// maxRound is far above any number that can be reached within retention; a larger number comes from a faulty peer.
	maxRound = 1 << 20
	// maxEntries limits the number of remembered contents, maxCrashes the number of crashes of each content.
	maxEntries = 1024
	maxCrashes = 4
	// maxExport limits the notices in a message, which every host sends to three others every 250 ms. Half of them are
	// the newest notices; the other half rotates through the older ones, for hosts that have just started.
	maxExport = 64
	// minSuccessInterval is the minimum time between two successes of a content that are reported. It is far above the
	// transmission time of a message, so that a host doesn't take another host's report of the same success for a later
	// one.
	minSuccessInterval = time.Second
)

// Notice is an event that hosts report to each other: a crash, a quarantine or a success.
type Notice struct {
	Content     unit.Digest      `cbor:"1,keyasint"`
	Endpoint    unit.EndpointID  `cbor:"2,keyasint,omitempty"` // only set for a crash
	Incarnation unit.Incarnation `cbor:"3,keyasint,omitempty"` // only set for a crash
	// Remaining is the time until the quarantine ends, or until the crash or the success is forgotten.
	Remaining time.Duration `cbor:"4,keyasint"`
	// Round is 0 for a crash or a success. For a quarantine it is the number of quarantines of the content so far, from
	// 1.
	Round int `cbor:"5,keyasint,omitempty"`
	// Served marks a success: an endpoint answered the content, so earlier crashes weren't caused by it.
	Served bool `cbor:"6,keyasint,omitempty"`
}

// Update contains the changes of a register that a peer hasn't received yet.
type Update struct {
	Number  uint64   `cbor:"1,keyasint"` // number of the last change that is included in Notices or was sent before
	Notices []Notice `cbor:"2,keyasint,omitempty"`
}

// Register is one host's view of crashes and quarantines. It is a deterministic state machine and not safe for
// concurrent use.
type Register struct {
	entries  map[unit.Digest]*entry
	rotation int    // position of the next older notice in Export
	number   uint64 // number of the last change
}

type entry struct {
	crashes    []crash // oldest first, all after servedAt
	round      int     // number of quarantines so far
	until      unit.Moment
	served     bool
	servedAt   unit.Moment
	lastChange uint64 // number of the last change
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

// RecordCrash records that an endpoint incarnation crashed while it ran this content; n.Remaining is ignored. It reports
// whether the content is quarantined.
func (r *Register) RecordCrash(now unit.Moment, n Notice) (quarantined bool) {
	r.removeExpired(now)
	r.markChanged(n.Content, r.getOrCreate(n.Content).addCrash(crash{n.Endpoint, n.Incarnation, now}))
	r.evictExcess(n.Content)
	_, quarantined = r.Check(now, n.Content)
	return quarantined
}

// RecordSuccess records that an endpoint answered this content. If the content was running when an endpoint crashed before, it
// is no longer suspected and no longer quarantined. RecordSuccess reports whether that changed anything.
func (r *Register) RecordSuccess(now unit.Moment, content unit.Digest) bool {
	e := r.entries[content]
	if e == nil || len(e.crashes) == 0 && !now.Before(e.until) {
		return false
	}
	served := e.recordSuccess(now)
	r.markChanged(content, served)
	return served
}

// Suspects reports whether an endpoint crashed while it ran the content, and no endpoint has answered the content
// since.
func (r *Register) Suspects(content unit.Digest) bool {
	e := r.entries[content]
	return e != nil && len(e.crashes) > 0
}

// Number returns the number of the last change.
func (r *Register) Number() uint64 {
	return r.number
}

// Since returns the changes after the given number: at most 64 notices, plus the rest of the last content's notices. To
// get the remaining ones, the peer asks again with the number of the update. A number that this register hasn't reached
// is treated as 0.
func (r *Register) Since(now unit.Moment, number uint64) Update {
	if number == r.number {
		return Update{Number: number} // hundreds of hosts ask several times a second and mostly lack nothing
	}
	if number > r.number {
		number = 0
	}
	var changed []unit.Digest
	for content, e := range r.entries {
		if e.lastChange > number {
			changed = append(changed, content)
		}
	}
	slices.SortFunc(changed, func(a, b unit.Digest) int { return cmp.Compare(r.entries[a].lastChange, r.entries[b].lastChange) })
	update := Update{Number: r.number}
	for _, content := range changed {
		if len(update.Notices) >= maxExport {
			return update
		}
		e := r.entries[content]
		update.Notices = append(update.Notices, e.notices(now, content)...)
		update.Number = e.lastChange
	}
	update.Number = r.number
	return update
}

// markChanged assigns the next change number to the entry if it has changed.
func (r *Register) markChanged(content unit.Digest, changed bool) {
	if changed {
		r.number++
		r.entries[content].lastChange = r.number
	}
}

// Prune removes expired entries.
func (r *Register) Prune(now unit.Moment) {
	r.removeExpired(now)
}

// Empty reports whether no content is recorded, so that no content needs to be checked.
func (r *Register) Empty() bool {
	return len(r.entries) == 0
}

// Check reports whether a content is quarantined, and until when.
func (r *Register) Check(now unit.Moment, content unit.Digest) (until unit.Moment, quarantined bool) {
	e := r.entries[content]
	if e == nil || e.round == 0 || !now.Before(e.until) {
		return 0, false
	}
	return e.until, true
}

// Export returns at most 64 notices for a peer.
func (r *Register) Export(now unit.Moment) []Notice {
	r.removeExpired(now)
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
		r.rotation = (r.rotation + 1) % len(others)
		result = append(result, others[r.rotation])
	}
	return result
}

// Merge applies a peer's notices. A known quarantine is never extended, and one that has ended isn't restored:
// otherwise hosts would report it to each other forever, each adding the transmission time of its message. Merge
// returns the contents that are quarantined now and weren't before.
func (r *Register) Merge(now unit.Moment, notices []Notice) []unit.Digest {
	if len(notices) == 0 {
		return nil
	}
	r.removeExpired(now)
	var quarantined []unit.Digest
	for _, n := range notices[:min(len(notices), maxEntries)] {
		if n.Remaining <= 0 || n.Round < 0 || n.Round > maxRound {
			continue
		}
		_, before := r.Check(now, n.Content)
		e := r.getOrCreate(n.Content)
		at := now.Add(min(n.Remaining, retention) - retention)
		switch {
		case n.Round > 0:
			r.markChanged(n.Content, e.mergeQuarantine(n.Round, now.Add(min(n.Remaining, duration(n.Round)))))
		case n.Served:
			r.markChanged(n.Content, e.recordSuccess(at))
		default:
			r.markChanged(n.Content, e.addCrash(crash{n.Endpoint, n.Incarnation, at}))
		}
		if _, after := r.Check(now, n.Content); after && !before {
			quarantined = append(quarantined, n.Content)
		}
		r.evictExcess(n.Content)
	}
	return quarantined
}

// duration returns the length of a content's quarantine, which doubles with every round.
func duration(round int) time.Duration {
	d := firstDuration
	for i := 1; i < round && d < maxDuration; i++ {
		d *= 2
	}
	return min(d, maxDuration)
}

func (r *Register) getOrCreate(content unit.Digest) *entry {
	if r.entries[content] == nil {
		r.entries[content] = &entry{}
	}
	return r.entries[content]
}

// addCrash counts a crash once, even if several hosts report it. The first quarantine needs two crashes. After its end,
// one more crash starts the next quarantine, since the content is known to crash engines; crashes of requests that were
// already running when the last quarantine began don't count, nor do crashes before a success. addCrash reports whether
// the crash is new.
func (e *entry) addCrash(c crash) bool {
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

// mergeQuarantine applies a peer's quarantine, unless it began before a success. It reports whether the quarantine is
// new.
func (e *entry) mergeQuarantine(round int, until unit.Moment) bool {
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

// recordSuccess removes the crashes and the quarantine that began before a success. It reports whether the success is
// new.
func (e *entry) recordSuccess(at unit.Moment) bool {
	if e.served && at < e.servedAt.Add(minSuccessInterval) {
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
		if remaining := c.at.Add(retention).Sub(now); remaining > 0 {
			notices = append(notices, Notice{
				Content: content, Endpoint: c.endpoint, Incarnation: c.incarnation, Remaining: remaining,
			})
		}
	}
	if remaining := e.servedAt.Add(retention).Sub(now); e.served && remaining > 0 {
		notices = append(notices, Notice{Content: content, Served: true, Remaining: remaining})
	}
	return notices
}

// expiry returns the time at which the entry is removed.
func (e *entry) expiry() unit.Moment {
	end := e.until
	if len(e.crashes) > 0 {
		end = max(end, e.crashes[len(e.crashes)-1].at)
	}
	if e.served {
		end = max(end, e.servedAt)
	}
	return end.Add(retention)
}

// removeExpired removes the entries whose expiry has passed.
func (r *Register) removeExpired(now unit.Moment) {
	for content, e := range r.entries {
		if e.expiry().Before(now) {
			delete(r.entries, content)
		}
	}
}

// evictExcess makes room after an entry was added, by removing the entry that expires first. That is never a
// quarantined content while there are contents with a single crash. The added entry stays.
func (r *Register) evictExcess(added unit.Digest) {
	if len(r.entries) <= maxEntries {
		return
	}
	var earliest unit.Digest
	var earliestEntry *entry
	for content, e := range r.entries {
		if content == added {
			continue
		}
		order := -1
		if earliestEntry != nil {
			order = cmp.Or(cmp.Compare(e.expiry(), earliestEntry.expiry()), bytes.Compare(content[:], earliest[:]))
		}
		if order < 0 {
			earliest, earliestEntry = content, e
		}
	}
	delete(r.entries, earliest)
}

// compareNotices orders notices by age, newest first.
func compareNotices(a, b Notice) int {
	return cmp.Or(
		cmp.Compare(noticeAge(a), noticeAge(b)),
		bytes.Compare(a.Content[:], b.Content[:]),
		cmp.Compare(a.Endpoint, b.Endpoint),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

func noticeAge(n Notice) time.Duration {
	if n.Round > 0 {
		return duration(n.Round) - n.Remaining
	}
	return retention - n.Remaining
}

func compareCrashes(a, b crash) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.incarnation, b.incarnation))
}
