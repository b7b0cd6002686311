package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/id"
)

func newMultiZone(vm id.VM) *Roster { return NewMultiZone(vm, 1, 4*time.Second, func() {}) }

// exchange gives each of list the lists of the others.
func exchange(now time.Duration, list ...*Roster) {
	for _, to := range list {
		for _, from := range list {
			if from != to {
				to.Apply(now, from.ListUpdate(true))
			}
		}
	}
}

// The departure of an upstream that had started again under its name was recorded for its earlier incarnation, and it got
// requests until it ended.
func TestDepartureAfterRestartUnderTheSameName(t *testing.T) {
	first, second, entry := newMultiZone("vm0"), newMultiZone("vm1"), newMultiZone("vm2")
	require.NoError(t, first.Announce(0, announcement("u", 1, engine.Ready)))
	require.NoError(t, first.MarkLeaving(time.Second, "u", 1, 9))
	require.NoError(t, second.Announce(3*time.Second, announcement("u", 2, engine.Ready)))
	exchange(3*time.Second, first, second, entry)
	require.Len(t, names(entry), 1)
	require.NoError(t, first.MarkLeaving(4*time.Second, "u", 2, 9))
	exchange(4*time.Second, first, second, entry)
	require.Empty(t, names(first))
	require.Empty(t, names(entry))
}

// A departure of an earlier incarnation that arrives late, at a VM to which the upstream does not announce itself, took the
// present incarnation out.
func TestLateDepartureOfAnEarlierIncarnation(t *testing.T) {
	first, second, entry := newMultiZone("vm0"), newMultiZone("vm1"), newMultiZone("vm2")
	require.NoError(t, second.Announce(0, announcement("u", 2, engine.Ready)))
	exchange(0, first, second, entry)
	require.NoError(t, first.MarkLeaving(time.Second, "u", 1, 9))
	exchange(time.Second, first, second, entry)
	require.Len(t, names(first), 1)
	require.Len(t, names(entry), 1)
}

// A departure that names no incarnation is that of the latest one that is known, whoever has its announcement.
func TestDepartureWithoutIncarnation(t *testing.T) {
	first, second, entry := newMultiZone("vm0"), newMultiZone("vm1"), newMultiZone("vm2")
	require.NoError(t, first.Announce(0, announcement("u", 1, engine.Ready)))
	require.NoError(t, second.Announce(0, announcement("u", 2, engine.Ready)))
	exchange(0, first, second, entry)
	require.NoError(t, first.MarkLeaving(time.Second, "u", 0, 9))
	exchange(time.Second, first, second, entry)
	require.Empty(t, names(entry))
	require.NoError(t, second.Announce(2*time.Second, announcement("u", 3, engine.Ready)))
	exchange(2*time.Second, first, second, entry)
	require.Len(t, names(entry), 1, "the next incarnation")
}

// The crash of an upstream was taken for a departure for as long as that of its earlier incarnation was remembered.
func TestDepartureOfAnEarlierIncarnationIsNotThatOfTheNext(t *testing.T) {
	first, second := newMultiZone("vm0"), newMultiZone("vm1")
	require.NoError(t, first.Announce(0, announcement("u", 1, engine.Ready)))
	require.NoError(t, first.MarkLeaving(time.Second, "u", 1, 9))
	require.NoError(t, second.Announce(2*time.Second, announcement("u", 2, engine.Ready)))
	exchange(2*time.Second, first, second)
	for _, r := range []*Roster{first, second} {
		require.True(t, r.Leaving("u", 1))
		require.False(t, r.Leaving("u", 2))
	}
}

// A late report of an earlier incarnation's crash brought the crashed present one back.
func TestLateCrashReportOfAnEarlierIncarnation(t *testing.T) {
	r := newMultiZone("vm0")
	require.NoError(t, r.Announce(0, announcement("u", 2, engine.Ready)))
	r.MarkCrashed(1, "u", 2)
	r.MarkCrashed(2, "u", 1)
	require.Empty(t, names(r))
	r.MarkCrashed(3, "u", 2)
	require.NoError(t, r.Announce(4, announcement("u", 3, engine.Ready)))
	require.Len(t, names(r), 1)
}

// Upstreams live several times under their names and announce themselves and leave at any VM, in any order. Those are in
// the list whose latest incarnation has not left.
func TestDeparturesOfManyIncarnations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := []*Roster{newMultiZone("vm0"), newMultiZone("vm1"), newMultiZone("vm2")}
		latest, left := map[id.Upstream]uint64{}, map[id.Upstream]uint64{}
		now := time.Duration(0)
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Millisecond
			n := id.Upstream(fmt.Sprint("u", rapid.IntRange(0, 2).Draw(t, "upstream")))
			inc := uint64(rapid.IntRange(1, 5).Draw(t, "incarnation"))
			r := list[rapid.IntRange(0, len(list)-1).Draw(t, "vm")]
			switch rapid.IntRange(0, 2).Draw(t, "act") {
			case 0:
				a := announcement(string(n), inc, engine.Ready)
				a.Sequence = uint64(step + 1)
				if r.Announce(now, a) != nil {
					continue // it has a later incarnation
				}
			case 1:
				require.NoError(t, r.MarkLeaving(now, n, inc, 9))
				left[n] = max(left[n], inc)
			case 2:
				exchange(now, list...)
				continue
			}
			latest[n] = max(latest[n], inc)
		}
		exchange(now, list...)
		want := []id.Upstream{}
		for _, n := range []id.Upstream{"u0", "u1", "u2"} {
			if latest[n] > left[n] {
				want = append(want, n)
			}
		}
		for _, r := range list {
			require.Equal(t, want, names(r), "at %s", r.vm)
		}
	})
}
