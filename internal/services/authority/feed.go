package authority

import (
	"sync"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/quorum"
)

// feedLength and feedBytes bound the applied entries kept for VMs that follow this one. A follower that lacks more gets a
// snapshot.
const (
	feedLength = 8192
	feedBytes  = 8 << 20
)

// feed is the state machine together with the latest entries that followers apply. Entries that only control VMs apply
// are left out, so that what a follower receives does not grow with the number of requests.
type feed struct {
	*state.Machine
	mu      sync.Mutex
	items   []item   // entries for followers, ascending
	base    id.Index // items is complete after this index
	last    id.Index // highest index of an entry for followers
	news    bool     // items has grown since the last Publish
	size    int      // bytes in items
	changed chan struct{}
}

func newFeed() *feed { return &feed{Machine: state.New(), changed: make(chan struct{})} }

// Apply executes the entry at i and keeps it for followers where they apply it.
func (f *feed) Apply(i quorum.Index, data []byte) state.Result {
	r := f.Machine.Apply(id.Index(i), data)
	if !state.Followed(data) {
		return r
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.items = append(f.items, item{Index: id.Index(i), Data: data})
	f.last, f.news = id.Index(i), true
	f.size += len(data)
	if len(f.items) > 2*feedLength || f.size > 2*feedBytes {
		f.trim()
	}
	return r
}

// trim drops the oldest items beyond feedLength and feedBytes.
func (f *feed) trim() {
	from, size := len(f.items), 0
	for from > 0 && len(f.items)-from < feedLength && size < feedBytes {
		from--
		size += len(f.items[from].Data)
	}
	if from == 0 {
		return
	}
	f.base = f.items[from-1].Index
	f.items = append([]item(nil), f.items[from:]...)
	f.size = size
}

// Publish makes the applied entries visible and wakes followers where there is something for them.
func (f *feed) Publish() {
	f.Machine.Publish()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.news {
		return
	}
	f.news = false
	close(f.changed)
	f.changed = make(chan struct{})
}

// Snapshot returns the encoded state and its index.
func (f *feed) Snapshot() (quorum.Index, []byte, error) {
	i, data, err := f.Machine.Snapshot()
	return quorum.Index(i), data, err
}

// Restore replaces the state by a snapshot.
func (f *feed) Restore(data []byte) error {
	if err := f.Machine.Restore(data); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.base = f.Index()
	f.items, f.last, f.news, f.size = nil, f.base, true, 0
	return nil
}

// Last returns the highest applied index of an entry that followers apply.
func (f *feed) Last() id.Index {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

// wait returns a channel that is closed at the next Publish with something for followers.
func (f *feed) wait() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// after returns the entries past i for a follower, or a snapshot where they are no longer kept.
func (f *feed) after(i id.Index) (feedAnswer, error) {
	const most = 1000
	f.mu.Lock()
	if i < f.base {
		f.mu.Unlock()
		data, err := f.FollowerSnapshot()
		return feedAnswer{Snapshot: data}, err
	}
	a := feedAnswer{Upto: f.last}
	for _, it := range f.items {
		if it.Index <= i {
			continue
		}
		if len(a.Items) == most {
			a.Upto = a.Items[most-1].Index
			break
		}
		a.Items = append(a.Items, it)
	}
	f.mu.Unlock()
	return a, nil
}
