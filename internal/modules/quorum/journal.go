package quorum

// journal is the part of the log in memory: a snapshot and the entries after it.
type journal struct {
	snap    Snapshot
	entries []Entry
	changes []Index // indexes of the membership changes in entries
	commit  Index
	synced  Index // highest index on this node's disk
}

func newJournal(s State) journal {
	j := journal{snap: s.Snapshot, commit: s.Snapshot.Index}
	for _, e := range s.Entries {
		j.append(e)
	}
	j.synced = j.last()
	return j
}

func (j *journal) last() Index { return j.snap.Index + Index(len(j.entries)) }

// term returns the term at i, zero where the entry is not known.
func (j *journal) term(i Index) Term {
	if i == j.snap.Index {
		return j.snap.Term
	}
	if i < j.snap.Index || i > j.last() {
		return 0
	}
	return j.at(i).Term
}

func (j *journal) at(i Index) Entry { return j.entries[i-j.snap.Index-1] }

func (j *journal) matches(i Index, t Term) bool {
	if i < j.snap.Index {
		return true // committed and compacted, so equal
	}
	return i <= j.last() && j.term(i) == t
}

func (j *journal) append(e Entry) {
	j.entries = append(j.entries, e)
	if e.Kind == Change {
		j.changes = append(j.changes, e.Index)
	}
}

// truncate drops the entries from index from on. Slices handed out earlier stay as they are.
func (j *journal) truncate(from Index) {
	k := from - j.snap.Index - 1
	j.entries = j.entries[:k:k]
	for n := len(j.changes); n > 0 && j.changes[n-1] >= from; n-- {
		j.changes = j.changes[:n-1]
	}
	j.synced = min(j.synced, from-1)
}

// slice returns the entries in [from, to] that are in memory.
func (j *journal) slice(from, to Index) []Entry {
	from = max(from, j.snap.Index+1)
	to = min(to, j.last())
	if from > to {
		return nil
	}
	return j.entries[from-j.snap.Index-1 : to-j.snap.Index]
}

// batch returns entries from index from on, up to most bytes but at least one.
func (j *journal) batch(from Index, most int) []Entry {
	list := j.slice(from, j.last())
	size := 0
	for i, e := range list {
		size += len(e.Data)
		if size > most && i > 0 {
			return append([]Entry(nil), list[:i]...)
		}
	}
	return append([]Entry(nil), list...)
}

// merge adds the entries that are missing, dropping a conflicting tail, and returns them.
func (j *journal) merge(list []Entry) []Entry {
	for k, e := range list {
		if e.Index <= j.snap.Index || e.Index <= j.last() && j.term(e.Index) == e.Term {
			continue
		}
		if e.Index <= j.commit {
			panic("quorum: a leader overwrites a committed entry")
		}
		if e.Index <= j.last() {
			j.truncate(e.Index)
		}
		for _, n := range list[k:] {
			j.append(n)
		}
		return list[k:]
	}
	return nil
}

func (j *journal) install(s Snapshot) {
	if j.matches(s.Index, s.Term) && s.Index <= j.last() {
		j.compact(s)
	} else {
		j.snap, j.entries, j.changes = s, nil, nil
		j.synced = s.Index
	}
	j.commit = max(j.commit, s.Index)
}

func (j *journal) compact(s Snapshot) {
	if s.Index <= j.snap.Index {
		return
	}
	kept := j.slice(s.Index+1, j.last())
	j.entries = append([]Entry(nil), kept...)
	j.snap = s
	for len(j.changes) > 0 && j.changes[0] <= s.Index {
		j.changes = j.changes[1:]
	}
}

// members returns the membership in force: that of the last change in the log, committed or not.
func (j *journal) members() Members { return j.membersAt(j.last()) }

func (j *journal) membersAt(to Index) Members {
	for k := len(j.changes) - 1; k >= 0; k-- {
		if i := j.changes[k]; i <= to {
			return *j.at(i).Members
		}
	}
	return j.snap.Members
}

// changing reports whether a membership change is not yet committed.
func (j *journal) changing() bool {
	n := len(j.changes)
	return n > 0 && j.changes[n-1] > j.commit
}
