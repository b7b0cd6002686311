package emulate

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"wagtaillift/internal/modules/id"
)

// Act is a call under an exclusive lease that has reached its peer.
type Act struct {
	Holder  id.VM // empty if the call does not name it
	Fence   id.Fence
	At      time.Time
	Excused bool // it does not count, because its sender had just been paused or cut off
}

// maxActs is the number of calls that are kept for each subject.
const maxActs = 1000

// Acts records who acted, as a platform sees it that accepts calls with any fencing number. The zero value is empty.
type Acts struct {
	mu   sync.Mutex
	list map[string][]Act // by subject, in the order of arrival
}

// Add records a call on subject.
func (a *Acts) Add(subject string, x Act) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.list == nil {
		a.list = map[string][]Act{}
	}
	list := append(a.list[subject], x)
	a.list[subject] = list[max(0, len(list)-maxActs):]
}

// Len returns the number of calls that are kept.
func (a *Acts) Len() (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, list := range a.list {
		n += len(list)
	}
	return n
}

// Broken returns, for each subject, the first call that came after one with a higher fencing number, or within span after a call of the
// same holder with one of another holder between them.
func (a *Acts) Broken(span time.Duration) (broken []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for subject, list := range a.list {
		if x := firstBroken(list, span); x != "" {
			broken = append(broken, subject+": "+x)
		}
	}
	slices.Sort(broken)
	return broken
}

func firstBroken(list []Act, span time.Duration) string {
	list = slices.DeleteFunc(slices.Clone(list), func(x Act) bool { return x.Excused })
	for i, x := range list {
		if x := brokenBy(x, list[:i], span); x != "" {
			return x
		}
	}
	return ""
}

// brokenBy returns how x breaks the order of the calls before it, or nothing.
func brokenBy(x Act, before []Act, span time.Duration) string {
	other := false
	for _, b := range slices.Backward(before) {
		if b.Fence > x.Fence {
			return fmt.Sprintf("%q acted with fence %d after %q with %d", x.Holder, x.Fence, b.Holder, b.Fence)
		}
		if b.Holder == x.Holder && other && x.At.Sub(b.At) < span {
			return fmt.Sprintf("%q acted, another VM, and %q again within %s", x.Holder, x.Holder, x.At.Sub(b.At))
		}
		other = other || b.Holder != x.Holder
	}
	return ""
}
