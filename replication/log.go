package replication

import "slices"

// entryOverhead is what an entry counts beside its data towards limits in bytes.
const entryOverhead = 32

// entryLog is the log after offset. What lies before it is only known by the
// index and the term of its last entry. Entries once handed out are never
// changed in place.
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

// term gives the term at index, if the log knows it.
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

// truncate drops index and all after it.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.offset - 1
	l.entries = l.entries[:keep:keep]
}

// between gives the entries from first to last.
func (l *entryLog) between(first, last uint64) []Entry {
	return slices.Clip(l.entries[first-l.offset-1 : last-l.offset])
}

// batch gives entries from first on, at least one if there is any, up to limit
// bytes.
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

// conflict gives how many of the entries, which follow one another, the log
// already has.
func (l *entryLog) conflict(entries []Entry) int {
	for i, entry := range entries {
		if !l.matches(entry.Index, entry.Term) {
			return i
		}
	}
	return len(entries)
}

// newestUpTo gives the newest index at or before index whose term is at most
// term: after it the two logs can't agree. It is what makes back-off skip a
// whole term a message.
func (l *entryLog) newestUpTo(index, term uint64) uint64 {
	index = min(index, l.last())
	for index > l.offset {
		if own, _ := l.term(index); own <= term {
			break
		}
		index--
	}
	return index
}

// compact drops the entries up to index.
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
