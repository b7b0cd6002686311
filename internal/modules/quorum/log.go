package quorum

// raftLog is the in-memory part of the log: a snapshot and the entries after it.
type raftLog struct {
	snapshot      Snapshot
	entries       []Entry
	changeIndexes []Index // indexes of the membership changes in entries
	commit        Index
	synced        Index // highest index that is synced on this node's disk
}

func newRaftLog(s State) raftLog {
	l := raftLog{snapshot: s.Snapshot, commit: s.Snapshot.Index}
	for _, e := range s.Entries {
		l.append(e)
	}
	l.synced = l.lastIndex()
	return l
}

func (l *raftLog) lastIndex() Index { return l.snapshot.Index + Index(len(l.entries)) }

// term returns the term of the entry at i, or zero if that entry is not in memory.
func (l *raftLog) term(i Index) Term {
	if i == l.snapshot.Index {
		return l.snapshot.Term
	}
	if i < l.snapshot.Index || i > l.lastIndex() {
		return 0
	}
	return l.entryAt(i).Term
}

func (l *raftLog) entryAt(i Index) Entry { return l.entries[i-l.snapshot.Index-1] }

// matches reports whether the log has an entry of term t at index i.
func (l *raftLog) matches(i Index, t Term) bool {
	if i < l.snapshot.Index {
		return true // compacted entries are committed, so they match
	}
	return i <= l.lastIndex() && l.term(i) == t
}

func (l *raftLog) append(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind == MembersChange {
		l.changeIndexes = append(l.changeIndexes, e.Index)
	}
}

// truncate drops the entries at and after index from. Slices that were returned earlier stay unchanged.
func (l *raftLog) truncate(from Index) {
	k := from - l.snapshot.Index - 1
	l.entries = l.entries[:k:k]
	for n := len(l.changeIndexes); n > 0 && l.changeIndexes[n-1] >= from; n-- {
		l.changeIndexes = l.changeIndexes[:n-1]
	}
	l.synced = min(l.synced, from-1)
}

// slice returns the entries in [from, to] that are in memory.
func (l *raftLog) slice(from, to Index) []Entry {
	from = max(from, l.snapshot.Index+1)
	to = min(to, l.lastIndex())
	if from > to {
		return nil
	}
	return l.entries[from-l.snapshot.Index-1 : to-l.snapshot.Index]
}

// batch returns a copy of the entries from index from, limited to maxBytes of data but at least one entry.
func (l *raftLog) batch(from Index, maxBytes int) []Entry {
	list := l.slice(from, l.lastIndex())
	size := 0
	for i, e := range list {
		size += len(e.Data)
		if size > maxBytes && i > 0 {
			return append([]Entry(nil), list[:i]...)
		}
	}
	return append([]Entry(nil), list...)
}

// bytes returns the size of the data of the entries in [from, to].
func (l *raftLog) bytes(from, to Index) (n int) {
	for _, e := range l.slice(from, to) {
		n += len(e.Data)
	}
	return n
}

// merge appends the missing entries of list, after truncating a conflicting tail, and returns them.
func (l *raftLog) merge(list []Entry) []Entry {
	for k, e := range list {
		if e.Index <= l.snapshot.Index || e.Index <= l.lastIndex() && l.term(e.Index) == e.Term {
			continue
		}
		if e.Index <= l.commit {
			panic("quorum: entry from the leader conflicts with a committed entry")
		}
		if e.Index <= l.lastIndex() {
			l.truncate(e.Index)
		}
		for _, n := range list[k:] {
			l.append(n)
		}
		return list[k:]
	}
	return nil
}

// install replaces the log by s, keeping later entries if the log already contains the last entry of s.
func (l *raftLog) install(s Snapshot) {
	if l.matches(s.Index, s.Term) && s.Index <= l.lastIndex() {
		l.compact(s)
	} else {
		l.snapshot, l.entries, l.changeIndexes = s, nil, nil
		l.synced = s.Index
	}
	l.commit = max(l.commit, s.Index)
}

// compact drops the entries up to s.Index.
func (l *raftLog) compact(s Snapshot) {
	if s.Index <= l.snapshot.Index {
		return
	}
	kept := l.slice(s.Index+1, l.lastIndex())
	l.entries = append([]Entry(nil), kept...)
	l.snapshot = s
	for len(l.changeIndexes) > 0 && l.changeIndexes[0] <= s.Index {
		l.changeIndexes = l.changeIndexes[1:]
	}
}

// members returns the current membership: that of the latest change in the log, committed or not.
func (l *raftLog) members() Members { return l.membersAt(l.lastIndex()) }

// membersAt returns the membership as of index to.
func (l *raftLog) membersAt(to Index) Members {
	for k := len(l.changeIndexes) - 1; k >= 0; k-- {
		if i := l.changeIndexes[k]; i <= to {
			return *l.entryAt(i).Members
		}
	}
	return l.snapshot.Members
}

// hasPendingChange reports whether the log contains an uncommitted membership change.
func (l *raftLog) hasPendingChange() bool {
	n := len(l.changeIndexes)
	return n > 0 && l.changeIndexes[n-1] > l.commit
}
