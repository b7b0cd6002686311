package dispatch

import (
	"context"
	"net/http"
	"time"

	"wagtaillift/internal/modules/pause"
	"wagtaillift/internal/services/roster"
)

const (
	probeTimeout = 300 * time.Millisecond
	// probes and probePause: a process that ends closes its sockets one after the other, within milliseconds.
	probes     = 3
	probePause = 20 * time.Millisecond
)

// crashed reports whether the upstream's process is gone. One answer is not enough: a process that is ending may still take
// a connection after it has cut its streams.
func (d *Dispatcher) crashed(u *roster.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for range probes {
		if d.gone(ctx, u) {
			return true
		}
		if !pause.For(ctx, probePause) {
			return false
		}
	}
	return false
}

// gone reports whether the upstream refuses connections now, or answers as another incarnation.
func (d *Dispatcher) gone(ctx context.Context, u *roster.Upstream) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+"/health", nil)
	if err != nil {
		return false
	}
	resp, _, err := d.Client.Do(r)
	if err != nil {
		return refusedConn(err)
	}
	defer resp.Body.Close()
	return resp.Header.Get(headerIncarnation) != incarnationOf(u.Announcement)
}
