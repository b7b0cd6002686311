package authority

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/cert"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
)

// busyControlVM stands in for a control VM that knows no leader and commits an entry whenever a follower asks.
type busyControlVM struct {
	feeds, reports, proposals atomic.Int64
	address                   string
}

func testTransport(t *testing.T, vm id.VM) *peer.Transport {
	store, err := cert.NewEphemeral(vm, "a", time.Now())
	require.NoError(t, err)
	tr, err := peer.New("127.0.0.1:0", store)
	require.NoError(t, err)
	t.Cleanup(tr.Close)
	return tr
}

func newBusyControlVM(t *testing.T, vm id.VM) *busyControlVM {
	tr := testTransport(t, vm)
	n := &busyControlVM{address: tr.Address()}
	peer.Handle(tr, methodAppliedIndex, func(context.Context, id.VM, empty) (indexAnswer, error) { return indexAnswer{Index: 1}, nil })
	peer.Handle(tr, methodFeed, func(_ context.Context, _ id.VM, q feedRequest) (feedAnswer, error) {
		n.feeds.Add(1)
		return feedAnswer{Entries: []feedEntry{{Index: q.After + 1}}, LastIndex: q.After + 1}, nil
	})
	peer.Handle(tr, methodReport, func(context.Context, id.VM, reportBatch) (grantBatch, error) {
		n.reports.Add(1)
		return grantBatch{}, ErrNoQuorum
	})
	peer.Handle(tr, methodPropose, func(context.Context, id.VM, proposal) (proposalAnswer, error) {
		n.proposals.Add(1)
		return proposalAnswer{NoQuorum: true}, nil
	})
	go tr.Serve(t.Context())
	return n
}

// A VM asks little of control VMs that have no leader or commit much: in a large fleet what hundreds of VMs ask is what keeps them from electing one.
func TestFollowerAsksLittleOfBusyControlVMs(t *testing.T) {
	const length = 2 * time.Second
	var list []*busyControlVM
	var seeds []string
	for _, vm := range []id.VM{"c1", "c2", "c3", "c4", "c5"} {
		n := newBusyControlVM(t, vm)
		list, seeds = append(list, n), append(seeds, n.address)
	}
	a, err := New(Options{
		VM: "e", Zone: "a", Incarnation: 1, Seeds: seeds, Transport: testTransport(t, "e"), Timing: Timing{Lease: 3 * time.Second, ElectionTimeout: 400 * time.Millisecond},
	})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	for range 8 { // what a VM has to tell of crashes
		go a.Propose(ctx, state.Command{Leave: &state.Leave{VM: "x"}})
	}
	require.NoError(t, a.Run(ctx))
	var feeds, reports, proposals int64
	for _, n := range list {
		feeds, reports, proposals = feeds+n.feeds.Load(), reports+n.reports.Load(), proposals+n.proposals.Load()
	}
	t.Log("feeds", feeds, "reports", reports, "proposals", proposals)
	require.LessOrEqual(t, feeds, int64(length/feedInterval)+1)
	require.LessOrEqual(t, reports, 2*(int64(length/a.timing.reportInterval())+1), "the relay and one more VM")
	require.LessOrEqual(t, proposals, 8*int64(length/maxRetryInterval+3))
}
