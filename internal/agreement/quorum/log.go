package quorum

// entryLog holds in memory the log entries after the newest compaction point.
type entryLog struct {
	base          Index // the last entry that was compacted
	baseTerm      Term
	entries       []Entry
	commit        Index
	persisted     Index // the last entry that is durable on this node
	delivered     Index // the last entry delivered to the state machine
	firstUnissued Index // the first entry that no Persist contains yet
}

func (l *entryLog) last() Index {
	return l.base + Index(len(l.entries))
}

// term returns the term of the entry at index, or false if the entry isn't in memory.
func (l *entryLog) term(index Index) (Term, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) lastTerm() Term {
	term, _ := l.term(l.last())
	return term
}

func (l *entryLog) matches(index Index, term Term) bool {
	found, ok := l.term(index)
	return ok && found == term
}

// slice returns the entries from first to last, both included.
func (l *entryLog) slice(first, last Index) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.base-1 : last-l.base : last-l.base]
}

// truncate removes all entries from index on. The remaining ones are copied because sent messages share the old array.
func (l *entryLog) truncate(index Index) {
	kept := make([]Entry, index-l.base-1)
	copy(kept, l.entries)
	l.entries = kept
	l.persisted = min(l.persisted, index-1)
	l.firstUnissued = min(l.firstUnissued, index)
}

// compact drops the entries up to index, which must be committed.
func (l *entryLog) compact(index Index) {
	term, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	kept := make([]Entry, l.last()-index)
	copy(kept, l.entries[index-l.base:])
	l.base, l.baseTerm, l.entries = index, term, kept
}

// reset replaces the whole log by a snapshot, not yet durable, that ends with the entry at index.
func (l *entryLog) reset(index Index, term Term) {
	l.persisted = min(l.persisted, l.commit)
	l.base, l.baseTerm, l.entries = index, term, nil
	l.commit = index
	l.firstUnissued = index + 1
}

// upToDate reports whether a candidate's log, whose last entry has this index and term, is at least as up to date as this
// log. Only then is the candidate certain to hold every committed entry of this log.
func (l *entryLog) upToDate(index Index, term Term) bool {
	own := l.lastTerm()
	return term > own || (term == own && index >= l.last())
}

// conflictHint returns the last index at which this log may match the leader's log, after an append was rejected because of
// the entry at index. It skips all entries of the conflicting term.
func (l *entryLog) conflictHint(index Index) Index {
	if index > l.last() {
		return l.last()
	}
	conflict, ok := l.term(index)
	for ok && index > l.commit && index > l.base {
		term, found := l.term(index)
		if !found || term != conflict {
			break
		}
		index--
	}
	return index
}
