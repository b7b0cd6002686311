package vm

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/services/order"
)

// scaled returns a scaler that ordered 65 cheap upstreams at the start, which run by now.
func scaled(boot time.Duration) (*scaler, order.Number) {
	s := newScaler()
	n := order.Number{Service: "s", Zone: "a", Cheap: true, Count: 65}
	kind := n
	kind.Count = 0
	s.sent[kind] = ordered{count: 65}
	s.due(boot, boot, n, 65)
	return s, n
}

// A data centre's cheap upstreams are taken away soon after they were ordered: the order goes out again at once, so that it is
// known whether any are to be had.
func TestReclaimIsAnsweredAtOnce(t *testing.T) {
	const boot = 4 * time.Second
	s, n := scaled(boot)
	require.False(t, s.due(boot, boot, n, 65), "nothing has changed")
	require.True(t, s.due(boot+500*time.Millisecond, boot, n, 40))
	require.True(t, s.due(boot+time.Second, boot, n, 0))
}

// Upstreams that are still starting are no reason to order again.
func TestStartIsWaitedFor(t *testing.T) {
	const boot = 4 * time.Second
	s := newScaler()
	n := order.Number{Service: "s", Zone: "a", Count: 10}
	s.sent[order.Number{Service: "s", Zone: "a"}] = ordered{count: 10, ran: 4}
	for _, runs := range []int{4, 6, 9} {
		require.False(t, s.due(boot, boot, n, runs))
	}
	require.True(t, s.due(boot+resendAfter+1, boot, n, 9), "one never came")
}

// What goes in the moment of the order itself belongs to an earlier order.
func TestGoneAreOrderedOnceASecond(t *testing.T) {
	s, n := scaled(0)
	kind := n
	kind.Count = 0
	s.sent[kind] = ordered{count: 65, at: 10 * time.Second, ran: 65}
	require.False(t, s.due(10*time.Second+goneAfter/2, 4*time.Second, n, 30))
	require.True(t, s.due(10*time.Second+goneAfter, 4*time.Second, n, 30))
}
