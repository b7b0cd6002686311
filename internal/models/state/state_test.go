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

// replicaPair applies each command to a machine and to a copy that tests can restore from its snapshot. Both must
// return the same results.
type replicaPair struct {
	t     require.TestingT
	m     *Machine
	copy  *Machine
	index id.Index
}

func newReplicaPair(t require.TestingT) *replicaPair {
	return &replicaPair{t: t, m: New(), copy: New()}
}

func (l *replicaPair) apply(c Command) Result {
	data, err := c.Encode()
	require.NoError(l.t, err)
	l.index++
	r := l.m.Apply(l.index, data)
	require.Equal(l.t, r, l.copy.Apply(l.index, data), "the copy returned another result")
	return r
}

// restoreCopy replaces the copy with one restored from its snapshot.
func (l *replicaPair) restoreCopy() {
	_, data, err := l.copy.Snapshot()
	require.NoError(l.t, err)
	n := New()
	require.NoError(l.t, n.Restore(data))
	l.copy = n
}

func newCustomerChange(base id.Revision, request string, name string) Command {
	return Command{Change: &Change{
		Base: base, Request: id.Request(request), Customer: &customer.Customer{ID: id.Customer(name)},
	}}
}

func TestChangeOnOldBaseConflicts(t *testing.T) {
	l := newReplicaPair(t)
	require.Equal(t, OK, l.apply(newCustomerChange(0, "a", "one")).Code)
	stale := l.apply(newCustomerChange(0, "b", "two"))
	require.Equal(t, Conflict, stale.Code)
	require.Equal(t, id.Revision(1), stale.Revision)
	require.Equal(t, OK, l.apply(newCustomerChange(1, "c", "two")).Code)
}

func TestResentChangeAppliesOnce(t *testing.T) {
	l := newReplicaPair(t)
	first := l.apply(newCustomerChange(0, "a", "one"))
	for range 1000 {
		require.Equal(t, first, l.apply(newCustomerChange(0, "a", "one")))
	}
	l.restoreCopy()
	require.Equal(t, first, l.apply(newCustomerChange(0, "a", "one")))
	l.m.Publish()
	require.Equal(t, id.Revision(1), l.m.Config().Revision)
}

func TestRejectedChangeLeavesConfig(t *testing.T) {
	for name, ch := range map[string]Change{
		"empty":                 {},
		"invalid customer name": {Customer: &customer.Customer{ID: "A b"}},
		"unknown default":       {Defaults: policy.Defaults{"speed": 1}},
		"default out of range":  {Defaults: policy.Defaults{policy.Weight: -1}},
		"no reason":             {Exception: &policy.Exception{ID: "e", Customer: "one", Field: policy.Rate, Value: 1}},
		"unknown customer":      {Exception: &policy.Exception{ID: "e", Customer: "x", Field: policy.Rate, Value: 1, Reason: "r"}},
		"unknown key":           {WithdrawKey: "k"},
		"rate of one service":   {Exception: &policy.Exception{ID: "e", Customer: "one", Service: "s", Field: policy.Rate, Value: 1, Reason: "r"}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newReplicaPair(t)
			ch.AnyBase, ch.Request = true, "r"
			require.NotEqual(t, OK, l.apply(Command{Change: &ch}).Code)
			l.m.Publish()
			require.Zero(t, l.m.Config().Revision)
		})
	}
}

// TestSealedWindowsSumToCounters commits counter readings late, repeated and out of order, seals windows in between,
// and checks that the reports add up to the counters and that a sealed window never changes.
func TestSealedWindowsSumToCounters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newReplicaPair(t)
		fence := l.apply(Command{Acquire: &Acquire{Name: lease.Platform, VM: "a", Duration: time.Second}}).Lease.Fence
		expected := map[usage.Source]usage.Count{}
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
				expected[src] = expected[src].Add(usage.Count{Requests: 1, PromptTokens: 10, OutputTokens: 5})
				u := Usage{Readings: []usage.Reading{{Source: src, Count: expected[src]}}}
				history = append(history, u)
				commit(u)
			case 2:
				if len(history) > 0 { // resend an old reading
					commit(history[rapid.IntRange(0, len(history)-1).Draw(t, "old")])
				}
			case 3:
				require.Equal(t, OK, l.apply(Command{Seal: &Seal{Window: window, Fence: fence}}).Code)
				require.Equal(t, Conflict, l.apply(Command{Seal: &Seal{Window: window, Fence: fence}}).Code)
				require.Equal(t, Denied, l.apply(Command{Seal: &Seal{Window: window + 1, Fence: fence - 1}}).Code)
				window++
				sealed = l.m.UsageReports()
			case 4:
				l.restoreCopy()
			}
			require.Equal(t, sealed, l.m.UsageReports()[:len(sealed)], "a sealed window changed")
		}
		l.apply(Command{Seal: &Seal{Window: window, Fence: fence}})
		var want, got usage.Count
		for _, c := range expected {
			want = want.Add(c)
		}
		for _, r := range l.m.UsageReports() {
			for _, line := range r.Lines {
				got = got.Add(line.Count)
			}
		}
		require.Equal(t, want, got)
	})
}

