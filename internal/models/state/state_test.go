package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtaillift/internal/models/claim"
	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/models/lease"
	"wagtaillift/internal/models/order"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/usage"
	"wagtaillift/internal/modules/id"
)

// log applies commands in order, to a machine and to a copy that is restored from a snapshot now and then.
type log struct {
	t    require.TestingT
	m    *Machine
	copy *Machine
	i    id.Index
}

func newLog(t require.TestingT) *log { return &log{t: t, m: New(), copy: New()} }

func (l *log) apply(c Command) Result {
	data, err := c.Encode()
	require.NoError(l.t, err)
	l.i++
	r := l.m.Apply(l.i, data)
	require.Equal(l.t, r, l.copy.Apply(l.i, data), "the copy answers otherwise")
	return r
}

// reload replaces the copy by one restored from a snapshot.
func (l *log) reload() {
	_, data, err := l.copy.Snapshot()
	require.NoError(l.t, err)
	n := New()
	require.NoError(l.t, n.Restore(data))
	l.copy = n
}

func change(base id.Revision, request string, name string) Command {
	return Command{Change: &Change{
		Base: base, Request: id.Request(request), Customer: &customer.Customer{ID: id.Customer(name)},
	}}
}

func TestEqualBases(t *testing.T) {
	l := newLog(t)
	require.Equal(t, OK, l.apply(change(0, "a", "one")).Code)
	lost := l.apply(change(0, "b", "two"))
	require.Equal(t, Conflict, lost.Code)
	require.Equal(t, id.Revision(1), lost.Revision)
	require.Equal(t, OK, l.apply(change(1, "c", "two")).Code)
}

func TestResendsApplyOnce(t *testing.T) {
	l := newLog(t)
	first := l.apply(change(0, "a", "one"))
	for range 1000 {
		require.Equal(t, first, l.apply(change(0, "a", "one")))
	}
	l.reload()
	require.Equal(t, first, l.apply(change(0, "a", "one")))
	l.m.Publish()
	require.Equal(t, id.Revision(1), l.m.Config().Revision)
}

func TestRefusedChangesChangeNothing(t *testing.T) {
	for name, ch := range map[string]Change{
		"empty":               {},
		"customer's name":     {Customer: &customer.Customer{ID: "A b"}},
		"unknown default":     {Defaults: policy.Defaults{"speed": 1}},
		"default's range":     {Defaults: policy.Defaults{policy.Weight: -1}},
		"no reason":           {Exception: &policy.Exception{ID: "e", Customer: "one", Field: policy.Rate, Value: 1}},
		"unknown customer":    {Exception: &policy.Exception{ID: "e", Customer: "x", Field: policy.Rate, Value: 1, Reason: "r"}},
		"unknown key":         {Withdraw: "k"},
		"rate of one service": {Exception: &policy.Exception{ID: "e", Customer: "one", Service: "s", Field: policy.Rate, Value: 1, Reason: "r"}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLog(t)
			ch.Any, ch.Request = true, "r"
			require.NotEqual(t, OK, l.apply(Command{Change: &ch}).Code)
			l.m.Publish()
			require.Zero(t, l.m.Config().Revision)
		})
	}
}

// TestWindowsAddUp commits counters late, doubled and out of order, seals under changing holders, and holds that the
// sum of the windows is what was counted and that a sealed window never changes.
func TestWindowsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLog(t)
		fence := l.apply(Command{Acquire: &Acquire{Name: lease.Platform, VM: "a", Duration: time.Second}}).Lease.Fence
		truth := map[usage.Source]usage.Count{}
		var history []Usage
		var sealed []usage.Report
		window := id.Window(1)
		commit := func(u Usage) { require.Equal(t, OK, l.apply(Command{Usage: &u}).Code) }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				src := usage.Source{
					VM: id.VM(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "vm"))), Customer: "c",
					Service: id.Service(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "service"))),
				}
				truth[src] = truth[src].Add(usage.Count{Requests: 1, Prompt: 10, Output: 5})
				u := Usage{Readings: []usage.Reading{{Source: src, Count: truth[src]}}}
				history = append(history, u)
				commit(u)
			case 2:
				if len(history) > 0 { // an old reading again
					commit(history[rapid.IntRange(0, len(history)-1).Draw(t, "old")])
				}
			case 3:
				require.Equal(t, OK, l.apply(Command{Seal: &Seal{Window: window, Fence: fence}}).Code)
				require.Equal(t, Conflict, l.apply(Command{Seal: &Seal{Window: window, Fence: fence}}).Code)
				require.Equal(t, Denied, l.apply(Command{Seal: &Seal{Window: window + 1, Fence: fence - 1}}).Code)
				window++
				sealed = l.m.Reports()
			case 4:
				l.reload()
			}
			require.Equal(t, sealed, l.m.Reports()[:len(sealed)], "a sealed window changed")
		}
		l.apply(Command{Seal: &Seal{Window: window, Fence: fence}})
		var want, got usage.Count
		for _, c := range truth {
			want = want.Add(c)
		}
		for _, r := range l.m.Reports() {
			for _, line := range r.Lines {
				got = got.Add(line.Count)
			}
		}
		require.Equal(t, want, got)
	})
}

