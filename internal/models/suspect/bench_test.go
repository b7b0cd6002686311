package suspect

import (
	"fmt"
	"testing"

	"wagtaillift/internal/modules/id"
)

// fullTable returns a table with 9,000 reports of which each part is in several.
func fullTable() Table {
	table := Table{}
	for i := range 9000 {
		run := Run{Request: Fingerprint(i + 1e6), Parts: []Fingerprint{Fingerprint(i % 2000)}, Began: Millis(i)}
		table.add(run, Report{Upstream: id.Upstream(fmt.Sprint(i % 50)), Incarnation: uint64(i / 30), At: Millis(i)})
	}
	return table
}

// BenchmarkCulprits measures the search in a table in which many parts look guilty.
func BenchmarkCulprits(b *testing.B) {
	table := fullTable()
	for b.Loop() {
		table.Culprits()
	}
}
