package vm

import (
	"fmt"
	"io"
	"time"

	"wagtaillift/internal/modules/clock"
	"wagtaillift/internal/modules/label"
	"wagtaillift/internal/modules/peer"
)

// writeBurnRates writes the error-budget burn rates of each service-level objective, for alerts.
func (v *VM) writeBurnRates(w io.Writer) {
	for _, l := range v.burn.Report(time.Now()) {
		for _, s := range l.Spans {
			fmt.Fprintf(w, "wagtaillift_burn{customer=%s,service=%s,objective=%q,window=%q} %g\n",
				label.Quote(string(l.Customer)), label.Quote(string(l.Service)), l.Objective, s.Window, s.Burn)
		}
	}
}

// writeControlMetrics writes the peer traffic, the revision, the lease and the load of this VM.
func (v *VM) writeControlMetrics(w io.Writer) {
	stats := &v.transport.Stats
	fmt.Fprintf(w, "wagtaillift_peer_sent_bytes_total %d\n", stats.SentBytes.Load())
	fmt.Fprintf(w, "wagtaillift_peer_received_bytes_total %d\n", stats.ReceivedBytes.Load())
	fmt.Fprintf(w, "wagtaillift_peer_calls_total %d\n", stats.Calls.Load())
	fmt.Fprintf(w, "wagtaillift_peer_connections_total{side=\"dialed\"} %d\n", stats.Dialed.Load())
	fmt.Fprintf(w, "wagtaillift_peer_connections_total{side=\"accepted\"} %d\n", stats.Accepted.Load())
	fmt.Fprintf(w, "wagtaillift_peer_panics_total %d\n", stats.Panics.Load())
	stats.EachMethod(func(method string, m *peer.MethodStats) {
		for _, x := range []struct {
			side         string
			calls, bytes int64
		}{{"made", m.Calls.Load(), m.CallBytes.Load()}, {"served", m.Served.Load(), m.ServedBytes.Load()}} {
			fmt.Fprintf(w, "wagtaillift_peer_method_calls_total{method=%q,side=%q} %d\n", method, x.side, x.calls)
			fmt.Fprintf(w, "wagtaillift_peer_method_bytes_total{method=%q,side=%q} %d\n", method, x.side, x.bytes)
		}
	})
	fmt.Fprintf(w, "wagtaillift_revision %d\n", v.authority.Config().Revision)
	fmt.Fprintf(w, "wagtaillift_lease_seconds %g\n", max(0, (v.authority.LeaseEnd()-clock.SinceBoot()).Seconds()))
	leading := 0
	if v.authority.Leading(clock.SinceBoot()) {
		leading = 1
	}
	fmt.Fprintf(w, "wagtaillift_leading %d\n", leading)
	if changes, spare, ok := v.authority.Voters(clock.SinceBoot()); ok {
		fmt.Fprintf(w, "wagtaillift_log_member_changes_total %d\n", changes)
		fmt.Fprintf(w, "wagtaillift_log_spare_voters %d\n", spare)
	}
	fmt.Fprintf(w, "wagtaillift_requests_running %d\n", v.runningRequests())
	fmt.Fprintf(w, "wagtaillift_quarantine_records %d\n", v.quarantineList.Len())
	fmt.Fprintf(w, "wagtaillift_upstreams %d\n", len(v.roster.Snapshot().All))
}
