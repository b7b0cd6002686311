package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 100) }

func announcement(name string, incarnation uint64, st engine.State) engine.Announcement {
	return engine.Announcement{
		Name: id.Upstream(name), Zone: "a", Address: name + ":80", Incarnation: incarnation, State: st, Service: "s",
	}
}

func names(r *Roster) []id.Upstream {
	list := []id.Upstream{}
	for _, u := range r.Snapshot().All {
		list = append(list, u.Name)
	}
	return list
}

func newRoster(vm id.VM) *Roster { return New(vm, "a", 1, func() {}) }

func TestAnnouncements(t *testing.T) {
	t.Run("no heartbeat", func(t *testing.T) {
		r := newRoster("vm1")
		require.NoError(t, r.Announce(0, announcement("u", 1, engine.Ready)))
		r.Expire(HeartbeatTimeout)
		require.Len(t, names(r), 1)
		r.Expire(HeartbeatTimeout + 1)
		require.Empty(t, names(r))
	})
	t.Run("leaving", func(t *testing.T) {
		r := newRoster("vm1")
		require.NoError(t, r.Announce(0, announcement("u", 1, engine.Ready)))
		require.NoError(t, r.Announce(1, announcement("u", 1, engine.Leaving)))
		require.Empty(t, names(r))
		require.True(t, r.Leaving("u", 1))
	})
	t.Run("an earlier incarnation", func(t *testing.T) {
		r := newRoster("vm1")
		require.NoError(t, r.Announce(0, announcement("u", 2, engine.Ready)))
		require.Error(t, r.Announce(1, announcement("u", 1, engine.Ready)))
	})
	t.Run("another zone", func(t *testing.T) {
		a := announcement("u", 1, engine.Ready)
		a.Zone = "b"
		require.Error(t, newRoster("vm1").Announce(0, a))
	})
	t.Run("crashed until a new incarnation is announced", func(t *testing.T) {
		r := newRoster("vm1")
		require.NoError(t, r.Announce(0, announcement("u", 1, engine.Ready)))
		r.MarkCrashed(1, "u", 1)
		require.Empty(t, names(r))
		require.NoError(t, r.Announce(2, announcement("u", 2, engine.Ready)))
		require.Len(t, names(r), 1)
	})
}

// referenceNames returns the upstreams that every VM should have: for each name the latest incarnation in any list,
// unless it is leaving.
func referenceNames(lists []map[string]engine.Announcement) []id.Upstream {
	best := map[string]engine.Announcement{}
	for _, l := range lists {
		for n, a := range l {
			old, ok := best[n]
			if !ok || a.Incarnation > old.Incarnation || a.Incarnation == old.Incarnation && a.State == engine.Leaving {
				best[n] = a
			}
		}
	}
	out := []id.Upstream{}
	for _, a := range best {
		if a.State == engine.Ready {
			out = append(out, a.Name)
		}
	}
	slices.Sort(out)
	return out
}