func TestClaimStates(t *testing.T) {
	at := time.Unix(1000, 0).UTC()
	k := claim.ID{Customer: "c", Service: "s", IdempotencyKey: "t"}
	open := func(l *replicaPair, request string, at time.Time) Result {
		return l.apply(Command{Claim: &Claim{At: at, Claim: claim.Claim{
			ID: k, Owner: "vm1", Incarnation: 1, Request: id.Request(request), Expires: at.Add(time.Hour),
		}}})
	}
	settle := func(l *replicaPair, request string, st claim.State) Result {
		return l.apply(Command{Settle: &Settle{ID: k, Request: id.Request(request), State: st, Answer: &claim.Answer{Status: 200}}})
	}
	t.Run("first request opens the claim", func(t *testing.T) {
		l := newReplicaPair(t)
		require.True(t, open(l, "a", at).ClaimOpened)
		second := open(l, "b", at)
		require.False(t, second.ClaimOpened)
		require.Equal(t, claim.Running, second.Claim.State)
	})
	t.Run("a final state does not change", func(t *testing.T) {
		l := newReplicaPair(t)
		open(l, "a", at)
		settle(l, "a", claim.Done)
		settle(l, "a", claim.NotRun)
		require.Equal(t, claim.Done, open(l, "b", at).Claim.State)
	})
	t.Run("a claim that did not run opens again", func(t *testing.T) {
		l := newReplicaPair(t)
		open(l, "a", at)
		settle(l, "a", claim.NotRun)
		require.True(t, open(l, "b", at).ClaimOpened)
		require.Equal(t, NotFound, settle(l, "a", claim.Done).Code)
	})
	t.Run("removing the owner makes a running claim unknown", func(t *testing.T) {
		l := newReplicaPair(t)
		l.apply(Command{Join: &Member{VM: "vm1", Incarnation: 1}})
		open(l, "a", at)
		l.apply(Command{Leave: &Leave{VM: "vm1", Incarnation: 1}})
		require.Equal(t, claim.Unknown, open(l, "b", at).Claim.State)
		require.Equal(t, claim.Done, settle(l, "a", claim.Done).Claim.State, "the owner may still settle an unknown claim")
	})
	t.Run("an expired claim is removed", func(t *testing.T) {
		l := newReplicaPair(t)
		open(l, "a", at)
		settle(l, "a", claim.Done)
		l.restoreCopy()
		require.True(t, open(l, "b", at.Add(2*time.Hour)).ClaimOpened)
	})
}

func TestOnePendingOrderPerUpstream(t *testing.T) {
	l := newReplicaPair(t)
	fence := l.apply(Command{Acquire: &Acquire{Name: "engines/a", VM: "a", Duration: time.Second}}).Lease.Fence
	commitOrder := func(f id.Fence) Result {
		return l.apply(Command{Intent: &Intent{Lease: "engines/a", Order: order.Order{Upstream: "e", Fence: f}}})
	}
	first := commitOrder(fence)
	require.Equal(t, OK, first.Code)
	require.Equal(t, Conflict, commitOrder(fence).Code)
	require.Equal(t, OK, l.apply(Command{Outcome: &Outcome{Upstream: "e", ID: first.Index, State: order.Done}}).Code)
	require.Equal(t, OK, l.apply(Command{Release: &Release{Name: "engines/a", Fence: fence}}).Code)
	require.Equal(t, Denied, commitOrder(fence).Code)
}

// TestSnapshotOfManyChanges checks that a snapshot taken after 100,000 changes restores the complete configuration.
func TestSnapshotOfManyChanges(t *testing.T) {
	const n = 100000
	m := New()
	for i := range n {
		ch := newCustomerChange(id.Revision(i), fmt.Sprint("r", i), fmt.Sprint("c", i%200))
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
