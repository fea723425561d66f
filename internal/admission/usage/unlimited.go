package usage

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// accountMemory is how long an account without a limit is kept. Within that time a table that is replaced by an older one and back again, or that
// reaches control hosts at different times, makes no customer begin with a full bucket.
const accountMemory = 10 * time.Minute

// counterReader is another control host that reads the counters.
type counterReader struct {
	askedAt unit.Moment // when an update for it was last made
	read    uint64      // number up to which it had read the counters then
}

// noteUnlimited notes which accounts have no limit any more, or have one again.
func (l *Ledger) noteUnlimited(now unit.Moment) {
	for key := range l.accounts {
		if _, limited := l.limits[key]; limited {
			delete(l.unlimited, key)
		} else if _, noted := l.unlimited[key]; !noted {
			l.unlimited[key] = now
		}
	}
}

// DropUnlimited drops accounts that have had no limit for long. It reports whether some have to wait until other control hosts have read updates. They
// keep the counters of each account that they have read, drop them when they read counters of 0, and the account is dropped after that. It would
// otherwise begin at 0 again with a later limit, and that would be taken for use that was returned.
func (l *Ledger) DropUnlimited(now unit.Moment) (waiting bool) {
	number := l.number + 1 // of the change of all accounts that begin again now
	dropped := false
	for key, since := range l.unlimited {
		if now.Sub(since) < accountMemory {
			continue
		}
		a := l.accounts[key]
		if !a.own.isZero() {
			l.number = number
			a.own, a.changed, a.restarted = Amount{Customer: key}, number, number
			l.changes.MoveToFront(a.element)
		}
		if !l.allHaveRead(a.restarted) {
			waiting = true
			continue
		}
		if a.element != nil {
			l.changes.Remove(a.element)
		}
		delete(l.accounts, key)
		delete(l.unlimited, key)
		delete(l.tight, key)
		dropped = true
	}
	if dropped {
		l.indexShortKeys()
	}
	return waiting
}

// allHaveRead reports whether all other control hosts have read the counters up to a number. Those for which no update was made
// in the last accountMemory of updates aren't control hosts any more.
func (l *Ledger) allHaveRead(number uint64) bool {
	var last unit.Moment
	for _, r := range l.readers {
		last = max(last, r.askedAt)
	}
	for name, r := range l.readers {
		switch {
		case last.Sub(r.askedAt) > accountMemory:
			delete(l.readers, name)
		case r.read < number:
			return false
		}
	}
	return true
}
