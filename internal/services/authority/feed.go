package authority

import (
	"cmp"
	"slices"
	"sync"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/quorum"
)

// maxFeedEntries and maxFeedBytes bound the applied entries kept for followers. A follower that needs older entries
// gets a snapshot.
const (
	maxFeedEntries = 8192
	maxFeedBytes   = 8 << 20
)

// feed is the state machine together with the latest entries for followers. Entries that only control VMs apply are not
// kept, so that the traffic to a follower does not grow with the number of requests.
type feed struct {
	*state.Machine
	mu        sync.Mutex
	entries   []keptEntry // entries for followers, by ascending index
	trimmedTo id.Index    // entries up to this index have been dropped
	lastIndex id.Index    // highest index of an entry for followers
	dirty     bool        // entries were added since the last Publish
	bytes     int         // data size of entries
	changed   chan struct{}

	snapshotMu sync.Mutex
	snapshot   followerSnapshot // the latest one that was asked for
}

// keptEntry is an entry with its compressed form.
type keptEntry struct {
	feedEntry
	packed *packed
}

// followerSnapshot is a snapshot for followers, encoded once for all that start at the same time.
type followerSnapshot struct {
	index  id.Index
	data   []byte
	packed packed
}

func newFeed() *feed { return &feed{Machine: state.New(), changed: make(chan struct{})} }

// Apply applies the entry at index i to the state machine, and keeps it if followers apply it too.
func (f *feed) Apply(i quorum.Index, data []byte) state.Result {
	r := f.Machine.Apply(id.Index(i), data)
	if !state.AppliedByFollowers(data) {
		return r
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, keptEntry{feedEntry{Index: id.Index(i), Data: data}, &packed{}})
	f.lastIndex, f.dirty = id.Index(i), true
	f.bytes += len(data)
	if len(f.entries) > 2*maxFeedEntries || f.bytes > 2*maxFeedBytes {
		f.trim()
	}
	return r
}

// trim drops the oldest entries beyond maxFeedEntries and maxFeedBytes. Apply calls it only at twice these limits, so
// that not every entry copies the list.
func (f *feed) trim() {
	from, bytes := len(f.entries), 0
	for from > 0 && len(f.entries)-from < maxFeedEntries && bytes < maxFeedBytes {
		from--
		bytes += len(f.entries[from].Data)
	}
	if from == 0 {
		return
	}
	f.trimmedTo = f.entries[from-1].Index
	f.entries = append([]keptEntry(nil), f.entries[from:]...)
	f.bytes = bytes
}

// Publish makes the applied entries visible to readers and wakes followers if there are new entries for them.
func (f *feed) Publish() {
	f.Machine.Publish()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.dirty {
		return
	}
	f.dirty = false
	close(f.changed)
	f.changed = make(chan struct{})
}

// Snapshot returns the encoded state and its index.
func (f *feed) Snapshot() (quorum.Index, []byte, error) {
	i, data, err := f.Machine.Snapshot()
	return quorum.Index(i), data, err
}

// Restore replaces the state with a snapshot.
func (f *feed) Restore(data []byte) error {
	if err := f.Machine.Restore(data); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trimmedTo = f.Index()
	f.entries, f.lastIndex, f.dirty, f.bytes = nil, f.trimmedTo, true, 0
	return nil
}

// Last returns the index of the latest applied entry for followers.
func (f *feed) Last() id.Index {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastIndex
}

// nextChange returns a channel that is closed by the next Publish with new entries for followers.
func (f *feed) nextChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// maxAnswerEntries and maxAnswerBytes bound an answer to a follower, which must arrive within Timing.feedGrace over the link of a small VM. It
// holds one entry at least. A follower that lacks more than maxBacklogBytes gets a snapshot.
const (
	maxAnswerEntries = 1000
	maxAnswerBytes   = 128 << 10
	maxBacklogBytes  = 512 << 10
)

// after returns the entries after the index in q, or a snapshot if some of them have been dropped or if they are many.
func (f *feed) after(q feedRequest) (feedAnswer, error) {
	f.mu.Lock()
	list := f.since(q.After)
	if q.After < f.trimmedTo || len(list) > 1 && entriesSize(list) > maxBacklogBytes {
		f.mu.Unlock()
		return f.snapshotAfter(q)
	}
	a := feedAnswer{LastIndex: f.lastIndex}
	f.mu.Unlock()
	bytes := 0
	for _, e := range list {
		if n := len(a.Entries); n == maxAnswerEntries || n > 0 && bytes+len(e.Data) > maxAnswerBytes {
			a.LastIndex = a.Entries[n-1].Index
			break
		}
		bytes += len(e.Data)
		a.Entries = append(a.Entries, e.forFollower(q.Packs))
	}
	return a, nil
}

// since returns the kept entries after index i. f.mu must be held.
func (f *feed) since(i id.Index) []keptEntry {
	first, _ := slices.BinarySearchFunc(f.entries, i+1, func(e keptEntry, i id.Index) int { return cmp.Compare(e.Index, i) })
	return f.entries[first:]
}

// entriesSize returns the data size of list.
func entriesSize(list []keptEntry) (n int) {
	for _, e := range list {
		n += len(e.Data)
	}
	return n
}

// forFollower returns the message form of e.
func (e keptEntry) forFollower(packs bool) feedEntry {
	if data := e.packed.of(e.Data); packs && data != nil {
		return feedEntry{Index: e.Index, Packed: data}
	}
	return e.feedEntry
}

// snapshotAfter returns a snapshot. It uses the latest one again if the entries after that fit in an answer.
func (f *feed) snapshotAfter(q feedRequest) (feedAnswer, error) {
	f.snapshotMu.Lock()
	defer f.snapshotMu.Unlock()
	f.mu.Lock()
	current := f.snapshot.index > q.After && f.snapshot.index >= f.trimmedTo && entriesSize(f.since(f.snapshot.index)) <= maxAnswerBytes
	f.mu.Unlock()
	if !current {
		i, data, err := f.FollowerSnapshot()
		if err != nil {
			return feedAnswer{}, err
		}
		f.snapshot = followerSnapshot{index: i, data: data}
	}
	if data := f.snapshot.packed.of(f.snapshot.data); q.Packs && data != nil {
		return feedAnswer{PackedSnapshot: data}, nil
	}
	return feedAnswer{Snapshot: f.snapshot.data}, nil
}
