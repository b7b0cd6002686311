package loadsync

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/services/pace"
)

// A limit that an upstream names to one VM reaches all others, through another hub too, and so does its end.
func TestLimitsReachAllVMs(t *testing.T) {
	var a, b hub
	named := pace.Limit{Upstream: "u", Incarnation: 1, Rate: 2, At: 5000}
	ended := pace.Limit{Upstream: "u", Incarnation: 1, At: 6000}
	report := func(h *hub, now time.Duration, limits ...pace.Limit) []pace.Limit {
		return h.exchange(now, "vm1", exchangeRequest{Limits: limits}).Limits
	}
	update := func(now time.Duration) {
		u, _ := a.hubUpdate(now, "c2")
		b.applyUpdate(now, "c1", u)
	}
	report(&a, 0, named)
	update(0)
	require.Equal(t, []pace.Limit{named}, b.exchange(0, "vm2", exchangeRequest{}).Limits)
	report(&a, 100*time.Millisecond, ended)
	require.Equal(t, []pace.Limit{ended}, report(&a, 200*time.Millisecond, named), "a VM that has not heard of the end yet")
	update(300 * time.Millisecond)
	require.Equal(t, []pace.Limit{ended}, b.exchange(300*time.Millisecond, "vm2", exchangeRequest{}).Limits)
	require.Empty(t, b.exchange(400*time.Millisecond+reportTTL, "vm2", exchangeRequest{}).Limits, "reported by no VM any more")
	require.Empty(t, report(&a, 400*time.Millisecond+reportTTL))
}