func TestClaims(t *testing.T) {
	at := time.Unix(1000, 0).UTC()
	k := claim.ID{Customer: "c", Service: "s", Token: "t"}
	open := func(l *log, request string, at time.Time) Result {
		return l.apply(Command{Claim: &Claim{At: at, Claim: claim.Claim{
			ID: k, Owner: "vm1", Incarnation: 1, Request: id.Request(request), Expires: at.Add(time.Hour),
		}}})
	}
	settle := func(l *log, request string, st claim.State) Result {
		return l.apply(Command{Settle: &Settle{ID: k, Request: id.Request(request), State: st, Answer: &claim.Answer{Status: 200}}})
	}
	t.Run("one opens", func(t *testing.T) {
		l := newLog(t)
		require.True(t, open(l, "a", at).Fresh)
		second := open(l, "b", at)
		require.False(t, second.Fresh)
		require.Equal(t, claim.Running, second.Claim.State)
	})
	t.Run("a final state stays", func(t *testing.T) {
		l := newLog(t)
		open(l, "a", at)
		settle(l, "a", claim.Done)
		settle(l, "a", claim.NotRun)
		require.Equal(t, claim.Done, open(l, "b", at).Claim.State)
	})
	t.Run("not run opens again", func(t *testing.T) {
		l := newLog(t)
		open(l, "a", at)
		settle(l, "a", claim.NotRun)
		require.True(t, open(l, "b", at).Fresh)
		require.Equal(t, Missing, settle(l, "a", claim.Done).Code)
	})
	t.Run("an ended VM leaves it unknown", func(t *testing.T) {
		l := newLog(t)
		l.apply(Command{Join: &Member{VM: "vm1", Incarnation: 1}})
		open(l, "a", at)
		l.apply(Command{Leave: &Leave{VM: "vm1", Incarnation: 1}})
		require.Equal(t, claim.Unknown, open(l, "b", at).Claim.State)
		require.Equal(t, claim.Done, settle(l, "a", claim.Done).Claim.State, "the owner knew better")
	})
	t.Run("it expires", func(t *testing.T) {
		l := newLog(t)
		open(l, "a", at)
		settle(l, "a", claim.Done)
		l.reload()
		require.True(t, open(l, "b", at.Add(2*time.Hour)).Fresh)
	})
}

func TestOneOrderAtATime(t *testing.T) {
	l := newLog(t)
	fence := l.apply(Command{Acquire: &Acquire{Name: "engines/a", VM: "a", Duration: time.Second}}).Lease.Fence
	give := func(f id.Fence) Result {
		return l.apply(Command{Intent: &Intent{Lease: "engines/a", Order: order.Order{Upstream: "e", Fence: f}}})
	}
	first := give(fence)
	require.Equal(t, OK, first.Code)
	require.Equal(t, Conflict, give(fence).Code)
	require.Equal(t, OK, l.apply(Command{Outcome: &Outcome{Upstream: "e", ID: first.Index, State: order.Done}}).Code)
	require.Equal(t, OK, l.apply(Command{Release: &Release{Name: "engines/a", Fence: fence}}).Code)
	require.Equal(t, Denied, give(fence).Code)
}

// TestManyChanges holds that 100,000 changes are applied, snapshotted and restored whole.
func TestManyChanges(t *testing.T) {
	const n = 100000
	m := New()
	for i := range n {
		ch := change(id.Revision(i), fmt.Sprint("r", i), fmt.Sprint("c", i%200))
		data, err := ch.Encode()
		require.NoError(t, err)
		require.Equal(t, OK, m.Apply(id.Index(i+1), data).Code)
	}
	start := time.Now()
	_, data, err := m.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(data))
	restored.Publish()
	t.Logf("snapshot of %d bytes written and read in %s", len(data), time.Since(start))
	require.Equal(t, id.Revision(n), restored.Config().Revision)
	require.Len(t, restored.Config().Customers, 200)
}
