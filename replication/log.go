package replication

import "slices"

// entryOverhead is the size counted for an entry, in bytes, in addition to its data.
const entryOverhead = 32

// entryLog holds the entries after offset. Of the compacted entries only the index and
// term of the last one are known. Entries that were returned are never modified in
// place.
type entryLog struct {
	offset     uint64
	offsetTerm uint64
	entries    []Entry
}

func (l *entryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and false if it is not in the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.offset - 1
	l.entries = l.entries[:keep:keep]
}

// slice returns the entries from first to last, inclusive.
func (l *entryLog) slice(first, last uint64) []Entry {
	return slices.Clip(l.entries[first-l.offset-1 : last-l.offset])
}

// batch returns entries from first on, up to limit bytes but at least one if there is
// any.
func (l *entryLog) batch(first uint64, limit int) []Entry {
	if first > l.last() {
		return nil
	}
	entries := l.entries[first-l.offset-1:]
	size := 0
	for i, entry := range entries {
		size += entrySize(entry)
		if size > limit && i > 0 {
			return slices.Clip(entries[:i])
		}
	}
	return slices.Clip(entries)
}

// matchingPrefix returns how many of the consecutive entries, counted from the first,
// the log already has.
func (l *entryLog) matchingPrefix(entries []Entry) int {
	for i, entry := range entries {
		if !l.matches(entry.Index, entry.Term) {
			return i
		}
	}
	return len(entries)
}

// findConflictByTerm returns the highest index at or below index whose term is at most
// term: the logs can't match beyond it. It allows the leader to skip a whole term per
// rejected append.
func (l *entryLog) findConflictByTerm(index, term uint64) uint64 {
	index = min(index, l.last())
	for index > l.offset {
		if own, _ := l.term(index); own <= term {
			break
		}
		index--
	}
	return index
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	l.offsetTerm, _ = l.term(index)
	l.entries = slices.Clone(l.entries[index-l.offset:])
	l.offset = index
}

// reset replaces the log by a snapshot.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{offset: index, offsetTerm: term}
}

func entrySize(entry Entry) int { return entryOverhead + len(entry.Data) }

func totalSize(entries []Entry) int {
	size := 0
	for _, entry := range entries {
		size += entrySize(entry)
	}
	return size
}
