package authority

import (
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
	entries   []feedEntry // entries for followers, by ascending index
	trimmedTo id.Index    // entries up to this index have been dropped
	lastIndex id.Index    // highest index of an entry for followers
	dirty     bool        // entries were added since the last Publish
	bytes     int         // data size of entries
	changed   chan struct{}
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
	f.entries = append(f.entries, feedEntry{Index: id.Index(i), Data: data})
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
	f.entries = append([]feedEntry(nil), f.entries[from:]...)
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

// after returns the entries after index i, or a snapshot if some of them have been dropped.
func (f *feed) after(i id.Index) (feedAnswer, error) {
	const maxEntries = 1000
	f.mu.Lock()
	if i < f.trimmedTo {
		f.mu.Unlock()
		data, err := f.FollowerSnapshot()
		return feedAnswer{Snapshot: data}, err
	}
	a := feedAnswer{LastIndex: f.lastIndex}
	for _, e := range f.entries {
		if e.Index <= i {
			continue
		}
		if len(a.Entries) == maxEntries {
			a.LastIndex = a.Entries[maxEntries-1].Index
			break
		}
		a.Entries = append(a.Entries, e)
	}
	f.mu.Unlock()
	return a, nil
}
