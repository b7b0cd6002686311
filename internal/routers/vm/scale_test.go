package vm

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/services/order"
)

// historyWithCheapOrder returns a history with an order for 65 cheap upstreams at time zero, all of which run at boot.
func historyWithCheapOrder(boot time.Duration) (*scaleHistory, order.UpstreamCount) {
	s := newScaleHistory()
	n := order.UpstreamCount{Service: "s", Zone: "a", Cheap: true, Count: 65}
	kind := n
	kind.Count = 0
	s.lastSent[kind] = sentOrder{count: 65}
	s.orderDue(boot, boot, n, 65)
	return s, n
}

// TestReorderAfterReclaim reclaims a data centre's cheap upstreams soon after they were ordered. The order must be sent again at
// once, without waiting for the boot time: the platform's answer shows whether it still has capacity.
func TestReorderAfterReclaim(t *testing.T) {
	const boot = 4 * time.Second
	s, n := historyWithCheapOrder(boot)
	require.False(t, s.orderDue(boot, boot, n, 65), "nothing has changed")
	require.True(t, s.orderDue(boot+500*time.Millisecond, boot, n, 40))
	require.True(t, s.orderDue(boot+time.Second, boot, n, 0))
}

// TestNoReorderWhileStarting guards against a repeated order while upstreams of the first one are still starting.
func TestNoReorderWhileStarting(t *testing.T) {
	const boot = 4 * time.Second
	s := newScaleHistory()
	n := order.UpstreamCount{Service: "s", Zone: "a", Count: 10}
	s.lastSent[order.UpstreamCount{Service: "s", Zone: "a"}] = sentOrder{count: 10, maxRunning: 4}
	for _, runs := range []int{4, 6, 9} {
		require.False(t, s.orderDue(boot, boot, n, runs))
	}
	require.True(t, s.orderDue(boot+reorderDelay+1, boot, n, 9), "one upstream did not start in time")
}

// TestReorderAtMostOncePerSecond guards against a repeated order for upstreams that are lost right after an order was sent:
// they belonged to an earlier order.
func TestReorderAtMostOncePerSecond(t *testing.T) {
	s, n := historyWithCheapOrder(0)
	kind := n
	kind.Count = 0
	s.lastSent[kind] = sentOrder{count: 65, at: 10 * time.Second, maxRunning: 65}
	require.False(t, s.orderDue(10*time.Second+minReorderInterval/2, 4*time.Second, n, 30))
	require.True(t, s.orderDue(10*time.Second+minReorderInterval, 4*time.Second, n, 30))
}
