package roster

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/models/state"
	"wagtaillift/internal/modules/cert"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
)

// slowControlVM is a control VM whose lists are asked for more often than it can answer.
type slowControlVM struct {
	asked atomic.Int64
}

func (f *fleet) addSlow(vm id.VM, delay time.Duration) *slowControlVM {
	store, err := cert.NewEphemeral(vm, "a", time.Now())
	require.NoError(f.t, err)
	tr, err := peer.New("127.0.0.1:0", store)
	require.NoError(f.t, err)
	n := &slowControlVM{}
	wait := func(ctx context.Context) {
		n.asked.Add(1)
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
	peer.Handle(tr, methodFetch, func(ctx context.Context, _ id.VM, _ listVersion) (ListUpdate, error) {
		wait(ctx)
		return ListUpdate{VM: vm, Epoch: 1, Version: 1, Full: true}, nil
	})
	peer.Handle(tr, methodVersions, func(ctx context.Context, _ id.VM, _ listVersion) (versionsReply, error) {
		wait(ctx)
		return versionsReply{}, nil
	})
	f.members[vm] = state.Member{VM: vm, Zone: "a", Peer: tr.Address(), Control: true}
	go tr.Serve(f.t.Context())
	f.t.Cleanup(tr.Close)
	return n
}

// After a restart of everything each VM asks for its first list. Control VMs that answer slowly must not be asked again and again meanwhile:
// in a large fleet that is more than they can answer, and none comes to serve.
func TestFirstListIsAskedForOnce(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond, time.Minute} {
		t.Run(delay.String(), func(t *testing.T) {
			f := newFleet(t)
			e := f.add("e", false)
			e.Transport.Close() // that of the loopback fleet trusts its own certificates only
			store, err := cert.NewEphemeral("e", "a", time.Now())
			require.NoError(t, err)
			e.Transport, err = peer.New("127.0.0.1:0", store)
			require.NoError(t, err)
			t.Cleanup(e.Transport.Close)
			var list []*slowControlVM
			for _, vm := range []id.VM{"c1", "c2", "c3", "c4", "c5"} {
				list = append(list, f.addSlow(vm, delay))
			}
			const length = 1500 * time.Millisecond
			ctx, cancel := context.WithTimeout(t.Context(), length)
			defer cancel()
			e.refresh(ctx)
			total := int64(0)
			for _, n := range list {
				total += n.asked.Load()
			}
			const rounds = int64(length/startupInterval + 1) // of one call for the versions and one for each list
			require.LessOrEqual(t, total, rounds*int64(len(list)+1))
			if delay > 0 {
				require.LessOrEqual(t, total, rounds+int64(len(list))*int64(length/min(delay, callTimeout)+1), "one call for a list at a time")
			}
		})
	}
}

// The only control VM of a fleet has nobody to ask. Its refreshes begin once an upstream has announced itself.
func TestOnlyControlVMBeginsToRefresh(t *testing.T) {
	f := newFleet(t)
	c := f.add("c1", true)
	require.NoError(t, c.Roster.Announce(0, announcement("u", 1, engine.Ready)))
	c.fetchInitial(t.Context())
	f.waitForUpstreams(c, 1)
}
