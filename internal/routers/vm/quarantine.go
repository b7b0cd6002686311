package vm

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"wagtaillift/internal/models/state"
	"wagtaillift/internal/models/suspect"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/modules/peer"
	"wagtaillift/internal/services/quarantine"
)

// buildQuarantine creates the list of requests that crash upstreams, and registers the peer methods for it.
func (v *VM) buildQuarantine() {
	v.quarantineList.VM = v.authority.VM()
	v.quarantineList.FleetTime = v.authority.FleetTime
	v.quarantineList.Committed = v.authority.State().Suspects
	v.quarantineList.CommittedCulprits = v.authority.State().Culprits
	v.sharer = quarantine.NewSharer(v.broadcastSuspects, v.commitSuspects)
	v.detector = &quarantine.Detector{Dialer: &v.dialer, Roster: v.roster, List: v.quarantineList, Share: v.sharer.Share}
	peer.Handle(v.transport, methodSuspects, func(_ context.Context, from id.VM, r suspect.Report) (bool, error) {
		v.quarantineList.Apply(r)
		klog.InfoS("Crash reported", "from", from, "upstream", r.Upstream, "incarnation", r.Incarnation, "completed", r.Completed,
			"requests", len(r.Runs), "crashes", v.quarantineList.Describe(r), "parts", v.quarantineList.DescribeParts(r))
		if !r.Completed {
			v.detector.Confirm(r.Upstream, r.Incarnation)
		}
		return true, nil
	})
	peer.Handle(v.transport, methodReserve, func(_ context.Context, _ id.VM, r reservationMessage) (bool, error) {
		if !r.Reserve {
			v.quarantineList.Release(r.Upstream, r.Fingerprint)
			return true, nil
		}
		return v.quarantineList.Reserve(clock.SinceBoot(), r.Upstream, r.Fingerprint), nil
	})
}

// broadcastSuspects sends r to every other VM of a small fleet without waiting for the answers, because the request may come next in
// another data centre. In a large one the replicated log alone brings it.
func (v *VM) broadcastSuspects(r suspect.Report) {
	list := v.peerAddresses(func(state.Member) bool { return true })
	if !quarantine.AheadOfLog(len(list)) {
		return
	}
	for _, to := range list {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			defer cancel()
			if _, err := peer.Call[bool](ctx, v.transport, to, methodSuspects, r); err != nil {
				klog.InfoS("Report of a crash not delivered", "peer", to, "upstream", r.Upstream, "incarnation", r.Incarnation, "err", err)
			}
		}()
	}
}

// commitSuspects commits r to the replicated log.
func (v *VM) commitSuspects(ctx context.Context, r suspect.Report) error {
	result, err := v.authority.Propose(ctx, state.Command{Report: &r})
	if err == nil && result.Code != state.OK {
		klog.InfoS("Report of a crash refused by the log", "upstream", r.Upstream, "incarnation", r.Incarnation, "reason", result.Message)
		return nil
	}
	return errors.Annotate(err, "commit report of a crash")
}

// reservationMessage asks a VM to reserve an upstream for a suspect request, or to release it. A suspect ran on an upstream that
// crashed; two suspects never share an upstream, so that a second crash identifies its cause.
type reservationMessage struct {
	Upstream    id.Upstream            `cbor:"1,keyasint"`
	Fingerprint quarantine.Fingerprint `cbor:"2,keyasint"`           // fingerprint of the request
	Reserve     bool                   `cbor:"3,keyasint,omitempty"` // reserve; false releases
}

// reserveUpstream asks the other VMs of the data centre to reserve u for the suspect request with this fingerprint, or to release
// it. It returns false if a VM refuses; a VM that does not answer in time counts as agreeing.
func (v *VM) reserveUpstream(u id.Upstream, fingerprint quarantine.Fingerprint, reserve bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	var refused atomic.Bool
	var wg sync.WaitGroup
	for _, to := range v.zonePeers() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ok, err := peer.Call[bool](ctx, v.transport, to, methodReserve,
				reservationMessage{Upstream: u, Fingerprint: fingerprint, Reserve: reserve})
			if err == nil && !ok {
				refused.Store(true)
			}
		}()
	}
	wg.Wait()
	return !refused.Load()
}
