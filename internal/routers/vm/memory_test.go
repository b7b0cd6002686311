package vm

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMemoryLimits(t *testing.T) {
	for _, total := range []int64{16, 64, 128, 284, 4096, 1048576} {
		t.Run(fmt.Sprint(total, " MB"), func(t *testing.T) {
			soft, requests := memoryLimits(total * megabyte)
			require.Less(t, soft, total*megabyte)
			require.Positive(t, requests)
			require.LessOrEqual(t, requests, soft/4*3, "room for garbage")
			if total >= 128 {
				require.LessOrEqual(t, requests+vmMemory, soft)
			}
		})
	}
}

func TestMemoryMetrics(t *testing.T) {
	var v VM
	v.memory.SetLimit(1000)
	var sb strings.Builder
	v.writeMemoryMetrics(&sb)
	require.Contains(t, sb.String(), `wagtaillift_request_bytes{use="body"} 0`)
	require.Contains(t, sb.String(), `wagtaillift_request_bytes_rejected_total{use="answer"} 0`)
	require.Contains(t, sb.String(), `wagtaillift_request_bytes_limit 1000`)
}
