package lazy

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMap checks that concurrent first accesses of a key share one value.
func TestMap(t *testing.T) {
	var m Map[string, atomic.Int64]
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.Get("a").Add(1)
		}()
	}
	wg.Wait()
	m.Get("b")
	got := map[string]int64{}
	m.Each(func(k string, v *atomic.Int64) { got[k] = v.Load() })
	require.Equal(t, map[string]int64{"a": 8, "b": 0}, got)
}
