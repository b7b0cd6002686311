package vm

import (
	"fmt"
	"io"
	"time"

	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/id"
)

// autonomy returns how long this VM may serve c without its lease.
func (v *VM) autonomy(c id.Customer) time.Duration {
	return v.authority.Config().Seconds(policy.Autonomy, c, "")
}

// writeBurn writes the burn of each service-level objective, for alerts.
func (v *VM) writeBurn(w io.Writer) {
	for _, l := range v.burn.Report(time.Now()) {
		for _, s := range l.Spans {
			fmt.Fprintf(w, "wagtaillift_burn{customer=%q,service=%q,objective=%q,window=%q} %g\n",
				l.Customer, l.Service, l.Objective, s.Window, s.Burn)
		}
	}
}

// writeControl writes what this VM spends on control and where it stands.
func (v *VM) writeControl(w io.Writer) {
	st := &v.transport.Stats
	fmt.Fprintf(w, "wagtaillift_peer_sent_bytes_total %d\n", st.Sent.Load())
	fmt.Fprintf(w, "wagtaillift_peer_received_bytes_total %d\n", st.Received.Load())
	fmt.Fprintf(w, "wagtaillift_peer_calls_total %d\n", st.Calls.Load())
	fmt.Fprintf(w, "wagtaillift_revision %d\n", v.authority.Config().Revision)
	fmt.Fprintf(w, "wagtaillift_lease_seconds %g\n", max(0, (v.authority.LeaseEnd()-clock.Boot()).Seconds()))
	leading := 0
	if v.authority.Leading(clock.Boot()) {
		leading = 1
	}
	fmt.Fprintf(w, "wagtaillift_leading %d\n", leading)
	fmt.Fprintf(w, "wagtaillift_requests_running %d\n", v.running())
	fmt.Fprintf(w, "wagtaillift_upstreams %d\n", len(v.roster.Snapshot().All))
}