// TestRostersConvergeToReference announces upstreams to three VMs, which exchange updates with losses and delays. After a
// final exchange every VM must have the upstreams of the reference.
func TestRostersConvergeToReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rosters := []*Roster{newRoster("vm0"), newRoster("vm1"), newRoster("vm2")}
		lists := []map[string]engine.Announcement{{}, {}, {}}
		var delayed []ListUpdate
		now := time.Duration(0)
		deliver := func(to *Roster, v ListUpdate) {
			if !to.Apply(now, v) {
				i := slices.IndexFunc(rosters, func(r *Roster) bool { return r.vm == v.VM })
				require.True(t, to.Apply(now, rosters[i].Since(to.PeerVersion(v.VM))))
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Millisecond
			i := rapid.IntRange(0, 2).Draw(t, "vm")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				name := fmt.Sprint("u", rapid.IntRange(0, 4).Draw(t, "upstream"))
				inc := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
				st := rapid.SampledFrom([]engine.State{engine.Ready, engine.Leaving}).Draw(t, "state")
				if a := announcement(name, inc, st); rosters[i].Announce(now, a) == nil {
					lists[i][name] = a
				}
			case 2:
				delayed = append(delayed, rosters[i].ListUpdate(rapid.Bool().Draw(t, "full")))
			case 4:
				delayed = append(delayed, rosters[i].Since(1, rapid.Uint64Range(0, rosters[i].ownList.version).Draw(t, "since")))
			case 5:
				name := fmt.Sprint("u", rapid.IntRange(0, 4).Draw(t, "dropped"))
				if _, ok := lists[i][name]; ok {
					delete(lists[i], name)
					rosters[i].ownList.drop(id.Upstream(name))
					rosters[i].rebuild(now)
				}
			case 3:
				if len(delayed) > 0 { // a delayed update, possibly delivered more than once
					v := delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "late")]
					if rosters[i].vm != v.VM {
						deliver(rosters[i], v)
					}
				}
			}
		}
		for _, from := range rosters {
			for _, to := range rosters {
				if from != to {
					deliver(to, from.ListUpdate(false))
				}
			}
		}
		want := referenceNames(lists)
		for _, r := range rosters {
			require.Equal(t, want, names(r))
		}
	})
}

func TestPeerListExpires(t *testing.T) {
	a, b := newRoster("vm1"), newRoster("vm2")
	require.NoError(t, a.Announce(0, announcement("u", 1, engine.Ready)))
	require.True(t, b.Apply(0, a.ListUpdate(true)))
	b.Expire(PeerTimeout)
	require.Len(t, names(b), 1)
	b.Expire(PeerTimeout + 1)
	require.Empty(t, names(b))
}

func TestRelayTableDropsStaleEntries(t *testing.T) {
	var table relayTable
	table.exchangeVersions(0, listVersion{VM: "vm1", Version: 1})
	require.Len(t, table.exchangeVersions(time.Second, listVersion{VM: "vm2"}), 2)
	require.Len(t, table.exchangeVersions(HeartbeatTimeout+time.Millisecond, listVersion{VM: "vm2"}), 1)
}

func BenchmarkAnnounce(b *testing.B) {
	r := newRoster("vm1")
	for i := range 680 {
		r.Announce(0, announcement(fmt.Sprint("u", i), 1, engine.Ready))
	}
	a := announcement("u5", 1, engine.Ready)
	a.Load = &engine.Load{Running: 1}
	for b.Loop() {
		r.Announce(0, a)
	}
}

// TestDepartureOutlivesReportingVM guards against a departed upstream coming back: the VM that reported the departure
// stops, while another VM still sends an older announcement.
func TestDepartureOutlivesReportingVM(t *testing.T) {
	newMultiZone := func(vm id.VM) *Roster { return NewMultiZone(vm, 1, 4*time.Second, func() {}) }
	reporter, other, observer := newMultiZone("vm0"), newMultiZone("vm1"), newMultiZone("vm2")
	require.NoError(t, other.Announce(0, announcement("u", 1, engine.Ready)))
	require.NoError(t, reporter.Announce(time.Second, announcement("u", 1, engine.Ready)))
	reporter.MarkLeaving(2*time.Second, "u", 1, 0)
	observer.Apply(2*time.Second, other.ListUpdate(true))
	require.Len(t, names(observer), 1)
	observer.Apply(2*time.Second, reporter.ListUpdate(true))
	require.Empty(t, names(observer))
	for at := 3 * time.Second; at < 8*time.Second; at += time.Second {
		observer.Apply(at, other.ListUpdate(true)) // the reporting VM sends no more updates
		observer.Expire(at)
		require.Empty(t, names(observer), "at %s", at)
	}
	require.NoError(t, other.Announce(8*time.Second, announcement("u", 2, engine.Ready)))
	observer.Apply(8*time.Second, other.ListUpdate(true))
	require.Len(t, names(observer), 1, "a new incarnation under the same name")
}
