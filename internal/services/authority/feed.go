package authority

import (
	"sync"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/quorum"
)

// feedLength is the number of applied entries kept for VMs that follow this one.
const feedLength = 8192

// feed is the state machine together with its latest entries, for the VMs that follow this one.
type feed struct {
	*state.Machine
	mu      sync.Mutex
	items   []item // consecutive indexes
	changed chan struct{}
}

func newFeed() *feed { return &feed{Machine: state.New(), changed: make(chan struct{})} }

// Apply executes the entry at i and keeps it for followers.
func (f *feed) Apply(i quorum.Index, data []byte) state.Result {
	r := f.Machine.Apply(id.Index(i), data)
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.items); n > 0 && f.items[n-1].Index+1 != id.Index(i) {
		f.items = nil
	}
	f.items = append(f.items, item{Index: id.Index(i), Data: data})
	if len(f.items) > 2*feedLength {
		f.items = append([]item(nil), f.items[len(f.items)-feedLength:]...)
	}
	return r
}

// Publish makes the applied entries visible and wakes followers.
func (f *feed) Publish() {
	f.Machine.Publish()
	f.mu.Lock()
	defer f.mu.Unlock()
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
	f.items = nil
	return nil
}

// wait returns a channel that is closed at the next Publish.
func (f *feed) wait() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// after returns the entries after i, or a snapshot where they are no longer kept.
func (f *feed) after(i id.Index) (feedAnswer, error) {
	const most = 1000
	f.mu.Lock()
	last := f.Index()
	if i >= last {
		f.mu.Unlock()
		return feedAnswer{}, nil
	}
	if n := len(f.items); n > 0 && f.items[0].Index <= i+1 {
		k := int(i + 1 - f.items[0].Index)
		list := append([]item(nil), f.items[k:min(n, k+most)]...)
		f.mu.Unlock()
		return feedAnswer{Items: list}, nil
	}
	f.mu.Unlock()
	_, data, err := f.Machine.Snapshot()
	return feedAnswer{Snapshot: data}, err
}
