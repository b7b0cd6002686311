package place

import (
	"fmt"
	"testing"
)

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 140, 700} {
		b.Run(fmt.Sprint(n, " engines"), func(b *testing.B) {
			views := make([]View, n)
			for i := range views {
				views[i] = newView(func(v *View) { v.QueuedTokens, v.Remote, v.Rank = 1000, i%3 > 0, uint64(i*7919) })
			}
			j := newJob()
			b.ReportAllocs()
			for b.Loop() {
				Choose(views, j)
			}
		})
	}
}
