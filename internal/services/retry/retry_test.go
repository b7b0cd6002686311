package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Parameters of the simulated fleet: those of chakra-kochi, with every request failing.
const (
	vms         = 9
	ratio       = 0.2
	slack       = 58.0
	fraction    = 0.8 // of ratio and slack that the VMs divide
	windowMS    = 10000
	requestEach = 40 // ms between two requests of the fleet
	durationMS  = 60000
)

// VMs restart one after the other, twice each, while every request asks for a retry.
func TestRestartsKeepRetryBudget(t *testing.T) {
	for name, pause := range map[string]int{"all at once": 0, "in turn": 700, "in turn, slowly": 3000} {
		t.Run(name, func(t *testing.T) {
			var budgets [vms]*Budget
			for i := range budgets {
				budgets[i] = &Budget{}
			}
			var requests, retries []int // times in ms
			for now := 0; now < durationMS; now += requestEach {
				for i := range budgets {
					for _, at := range []int{20000 + i*pause, 24000 + i*pause} {
						if at <= now && now < at+requestEach {
							budgets[i] = &Budget{}
							budgets[i].Begin(true, fraction*slack/vms)
						}
					}
				}
				b := budgets[(now/requestEach)%vms]
				requests = append(requests, now)
				b.Earn(fraction * ratio)
				for b.Spend(fraction * slack / vms) {
					retries = append(retries, now)
				}
			}
			for _, end := range retries {
				inWindow := func(list []int) (n int) {
					for _, at := range list {
						if end-windowMS < at && at <= end {
							n++
						}
					}
					return n
				}
				allowed := ratio*float64(inWindow(requests)) + slack
				require.LessOrEqual(t, float64(inWindow(retries)), allowed, "in the %d ms before %d ms", windowMS, end)
			}
		})
	}
}

func TestFirstStartHasFullBudget(t *testing.T) {
	var b Budget
	b.Begin(false, 2)
	require.True(t, b.Spend(2))
	b.Begin(true, 2)
	require.True(t, b.Spend(2), "only the first call of Begin counts")
	require.False(t, b.Spend(2))
	for range 6 {
		b.Earn(0.2)
	}
	require.True(t, b.Spend(2))
}

// A budget that began empty as the share of a small fleet is not empty for longer in a large one.
func TestShrunkBurst(t *testing.T) {
	var b Budget
	b.Begin(true, 50)
	require.False(t, b.Spend(2))
	for range 6 {
		b.Earn(0.2)
	}
	require.True(t, b.Spend(2))
}
